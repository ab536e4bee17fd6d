"""What the answers of targets teach the daemon."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..moves.tallies import VersionOnRoute
from ..routing.placements import BlockHolder
from ..routing import prefix
from ..targets import requests

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from ..moves.tallies import TallyBook
    from ..routing.placements import PlacementMap
    from ..routing.pool import TargetPool
    from ..routing.pool import TargetState
    from .call import Call
    from .scheduler import Assignment


class AttemptMeasurement(NamedTuple):
    """How an attempt ended; ``elapsed`` is in seconds."""

    succeeded: bool
    elapsed: float
    output_tokens: int


FAILED_ATTEMPT = AttemptMeasurement(False, 0.0, 0)


class Feedback:
    """Keeps caches, versions and outcomes up to date from answers."""

    def __init__(
        self, pool: TargetPool, placements: PlacementMap, book: TallyBook
    ) -> None:
        self._pool = pool
        self._placements = placements
        self._book = book

    def record_identity(
        self, state: TargetState, headers: HTTPHeaders
    ) -> BlockHolder:
        """Take what a target's answer says of the target."""
        name = state.target.name
        incarnation = headers.get(
            requests.INCARNATION_HEADER, state.incarnation
        )
        version = headers.get(requests.VERSION_HEADER, state.weights_version)
        self._pool.record_identity(name, incarnation, version)
        holder = BlockHolder(incarnation, version)
        self._placements.set_current_holder(name, holder)
        return holder

    def record_cached(
        self, call: Call, state: TargetState, holder: BlockHolder
    ) -> None:
        """Note that a target has a call's prompt in its cache now."""
        name = state.target.name
        salt = prefix.make_salt(call.workspace, holder.weights_version)
        chain = prefix.hash_blocks(call.prompt, salt, call.model.block_bytes)
        for block in chain:
            self._placements.add(block, name, holder)

    def record_outcome(
        self,
        call: Call,
        place: Assignment,
        version: str,
        outcome: AttemptMeasurement,
    ) -> None:
        """Note how a version did, its time against the expected."""
        subject = VersionOnRoute(call.model.name, version, call.route.name)
        expected = (
            call.prompt_tokens - place.cached_tokens
        ) / call.model.prefill_tokens_per_s
        rest = max(0.0, outcome.elapsed - expected)
        ratio = rest / max(1, outcome.output_tokens)
        self._book.record_outcome(subject, outcome.succeeded, ratio)
        if outcome.succeeded:
            self._pool.record_service_time(call.model.name, outcome.elapsed)


__all__ = ['AttemptMeasurement', 'FAILED_ATTEMPT', 'Feedback']
