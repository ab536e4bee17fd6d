"""Consistent hashing of prefixes to targets, in logarithmic time."""

from __future__ import annotations

import bisect

import xxhash

_POINTS = 32


class Ring:
    """Targets on a ring; few keys move when a target comes or goes."""

    def __init__(self, names: tuple[str, ...]) -> None:
        points = [
            (xxhash.xxh3_64_intdigest(f'{name}/{index}'.encode()), name)
            for name in names
            for index in range(_POINTS)
        ]
        points.sort()
        self._hashes = [p[0] for p in points]
        self._names = [p[1] for p in points]
        self._count = len(names)

    def find(self, key: int, most: int) -> list[str]:
        """Return up to ``most`` different targets in order for a key."""
        found: list[str] = []
        if not self._hashes:
            return found
        wanted = min(most, self._count)
        index = bisect.bisect(self._hashes, key)
        for step in range(len(self._hashes)):
            name = self._names[(index + step) % len(self._names)]
            if name not in found:
                found.append(name)
            if len(found) >= wanted:
                break
        return found


__all__ = ['Ring']
