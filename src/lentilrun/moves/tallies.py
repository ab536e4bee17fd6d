"""Outcomes by version and route, in short epochs, over the fleet."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..peers.messages import Tallies
from ..peers.messages import Tally

if TYPE_CHECKING:
    from collections.abc import Callable

EPOCH_S = 5.0
MAX_EPOCHS = 12
_SMALLEST_RATIO = 1e-6


class VersionOnRoute(NamedTuple):
    """What is judged: a version of a model on one route."""

    model: str
    version: str
    route: str


class TallySums(NamedTuple):
    """Sums over epochs and daemons; logarithms as in ``Tally``."""

    successes: int = 0
    failures: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    def add_tally(self, tally: Tally) -> TallySums:
        """Return the sums with a tally added."""
        return self.add(
            TallySums(
                tally.successes,
                tally.failures,
                tally.log_sum,
                tally.log_squares,
            )
        )

    def add(self, other: TallySums) -> TallySums:
        """Return the sums with others added."""
        return TallySums(
            self.successes + other.successes,
            self.failures + other.failures,
            self.log_sum + other.log_sum,
            self.log_squares + other.log_squares,
        )

    def count_requests(self) -> int:
        """Return the number of requests."""
        return self.successes + self.failures


@dataclasses.dataclass
class _Counts:
    done: int = 0
    failed: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0


class TallyBook:
    """This daemon's tallies and the newest of every peer."""

    def __init__(self, read_time: Callable[[], float]) -> None:
        """Number epochs by ``read_time``, in seconds since 1970."""
        self._read_time = read_time
        self._own: dict[tuple[VersionOnRoute, int], _Counts] = (
            collections.defaultdict(_Counts)
        )
        self._peers: dict[str, Tallies] = {}

    def current_epoch(self) -> int:
        """Return the number of the present epoch."""
        return int(self._read_time() / EPOCH_S)

    def record_outcome(
        self, subject: VersionOnRoute, succeeded: bool, ratio: float = 1.0
    ) -> None:
        """Note an outcome; ``ratio`` is its time over the expected."""
        counts = self._own[subject, self.current_epoch()]
        if not succeeded:
            counts.failed += 1
            return
        logarithm = math.log(max(ratio, _SMALLEST_RATIO))
        counts.done += 1
        counts.log_sum += logarithm
        counts.log_squares += logarithm * logarithm

    def _drop_old(self) -> None:
        oldest = self.current_epoch() - MAX_EPOCHS
        for key in [k for k in self._own if k[1] < oldest]:
            del self._own[key]

    def export(self) -> Tallies:
        """Return this daemon's tallies."""
        self._drop_old()
        return Tallies(
            tuple(
                Tally(
                    *subject,
                    epoch,
                    counts.done,
                    counts.failed,
                    counts.log_sum,
                    counts.log_squares,
                )
                for (subject, epoch), counts in self._own.items()
            )
        )

    def receive(self, peer: str, tallies: Tallies) -> None:
        """Take the newest tallies of a peer in place of its last ones."""
        self._peers[peer] = tallies

    def remove_peer(self, peer: str) -> None:
        """Drop the tallies of a peer."""
        self._peers.pop(peer, None)

    def sum_by_version(self, epochs: int) -> dict[VersionOnRoute, TallySums]:
        """Return sums by subject over the last ``epochs``."""
        oldest = self.current_epoch() - epochs
        found: dict[VersionOnRoute, TallySums] = {}
        books = [self.export(), *self._peers.values()]
        for book in books:
            for tally in book.tallies:
                if tally.epoch <= oldest:
                    continue
                subject = VersionOnRoute(
                    tally.model, tally.version, tally.route
                )
                sums = found.get(subject, TallySums())
                found[subject] = sums.add_tally(tally)
        return found


__all__ = ['EPOCH_S', 'MAX_EPOCHS', 'TallyBook', 'TallySums', 'VersionOnRoute']
