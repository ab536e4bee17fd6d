"""Configuration by operators: workspaces, keys, routes, targets, moves."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .ini import Address


class TargetKind(enum.StrEnum):
    """Whether a target is a model engine or a plain service."""

    MODEL = 'model'
    SERVICE = 'service'


class Workspace(NamedTuple):
    """A customer's workspace; rate in tokens a second, burst in tokens."""

    name: str
    rate: float
    burst: float
    weight: float


class Key(NamedTuple):
    """A caller's key; only its SHA-256 digest is stored."""

    name: str
    workspace: str
    digest: str


class Model(NamedTuple):
    """A model or plain service, with the properties that routing uses.

    ``block_bytes`` is the size of a cache block in bytes of prompt,
    ``slots`` the number of requests that a target runs concurrently.
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
    """A path, the model or service that serves it, and request options.

    ``timeout`` is in seconds, ``max_output`` in tokens. ``cost`` is in
    tokens and applies to requests that state no lengths.
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
    """A change of a model's version.

    ``deadline`` is in seconds since 1970. ``share``, from 0 to 1, is the
    share of the traffic that the new version gets at first.
    """

    name: str
    model: str
    version: str
    deadline: float
    share: float


class Policy(NamedTuple):
    """Weights of the terms of the routing cost; the terms are in seconds."""

    wait_weight: float
    recompute_weight: float


class Configuration(NamedTuple):
    """A complete, validated configuration; ``keys`` are by digest."""

    workspaces: dict[str, Workspace]
    keys: dict[str, Key]
    models: dict[str, Model]
    targets: dict[str, Target]
    routes: tuple[Route, ...]
    moves: dict[str, Move]
    policy: Policy

    def find_routes(self, path: str) -> list[Route]:
        """Return the routes of that path, else of its longest prefix."""
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
