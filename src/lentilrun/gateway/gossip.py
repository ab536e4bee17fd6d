"""What a VM tells the others, and what it takes from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import GossipMessage
from .messages import LoadReport
from .messages import Scope
from .messages import WeightsLoadReport
from .messages import WeightsVersionReport
from .recent import Origin
from .targets import PeerLoad

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..config.ini import Address
    from ..coordination.clock import Clock
    from .crashes import CrashTracker
    from .peers import Peers
    from .quotas import Quotas
    from .rowrelay import RowRelay
    from .storedsegments import StoredSegments
    from .targets import Targets
    from .targets import TargetState

# How far away what a message tells of may come from.
_FURTHEST = {
    Scope.VM: Origin.OWN,
    Scope.DATA_CENTRE: Origin.LOCAL,
    Scope.FLEET: Origin.REMOTE,
}
# Outcomes below this weight are not worth telling.
_LEAST_OUTCOME = 0.05


class Gossip:
    """Makes this VM's messages and takes those of the others."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        peers: Peers,
        targets: Targets,
        quotas: Quotas,
        crashes: CrashTracker,
        kept: StoredSegments,
        relay: RowRelay,
    ) -> None:
        self._address = address
        self._clock = clock
        self._peers = peers
        self._targets = targets
        self._quotas = quotas
        self._crashes = crashes
        self._kept = kept
        self._relay = relay
        self.is_leaving = False
        self._speakers: tuple[str, ...] = ()
        self._must_adopt = False
        peers.make_messages = self.make_messages
        peers.on_message.append(self.receive)
        peers.on_restart.append(self._forget)

    def make_messages(
        self, scope: Scope, recipients: list[str]
    ) -> Iterator[tuple[list[str], GossipMessage]]:
        """Yield what recipients are to know now, with who gets it."""
        self._quotas.mark_reported()
        now = self._clock.now()
        sources = self._find_sources(scope)
        loads = self._list_loads(sources, now)
        beat = self._make_beat(
            [n for n in loads if _is_worth_telling(n)],
            self._quotas.export_admitted(_FURTHEST[scope]),
            scope,
        )
        if scope is not Scope.FLEET:
            yield recipients, beat
            return
        for name in recipients:
            yield (
                [name],
                beat._replace(
                    loads=self._leave_out(loads, name, now),
                    admitted_tokens=self._quotas.exclude_peer(
                        beat.admitted_tokens, name
                    ),
                ),
            )

    def _make_beat(
        self,
        loads: list[LoadReport],
        told: dict[str, float],
        scope: Scope,
    ) -> GossipMessage:
        own = self._peers.own_member
        furthest = _FURTHEST[scope]
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
            self._relay.has_lost_store(),
            loads,
            self._list_loading(),
            self._list_versions(),
            self._crashes.recent.export(furthest),
            told,
            self._quotas.export(),
            self._relay.newest_row_versions(),
            self._kept.recent.export(furthest),
            self._targets.prefills.export(furthest),
        )

    def _find_sources(self, scope: Scope) -> list[str]:
        """Return the VMs whose doings a message sums up with the own."""
        if scope is Scope.VM:
            return []
        known = self._peers.by_name
        if scope is Scope.FLEET:
            return list(known)
        near = self._peers.own_member.data_centre
        return [n for n, p in known.items() if p.member.data_centre == near]

    def _list_loads(self, sources: list[str], now: float) -> list[LoadReport]:
        found = []
        for name, state in self._targets.states.items():
            state.decay_outcomes(now)
            found.append(_make_load(name, state, sources, now))
        return found

    def _leave_out(
        self, loads: list[LoadReport], peer: str, now: float
    ) -> list[LoadReport]:
        """Return loads without what a peer itself runs."""
        found = []
        for load in loads:
            part = self._targets.states[load.incarnation].peer_loads.get(peer)
            if part is not None and part.is_recent(now):
                load = _subtract(load, part)
            if _is_worth_telling(load):
                found.append(load)
        return found

    def _list_loading(self) -> list[WeightsLoadReport]:
        now = self._clock.now()
        return [
            WeightsLoadReport(n, round(s.weights_loading_until - now, 3))
            for n, s in self._targets.states.items()
            if s.weights_loading_until > now and self._tells_of_load(s)
        ]

    def _tells_of_load(self, state: TargetState) -> bool:
        # A hub hands on what another VM does; others only tell of theirs.
        return state.is_loading_by_this_vm or not self._peers.is_mesh()

    def _list_versions(self) -> list[WeightsVersionReport]:
        return [
            WeightsVersionReport(n, m, v)
            for n, s in self._targets.states.items()
            for m, v in s.weights_versions.items()
            if v > s.target.weights_versions.get(m, 0)
        ]

    def receive(self, beat: GossipMessage) -> None:
        """Take what another VM knows."""
        self._note_speakers()
        counts = self._peers.is_counted(beat)
        self._quotas.receive_usage(
            beat.node,
            beat.scope,
            beat.admitted_tokens,
            self._find_origin(beat),
            counts,
        )
        self._take_loads(beat if counts else beat._replace(loads=[]))
        self._take_targets(beat)
        self._crashes.receive(beat.crashes, self._find_origin(beat))
        self._take_parts(beat)
        if self._peers.is_starting() or (counts and self._must_adopt):
            self._quotas.adopt(beat.used_per_second)
            self._must_adopt = False

    def _note_speakers(self) -> None:
        """Count use anew once other VMs tell of it.

        What was told by one VM before must not count once more when it is
        told by another; what nobody told meanwhile is adopted.
        """
        speakers = self._peers.list_summary_senders()
        if speakers == self._speakers:
            return
        self._speakers = speakers
        self._must_adopt = True
        self._quotas.reset_baselines()

    def _find_origin(self, beat: GossipMessage) -> Origin:
        is_near = beat.data_centre == self._peers.own_member.data_centre
        return Origin.LOCAL if is_near else Origin.REMOTE

    def _take_loads(self, beat: GossipMessage) -> None:
        now = self._clock.now()
        told = {n.incarnation: n for n in beat.loads}
        for name, state in self._targets.states.items():
            load = told.get(name)
            if load is None:
                state.peer_loads.pop(beat.node, None)
            else:
                state.peer_loads[beat.node] = PeerLoad(
                    load.in_flight,
                    load.long_in_flight,
                    load.prefill_tokens,
                    load.memory_tokens_used,
                    now + load.busy_for,
                    load.successes,
                    load.failures,
                    now,
                )

    def _take_parts(self, beat: GossipMessage) -> None:
        origin = self._find_origin(beat)
        self._kept.receive(beat.stored_segments, origin)
        for news in beat.prefills:
            self._targets.record_prefill(news, origin)

    def _take_targets(self, beat: GossipMessage) -> None:
        states = self._targets.states
        now = self._clock.now()
        changed = False
        for version in beat.weights_versions:
            state = states.get(version.incarnation)
            if state is not None:
                changed |= state.record_weights_version(
                    version.model, version.version
                )
        for loading in beat.weights_loads:
            state = states.get(loading.incarnation)
            if state is not None and not state.is_loading_by_this_vm:
                state.weights_loading_until = now + loading.time_left
        if changed:
            self._targets.notify_changed()

    def _forget(self, node: str) -> None:
        self._quotas.remove_peer(node)
        for state in self._targets.states.values():
            state.peer_loads.pop(node, None)


