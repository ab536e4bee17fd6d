"""Drives moves while holding the lease: orders, shares and verdicts."""

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

_PAUSE = 0.5
_SCAN_PAUSE = 5.0
_TRY_PAUSE = 2.0
_MAX_LOADS = 3
_ORDER_TIMEOUT = 4.0
_STEPS = (0.1, 0.3, 0.6, 1.0)
_ENOUGH = 30
_STEP_PARTS = 6
_LEAST_STEP = 1.0
_LONGEST_STEP = 30.0


class MoveDriver:
    """One daemon's part in moves; only the lease holder gives orders."""

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
        """Drive moves by ``read_time``, in seconds since 1970."""
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
        self._scanned = float('-inf')
        self._next_try = float('-inf')

    async def run(self) -> None:
        """Watch all moves, and drive them under the lease, for ever."""
        async with self._lease:
            while True:
                self.ban_regressions()
                try:
                    await self._step()
                except (PlatformError, ConflictError):
                    pass
                await asyncio.sleep(_PAUSE)

    def ban_regressions(self) -> None:
        """Cut off at once what looks bad, without asking anybody."""
        if not self._moves.list_moves():
            return
        self._mesh.broadcast(self._book.export())
        for move in self._moves.list_moves():
            if self._moves.find_ban_reason(move.model, move.version):
                continue
            reason = verdict.find_fault(self._book, move.model, move.version)
            if reason:
                self._ban(Verdict(move.model, move.version, reason))

    def _ban(self, found: Verdict) -> None:
        if self._moves.ban(found.model, found.version, found.reason):
            logging.warning(
                '%s %s is cut off: %s',
                found.model,
                found.version,
                found.reason,
            )
            self._mesh.broadcast(found)

    def receive_verdict(self, found: Verdict, sender: Sender) -> None:
        """Cut off what a peer found bad."""
        self._ban(found)

    def receive_tallies(self, found: Tallies, sender: Sender) -> None:
        """Take a peer's tallies."""
        self._book.receive(sender.name, found)

    def receive_progress(self, found: MoveProgress, sender: Sender) -> None:
        """Take a move's row that the holder of the lease wrote."""
        self._moves.set_progress([decode_progress(found.row)])

    async def _step(self) -> None:
        if not self._moves.list_moves():
            return
        now = self._state.clock.now()
        if self._lease.is_held() or now - self._scanned >= _SCAN_PAUSE:
            self._scanned = now
            await self._scan()
        await self._record_bans()
        if self._state.leaving or not await self._hold_lease():
            return
        for move in self._moves.list_moves():
            await self._drive(move)

    async def _hold_lease(self) -> bool:
        """Renew the lease, or try for it now and then."""
        now = self._state.clock.now()
        if not self._lease.is_held() and now < self._next_try:
            return False
        self._next_try = now + _TRY_PAUSE
        return await self._lease.renew()

    async def _scan(self) -> None:
        rows = await self._table.scan(KEY_PREFIX)
        self._rows = {row.key: row for row in rows}
        self._moves.set_progress([decode_progress(row.value) for row in rows])

    async def _record_bans(self) -> None:
        """Write down what is cut off; any daemon may, it is final."""
        for move in self._moves.list_moves():
            reason = self._moves.find_ban_reason(move.model, move.version)
            progress = self._moves.find_progress(move)
            if not reason or (
                progress is not None and progress.is_rolled_back()
            ):
                continue
            found = progress or self._begin(move)
            await self._write(move, found, Stage.ROLLED_BACK, 0.0, reason)

    def _begin(self, move: Move) -> Progress:
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
        wanted = progress._replace(
            stage=stage,
            share=share,
            reason=reason,
            stage_began=self._read_time(),
        )
        key = make_progress_key(move)
        row = self._rows.get(key)
        version = row.version if row is not None else 0
        try:
            await self._table.write(key, encode_progress(wanted), version)
        finally:
            # Whatever came of it, the next step reads the rows again.
            self._scanned = float('-inf')
        self._moves.set_progress([wanted])
        self._mesh.broadcast(MoveProgress(encode_progress(wanted)))
        logging.info('move %s: %s %.2f %s', move.name, stage, share, reason)

    async def _drive(self, move: Move) -> None:
        progress = self._moves.find_progress(move)
        if progress is None:
            progress = self._begin(move)
            await self._write(move, progress, Stage.PROVING, move.share)
            return
        if progress.is_rolled_back():
            await self._load_back(move)
            return
        wanted = self._count_wanted(move, progress)
        await self._load(move, move.version, wanted)
        if progress.stage is not Stage.DONE:
            await self._advance(move, progress)

    def _count_wanted(self, move: Move, progress: Progress) -> int:
        targets = len(self._pool.list_targets(move.model))
        if progress.stage is Stage.PROVING:
            return min(1, targets)
        return max(1, int(targets * progress.share + 0.999))

    def _on_version(self, model: str, version: str) -> list[TargetState]:
        return [
            t
            for t in self._pool.list_targets(model)
            if t.weights_version == version
        ]

    async def _advance(self, move: Move, progress: Progress) -> None:
        ready = len(self._on_version(move.model, move.version))
        if ready < self._count_wanted(move, progress):
            return
        if not self._is_proved(move, progress):
            return
        if progress.share >= _STEPS[-1]:
            await self._write(move, progress, Stage.DONE, 1.0)
            return
        larger = [s for s in _STEPS if s > progress.share]
        await self._write(move, progress, Stage.ROLLING, larger[0])

    def _is_proved(self, move: Move, progress: Progress) -> bool:
        """Return whether a stage was long enough, given the time left."""
        now = self._read_time()
        spent = now - progress.stage_began
        planned = max(0.0, move.deadline - progress.began) / _STEP_PARTS
        longest = min(max(planned, _LEAST_STEP), _LONGEST_STEP)
        if spent >= longest:
            return True
        seen = verdict.count_recent_requests(
            self._book, move.model, move.version
        )
        return spent >= _LEAST_STEP and seen >= _ENOUGH and planned < spent

    async def _load_back(self, move: Move) -> None:
        model = self._state.configuration.models[move.model]
        if model.version == move.version:
            return
        bad = len(self._on_version(move.model, move.version))
        if bad:
            targets = self._pool.list_targets(move.model)
            good = len(targets) - bad
            await self._load(
                move, model.version, good + bad, source=move.version
            )

    async def _load(
        self, move: Move, version: str, wanted: int, source: str = ''
    ) -> None:
        """Order loads, at most 3 at once, until ``wanted`` have it."""
        if move.model not in self._state.configuration.models:
            return
        if self._is_service(move.model):
            return
        targets = self._pool.list_targets(move.model)
        having = [t for t in targets if t.weights_version == version]
        lacking = [
            t
            for t in targets
            if t.weights_version != version
            and not t.loading_weights
            and not t.leaving
            and (not source or t.weights_version == source)
        ]
        loading = sum(1 for t in targets if t.loading_weights)
        count = min(wanted - len(having) - loading, _MAX_LOADS - loading)
        if count <= 0:
            return
        lacking.sort(key=lambda t: t.estimate_in_flight())
        await asyncio.gather(
            *(self._order(t, version) for t in lacking[:count])
        )

    def _is_service(self, model: str) -> bool:
        kind = self._state.configuration.models[model].kind
        return kind == 'service'

    async def _order(self, target: TargetState, version: str) -> None:
        # The order must end while the lease is held: a target that does
        # not check fencing would take it from an old holder, too.
        timeout = min(_ORDER_TIMEOUT, self._lease.remaining() - 1.0)
        if timeout <= 0.0 or not self._state.is_fresh():
            return
        fence = self._lease.fencing_token
        name = target.target.name
        self._pool.mark_loading_weights(name, True)
        try:
            answer = await orders.order_weights_load(
                self._client, target.target.address, version, fence, timeout
            )
        finally:
            self._pool.mark_loading_weights(name, False)
        if answer is orders.OrderOutcome.DONE:
            self._pool.record_identity(name, '', version)
        logging.info('order %s to %s: %s', version, name, answer)


__all__ = ['MoveDriver']
