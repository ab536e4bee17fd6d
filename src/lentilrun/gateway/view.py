"""What a VM believes: the newest configuration, weights and targets."""

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


# Versions of a model's weights whose naming is remembered.
_REMEMBERED = 32
# How long ago a version was named that a process finds when it starts.
_FOUND_AGE_S = 5.0


class AnnouncedVersion(NamedTuple):
    """A version that was announced; ``announced_at`` in s by the clock."""

    version: int
    announced_at: float


class AnnouncedWeights:
    """The versions of one model's weights, as they were named."""

    def __init__(self, first: AnnouncedVersion) -> None:
        self._namings = [first]

    @property
    def newest_version(self) -> int:
        """Return the newest version."""
        return self._namings[-1].version

    def add(self, naming: AnnouncedVersion) -> bool:
        """Take a version; return whether it is newer than all others."""
        if naming.version <= self.newest_version:
            return False
        self._namings.append(naming)
        del self._namings[:-_REMEMBERED]
        return True

    def replaced_at(self, version: int) -> float | None:
        """Return when a newer version was named first, if it was."""
        for naming in self._namings:
            if naming.version > version:
                return naming.announced_at
        return None


class View:
    """Takes rows as they come, and never goes back."""

    def __init__(self, clock: Clock, targets: Targets, log: Log) -> None:
        self._clock = clock
        self._log = log
        self.targets = targets
        self.configuration: Configuration | None = None
        self.announced: dict[str, AnnouncedWeights] = {}
        self.on_configuration: list[Callable[[Configuration], None]] = []
        self.on_weights: list[Callable[[], None]] = []

    def apply_operator_row(self, row: Row) -> None:
        """Take a row that operators wrote."""
        try:
            if row.key == documents.CONFIGURATION_KEY:
                self._configure(row)
            elif documents.is_weights_key(row.key):
                self._want(row)
        except BadDocumentError as error:
            self._log.write('row_unreadable', key=row.key, error=error)

    def _configure(self, row: Row) -> None:
        if row.is_deleted:
            return
        found = documents.decode_configuration(row.value)
        current = self.configuration
        if current is not None and found.version <= current.version:
            return
        self.configuration = found
        self._log.write(
            'configuration_in_force',
            version=found.version,
            row_version=row.version,
        )
        for call in self.on_configuration:
            call(found)
        self.targets.notify_changed()

    def _want(self, row: Row) -> None:
        if row.is_deleted:
            return
        found = documents.decode_announcement(row.value)
        known = self.announced.get(found.model)
        now = self._clock.now()
        if known is None:
            first = AnnouncedVersion(found.version, now - _FOUND_AGE_S)
            self.announced[found.model] = AnnouncedWeights(first)
        elif not known.add(AnnouncedVersion(found.version, now)):
            return
        self._log.write(
            'weights_wanted', model=found.model, version=found.version
        )
        for call in self.on_weights:
            call()

    def stale_for(self, model: str, version: int) -> float:
        """Return the time since a version was replaced, in seconds.

        It is 0 for the newest.
        """
        wanted = self.announced.get(model)
        at = wanted.replaced_at(version) if wanted is not None else None
        return 0.0 if at is None else self._clock.now() - at

    def apply_target_row(self, row: Row) -> None:
        """Take a row that a target wrote of itself."""
        if row.is_deleted:
            if self.targets.remove(row.key) is not None:
                self._log.write('target_gone', target=row.key)
            return
        try:
            target = documents.decode_target(row.key, row.value)
        except BadDocumentError as error:
            self._log.write('row_unreadable', key=row.key, error=error)
            return
        known = self.targets.states.get(row.key)
        before = known.target if known is not None else None
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


def _has_changed(before: Target, now: Target) -> bool:
    return (
        before.started_at_ms != now.started_at_ms
        or before.is_draining != now.is_draining
    )


__all__ = [
    'AnnouncedVersion',
    'AnnouncedWeights',
    'View',
]
