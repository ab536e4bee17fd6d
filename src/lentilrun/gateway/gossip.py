"""Makes the gossip messages of this VM and applies those it receives."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from .messages import encode_assumed_announcements
from .messages import encode_returns
from .messages import encode_sent_at
from .messages import GossipMessage
from .messages import LoadReport
from .messages import Scope
from .messages import SENT_AT
from .messages import WeightsLoadReport
from .messages import WeightsVersionReport
from .recent import Origin
from .targetstate import PeerLoad

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from ..config.ini import Address
    from ..coordination.clock import Clock
    from .crashes import CrashTracker
    from .messages import AnnouncementReport
    from .peers import Peers
    from .quotas import Quotas
    from .ratelimits import RateLimits
    from .rollouts import Rollouts
    from .rowrelay import RowRelay
    from .storedsegments import StoredSegments
    from .targets import Targets
    from .targetstate import TargetState
    from .view import View

# The most remote origin of the reports that a message includes, by scope.
_MAX_ORIGIN = {
    Scope.VM: Origin.OWN,
    Scope.DATA_CENTRE: Origin.LOCAL,
    Scope.FLEET: Origin.REMOTE,
}
# Announcements that nobody observed are reported until this age; VMs that
# start later read them from the store.
_MAX_ASSUMED_AGE_S = 30.0
# Failures whose decayed count is below this are not reported.
_MIN_REPORTED_FAILURES = 0.05


class Gossip:
    """Makes gossip messages of this VM's state; applies those of others."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        peers: Peers,
        targets: Targets,
        quotas: Quotas,
        crashes: CrashTracker,
        stored_segments: StoredSegments,
        row_relay: RowRelay,
        view: View,
        rollouts: Rollouts,
        rate_limits: RateLimits,
    ) -> None:
        self._address = address
        self._clock = clock
        self._peers = peers
        self._targets = targets
        self._quotas = quotas
        self._crashes = crashes
        self._stored_segments = stored_segments
        self._row_relay = row_relay
        self._view = view
        self._rollouts = rollouts
        self._rate_limits = rate_limits
        self.is_driving_rollouts: Callable[[], bool] = lambda: False
        self.is_cut_off: Callable[[], bool] = lambda: False
        self.is_leaving = False
        self._summary_senders: tuple[str, ...] = ()
        self._adopts_next_usage = False
        peers.make_messages = self.make_messages
        peers.on_message.append(self.receive)
        peers.on_restart.append(self._remove_peer)
        peers.on_restart.append(lambda _: crashes.repeat_reports())

    def make_messages(
        self, scope: Scope, recipients: list[str]
    ) -> Iterator[tuple[list[str], GossipMessage]]:
        """Yield each message with the names of its recipients.

        In ``Scope.FLEET``, a hub makes one for each VM, without the loads
        and the usage that the VM itself reported.
        """
        self._quotas.mark_reported()
        now = self._clock.now()
        sources = self._list_sources(scope)
        loads = self._list_loads(sources, now)
        message = self._make_message(
            loads,
            self._quotas.export_admitted(_MAX_ORIGIN[scope]),
            scope,
        )
        if scope is not Scope.FLEET:
            yield recipients, message
            return
        for name in recipients:
            yield (
                [name],
                msgspec.structs.replace(
                    message,
                    loads=self._exclude_peer(loads, name, now),
                    admitted_tokens=self._quotas.exclude_peer(
                        message.admitted_tokens, name
                    ),
                ),
            )

    def _make_message(
        self,
        loads: list[LoadReport],
        admitted_tokens: dict[str, float],
        scope: Scope,
    ) -> GossipMessage:
        own = self._peers.own_member
        max_origin = _MAX_ORIGIN[scope]
        return GossipMessage(
            own.name,
            scope,
            own.data_centre,
            own.power,
            self._address.host,
            self._address.port,
            self._peers.incarnation,
            self.is_leaving,
            self._peers.count_unresponsive(),
            self._row_relay.has_lost_store(),
            loads,
            self._list_weights_loads(),
            self._list_weights_versions(),
            self._crashes.recent.export(max_origin),
            admitted_tokens,
            self._quotas.export(),
            {
                **self._row_relay.export_progress(),
                **encode_returns(self._targets.list_returns()),
                **encode_assumed_announcements(
                    self._list_assumed_announcements()
                ),
                SENT_AT: encode_sent_at(self._clock.now()),
            },
            self._stored_segments.recent.export(max_origin),
            self._targets.prefills.export(max_origin),
            self._view.export_announcements(is_assumed=False),
            self._crashes.recent_cleared.export(max_origin),
            self._rollouts.export(self.is_driving_rollouts()),
            self._rollouts.outcomes.reporter.recent.export(max_origin),
            self._row_relay.has_lost_rows(),
            self._rate_limits.export(),
            self.is_cut_off(),
            self._targets.list_stated_leaving(),
        )

    def _list_assumed_announcements(self) -> list[AnnouncementReport]:
        reports = self._view.export_announcements(is_assumed=True)
        return [r for r in reports if r.age < _MAX_ASSUMED_AGE_S]

    def _list_sources(self, scope: Scope) -> list[str]:
        """Return the VMs whose loads a message adds to those of this VM."""
        if scope is Scope.VM:
            return []
        peers = self._peers.by_name
        if scope is Scope.FLEET:
            return list(peers)
        own = self._peers.own_member.data_centre
        return [n for n, p in peers.items() if p.member.data_centre == own]

    def _list_loads(self, sources: list[str], now: float) -> list[LoadReport]:
        """Return the significant loads of this VM and of ``sources``."""
        loads = []
        for incarnation, state in self._targets.states.items():
            if not state.has_requests() and not (sources and state.peer_loads):
                continue
            state.decay_outcomes(now)
            load = _make_load_report(incarnation, state, sources, now)
            if _is_significant(load):
                loads.append(load)
        return loads

    def _exclude_peer(
        self, loads: list[LoadReport], peer: str, now: float
    ) -> list[LoadReport]:
        """Return the significant loads without a peer's own requests."""
        states = self._targets.states
        remaining = []
        for load in loads:
            peer_load = states[load.incarnation].peer_loads.get(peer)
            if peer_load is None or not peer_load.is_recent(now):
                remaining.append(load)
                continue
            others = _subtract(load, peer_load)
            if _is_significant(others):
                remaining.append(others)
        return remaining

    def _list_weights_loads(self) -> list[WeightsLoadReport]:
        now = self._clock.now()
        return [
            WeightsLoadReport(n, round(s.weights_loading_until - now, 3))
            for n, s in self._targets.states.items()
            if s.is_cordoned(now) and self._reports_weights_load(s)
        ]

    def _reports_weights_load(self, state: TargetState) -> bool:
        # With hubs, reports of other VMs' weights loads are passed on; in a
        # mesh each VM reports only its own.
        return state.is_loading_by_this_vm or not self._peers.is_mesh()

    def _list_weights_versions(self) -> list[WeightsVersionReport]:
        return [
            WeightsVersionReport(n, m, v)
            for n, s in self._targets.states.items()
            for m, v in s.weights_versions.items()
            if v > s.target.weights_versions.get(m, 0)
        ]

    def receive(self, message: GossipMessage) -> None:
        """Apply a message of another VM."""
        self._check_summary_senders()
        is_counted = self._peers.is_counted(message)
        sets_baseline = self._quotas.receive_usage(
            message.node,
            message.scope,
            message.admitted_tokens,
            self._get_origin(message),
            is_counted,
        )
        self._apply_loads(
            message
            if is_counted
            else msgspec.structs.replace(message, loads=[])
        )
        self._apply_weights_reports(message)
        self._rate_limits.receive(message.rate_limits, message.node)
        self._targets.receive_leaving(message.leaving_targets)
        self._targets.receive_returns(message.list_returns())
        self._view.receive_announcements(
            message.announcements, message.list_assumed_announcements()
        )
        self._apply_crashes(message)
        self._apply_cache_reports(message)
        # Later messages of the same sum add to what its first one states.
        if (sets_baseline and self._peers.is_starting()) or (
            is_counted and self._adopts_next_usage
        ):
            self._quotas.adopt(message.used_per_second)
            self._adopts_next_usage = False

    def _check_summary_senders(self) -> None:
        """Start usage counting anew if the summary senders changed.

        Usage that one VM reported must not count again when another VM
        reports it; usage that no VM reported in between is adopted from
        the next message that counts.
        """
        senders = self._peers.list_summary_senders()
        if senders == self._summary_senders:
            return
        self._summary_senders = senders
        self._adopts_next_usage = True
        self._quotas.reset_baselines()

    def _get_origin(self, message: GossipMessage) -> Origin:
        is_local = message.data_centre == self._peers.own_member.data_centre
        return Origin.LOCAL if is_local else Origin.REMOTE

    def _apply_loads(self, message: GossipMessage) -> None:
        now = self._clock.now()
        loads = {r.incarnation: r for r in message.loads}
        for incarnation, state in self._targets.states.items():
            load = loads.get(incarnation)
            if load is None:
                state.peer_loads.pop(message.node, None)
            else:
                state.peer_loads[message.node] = PeerLoad(
                    load.in_flight,
                    load.long_in_flight,
                    load.prefill_tokens,
                    load.memory_tokens_used,
                    now + load.busy_for,
                    load.successes,
                    load.failures,
                    load.prefill_by_urgency,
                    load.paced_requests,
                    load.pace_total,
                    now,
                )

    def _apply_crashes(self, message: GossipMessage) -> None:
        origin = self._get_origin(message)
        self._crashes.receive(message.crashes, origin)
        self._crashes.receive_cleared(message.cleared_crashes, origin)

    def _apply_cache_reports(self, message: GossipMessage) -> None:
        origin = self._get_origin(message)
        self._stored_segments.receive(message.stored_segments, origin)
        for report in message.prefills:
            self._targets.record_prefill(report, origin)

    def _apply_weights_reports(self, message: GossipMessage) -> None:
        states = self._targets.states
        now = self._clock.now()
        changed = False
        for report in message.weights_versions:
            state = states.get(report.incarnation)
            if state is not None:
                changed |= state.record_stated_version(
                    report.model, report.version, now
                )
        for weights_load in message.weights_loads:
            state = states.get(weights_load.incarnation)
            if state is not None and not state.is_loading_by_this_vm:
                state.cordon(now, weights_load.time_left, message.node)
        changed |= self._end_cordons(message)
        if changed:
            self._targets.notify_changed()

    def _end_cordons(self, message: GossipMessage) -> bool:
        """Put targets into service that a VM no longer reports as loading.

        Return whether there are any.
        """
        reported = {r.incarnation for r in message.weights_loads}
        ended = [
            s
            for n, s in self._targets.states.items()
            if s.cordoned_by == message.node and n not in reported
        ]
        for state in ended:
            state.end_cordon()
        return bool(ended)

    def _remove_peer(self, name: str) -> None:
        self._quotas.remove_peer(name)
        for state in self._targets.states.values():
            state.peer_loads.pop(name, None)


