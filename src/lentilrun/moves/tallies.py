"""Counts of outcomes by version and route, in epochs of ``EPOCH_S``."""

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
_MIN_TIME_PER_TOKEN_S = 1e-6


class VersionOnRoute(NamedTuple):
    """The subject of a verdict: a version of a model on one route."""

    model: str
    version: str
    route: str


class TallySums(NamedTuple):
    """Sums over epochs and daemons.

    ``log_sum`` and ``log_squares`` are sums over the ``successes``
    requests: of the logarithm of the seconds for each output token, and
    of that logarithm's square.
    """

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
class _OutcomeCounts:
    successes: int = 0
    failures: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0


class TallyBook:
    """This daemon's tallies and the newest ones of every peer."""

    def __init__(self, read_time: Callable[[], float]) -> None:
        """Compute epochs from ``read_time``, in seconds since 1970."""
        self._read_time = read_time
        self._own: dict[tuple[VersionOnRoute, int], _OutcomeCounts] = (
            collections.defaultdict(_OutcomeCounts)
        )
        self._peers: dict[str, Tallies] = {}

    def current_epoch(self) -> int:
        """Return the number of the current epoch."""
        return int(self._read_time() / EPOCH_S)

    def record_outcome(
        self,
        subject: VersionOnRoute,
        succeeded: bool,
        time_per_token: float = 1.0,
    ) -> None:
        """Record an outcome; ``time_per_token`` is in seconds."""
        counts = self._own[subject, self.current_epoch()]
        if not succeeded:
            counts.failures += 1
            return
        logarithm = math.log(max(time_per_token, _MIN_TIME_PER_TOKEN_S))
        counts.successes += 1
        counts.log_sum += logarithm
        counts.log_squares += logarithm * logarithm

    def _discard_expired(self) -> None:
        oldest = self.current_epoch() - MAX_EPOCHS
        for key in [k for k in self._own if k[1] < oldest]:
            del self._own[key]

    def export(self) -> Tallies:
        """Return this daemon's tallies of recent epochs."""
        self._discard_expired()
        return Tallies(
            tuple(
                Tally(
                    *subject,
                    epoch,
                    counts.successes,
                    counts.failures,
                    counts.log_sum,
                    counts.log_squares,
                )
                for (subject, epoch), counts in self._own.items()
            )
        )

    def receive(self, peer: str, tallies: Tallies) -> None:
        """Replace the tallies of a peer by its newest ones."""
        self._peers[peer] = tallies

    def remove_peer(self, peer: str) -> None:
        """Remove the tallies of a peer."""
        self._peers.pop(peer, None)

    def sum_by_version(self, epochs: int) -> dict[VersionOnRoute, TallySums]:
        """Return sums by version and route over the last ``epochs``."""
        oldest = self.current_epoch() - epochs
        totals: dict[VersionOnRoute, TallySums] = {}
        books = [self.export(), *self._peers.values()]
        for book in books:
            for tally in book.tallies:
                if tally.epoch <= oldest:
                    continue
                subject = VersionOnRoute(
                    tally.model, tally.version, tally.route
                )
                sums = totals.get(subject, TallySums())
                totals[subject] = sums.add_tally(tally)
        return totals


__all__ = ['EPOCH_S', 'MAX_EPOCHS', 'TallyBook', 'TallySums', 'VersionOnRoute']
