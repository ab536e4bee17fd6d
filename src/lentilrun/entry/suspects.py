"""Requests that crash the targets that run them."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..coordination.table import ABSENT
from ..errors import ConflictError
from ..errors import LentilrunError
from ..errors import PlatformError
from ..metrics.registry import Count

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..coordination.table import Table
    from ..metrics.registry import Metrics
    from ..peers.messages import Suspicion

QUARANTINE_S = 600.0
_MAX_SUSPECTS = 10_000
_LIMIT = 2


class SuspectStatus(enum.StrEnum):
    """What a request may do."""

    CLEAR = 'clear'
    TRIAL = 'trial'
    QUARANTINED = 'quarantined'


class _Suspect(NamedTuple):
    crashes: frozenset[tuple[str, str]]
    since: float


class _Trial(NamedTuple):
    holder: str
    cleared: bool
    began: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Trial)


class TrialRefusedError(LentilrunError):
    """The one trial of a suspect is under way, or was made."""


class SuspectTracker:
    """Counts crashes by request, and lets a suspect be tried once.

    After its first crash a request runs again only under a row in the
    table, so that all daemons together lose one more target at most.
    """

    def __init__(
        self, clock: Clock, table: Table, metrics: Metrics, name: str
    ) -> None:
        self._clock = clock
        self._table = table
        self._metrics = metrics
        self._name = name
        self._suspects: dict[str, _Suspect] = {}

    def record_crash(self, suspicion: Suspicion) -> bool:
        """Note that a request ran where a target crashed; return if new."""
        crash = (suspicion.target, suspicion.incarnation)
        before = self._suspects.get(suspicion.fingerprint)
        if before is not None and crash in before.crashes:
            return False
        crashes = before.crashes if before is not None else frozenset()
        found = _Suspect(crashes | {crash}, self._clock.now())
        self._suspects[suspicion.fingerprint] = found
        self._metrics.add(Count.CRASH_SUSPECTS)
        if len(found.crashes) == _LIMIT:
            self._metrics.add(Count.QUARANTINES)
        while len(self._suspects) > _MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]
        return True

    def get_status(self, fingerprint: str) -> SuspectStatus:
        """Return what a request may do."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return SuspectStatus.CLEAR
        if self._clock.now() - suspect.since > QUARANTINE_S:
            del self._suspects[fingerprint]
            return SuspectStatus.CLEAR
        if len(suspect.crashes) >= _LIMIT:
            return SuspectStatus.QUARANTINED
        return SuspectStatus.TRIAL

    def list_suspects(self) -> list[tuple[str, frozenset[tuple[str, str]]]]:
        """Return all suspects with their crashes."""
        return [(f, s.crashes) for f, s in self._suspects.items()]

    async def begin_trial(self, fingerprint: str, now: float) -> None:
        """Take the one trial of a suspect; ``now`` in seconds since 1970.

        Raises ``TrialRefusedError`` if another has it, or
        ``PlatformError`` if nobody can tell.
        """
        key = f'suspects/{fingerprint}'
        row = await self._table.read(key)
        if row.version != ABSENT:
            trial = _decoder.decode(row.value)
            if trial.cleared:
                return
            if now - trial.began < QUARANTINE_S:
                raise TrialRefusedError('the request is on trial')
        wanted = _encoder.encode(_Trial(self._name, False, now))
        try:
            await self._table.write(key, wanted, row.version)
        except ConflictError as error:
            raise TrialRefusedError('the request is on trial') from error

    async def clear(self, fingerprint: str, now: float) -> None:
        """Clear a suspect that ran without a crash."""
        self._suspects.pop(fingerprint, None)
        key = f'suspects/{fingerprint}'
        try:
            row = await self._table.read(key)
            wanted = _encoder.encode(_Trial(self._name, True, now))
            await self._table.write(key, wanted, row.version)
        except (ConflictError, PlatformError):
            pass


__all__ = [
    'QUARANTINE_S',
    'SuspectStatus',
    'SuspectTracker',
    'TrialRefusedError',
]
