"""Takes back requests that wait too long at engines with old weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.weightsage import compute_withdrawal_delay
from .timers import Timer

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from .view import View


class Withdrawal:
    """A context manager that stops an attempt before it begins too late.

    An attempt without an event counts as not begun. While the context is
    open, such an attempt is stopped shortly before its weights have been
    replaced for the limit, also if they are replaced meanwhile.
    """

    def __init__(
        self,
        view: View,
        model: str,
        weights_version: int | None,
        stale_limit: float,
        has_begun: Callable[[], bool],
        stop: Callable[[], None],
    ) -> None:
        """Watch an attempt on a version; None is never too old.

        ``stale_limit`` is in seconds.
        """
        self._view = view
        self._model = model
        self._weights_version = weights_version
        self._stale_limit = stale_limit
        self._has_begun = has_begun
        self._stop = stop
        self._timer = Timer(self._withdraw)
        self.has_stopped = False

    def __enter__(self) -> Withdrawal:
        if self._weights_version is not None:
            self._view.on_weights.append(self._schedule)
            self._schedule()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._weights_version is not None:
            self._view.on_weights.remove(self._schedule)
        self._timer.cancel()

    def _schedule(self) -> None:
        self._timer.cancel()
        version = self._weights_version
        if version is None or not self._view.is_replaced(self._model, version):
            return
        stale_for = self._view.stale_for(self._model, version)
        self._timer.start(
            compute_withdrawal_delay(stale_for, self._stale_limit)
        )

    def _withdraw(self) -> None:
        if self._has_begun():
            return
        self.has_stopped = True
        self._stop()


__all__ = ['Withdrawal']