def _is_worth_telling(load: LoadReport) -> bool:
    return load.in_flight > 0 or load.failures > _LEAST_OUTCOME


def _subtract(load: LoadReport, part: PeerLoad) -> LoadReport:
    return load._replace(
        in_flight=load.in_flight - part.in_flight,
        long_in_flight=load.long_in_flight - part.long_in_flight,
        prefill_tokens=load.prefill_tokens - part.prefill_tokens,
        memory_tokens_used=load.memory_tokens_used - part.memory_tokens_used,
        successes=round(load.successes - part.successes, 2),
        failures=round(load.failures - part.failures, 2),
    )


def _make_load(
    name: str, state: TargetState, sources: list[str], now: float
) -> LoadReport:
    loads = [state.peer_loads[n] for n in sources if n in state.peer_loads]
    loads = [p for p in loads if p.is_recent(now)]
    until = max(
        [now, *state.expected_ends.values(), *(p.busy_until for p in loads)]
    )
    return LoadReport(
        name,
        state.in_flight + sum(p.in_flight for p in loads),
        state.long_in_flight + sum(p.long_in_flight for p in loads),
        float(
            round(state.prefill_tokens + sum(p.prefill_tokens for p in loads))
        ),
        float(
            round(
                state.memory_tokens_used
                + sum(p.memory_tokens_used for p in loads)
            )
        ),
        round(until - now, 2),
        round(state.successes + sum(p.successes for p in loads), 2),
        round(state.failures + sum(p.failures for p in loads), 2),
    )


__all__ = [
    'Gossip',
]
