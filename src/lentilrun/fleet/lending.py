"""Spending from buckets that are held in parts, with loans from peers."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..coordination.shares import Loan
from ..coordination.shares import LOAN_TTL_S
from ..coordination.shares import LoanRequest
from ..metrics.registry import Count

if TYPE_CHECKING:
    from ..metrics.registry import Metrics
    from ..peers.codec import Sender
    from ..peers.mesh import Mesh
    from .state import FleetState

_WAVES = 3
_LENDER_WAIT = 1.5
_LENDER_PAUSE = 0.05
_WAVE_TIMEOUT = 0.8 * LOAN_TTL_S


@dataclasses.dataclass
class _Wave:
    """Asks sent together, and the loans that came so far."""

    bucket: str
    sent: float
    need: float
    waiting: set[str]
    done: asyncio.Event
    lent: float = 0.0
    left: dict[str, float] = dataclasses.field(default_factory=dict)
    is_closed: bool = False

    def is_over(self) -> bool:
        """Return whether there is enough, or nothing more to come."""
        return not self.waiting or self.lent >= self.need


class _Drained(NamedTuple):
    """What all peers together had left when all of them answered."""

    at: float
    left: float


class _Waiter(NamedTuple):
    amount: float
    taken: asyncio.Future[bool]


class TokenLending:
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
        self._waiters: dict[str, list[_Waiter]] = {}
        self._drained: dict[str, _Drained] = {}
        self._borrowers: dict[str, asyncio.Task[None]] = {}

    async def spend(self, bucket: str, amount: float) -> bool:
        """Take tokens, borrowing what lacks; return if there were enough."""
        if bucket not in self._waiters:
            if self._shares.spend(bucket, amount):
                return True
        limit = self._shares.get_limit(bucket)
        if limit is None or amount > limit.burst:
            return False
        if self._cannot_succeed(bucket, amount):
            return False
        return await self._wait(bucket, amount)

    async def _wait(self, bucket: str, amount: float) -> bool:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(amount, loop.create_future())
        self._waiters.setdefault(bucket, []).append(waiter)
        if bucket not in self._borrowers:
            task = loop.create_task(self._borrow_for_all(bucket))
            self._borrowers[bucket] = task
        try:
            return await waiter.taken
        except asyncio.CancelledError:
            taken = waiter.taken
            if taken.done() and not taken.cancelled() and taken.result():
                self._shares.refund(bucket, amount)
            raise

    async def _borrow_for_all(self, bucket: str) -> None:
        """Borrow for all that wait, together, until nobody does."""
        try:
            while waiters := self._waiters.get(bucket):
                self._waiters[bucket] = []
                await self._borrow_for(bucket, waiters)
        finally:
            for waiter in self._waiters.pop(bucket, []):
                waiter.taken.cancel()
            del self._borrowers[bucket]

    async def _borrow_for(self, bucket: str, waiters: list[_Waiter]) -> None:
        amounts = [w.amount for w in waiters]
        lent = await self._borrow(bucket, sum(amounts))
        taken = self._shares.spend_with_loans(bucket, amounts, lent)
        for waiter, success in zip(waiters, taken, strict=True):
            if not waiter.taken.done():
                waiter.taken.set_result(success)
            elif success:
                self._shares.refund(bucket, waiter.amount)

    async def _borrow(self, bucket: str, amount: float) -> float:
        peers = await self._wait_lenders()
        everybody = len(peers) >= len(self._state.roster.names()) - 1
        lent = 0.0
        for _ in range(_WAVES):
            lacking = (
                amount - lent - self._shares.count_available_tokens(bucket)
            )
            if not peers or lacking <= 0.0:
                break
            wave = await self._ask(bucket, amount - lent, lacking, peers)
            lent += wave.lent
            if wave.left:
                peers = [n for n, left in wave.left.items() if left > 0.0]
            else:
                # Nobody answered: the asks may be lost.
                peers = self._find_lenders()
            if everybody and not wave.waiting:
                left_over = sum(wave.left.values())
                now = self._state.clock.now()
                self._drained[bucket] = _Drained(now, left_over)
        return lent

    def _cannot_succeed(self, bucket: str, amount: float) -> bool:
        """Return whether all peers together surely lack the tokens.

        They had no more than what was left when all of them answered
        last, and what the whole bucket accrued since.
        """
        drained = self._drained.get(bucket)
        limit = self._shares.get_limit(bucket)
        if drained is None or limit is None:
            return False
        elapsed = self._state.clock.now() - drained.at
        most = drained.left + elapsed * limit.rate
        return amount > most + self._shares.count_available_tokens(bucket)

    async def _wait_lenders(self) -> list[str]:
        """Return the peers that may lend, waiting a moment for one.

        A daemon that starts, or was paused, has heard of nobody lately.
        """
        alone = self._state.roster.names() <= {self._state.name}
        end = self._state.clock.now() + _LENDER_WAIT
        while not (peers := self._find_lenders()):
            if alone or self._state.clock.now() >= end:
                break
            await asyncio.sleep(_LENDER_PAUSE)
        return peers

    def _find_lenders(self) -> list[str]:
        heartbeats = self._state.heartbeats
        names = self._state.roster.names()
        return [
            n
            for n in self._mesh.list_peers()
            if n in names and not heartbeats.is_unresponsive(n)
        ]

    async def _ask(
        self, bucket: str, amount: float, need: float, peers: list[str]
    ) -> _Wave:
        self._number += 1
        number = self._number
        now = self._state.clock.now()
        wish = self._shares.compute_loan(bucket, amount) / len(peers)
        self._drop_old(now)
        settled = self._find_settled(bucket, number)
        ask = LoanRequest(number, bucket, wish, need / len(peers), settled)
        sent = {n for n in peers if self._mesh.send(n, ask)}
        self._metrics.add(Count.LOANS_ASKED, by=len(sent))
        wave = _Wave(bucket, now, need, sent, asyncio.Event())
        self._waves[number] = wave
        try:
            async with asyncio.timeout(_WAVE_TIMEOUT):
                while not wave.is_over():
                    wave.done.clear()
                    await wave.done.wait()
        except TimeoutError:
            pass
        wave.is_closed = True
        return wave

    def _find_settled(self, bucket: str, number: int) -> int:
        """Return up to which ask no loan is on its way any more."""
        waiting = [
            n
            for n, wave in self._waves.items()
            if wave.bucket == bucket and wave.waiting
        ]
        return min(waiting, default=number) - 1

    def _drop_old(self, now: float) -> None:
        """Forget waves whose loans would come too late."""
        for number, wave in list(self._waves.items()):
            if now - wave.sent >= LOAN_TTL_S:
                del self._waves[number]

    def receive_loan_request(self, ask: LoanRequest, sender: Sender) -> None:
        """Lend to a peer, if this daemon may still act on its units.

        A loan moves no units, so the peer need not be a member yet.
        """
        lent = 0.0
        if self._state.is_fresh():
            lent = self._shares.lend(ask, sender.name)
        left = max(0.0, self._shares.count_available_tokens(ask.bucket))
        if lent:
            self._metrics.add(Count.LOANS_GIVEN)
        loan = Loan(ask.number, ask.bucket, lent, left)
        self._mesh.send(sender.name, loan)

    def receive_loan(self, loan: Loan, sender: Sender) -> None:
        """Take in a loan; one that comes too late is given up."""
        wave = self._waves.get(loan.number)
        age = LOAN_TTL_S
        if wave is not None:
            age = self._state.clock.now() - wave.sent
        if wave is None or age >= LOAN_TTL_S or wave.bucket != loan.bucket:
            self._metrics.add(Count.LOANS_LATE)
            return
        if sender.name not in wave.waiting:
            return
        wave.waiting.discard(sender.name)
        if wave.is_closed:
            self._shares.refund(loan.bucket, loan.amount)
            return
        wave.lent += loan.amount
        wave.left[sender.name] = loan.remaining
        wave.done.set()


__all__ = ['TokenLending']
