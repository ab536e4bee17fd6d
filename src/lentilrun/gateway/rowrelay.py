"""Rows that hubs read from the store and hand on to the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..platform.rows import Row
from ..platform.rows import Rows
from .messages import RelayedRow
from .messages import RelayedRows

if TYPE_CHECKING:
    from collections.abc import Callable

    from .follower import Follower
    from .messages import GossipMessage
    from .peers import Peers


class RowRelay:
    """Feeds the followers of a VM that has a hub; feeds others as a hub.

    A VM without a hub that it hears and that reads the store follows it
    itself, and so does one that was told of rows that have not come.
    """

    def __init__(self, peers: Peers, followers: list[Follower]) -> None:
        self._peers = peers
        self._followers = {f.table: f for f in followers}
        peers.has_lost_store = self.has_lost_store
        peers.on_message.append(self._take_beat)
        peers.on_relayed_rows.append(self._take_rows)
        for follower in followers:
            follower.is_relayed = self._is_fed
            follower.on_rows.append(self._make_passer(follower.table))

    def _is_fed(self) -> bool:
        hub = self._peers.find_hub()
        return hub is not None and not hub.has_lost_store

    def has_lost_store(self) -> bool:
        """Return whether the store gives this VM no answers."""
        return any(f.has_lost_store() for f in self._followers.values())

    def newest_row_versions(self) -> dict[str, int]:
        """Return the version of the newest row known of, by table.

        A VM that the store leaves without an answer still hands on that
        others have newer rows.
        """
        return {
            t: f.newest_known_row_version() for t, f in self._followers.items()
        }

    def _make_passer(self, table: str) -> Callable[[int, Rows], None]:
        def pass_on(before: int, found: Rows) -> None:
            rows = [RelayedRow(*row) for row in found.rows]
            self._peers.relay_rows(
                RelayedRows(
                    self._peers.own_member.name,
                    table,
                    before,
                    found.store_version,
                    rows,
                )
            )

        return pass_on

    def _take_beat(self, beat: GossipMessage) -> None:
        for table, version in beat.row_versions.items():
            follower = self._followers.get(table)
            if follower is not None:
                follower.record_newest_row_version(version)

    def _take_rows(self, news: RelayedRows) -> None:
        follower = self._followers.get(news.table)
        if follower is None:
            return
        rows = tuple(Row(*row) for row in news.rows)
        follower.apply_relayed(
            news.previous_version, Rows(rows, news.store_version, 0.0)
        )


__all__ = ['RowRelay']
