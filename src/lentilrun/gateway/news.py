"""What a VM tells the others, and what it takes from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import Beat
from .messages import LoadingNews
from .messages import LoadNews
from .messages import Scope
from .messages import VersionNews
from .recent import Origin
from .targets import PeerLoad

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..config.ini import Address
    from ..coordination.clock import Clock
    from .crashes import Crashes
    from .keptparts import KeptParts
    from .peers import Peers
    from .quotas import Quotas
    from .rowrelay import RowRelay
    from .targets import Targets
    from .targets import TargetState

# How far away what a message tells of may come from.
_FURTHEST = {
    Scope.OWN: Origin.OWN,
    Scope.GROUP: Origin.NEAR,
    Scope.REST: Origin.FAR,
}
# Outcomes below this weight are not worth telling.
_LEAST_OUTCOME = 0.05


class News:
    """Makes this VM's messages and takes those of the others."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        peers: Peers,
        targets: Targets,
        quotas: Quotas,
        crashes: Crashes,
        kept: KeptParts,
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
        peers.make_beats = self.make
        peers.on_beat.append(self.take)
        peers.on_restart.append(self._forget)

    def make(
        self, scope: Scope, recipients: list[str]
    ) -> Iterator[tuple[list[str], Beat]]:
        """Yield what recipients are to know now, with who gets it."""
        self._quotas.note_told()
        now = self._clock.now()
        sources = self._find_sources(scope)
        loads = self._list_loads(sources, now)
        beat = self._make_beat(
            [n for n in loads if _is_worth_telling(n)],
            self._quotas.tell(_FURTHEST[scope]),
            scope,
        )
        if scope is not Scope.REST:
            yield recipients, beat
            return
        for name in recipients:
            yield (
                [name],
                beat._replace(
                    loads=self._leave_out(loads, name, now),
                    told=self._quotas.leave_out(beat.told, name),
                ),
            )

    def _make_beat(
        self,
        loads: list[LoadNews],
        told: dict[str, float],
        scope: Scope,
    ) -> Beat:
        own = self._peers.own
        furthest = _FURTHEST[scope]
        return Beat(
            own.name,
            scope,
            own.data_centre,
            own.power,
            self._address.host,
            self._address.port,
            self._peers.incarnation,
            self.is_leaving,
            self._peers.silent(),
            self._relay.is_blind(),
            loads,
            self._list_loading(),
            self._list_versions(),
            self._crashes.recent.export(furthest),
            told,
            self._quotas.export(),
            self._relay.positions(),
            self._kept.recent.export(furthest),
            self._targets.read.export(furthest),
        )

    def _find_sources(self, scope: Scope) -> list[str]:
        """Return the VMs whose doings a message sums up with the own."""
        if scope is Scope.OWN:
            return []
        known = self._peers.known
        if scope is Scope.REST:
            return list(known)
        near = self._peers.own.data_centre
        return [n for n, p in known.items() if p.member.data_centre == near]

    def _list_loads(self, sources: list[str], now: float) -> list[LoadNews]:
        found = []
        for name, state in self._targets.states.items():
            state.weigh_outcomes(now)
            found.append(_make_load(name, state, sources, now))
        return found

    def _leave_out(
        self, loads: list[LoadNews], peer: str, now: float
    ) -> list[LoadNews]:
        """Return loads without what a peer itself runs."""
        found = []
        for load in loads:
            part = self._targets.states[load.incarnation].peers.get(peer)
            if part is not None and part.is_recent(now):
                load = _subtract(load, part)
            if _is_worth_telling(load):
                found.append(load)
        return found

    def _list_loading(self) -> list[LoadingNews]:
        now = self._clock.now()
        return [
            LoadingNews(n, round(s.loading_until - now, 3))
            for n, s in self._targets.states.items()
            if s.loading_until > now and self._tells_of_load(s)
        ]

    def _tells_of_load(self, state: TargetState) -> bool:
        # A hub hands on what another VM does; others only tell of theirs.
        return state.is_loaded_by_us or not self._peers.is_mesh()

    def _list_versions(self) -> list[VersionNews]:
        return [
            VersionNews(n, m, v)
            for n, s in self._targets.states.items()
            for m, v in s.versions.items()
            if v > s.target.weights_versions.get(m, 0)
        ]

    def take(self, beat: Beat) -> None:
        """Take what another VM knows."""
        self._note_speakers()
        counts = self._peers.counts(beat)
        self._quotas.take_usage(
            beat.node, beat.scope, beat.told, self._find_origin(beat), counts
        )
        self._take_loads(beat if counts else beat._replace(loads=[]))
        self._take_targets(beat)
        self._crashes.take(beat.crashes, self._find_origin(beat))
        self._take_parts(beat)
        if self._peers.is_young() or (counts and self._must_adopt):
            self._quotas.adopt(beat.used)
            self._must_adopt = False

    def _note_speakers(self) -> None:
        """Count use anew once other VMs tell of it.

        What was told by one VM before must not count once more when it is
        told by another; what nobody told meanwhile is adopted.
        """
        speakers = self._peers.list_speakers()
        if speakers == self._speakers:
            return
        self._speakers = speakers
        self._must_adopt = True
        self._quotas.forget_told()

    def _find_origin(self, beat: Beat) -> Origin:
        is_near = beat.data_centre == self._peers.own.data_centre
        return Origin.NEAR if is_near else Origin.FAR

    def _take_loads(self, beat: Beat) -> None:
        now = self._clock.now()
        told = {n.incarnation: n for n in beat.loads}
        for name, state in self._targets.states.items():
            load = told.get(name)
            if load is None:
                state.peers.pop(beat.node, None)
            else:
                state.peers[beat.node] = PeerLoad(
                    load.running,
                    load.long_running,
                    load.unread,
                    load.held,
                    now + load.busy_for,
                    load.good,
                    load.bad,
                    now,
                )

    def _take_parts(self, beat: Beat) -> None:
        origin = self._find_origin(beat)
        self._kept.take(beat.kept, origin)
        for news in beat.read:
            self._targets.note_read(news, origin)

    def _take_targets(self, beat: Beat) -> None:
        states = self._targets.states
        now = self._clock.now()
        changed = False
        for version in beat.versions:
            state = states.get(version.incarnation)
            if state is not None:
                changed |= state.note_version(version.model, version.version)
        for loading in beat.loading:
            state = states.get(loading.incarnation)
            if state is not None and not state.is_loaded_by_us:
                state.loading_until = now + loading.left
        if changed:
            self._targets.changed()

    def _forget(self, node: str) -> None:
        self._quotas.forget(node)
        for state in self._targets.states.values():
            state.peers.pop(node, None)


def _is_worth_telling(load: LoadNews) -> bool:
    return load.running > 0 or load.bad > _LEAST_OUTCOME


def _subtract(load: LoadNews, part: PeerLoad) -> LoadNews:
    return load._replace(
        running=load.running - part.running,
        long_running=load.long_running - part.long_running,
        unread=load.unread - part.unread,
        held=load.held - part.held,
        good=round(load.good - part.good, 2),
        bad=round(load.bad - part.bad, 2),
    )


def _make_load(
    name: str, state: TargetState, sources: list[str], now: float
) -> LoadNews:
    loads = [state.peers[n] for n in sources if n in state.peers]
    loads = [p for p in loads if p.is_recent(now)]
    until = max([now, *state.ends.values(), *(p.busy_until for p in loads)])
    return LoadNews(
        name,
        state.running + sum(p.running for p in loads),
        state.long_running + sum(p.long_running for p in loads),
        float(round(state.unread + sum(p.unread for p in loads))),
        float(round(state.held + sum(p.held for p in loads))),
        round(until - now, 2),
        round(state.good + sum(p.good for p in loads), 2),
        round(state.bad + sum(p.bad for p in loads), 2),
    )


__all__ = [
    'News',
]
