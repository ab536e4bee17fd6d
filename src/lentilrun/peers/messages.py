"""Messages about targets, sent between the daemons."""

from __future__ import annotations

from typing import NamedTuple


class Suspicion(NamedTuple):
    """A request was in flight at a target when the target crashed.

    ``incarnation`` is the incarnation of the target that crashed;
    ``in_flight`` is the number of requests known to be in flight then.
    """

    fingerprint: str
    target: str
    incarnation: str
    in_flight: int


class Tally(NamedTuple):
    """Outcomes of one version on one route, counted by one daemon.

    ``epoch`` numbers the periods of ``moves.tallies.EPOCH_S`` seconds.
    ``log_sum`` and ``log_squares`` are sums over the ``successes``
    requests: of the logarithm of the seconds per output token, and of
    that logarithm's square.
    """

    model: str
    version: str
    route: str
    epoch: int
    successes: int
    failures: int
    log_sum: float
    log_squares: float


class Tallies(NamedTuple):
    """The tallies that one daemon counted in recent epochs."""

    tallies: tuple[Tally, ...]


class Placement(NamedTuple):
    """A target's incarnation that is thought to hold ``block``."""

    block: int
    target: str
    incarnation: str
    weights_version: str


class PlacementHints(NamedTuple):
    """Known placements of blocks."""

    placements: tuple[Placement, ...]


class HintsRequest(NamedTuple):
    """A starting daemon requests the placements that a peer knows."""

    max_placements: int


class MoveProgress(NamedTuple):
    """The row of a move as just written by the sender."""

    row: bytes


class Verdict(NamedTuple):
    """A final verdict that a version of a model regressed."""

    model: str
    version: str
    reason: str


__all__ = [
    'HintsRequest',
    'MoveProgress',
    'Placement',
    'PlacementHints',
    'Suspicion',
    'Tallies',
    'Tally',
    'Verdict',
]
