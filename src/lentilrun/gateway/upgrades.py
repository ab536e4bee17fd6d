"""Brings engines to the weights that operators name."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..decisions.upgrades import compute_drain_timeout
from ..decisions.upgrades import compute_takeover_delay
from ..decisions.upgrades import pick_upgrade_round
from ..decisions.upgrades import UpgradeCandidate
from ..errors import ConflictError
from ..errors import PlatformError
from ..platform import engines
from ..platform.engines import WeightsLoadOrder

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..platform.engines import EngineReport
    from ..web.client import Client
    from .logs import Log
    from .messages import GossipMessage
    from .orderlease import OrderLease
    from .peers import Peers
    from .targets import Targets
    from .targets import TargetState
    from .view import View

_IDLE_PAUSE_S = 0.5
_WORK_PAUSE_S = 0.05
# A load takes about this long; the state is asked for from then on.
_FIRST_LOOK_S = 0.3
_LOOK_PAUSE_S = 0.12
_LOAD_LIMIT_S = 4.0
# How long others keep requests off an engine without news of its load.
_CORDON_S = 0.9
# The longest time for which an engine may become empty.
_EMPTY_LIMIT_S = 4.0
# An engine that gave no answer is asked again after this.
_RETRY_S = 0.5
# The others are at work if they were heard of it within this time.
_ACTIVE_S = 0.8
_LEASE_RETRY_S = 0.15


class Upgrades:
    """Orders engines to load weights, as the one VM that does so."""

    def __init__(
        self,
        node: str,
        clock: Clock,
        client: Client,
        view: View,
        targets: Targets,
        peers: Peers,
        lease: OrderLease,
        limit: float,
        log: Log,
    ) -> None:
        """Be done ``limit`` seconds after weights were named."""
        self._node = node
        self._clock = clock
        self._client = client
        self._view = view
        self._targets = targets
        self._peers = peers
        self._lease = lease
        self._limit = limit
        self._log = log
        self._found = asyncio.Event()
        self._active_at = float('-inf')
        self._work_since: float | None = None
        self._loads: dict[str, asyncio.Task[None]] = {}
        self._skipped: dict[str, float] = {}
        self.is_leaving = False
        view.on_weights.append(self._found.set)
        peers.on_message.append(self._note_beat)

    def _note_beat(self, beat: GossipMessage) -> None:
        if beat.weights_loads:
            self._active_at = self._clock.now()

    async def run(self) -> None:
        """Look for work for ever."""
        while True:
            try:
                pause = await self._step()
            except (ConflictError, PlatformError) as error:
                self._log.write('lease_not_taken', error=error)
                pause = _LEASE_RETRY_S
            await self._sleep(pause)

    async def _sleep(self, pause: float) -> None:
        try:
            async with asyncio.timeout(pause):
                await self._found.wait()
        except TimeoutError:
            return
        self._found.clear()

    async def _step(self) -> float:
        """Do what is due; return the pause until the next step."""
        if self.is_leaving or not self._find_work():
            self._work_since = None
            return _IDLE_PAUSE_S
        now = self._clock.now()
        if self._work_since is None:
            self._work_since = now
        if not self._lease.is_held():
            wait = self._find_patience() - now
            if wait > 0.0:
                return min(wait, _IDLE_PAUSE_S)
        wait = await self._lease.acquire()
        if wait > 0.0:
            return min(wait, _IDLE_PAUSE_S)
        for model, names in self._find_work().items():
            for name in names:
                self._start(model, name)
        return _WORK_PAUSE_S

    def _find_patience(self) -> float:
        """Return the time until which the work is left to others."""
        assert self._work_since is not None
        turn = self._work_since + compute_takeover_delay(
            self._node, self._peers.list_responsive()
        )
        return max(turn, self._active_at + _ACTIVE_S)

    def _find_work(self) -> dict[str, list[str]]:
        """Return the engines to order now, by model."""
        found = {}
        now = self._clock.now()
        for model, wanted in self._view.announced.items():
            seen = [
                UpgradeCandidate(
                    n,
                    s.weights_versions[model],
                    self._is_out(n, s),
                    s.busy_for(now),
                    self._view.stale_for(model, s.weights_versions[model]),
                )
                for n, s in self._targets.states.items()
                if model in s.weights_versions and not s.target.is_draining
            ]
            names = pick_upgrade_round(seen, wanted.newest_version)
            if names or self._loads:
                found[model] = names
        return found

    def _is_out(self, name: str, state: TargetState) -> bool:
        now = self._clock.now()
        return (
            name in self._loads
            or state.weights_loading_until > now
            or self._skipped.get(name, now) > now
        )

    def _start(self, model: str, name: str) -> None:
        state = self._targets.states[name]
        self._cordon(state)
        task = asyncio.ensure_future(self._load(model, state))
        self._loads[name] = task
        task.add_done_callback(lambda _: self._end(name, state))

    def _cordon(self, state: TargetState) -> None:
        state.is_loading_by_this_vm = True
        state.weights_loading_until = self._clock.now() + _CORDON_S
        self._peers.request_send()

    def _end(self, name: str, state: TargetState) -> None:
        self._loads.pop(name, None)
        state.is_loading_by_this_vm = False
        state.weights_loading_until = float('-inf')
        self._targets.notify_changed()
        self._peers.request_send()
        self._found.set()

    async def _load(self, model: str, state: TargetState) -> None:
        """Bring one engine to the wanted version."""
        name = state.target.incarnation
        began = self._clock.now()
        await self._empty(model, state)
        wanted = self._view.announced[model].newest_version
        try:
            report = await engines.read_report(self._client, state.target)
            outcome = await self._bring(model, wanted, state, report)
        except PlatformError as error:
            outcome = str(error)
        if outcome != 'loaded':
            self._skipped[name] = self._clock.now() + _RETRY_S
        self._log.write(
            'weights_load',
            target=name,
            model=model,
            version=wanted,
            outcome=outcome,
            seconds=round(self._clock.now() - began, 3),
            fence=self._lease.fence,
        )

    async def _empty(self, model: str, state: TargetState) -> None:
        """Wait until an engine runs nothing, while there is time."""
        until = self._clock.now() + _EMPTY_LIMIT_S
        while self._clock.now() < until:
            now = self._clock.now()
            stale = self._view.stale_for(model, state.weights_versions[model])
            if not state.count_in_flight(now):
                return
            if not compute_drain_timeout(stale, self._limit):
                return
            if not self._lease.is_held():
                return
            state.weights_loading_until = now + _CORDON_S
            await asyncio.sleep(_WORK_PAUSE_S)

    async def _bring(
        self, model: str, wanted: int, state: TargetState, report: EngineReport
    ) -> str:
        if self._note(model, state, report) >= wanted:
            return 'loaded'
        if not report.is_busy:
            if not self._lease.is_held():
                return 'lease lapsed'
            order = WeightsLoadOrder(
                model,
                wanted,
                'wait',
                self._node,
                self._lease.fence,
                report.order_count,
            )
            try:
                taken = await engines.send_weights_load_order(
                    self._client, state.target, order
                )
            except PlatformError as error:
                return f'no answer to the order: {error}'
            if not taken:
                return 'order refused'
        return await self._watch(model, wanted, state)

    async def _watch(self, model: str, wanted: int, state: TargetState) -> str:
        until = self._clock.now() + _LOAD_LIMIT_S
        pause = _FIRST_LOOK_S
        while self._clock.now() < until:
            await asyncio.sleep(pause)
            pause = _LOOK_PAUSE_S
            state.weights_loading_until = self._clock.now() + _CORDON_S
            report = await engines.read_report(self._client, state.target)
            if self._note(model, state, report) >= wanted:
                return 'loaded'
            if not report.is_busy:
                return 'not loaded'
        return 'took too long'

    def _note(
        self, model: str, state: TargetState, report: EngineReport
    ) -> int:
        version = report.weights_versions.get(model, 0)
        state.record_weights_version(model, version)
        return version


__all__ = [
    'Upgrades',
]
