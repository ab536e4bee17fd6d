"""Keeps in the store which requests crash targets, for VMs that start later.

VMs tell each other of crashes; after all have restarted, only the store knows
of them. See ``docs/design/kept-crashes.md``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..decisions.quarantine import CrashHistory
from ..decisions.quarantine import Suspect
from ..decisions.quarantine import SuspectKind
from ..records import PositionalRecord
from .fleetrows import decode_row
from .recent import Origin
from .rowsaver import RowSaver

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..platform.rows import Row
    from ..platform.rows import Rows
    from ..platform.rows import RowStore
    from .crashes import CrashTracker
    from .logs import Log
    from .peers import Peers

_KEY_PREFIX = 'crashes/'
# One crash breaks off many requests, few of which are at a second one.
_MIN_SAVED_CRASHES = 2


class _CrashRow(PositionalRecord, frozen=True):
    """The starts of targets that crashed under a request.

    The last one crashed at ``crashed_at`` by the store's clock, in seconds.
    """

    target_starts: list[str]
    crashed_at: float


_decoder = msgspec.json.Decoder(_CrashRow)


class CrashRows:
    """Writes a row for each request that crashed targets, and reads them.

    Only whole requests are kept. A segment of prompts that was convicted
    wrongly would be refused to all callers that share it.
    """

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        peers: Peers,
        crashes: CrashTracker,
        log: Log,
    ) -> None:
        self._store = store
        self._clock = clock
        self._crashes = crashes
        self._log = log
        self._saver = RowSaver(store, clock, peers, self._make_value, log)
        # Requests of which there may be a row.
        self._saved: set[Suspect] = set()
        crashes.on_change.append(self._save)
        store.on_restored.append(self._save_all)

    async def run(self) -> None:
        """Write until cancelled."""
        await self._saver.run()

    def _save(self, suspect: Suspect, origin: Origin) -> None:
        """Request a write if a request's row is missing or out of date."""
        if suspect.kind is not SuspectKind.REQUEST:
            return
        if self._find_saved(suspect) is not None:
            self._saved.add(suspect)
        elif suspect in self._saved:
            self._saved.discard(suspect)
        else:
            return
        self._saver.request(_KEY_PREFIX + suspect.identity, origin)

    def _save_all(self) -> None:
        """Request a write of all rows, which a restored store may lack."""
        for suspect in list(self._saved):
            self._save(suspect, Origin.REMOTE)

    def _find_saved(self, suspect: Suspect) -> CrashHistory | None:
        """Return the crashes under a request, if they are to be saved."""
        history = self._crashes.find_history(suspect)
        if history is None or len(history.target_starts) < _MIN_SAVED_CRASHES:
            return None
        return history

    def _make_value(self, key: str) -> bytes | None:
        history = self._find_saved(_name_suspect(key))
        if history is None:
            return None
        age = self._clock.now() - history.crashed_at
        crashed_at = self._store.estimate_clock() - age
        return msgspec.json.encode(
            _CrashRow(list(history.target_starts), crashed_at)
        )

    def apply_rows(self, table_rows: Rows) -> None:
        """Take over the crashes among the rows of the fleet."""
        for row in table_rows.rows:
            if row.key.startswith(_KEY_PREFIX):
                self._apply(row)
        self._forget_expired()

    def _forget_expired(self) -> None:
        """Forget the requests whose rows another VM has removed."""
        self._saved = {s for s in self._saved if self._find_saved(s)}

    def _apply(self, row: Row) -> None:
        suspect = _name_suspect(row.key)
        history = self._decode(row)
        if history is not None:
            self._crashes.restore(suspect, history)
        self._saved.add(suspect)
        if self._find_saved(suspect) is None:
            # It is unreadable, has expired, or was cleared before.
            self._save(suspect, Origin.REMOTE)

    def _decode(self, row: Row) -> CrashHistory | None:
        crash_row = decode_row(_decoder, row, self._log)
        if crash_row is None:
            return None
        age = self._store.latest_clock() - crash_row.crashed_at
        if not age >= 0.0:
            self._log.write('crash_in_future', key=row.key, age=age)
            return None
        return CrashHistory(
            tuple(crash_row.target_starts), self._clock.now() - age
        )


def _name_suspect(key: str) -> Suspect:
    return Suspect(SuspectKind.REQUEST, key.removeprefix(_KEY_PREFIX))


__all__ = ['CrashRows']