def _is_significant(load: LoadReport) -> bool:
    return load.in_flight > 0 or load.failures > _MIN_REPORTED_FAILURES


def _subtract(load: LoadReport, peer_load: PeerLoad) -> LoadReport:
    return msgspec.structs.replace(
        load,
        in_flight=load.in_flight - peer_load.in_flight,
        long_in_flight=load.long_in_flight - peer_load.long_in_flight,
        prefill_tokens=load.prefill_tokens - peer_load.prefill_tokens,
        memory_tokens_used=load.memory_tokens_used
        - peer_load.memory_tokens_used,
        successes=round(load.successes - peer_load.successes, 2),
        failures=round(load.failures - peer_load.failures, 2),
        prefill_by_urgency=_subtract_tokens(
            load.prefill_by_urgency, peer_load.prefill_by_urgency
        ),
        paced_requests=round(
            load.paced_requests - peer_load.paced_requests, 2
        ),
        pace_total=round(load.pace_total - peer_load.pace_total, 2),
    )


def _subtract_tokens(
    tokens: dict[int, float], other: dict[int, float]
) -> dict[int, float]:
    return {u: t - other.get(u, 0.0) for u, t in tokens.items()}


def _sum_tokens(loads: Iterable[dict[int, float]]) -> dict[int, float]:
    total: collections.defaultdict[int, float] = collections.defaultdict(float)
    for load in loads:
        for urgency, tokens in load.items():
            total[urgency] += tokens
    return {u: float(round(t)) for u, t in total.items()}


