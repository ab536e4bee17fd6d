"""Relaying of store rows from the hubs that read them to the other VMs."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from ..decisions.staleness import limit_reads
from ..platform.rows import Row
from ..platform.rows import Rows
from .messages import encode_progress
from .messages import RelayedRow
from .messages import RelayedRows
from .messages import RowRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..decisions.staleness import ReadLimits
    from .follower import Follower
    from .messages import GossipMessage
    from .peers import Peers

# Below the size of a datagram, which holds names and versions besides.
_MAX_VALUE_BYTES = 48_000
_ROW_OVERHEAD_BYTES = 40


class RowRelay:
    """Gets the rows that others read; as a hub, passes rows on.

    The readers of the fleet follow the store and send what they read to
    all hubs. The preferred hub of each data centre sends it to the VMs
    that are no hubs. A VM that knows of newer rows than it has asks for
    them. It reads the store itself if what it knows becomes too old, as
    nobody that it hears from has read the store lately, or if it gets no
    rows when it asks. A hub also does so while no responsive VM has rows.

    Changes must be in force within ``change_limit`` seconds.
    """

    def __init__(
        self, peers: Peers, followers: list[Follower], change_limit: float
    ) -> None:
        self._peers = peers
        self._change_limit = change_limit
        self._followers = {f.table: f for f in followers}
        # The VMs that state which changes they know, by their last message.
        self._stating: set[str] = set()
        # By table, the VM that reported the newest change.
        self._reporters: dict[str, str] = {}
        peers.has_lost_store = self.has_lost_store
        peers.on_message.append(self._record_progress)
        peers.on_restart.append(self._stating.discard)
        peers.on_relayed_rows.append(self._apply_rows)
        peers.on_row_request.append(self._respond)
        for follower in followers:
            follower.is_relayed = self._is_relayed
            follower.is_hub = peers.is_hub
            follower.read_limits = self._limit_reads
            follower.request_rows = self._request
            follower.on_rows.append(self._relay)

    def _list_sources(self) -> list[str]:
        """Return the responsive VMs that have rows for this one."""
        peers = self._peers
        if not peers.is_hub():
            hub = peers.find_hub()
            if hub is None or hub.has_lost_rows:
                return []
            return [hub.member.name]
        readers = peers.list_readers()
        if peers.own_member.name in readers:
            return []
        responsive = peers.list_responsive()
        return [
            n
            for n in readers
            if n in responsive and not peers.by_name[n].has_lost_store
        ]

    def _is_relayed(self) -> bool:
        return bool(self._list_sources())

    def _limit_reads(self) -> ReadLimits:
        return limit_reads(self._change_limit, self._peers.is_hub())

    def has_lost_store(self) -> bool:
        """Return whether the last store call of any table failed."""
        return any(f.has_lost_store() for f in self._followers.values())

    def has_lost_rows(self) -> bool:
        """Return whether neither the store nor another VM has rows."""
        return any(f.has_lost_rows() for f in self._followers.values())

    def export_progress(self) -> dict[str, int]:
        """Return which changes this VM knows, as a message has it."""
        versions: dict[str, int] = {}
        for table, follower in self._followers.items():
            versions.update(encode_progress(table, follower.progress()))
        return versions

    def _relay(
        self, table: str, previous_version: int, changes: Rows, is_read: bool
    ) -> None:
        """Pass rows on that were read from the store, or relayed."""
        peers = self._peers
        recipients = set(peers.list_spokes())
        if is_read and peers.own_member.name in peers.list_readers():
            recipients.update(n for h in peers.hubs().values() for n in h)
        recipients.discard(peers.own_member.name)
        if recipients:
            unread_for = self._followers[table].unread_for
            self._send(
                recipients, table, previous_version, changes, unread_for
            )

    def _send(
        self,
        recipients: set[str],
        table: str,
        previous_version: int,
        changes: Rows,
        unread_for: float,
    ) -> None:
        """Send rows in messages that each fit a datagram.

        They may have been written ``unread_for`` seconds ago.
        Changes of one version that do not fit one end the series: the others
        learn from gossip that there are newer ones, and read them from the
        store.
        """
        own = self._peers.own_member.name
        follower = self._followers[table]
        for part in _split(changes):
            if (
                part.store_version < changes.store_version
                and not follower.is_divisible(previous_version)
            ):
                return
            relayed = [RelayedRow(*row) for row in part.rows]
            message = RelayedRows(
                own,
                table,
                previous_version,
                part.store_version,
                relayed,
                unread_for,
            )
            self._peers.send(recipients, message)
            previous_version = part.store_version

    def _request(self, table: str, after: int) -> None:
        """Ask those that relay rows, and the one with the newest change."""
        recipients = set(self._list_sources())
        if table in self._reporters:
            recipients.add(self._reporters[table])
        own = self._peers.own_member.name
        self._peers.send(recipients, RowRequest(own, table, after))

    def _respond(self, request: RowRequest) -> None:
        """Send the rows that another VM asks for, if this one has them."""
        follower = self._followers.get(request.table)
        if follower is None:
            return
        changes = follower.list_changes(request.after)
        if changes is None:
            return
        # This VM may have got them long before they are requested.
        self._send(
            {request.node},
            request.table,
            request.after,
            changes,
            follower.find_age(changes.rows),
        )

    def _record_progress(self, message: GossipMessage) -> None:
        for table, follower in self._followers.items():
            progress = message.find_progress(table)
            if progress is None:
                self._stating.discard(message.node)
                follower.record_reported_version(
                    message.row_versions.get(table, 0)
                )
                continue
            self._stating.add(message.node)
            if progress.changed_version > follower.progress().changed_version:
                self._reporters[table] = message.node
            follower.record_progress(progress)

    def _apply_rows(self, relayed: RelayedRows) -> None:
        follower = self._followers.get(relayed.table)
        if follower is None:
            return
        rows = tuple(
            Row(r.key, r.value, r.row_version, r.is_deleted)
            for r in relayed.rows
        )
        follower.apply_relayed(
            relayed.previous_version,
            Rows(rows, relayed.store_version, 0.0),
            relayed.unread_for,
            relayed.node in self._stating,
        )


def _split(changes: Rows) -> Iterator[Rows]:
    """Yield changes by datagram; all of one version are in the same one."""
    rows: list[Row] = []
    size = 0
    for version, group in itertools.groupby(
        changes.rows, key=lambda r: r.version
    ):
        changed = list(group)
        group_size = sum(_measure(r) for r in changed)
        if rows and size + group_size > _MAX_VALUE_BYTES:
            yield Rows(tuple(rows), version - 1, changes.store_time)
            rows, size = [], 0
        if group_size > _MAX_VALUE_BYTES:
            return
        rows += changed
        size += group_size
    yield changes._replace(rows=tuple(rows))


def _measure(row: Row) -> int:
    """Return the size of a row in a message, in bytes."""
    return len(row.key) + len(row.value) + _ROW_OVERHEAD_BYTES


__all__ = ['RowRelay']
