"""What a VM tells the others, and what it takes from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .peers import Beat
from .peers import LoadingNews
from .peers import LoadNews
from .peers import VersionNews
from .targets import PeerLoad

if TYPE_CHECKING:
    from ..config.ini import Address
    from ..coordination.clock import Clock
    from .crashes import Crashes
    from .peers import Peers
    from .quotas import Quotas
    from .targets import Targets
    from .targets import TargetState

# Outcomes below this weight are not worth telling.
_LEAST_OUTCOME = 0.05


class News:
    """Makes this VM's message and takes those of the others."""

    def __init__(
        self,
        node: str,
        address: Address,
        clock: Clock,
        peers: Peers,
        targets: Targets,
        quotas: Quotas,
        crashes: Crashes,
    ) -> None:
        self._node = node
        self._address = address
        self._clock = clock
        self._peers = peers
        self._targets = targets
        self._quotas = quotas
        self._crashes = crashes
        self.is_leaving = False
        peers.make_beat = self.make
        peers.on_beat.append(self.take)
        peers.on_restart.append(self._forget)

    def make(self) -> Beat:
        """Return what this VM knows now."""
        self._quotas.note_told()
        return Beat(
            self._node,
            self._address.host,
            self._address.port,
            self._peers.incarnation,
            self.is_leaving,
            self._list_loads(),
            self._list_loading(),
            self._list_versions(),
            self._crashes.export(),
            {n: float(round(t)) for n, t in self._quotas.told.items()},
            self._quotas.export(),
            {},
        )

    def _list_loads(self) -> list[LoadNews]:
        now = self._clock.now()
        found = []
        for name, state in self._targets.states.items():
            state.weigh_outcomes(now)
            if state.running or state.bad > _LEAST_OUTCOME:
                found.append(_make_load(name, state, now))
        return found

    def _list_loading(self) -> list[LoadingNews]:
        now = self._clock.now()
        return [
            LoadingNews(n, round(s.loading_until - now, 3))
            for n, s in self._targets.states.items()
            if s.is_loaded_by_us and s.loading_until > now
        ]

    def _list_versions(self) -> list[VersionNews]:
        return [
            VersionNews(n, m, v)
            for n, s in self._targets.states.items()
            for m, v in s.versions.items()
            if v > s.target.versions.get(m, 0)
        ]

    def take(self, beat: Beat) -> None:
        """Take what another VM knows."""
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
        self._take_targets(beat)
        self._crashes.take(beat.node, beat.crashes)
        self._quotas.take_usage(beat.node, beat.told)
        if self._peers.is_young():
            self._quotas.adopt(beat.used)

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
            if state is not None:
                state.loading_until = now + loading.left
                state.is_loaded_by_us = False
        if changed:
            self._targets.changed()

    def _forget(self, node: str) -> None:
        self._quotas.forget(node)
        for state in self._targets.states.values():
            state.peers.pop(node, None)


def _make_load(name: str, state: TargetState, now: float) -> LoadNews:
    return LoadNews(
        name,
        state.running,
        state.long_running,
        float(round(state.unread)),
        float(round(state.held)),
        round(max([now, *state.ends.values()]) - now, 2),
        round(state.good, 2),
        round(state.bad, 2),
    )


__all__ = ['News']
