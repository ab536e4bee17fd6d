"""The VMs that pass calls on for this one while it reaches no target."""

from __future__ import annotations

import collections
import contextlib
import random
from typing import TYPE_CHECKING

from ..decisions.helpers import HelperCandidate
from ..decisions.helpers import pick_helper

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..coordination.clock import Clock
    from ..decisions.regions import Restriction
    from .peers import Peer
    from .peers import Peers

# A VM that could not pass a call on is not asked again for this time.
_UNFIT_S = 1.0
# While other VMs have no target of a service either, none is asked.
_NO_TARGET_S = 0.5

_random = random.Random()


class Helpers:
    """Picks helpers and remembers those that could not help."""

    def __init__(self, clock: Clock, peers: Peers) -> None:
        self._clock = clock
        self._peers = peers
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._unfit_until: dict[str, float] = {}
        # By service, and the restriction of the call that was refused.
        self._no_target_until: dict[tuple[str, Restriction | None], float] = {}

    def pick(
        self, service: str, restriction: Restriction | None
    ) -> Peer | None:
        """Return a VM that may reach a target of a service, if any.

        A call with a ``restriction`` goes to no other VMs.
        """
        now = self._clock.now()
        if self._no_target_until.get((service, restriction), now) > now:
            return None
        peers = self._peers.by_name
        name = pick_helper(
            [
                c
                for c in self._list_candidates()
                if restriction is None or c.data_centre in restriction.vms
            ],
            self._peers.own_member.data_centre,
            self._list_refused(now),
            _random,
        )
        return None if name is None else peers[name]

    def _list_candidates(self) -> list[HelperCandidate]:
        """Return the other VMs but those known to be silent or cut off."""
        unfit = self._peers.list_cut_off() | self._peers.list_silent()
        return [
            HelperCandidate(n, p.member.data_centre, self._in_flight[n])
            for n, p in self._peers.by_name.items()
            if n not in unfit
        ]

    def _list_refused(self, now: float) -> set[str]:
        self._unfit_until = {
            n: t for n, t in self._unfit_until.items() if t > now
        }
        return set(self._unfit_until)

    @contextlib.contextmanager
    def count(self, peer: Peer) -> Iterator[None]:
        """Count a call that a VM passes on."""
        name = peer.member.name
        self._in_flight[name] += 1
        try:
            yield
        finally:
            self._in_flight[name] -= 1

    def record_unfit(self, peer: Peer) -> None:
        """Record that a VM can't pass calls on now."""
        self._unfit_until[peer.member.name] = self._clock.now() + _UNFIT_S

    def record_no_target(
        self, service: str, restriction: Restriction | None
    ) -> None:
        """Record that another VM has no target of a service either."""
        now = self._clock.now()
        self._no_target_until = {
            key: until
            for key, until in self._no_target_until.items()
            if until > now
        }
        self._no_target_until[service, restriction] = now + _NO_TARGET_S


__all__ = ['Helpers']
