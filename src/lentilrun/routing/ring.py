"""Consistent hashing of prompt prefixes to targets."""

from __future__ import annotations

import bisect

import xxhash

_POINTS_PER_TARGET = 32
_MAX_SCANNED_POINTS = 256


class HashRing:
    """A hash ring; few keys move when a target is added or removed."""

    def __init__(self, names: tuple[str, ...]) -> None:
        points = [
            (xxhash.xxh3_64_intdigest(f'{name}/{index}'.encode()), name)
            for name in names
            for index in range(_POINTS_PER_TARGET)
        ]
        points.sort()
        self._hashes = [point[0] for point in points]
        self._names = [point[1] for point in points]

    def find_members(
        self, key: int, max_members: int, members: frozenset[str]
    ) -> list[str]:
        """Return up to ``max_members`` members in ring order for a key.

        Takes logarithmic time, as it scans at most
        ``_MAX_SCANNED_POINTS`` points; so it may return fewer if most
        targets of the ring are not in ``members``.
        """
        selected: list[str] = []
        index = bisect.bisect(self._hashes, key)
        for step in range(min(len(self._names), _MAX_SCANNED_POINTS)):
            name = self._names[(index + step) % len(self._names)]
            if name in members and name not in selected:
                selected.append(name)
                if len(selected) >= max_members:
                    break
        return selected


__all__ = ['HashRing']