def _make_load_report(
    incarnation: str, state: TargetState, sources: list[str], now: float
) -> LoadReport:
    peer_loads = [
        state.peer_loads[n] for n in sources if n in state.peer_loads
    ]
    peer_loads = [p for p in peer_loads if p.is_recent(now)]
    until = max(
        [
            now,
            *state.expected_ends.values(),
            *(p.busy_until for p in peer_loads),
        ]
    )
    pace = state.count_pace(now)
    return LoadReport(
        incarnation,
        state.in_flight + sum(p.in_flight for p in peer_loads),
        state.long_in_flight + sum(p.long_in_flight for p in peer_loads),
        float(
            round(
                state.prefill_tokens
                + sum(p.prefill_tokens for p in peer_loads)
            )
        ),
        float(
            round(
                state.memory_tokens_used
                + sum(p.memory_tokens_used for p in peer_loads)
            )
        ),
        round(until - now, 2),
        round(state.successes + sum(p.successes for p in peer_loads), 2),
        round(state.failures + sum(p.failures for p in peer_loads), 2),
        _sum_tokens(
            [
                state.prefill_by_urgency,
                *(p.prefill_by_urgency for p in peer_loads),
            ]
        ),
        round(pace.requests + sum(p.paced_requests for p in peer_loads), 2),
        round(pace.total + sum(p.pace_total for p in peer_loads), 2),
    )


__all__ = [
    'Gossip',
]
