"""``lentilrun digest``."""

from __future__ import annotations

import sys

from ....entry.credentials import digest_key
from ...exits import Exit


def digest() -> int:
    """Print the digest to declare for the key read from standard input."""
    sys.stdout.write(digest_key(sys.stdin.read().strip()) + '\n')
    return Exit.DONE


__all__ = ['digest']
