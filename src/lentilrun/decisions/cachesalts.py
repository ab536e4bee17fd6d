"""Which requests share cached segments of prompts: those with the same salt.

The load: workspaces become isolated and are released again while engines and
stores hold what their requests left. A salt depends on the request and the
newest configuration alone, so that all VMs make the same one, whatever they
saw before. The salt that workspaces share names the set of isolated ones: it
was never used by a workspace that is isolated now, and is another one as soon
as that set changes.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from .facts import Workspace
    from .regions import Restriction

_DIGEST_BYTES = 6


class Isolation(NamedTuple):
    """The names of the workspaces that share no cached segments.

    ``tag`` is a short text that differs between two sets of names, empty if
    there are none.
    """

    workspaces: frozenset[str]
    tag: str


NO_ISOLATION = Isolation(frozenset(), '')


def make_isolation(workspaces: Collection[str]) -> Isolation:
    """Return the isolation of some workspaces by name."""
    names = frozenset(workspaces)
    if not names:
        return NO_ISOLATION
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for name in sorted(names):
        encoded = name.encode(errors='surrogatepass')
        digest.update(b'%d:%b' % (len(encoded), encoded))
    return Isolation(names, digest.hexdigest())


def name_unknown_weights(incarnation: str, started_at_ms: int) -> str:
    """Return the name of the weights that one start of a target has.

    No other target's segments are found under it. A target discards its own
    when it loads other weights.
    """
    start = f'{incarnation}/{started_at_ms}'.encode()
    digest = hashlib.blake2b(start, digest_size=_DIGEST_BYTES)
    return f'of-{digest.hexdigest()}'


def format_salt(
    weights: str,
    workspace: Workspace | None,
    isolation: Isolation,
    restriction: Restriction | None,
) -> str:
    """Return the salt of a request.

    ``weights`` names the weights that the segments are computed with, in
    letters, digits and hyphens. A workspace is isolated if it was as its
    request was admitted, or is now.
    """
    salt = weights
    if restriction is not None:
        salt += f'@{restriction.tag}'
    if workspace is not None and (
        workspace.is_isolated or workspace.name in isolation.workspaces
    ):
        # A name may have any characters, so nothing follows it.
        return f'{salt}/{workspace.name}'
    if isolation.tag:
        salt += f'~{isolation.tag}'
    return salt


__all__ = [
    'format_salt',
    'Isolation',
    'make_isolation',
    'name_unknown_weights',
    'NO_ISOLATION',
]
