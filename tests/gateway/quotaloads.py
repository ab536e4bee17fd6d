"""Load of one workspace on a modelled fleet whose VMs are all killed.

What VMs admit and refuse is recorded on simulated time, so that the use of
every window and the false refusals can be counted afterwards.
"""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from deployments import BOUNDS
from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import make_configuration
from modelledfleets import ModelledFleet
import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from lentilrun.decisions.facts import Workspace
    from lentilrun.gateway.node import Node
    from lentilrun.standins.timeloop import TimeLoop
    import pytest

WORKSPACE = 'workspace'
RATE = 50_000.0
BURST = 50_000.0
ENTITLEMENT = RATE * BOUNDS.quota_window + BURST
_STEP_S = 0.02
_REQUEST_TOKENS = 1500.0
# After the start, the use that is assumed for the past has expired by then.
_WARM_UP_S = 11.0
_MIN_DOWN_S = 0.5
_MAX_DOWN_S = 1.5


class Attempt(NamedTuple):
    """A request ``at`` a time in s, from the kill on."""

    at: float
    tokens: float
    is_admitted: bool


class LoadPlan(NamedTuple):
    """Loads as multiples of the entitlement; times in s before the kill.

    The load is ``before`` from ``lasts`` on, and ``jump`` from ``jump_at``
    on and after the restart.
    """

    before: float
    jump: float
    lasts: float = 10.0
    jump_at: float = 0.0


class QuotaFleet:
    """A fleet under the load of one workspace; records its requests."""

    def __init__(
        self,
        loop: TimeLoop,
        monkeypatch: pytest.MonkeyPatch,
        data_centres: dict[str, int],
        seed: int,
    ) -> None:
        """Build the VMs."""
        self.loop = loop
        self.rng = random.Random(seed)
        self.fleet = ModelledFleet(loop, monkeypatch, data_centres)
        monkeypatch.setattr('lentilrun.gateway.quotas.random', self.rng)
        self.attempts: list[Attempt] = []
        self.load = 0.0
        self._killed_at = 0.0
        self._due = 0.0

    async def play(
        self,
        plan: LoadPlan,
        after_s: float,
        events: dict[float, Callable[[ModelledFleet], None]],
    ) -> None:
        """Play a plan, with ``events`` by their time before the kill, in s."""
        with self.fleet as fleet:
            fleet.start()
            await asyncio.sleep(_WARM_UP_S + self.rng.random())
            self._killed_at = self.loop.time() + plan.lasts
            sender = asyncio.ensure_future(self._send())
            for lead, event in events.items():
                self.loop.call_at(self._killed_at - lead, event, fleet)
            self.load = plan.before
            await self._sleep_until(-plan.jump_at)
            self.load = plan.jump
            await self._sleep_until(0.0)
            await self._restart()
            await self._sleep_until(after_s)
            sender.cancel()

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self._killed_at + at - self.loop.time()))

    async def _restart(self) -> None:
        """Kill all VMs at once; each starts again after its own time."""
        for name in list(self.fleet.nodes):
            self.fleet.stop(name)
        for name in list(self.fleet.nodes):
            down = self.rng.uniform(_MIN_DOWN_S, _MAX_DOWN_S)
            self.loop.call_later(down, self.fleet.replace, name)

    async def _send(self) -> None:
        while True:
            self._due += (
                self.load * ENTITLEMENT / BOUNDS.quota_window * _STEP_S
            )
            while self._due >= _REQUEST_TOKENS:
                self._due -= _REQUEST_TOKENS
                self._send_request()
            await asyncio.sleep(_STEP_S)

    def _send_request(self) -> None:
        running = list(self.fleet)
        if not running:
            return
        node = self.rng.choice(running)
        workspace = _find_workspace(node)
        if workspace is None:
            return
        delay = node.quotas.charge(workspace, _REQUEST_TOKENS)
        at = self.loop.time() - self._killed_at
        self.attempts.append(Attempt(at, _REQUEST_TOKENS, not delay))

    def peak_use(self, since: float = -100.0) -> float:
        """Return the highest use of a window that starts after ``since``."""
        admitted = [a for a in self.attempts if a.is_admitted]
        peak = used = 0.0
        first = 0
        for last in admitted:
            used += last.tokens
            while admitted[first].at <= last.at - BOUNDS.quota_window:
                used -= admitted[first].tokens
                first += 1
            if last.at - BOUNDS.quota_window >= since:
                peak = max(peak, used)
        return peak

    def count_refused_share(self, since: float, until: float) -> float:
        """Return the share of the requests of a time that were refused."""
        sent = [a for a in self.attempts if since <= a.at < until]
        return sum(not a.is_admitted for a in sent) / max(1, len(sent))


def _find_workspace(node: Node) -> Workspace | None:
    configuration = node.view.configuration
    if configuration is None:
        return None
    return configuration.workspaces[WORKSPACE]


def allowed_use(rate: float = RATE, burst: float = BURST) -> float:
    """Return the tokens that may run in a window."""
    entitlement = rate * BOUNDS.quota_window + burst
    allowed = entitlement * (1.0 + BOUNDS.quota_overage)
    return allowed + BOUNDS.quota_slack


def set_limits(
    fleet: ModelledFleet, version: int, rate: float, burst: float
) -> None:
    """Write a configuration with other limits of the workspace."""
    tenant = {
        'name': WORKSPACE,
        'api-keys': [KEY],
        'plain-tokens': 200,
        'rate-per-s': rate,
        'burst': burst,
    }
    configuration = make_configuration(version, tenants=[tenant])
    fleet.state.put('op', 'config', msgspec.json.encode(configuration))


__all__ = [
    'allowed_use',
    'BURST',
    'ENTITLEMENT',
    'LoadPlan',
    'QuotaFleet',
    'RATE',
    'set_limits',
    'WORKSPACE',
]
