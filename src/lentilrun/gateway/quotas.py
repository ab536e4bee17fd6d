"""The use of all workspaces' quotas, summed over all VMs."""

from __future__ import annotations

import collections
import math
import random
from typing import TYPE_CHECKING

from ..decisions.quota import UsageWindow
from .recent import Origin

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ..coordination.clock import Clock
    from ..decisions.facts import Configuration
    from ..decisions.facts import Workspace
    from ..decisions.quota import QuotaTolerance
    from .messages import Scope
    from .peers import Peers


# The highest use of so many of the last seconds of a checkpoint is assumed to
# have continued: the last one lacks what VMs had not reported by then.
_RECENT_SECONDS = 3
# By how much the use may have grown since then.
_ASSUMED_GROWTH = 1.4


class Quotas:
    """The use of all VMs by workspace, in tokens.

    The tokens that are reported to other VMs are counted from the start of
    this process.
    """

    def __init__(
        self, clock: Clock, peers: Peers, tolerance: QuotaTolerance
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._tolerance = tolerance
        self._windows: dict[str, UsageWindow] = {}
        # Tokens in the last message by peer, scope and workspace.
        self._baselines: dict[str, dict[Scope, dict[str, float]]] = {}
        self._is_configured = False
        self._received_by_origin: dict[Origin, dict[str, float]] = {
            Origin.LOCAL: {},
            Origin.REMOTE: {},
        }
        self._received_by_peer: dict[str, dict[str, float]] = {}
        self._admitted: dict[str, float] = {}

    def _window(self, name: str) -> UsageWindow:
        window = self._windows.get(name)
        if window is None:
            window = UsageWindow(self._tolerance)
            self._windows[name] = window
        return window

    def configure(self, configuration: Configuration) -> None:
        """Apply the rates of a configuration."""
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
        """Charge a request and return 0, or the delay until it fits, in s."""
        delay = self.compute_delay(workspace, tokens)
        if not delay:
            self._add_use(workspace.name, tokens)
        return delay

    def compute_delay(self, workspace: Workspace, tokens: float) -> float:
        """Return the delay until a request fits, in seconds; 0 if now."""
        return self._windows[workspace.name].compute_delay(
            tokens,
            self._peers.count_members(),
            self._peers.count_unresponsive(),
            self._clock.now(),
            self._peers.report_lag(),
            random.random(),
        )

    def refund(self, workspace: Workspace, tokens: float) -> None:
        """Refund the charge of a request that has not run."""
        if workspace.name in self._windows:
            self._add_use(workspace.name, -tokens)

    def _add_use(self, name: str, tokens: float) -> None:
        window = self._windows[name]
        window.add(tokens, self._clock.now())
        window.unreported_tokens = max(0.0, window.unreported_tokens + tokens)
        self._admitted[name] = self._admitted.get(name, 0.0) + tokens

    def mark_reported(self) -> None:
        """Record that all use until now was reported to the other VMs."""
        for window in self._windows.values():
            window.unreported_tokens = 0.0

    def export_admitted(self, max_origin: Origin) -> dict[str, float]:
        """Return the tokens that this and other VMs admitted, by workspace.

        Of the others, those no further away than ``max_origin`` are
        included.
        """
        total = collections.Counter(self._admitted)
        for origin, received in self._received_by_origin.items():
            if origin <= max_origin:
                total.update(received)
        return {n: float(round(t)) for n, t in total.items()}

    def exclude_peer(
        self, admitted: dict[str, float], peer: str
    ) -> dict[str, float]:
        """Return ``admitted`` without the tokens that a peer reported."""
        received = self._received_by_peer.get(peer)
        if not received:
            return admitted
        return {
            n: t - round(received.get(n, 0.0)) for n, t in admitted.items()
        }

    def used_tokens(self, workspace: Workspace) -> float:
        """Return the tokens that all VMs admitted during the window."""
        return self._windows[workspace.name].used_tokens

    def export(self) -> dict[str, list[int]]:
        """Return the tokens of each second in the window, by workspace."""
        now = self._clock.now()
        uses = {n: w.export(now) for n, w in self._windows.items()}
        return {n: u for n, u in uses.items() if u}

    def receive_usage(
        self,
        peer: str,
        scope: Scope,
        admitted: dict[str, float],
        origin: Origin,
        is_counted: bool,
    ) -> bool:
        """Count the tokens that a peer admitted since its last message.

        ``admitted`` holds tokens since the start of the peer's process.
        If another VM reports the same requests, ``is_counted`` is not set:
        the tokens are then only stored as the baseline for later messages.

        Return whether there was no baseline: what the peer counted until
        then is not counted by this call.
        """
        baselines = self._baselines.setdefault(peer, {})
        baseline = baselines.get(scope)
        baselines[scope] = dict(admitted)
        if baseline is None or not is_counted:
            return baseline is None
        for name, tokens in admitted.items():
            added = tokens - baseline.get(name, 0.0)
            if added and name in self._windows:
                self._add_received(name, added, peer, origin)
        return False

    def _add_received(
        self, name: str, tokens: float, peer: str, origin: Origin
    ) -> None:
        self._windows[name].add(tokens, self._clock.now())
        from_peer = self._received_by_peer.setdefault(peer, {})
        for received in (self._received_by_origin[origin], from_peer):
            received[name] = received.get(name, 0.0) + tokens

    def remove_peer(self, peer: str) -> None:
        """Discard the baselines of a peer whose process has ended.

        The tokens that it reported stay counted, as all sums include them.
        """
        self._baselines.pop(peer, None)

    def reset_baselines(self) -> None:
        """Discard all baselines: the next messages set new ones."""
        self._baselines.clear()

    def adopt(self, uses: dict[str, list[int]]) -> None:
        """Apply counts of other processes after the start of this one.

        ``uses`` holds the tokens of each second, newest first, by
        workspace.
        """
        now = self._clock.now()
        for name, used_per_second in uses.items():
            self._adopt(name, used_per_second, now)

    def adopt_checkpoint(self, uses: dict[str, list[int]], age: float) -> None:
        """Apply counts that were saved ``age`` seconds ago.

        What VMs had not reported by then, and what they admitted until all
        of them ended, is not among them. When that was is not known: the VM
        that saves may have lost the store before. So the use is assumed to
        have continued until now, up to what the limit allows.
        """
        now = self._clock.now()
        window = self._tolerance.window
        uncounted_s = min(age, window) + self._peers.report_lag()
        for name, used_per_second in uses.items():
            rate = _ASSUMED_GROWTH * max(used_per_second[:_RECENT_SECONDS])
            known = sum(used_per_second[: max(0, math.ceil(window - age))])
            allowed = self._window(name).count_allowed()
            uncounted = min(rate * uncounted_s, max(0.0, allowed - known))
            gap = [0.0] * max(0, math.floor(age) - 1)
            self._adopt(name, [uncounted, *gap, *used_per_second], now)

    def _adopt(
        self, name: str, used_per_second: Sequence[float], until: float
    ) -> None:
        window = self._window(name)
        window.discard_expired(self._clock.now())
        window.adopt(used_per_second, until)
        window.discard_expired(self._clock.now())

    def export_for_checkpoint(self) -> dict[str, list[int]]:
        """Return the use that must be kept if all VMs restart."""
        now = self._clock.now()
        return {
            n: w.export(now)
            for n, w in self._windows.items()
            if w.needs_checkpoint()
        }


__all__ = [
    'Quotas',
]
