"""Quarantine of requests that crash the targets that run them."""

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
_QUARANTINE_CRASHES = 2


class SuspectStatus(enum.StrEnum):
    """Whether a request may run freely, on trial or not at all."""

    CLEAR = 'clear'
    TRIAL = 'trial'
    QUARANTINED = 'quarantined'


class _Suspect(NamedTuple):
    crashes: frozenset[tuple[str, str]]
    last_crash_at: float


class _Trial(NamedTuple):
    holder: str
    cleared: bool
    began_at: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Trial)


class TrialRefusedError(LentilrunError):
    """The only trial of a suspect has already begun or ended."""


class SuspectTracker:
    """Counts crashes by request, and allows a suspect one trial.

    After its first crash a request runs again only under a row in the
    table, so that all VMs together lose at most one more target to it.
    """

    def __init__(
        self, clock: Clock, table: Table, metrics: Metrics, vm: str
    ) -> None:
        self._clock = clock
        self._table = table
        self._metrics = metrics
        self._vm = vm
        self._suspects: dict[str, _Suspect] = {}

    def record_crash(self, suspicion: Suspicion) -> bool:
        """Record a crash that a request may have caused; return if new."""
        crash = (suspicion.target, suspicion.incarnation)
        previous = self._suspects.get(suspicion.fingerprint)
        if previous is not None and crash in previous.crashes:
            return False
        crashes = previous.crashes if previous is not None else frozenset()
        suspect = _Suspect(crashes | {crash}, self._clock.now())
        self._suspects[suspicion.fingerprint] = suspect
        self._metrics.add(Count.CRASH_SUSPECTS)
        if len(suspect.crashes) == _QUARANTINE_CRASHES:
            self._metrics.add(Count.QUARANTINES)
        while len(self._suspects) > _MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]
        return True

    def get_status(self, fingerprint: str) -> SuspectStatus:
        """Return whether a request may run.

        A suspect is cleared ``QUARANTINE_S`` after its last crash.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return SuspectStatus.CLEAR
        if self._clock.now() - suspect.last_crash_at > QUARANTINE_S:
            del self._suspects[fingerprint]
            return SuspectStatus.CLEAR
        if len(suspect.crashes) >= _QUARANTINE_CRASHES:
            return SuspectStatus.QUARANTINED
        return SuspectStatus.TRIAL

    def list_suspects(self) -> list[tuple[str, frozenset[tuple[str, str]]]]:
        """Return all suspects with their crashes."""
        return [
            (fingerprint, suspect.crashes)
            for fingerprint, suspect in self._suspects.items()
        ]

    async def begin_trial(self, fingerprint: str, now: float) -> None:
        """Begin the only trial of a suspect, unless it was cleared.

        ``now`` is in seconds since 1970. Raises ``TrialRefusedError`` if
        a trial began in the last ``QUARANTINE_S`` seconds, or
        ``PlatformError`` if the table gives no answer.
        """
        key = f'suspects/{fingerprint}'
        row = await self._table.read(key)
        if row.version != ABSENT:
            trial = _decoder.decode(row.value)
            if trial.cleared:
                return
            if now - trial.began_at < QUARANTINE_S:
                raise TrialRefusedError('the request is already on trial')
        value = _encoder.encode(_Trial(self._vm, False, now))
        try:
            await self._table.write(key, value, row.version)
        except ConflictError as error:
            raise TrialRefusedError(
                'the request is already on trial'
            ) from error

    async def clear(self, fingerprint: str, now: float) -> None:
        """Clear a suspect that ran without a crash.

        ``now`` is in seconds since 1970. If the row can't be written, the
        suspect is cleared at this VM only.
        """
        self._suspects.pop(fingerprint, None)
        key = f'suspects/{fingerprint}'
        try:
            row = await self._table.read(key)
            value = _encoder.encode(_Trial(self._vm, True, now))
            await self._table.write(key, value, row.version)
        except (ConflictError, PlatformError):
            pass


__all__ = [
    'QUARANTINE_S',
    'SuspectStatus',
    'SuspectTracker',
    'TrialRefusedError',
]
