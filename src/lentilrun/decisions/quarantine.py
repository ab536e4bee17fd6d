"""What must not be sent to targets, as it crashes them.

The load: requests come at any VM and at any rate under which every target
crashes that begins to answer. Either one request is repeated, or requests
that are no two alike share one segment of their prompts. Sound requests
share the other segments, and those that are at a target as it crashes break
off in the same way.
"""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..records import PositionalRecord

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from .facts import Prompt

# A suspect is convicted at this many crashes.
_CONVICTION_CRASHES = 3
# The same for a segment that targets have responded to before.
_SOUND_CONVICTION_CRASHES = 5
# Records expire this long after the last crash.
_RECORD_TTL_S = 60.0
_CONVICTION_TTL_S = 300.0
_TRIAL_INTERVAL_S = 1.0
# Targets that crash at one moment, or are cut off, convict segments that
# had a response until this time before.
_RECENT_RESPONSE_S = 5.0
_MAX_RECORDS = 4000
_MAX_CRASHES_PER_RECORD = 64
_MAX_SOUND_SEGMENTS = 4000


class SuspectKind(enum.StrEnum):
    """A whole request, or a segment of the prompts of many."""

    REQUEST = 'r'
    SEGMENT = 's'


class Suspect(PositionalRecord, frozen=True):
    """What targets may crash under; ``identity`` is unique for its kind."""

    kind: SuspectKind
    identity: str


class Crash(PositionalRecord, frozen=True):
    """A crash of a target under a suspect.

    ``target_start`` is the target's incarnation with the time at which it
    started.
    """

    suspect: Suspect
    target_start: str


class CrashHistory(NamedTuple):
    """The target starts that crashed under a suspect.

    The last one crashed at ``crashed_at``, in seconds.
    """

    target_starts: tuple[str, ...]
    crashed_at: float


class Verdict(enum.Enum):
    """Whether a request may be sent; ``TRIAL`` only once in a while."""

    SEND = enum.auto()
    TRIAL = enum.auto()
    REFUSE = enum.auto()


def list_segments(prompt: Prompt | None) -> list[Suspect]:
    """Return the suspects among a prompt's segments.

    The last segment belongs to one request or session.
    """
    if prompt is None:
        return []
    return [
        Suspect(SuspectKind.SEGMENT, s.identity) for s in prompt.segments[:-1]
    ]


class _Record:
    """The crashes of a suspect by target start, with their times.

    ``cleared`` holds the crashes that came before a response. A crash and
    its clearing may become known in any order.
    """

    def __init__(self) -> None:
        self.crashes: dict[str, float] = {}
        self.cleared: set[str] = set()
        self.changed_at = float('-inf')
        self.convicted_at = 0.0
        self.tried_at: float | None = None
        # Whether a target crashed under a trial of this VM.
        self.has_failed_trial = False

    def has_trial(self, now: float) -> bool:
        return (
            self.tried_at is not None
            and now - self.tried_at < _TRIAL_INTERVAL_S
        )


