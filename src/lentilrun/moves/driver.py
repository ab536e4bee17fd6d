"""Drives canary roll-outs under a lease: orders, shares and verdicts."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from absl import logging

from ..coordination.leases import Lease
from ..errors import ConflictError
from ..errors import PlatformError
from ..peers.messages import MoveProgress
from ..peers.messages import Tallies
from ..peers.messages import Verdict
from ..targets import orders
from . import verdict
from .progress import decode_progress
from .progress import encode_progress
from .progress import KEY_PREFIX
from .progress import make_progress_key
from .progress import Progress
from .progress import Stage

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.configuration import Move
    from ..coordination.table import Row
    from ..coordination.table import Table
    from ..fleet.state import FleetState
    from ..peers.codec import Sender
    from ..peers.mesh import Mesh
    from ..routing.pool import TargetPool
    from ..routing.pool import TargetState
    from ..web.client import Client
    from .progress import MoveTracker
    from .tallies import TallyBook

_STEP_INTERVAL_S = 0.5
_SCAN_INTERVAL_S = 5.0
_LEASE_RETRY_INTERVAL_S = 2.0
_MAX_CONCURRENT_LOADS = 3
_ORDER_TIMEOUT_S = 4.0
_TRAFFIC_SHARES = (0.1, 0.3, 0.6, 1.0)
_MIN_STAGE_REQUESTS = 30
_STAGES_PER_MOVE = 6
_MIN_STAGE_S = 1.0
_MAX_STAGE_S = 30.0


class MoveDriver:
    """Drives moves on one daemon; only the lease holder sends orders."""

    def __init__(
        self,
        state: FleetState,
        mesh: Mesh,
        table: Table,
        client: Client,
        pool: TargetPool,
        moves: MoveTracker,
        book: TallyBook,
        read_time: Callable[[], float],
    ) -> None:
        """Drive moves; ``read_time`` gives seconds since 1970."""
        self._state = state
        self._mesh = mesh
        self._table = table
        self._client = client
        self._pool = pool
        self._moves = moves
        self._book = book
        self._read_time = read_time
        holder = f'{state.name}/{secrets.token_hex(4)}'
        self._lease = Lease(table, state.clock, 'moves', holder)
        self._rows: dict[str, Row] = {}
        self._last_scan_at = float('-inf')
        self._next_lease_try_at = float('-inf')

    async def run(self) -> None:
        """Watch all moves, and drive them under the lease, until cancelled."""
        async with self._lease:
            while True:
                self.ban_regressions()
                try:
                    await self._step()
                except (PlatformError, ConflictError):
                    pass
                await asyncio.sleep(_STEP_INTERVAL_S)

    def ban_regressions(self) -> None:
        """Ban versions that regressed, at once and without agreement."""
        if not self._moves.list_moves():
            return
        self._mesh.broadcast(self._book.export())
        for move in self._moves.list_moves():
            if self._moves.find_ban_reason(move.model, move.version):
                continue
            reason = verdict.find_fault(self._book, move.model, move.version)
            if reason:
                self._ban(Verdict(move.model, move.version, reason))

    def _ban(self, ban: Verdict) -> None:
        if self._moves.ban(ban.model, ban.version, ban.reason):
            logging.warning(
                '%s %s is banned: %s',
                ban.model,
                ban.version,
                ban.reason,
            )
            self._mesh.broadcast(ban)

    def receive_verdict(self, ban: Verdict, sender: Sender) -> None:
        """Ban the version that a peer found to regress."""
        self._ban(ban)

    def receive_tallies(self, tallies: Tallies, sender: Sender) -> None:
        """Record the tallies of a peer."""
        self._book.receive(sender.name, tallies)

    def receive_progress(self, update: MoveProgress, sender: Sender) -> None:
        """Apply the row of a move that a peer wrote.

        Raises ``PlatformError`` if the row is malformed.
        """
        self._moves.set_progress([decode_progress(update.row)])

    async def _step(self) -> None:
        if not self._moves.list_moves():
            return
        now = self._state.clock.now()
        if (
            self._lease.is_held()
            or now - self._last_scan_at >= _SCAN_INTERVAL_S
        ):
            self._last_scan_at = now
            await self._scan()
        await self._record_bans()
        if self._state.leaving or not await self._keep_lease():
            return
        for move in self._moves.list_moves():
            await self._drive(move)

    async def _keep_lease(self) -> bool:
        """Renew the lease, or try to acquire it; return whether it is held."""
        now = self._state.clock.now()
        if not self._lease.is_held() and now < self._next_lease_try_at:
            return False
        self._next_lease_try_at = now + _LEASE_RETRY_INTERVAL_S
        return await self._lease.renew()

    async def _scan(self) -> None:
        rows = await self._table.scan(KEY_PREFIX)
        self._rows = {row.key: row for row in rows}
        self._moves.set_progress([decode_progress(row.value) for row in rows])

    async def _record_bans(self) -> None:
        """Write bans to the table; any daemon may, as a ban is final."""
        for move in self._moves.list_moves():
            reason = self._moves.find_ban_reason(move.model, move.version)
            progress = self._moves.find_progress(move)
            if not reason or (
                progress is not None and progress.is_rolled_back()
            ):
                continue
            current = progress or self._make_first_progress(move)
            await self._write(move, current, Stage.ROLLED_BACK, 0.0, reason)

    def _make_first_progress(self, move: Move) -> Progress:
        now = self._read_time()
        return Progress(
            move.name,
            move.model,
            move.version,
            Stage.PROVING,
            move.share,
            '',
            now,
            now,
        )

    async def _write(
        self,
        move: Move,
        progress: Progress,
        stage: Stage,
        share: float,
        reason: str = '',
    ) -> None:
        updated = progress._replace(
            stage=stage,
            share=share,
            reason=reason,
            stage_began=self._read_time(),
        )
        key = make_progress_key(move)
        row = self._rows.get(key)
        version = row.version if row is not None else 0
        try:
            await self._table.write(key, encode_progress(updated), version)
        finally:
            # Whether or not the write succeeded, the next step reads the rows.
            self._last_scan_at = float('-inf')
        self._moves.set_progress([updated])
        self._mesh.broadcast(MoveProgress(encode_progress(updated)))
        logging.info('move %s: %s %.2f %s', move.name, stage, share, reason)

    async def _drive(self, move: Move) -> None:
        progress = self._moves.find_progress(move)
        if progress is None:
            progress = self._make_first_progress(move)
            await self._write(move, progress, Stage.PROVING, move.share)
            return
        if progress.is_rolled_back():
            await self._roll_back_targets(move)
            return
        required = self._count_required_targets(move, progress)
        await self._load_version(move, move.version, required)
        if progress.stage is not Stage.DONE:
            await self._advance(move, progress)

    def _count_required_targets(self, move: Move, progress: Progress) -> int:
        """Return how many targets need the version at this stage.

        It is the version's traffic share of the targets, rounded up, and
        a single target at the stage ``PROVING``.
        """
        targets = len(self._pool.list_targets(move.model))
        if progress.stage is Stage.PROVING:
            return min(1, targets)
        return max(1, int(targets * progress.share + 0.999))

    def _list_on_version(self, model: str, version: str) -> list[TargetState]:
        return [
            t
            for t in self._pool.list_targets(model)
            if t.weights_version == version
        ]

    async def _advance(self, move: Move, progress: Progress) -> None:
        ready = len(self._list_on_version(move.model, move.version))
        if ready < self._count_required_targets(move, progress):
            return
        if not self._is_stage_complete(move, progress):
            return
        if progress.share >= _TRAFFIC_SHARES[-1]:
            await self._write(move, progress, Stage.DONE, 1.0)
            return
        larger_shares = [s for s in _TRAFFIC_SHARES if s > progress.share]
        await self._write(move, progress, Stage.ROLLING, larger_shares[0])

    def _is_stage_complete(self, move: Move, progress: Progress) -> bool:
        """Return whether a stage lasted long enough to enter the next.

        The longest duration of a stage is an equal share of the time from
        the move's start to its deadline, but at least ``_MIN_STAGE_S`` and
        at most ``_MAX_STAGE_S``.
        """
        now = self._read_time()
        elapsed = now - progress.stage_began
        planned = max(0.0, move.deadline - progress.began) / _STAGES_PER_MOVE
        max_duration = min(max(planned, _MIN_STAGE_S), _MAX_STAGE_S)
        if elapsed >= max_duration:
            return True
        requests = verdict.count_recent_requests(
            self._book, move.model, move.version
        )
        return (
            elapsed >= _MIN_STAGE_S
            and requests >= _MIN_STAGE_REQUESTS
            and planned < elapsed
        )

    async def _roll_back_targets(self, move: Move) -> None:
        model = self._state.configuration.models[move.model]
        if model.version == move.version:
            return
        on_banned = len(self._list_on_version(move.model, move.version))
        if on_banned:
            targets = self._pool.list_targets(move.model)
            others = len(targets) - on_banned
            await self._load_version(
                move, model.version, others + on_banned, source=move.version
            )

    async def _load_version(
        self, move: Move, version: str, required: int, source: str = ''
    ) -> None:
        """Order weights loads until ``required`` targets have a version.

        At most ``_MAX_CONCURRENT_LOADS`` run at once. With ``source``,
        only targets on that version get orders.
        """
        if move.model not in self._state.configuration.models:
            return
        if self._is_service(move.model):
            return
        targets = self._pool.list_targets(move.model)
        on_version = [t for t in targets if t.weights_version == version]
        candidates = [
            t
            for t in targets
            if t.weights_version != version
            and not t.loading_weights
            and not t.leaving
            and (not source or t.weights_version == source)
        ]
        loading = sum(1 for t in targets if t.loading_weights)
        count = min(
            required - len(on_version) - loading,
            _MAX_CONCURRENT_LOADS - loading,
        )
        if count <= 0:
            return
        candidates.sort(key=lambda t: t.estimate_in_flight())
        await asyncio.gather(
            *(self._order_weights_load(t, version) for t in candidates[:count])
        )

    def _is_service(self, model: str) -> bool:
        kind = self._state.configuration.models[model].kind
        return kind == 'service'

    async def _order_weights_load(
        self, target: TargetState, version: str
    ) -> None:
        # The order must finish while the lease is held: a target that does
        # not check fencing tokens accepts orders of a former holder, too.
        timeout = min(_ORDER_TIMEOUT_S, self._lease.remaining() - 1.0)
        if timeout <= 0.0 or not self._state.is_fresh():
            return
        fencing_token = self._lease.fencing_token
        name = target.target.name
        self._pool.mark_loading_weights(name, True)
        try:
            outcome = await orders.order_weights_load(
                self._client,
                target.target.address,
                version,
                fencing_token,
                timeout,
            )
        finally:
            self._pool.mark_loading_weights(name, False)
        if outcome is orders.OrderOutcome.DONE:
            self._pool.record_identity(name, '', version)
        logging.info('order %s to %s: %s', version, name, outcome)


__all__ = ['MoveDriver']
