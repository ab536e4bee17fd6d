"""The dependencies of dispatching a call."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..coordination.clock import Clock
    from ..metrics.registry import Metrics
    from ..platform.node import Bounds
    from ..web.client import Client
    from .crashes import CrashTracker
    from .helpers import Helpers
    from .logs import Log
    from .peers import Peers
    from .ratelimits import RateLimits
    from .reachability import Reachability
    from .responseends import ResponseEnds
    from .rollouts import Rollouts
    from .storedsegments import StoredSegments
    from .targets import Targets
    from .versionreader import VersionReader
    from .view import View


class DispatchContext(NamedTuple):
    """The components that a call's dispatch uses."""

    clock: Clock
    bounds: Bounds
    client: Client
    peer_client: Client
    view: View
    targets: Targets
    reachability: Reachability
    helpers: Helpers
    rate_limits: RateLimits
    peers: Peers
    crashes: CrashTracker
    rollouts: Rollouts
    stored_segments: StoredSegments
    version_reader: VersionReader
    response_ends: ResponseEnds
    metrics: Metrics
    log: Log


__all__ = ['DispatchContext']
