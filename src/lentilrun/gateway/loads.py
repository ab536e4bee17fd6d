"""The load of a call on a target during an attempt."""

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
    """A context manager that adds a call's load to a target's state."""

    def __init__(
        self,
        state: TargetState,
        demand: TokenDemand,
        prefill_plan: PrefillPlan,
        now: float,
    ) -> None:
        self._state = state
        self._memory_tokens = float(demand.input_tokens + demand.output_tokens)
        self._prefill_tokens = prefill_plan.prefill_tokens(demand.input_tokens)
        self._is_long = demand.decode_time() > LONG_DECODE_S
        self._expected_end = (
            now
            + self._prefill_tokens / PREFILL_TOKENS_PER_S
            + demand.decode_time()
        )

    def __enter__(self) -> LoadReservation:
        self._state.in_flight += 1
        self._state.long_in_flight += self._is_long
        self._state.memory_tokens_used += self._memory_tokens
        self._state.prefill_tokens += self._prefill_tokens
        self._state.expected_ends[id(self)] = self._expected_end
        return self

    def record_prefill(self) -> None:
        """Record that the target has prefilled the prompt."""
        self._state.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0.0

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.record_prefill()
        self._state.in_flight -= 1
        self._state.long_in_flight -= self._is_long
        self._state.memory_tokens_used -= self._memory_tokens
        del self._state.expected_ends[id(self)]


__all__ = [
    'LoadReservation',
]
