"""Spending from buckets divided into shares, with loans from peers."""

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

_MAX_ROUNDS = 3
_LENDER_WAIT_S = 1.5
_LENDER_POLL_S = 0.05
_ROUND_TIMEOUT_S = 0.8 * LOAN_TTL_S


@dataclasses.dataclass
class _LoanRound:
    """Loan requests sent together, and the loans received so far."""

    bucket: str
    sent_at: float
    need: float
    waiting: set[str]
    loan_received: asyncio.Event
    lent: float = 0.0
    remaining: dict[str, float] = dataclasses.field(default_factory=dict)
    is_closed: bool = False

    def is_complete(self) -> bool:
        """Return whether the loans suffice or all peers answered."""
        return not self.waiting or self.lent >= self.need


class _PeerTokens(NamedTuple):
    """The tokens that all peers together held when all had answered."""

    measured_at: float
    tokens: float


class _Waiter(NamedTuple):
    amount: float
    result: asyncio.Future[bool]


class TokenLending:
    """Spends tokens for requests, and lends tokens to peers."""

    def __init__(
        self, state: FleetState, mesh: Mesh, metrics: Metrics
    ) -> None:
        self._state = state
        self._shares = state.shares
        self._mesh = mesh
        self._metrics = metrics
        self._last_number = 0
        self._rounds: dict[int, _LoanRound] = {}
        self._waiters: dict[str, list[_Waiter]] = {}
        self._peer_tokens: dict[str, _PeerTokens] = {}
        self._borrowing_tasks: dict[str, asyncio.Task[None]] = {}

    async def spend(self, bucket: str, amount: float) -> bool:
        """Spend tokens, borrowing missing ones; return if that succeeded."""
        if bucket not in self._waiters:
            if self._shares.spend(bucket, amount):
                return True
        limit = self._shares.get_limit(bucket)
        if limit is None or amount > limit.burst:
            return False
        if self._exceeds_peer_tokens(bucket, amount):
            return False
        return await self._wait_for_tokens(bucket, amount)

    async def _wait_for_tokens(self, bucket: str, amount: float) -> bool:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(amount, loop.create_future())
        self._waiters.setdefault(bucket, []).append(waiter)
        if bucket not in self._borrowing_tasks:
            task = loop.create_task(self._serve_waiters(bucket))
            self._borrowing_tasks[bucket] = task
        try:
            return await waiter.result
        except asyncio.CancelledError:
            result = waiter.result
            if result.done() and not result.cancelled() and result.result():
                self._shares.refund(bucket, amount)
            raise

    async def _serve_waiters(self, bucket: str) -> None:
        """Borrow for all waiting requests together, until none waits."""
        try:
            while waiters := self._waiters.get(bucket):
                self._waiters[bucket] = []
                await self._serve_batch(bucket, waiters)
        finally:
            for waiter in self._waiters.pop(bucket, []):
                waiter.result.cancel()
            del self._borrowing_tasks[bucket]

    async def _serve_batch(self, bucket: str, waiters: list[_Waiter]) -> None:
        amounts = [w.amount for w in waiters]
        borrowed = await self._borrow(bucket, sum(amounts))
        successes = self._shares.spend_with_loans(bucket, amounts, borrowed)
        for waiter, success in zip(waiters, successes, strict=True):
            if not waiter.result.done():
                waiter.result.set_result(success)
            elif success:
                self._shares.refund(bucket, waiter.amount)

    async def _borrow(self, bucket: str, amount: float) -> float:
        peers = await self._wait_for_lenders()
        has_all_peers = len(peers) >= len(self._state.roster.names()) - 1
        borrowed = 0.0
        for _ in range(_MAX_ROUNDS):
            missing = (
                amount - borrowed - self._shares.count_available_tokens(bucket)
            )
            if not peers or missing <= 0.0:
                break
            loan_round = await self._request_loans(
                bucket, amount - borrowed, missing, peers
            )
            borrowed += loan_round.lent
            if loan_round.remaining:
                peers = [
                    n
                    for n, tokens in loan_round.remaining.items()
                    if tokens > 0.0
                ]
            else:
                # No peer answered: the requests may be lost.
                peers = self._list_lenders()
            if has_all_peers and not loan_round.waiting:
                peer_tokens = sum(loan_round.remaining.values())
                now = self._state.clock.now()
                self._peer_tokens[bucket] = _PeerTokens(now, peer_tokens)
        return borrowed

    def _exceeds_peer_tokens(self, bucket: str, amount: float) -> bool:
        """Return whether own tokens and those of all peers can't suffice.

        The peers hold at most the tokens that remained when all of them last
        answered, and those that the whole bucket accrued since.
        """
        last = self._peer_tokens.get(bucket)
        limit = self._shares.get_limit(bucket)
        if last is None or limit is None:
            return False
        elapsed = self._state.clock.now() - last.measured_at
        max_tokens = last.tokens + elapsed * limit.rate
        return amount > max_tokens + self._shares.count_available_tokens(
            bucket
        )

    async def _wait_for_lenders(self) -> list[str]:
        """Return the peers that may lend.

        Waits up to ``_LENDER_WAIT_S`` if there are none yet.
        A daemon that starts, or was paused, has no recent heartbeats.
        """
        is_alone = self._state.roster.names() <= {self._state.name}
        ends_at = self._state.clock.now() + _LENDER_WAIT_S
        while not (peers := self._list_lenders()):
            if is_alone or self._state.clock.now() >= ends_at:
                break
            await asyncio.sleep(_LENDER_POLL_S)
        return peers

    def _list_lenders(self) -> list[str]:
        heartbeats = self._state.heartbeats
        names = self._state.roster.names()
        return [
            n
            for n in self._mesh.list_peers()
            if n in names and not heartbeats.is_unresponsive(n)
        ]

    async def _request_loans(
        self, bucket: str, amount: float, need: float, peers: list[str]
    ) -> _LoanRound:
        self._last_number += 1
        number = self._last_number
        now = self._state.clock.now()
        amount_per_peer = self._shares.compute_loan(bucket, amount) / len(
            peers
        )
        self._discard_expired_rounds(now)
        settled = self._find_settled_number(bucket, number)
        request = LoanRequest(
            number, bucket, amount_per_peer, need / len(peers), settled
        )
        sent = {n for n in peers if self._mesh.send(n, request)}
        self._metrics.add(Count.LOANS_ASKED, by=len(sent))
        loan_round = _LoanRound(bucket, now, need, sent, asyncio.Event())
        self._rounds[number] = loan_round
        try:
            async with asyncio.timeout(_ROUND_TIMEOUT_S):
                while not loan_round.is_complete():
                    loan_round.loan_received.clear()
                    await loan_round.loan_received.wait()
        except TimeoutError:
            pass
        loan_round.is_closed = True
        return loan_round

    def _find_settled_number(self, bucket: str, number: int) -> int:
        """Return the number up to which no requested loan is in transit."""
        waiting = [
            n
            for n, loan_round in self._rounds.items()
            if loan_round.bucket == bucket and loan_round.waiting
        ]
        return min(waiting, default=number) - 1

    def _discard_expired_rounds(self, now: float) -> None:
        """Remove rounds whose loans would arrive too late."""
        for number, loan_round in list(self._rounds.items()):
            if now - loan_round.sent_at >= LOAN_TTL_S:
                del self._rounds[number]

    def receive_loan_request(
        self, request: LoanRequest, sender: Sender
    ) -> None:
        """Lend to a peer, if this daemon may still act on its units.

        A loan moves no units, so the peer need not be a member yet.
        """
        lent = 0.0
        if self._state.is_fresh():
            lent = self._shares.lend(request, sender.name)
        remaining = max(
            0.0, self._shares.count_available_tokens(request.bucket)
        )
        if lent:
            self._metrics.add(Count.LOANS_GIVEN)
        loan = Loan(request.number, request.bucket, lent, remaining)
        self._mesh.send(sender.name, loan)

    def receive_loan(self, loan: Loan, sender: Sender) -> None:
        """Add a loan to its round; one that arrives too late is discarded."""
        loan_round = self._rounds.get(loan.number)
        age = LOAN_TTL_S
        if loan_round is not None:
            age = self._state.clock.now() - loan_round.sent_at
        if (
            loan_round is None
            or age >= LOAN_TTL_S
            or loan_round.bucket != loan.bucket
        ):
            self._metrics.add(Count.LOANS_LATE)
            return
        if sender.name not in loan_round.waiting:
            return
        loan_round.waiting.discard(sender.name)
        if loan_round.is_closed:
            self._shares.refund(loan.bucket, loan.amount)
            return
        loan_round.lent += loan.amount
        loan_round.remaining[sender.name] = loan.remaining
        loan_round.loan_received.set()


__all__ = ['TokenLending']
