"""Messages about targets, sent between the daemons."""

from __future__ import annotations

from typing import NamedTuple


class Suspicion(NamedTuple):
    """A request was running at a target when it crashed.

    ``incarnation`` is the target's incarnation that ended; ``in_flight`` the
    number of requests known to have run there at that moment.
    """

    fingerprint: str
    target: str
    incarnation: str
    in_flight: int


class Tally(NamedTuple):
    """Outcomes of one version on one route, counted by one daemon.

    ``log_sum`` and ``log_squares`` sum the logarithm of the time over
    the expected time, and its square, over the ``successes`` requests.
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
    """The tallies of one daemon since it began, by what they count."""

    tallies: tuple[Tally, ...]


class Placement(NamedTuple):
    """A target holds the block ``block`` in incarnation ``incarnation``."""

    block: int
    target: str
    incarnation: str
    weights_version: str


class PlacementHints(NamedTuple):
    """Known placements of blocks."""

    placements: tuple[Placement, ...]


class HintsRequest(NamedTuple):
    """A starting daemon asks for what others know."""

    max_placements: int


class MoveProgress(NamedTuple):
    """A row of a move as it was just written."""

    row: bytes


class Verdict(NamedTuple):
    """A version of a model was found bad and is final."""

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
