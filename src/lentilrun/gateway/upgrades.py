"""Upgrades engines to the weights that operators announce."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from ..decisions.upgrades import compute_drain_timeout
from ..decisions.upgrades import compute_takeover_delay
from ..decisions.upgrades import pick_upgrade_round
from ..decisions.upgrades import UpgradeCandidate
from ..decisions.weightsage import may_begin_in_time
from ..errors import ConflictError
from ..errors import PlatformError
from ..platform import engines
from ..platform.engines import WeightsLoadOrder
from .events import wait_for_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..platform.engines import EngineReport
    from ..web.client import Client
    from .logs import Log
    from .messages import GossipMessage
    from .orderlease import OrderLease
    from .peers import Peers
    from .targets import Targets
    from .targetstate import TargetState
    from .view import View

_IDLE_INTERVAL_S = 0.5
_WORK_INTERVAL_S = 0.05
# A weights load takes about this long; the engine is polled from then on.
_FIRST_POLL_DELAY_S = 0.3
_POLL_INTERVAL_S = 0.12
_WEIGHTS_LOAD_TIMEOUT_S = 4.0
# VMs send no requests to an engine for this long after the last report that
# it loads weights.
_CORDON_S = 0.9
# Longest wait until an engine is idle.
_DRAIN_TIMEOUT_S = 4.0
# An engine that did not load the weights is tried again after this time.
_UPGRADE_RETRY_S = 0.5
# Another VM is doing the upgrades if it reported one within this time.
_ACTIVITY_TTL_S = 0.8
_LEASE_RETRY_S = 0.15
# A VM that stops waits no longer for the store.
_RELEASE_TIMEOUT_S = 0.5
_MAX_LEASE_RETRY_S = 1.2


class Upgrades:
    """Orders engines to load weights, while this VM holds the lease."""

    def __init__(
        self,
        node: str,
        clock: Clock,
        client: Client,
        view: View,
        targets: Targets,
        peers: Peers,
        lease: OrderLease,
        stale_limit: float,
        log: Log,
    ) -> None:
        """Upgrade engines within ``stale_limit`` s of an announcement."""
        self._node = node
        self._clock = clock
        self._client = client
        self._view = view
        self._targets = targets
        self._peers = peers
        self._lease = lease
        self._stale_limit = stale_limit
        self._log = log
        self._work_changed = asyncio.Event()
        self._others_active_at = float('-inf')
        self._work_since: float | None = None
        self._lease_retry_pause = _LEASE_RETRY_S
        self._upgrade_tasks: dict[str, asyncio.Task[None]] = {}
        self._retry_at: dict[str, float] = {}
        # No lease is acquired any more; one that is held is used.
        self.is_finishing = False
        self.is_leaving = False
        # While no engine is in reach, the lease is left to other VMs.
        self.is_cut_off: Callable[[], bool] = lambda: False
        view.on_weights.append(self._work_changed.set)
        peers.on_message.append(self._record_activity)

    def _record_activity(self, message: GossipMessage) -> None:
        if message.weights_loads:
            self._others_active_at = self._clock.now()

    async def run(self) -> None:
        """Start upgrades until cancelled."""
        while True:
            try:
                delay = await self._step()
            except (ConflictError, PlatformError) as error:
                self._log.write('lease_not_taken', error=error)
                delay = self._lease_retry_pause
                self._lease_retry_pause = min(_MAX_LEASE_RETRY_S, delay * 2.0)
            await self._wait_for_work(delay)

    async def leave(self) -> None:
        """Start no more upgrades, and leave them to the other VMs."""
        self.is_leaving = True
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                await self._lease.release()
        except (ConflictError, PlatformError, TimeoutError) as error:
            self._log.write('lease_not_released', error=error)

    async def _wait_for_work(self, timeout: float) -> None:
        if await wait_for_event(self._work_changed, timeout):
            self._work_changed.clear()

    async def _step(self) -> float:
        """Start upgrades that are due; return the delay to the next step.

        The delay is in seconds. Raises ``ConflictError`` or
        ``PlatformError`` if the lease can't be acquired.
        """
        has_path = not (self.is_leaving or self.is_cut_off())
        if not has_path or not self._find_work():
            self._work_since = None
            return _IDLE_INTERVAL_S
        now = self._clock.now()
        if self._work_since is None:
            self._work_since = now
        if not self._lease.is_held():
            if self.is_finishing:
                return _IDLE_INTERVAL_S
            wait = self._compute_takeover_time() - now
            if wait > 0.0:
                return min(wait, _IDLE_INTERVAL_S)
        wait = await self._lease.acquire()
        self._lease_retry_pause = _LEASE_RETRY_S
        if wait > 0.0:
            # All VMs learn the same time: they take their turns from then on.
            self._work_since = self._clock.now() + wait
            return min(wait, _IDLE_INTERVAL_S)
        for model, names in self._find_work().items():
            for name in names:
                self._start(model, name)
        return _WORK_INTERVAL_S

    def _compute_takeover_time(self) -> float:
        """Return when this VM may start the work, by the clock, in s."""
        assert self._work_since is not None
        candidates = self._peers.list_lease_candidates()
        own_start = self._work_since + compute_takeover_delay(
            self._node, candidates, self._peers.by_name
        )
        return max(own_start, self._others_active_at + _ACTIVITY_TTL_S)

    def _find_work(self) -> dict[str, list[str]]:
        """Return the engines to upgrade now, by model.

        A model without such engines is included while upgrades run.
        """
        work = {}
        for model, announced in self._view.announced.items():
            # Engines of other software may get few requests or none, so
            # they can't stand in for each other.
            names = []
            for candidates in self._group_candidates(model).values():
                names += pick_upgrade_round(
                    candidates, announced.newest_version
                )
            if names or self._upgrade_tasks:
                work[model] = names
        return work

    def _make_candidate(
        self, model: str, name: str, state: TargetState
    ) -> UpgradeCandidate:
        version = state.weights_versions[model]
        stale_for = self._view.stale_for(model, version)
        return UpgradeCandidate(
            name,
            version,
            self._is_out_of_service(name, state),
            state.busy_for(self._clock.now()),
            stale_for,
            not may_begin_in_time(stale_for, self._stale_limit),
        )

    def _group_candidates(
        self, model: str
    ) -> dict[tuple[str, str], list[UpgradeCandidate]]:
        """Return the engines with a model by service and software."""
        now = self._clock.now()
        groups = collections.defaultdict(list)
        for name, state in self._targets.states.items():
            target = state.target
            if model not in state.weights_versions or state.is_leaving():
                continue
            if name not in self._upgrade_tasks and state.is_unreachable(now):
                continue
            groups[target.service, target.software_version].append(
                self._make_candidate(model, name, state)
            )
        return groups

    def _is_out_of_service(self, name: str, state: TargetState) -> bool:
        now = self._clock.now()
        return (
            name in self._upgrade_tasks
            or state.is_cordoned(now)
            or state.statements.is_resting(now)
            or self._retry_at.get(name, now) > now
        )

    def _start(self, model: str, name: str) -> None:
        state = self._targets.states[name]
        self._cordon(state)
        task = asyncio.ensure_future(self._upgrade(model, state))
        self._upgrade_tasks[name] = task
        task.add_done_callback(lambda _: self._finish(name, state))

    def _cordon(self, state: TargetState) -> None:
        state.is_loading_by_this_vm = True
        state.cordon(self._clock.now(), _CORDON_S)
        self._peers.request_send()

    def _finish(self, name: str, state: TargetState) -> None:
        self._upgrade_tasks.pop(name, None)
        state.is_loading_by_this_vm = False
        state.end_cordon()
        self._targets.notify_changed()
        self._peers.request_send()
        self._work_changed.set()

    async def _upgrade(self, model: str, state: TargetState) -> None:
        """Upgrade one engine to the newest announced version.

        Its report is read first: an engine that does not answer must not
        keep its place while it is waited for.
        """
        name = state.target.incarnation
        started_at = self._clock.now()
        try:
            report = await engines.read_report(self._client, state.target)
            await self._drain(model, state)
            version = self._view.announced[model].newest_version
            outcome = await self._load_weights(model, version, state, report)
        except PlatformError as error:
            version = self._view.announced[model].newest_version
            outcome = str(error)
            self._targets.record_unreachable(state)
        if outcome != 'loaded':
            pause = max(_UPGRADE_RETRY_S, state.rate_limit.call_interval())
            self._retry_at[name] = self._clock.now() + pause
        self._log.write(
            'weights_load',
            target=name,
            model=model,
            version=version,
            outcome=outcome,
            seconds=round(self._clock.now() - started_at, 3),
            fence=self._lease.fence,
        )

    async def _drain(self, model: str, state: TargetState) -> None:
        """Wait until an engine is idle, or the time for that has passed."""
        until = self._clock.now() + _DRAIN_TIMEOUT_S
        while self._clock.now() < until:
            now = self._clock.now()
            stale = self._view.stale_for(model, state.weights_versions[model])
            if not state.count_in_flight(now):
                return
            if not compute_drain_timeout(stale, self._stale_limit):
                return
            if not self._lease.is_held():
                return
            state.cordon(now, _CORDON_S)
            await asyncio.sleep(_WORK_INTERVAL_S)

    async def _load_weights(
        self,
        model: str,
        version: int,
        state: TargetState,
        report: EngineReport,
    ) -> str:
        """Order a weights load and wait for it; return the outcome."""
        if self._record_version(model, state, report) >= version:
            return 'loaded'
        if not report.is_busy:
            if not self._lease.is_held():
                return 'lease lapsed'
            order = WeightsLoadOrder(
                model,
                version,
                'wait',
                self._node,
                self._lease.fence,
                report.order_count,
            )
            try:
                is_accepted = await engines.send_weights_load_order(
                    self._client, state.target, order
                )
            except PlatformError as error:
                return f'no answer to the order: {error}'
            if not is_accepted:
                return 'order refused'
        return await self._wait_for_weights(model, version, state)

    async def _wait_for_weights(
        self, model: str, version: int, state: TargetState
    ) -> str:
        until = self._clock.now() + _WEIGHTS_LOAD_TIMEOUT_S
        delay = _FIRST_POLL_DELAY_S
        while self._clock.now() < until:
            await self._wait_to_poll(state, delay)
            delay = _POLL_INTERVAL_S
            state.cordon(self._clock.now(), _CORDON_S)
            report = await engines.read_report(self._client, state.target)
            if self._record_version(model, state, report) >= version:
                return 'loaded'
            if not report.is_busy:
                return 'not loaded'
        return 'took too long'

    async def _wait_to_poll(self, state: TargetState, delay: float) -> None:
        """Wait until an engine may be polled; it stays out of service."""
        until = self._clock.now() + max(
            delay, state.rate_limit.call_interval()
        )
        while (wait := until - self._clock.now()) > 0.0:
            state.cordon(self._clock.now(), _CORDON_S)
            await asyncio.sleep(min(wait, _CORDON_S / 2.0))

    def _record_version(
        self, model: str, state: TargetState, report: EngineReport
    ) -> int:
        version = report.weights_versions.get(model, 0)
        state.record_weights_version(model, version)
        return version


__all__ = [
    'Upgrades',
]
