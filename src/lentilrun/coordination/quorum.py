"""Quorums: waiting until a majority of members acknowledged a change."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..errors import Code
from ..errors import ConflictError
from ..errors import LentilrunError
from .freshness import count_majority

if TYPE_CHECKING:
    from collections.abc import Callable

    from .topics import Acknowledge


ANNOUNCE_TIMEOUT_S = 2.0


_RESEND_INTERVAL_S = 0.1


class MajorityMissingError(LentilrunError):
    """Too few members acknowledged a change; it was not made."""

    code = Code.MAJORITY_MISSING


class Quorum:
    """Counts the members that acknowledge or refuse a change."""

    def __init__(self, operation: str, members: frozenset[str]) -> None:
        self.operation = operation
        self._members = members
        self._approvals: set[str] = set()
        self._refusals: dict[str, str] = {}
        self._answer_received = asyncio.Event()

    def record_answer(self, member: str, answer: Acknowledge) -> None:
        """Record the answer of a member; one to another change is ignored."""
        if member not in self._members:
            return
        if answer.operation != self.operation:
            return
        if answer.refusal:
            self._refusals[member] = answer.refusal
        else:
            self._approvals.add(member)
        self._answer_received.set()

    def is_reached(self) -> bool:
        """Return whether a majority acknowledged the change."""
        needed = count_majority(len(self._members))
        return not self._members or len(self._approvals) >= needed

    def _raise_if_refused(self) -> None:
        needed = count_majority(len(self._members))
        if len(self._members) - len(self._refusals) < needed:
            reasons = sorted(set(self._refusals.values()))
            raise ConflictError(f'refused: {", ".join(reasons)}')

    def list_missing(self) -> frozenset[str]:
        """Return the members that have not answered yet."""
        return self._members - self._approvals - self._refusals.keys()

    async def wait(
        self,
        resend: Callable[[frozenset[str]], None],
        timeout: float = ANNOUNCE_TIMEOUT_S,
    ) -> None:
        """Wait up to ``timeout`` seconds for the majority.

        ``resend`` sends the change again to members without an answer.
        Raises ``ConflictError`` as soon as too many refused, and
        ``MajorityMissingError`` if too few answered in time.
        """
        try:
            async with asyncio.timeout(timeout):
                while not self.is_reached():
                    self._raise_if_refused()
                    await self._wait_for_answer(resend)
        except TimeoutError as error:
            missing = sorted(self.list_missing())
            text = f'no majority: {", ".join(missing)} did not agree'
            raise MajorityMissingError(text) from error

    async def _wait_for_answer(
        self, resend: Callable[[frozenset[str]], None]
    ) -> None:
        self._answer_received.clear()
        try:
            async with asyncio.timeout(_RESEND_INTERVAL_S):
                await self._answer_received.wait()
        except TimeoutError:
            resend(self.list_missing())


__all__ = ['ANNOUNCE_TIMEOUT_S', 'MajorityMissingError', 'Quorum']
