"""A caller's request on its way through the router."""

from __future__ import annotations

import hashlib
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config.configuration import Model
    from ..config.configuration import Route
    from ..targets.requests import OutgoingRequest

OPEN_WORKSPACE = 'open'


class Call(NamedTuple):
    """A request with its route, workspace and estimated tokens.

    ``arrived_at`` and ``deadline`` are times of the clock, in seconds.
    ``workspace`` is ``OPEN_WORKSPACE`` on open routes without a valid
    key; ``key_digest`` is then empty. ``fingerprint`` is the same for all
    repeats of a request.
    """

    identifier: str
    route: Route
    model: Model
    workspace: str
    key_digest: str
    outgoing: OutgoingRequest
    prompt: bytes
    prompt_tokens: int
    max_output_tokens: int
    streams: bool
    charged_tokens: float
    arrived_at: float
    deadline: float
    idempotency_key: str
    fingerprint: str

    def is_charged(self) -> bool:
        """Return whether its tokens are charged to a workspace."""
        return bool(self.key_digest) and self.charged_tokens > 0.0


def make_fingerprint(workspace: str, path: str, body: bytes) -> str:
    """Return a digest that is the same for all repeats of a request."""
    prefix = f'{workspace}\n{path}\n'.encode()
    return hashlib.blake2b(prefix + body, digest_size=16).hexdigest()


__all__ = ['Call', 'make_fingerprint', 'OPEN_WORKSPACE']
