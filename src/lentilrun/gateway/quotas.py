"""The quotas of all workspaces, as all VMs together use them."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING

from ..decisions.quota import UsageWindow
from .recent import Origin

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..decisions.facts import Configuration
    from ..decisions.facts import Workspace
    from ..decisions.quota import QuotaTolerance
    from .messages import Scope
    from .peers import Peers


# Use is written down about as often, in seconds.
_UNWRITTEN_S = 1.2


class Quotas:
    """Use by workspace, fed with that of all VMs; sizes in tokens.

    What is told to others counts from the start of this process.
    """

    def __init__(
        self, clock: Clock, peers: Peers, allowance: QuotaTolerance
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._allowance = allowance
        self._windows: dict[str, UsageWindow] = {}
        self._seen: dict[str, dict[Scope, dict[str, float]]] = {}
        self._is_configured = False
        self._learned: dict[Origin, dict[str, float]] = {
            Origin.LOCAL: {},
            Origin.REMOTE: {},
        }
        self._learned_from: dict[str, dict[str, float]] = {}
        self._told: dict[str, float] = {}

    def _window(self, name: str) -> UsageWindow:
        window = self._windows.get(name)
        if window is None:
            window = UsageWindow(self._allowance)
            self._windows[name] = window
        return window

    def configure(self, configuration: Configuration) -> None:
        """Take the rates of a configuration."""
        now = self._clock.now()
        for name, workspace in configuration.workspaces.items():
            window = self._window(name)
            window.set_limits(workspace.rate, workspace.burst)
            if not self._is_configured:
                window.assume_prior_use(now)
        self._is_configured = True
        for name in list(self._windows):
            if name not in configuration.workspaces:
                del self._windows[name]

    def charge(self, workspace: Workspace, tokens: float) -> float:
        """Charge a request, or return the delay after which it fits."""
        delay = self._windows[workspace.name].compute_delay(
            tokens,
            self._peers.count_members(),
            self._peers.count_unresponsive(),
            self._clock.now(),
            random.random(),
        )
        if not delay:
            self._use(workspace.name, tokens)
        return delay

    def refund(self, workspace: Workspace, tokens: float) -> None:
        """Give back what a request that has not run was charged."""
        if workspace.name in self._windows:
            self._use(workspace.name, -tokens)

    def _use(self, name: str, tokens: float) -> None:
        window = self._windows[name]
        window.add(tokens, self._clock.now())
        window.unreported_tokens = max(0.0, window.unreported_tokens + tokens)
        self._told[name] = self._told.get(name, 0.0) + tokens

    def mark_reported(self) -> None:
        """Note that the others were told of all use until now."""
        for window in self._windows.values():
            window.unreported_tokens = 0.0

    def export_admitted(self, furthest: Origin) -> dict[str, float]:
        """Return what this VM let in, and what it learned of others."""
        total = collections.Counter(self._told)
        for origin, learned in self._learned.items():
            if origin <= furthest:
                total.update(learned)
        return {n: float(round(t)) for n, t in total.items()}

    def exclude_peer(
        self, told: dict[str, float], peer: str
    ) -> dict[str, float]:
        """Return what is told without what was learned from a peer."""
        learned = self._learned_from.get(peer)
        if not learned:
            return told
        return {n: t - round(learned.get(n, 0.0)) for n, t in told.items()}

    def used_tokens(self, workspace: Workspace) -> float:
        """Return what all VMs let in during the window."""
        return self._windows[workspace.name].used_tokens

    def export(self) -> dict[str, list[int]]:
        """Return the use of each second lately, by workspace."""
        now = self._clock.now()
        uses = {n: w.export(now) for n, w in self._windows.items()}
        return {n: u for n, u in uses.items() if u}

    def receive_usage(
        self,
        peer: str,
        scope: Scope,
        told: dict[str, float],
        origin: Origin,
        counts: bool,
    ) -> None:
        """Count what a peer tells of since its last such message.

        ``told`` holds tokens since the start of the peer's process. Where
        another VM tells of the same requests it is only remembered, so
        that counting can go on from here.
        """
        seen = self._seen.setdefault(peer, {})
        before = seen.get(scope)
        seen[scope] = dict(told)
        if before is None or not counts:
            return
        for name, tokens in told.items():
            gained = tokens - before.get(name, 0.0)
            if gained and name in self._windows:
                self._learn(name, gained, peer, origin)

    def _learn(
        self, name: str, tokens: float, peer: str, origin: Origin
    ) -> None:
        self._windows[name].add(tokens, self._clock.now())
        from_peer = self._learned_from.setdefault(peer, {})
        for learned in (self._learned[origin], from_peer):
            learned[name] = learned.get(name, 0.0) + tokens

    def remove_peer(self, peer: str) -> None:
        """Forget what a peer's process told that has ended.

        What was learned from it stays: it is a part of all sums.
        """
        self._seen.pop(peer, None)

    def reset_baselines(self) -> None:
        """Count what is told from the next messages on."""
        self._seen.clear()

    def adopt(self, uses: dict[str, list[int]], age: float = 0.0) -> None:
        """Take counts of others, as a process that just started.

        ``age`` is the time since they were made, in seconds. For the time
        since then the use of their last second is assumed to go on.
        """
        now = self._clock.now()
        unknown = min(age, _UNWRITTEN_S)
        for name, seconds in uses.items():
            window = self._window(name)
            window.adopt([seconds[0] * unknown, *seconds], now - age + unknown)
            window.discard_expired(now)

    def export_for_checkpoint(self) -> dict[str, list[int]]:
        """Return the use that must outlive a restart of all VMs."""
        now = self._clock.now()
        return {
            n: w.export(now)
            for n, w in self._windows.items()
            if w.needs_checkpoint()
        }


__all__ = [
    'Quotas',
]
