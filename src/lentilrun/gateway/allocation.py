"""Settings of the C library's allocator for bodies that come and go."""

from __future__ import annotations

import contextlib
import ctypes

# Numbers of the options of mallopt() in the GNU C library.
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
# Larger blocks are mapped, and so returned to the system once they are free.
_MAPPED_BYTES = 2 * 1024 * 1024
# Of the memory of a process, so much may stay allocated though it is free.
# Otherwise each body of 1 MB costs 0.3 ms for pages that were just returned.
_KEPT_SHARE = 1.0 / 32.0


def tune_allocator(memory_bytes: int) -> None:
    """Keep a small part of the memory that was freed, and map large blocks.

    By default the library stops mapping blocks of a size that was freed
    before. They then leave gaps that stay resident. Other C libraries are
    left as they are.
    """
    with contextlib.suppress(OSError, AttributeError):
        mallopt = ctypes.CDLL(None).mallopt
        mallopt(_TRIM_THRESHOLD, int(memory_bytes * _KEPT_SHARE))
        mallopt(_MMAP_THRESHOLD, _MAPPED_BYTES)


__all__ = ['tune_allocator']
