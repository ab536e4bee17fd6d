"""The quotas of all workspaces, as all VMs together use them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.quota import UsageWindow

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..decisions.facts import Configuration
    from ..decisions.facts import Workspace
    from ..decisions.quota import Allowance
    from .peers import Peers


class Quotas:
    """Use by workspace, fed with that of all VMs; sizes in tokens.

    ``told`` holds what this process let in since its start.
    """

    def __init__(
        self, clock: Clock, peers: Peers, allowance: Allowance
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._allowance = allowance
        self._windows: dict[str, UsageWindow] = {}
        self._seen: dict[tuple[str, str], float] = {}
        self.told: dict[str, float] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the rates of a configuration."""
        for name, workspace in configuration.workspaces.items():
            window = self._windows.get(name)
            if window is None:
                self._windows[name] = UsageWindow(
                    workspace.rate,
                    workspace.burst,
                    self._allowance,
                    self._clock.now(),
                )
            else:
                window.change(workspace.rate, workspace.burst)
        for name in list(self._windows):
            if name not in configuration.workspaces:
                del self._windows[name]

    def charge(self, workspace: Workspace, tokens: float) -> float:
        """Charge a request, or return the delay after which it fits."""
        delay = self._windows[workspace.name].find_delay(
            tokens,
            self._peers.members(),
            self._peers.silent(),
            self._clock.now(),
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
        window.untold = max(0.0, window.untold + tokens)
        self.told[name] = self.told.get(name, 0.0) + tokens

    def note_told(self) -> None:
        """Note that the others were told of all use until now."""
        for window in self._windows.values():
            window.untold = 0.0

    def used(self, workspace: Workspace) -> float:
        """Return what all VMs let in during the window."""
        return self._windows[workspace.name].used

    def uses(self) -> dict[str, float]:
        """Return what all VMs let in during the window, by workspace."""
        now = self._clock.now()
        for window in self._windows.values():
            window.drop_old(now)
        return {n: w.used for n, w in self._windows.items()}

    def take_usage(self, peer: str, told: dict[str, float]) -> None:
        """Count what a peer let in since its last message.

        ``told`` holds tokens since the start of the peer's process.
        """
        now = self._clock.now()
        for name, tokens in told.items():
            before = self._seen.get((peer, name))
            self._seen[peer, name] = tokens
            window = self._windows.get(name)
            if before is not None and window is not None:
                window.add(tokens - before, now)

    def forget(self, peer: str) -> None:
        """Forget a peer's process that has ended."""
        for key in [k for k in self._seen if k[0] == peer]:
            del self._seen[key]

    def adopt(self, uses: dict[str, float]) -> None:
        """Take the counts of a peer, as a process that just started."""
        now = self._clock.now()
        for name, tokens in uses.items():
            window = self._windows.get(name)
            if window is not None:
                window.replace(tokens, now)


__all__ = ['Quotas']
