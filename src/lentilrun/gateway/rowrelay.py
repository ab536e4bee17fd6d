"""Relaying of store rows from hubs to the other VMs."""

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
    """Applies rows that a hub relays; as a hub, relays rows that it reads.

    A VM reads the store itself while it has no responsive hub that can,
    or if reported rows have not arrived.
    """

    def __init__(self, peers: Peers, followers: list[Follower]) -> None:
        self._peers = peers
        self._followers = {f.table: f for f in followers}
        peers.has_lost_store = self.has_lost_store
        peers.on_message.append(self._record_versions)
        peers.on_relayed_rows.append(self._apply_rows)
        for follower in followers:
            follower.is_relayed = self._is_relayed
            follower.on_rows.append(self._make_relay_callback(follower))

    def _is_relayed(self) -> bool:
        hub = self._peers.find_hub()
        return hub is not None and not hub.has_lost_store

    def has_lost_store(self) -> bool:
        """Return whether the last store call of any table failed."""
        return any(f.has_lost_store() for f in self._followers.values())

    def newest_row_versions(self) -> dict[str, int]:
        """Return the version of the newest row known of, by table.

        Rows that only other VMs have count too, so that a VM that the store
        does not answer still reports that there are newer rows.
        """
        return {
            t: f.newest_known_row_version() for t, f in self._followers.items()
        }

    def _make_relay_callback(
        self, follower: Follower
    ) -> Callable[[int, Rows], None]:
        def relay(previous_version: int, changes: Rows) -> None:
            rows = [RelayedRow(*row) for row in changes.rows]
            self._peers.relay_rows(
                RelayedRows(
                    self._peers.own_member.name,
                    follower.table,
                    previous_version,
                    changes.store_version,
                    rows,
                    follower.unread_for,
                )
            )

        return relay

    def _record_versions(self, message: GossipMessage) -> None:
        for table, version in message.row_versions.items():
            follower = self._followers.get(table)
            if follower is not None:
                follower.record_newest_row_version(version)

    def _apply_rows(self, relayed: RelayedRows) -> None:
        follower = self._followers.get(relayed.table)
        if follower is None:
            return
        rows = tuple(Row(*row) for row in relayed.rows)
        follower.apply_relayed(
            relayed.previous_version,
            Rows(rows, relayed.store_version, 0.0),
            relayed.unread_for,
        )


__all__ = ['RowRelay']
