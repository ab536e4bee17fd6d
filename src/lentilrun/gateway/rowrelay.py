"""Rows that hubs read from the store and hand on to the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..platform.rows import Row
from ..platform.rows import Rows
from .messages import RowNews
from .messages import RowsNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from .follower import Follower
    from .messages import Beat
    from .peers import Peers


class RowRelay:
    """Feeds the followers of a VM that has a hub; feeds others as a hub.

    A VM without a hub that it hears and that reads the store follows it
    itself, and so does one that was told of rows that have not come.
    """

    def __init__(self, peers: Peers, followers: list[Follower]) -> None:
        self._peers = peers
        self._followers = {f.table: f for f in followers}
        peers.is_blind = self.is_blind
        peers.on_beat.append(self._take_beat)
        peers.on_rows.append(self._take_rows)
        for follower in followers:
            follower.is_fed = self._is_fed
            follower.on_rows.append(self._make_passer(follower.table))

    def _is_fed(self) -> bool:
        hub = self._peers.find_hub()
        return hub is not None and not hub.is_blind

    def is_blind(self) -> bool:
        """Return whether the store gives this VM no answers."""
        return any(f.is_lost() for f in self._followers.values())

    def positions(self) -> dict[str, int]:
        """Return the version of the newest row known of, by table.

        A VM that the store leaves without an answer still hands on that
        others have newer rows.
        """
        return {t: f.newest_known() for t, f in self._followers.items()}

    def _make_passer(self, table: str) -> Callable[[int, Rows], None]:
        def pass_on(before: int, found: Rows) -> None:
            rows = [RowNews(*row) for row in found.rows]
            self._peers.pass_on(
                RowsNews(
                    self._peers.own.name, table, before, found.version, rows
                )
            )

        return pass_on

    def _take_beat(self, beat: Beat) -> None:
        for table, version in beat.positions.items():
            follower = self._followers.get(table)
            if follower is not None:
                follower.note_newest(version)

    def _take_rows(self, news: RowsNews) -> None:
        follower = self._followers.get(news.table)
        if follower is None:
            return
        rows = tuple(Row(*row) for row in news.rows)
        follower.take_fed(news.before, Rows(rows, news.version, 0.0))


__all__ = ['RowRelay']
