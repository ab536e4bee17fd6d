"""The data centres that operators have evacuated, as a VM knows it."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..platform import documents

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from ..coordination.clock import Clock
    from ..platform.rows import Row
    from .logs import Log
    from .targets import Targets


class Evacuation(NamedTuple):
    """An evacuation since ``began_at``, by the clock in seconds.

    ``is_known`` is set once a VM or a target of the data centre is known, or
    the log states that there is none.
    """

    began_at: float
    is_known: bool = False


class Evacuations:
    """Applies the rows that evacuate data centres.

    A row names its data centre by its key, so that one whose body can't be
    decoded is in force too.
    """

    def __init__(self, clock: Clock, targets: Targets, log: Log) -> None:
        self._clock = clock
        self._targets = targets
        self._log = log
        self.by_data_centre: dict[str, Evacuation] = {}
        # Called with a data centre after its evacuation has ended.
        self.on_end: list[Callable[[str], None]] = []

    def apply(self, row: Row) -> None:
        """Apply a row; raises ``BadDocumentError`` if its key names none."""
        data_centre = documents.read_evacuated(row.key)
        if row.is_deleted:
            self._end(data_centre, row)
            return
        try:
            documents.check_evacuation(row.value)
        except documents.BadDocumentError as error:
            self._log.write('row_unreadable', key=row.key, error=error)
        self._begin(data_centre, row)

    def _begin(self, data_centre: str, row: Row) -> None:
        if data_centre in self.by_data_centre:
            return
        self.by_data_centre[data_centre] = Evacuation(self._clock.now())
        self._log.write(
            'evacuation_began',
            data_centre=data_centre,
            targets=self._count_targets(data_centre),
            row_version=row.version,
        )
        self._targets.evacuate(frozenset(self.by_data_centre))

    def _end(self, data_centre: str, row: Row) -> None:
        """End an evacuation, also one of which only the end was read."""
        evacuation = self.by_data_centre.pop(data_centre, None)
        if evacuation is not None:
            seconds = self._clock.now() - evacuation.began_at
            self._log.write(
                'evacuation_ended',
                data_centre=data_centre,
                targets=self._count_targets(data_centre),
                row_version=row.version,
                seconds=round(seconds, 3),
            )
        self._targets.evacuate(frozenset(self.by_data_centre))
        for callback in self.on_end:
            callback(data_centre)

    def _count_targets(self, data_centre: str) -> int:
        states = self._targets.states.values()
        return sum(s.target.data_centre == data_centre for s in states)

    def log_unknown(self, vm_data_centres: Collection[str]) -> None:
        """Log each evacuated data centre without a VM and a target once.

        Call it after VMs and targets have been read.
        """
        for name, evacuation in self.by_data_centre.items():
            if evacuation.is_known:
                continue
            self.by_data_centre[name] = evacuation._replace(is_known=True)
            if name in vm_data_centres or self._count_targets(name):
                continue
            self._log.write('evacuation_of_unknown', data_centre=name)


__all__ = ['Evacuation', 'Evacuations']
