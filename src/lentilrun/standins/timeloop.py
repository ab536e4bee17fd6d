"""An event loop on simulated time, which passes instead of waiting."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Generator

# Work that takes no simulated time still advances the clock, as real
# work does, so that a busy wait ends.
_TICK_S = 1e-7
_T = TypeVar('_T')


class _Selector(selectors.DefaultSelector):
    """Advances simulated time instead of waiting."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        super().__init__()
        self._advance = advance

    def select(self, timeout: float | None = None) -> Any:
        """Return the ready file descriptors; never waits."""
        self._advance(_TICK_S if timeout is None else timeout)
        return super().select(0)


class TimeLoop(asyncio.SelectorEventLoop):
    """An event loop on simulated time; implements ``Clock``."""

    def __init__(self, start: float = 1000.0) -> None:
        self._time_s = start
        super().__init__(_Selector(self._advance))

    def _advance(self, seconds: float) -> None:
        self._time_s += max(_TICK_S, seconds)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._time_s

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self._time_s


class Gate:
    """Pauses coroutines at any of their await points."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def is_paused(self) -> bool:
        """Return whether the coroutines are paused."""
        return not self._open.is_set()

    def pause(self) -> None:
        """Suspend the coroutines at their next await point."""
        self._open.clear()

    def resume(self) -> None:
        """Resume all coroutines."""
        self._open.set()

    async def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine that is suspended while the gate is paused."""
        return await _Gated(coroutine, self._open)


class _Gated:
    def __init__(
        self, coroutine: Coroutine[Any, Any, Any], gate: asyncio.Event
    ) -> None:
        self._coroutine = coroutine
        self._gate = gate

    def __await__(self) -> Generator[Any, Any, Any]:
        error: BaseException | None = None
        while True:
            while not self._gate.is_set():
                try:
                    yield from self._gate.wait().__await__()
                except asyncio.CancelledError as cancellation:
                    error = cancellation
                    break
            try:
                if error is not None:
                    pending, error = error, None
                    awaitable = self._coroutine.throw(pending)
                else:
                    awaitable = self._coroutine.send(None)
            except StopIteration as stop:
                return stop.value
            try:
                yield awaitable
            except BaseException as raised:
                error = raised


def run(main: Callable[[TimeLoop], Coroutine[Any, Any, _T]]) -> _T:
    """Run ``main`` on simulated time and return its result."""
    loop = TimeLoop()
    try:
        return loop.run_until_complete(main(loop))
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop: TimeLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks, timeout=1.0))


__all__ = ['Gate', 'run', 'TimeLoop']
