"""What the answers of targets teach the daemon."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..moves.tallies import Subject
from ..routing.placements import Holder
from ..routing import prefix
from ..targets import requests

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from ..moves.tallies import TallyBook
    from ..routing.placements import Placements
    from ..routing.pool import Pool
    from ..routing.pool import TargetState
    from .call import Call
    from .scheduler import Place


class Outcome(NamedTuple):
    """How an attempt ended; ``spent`` in seconds, ``output`` in tokens."""

    succeeded: bool
    spent: float
    output: int


FAILED = Outcome(False, 0.0, 0)


class Learning:
    """Keeps caches, versions and outcomes up to date from answers."""

    def __init__(
        self, pool: Pool, placements: Placements, book: TallyBook
    ) -> None:
        self._pool = pool
        self._placements = placements
        self._book = book

    def observe(self, state: TargetState, headers: HTTPHeaders) -> Holder:
        """Take what a target's answer says of the target."""
        name = state.target.name
        incarnation = headers.get(requests.INCARNATION, state.incarnation)
        version = headers.get(requests.VERSION, state.version)
        self._pool.observe(name, incarnation, version)
        holder = Holder(incarnation, version)
        self._placements.set_current(name, holder)
        return holder

    def note_cached(
        self, call: Call, state: TargetState, holder: Holder
    ) -> None:
        """Note that a target has a call's prompt in its cache now."""
        name = state.target.name
        salt = prefix.make_salt(call.workspace, holder.version)
        chain = prefix.chain(call.text, salt, call.model.block_bytes)
        for block in chain:
            self._placements.add(block, name, holder)

    def note_outcome(
        self, call: Call, place: Place, version: str, outcome: Outcome
    ) -> None:
        """Note how a version did, its time against the expected."""
        subject = Subject(call.model.name, version, call.route.name)
        expected = (call.tokens - place.cached) / call.model.prefill
        rest = max(0.0, outcome.spent - expected)
        ratio = rest / max(1, outcome.output)
        self._book.note(subject, outcome.succeeded, ratio)
        if outcome.succeeded:
            self._pool.note_service(call.model.name, outcome.spent)


__all__ = ['FAILED', 'Learning', 'Outcome']
