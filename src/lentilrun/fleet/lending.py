"""Spending from buckets that are held in parts, with loans from peers."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from ..coordination.shares import Ask
from ..coordination.shares import Loan
from ..coordination.shares import LOAN_LIFE
from ..metrics.registry import Count

if TYPE_CHECKING:
    from ..metrics.registry import Metrics
    from ..peers.codec import Sender
    from ..peers.mesh import Mesh
    from .state import FleetState

_WAVES = 3
_WAVE_TIMEOUT = 0.2


@dataclasses.dataclass
class _Wave:
    """Asks sent together, and the loans that came so far."""

    bucket: str
    sent: float
    need: float
    waiting: set[str]
    lent: float
    left: dict[str, float]
    done: asyncio.Event
    is_closed: bool = False

    def is_over(self) -> bool:
        """Return whether there is enough, or nothing more to come."""
        return not self.waiting or self.lent >= self.need


class Lending:
    """Takes tokens for requests, and lends to peers."""

    def __init__(
        self, state: FleetState, mesh: Mesh, metrics: Metrics
    ) -> None:
        self._state = state
        self._shares = state.shares
        self._mesh = mesh
        self._metrics = metrics
        self._number = 0
        self._waves: dict[int, _Wave] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def take(self, bucket: str, amount: float) -> bool:
        """Take tokens, borrowing what lacks; return if there were enough."""
        lock = self._locks.setdefault(bucket, asyncio.Lock())
        if not lock.locked() and self._shares.spend(bucket, amount):
            return True
        limit = self._shares.limit(bucket)
        if limit is None or amount > limit.burst:
            return False
        async with lock:
            if self._shares.spend(bucket, amount):
                return True
            return await self._borrow(bucket, amount)

    async def _borrow(self, bucket: str, amount: float) -> bool:
        peers = self._find_lenders()
        lent = 0.0
        for _ in range(_WAVES):
            if not peers:
                break
            wave = await self._ask(bucket, amount - lent, peers)
            lent += wave.lent
            if self._shares.spend_with(bucket, amount, lent) >= 0.0:
                return True
            peers = [n for n, left in wave.left.items() if left > 0.0]
        self._shares.keep(bucket, lent)
        return False

    def _find_lenders(self) -> list[str]:
        heartbeats = self._state.heartbeats
        names = self._state.roster.names()
        return [
            n
            for n in self._mesh.names()
            if n in names and not heartbeats.is_silent(n)
        ]

    async def _ask(
        self, bucket: str, amount: float, peers: list[str]
    ) -> _Wave:
        self._number += 1
        number = self._number
        now = self._state.clock.now()
        wish = self._shares.want(bucket, amount) / len(peers)
        need = max(0.0, amount - self._shares.level(bucket))
        ask = Ask(number, bucket, wish, need / len(peers))
        sent = {n for n in peers if self._mesh.send(n, ask)}
        self._metrics.add(Count.LOANS_ASKED, by=len(sent))
        wave = _Wave(bucket, now, need, sent, 0.0, {}, asyncio.Event())
        self._waves[number] = wave
        self._drop_old(now)
        try:
            async with asyncio.timeout(_WAVE_TIMEOUT):
                while not wave.is_over():
                    wave.done.clear()
                    await wave.done.wait()
        except TimeoutError:
            pass
        wave.is_closed = True
        return wave

    def _drop_old(self, now: float) -> None:
        """Forget waves whose loans would come too late."""
        for number, wave in list(self._waves.items()):
            if now - wave.sent >= LOAN_LIFE:
                del self._waves[number]

    def receive_ask(self, ask: Ask, sender: Sender) -> None:
        """Lend to a peer, if this daemon may still act on its units."""
        lent = 0.0
        member = sender.name in self._state.roster.names()
        if member and self._state.is_fresh():
            lent = self._shares.lend(ask.bucket, ask.amount, ask.need)
        left = max(0.0, self._shares.level(ask.bucket))
        if lent:
            self._metrics.add(Count.LOANS_GIVEN)
        loan = Loan(ask.number, ask.bucket, lent, left)
        self._mesh.send(sender.name, loan)

    def receive_loan(self, loan: Loan, sender: Sender) -> None:
        """Take in a loan; one that comes too late is given up."""
        wave = self._waves.get(loan.number)
        age = LOAN_LIFE
        if wave is not None:
            age = self._state.clock.now() - wave.sent
        if wave is None or age >= LOAN_LIFE or wave.bucket != loan.bucket:
            self._metrics.add(Count.LOANS_LATE)
            return
        if sender.name not in wave.waiting:
            return
        wave.waiting.discard(sender.name)
        if wave.is_closed:
            self._shares.keep(loan.bucket, loan.amount)
        else:
            wave.lent += loan.amount
            wave.left[sender.name] = loan.left
            wave.done.set()


__all__ = ['Lending']
