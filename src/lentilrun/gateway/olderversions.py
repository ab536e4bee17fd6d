"""When a target is believed that its weights are older than was known.

An engine that carries out an order late may go back to the weights of that
order. Reports are some hundred milliseconds old, and rows and the messages
of other VMs may be older, so a single statement is not enough.
"""

from __future__ import annotations

from typing import NamedTuple

# Reports of an engine are at most this old, in seconds.
_REPORT_AGE_S = 1.0
# A second statement must come within this time after the first one.
_STATEMENT_TTL_S = 10.0
# For this long after an engine went back, what others state of it is older.
_DOUBT_S = 5.0


class _Statement(NamedTuple):
    """What a target stated first; ``at`` by the clock, in seconds."""

    version: int
    at: float


class _Doubt(NamedTuple):
    """Up to which version others are not believed, and until when, in s."""

    version: int
    until: float


class OlderVersions:
    """The statements of one start of a target that its weights are older."""

    def __init__(self) -> None:
        self._statements: dict[str, _Statement] = {}
        self._doubts: dict[str, _Doubt] = {}

    def confirm(self, model: str, version: int, now: float) -> bool:
        """Record a target's own statement; return whether to believe it."""
        first = self._statements.get(model)
        if (
            first is None
            or first.version != version
            or now - first.at > _STATEMENT_TTL_S
        ):
            self._statements[model] = _Statement(version, now)
            return False
        return now - first.at >= _REPORT_AGE_S

    def forget(self, model: str) -> None:
        """Forget a statement, as the target states another version."""
        self._statements.pop(model, None)

    def doubt(self, model: str, version: int, now: float) -> None:
        """Doubt others who state versions up to one that a target had."""
        self._doubts[model] = _Doubt(version, now + _DOUBT_S)

    def is_doubted(self, model: str, version: int, now: float) -> bool:
        """Return whether a version that others state may be an old one."""
        doubt = self._doubts.get(model)
        return (
            doubt is not None
            and version <= doubt.version
            and now < doubt.until
        )


__all__ = ['OlderVersions']
