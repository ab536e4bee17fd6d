"""The quotas of all workspaces, as all VMs together use them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.quota import Bucket
from ..decisions.quota import share_of_silent

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..decisions.facts import Configuration
    from ..decisions.facts import Workspace

# What a bucket may be overdrawn by, as a share of the slack that the users
# give: reports of other VMs lag, and one request is charged as a whole.
_SLACK_SHARE = 0.25


class Quotas:
    """Buckets by workspace, fed with the use of all VMs."""

    def __init__(self, clock: Clock, slack: float) -> None:
        """Allow ``slack`` tokens beyond the limit of all VMs together."""
        self._clock = clock
        self._floor = -slack * _SLACK_SHARE
        self._buckets: dict[str, Bucket] = {}
        self._seen: dict[tuple[str, str], float] = {}
        self._reserved_at = clock.now()
        self.used: dict[str, float] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the rates of a configuration."""
        now = self._clock.now()
        for name, workspace in configuration.workspaces.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                made = Bucket(workspace.rate, workspace.burst, now)
                self._buckets[name] = made
            else:
                bucket.refill(now)
                bucket.change(workspace.rate, workspace.burst)
        for name in list(self._buckets):
            if name not in configuration.workspaces:
                del self._buckets[name]

    def charge(self, workspace: Workspace, tokens: float) -> float:
        """Charge a request, or return the delay after which it fits."""
        bucket = self._buckets[workspace.name]
        bucket.refill(self._clock.now())
        delay = bucket.find_delay(self._floor)
        if not delay:
            self._use(workspace.name, tokens)
        return delay

    def refund(self, workspace: Workspace, tokens: float) -> None:
        """Give back what a request that has not run was charged."""
        if workspace.name in self._buckets:
            self._use(workspace.name, -tokens)

    def _use(self, name: str, tokens: float) -> None:
        self._buckets[name].charge(tokens)
        self.used[name] = self.used.get(name, 0.0) + tokens

    def take_usage(self, peer: str, used: dict[str, float]) -> None:
        """Charge what a peer used since its last message.

        ``used`` holds tokens since the start of the peer's process.
        """
        for name, tokens in used.items():
            before = self._seen.get((peer, name))
            self._seen[peer, name] = tokens
            bucket = self._buckets.get(name)
            if before is not None and bucket is not None:
                bucket.charge(tokens - before)

    def forget(self, peer: str) -> None:
        """Forget a peer's process that has ended."""
        for key in [k for k in self._seen if k[0] == peer]:
            del self._seen[key]

    def levels(self) -> dict[str, float]:
        """Return the tokens in each bucket."""
        now = self._clock.now()
        for bucket in self._buckets.values():
            bucket.refill(now)
        return {n: b.level for n, b in self._buckets.items()}

    def adopt(self, levels: dict[str, float]) -> None:
        """Take the levels of a peer, as a process that just started."""
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.refill(self._clock.now())
                bucket.level = min(bucket.burst, level)

    def reserve(self, members: int, silent: int) -> None:
        """Charge the share of VMs that have said nothing lately."""
        now = self._clock.now()
        elapsed = now - self._reserved_at
        self._reserved_at = now
        if not silent:
            return
        for bucket in self._buckets.values():
            bucket.refill(now)
            share = share_of_silent(bucket.rate, members, silent)
            bucket.charge(share * elapsed)


__all__ = ['Quotas']
