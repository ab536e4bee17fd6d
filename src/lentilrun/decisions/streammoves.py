"""Whether a running stream continues at another engine.

Designed for this load: new weights are announced every few seconds while
some streams run for many seconds. An engine loads the weights only after its
longest stream, and serves nobody until then. A stream that may be resumed
continues at an engine that has loaded the weights already, so that only
short streams hold up the load.
"""

from __future__ import annotations

from typing import NamedTuple

# A stream that ends within this time after its engine was taken out of
# service is not moved.
_GRACE_S = 0.25
# The streams of an engine are moved one after another for this long, so that
# those at the next engine do not pause while it prefills their prompts.
_SPREAD_S = 0.5
# Moves use at most this share of the retry budget. The rest is kept for
# streams that break off.
MAX_BUDGET_SHARE = 0.85
# A move needs at least this much time until the caller's deadline.
_MIN_TIME_LEFT_S = 0.5


class RunningStream(NamedTuple):
    """A stream at an engine that is out of service.

    ``possible_runs`` counts the targets that may have run the request,
    including this engine. ``time_left`` until the deadline is in seconds.
    """

    is_resumable: bool
    possible_runs: int
    max_attempts: int
    time_left: float
    weights_version: int


def may_move(stream: RunningStream, newest_usable_version: int) -> bool:
    """Return whether a stream should continue at another engine.

    ``newest_usable_version`` is the newest weights version of the engines in
    service. Without newer weights there, the stream would have to move again.
    """
    return (
        stream.is_resumable
        and stream.possible_runs < stream.max_attempts
        and stream.time_left > _MIN_TIME_LEFT_S
        and newest_usable_version > stream.weights_version
    )


def compute_move_delay(fraction: float) -> float:
    """Return the time until a stream moves, in seconds.

    ``fraction`` is a random number between 0 and 1.
    """
    return _GRACE_S + fraction * _SPREAD_S


__all__ = [
    'compute_move_delay',
    'MAX_BUDGET_SHARE',
    'may_move',
    'RunningStream',
]
