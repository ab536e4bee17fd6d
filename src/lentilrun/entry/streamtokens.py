"""Signed tokens with which a caller resumes its stream at any VM."""

from __future__ import annotations

import base64
import hashlib
import hmac
from typing import NamedTuple

import msgspec

_SIGNATURE_BYTES = 16


class StreamToken(NamedTuple):
    """What any VM needs to resume a stream.

    ``incarnation`` is that of the target.
    """

    attempt_id: str
    target: str
    incarnation: str
    workspace: str
    route: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StreamToken)


def _sign(secret: bytes, data: bytes) -> bytes:
    return hmac.new(secret, data, hashlib.sha256).digest()[:_SIGNATURE_BYTES]


def seal(secret: bytes, token: StreamToken) -> str:
    """Return a token as URL-safe text with a signature."""
    data = _encoder.encode(token)
    sealed = _sign(secret, data) + data
    return base64.urlsafe_b64encode(sealed).decode().rstrip('=')


def unseal(secret: bytes, text: str) -> StreamToken | None:
    """Return the token in a text, or nothing if it is not authentic."""
    try:
        sealed = base64.urlsafe_b64decode(text + '=' * (-len(text) % 4))
    except ValueError:
        return None
    signature, data = sealed[:_SIGNATURE_BYTES], sealed[_SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(secret, data)):
        return None
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None


__all__ = ['seal', 'StreamToken', 'unseal']
