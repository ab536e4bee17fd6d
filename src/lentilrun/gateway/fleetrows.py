"""Reads the rows in which VMs keep what others, or later ones, need."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

if TYPE_CHECKING:
    from ..platform.rows import Row
    from .logs import Log

RecordT = TypeVar('RecordT')
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


def decode_row(
    decoder: msgspec.json.Decoder[RecordT], row: Row, log: Log
) -> RecordT | None:
    """Return the record in a row, or nothing if it is unreadable.

    That is logged: another build, or a fault, may have written the row.
    """
    try:
        return decoder.decode(row.value)
    except _DECODE_ERRORS as error:
        log.write('row_unreadable', key=row.key, error=error)
        return None


__all__ = ['decode_row']
