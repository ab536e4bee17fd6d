"""How an attempt of a call may end."""

from __future__ import annotations

import enum


class AttemptOutcome(enum.StrEnum):
    """How an attempt ended.

    ``NOT_RUN`` means that the target states that it has not run the request,
    and ``FAILED`` that its response is whole and reports a server error.
    ``BROKEN`` covers connections that closed early and unusable responses.
    ``TIMED_OUT`` is an attempt that the router ended at the deadline or
    because the caller stopped waiting, ``MOVED`` one that it ended to
    continue its stream at another target, and ``WITHDRAWN`` one that had
    not begun when its weights became too old.
    """

    DELIVERED = 'delivered'
    NOT_SENT = 'not_sent'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    BROKEN = 'broken'
    TIMED_OUT = 'timed_out'
    MOVED = 'moved'
    WITHDRAWN = 'withdrawn'


# The router itself ended these, for another reason than the deadline.
ENDED_BY_ROUTER = frozenset((AttemptOutcome.MOVED, AttemptOutcome.WITHDRAWN))

__all__ = ['AttemptOutcome', 'ENDED_BY_ROUTER']
