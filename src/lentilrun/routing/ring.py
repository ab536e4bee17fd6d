"""Consistent hashing of prefixes to targets, in logarithmic time."""

from __future__ import annotations

import bisect

import xxhash

_POINTS = 32
_STRETCH = 256


class HashRing:
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

    def find_members(
        self, key: int, most: int, members: frozenset[str]
    ) -> list[str]:
        """Return up to ``most`` different members in order for a key.

        Looks at a bounded stretch of the ring, so that it may find fewer
        if most targets are no members.
        """
        found: list[str] = []
        index = bisect.bisect(self._hashes, key)
        for step in range(min(len(self._names), _STRETCH)):
            name = self._names[(index + step) % len(self._names)]
            if name in members and name not in found:
                found.append(name)
                if len(found) >= most:
                    break
        return found


__all__ = ['HashRing']
