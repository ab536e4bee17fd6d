"""Reads the weights versions of engines that have others than expected."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..errors import PlatformError
from ..platform import engines

if TYPE_CHECKING:
    from types import TracebackType

    from ..coordination.clock import Clock
    from ..web.client import Client
    from .logs import Log
    from .targets import Targets
    from .targetstate import TargetState

# An engine gets no requests for this long while its report is read.
_READ_TIMEOUT_S = 0.5
# An engine's rate limit is checked this often.
_TURN_CHECK_S = 0.1


class VersionReader:
    """Reads the report of an engine that refused a request for its version.

    A VM that is cut off from the store and the other VMs does not learn that
    an engine has loaded weights, and the engine would refuse each request.
    """

    def __init__(
        self, clock: Clock, client: Client, targets: Targets, log: Log
    ) -> None:
        self._clock = clock
        self._client = client
        self._targets = targets
        self._log = log
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def __enter__(self) -> VersionReader:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks.values():
            task.cancel()

    def request(self, state: TargetState) -> None:
        """Have the report of an engine read, unless it is being read."""
        name = state.target.incarnation
        if name in self._tasks:
            return
        state.blocked_until = self._clock.now() + _READ_TIMEOUT_S
        task = asyncio.ensure_future(self._read(state))
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    async def _wait_for_turn(self, state: TargetState) -> None:
        """Wait until the target takes a request; it gets no others."""
        while not state.statements.may_ask(self._clock.now()):
            state.blocked_until = self._clock.now() + _READ_TIMEOUT_S
            await asyncio.sleep(_TURN_CHECK_S)
        state.rate_limit.record_sent()

    async def _read(self, state: TargetState) -> None:
        name = state.target.incarnation
        await self._wait_for_turn(state)
        try:
            report = await engines.read_report(self._client, state.target)
        except PlatformError as error:
            self._log.write('version_unread', target=name, error=error)
            return
        for model, version in report.weights_versions.items():
            if not state.record_weights_version(model, version):
                self._check_older(state, model, version, report.is_busy)
        self._log.write(
            'version_read', target=name, versions=report.weights_versions
        )
        state.blocked_until = self._clock.now()
        self._targets.notify_changed()

    def _check_older(
        self, state: TargetState, model: str, version: int, is_busy: bool
    ) -> None:
        """Believe an engine that has older weights, if it is sure."""
        known = state.weights_versions.get(model, 0)
        if is_busy or version >= known:
            return
        now = self._clock.now()
        if state.record_older_version(model, version, now):
            self._log.write(
                'version_fell',
                target=state.target.incarnation,
                model=model,
                version=version,
                known=known,
            )


__all__ = ['VersionReader']
