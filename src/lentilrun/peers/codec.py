"""Encoding of messages between daemons, with the protocol version."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import msgspec

from ..coordination import heartbeat
from ..coordination import shares
from ..coordination import survey
from ..coordination import topics
from ..errors import LentilrunError
from . import messages

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 32 * 1024 * 1024

_KINDS: dict[str, type] = {
    'beat': heartbeat.Heartbeat,
    'announce': topics.Announce,
    'acknowledge': topics.Acknowledge,
    'withdraw': topics.Withdraw,
    'commit': topics.Commit,
    'committed': topics.Committed,
    'fetch': topics.Fetch,
    'ask': shares.LoanRequest,
    'loan': shares.Loan,
    'question': survey.SurveyQuestion,
    'answer': survey.SurveyAnswer,
    'issue': survey.SurveyGrants,
    'suspicion': messages.Suspicion,
    'tallies': messages.Tallies,
    'placements': messages.PlacementHints,
    'hints_wanted': messages.HintsRequest,
    'verdict': messages.Verdict,
    'progress': messages.MoveProgress,
}
_KIND_NAMES = {message_type: kind for kind, message_type in _KINDS.items()}


class BadMessageError(LentilrunError):
    """A message is malformed, too large or of another protocol version."""


class Sender(NamedTuple):
    """The daemon that sent a message, and its incarnation."""

    name: str
    incarnation: str


class Envelope(NamedTuple):
    """A message with its sender."""

    sender: Sender
    message: Any


class _Frame(NamedTuple):
    protocol: int
    sender: str
    incarnation: str
    kind: str
    payload: msgspec.Raw


_encoder = msgspec.msgpack.Encoder()
_frame_decoder = msgspec.msgpack.Decoder(_Frame)
_decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
    kind: msgspec.msgpack.Decoder(message_type)
    for kind, message_type in _KINDS.items()
}


def encode(sender: Sender, message: NamedTuple) -> bytes:
    """Return a message as bytes."""
    payload = msgspec.Raw(_encoder.encode(message))
    kind = _KIND_NAMES[type(message)]
    frame = _Frame(
        PROTOCOL_VERSION, sender.name, sender.incarnation, kind, payload
    )
    return _encoder.encode(frame)


def decode(data: bytes) -> Envelope:
    """Return the message in ``data``.

    Raises ``BadMessageError`` if it can't be decoded.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise BadMessageError('the message exceeds the size limit')
    try:
        frame = _frame_decoder.decode(data)
        if frame.protocol != PROTOCOL_VERSION:
            raise BadMessageError(
                f'protocol {frame.protocol} is not supported'
            )
        message = _decoders[frame.kind].decode(frame.payload)
    except (msgspec.MsgspecError, KeyError, RecursionError) as error:
        raise BadMessageError(str(error)) from error
    return Envelope(Sender(frame.sender, frame.incarnation), message)


__all__ = [
    'BadMessageError',
    'decode',
    'encode',
    'Envelope',
    'MAX_MESSAGE_BYTES',
    'PROTOCOL_VERSION',
    'Sender',
]
