"""The calls that run now, so that they can be ended or waited for."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..errors import CallError
from ..errors import Code
from ..errors import Ran

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from .call import Call

_UNAUTHORIZED = 401


class _Entry(NamedTuple):
    call: Call
    task: asyncio.Task[None]


class Running:
    """Calls by identifier, with the task that serves each."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._withdrawn: set[str] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._entries)

    @contextlib.contextmanager
    def track(self, call: Call) -> Iterator[None]:
        """Hold a call while its task serves it."""
        task = asyncio.current_task()
        assert task is not None
        self._entries[call.identifier] = _Entry(call, task)
        self._idle.clear()
        try:
            yield
        except asyncio.CancelledError:
            if call.identifier in self._withdrawn:
                task.uncancel()
                raise CallError(
                    Code.KEY_WITHDRAWN,
                    'the key was withdrawn',
                    _UNAUTHORIZED,
                    Ran.UNKNOWN,
                ) from None
            raise
        finally:
            self._withdrawn.discard(call.identifier)
            del self._entries[call.identifier]
            if not self._entries:
                self._idle.set()

    def end_withdrawn(self, is_valid: Callable[[str], bool]) -> int:
        """End the idempotent calls whose key is no longer valid.

        Those that may not be repeated go on: they were sent while the
        key was valid, and their outcome must be recorded.
        """
        ended = 0
        for identifier, entry in list(self._entries.items()):
            call = entry.call
            if not call.key or is_valid(call.key):
                continue
            if not call.route.idempotent:
                continue
            self._withdrawn.add(identifier)
            entry.task.cancel()
            ended += 1
        return ended

    async def wait_idle(self) -> None:
        """Wait until nothing runs."""
        await self._idle.wait()


__all__ = ['Running']
