"""Moves a running stream away from a target that goes out of service."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from ..decisions.streammoves import compute_move_delay
from .timers import Timer

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from ..coordination.clock import Clock
    from ..web.responses import ResponseHandler
    from .targetstate import TargetState


class StreamMove:
    """A context manager that stops an attempt whose stream is to move.

    While it is open and its target goes out of service to load weights, it
    asks ``may_move`` after a delay, and stops the attempt if it may.
    """

    def __init__(
        self,
        state: TargetState,
        clock: Clock,
        handler: ResponseHandler,
        may_move: Callable[[], bool],
    ) -> None:
        self._state = state
        self._clock = clock
        self._handler = handler
        self._may_move = may_move
        self._timer = Timer(self._move)
        self.has_stopped = False

    def __enter__(self) -> StreamMove:
        self._state.on_cordon.append(self._schedule)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._state.on_cordon.remove(self._schedule)
        self._timer.cancel()

    def _schedule(self) -> None:
        self._timer.start(compute_move_delay(random.random()))

    def _move(self) -> None:
        if not self._state.is_cordoned(self._clock.now()):
            return
        if not self._may_move():
            return
        self.has_stopped = True
        self._handler.stop()


__all__ = ['StreamMove']
