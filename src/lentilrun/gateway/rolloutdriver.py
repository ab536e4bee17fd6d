"""Drives roll-outs while this VM holds the lease; writes their status."""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..decisions.rollouts import decide_step
from ..decisions.rollouts import is_due
from ..decisions.rollouts import Progress
from ..decisions.rollouts import Step
from ..decisions.upgrades import compute_takeover_delay
from ..errors import ConflictError
from ..errors import PlatformError
from ..platform.rollouts import encode_status
from ..platform.rollouts import make_status_key
from ..platform.rollouts import RolloutState
from ..platform.rollouts import STATUS_TABLE
from ..platform.rows import Write
from ..platform.rowversions import find_era
from ..records import PositionalRecord
from .discovery import FLEET_TABLE
from .events import wait_for_event
from .rollouthandover import Turn
from .rolloutstate import Stage

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log
    from .orderlease import OrderLease
    from .peers import Peers
    from .rollouts import Rollouts
    from .rolloutstate import Rollout

_KEY_PREFIX = 'rollout/'
_IDLE_INTERVAL_S = 0.5
_WORK_INTERVAL_S = 0.1
_RAMP_INTERVAL_S = 0.02
_RETRY_S = 0.15
# Another VM drives a roll-out if it reported so within this time.
_DRIVER_TTL_S = 0.8
_STAGES = {
    RolloutState.RUNNING: Stage.CANARY,
    RolloutState.COMPLETED: Stage.COMPLETED,
    RolloutState.ROLLED_BACK: Stage.ROLLED_BACK,
}
_FINAL_STATES = {
    Stage.COMPLETED: RolloutState.COMPLETED,
    Stage.ROLLED_BACK: RolloutState.ROLLED_BACK,
}


class _RolloutRow(PositionalRecord, frozen=True):
    """The progress of a service's newest roll-out.

    ``order`` is the row version of the order; ``started_at`` by the store's
    clock, in seconds. ``retired`` are the versions that get no requests.
    """

    order: int
    version: str
    state: RolloutState
    started_at: float
    reason: str
    retired: list[str]


class _HandOver(NamedTuple):
    """When this VM began a hand-over, by its clock and in its turns."""

    began_at: float
    turn: Turn


class _StoredRow(NamedTuple):
    row: _RolloutRow
    row_version: int


_decoder = msgspec.json.Decoder(_RolloutRow)


