"""Recording of target state and outcomes from responses."""

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
    """The outcome of an attempt; ``elapsed`` is in seconds."""

    succeeded: bool
    elapsed: float
    output_tokens: int


FAILED_ATTEMPT = AttemptMeasurement(False, 0.0, 0)


class Feedback:
    """Updates placements, target identities and outcomes."""

    def __init__(
        self, pool: TargetPool, placements: PlacementMap, tally_book: TallyBook
    ) -> None:
        self._pool = pool
        self._placements = placements
        self._tally_book = tally_book

    def record_identity(
        self, state: TargetState, headers: HTTPHeaders
    ) -> BlockHolder:
        """Record the incarnation and version in a response's headers.

        Returns them; a missing one is as recorded before.
        """
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
        """Record that a target has a call's prompt in its cache."""
        name = state.target.name
        salt = prefix.make_salt(call.workspace, holder.weights_version)
        chain = prefix.hash_blocks(call.prompt, salt, call.model.block_bytes)
        for block in chain:
            self._placements.add(block, name, holder)

    def record_outcome(
        self,
        call: Call,
        assignment: Assignment,
        version: str,
        measurement: AttemptMeasurement,
    ) -> None:
        """Record an attempt's outcome for the weights version that ran it.

        Versions are compared by the time for each output token, in
        seconds, without the expected prefill time.
        """
        subject = VersionOnRoute(call.model.name, version, call.route.name)
        prefill_time = (
            call.prompt_tokens - assignment.cached_tokens
        ) / call.model.prefill_tokens_per_s
        output_time = max(0.0, measurement.elapsed - prefill_time)
        time_per_token = output_time / max(1, measurement.output_tokens)
        self._tally_book.record_outcome(
            subject, measurement.succeeded, time_per_token
        )
        if measurement.succeeded:
            self._pool.record_service_time(
                call.model.name, measurement.elapsed
            )


__all__ = ['AttemptMeasurement', 'FAILED_ATTEMPT', 'Feedback']
