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


class Wanted(NamedTuple):
    """A version of weights; ``since`` by the clock, in seconds."""

    version: int
    since: float


class View:
    """Takes rows as they come, and never goes back."""

    def __init__(self, clock: Clock, targets: Targets, log: Log) -> None:
        self._clock = clock
        self._log = log
        self.targets = targets
        self.configuration: Configuration | None = None
        self.wanted: dict[str, Wanted] = {}
        self.on_configuration: list[Callable[[Configuration], None]] = []
        self.on_weights: list[Callable[[], None]] = []

    def take_operator_row(self, row: Row) -> None:
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
        self.targets.changed()

    def _want(self, row: Row) -> None:
        if row.is_deleted:
            return
        found = documents.decode_weights(row.value)
        known = self.wanted.get(found.model)
        if known is not None and found.version <= known.version:
            return
        self.wanted[found.model] = Wanted(found.version, self._clock.now())
        self._log.write(
            'weights_wanted', model=found.model, version=found.version
        )
        for call in self.on_weights:
            call()

    def take_target_row(self, row: Row) -> None:
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
                versions=target.versions,
                row_version=row.version,
            )
        self.targets.put(target)


def _has_changed(before: Target, now: Target) -> bool:
    return before.born != now.born or before.is_draining != now.is_draining


__all__ = ['View', 'Wanted']
