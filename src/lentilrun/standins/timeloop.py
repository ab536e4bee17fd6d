"""An event loop whose time passes only when nothing is left to do."""

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

# Work that takes no modelled time still lets the clock tick, as real
# work does, so that a busy wait ends.
_TICK = 1e-7
_T = TypeVar('_T')


class _Selector(selectors.DefaultSelector):
    """Lets modelled time pass in place of waiting."""

    def __init__(self, pass_time: Callable[[float], None]) -> None:
        super().__init__()
        self._pass_time = pass_time

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready; never waits."""
        self._pass_time(_TICK if timeout is None else timeout)
        return super().select(0)


class TimeLoop(asyncio.SelectorEventLoop):
    """An event loop on modelled time, which is also a ``Clock``."""

    def __init__(self, start: float = 1000.0) -> None:
        self._modelled = start
        super().__init__(_Selector(self._pass))

    def _pass(self, seconds: float) -> None:
        self._modelled += max(_TICK, seconds)

    def time(self) -> float:
        """Return the modelled time in seconds."""
        return self._modelled

    def now(self) -> float:
        """Return the modelled time in seconds."""
        return self._modelled


class Gate:
    """Pauses coroutines between any two of their steps."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    def is_paused(self) -> bool:
        """Return whether the coroutines are paused."""
        return not self._open.is_set()

    def pause(self) -> None:
        """Let no coroutine go on."""
        self._open.clear()

    def resume(self) -> None:
        """Let all coroutines go on."""
        self._open.set()

    async def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine that stops wherever it is while paused."""
        return await _Gated(work, self._open)


class _Gated:
    def __init__(
        self, work: Coroutine[Any, Any, Any], gate: asyncio.Event
    ) -> None:
        self._work = work
        self._gate = gate

    def __await__(self) -> Generator[Any, Any, Any]:
        error: BaseException | None = None
        while True:
            while not self._gate.is_set():
                try:
                    yield from self._gate.wait().__await__()
                except asyncio.CancelledError as cancelled:
                    error = cancelled
                    break
            try:
                if error is not None:
                    thrown, error = error, None
                    waited = self._work.throw(thrown)
                else:
                    waited = self._work.send(None)
            except StopIteration as stop:
                return stop.value
            try:
                yield waited
            except BaseException as caught:
                error = caught


def run(main: Callable[[TimeLoop], Coroutine[Any, Any, _T]]) -> _T:
    """Run ``main`` on modelled time and return its result."""
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
