"""What a VM knows: the newest configuration, weights and targets."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..platform import documents
from ..platform.documents import BadDocumentError

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..decisions.facts import Configuration
    from ..decisions.facts import Target
    from ..platform.rows import Row
    from .logs import Log
    from .targets import Targets


# Number of announcements that are kept for a model.
_MAX_ANNOUNCEMENTS = 32
# Assumed age of a version that was announced before this process first read
# the operators' rows.
_PRIOR_VERSION_AGE_S = 5.0


class AnnouncedVersion(NamedTuple):
    """A version that was announced; ``announced_at`` in s by the clock."""

    version: int
    announced_at: float


class AnnouncedWeights:
    """The announced versions of one model's weights, oldest first."""

    def __init__(self, first: AnnouncedVersion) -> None:
        self._announcements = [first]

    @property
    def newest_version(self) -> int:
        """Return the newest version."""
        return self._announcements[-1].version

    def add(self, announcement: AnnouncedVersion) -> bool:
        """Add a version; return whether it is newer than all others."""
        if announcement.version <= self.newest_version:
            return False
        self._announcements.append(announcement)
        del self._announcements[:-_MAX_ANNOUNCEMENTS]
        return True

    def replaced_at(self, version: int) -> float | None:
        """Return when the first newer version was announced, if any was."""
        for announcement in self._announcements:
            if announcement.version > version:
                return announcement.announced_at
        return None


class View:
    """Applies rows of the store, and never returns to an older version."""

    def __init__(self, clock: Clock, targets: Targets, log: Log) -> None:
        self._clock = clock
        self._log = log
        self.targets = targets
        self.configuration: Configuration | None = None
        self.announced: dict[str, AnnouncedWeights] = {}
        self._has_operator_rows = False
        self.on_configuration: list[Callable[[Configuration], None]] = []
        self.on_weights: list[Callable[[], None]] = []

    def mark_operator_rows_read(self) -> None:
        """Record that all rows that operators had written were applied."""
        self._has_operator_rows = True

    def apply_operator_row(self, row: Row) -> None:
        """Apply a row that operators wrote."""
        try:
            if row.key == documents.CONFIGURATION_KEY:
                self._apply_configuration(row)
            elif documents.is_weights_key(row.key):
                self._apply_announcement(row)
        except BadDocumentError as error:
            self._log.write('row_unreadable', key=row.key, error=error)

    def _apply_configuration(self, row: Row) -> None:
        if row.is_deleted:
            return
        configuration = documents.decode_configuration(row.value)
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self._log.write(
            'configuration_in_force',
            version=configuration.version,
            row_version=row.version,
        )
        for callback in self.on_configuration:
            callback(configuration)
        self.targets.notify_changed()

    def _apply_announcement(self, row: Row) -> None:
        if row.is_deleted:
            return
        announcement = documents.decode_announcement(row.value)
        weights = self.announced.get(announcement.model)
        now = self._clock.now()
        if weights is None:
            age = 0.0 if self._has_operator_rows else _PRIOR_VERSION_AGE_S
            first = AnnouncedVersion(announcement.version, now - age)
            self.announced[announcement.model] = AnnouncedWeights(first)
        elif not weights.add(AnnouncedVersion(announcement.version, now)):
            return
        self._log.write(
            'weights_wanted',
            model=announcement.model,
            version=announcement.version,
        )
        for callback in self.on_weights:
            callback()

    def stale_for(self, model: str, version: int) -> float:
        """Return the time since a weights version was replaced, in s.

        It is 0 for the newest version.
        """
        weights = self.announced.get(model)
        replaced_at = (
            weights.replaced_at(version) if weights is not None else None
        )
        return 0.0 if replaced_at is None else self._clock.now() - replaced_at

    def apply_target_row(self, row: Row) -> None:
        """Apply the row where a target registered itself."""
        if row.is_deleted:
            if self.targets.remove(row.key) is not None:
                self._log.write('target_gone', target=row.key)
            return
        try:
            target = documents.decode_target(row.key, row.value)
        except BadDocumentError as error:
            # A row that another writer spoiled names no target to use.
            self._log.write('row_unreadable', key=row.key, error=error)
            self.targets.remove(row.key)
            return
        state = self.targets.states.get(row.key)
        before = state.target if state is not None else None
        if before is None or _has_changed(before, target):
            self._log.write(
                'target_known',
                target=target.incarnation,
                service=target.service,
                address=str(target.address),
                draining=target.is_draining,
                versions=target.weights_versions,
                row_version=row.version,
            )
        self.targets.register(target)


def _has_changed(before: Target, after: Target) -> bool:
    return (
        before.started_at_ms != after.started_at_ms
        or before.is_draining != after.is_draining
    )


__all__ = [
    'AnnouncedVersion',
    'AnnouncedWeights',
    'View',
]
