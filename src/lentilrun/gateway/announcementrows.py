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
from .fleetrows import decode_row
from .messages import AnnouncementReport

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .logs import Log
    from .peers import Peers
    from .view import View

_KEY_PREFIX = 'announced/'
# Rows of a model that are kept.
_MAX_ROWS = 32
# A VM that becomes the first candidate writes missing rows within this time.
_CHECK_INTERVAL_S = 1.0
# The row must not exist.
_NO_ROW = 0


class _AnnouncementRow(PositionalRecord, frozen=True):
    """An announcement, at a time by the store's clock, in seconds.

    ``is_assumed`` if no VM observed it.
    """

    model: str
    version: int
    announced_at: float
    is_assumed: bool = False


_decoder = msgspec.json.Decoder(_AnnouncementRow)


class _ModelVersion(NamedTuple):
    """A version of a model's weights."""

    model: str
    version: int


class _AnnouncementTime(NamedTuple):
    """When a version was announced, in seconds by the VM's clock."""

    announced_at: float
    is_assumed: bool


def _make_key(version: _ModelVersion) -> str:
    return f'{_KEY_PREFIX}{version.version}/{version.model}'


class AnnouncementRows:
    """Writes when versions were announced, and passes what it reads on.

    Only the first lease candidate writes. A row is written once and not
    corrected, so that no restart makes a version seem newer.
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
        # What was read from the store.
        self._times: dict[_ModelVersion, _AnnouncementTime] = {}
        self._written: set[_ModelVersion] = set()
        self._weights_changed = asyncio.Event()
        view.on_weights.append(self._weights_changed.set)
        view.on_weights.append(self._pass_to_view)
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
        if not self._peers.is_first_candidate():
            return
        for is_assumed in (False, True):
            for report in self._view.export_announcements(is_assumed):
                version = _ModelVersion(report.model, report.version)
                if version not in self._written:
                    await self._write(version, report.age, is_assumed)

    async def _write(
        self, version: _ModelVersion, age: float, is_assumed: bool
    ) -> None:
        """Write that a version was announced ``age`` seconds ago.

        Raises ``PlatformError`` if the store does not answer.
        """
        announced_at = self._store.estimate_clock() - age
        row = _AnnouncementRow(*version, announced_at, is_assumed)
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

    def _list_removals(self, added: _ModelVersion) -> list[Write]:
        """Return the removals of the oldest rows of a model."""
        versions = sorted(v for v in self._written if v.model == added.model)
        removed = versions[: max(0, len(versions) + 1 - _MAX_ROWS)]
        for version in removed:
            self._written.discard(version)
            self._times.pop(version, None)
        return [Write(FLEET_TABLE, _make_key(v), None, None) for v in removed]

    def apply_rows(self, table_rows: Rows) -> None:
        """Take over the announcements among the rows of the fleet."""
        rows = [r for r in table_rows.rows if r.key.startswith(_KEY_PREFIX)]
        for row in rows:
            announcement = decode_row(_decoder, row, self._log)
            if announcement is not None:
                self._record(announcement)
        self._pass_to_view()

    def _record(self, row: _AnnouncementRow) -> None:
        """Record a row, unless its time is after the store's own."""
        age = self._store.latest_clock() - row.announced_at
        if age < 0.0:
            self._log.write(
                'announcement_in_future', model=row.model, version=row.version
            )
            return
        version = _ModelVersion(row.model, row.version)
        self._written.add(version)
        self._times[version] = _AnnouncementTime(
            self._clock.now() - age, row.is_assumed
        )

    def _pass_to_view(self) -> None:
        """Tell the view, which ignores versions that it has no row of yet."""
        self._view.receive_announcements(
            self._list_reports(False), self._list_reports(True)
        )

    def _list_reports(self, is_assumed: bool) -> list[AnnouncementReport]:
        now = self._clock.now()
        return [
            AnnouncementReport(v.model, v.version, now - t.announced_at)
            for v, t in self._times.items()
            if t.is_assumed == is_assumed
        ]


__all__ = ['AnnouncementRows']
