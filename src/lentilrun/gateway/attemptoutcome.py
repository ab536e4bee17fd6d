"""How an attempt of a call may end."""

from __future__ import annotations

import enum


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended.

    ``NOT_RUN`` means that the target states that it has not run the request,
    and ``FAILED`` that its response is whole and reports a server error, or
    is not the rest of the stream that it was to continue.
    ``BROKEN`` covers connections that closed early and unusable responses.
    ``TIMED_OUT`` is an attempt that the router ended at the deadline or
    because the caller stopped waiting, ``MOVED`` one that it ended to
    continue its stream at another target, and ``WITHDRAWN`` one that had
    not begun when its weights became too old. ``CUT_OFF`` is one that it
    ended, for another VM to repeat, as this VM reached no target any more.
    """

    DELIVERED = 'delivered'
    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    MOVED = 'moved'
    WITHDRAWN = 'withdrawn'
    CUT_OFF = 'cut_off'


# The router itself ended these, for another reason than the deadline.
ENDED_BY_ROUTER = frozenset(
    (AttemptOutcome.MOVED, AttemptOutcome.WITHDRAWN, AttemptOutcome.CUT_OFF)
)

__all__ = ['AttemptOutcome', 'ENDED_BY_ROUTER']
