"""Prompts as chains of block hashes, one per level of the prefix."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypedDict

import msgspec
import xxhash


class _Message(TypedDict, total=False):
    role: str
    content: object


class _Body(TypedDict, total=False):
    model: str
    prompt: object
    messages: list[_Message]
    stream: bool | None
    max_tokens: int | None
    max_completion_tokens: int | None


class ModelRequest(NamedTuple):
    """What the router reads of a model request."""

    model: str
    prompt: bytes
    streams: bool
    max_output_tokens: int | None


_decoder = msgspec.json.Decoder(_Body)


def _join(body: _Body) -> bytes:
    messages = body.get('messages')
    if not messages:
        return str(body.get('prompt', '')).encode()
    parts = [f'{m.get("role")}\n{m.get("content")}\n' for m in messages]
    return ''.join(parts).encode()


def parse_request(body: bytes) -> ModelRequest:
    """Read a model request; raises ``ValueError`` if it is malformed."""
    try:
        found = _decoder.decode(body)
        text = _join(found)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error
    limit = found.get('max_completion_tokens') or found.get('max_tokens')
    if limit is not None and limit < 0:
        raise ValueError('max_tokens is negative')
    streams = bool(found.get('stream'))
    return ModelRequest(found.get('model', ''), text, streams, limit)


def make_salt(workspace: str, version: str) -> str:
    """Return the salt that parts caches of workspaces and versions."""
    return f'{workspace}/{version}'


def hash_blocks(text: bytes, salt: str, block_bytes: int) -> tuple[int, ...]:
    """Return a 64-bit hash per whole block, each covering all before."""
    hashes = []
    seed = xxhash.xxh3_64_intdigest(salt.encode())
    for end in range(block_bytes, len(text) + 1, block_bytes):
        block = text[end - block_bytes : end]
        seed = xxhash.xxh3_64_intdigest(block, seed)
        hashes.append(seed)
    return tuple(hashes)


__all__ = ['hash_blocks', 'make_salt', 'ModelRequest', 'parse_request']
