"""The place of a call among those that wait for targets with rate limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import collections
    from types import TracebackType


class TurnPlace:
    """A context manager that gives a place back which the call has taken."""

    def __init__(
        self, waiting: collections.Counter[str], service: str
    ) -> None:
        """Take a place among the calls that are ``waiting`` by service."""
        self._waiting = waiting
        self._service = service
        self.number: int | None = None

    def __enter__(self) -> TurnPlace:
        return self

    def take(self) -> int:
        """Take a place behind the waiting calls; return their number."""
        self.number = self._waiting[self._service]
        self._waiting[self._service] += 1
        return self.number

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.number is not None:
            self._waiting[self._service] -= 1


__all__ = ['TurnPlace']
