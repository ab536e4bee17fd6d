"""The calls in flight, so that they can be cancelled or awaited."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..errors import CallError
from ..errors import Code
from ..errors import RunStatus

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from ..config.settings import Limits
    from .call import Call

_UNAUTHORIZED = 401
_UNAVAILABLE = 503


class _TrackedCall(NamedTuple):
    call: Call
    task: asyncio.Task[None]


class InFlightCalls:
    """The calls in flight by identifier, and the task that serves each."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._held_bytes = 0
        self._open_requests = 0
        self._calls: dict[str, _TrackedCall] = {}
        self._withdrawn_ids: set[str] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._calls)

    @contextlib.contextmanager
    def hold_open(self) -> Iterator[None]:
        """Count a request as open until its response is sent."""
        self._open_requests += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._open_requests -= 1
            if not self._open_requests:
                self._idle.set()

    def _check_room(self, body_bytes: int) -> None:
        is_full = len(self._calls) >= self._limits.max_running
        if (
            is_full
            or self._held_bytes + body_bytes > self._limits.max_held_bytes
        ):
            raise CallError(
                Code.OVERLOADED,
                'this VM runs as much as it may',
                _UNAVAILABLE,
                retry_after=1.0,
            )

    @contextlib.contextmanager
    def track(self, call: Call) -> Iterator[None]:
        """Track a call while its task serves it.

        Raises ``CallError`` if this VM has too many calls or body bytes in
        flight, or if the call's key is withdrawn meanwhile.
        """
        body_bytes = len(call.outgoing.body)
        self._check_room(body_bytes)
        task = asyncio.current_task()
        assert task is not None
        self._calls[call.identifier] = _TrackedCall(call, task)
        self._held_bytes += body_bytes
        try:
            yield
        except asyncio.CancelledError:
            if call.identifier in self._withdrawn_ids:
                task.uncancel()
                raise CallError(
                    Code.KEY_WITHDRAWN,
                    'the key was withdrawn',
                    _UNAUTHORIZED,
                    RunStatus.UNKNOWN,
                ) from None
            raise
        finally:
            self._withdrawn_ids.discard(call.identifier)
            del self._calls[call.identifier]
            self._held_bytes -= body_bytes

    def cancel_withdrawn(self, is_valid: Callable[[str], bool]) -> int:
        """Cancel the idempotent calls whose key is no longer valid.

        Returns how many. Other calls continue: they were sent while the
        key was valid, and their outcome must be recorded.
        """
        cancelled = 0
        for identifier, tracked in list(self._calls.items()):
            call = tracked.call
            if not call.key_digest or is_valid(call.key_digest):
                continue
            if not call.route.idempotent:
                continue
            self._withdrawn_ids.add(identifier)
            tracked.task.cancel()
            cancelled += 1
        return cancelled

    def find_last_deadline(self) -> float:
        """Return the latest deadline of a call, 0 if there is none."""
        calls = (tracked.call for tracked in self._calls.values())
        return max((call.deadline for call in calls), default=0.0)

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        await self._idle.wait()


__all__ = ['InFlightCalls']
