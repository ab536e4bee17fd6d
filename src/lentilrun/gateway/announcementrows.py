"""Keeps in the store when weights were announced, for VMs that start later.

The row of an announcement doesn't say when it was written. A VM that starts
learns it from the others; after all have restarted, only the store knows.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import ConflictError
from ..errors import PlatformError
from ..platform.rows import Write
from ..records import PositionalRecord
from .discovery import FLEET_TABLE
from .events import wait_for_event
from .messages import AnnouncementReport

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..platform.rows import Row
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log
    from .peers import Peers
    from .view import View

_KEY_PREFIX = 'announced/'
# Rows of a model that are kept.
_MAX_ROWS = 32
# A VM that becomes the first of the fleet writes what lacks within this time.
_CHECK_INTERVAL_S = 1.0
# The row must not exist.
_NO_ROW = 0


class _AnnouncementRow(PositionalRecord, frozen=True):
    """An announcement, at a time by the store's clock, in seconds."""

    model: str
    version: int
    announced_at: float


_decoder = msgspec.json.Decoder(_AnnouncementRow)
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


class _Version(NamedTuple):
    """A version of a model's weights."""

    model: str
    version: int


def _make_key(version: _Version) -> str:
    return f'{_KEY_PREFIX}{version.version}/{version.model}'


class AnnouncementRows:
    """Writes when versions were announced, and tells the view what it reads.

    Only the first of the VMs that are fit for a lease writes. The first row
    of a version is never written again, so that its age only grows.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        peers: Peers,
        view: View,
        log: Log,
    ) -> None:
        self._store = store
        self._clock = clock
        self._peers = peers
        self._view = view
        self._log = log
        # When the versions were announced, by the VM's clock, in seconds.
        self._announced_at: dict[_Version, float] = {}
        self._written: set[_Version] = set()
        self._weights_changed = asyncio.Event()
        view.on_weights.append(self._weights_changed.set)
        view.on_weights.append(self._report)
        # A store that was restored from an older copy may lack rows.
        store.on_restored.append(self._written.clear)

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await wait_for_event(self._weights_changed, _CHECK_INTERVAL_S)
            self._weights_changed.clear()
            try:
                await self._write_missing()
            except PlatformError as error:
                self._log.write('announcement_unwritten', error=error)
                await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _write_missing(self) -> None:
        """Write what is not written; raises ``PlatformError``."""
        if not self._is_writer():
            return
        for report in self._view.export_announcements():
            version = _Version(report.model, report.version)
            if version not in self._written:
                await self._write(version, report.age)

    def _is_writer(self) -> bool:
        candidates = self._peers.list_lease_candidates()
        return candidates[:1] == [self._peers.own_member.name]

    async def _write(self, version: _Version, age: float) -> None:
        """Write that a version was announced ``age`` seconds ago.

        Raises ``PlatformError`` if the store does not answer.
        """
        row = _AnnouncementRow(*version, self._store.estimate_clock() - age)
        value = msgspec.json.encode(row)
        write = Write(FLEET_TABLE, _make_key(version), value, _NO_ROW)
        try:
            await self._store.write([write, *self._list_removals(version)])
        except ConflictError:
            # Another VM wrote it before.
            self._written.add(version)
            return
        self._written.add(version)
        self._log.write(
            'announcement_written',
            model=version.model,
            version=version.version,
            age=age,
        )

    def _list_removals(self, added: _Version) -> list[Write]:
        """Return the removals of the oldest rows of a model."""
        versions = sorted(v for v in self._written if v.model == added.model)
        removed = versions[: max(0, len(versions) + 1 - _MAX_ROWS)]
        self._written.difference_update(removed)
        return [Write(FLEET_TABLE, _make_key(v), None, None) for v in removed]

    def apply(self, table_rows: Rows) -> None:
        """Take over the announcements among the rows of the fleet."""
        now = self._clock.now()
        for row in table_rows.rows:
            if not row.key.startswith(_KEY_PREFIX):
                continue
            announcement = self._decode(row)
            if announcement is None:
                continue
            age = table_rows.store_time - announcement.announced_at
            if age < 0.0:
                self._log.write('announcement_in_future', key=row.key)
                continue
            version = _Version(announcement.model, announcement.version)
            self._written.add(version)
            self._announced_at[version] = now - age
        self._report()

    def _decode(self, row: Row) -> _AnnouncementRow | None:
        try:
            return _decoder.decode(row.value)
        except _DECODE_ERRORS as error:
            self._log.write('row_unreadable', key=row.key, error=error)
            return None

    def _report(self) -> None:
        """Tell the view, which ignores versions that it has no row of yet."""
        now = self._clock.now()
        self._view.receive_announcements(
            [
                AnnouncementReport(v.model, v.version, now - announced_at)
                for v, announced_at in self._announced_at.items()
            ]
        )


__all__ = ['AnnouncementRows']
