"""Which targets the roll-outs of a VM let its requests use."""

from __future__ import annotations

import contextlib
import statistics
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..decisions.rollouts import Exposure
from ..decisions.rollouts import is_canary
from ..decisions.rollouts import may_send_to_new
from ..decisions.rollouts import pick_canary_targets
from ..decisions.rollouts import refill_tokens
from .rolloutstate import find_unresolved
from .rolloutstate import Stage
from .unnamedversions import UnnamedVersions

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from ..coordination.clock import Clock
    from ..decisions.rollouts import ExposureLimits
    from .peers import Peers
    from .retiredversions import RetiredVersions
    from .rolloutstate import Rollout
    from .targets import Targets
    from .targetstate import TargetState


class _TargetsByVersion(NamedTuple):
    new: list[TargetState]
    old: list[TargetState]


def _split_by_version(
    rollout: Rollout, states: Sequence[TargetState]
) -> _TargetsByVersion:
    parts = _TargetsByVersion([], [])
    for state in states:
        is_new = state.target.software_version == rollout.version
        (parts.new if is_new else parts.old).append(state)
    return parts


class RolloutSelection:
    """Keeps this VM's requests to the shares that roll-outs allow."""

    def __init__(
        self,
        clock: Clock,
        targets: Targets,
        peers: Peers,
        limits: ExposureLimits,
        by_service: Mapping[str, Rollout],
        retired: RetiredVersions,
    ) -> None:
        """Keep to ``limits`` in each of the roll-outs ``by_service``."""
        self._clock = clock
        self._targets = targets
        self._peers = peers
        self._limits = limits
        self._by_service = by_service
        self._retired = retired
        self._unnamed = UnnamedVersions(clock)

    def select(
        self,
        service: str,
        states: Sequence[TargetState],
        route: str,
        is_first: bool,
    ) -> tuple[list[TargetState], bool]:
        """Return the targets that a request may use, and if it is a trial.

        A trial goes to the new version, as a part of its share. Only the
        first attempt of a request (``is_first``) may be one.
        """
        usable = self._exclude_unusable(service, states)
        rollout = find_unresolved(self._by_service, service)
        if rollout is None:
            return usable, False
        parts = _split_by_version(rollout, usable)
        if not parts.old and self._is_only_version(rollout):
            return usable, False
        if not parts.new or not rollout.stage.is_running():
            return parts.old, False
        if not rollout.is_driven(self._clock.now()):
            return parts.old, False
        if rollout.hand_over.is_begun:
            return parts.new, False
        return self._select_by_share(rollout, parts, route, is_first)

    def _select_by_share(
        self,
        rollout: Rollout,
        parts: _TargetsByVersion,
        route: str,
        is_first: bool,
    ) -> tuple[list[TargetState], bool]:
        """Return the targets as ``select`` does, in a canary or a ramp."""
        exposure = self._measure_exposure(rollout)
        vms = self._peers.count_members()
        if rollout.stage is Stage.RAMP or not parts.old:
            if may_send_to_new(exposure, self._limits, vms):
                return parts.new, False
        elif is_first and is_canary(exposure, self._limits, vms, route):
            canary = self._pick_canary(rollout, parts)
            if canary:
                return canary, True
        return parts.old, False

    def _is_only_version(self, rollout: Rollout) -> bool:
        """Return whether a service has no targets but those of an order."""
        return all(
            s.target.software_version == rollout.version
            for s in self._targets.list_of_service(rollout.order.service)
        )

    def _measure_exposure(self, rollout: Rollout) -> Exposure:
        """Return what this VM has sent, with the tokens of now."""
        now = self._clock.now()
        exposure = Exposure(
            rollout.total,
            rollout.new,
            now - rollout.known_at,
            rollout.has_slack,
            rollout.tokens,
        )
        rollout.tokens = refill_tokens(
            exposure, self._limits, now - rollout.refilled_at
        )
        rollout.refilled_at = now
        return exposure._replace(tokens=rollout.tokens)

    def _pick_canary(
        self, rollout: Rollout, parts: _TargetsByVersion
    ) -> list[TargetState]:
        now = self._clock.now()
        warm = {
            s.target.incarnation: s for s in parts.new if not s.is_cold(now)
        }
        names = pick_canary_targets(
            {n: s.count_in_flight(now) for n, s in warm.items()},
            statistics.fmean(s.count_in_flight(now) for s in parts.old),
            now - rollout.known_at,
        )
        return [warm[n] for n in names]

    def _exclude_unusable(
        self, service: str, states: Sequence[TargetState]
    ) -> list[TargetState]:
        """Return the targets without those of retired and unnamed versions."""
        remaining = self._retired.exclude(service, states)
        if remaining is None:
            return list(states)
        rollout = self._by_service.get(service)
        named = rollout.version if rollout is not None else None
        return self._unnamed.exclude(service, remaining, named)

    def list_regular(
        self, service: str, states: Sequence[TargetState]
    ) -> list[TargetState]:
        """Return the targets that any request may use."""
        usable = self._exclude_unusable(service, states)
        rollout = find_unresolved(self._by_service, service)
        if rollout is None:
            return usable
        old = _split_by_version(rollout, usable).old
        return old if old or not self._is_only_version(rollout) else usable

    @contextlib.contextmanager
    def preview(self, service: str) -> Iterator[None]:
        """Undo what ``select`` changes meanwhile, as nothing is sent."""
        rollout = self._by_service.get(service)
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._unnamed.preview())
            if rollout is not None:
                stack.enter_context(rollout.preview())
            yield

    def record_sent(self, state: TargetState, route: str) -> None:
        """Count an attempt on a route that is sent now."""
        rollout = find_unresolved(self._by_service, state.target.service)
        if rollout is None:
            return
        rollout.total[route] += 1
        if state.target.software_version == rollout.version:
            rollout.new[route] += 1
            rollout.tokens -= 1.0


__all__ = ['RolloutSelection']
