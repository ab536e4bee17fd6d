"""The operators' orders of roll-outs, and the status written for them."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from .documents import BadDocumentError
from .rowversions import find_era

STATUS_TABLE = 'status'
_PREFIX = 'rollout/'


class RolloutState(enum.StrEnum):
    """The state of a roll-out, as operators read it."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    def is_final(self) -> bool:
        """Return whether the state never changes again."""
        return self is not RolloutState.RUNNING


class RolloutOrder(NamedTuple):
    """An order to move a service to a software version.

    ``version`` is as operators wrote it; ``duration`` in seconds.
    ``row_version`` identifies the order.
    """

    service: str
    version: int | str
    duration: float
    row_version: int

    def version_name(self) -> str:
        """Return the version as targets have it."""
        return str(self.version)

    def is_repeated(self, before: RolloutOrder) -> bool:
        """Return whether operators wrote an earlier order again.

        They do when the store was restored from a copy without it.
        """
        is_later = find_era(self.row_version) > find_era(before.row_version)
        return is_later and self == before._replace(
            row_version=self.row_version
        )


class _WireOrder(msgspec.Struct, rename='kebab'):
    service: str
    to: int | str
    duration_s: float


_decoder = msgspec.json.Decoder(_WireOrder)


def is_rollout_key(key: str) -> bool:
    """Return whether an operators' row with this key orders a roll-out."""
    return key.startswith(_PREFIX)


def make_status_key(service: str) -> str:
    """Return the key of the status of a service's roll-out."""
    return _PREFIX + service


def decode_order(value: bytes, row_version: int) -> RolloutOrder:
    """Decode an order; raises ``BadDocumentError``."""
    try:
        order = _decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise BadDocumentError(
            f'malformed order of a roll-out: {error}'
        ) from error
    return RolloutOrder(order.service, order.to, order.duration_s, row_version)


def encode_status(state: RolloutState, version: int | str) -> bytes:
    """Return the status for operators."""
    return msgspec.json.encode({'state': str(state), 'to': version})


__all__ = [
    'decode_order',
    'encode_status',
    'is_rollout_key',
    'make_status_key',
    'RolloutOrder',
    'RolloutState',
    'STATUS_TABLE',
]
