"""Which data centres' targets may get requests."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class Places(NamedTuple):
    """Data centres by name; the targets of the others may get requests.

    Those in ``evacuated`` are excluded. If ``allowed`` is set, so are all
    that it does not name.
    """

    evacuated: frozenset[str] = frozenset()
    allowed: frozenset[str] | None = None

    def includes(self, data_centre: str) -> bool:
        """Return whether targets of a data centre may get requests."""
        if data_centre in self.evacuated:
            return False
        return self.allowed is None or data_centre in self.allowed

    def is_everywhere(self) -> bool:
        """Return whether no data centre is excluded."""
        return not self.evacuated and self.allowed is None

    def has_any(self, data_centres: Iterable[str]) -> bool:
        """Return whether targets in these data centres leave one to use.

        If no data centre is excluded, a target may still register.
        """
        return self.is_everywhere() or any(map(self.includes, data_centres))


EVERYWHERE = Places()

__all__ = ['EVERYWHERE', 'Places']