class RolloutDriver:
    """Carries out the roll-outs that operators order.

    Every VM judges the new version from the reported outcomes. The one that
    holds the lease also decides on the stages and writes the status, under
    the condition that nobody else has written it since.
    """

    def __init__(
        self,
        node: str,
        clock: Clock,
        store: RowStore,
        rollouts: Rollouts,
        peers: Peers,
        lease: OrderLease,
        log: Log,
    ) -> None:
        self._node = node
        self._clock = clock
        self._store = store
        self._rollouts = rollouts
        self._peers = peers
        self._lease = lease
        self._log = log
        self._stored: dict[str, _StoredRow] = {}
        # Set if a write failed: another VM may have written, or this one.
        self._needs_read = False
        self._work_since: float | None = None
        # By the row version of the order.
        self._ramped_at: dict[int, float] = {}
        self._hand_overs: dict[int, _HandOver] = {}
        self._tick = 0
        self._ordered = asyncio.Event()
        self.is_leaving = False
        rollouts.on_order.append(self._ordered.set)
        lease.on_read.append(self.apply_rows)

    def is_driving(self) -> bool:
        """Return whether this VM may decide on stages now."""
        return self._lease.is_held() and not self.is_leaving

    async def run(self) -> None:
        """Drive roll-outs until cancelled."""
        while True:
            try:
                delay = await self._step()
            except (ConflictError, PlatformError) as error:
                self._log.write('rollout_delayed', error=error)
                self._needs_read = True
                delay = _RETRY_S
            await self._wait_for_order(delay)

    async def _wait_for_order(self, timeout: float) -> None:
        if await wait_for_event(self._ordered, timeout):
            self._ordered.clear()

    async def _step(self) -> float:
        """Advance roll-outs; return the delay to the next step, in s.

        Raises ``ConflictError`` or ``PlatformError`` if the store is not
        read or written.
        """
        work = self._list_work()
        if self.is_leaving or not work:
            self._work_since = None
            return _IDLE_INTERVAL_S
        for rollout in work:
            self._rollouts.judge(rollout)
        now = self._clock.now()
        if self._work_since is None:
            self._work_since = now
        if not self._lease.is_held():
            self._ramped_at.clear()
            self._hand_overs.clear()
            if self._compute_takeover_time(work) > now:
                return _WORK_INTERVAL_S
        wait = await self._lease.acquire()
        if wait > 0.0:
            return min(wait, _IDLE_INTERVAL_S)
        if self._needs_read:
            self.apply_rows(await self._store.read(FLEET_TABLE))
            self._needs_read = False
        self._tick += 1
        for rollout in self._list_work():
            await self._advance(rollout)
        is_ramping = any(r.order.row_version in self._ramped_at for r in work)
        return _RAMP_INTERVAL_S if is_ramping else _WORK_INTERVAL_S

    def _compute_takeover_time(self, unresolved: list[Rollout]) -> float:
        """Return when this VM may take over, by the clock, in seconds."""
        assert self._work_since is not None
        candidates = sorted([self._node, *self._peers.list_responsive()])
        own_start = self._work_since + compute_takeover_delay(
            self._node, candidates, ()
        )
        driven_at = max(r.driven_at for r in unresolved)
        return max(own_start, driven_at + _DRIVER_TTL_S)

    def apply_rows(self, table_rows: Rows) -> None:
        """Apply the rows in which VMs keep the progress of roll-outs."""
        self._forget_lost_rows(table_rows)
        for row in table_rows.rows:
            if not row.key.startswith(_KEY_PREFIX):
                continue
            service = row.key.removeprefix(_KEY_PREFIX)
            try:
                stored = _StoredRow(_decoder.decode(row.value), row.version)
            except msgspec.MsgspecError as error:
                self._log.write('row_unreadable', key=row.key, error=error)
                continue
            known = self._stored.get(service)
            if known is None or known.row_version <= row.version:
                self._stored[service] = stored
                self._rollouts.apply_row(
                    service,
                    stored.row.order,
                    stored.row.version,
                    _STAGES[stored.row.state],
                    stored.row.reason,
                    stored.row.retired,
                )

    def _forget_lost_rows(self, table_rows: Rows) -> None:
        """Forget the rows that a restored store no longer has."""
        era = find_era(table_rows.store_version)
        keys = {row.key for row in table_rows.rows}
        for service, stored in list(self._stored.items()):
            if find_era(stored.row_version) < era and (
                _KEY_PREFIX + service not in keys
            ):
                del self._stored[service]

    def _list_work(self) -> list[Rollout]:
        """Return the roll-outs to drive or whose status may be lost."""
        return [
            rollout
            for rollout in self._rollouts.by_service.values()
            if not rollout.is_resolved() or self._has_lost_status(rollout)
        ]

    def _has_lost_status(self, rollout: Rollout) -> bool:
        """Return whether the final status was not seen since a restoration.

        VMs that did not see that the store was restored leave it alone.
        """
        if rollout.changed_at > self._store.restored_at:
            return False
        stored = self._stored.get(rollout.order.service)
        return (
            stored is None
            or find_era(stored.row_version) < self._store.current_era()
            or not stored.row.state.is_final()
            or stored.row.version != rollout.version
        )

    async def _advance(self, rollout: Rollout) -> None:
        """Decide on a roll-out's next step and carry it out."""
        if rollout.is_resolved():
            await self._write(
                rollout, _FINAL_STATES[rollout.stage], rollout.reason
            )
            return
        stored = self._stored.get(rollout.order.service)
        if stored is None or stored.row.order < rollout.order.row_version:
            await self._write(rollout, RolloutState.RUNNING, '')
        if not self._lease.is_held():
            return
        step = decide_step(self._make_progress(rollout))
        if step is Step.ROLL_BACK:
            reason = rollout.reason or 'doubtful'
            self._rollouts.set_stage(rollout, Stage.BANNED, reason)
            await self._write(rollout, RolloutState.ROLLED_BACK, reason)
            return
        if step is Step.COMPLETE:
            await self._write(rollout, RolloutState.COMPLETED, '')
            return
        turn = Turn(self._lease.fence, self._tick)
        self._rollouts.record_driver(rollout, turn)
        if step is Step.CANARY:
            self._forget_ramp(rollout)
            self._rollouts.set_stage(rollout, Stage.CANARY, '')
            self._rollouts.set_handed_over(rollout, False)
            return
        self._begin_ramp(rollout)
        is_handed_over = step is Step.HAND_OVER
        if is_handed_over:
            self._begin_hand_over(rollout, turn)
        self._rollouts.set_handed_over(rollout, is_handed_over)

    def _forget_ramp(self, rollout: Rollout) -> None:
        self._ramped_at.pop(rollout.order.row_version, None)
        self._hand_overs.pop(rollout.order.row_version, None)

    def _begin_ramp(self, rollout: Rollout) -> None:
        order = rollout.order.row_version
        if order not in self._ramped_at:
            self._ramped_at[order] = self._clock.now()
            self._rollouts.set_stage(rollout, Stage.RAMP, '')
            self._peers.request_send()

    def _begin_hand_over(self, rollout: Rollout, turn: Turn) -> None:
        hand_over = _HandOver(self._clock.now(), turn)
        self._hand_overs.setdefault(rollout.order.row_version, hand_over)

    def _make_progress(self, rollout: Rollout) -> Progress:
        now = self._clock.now()
        hand_over = self._hand_overs.get(rollout.order.row_version)
        ramped_at = self._ramped_at.get(rollout.order.row_version)
        elapsed = self._compute_elapsed(rollout)
        duration = rollout.order.duration
        return Progress(
            elapsed,
            duration,
            None if ramped_at is None else now - ramped_at,
            len(rollout.ledger.list_new()),
            rollout.reason if rollout.stage is Stage.BANNED else '',
            is_due(elapsed, duration)
            and self._rollouts.outcomes.is_doubtful(rollout),
            self._rollouts.count_old_in_flight(rollout),
            None if hand_over is None else now - hand_over.began_at,
            0
            if hand_over is None
            else self._rollouts.count_unconfirmed(rollout, hand_over.turn),
        )

    def _compute_elapsed(self, rollout: Rollout) -> float:
        """Return the time since the order, in seconds."""
        stored = self._stored[rollout.order.service]
        started_at = stored.row.started_at
        return self._store.estimate_clock() - started_at

    async def _write(
        self, rollout: Rollout, state: RolloutState, reason: str
    ) -> None:
        """Write the progress and the status in one transaction.

        Raises ``ConflictError`` if another VM wrote them, and
        ``PlatformError`` if there is no response.
        """
        service = rollout.order.service
        order = rollout.order.row_version
        stored = self._stored.get(service)
        if stored is not None and stored.row.order == order:
            started_at = stored.row.started_at
        else:
            age = self._clock.now() - rollout.known_at
            started_at = self._store.estimate_clock() - age
        row = _RolloutRow(
            order,
            rollout.version,
            state,
            started_at,
            reason,
            self._rollouts.list_retired(rollout, _STAGES[state]),
        )
        written = await self._store.write(
            [
                Write(
                    FLEET_TABLE,
                    _KEY_PREFIX + service,
                    msgspec.json.encode(row),
                    stored.row_version if stored is not None else 0,
                ),
                Write(
                    STATUS_TABLE,
                    make_status_key(service),
                    encode_status(state, rollout.order.version),
                    None,
                ),
            ]
        )
        self._stored[service] = _StoredRow(row, written.store_version)
        if state.is_final():
            self._forget_ramp(rollout)
        self._rollouts.set_stage(rollout, _STAGES[state], reason)
        self._log.write(
            'rollout_status',
            service=service,
            to=rollout.version,
            state=state,
            reason=reason or None,
            seconds=round(self._compute_elapsed(rollout), 3),
            fence=self._lease.fence,
        )


__all__ = ['RolloutDriver']
