"""What targets say of themselves in their responses.

It holds for one start of a target, also if its registration is lost and
returns meanwhile.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from .ratelimits import TargetRateLimit

if TYPE_CHECKING:
    from ..decisions.facts import Target
    from .ratelimits import RoundRobin

# A target that states a longer rest is asked again after this time.
_MAX_REST_S = 120.0
# Starts of targets that are remembered; the oldest are forgotten first.
_MAX_STARTS = 4096


class TargetStart(NamedTuple):
    """One start of a target; ``started_at_ms`` in milliseconds since 1970."""

    incarnation: str
    started_at_ms: int


class TargetStatements:
    """What one start of a target has stated.

    A target that ``is_leaving`` gets no more requests, from any VM. One that
    rests gets none from this VM before ``rest_until``, by the VM's clock in
    seconds. The limits are those of requests and of rejections. The target
    registered this start at ``started_at``, by the VM's clock, if the VM
    served before.
    """

    def __init__(self, incarnation: str, round_robin: RoundRobin) -> None:
        self.rate_limit = TargetRateLimit(incarnation, round_robin)
        self.rejection_limit = TargetRateLimit(incarnation, round_robin)
        self.is_leaving = False
        self.rest_until = float('-inf')
        self.started_at = float('-inf')

    def record_rest(self, now: float, seconds: float) -> None:
        """Record that the target wants no requests for a time."""
        until = now + min(seconds, _MAX_REST_S)
        self.rest_until = max(self.rest_until, until)

    def is_resting(self, now: float) -> bool:
        """Return whether this VM is to send the target nothing now."""
        return self.rest_until > now

    def may_ask(self, now: float) -> bool:
        """Return whether this VM may send a request that needs no slot."""
        return not self.is_resting(now) and self.rate_limit.has_turn()


class StatementBook:
    """The statements of all targets, by their start."""

    def __init__(self) -> None:
        self._by_start: dict[TargetStart, TargetStatements] = {}

    def knows(self, target: Target) -> bool:
        """Return whether this start of a target registered before."""
        start = TargetStart(target.incarnation, target.started_at_ms)
        return start in self._by_start

    def find(
        self, target: Target, round_robin: RoundRobin
    ) -> TargetStatements:
        """Return the statements of a target's start.

        At its limits, VMs take turns in the order of ``round_robin``.
        """
        start = TargetStart(target.incarnation, target.started_at_ms)
        statements = self._by_start.get(start)
        if statements is None:
            statements = TargetStatements(target.incarnation, round_robin)
            self._by_start[start] = statements
            while len(self._by_start) > _MAX_STARTS:
                del self._by_start[next(iter(self._by_start))]
        return statements


__all__ = ['StatementBook', 'TargetStart', 'TargetStatements']
