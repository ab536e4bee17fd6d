"""Whether a share of bad responses is higher than another, by samples.

Designed for this load: a new version that answers a few dozen requests
beside an old one that answers thousands, where a single failure must not
decide.
"""

from __future__ import annotations

import math

# The one that failures are judged by.
USUAL_Z_SCORE = 2.58
_MIN_HITS = 3
# Stands for earlier good responses of the old version, so that shares can
# be compared even if it has no traffic of its own.
_PRIOR_GOOD = 30


def _compute_wilson_bound(hits: int, total: int, z_score: float) -> float:
    """Return a Wilson score bound on a share of hits.

    It is the lower bound if ``z_score`` is negative, else the upper one.
    """
    if not total:
        return 0.0 if z_score < 0 else 1.0
    share = hits / total
    z_squared = z_score * z_score
    centre = share + z_squared / (2 * total)
    spread = share * (1 - share) / total
    spread += z_squared / (4 * total * total)
    bound = centre + z_score * math.sqrt(spread)
    return bound / (1 + z_squared / total)


def is_share_higher(
    new_hits: int,
    new_total: int,
    old_hits: int,
    old_total: int,
    z_score: float = USUAL_Z_SCORE,
) -> bool:
    """Return whether the new version's share of hits is surely higher.

    How sure follows from ``z_score``.
    """
    if new_hits < _MIN_HITS:
        return False
    new_lower_bound = _compute_wilson_bound(new_hits, new_total, -z_score)
    old_upper_bound = _compute_wilson_bound(
        old_hits, old_total + _PRIOR_GOOD, z_score
    )
    return new_lower_bound > old_upper_bound


__all__ = ['is_share_higher', 'USUAL_Z_SCORE']
