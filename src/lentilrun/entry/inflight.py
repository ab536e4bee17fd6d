"""The calls that run now, so that they can be ended or waited for."""

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


class _Entry(NamedTuple):
    call: Call
    task: asyncio.Task[None]


class InFlightCalls:
    """Calls by identifier, with the task that serves each."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._held = 0
        self._open = 0
        self._entries: dict[str, _Entry] = {}
        self._withdrawn: set[str] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._entries)

    @contextlib.contextmanager
    def hold_open(self) -> Iterator[None]:
        """Count a request as open until all of its answer is sent."""
        self._open += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._open -= 1
            if not self._open:
                self._idle.set()

    def _check_room(self, size: int) -> None:
        full = len(self._entries) >= self._limits.max_running
        if full or self._held + size > self._limits.max_held_bytes:
            raise CallError(
                Code.OVERLOADED,
                'this VM runs as much as it may',
                _UNAVAILABLE,
                retry_after=1.0,
            )

    @contextlib.contextmanager
    def track(self, call: Call) -> Iterator[None]:
        """Hold a call while its task serves it; raises if there is no room."""
        size = len(call.outgoing.body)
        self._check_room(size)
        task = asyncio.current_task()
        assert task is not None
        self._entries[call.identifier] = _Entry(call, task)
        self._held += size
        try:
            yield
        except asyncio.CancelledError:
            if call.identifier in self._withdrawn:
                task.uncancel()
                raise CallError(
                    Code.KEY_WITHDRAWN,
                    'the key was withdrawn',
                    _UNAUTHORIZED,
                    RunStatus.UNKNOWN,
                ) from None
            raise
        finally:
            self._withdrawn.discard(call.identifier)
            del self._entries[call.identifier]
            self._held -= size

    def cancel_withdrawn(self, is_valid: Callable[[str], bool]) -> int:
        """End the idempotent calls whose key is no longer valid.

        Those that may not be repeated go on: they were sent while the
        key was valid, and their outcome must be recorded.
        """
        ended = 0
        for identifier, entry in list(self._entries.items()):
            call = entry.call
            if not call.key_digest or is_valid(call.key_digest):
                continue
            if not call.route.idempotent:
                continue
            self._withdrawn.add(identifier)
            entry.task.cancel()
            ended += 1
        return ended

    def is_idle(self) -> bool:
        """Return whether no request is open."""
        return not self._open

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        await self._idle.wait()


__all__ = ['InFlightCalls']
