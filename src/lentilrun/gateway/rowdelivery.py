"""Passes rows to a handler, some later than they were read."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..platform.rowversions import find_era

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..platform.rows import Row

# Rows that expired during an outage of the store, as their writers could
# not renew them, are written again within this time after it.
_EXPIRY_GRACE_S = 2.2
# A row of a copy that this VM knew as deleted is believed after this time:
# until then the store has removed it again if its writer is gone.
_REVIVAL_GRACE_S = 6.0


class _DelayedDeletion(NamedTuple):
    """A deletion, and the end of the outage that it may be due to.

    ``returned_at`` is a time in seconds, or nothing until the outage ends.
    """

    row: Row
    returned_at: float | None


class RowDelivery:
    """Passes the rows of a table to a handler.

    Deletions during an outage and within ``_EXPIRY_GRACE_S`` seconds after it
    are delayed until then: the writers of these rows could not reach the
    store either. A later outage does not begin this time anew, as outages
    may follow on each other without end, and slow calls look like one;
    nothing is passed on while it lasts. Deletions are also delayed after the
    store was restored from an older copy, as lost rows are written again.
    Rows that were known as deleted before are passed on after
    ``_REVIVAL_GRACE_S`` seconds, or once they are written again, unless
    ``revives_at_once`` is true of the key. ``is_outage``
    returns whether the store seems to be away.
    """

    def __init__(
        self,
        handle_row: Callable[[Row], None],
        clock: Clock,
        is_outage: Callable[[], bool],
        revives_at_once: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._handle_row = handle_row
        self._clock = clock
        self._is_outage = is_outage
        self._revives_at_once = revives_at_once
        self._delayed_deletions: dict[str, _DelayedDeletion] = {}
        # Rows of a copy that were deleted before, and when they are believed.
        self._revived: dict[str, tuple[float, Row]] = {}
        self._returned_at = float('-inf')

    def record_return(self) -> None:
        """Record that an outage has ended, or that the store was restored."""
        self._returned_at = self._clock.now()
        for key, deletion in self._delayed_deletions.items():
            if deletion.returned_at is None:
                self._delayed_deletions[key] = deletion._replace(
                    returned_at=self._returned_at
                )

    def has_delayed_deletions(self) -> bool:
        """Return whether deletions wait for the end of an outage."""
        return bool(self._delayed_deletions)

    def deliver(self, row: Row, known: Row | None) -> None:
        """Pass a row on that is newer than the one known of its key."""
        self._revived.pop(row.key, None)
        # A later row of the key takes the place of a delayed deletion.
        is_delayed = self._delayed_deletions.pop(row.key, None) is not None
        if not row.is_deleted:
            self._deliver_present(row, known, is_delayed)
        elif self._is_outage():
            self._delayed_deletions[row.key] = _DelayedDeletion(row, None)
        elif self._is_soon_after(self._returned_at):
            self._delayed_deletions[row.key] = _DelayedDeletion(
                row, self._returned_at
            )
        else:
            self._handle_row(row)

    def _deliver_present(
        self, row: Row, known: Row | None, is_delayed: bool
    ) -> None:
        """Pass a row on, unless its key was deleted in an earlier era.

        A deletion that ``is_delayed`` has not been passed on.
        """
        if (
            known is not None
            and known.is_deleted
            and not is_delayed
            and find_era(row.version) > find_era(known.version)
            and not self._revives_at_once(row.key)
        ):
            believed_at = self._clock.now() + _REVIVAL_GRACE_S
            self._revived[row.key] = (believed_at, row)
            return
        self._handle_row(row)

    def deliver_due(self) -> None:
        """Pass on the rows whose delay has passed."""
        if self._delayed_deletions and not self._is_outage():
            self._deliver_deletions()
        now = self._clock.now()
        for key, (believed_at, row) in list(self._revived.items()):
            if believed_at <= now:
                del self._revived[key]
                self._handle_row(row)

    def _deliver_deletions(self) -> None:
        for key, deletion in list(self._delayed_deletions.items()):
            returned_at = deletion.returned_at
            if returned_at is None:
                # What seemed to be an outage has ended without a return.
                returned_at = self._returned_at
            if not self._is_soon_after(returned_at):
                del self._delayed_deletions[key]
                self._handle_row(deletion.row)

    def _is_soon_after(self, returned_at: float) -> bool:
        """Return whether rows may still be written again after a return."""
        return self._clock.now() - returned_at < _EXPIRY_GRACE_S


__all__ = ['RowDelivery']
