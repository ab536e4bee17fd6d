"""Parsing of model requests, and hashing of prompts block by block."""

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
    """The fields of a model request that the router uses.

    ``prompt`` holds all messages if there are any.
    """

    model: str
    prompt: bytes
    streams: bool
    max_output_tokens: int | None


_decoder = msgspec.json.Decoder(_Body)


def _join_prompt(body: _Body) -> bytes:
    messages = body.get('messages')
    if not messages:
        return str(body.get('prompt', '')).encode()
    lines = [f'{m.get("role")}\n{m.get("content")}\n' for m in messages]
    return ''.join(lines).encode()


def parse_request(body: bytes) -> ModelRequest:
    """Parse a model request; raises ``ValueError`` if it is malformed."""
    try:
        fields = _decoder.decode(body)
        prompt = _join_prompt(fields)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from error
    limit = fields.get('max_completion_tokens') or fields.get('max_tokens')
    if limit is not None and limit < 0:
        raise ValueError('max_tokens is negative')
    streams = bool(fields.get('stream'))
    return ModelRequest(fields.get('model', ''), prompt, streams, limit)


def make_salt(workspace: str, version: str) -> str:
    """Return the salt that separates cached blocks.

    Workspaces share no blocks, and neither do weights versions.
    """
    return f'{workspace}/{version}'


def hash_blocks(text: bytes, salt: str, block_bytes: int) -> tuple[int, ...]:
    """Return a 64-bit hash for each whole block of a prompt.

    A hash also covers all blocks before its own. An incomplete last
    block has none.
    """
    hashes = []
    seed = xxhash.xxh3_64_intdigest(salt.encode())
    for end in range(block_bytes, len(text) + 1, block_bytes):
        block = text[end - block_bytes : end]
        seed = xxhash.xxh3_64_intdigest(block, seed)
        hashes.append(seed)
    return tuple(hashes)


__all__ = ['hash_blocks', 'make_salt', 'ModelRequest', 'parse_request']