class Quarantine:
    """Convicts suspects under which targets crash and never respond.

    Repeated crashes at one start of a target count once. A response clears
    all crashes before it, and those of other suspects at the same start of
    a target. A convicted suspect is not sent to targets any more, except on
    trial, once in a while: a request without another convicted suspect that
    was there at each of the crashes, or with a segment that had a response
    shortly before them, until a target crashes under its trial.
    """

    def __init__(self) -> None:
        # By the time of the last change, oldest first.
        self._records: dict[Suspect, _Record] = {}
        # The times of the last responses to segments, oldest first.
        self._sound: dict[Suspect, float] = {}
        # When crashes of a target start became known, oldest first.
        self._crashed: dict[str, float] = {}

    def record_crash(
        self, crash: Crash, now: float, sent_at: float | None = None
    ) -> bool:
        """Record a crash; return whether it convicts the suspect.

        ``sent_at`` is when this VM sent the request, if it was this one.
        """
        start = crash.target_start
        if sent_at is None and self._knows(crash, now):
            # VMs repeat their reports to those that start.
            return False
        record = self._touch(crash.suspect, now)
        if (
            start in record.cleared
            or start in record.crashes
            or len(record.crashes) >= _MAX_CRASHES_PER_RECORD
        ):
            return False
        was_convicted = self._is_convicted(crash.suspect, now)
        record.crashes[start] = now
        if sent_at is not None and record.tried_at is not None:
            record.has_failed_trial |= sent_at >= record.tried_at
        self._remember_crashed(start, now)
        if was_convicted or not self._is_convicted(crash.suspect, now):
            return False
        record.convicted_at = now
        return True

    def _knows(self, crash: Crash, now: float) -> bool:
        record = self._find(crash.suspect, now)
        if record is None:
            return False
        start = crash.target_start
        return start in record.crashes or start in record.cleared

    def is_cleared(self, crash: Crash, now: float) -> bool:
        """Return whether a crash came before a response that is known."""
        record = self._find(crash.suspect, now)
        return record is not None and crash.target_start in record.cleared

    def find_history(
        self, suspect: Suspect, now: float
    ) -> CrashHistory | None:
        """Return the crashes under a suspect that count, if any do."""
        record = self._find(suspect, now)
        if record is None or not record.crashes:
            return None
        return CrashHistory(
            tuple(record.crashes), max(record.crashes.values())
        )

    def restore(
        self, suspect: Suspect, history: CrashHistory, now: float
    ) -> bool:
        """Record crashes that were saved; return whether any is new.

        They expire as if they had been recorded when they happened, also if
        another VM reported them meanwhile. Those that were cleared since do
        not count.
        """
        record = self._find(suspect, now)
        if record is None:
            self._make_room(now)
            record = self._records[suspect] = _Record()
        crashes = record.crashes
        known = crashes.keys() | record.cleared
        new = [s for s in history.target_starts if s not in known]
        room = _MAX_CRASHES_PER_RECORD - len(crashes)
        for start in new[:room]:
            crashes[start] = history.crashed_at
            self._remember_crashed(start, history.crashed_at)
        for start in crashes.keys() & history.target_starts:
            crashes[start] = min(crashes[start], history.crashed_at)
        if crashes:
            record.changed_at = max(crashes.values())
        return bool(new) and self._find(suspect, now) is not None

    def record_response(
        self, suspects: Sequence[Suspect], now: float
    ) -> list[Crash]:
        """Record that a target responded to a request with ``suspects``.

        Return the crashes that came before it, which are to be cleared.
        """
        crashes: list[Crash] = []
        for suspect in suspects:
            self._remember_sound(suspect, now)
            record = self._find(suspect, now)
            if record is not None:
                crashes += [Crash(suspect, s) for s in record.crashes]
        return crashes

    def list_refuted(
        self, target_start: str, sent_at: float, now: float
    ) -> list[Crash]:
        """Return the crashes that a response shows not to have been any.

        It is a response of the target to a request sent at ``sent_at``.
        """
        crashed_at = self._crashed.get(target_start)
        if crashed_at is None or sent_at <= crashed_at:
            return []
        del self._crashed[target_start]
        return [
            c for c in self.list_crashes(now) if c.target_start == target_start
        ]

    def clear(self, crash: Crash, now: float) -> bool:
        """Clear a crash; return whether this ends a conviction."""
        was_convicted = self._is_convicted(crash.suspect, now)
        record = self._touch(crash.suspect, now)
        record.crashes.pop(crash.target_start, None)
        if not record.crashes:
            record.tried_at = None
            record.has_failed_trial = False
        if len(record.cleared) < _MAX_CRASHES_PER_RECORD:
            record.cleared.add(crash.target_start)
        return was_convicted and not self._is_convicted(crash.suspect, now)

    def judge(self, suspects: Sequence[Suspect], now: float) -> Verdict:
        """Return whether a request with ``suspects`` may be sent."""
        convicted = [s for s in suspects if self._is_convicted(s, now)]
        if not convicted:
            return Verdict.SEND
        others = [s for s in self._list_convicted(now) if s not in suspects]
        if all(self._may_try(s, others, now) for s in convicted):
            return Verdict.TRIAL
        return Verdict.REFUSE

    def begin_trial(self, suspects: Sequence[Suspect], now: float) -> None:
        """Record that a request is sent on trial."""
        for suspect in suspects:
            if self._is_convicted(suspect, now):
                self._records[suspect].tried_at = now

    def list_crashes(self, now: float) -> Iterator[Crash]:
        """Yield the crashes that count."""
        for suspect in list(self._records):
            record = self._find(suspect, now)
            if record is not None:
                yield from (Crash(suspect, s) for s in record.crashes)

    def _may_try(
        self, suspect: Suspect, others: list[Suspect], now: float
    ) -> bool:
        record = self._records[suspect]
        if record.has_trial(now):
            return False
        if self._was_recently_sound(suspect) and not record.has_failed_trial:
            return True
        return any(self._was_at_crashes(o, record) for o in others)

    def _was_recently_sound(self, suspect: Suspect) -> bool:
        """Return whether responses came shortly before the conviction."""
        responded_at = self._sound.get(suspect)
        if responded_at is None:
            return False
        convicted_at = self._records[suspect].convicted_at
        return convicted_at - responded_at < _RECENT_RESPONSE_S

    def _was_at_crashes(self, other: Suspect, record: _Record) -> bool:
        return record.crashes.keys() <= self._records[other].crashes.keys()

    def _list_convicted(self, now: float) -> list[Suspect]:
        return [s for s in self._records if self._is_convicted(s, now)]

    def _is_convicted(self, suspect: Suspect, now: float) -> bool:
        record = self._records.get(suspect)
        if record is None or now - record.changed_at >= _CONVICTION_TTL_S:
            return False
        needed = (
            _SOUND_CONVICTION_CRASHES
            if suspect in self._sound
            else _CONVICTION_CRASHES
        )
        return len(record.crashes) >= needed

    def _find(self, suspect: Suspect, now: float) -> _Record | None:
        """Return the record of a suspect, unless it has expired."""
        record = self._records.get(suspect)
        if record is None:
            return None
        ttl = (
            _CONVICTION_TTL_S
            if self._is_convicted(suspect, now)
            else _RECORD_TTL_S
        )
        if now - record.changed_at < ttl:
            return record
        del self._records[suspect]
        return None

    def _touch(self, suspect: Suspect, now: float) -> _Record:
        """Return a suspect's record, which becomes the newest."""
        record = self._find(suspect, now)
        if record is None:
            record = _Record()
            self._make_room(now)
        else:
            del self._records[suspect]
        record.changed_at = now
        self._records[suspect] = record
        return record

    def _make_room(self, now: float) -> None:
        self._discard_expired(now)
        if len(self._records) < _MAX_RECORDS:
            return
        oldest = next(iter(self._records))
        unconvicted = (
            s for s in self._records if not self._is_convicted(s, now)
        )
        del self._records[next(unconvicted, oldest)]

    def _discard_expired(self, now: float) -> None:
        for suspect, record in list(self._records.items()):
            if now - record.changed_at < _RECORD_TTL_S:
                return
            self._find(suspect, now)

    def _remember_crashed(self, target_start: str, now: float) -> None:
        self._crashed.pop(target_start, None)
        self._crashed[target_start] = now
        if len(self._crashed) > _MAX_RECORDS:
            del self._crashed[next(iter(self._crashed))]

    def _remember_sound(self, suspect: Suspect, now: float) -> None:
        if suspect.kind is not SuspectKind.SEGMENT:
            return
        self._sound.pop(suspect, None)
        self._sound[suspect] = now
        if len(self._sound) > _MAX_SOUND_SEGMENTS:
            del self._sound[next(iter(self._sound))]


__all__ = [
    'Crash',
    'CrashHistory',
    'list_segments',
    'Quarantine',
    'Suspect',
    'SuspectKind',
    'Verdict',
]
