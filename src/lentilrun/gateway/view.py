"""What a VM knows: the newest configuration, weights and targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..platform import documents
from ..platform.documents import BadDocumentError
from ..platform.rollouts import decode_order
from ..platform.rollouts import is_rollout_key
from ..platform.rowversions import find_era
from ..platform.rowversions import split_version
from .announcements import AgeBasis
from .announcements import AnnouncedVersion
from .announcements import AnnouncedWeights
from .announcements import AnnouncementAge
from .evacuations import Evacuations
from .messages import AnnouncementReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..coordination.clock import Clock
    from ..decisions.coldtargets import Coldness
    from ..decisions.facts import Configuration
    from ..decisions.facts import Target
    from ..platform.rollouts import RolloutOrder
    from ..platform.rows import Row
    from .logs import Log
    from .targets import Targets
    from .targetstate import TargetState

# A feed that is read without a break returns a row at most this late. After a
# longer time the age is assumed, and an observed one replaces it.
_MAX_OBSERVED_AGE_S = 1.5


class View:
    """Applies rows of the store, and never returns to an older version."""

    def __init__(
        self, clock: Clock, targets: Targets, unknown_age: float, log: Log
    ) -> None:
        """Count announcements of unknown age as ``unknown_age`` s old."""
        self._clock = clock
        self._log = log
        self._started_at = clock.now()
        self._unknown_age = unknown_age
        self.targets = targets
        targets.on_cold.append(self._log_cold)
        self.evacuations = Evacuations(clock, targets, log)
        self.configuration: Configuration | None = None
        self.announced: dict[str, AnnouncedWeights] = {}
        self._has_operator_rows = False
        # For how long the rows that are applied may have been unread, in s.
        self.operator_rows_unread_for: Callable[[], float] = lambda: 0.0
        self.on_configuration: list[Callable[[Configuration], None]] = []
        self.on_weights: list[Callable[[], None]] = []
        self.on_rollout_order: list[Callable[[RolloutOrder], None]] = []

    def _log_cold(self, state: TargetState, coldness: Coldness) -> None:
        self._log.write(
            'target_cold',
            target=state.target.incarnation,
            seconds=round(coldness.until - self._clock.now(), 3),
            reason=coldness.reason,
        )

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
            elif is_rollout_key(row.key):
                self._apply_rollout_order(row)
            elif documents.is_evacuation_key(row.key):
                self.evacuations.apply(row)
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
        age = self._estimate_age()
        announced = AnnouncedVersion(
            announcement.version,
            self._clock.now() - age.seconds,
            age.basis is not AgeBasis.OBSERVED,
        )
        if weights is None:
            self.announced[announcement.model] = AnnouncedWeights(announced)
        elif not weights.add(announced):
            return
        self._log.write(
            'weights_wanted',
            model=announcement.model,
            version=announcement.version,
            row_version=row.version,
            age=round(age.seconds, 3),
            basis=age.basis,
        )
        self._notify_weights()

    def _estimate_age(self) -> AnnouncementAge:
        """Return the age of a row that is applied now."""
        if not self._has_operator_rows:
            seconds = self._clock.now() - self._started_at + self._unknown_age
            return AnnouncementAge(seconds, AgeBasis.BEFORE_START)
        unread_for = self.operator_rows_unread_for()
        if unread_for <= _MAX_OBSERVED_AGE_S:
            return AnnouncementAge(unread_for, AgeBasis.OBSERVED)
        seconds = min(unread_for, self._unknown_age)
        return AnnouncementAge(seconds, AgeBasis.UNREAD)

    def _notify_weights(self) -> None:
        # A callback may add or remove others.
        for callback in list(self.on_weights):
            callback()

    def _apply_rollout_order(self, row: Row) -> None:
        if row.is_deleted:
            return
        order = decode_order(row.value, row.version)
        for callback in self.on_rollout_order:
            callback(order)

    def export_announcements(
        self, is_assumed: bool
    ) -> list[AnnouncementReport]:
        """Return the age of the newest announcements, for other VMs.

        The ages are those that a VM observed, or those that are assumed.
        """
        now = self._clock.now()
        return [
            AnnouncementReport(m, a.version, round(now - a.announced_at, 3))
            for m, w in self.announced.items()
            for a in w.list_newest(is_assumed)
        ]

    def receive_announcements(
        self,
        observed: list[AnnouncementReport],
        assumed: list[AnnouncementReport],
    ) -> None:
        """Correct the age of announcements that another VM saw earlier.

        A VM may learn of one late: its connection to the store was silent,
        it stood still, or it has just started. It misses a version if the
        next one was announced before it read the row.
        """
        now = self._clock.now()
        corrected = [self._correct(r, now, False) for r in observed]
        corrected += [self._correct(r, now, True) for r in assumed]
        if any(corrected):
            self._notify_weights()

    def _correct(
        self, report: AnnouncementReport, now: float, is_assumed: bool
    ) -> bool:
        weights = self.announced.get(report.model)
        if weights is None:
            return False
        announced_at = now - report.age
        if not weights.correct(
            AnnouncedVersion(report.version, announced_at, is_assumed)
        ):
            return False
        self._log.write(
            'weights_age_corrected',
            model=report.model,
            version=report.version,
            age=report.age,
            assumed=is_assumed,
        )
        return True

    def is_replaced(self, model: str, version: int) -> bool:
        """Return whether a newer weights version was announced."""
        return self._replaced_at(model, version) is not None

    def stale_for(self, model: str, version: int) -> float:
        """Return the time since a weights version was replaced, in s.

        It is 0 for the newest version.
        """
        replaced_at = self._replaced_at(model, version)
        return 0.0 if replaced_at is None else self._clock.now() - replaced_at

    def _replaced_at(self, model: str, version: int) -> float | None:
        weights = self.announced.get(model)
        return None if weights is None else weights.replaced_at(version)

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
        believed_version = row.version
        if state is not None and _may_be_copied(state, row):
            state.copied_version = row.version
            if target.started_at_ms < state.target.started_at_ms:
                # The copy has it from before the target's last start.
                return
            if _leaves_still(state.target, target):
                target = target._replace(is_draining=True)
                believed_version = state.row_version
        is_copy = state is not None and _is_restatement(state, target, row)
        if before is None or _has_changed(before, target):
            self._log.write(
                'target_known',
                target=target.incarnation,
                service=target.service,
                address=str(target.address),
                draining=target.is_draining,
                versions=target.weights_versions,
                software=target.software_version,
                row_version=row.version,
            )
        self.targets.register(target, is_copy)
        self.targets.states[row.key].row_version = believed_version


def _may_be_copied(state: TargetState, row: Row) -> bool:
    """Return whether a row may be an older one than is known, of a copy.

    A restored store has the rows of a copy, with the numbers that they had.
    One with the known number or a larger one was written later, and so was
    one that replaces the row of the copy.
    """
    known = split_version(state.row_version)
    version = split_version(row.version)
    if version.era <= known.era or version.number >= known.number:
        return False
    copied = split_version(state.copied_version)
    return version.era != copied.era or version.number <= copied.number


def _is_restatement(state: TargetState, target: Target, row: Row) -> bool:
    """Return whether a row of a later era states nothing new of a target."""
    return (
        find_era(row.version) > find_era(state.row_version)
        and target.started_at_ms == state.target.started_at_ms
        and target.cold_remaining == state.target.cold_remaining
    )


def _leaves_still(before: Target, copied: Target) -> bool:
    """Return whether a copy shows a target as before it was leaving."""
    return (
        before.is_draining
        and not copied.is_draining
        and before.started_at_ms == copied.started_at_ms
    )


def _has_changed(before: Target, after: Target) -> bool:
    return (
        before.started_at_ms != after.started_at_ms
        or before.is_draining != after.is_draining
    )


__all__ = ['View']
