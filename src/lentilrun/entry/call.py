"""One caller's request on its way through a daemon."""

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
    """A request that was identified; times by the clock, in seconds.

    ``workspace`` is ``OPEN_WORKSPACE`` on open routes without a key;
    ``key_digest`` is then empty.
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
        """Return whether a workspace's bucket pays for it."""
        return bool(self.key_digest) and self.charged_tokens > 0.0


def make_fingerprint(workspace: str, path: str, body: bytes) -> str:
    """Return a digest that is the same when a request is sent again."""
    head = f'{workspace}\n{path}\n'.encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


__all__ = ['Call', 'make_fingerprint', 'OPEN_WORKSPACE']
