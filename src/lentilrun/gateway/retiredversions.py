"""The software versions of services that get no requests any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .rolloutstate import Stage

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from .rolloutstate import Rollout
    from .targets import Targets
    from .targetstate import TargetState


class RetiredVersions:
    """The versions that were rolled back or replaced, by service."""

    def __init__(self, targets: Targets) -> None:
        self._targets = targets
        self.by_service: dict[str, set[str]] = {}

    def add(self, service: str, versions: Iterable[str]) -> None:
        """Send no requests to some versions of a service any more."""
        self.by_service.setdefault(service, set()).update(versions)

    def discard(self, service: str, version: str) -> None:
        """Let a version that operators ordered have requests again."""
        self.by_service.get(service, set()).discard(version)

    def apply_stage(self, rollout: Rollout) -> None:
        """Retire the versions that the stage of a roll-out retires."""
        self.by_service[rollout.order.service] = set(
            self.list_from_stage(rollout, rollout.stage)
        )

    def list_from_stage(self, rollout: Rollout, stage: Stage) -> list[str]:
        """Return the versions that get no requests from a stage on."""
        service = rollout.order.service
        retired = set(self.by_service.get(service, ()))
        if stage in (Stage.BANNED, Stage.ROLLED_BACK):
            retired.add(rollout.version)
        elif stage is Stage.COMPLETED:
            states = self._targets.list_of_service(service)
            retired.update(s.target.software_version for s in states)
            retired.discard(rollout.version)
        return sorted(retired)

    def exclude(
        self, service: str, states: Sequence[TargetState]
    ) -> list[TargetState] | None:
        """Return the targets without those of retired versions.

        Return nothing if all targets of the service have retired versions:
        operators went back to one.
        """
        retired = self.by_service.get(service, ())
        if retired and all(
            s.target.software_version in retired
            for s in self._targets.list_of_service(service)
        ):
            return None
        return [s for s in states if s.target.software_version not in retired]


__all__ = ['RetiredVersions']
