"""Software versions whose targets start before the order that names them."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..coordination.clock import Clock
    from .targetstate import TargetState

# A version that appears beside another one gets no requests for this time:
# the order that names it may arrive after its targets.
_UNNAMED_S = 1.0


class UnnamedVersions:
    """When this VM first saw each version of a service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._first_seen: dict[tuple[str, str], float] = {}

    def exclude(
        self, service: str, states: list[TargetState], named: str | None
    ) -> list[TargetState]:
        """Return the targets without those of new versions but ``named``.

        Return all of them if there are no others.
        """
        versions = {s.target.software_version for s in states}
        now = self._clock.now()
        for version in versions:
            self._first_seen.setdefault((service, version), now)
        if len(versions) < 2:
            return states
        unnamed = {
            v
            for v in versions
            if v != named and now - self._first_seen[service, v] < _UNNAMED_S
        }
        if unnamed == versions:
            return states
        return [s for s in states if s.target.software_version not in unnamed]

    @contextlib.contextmanager
    def preview(self) -> Iterator[None]:
        """Forget the versions that are first seen meanwhile."""
        first_seen = self._first_seen.copy()
        try:
            yield
        finally:
            self._first_seen = first_seen


__all__ = ['UnnamedVersions']
