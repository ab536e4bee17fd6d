"""What operators declare: workspaces, keys, routes, targets, moves."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .ini import Address


class TargetKind(enum.StrEnum):
    """What a target is."""

    MODEL = 'model'
    SERVICE = 'service'


class Workspace(NamedTuple):
    """A customer's workspace; rate in tokens a second, burst in tokens."""

    name: str
    rate: float
    burst: float
    weight: float


class Key(NamedTuple):
    """A caller's key, known by its SHA-256 digest only."""

    name: str
    workspace: str
    digest: str


class Model(NamedTuple):
    """A model or plain service and the traits that routing needs.

    ``block_bytes`` is the size of one cached piece in bytes of prompt,
    ``slots`` the requests that one target runs at once.
    """

    name: str
    kind: TargetKind
    version: str
    block_bytes: int
    bytes_per_token: float
    prefill_tokens_per_s: float
    slots: int


class Target(NamedTuple):
    """A back end: a model engine or an instance of a plain service."""

    name: str
    model: str
    address: Address
    events: Address | None
    version: str
    fencing: bool


class Route(NamedTuple):
    """What a path leads to, and how its requests are treated.

    ``timeout`` is in seconds, ``cost`` in tokens for a request that
    names no lengths, ``max_output`` in tokens.
    """

    name: str
    path: str
    model: str
    is_open: bool
    workspaces: tuple[str, ...]
    idempotent: bool
    timeout: float
    urgency: int
    cost: float
    max_output: int


class Move(NamedTuple):
    """A move of a model to a version; ``deadline`` in seconds since 1970."""

    name: str
    model: str
    version: str
    deadline: float
    share: float


class Policy(NamedTuple):
    """Weights of the routing cost; each multiplies seconds."""

    wait_weight: float
    recompute_weight: float


class Configuration(NamedTuple):
    """A whole, checked configuration."""

    workspaces: dict[str, Workspace]
    keys: dict[str, Key]
    models: dict[str, Model]
    targets: dict[str, Target]
    routes: tuple[Route, ...]
    moves: dict[str, Move]
    policy: Policy

    def find_routes(self, path: str) -> list[Route]:
        """Return the routes of the longest path that matches."""
        exact = [r for r in self.routes if r.path == path]
        if exact:
            return exact
        matching = [
            r
            for r in self.routes
            if r.path.endswith('*') and path.startswith(r.path[:-1])
        ]
        longest = max((len(r.path) for r in matching), default=0)
        return [r for r in matching if len(r.path) == longest]


EMPTY = Configuration({}, {}, {}, {}, (), {}, Policy(1.0, 1.0))

__all__ = [
    'Configuration',
    'EMPTY',
    'Key',
    'Model',
    'Move',
    'Policy',
    'Route',
    'Target',
    'TargetKind',
    'Workspace',
]
