"""Waiting until a majority of the members heard of a change."""

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


_REMIND_PAUSE = 0.1


class MajorityMissingError(LentilrunError):
    """Too few members could be told of a change; it was not made."""

    code = Code.MAJORITY_MISSING


class Quorum:
    """Waits until a majority of some members acknowledged a change."""

    def __init__(self, operation: str, members: frozenset[str]) -> None:
        self.operation = operation
        self._members = members
        self._agreed: set[str] = set()
        self._refusals: dict[str, str] = {}
        self._changed = asyncio.Event()

    def record_answer(self, member: str, answer: Acknowledge) -> None:
        """Take in an answer."""
        if member not in self._members:
            return
        if answer.operation != self.operation:
            return
        if answer.refusal:
            self._refusals[member] = answer.refusal
        else:
            self._agreed.add(member)
        self._changed.set()

    def is_reached(self) -> bool:
        """Return whether a majority agreed."""
        needed = count_majority(len(self._members))
        return not self._members or len(self._agreed) >= needed

    def _check_refusals(self) -> None:
        needed = count_majority(len(self._members))
        if len(self._members) - len(self._refusals) < needed:
            reasons = sorted(set(self._refusals.values()))
            raise ConflictError(f'refused: {", ".join(reasons)}')

    def list_missing(self) -> frozenset[str]:
        """Return the members that did not answer yet."""
        return self._members - self._agreed - self._refusals.keys()

    async def wait(
        self,
        remind: Callable[[frozenset[str]], None],
        timeout: float = ANNOUNCE_TIMEOUT_S,
    ) -> None:
        """Wait for the majority; ``remind`` tells those missing again.

        Raises ``ConflictError`` as soon as too many refused, and
        ``MajorityMissingError`` if too few answered in time.
        """
        try:
            async with asyncio.timeout(timeout):
                while not self.is_reached():
                    self._check_refusals()
                    await self._wait_change(remind)
        except TimeoutError as error:
            missing = sorted(self.list_missing())
            text = f'no majority: {", ".join(missing)} did not agree'
            raise MajorityMissingError(text) from error

    async def _wait_change(
        self, remind: Callable[[frozenset[str]], None]
    ) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(_REMIND_PAUSE):
                await self._changed.wait()
        except TimeoutError:
            remind(self.list_missing())


__all__ = ['ANNOUNCE_TIMEOUT_S', 'MajorityMissingError', 'Quorum']
