"""Compression of encoded messages, for links whose bytes are charged.

Designed for this load: hubs of many data centres that send each other the
loads of all targets and the prompts of a second, four times a second. Most
of their bytes are names that occur many times.
"""

from __future__ import annotations

import zlib

# The fastest level: a message is compressed once for all its recipients.
_LEVEL = 1
# A message is a datagram, so that this is far more than one that was
# compressed by a VM can hold.
_MAX_BYTES = 1024 * 1024


class BadCompressionError(ValueError):
    """Data that is not compressed, or too large without compression."""


def compress(data: bytes) -> bytes:
    """Return data in fewer bytes."""
    return zlib.compress(data, _LEVEL)


def decompress(data: bytes) -> bytes:
    """Return what was compressed; raises ``BadCompressionError``."""
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, _MAX_BYTES)
    except zlib.error as error:
        raise BadCompressionError(str(error)) from error
    if not decompressor.eof:
        raise BadCompressionError('incomplete, or too large')
    return result


__all__ = ['BadCompressionError', 'compress', 'decompress']
