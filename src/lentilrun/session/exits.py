"""Exit codes of the command line."""

from __future__ import annotations

import enum


class Exit(enum.IntEnum):
    """Exit codes, by the outcome of a command."""

    DONE = 0
    NOT_EVERYWHERE = 1
    INVALID_FILE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5
    MAJORITY_MISSING = 6
    REFUSED = 7
    # A request that was explained would be refused.
    WOULD_REFUSE = 8
    INVALID_QUERY = 9


__all__ = ['Exit']
