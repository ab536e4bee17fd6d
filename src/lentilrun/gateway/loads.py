"""The load of one call on a target, while it runs there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.placement import LONG_DECODE_S
from ..decisions.sources import PREFILL_TOKENS_PER_S

if TYPE_CHECKING:
    from types import TracebackType

    from ..decisions.placement import TokenDemand
    from ..decisions.sources import PrefillPlan
    from .targets import TargetState


class LoadReservation:
    """A call's load on a target, as this VM counts it.

    It begins on entry and ends on exit.
    """

    def __init__(
        self,
        state: TargetState,
        need: TokenDemand,
        supply: PrefillPlan,
        now: float,
    ) -> None:
        self._state = state
        self._held = float(need.input_tokens + need.output_tokens)
        self._unread = supply.prefill_tokens(need.input_tokens)
        self._is_long = need.decode_time() > LONG_DECODE_S
        self._end = (
            now + self._unread / PREFILL_TOKENS_PER_S + need.decode_time()
        )

    def __enter__(self) -> LoadReservation:
        self._state.in_flight += 1
        self._state.long_in_flight += self._is_long
        self._state.memory_tokens_used += self._held
        self._state.prefill_tokens += self._unread
        self._state.expected_ends[id(self)] = self._end
        return self

    def record_prefill(self) -> None:
        """Note that the prompt was read."""
        self._state.prefill_tokens -= self._unread
        self._unread = 0.0

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.record_prefill()
        self._state.in_flight -= 1
        self._state.long_in_flight -= self._is_long
        self._state.memory_tokens_used -= self._held
        del self._state.expected_ends[id(self)]


__all__ = [
    'LoadReservation',
]
