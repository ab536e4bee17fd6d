"""Numbers in headers."""

from __future__ import annotations

# Longer numbers are not sent, and would not fit into 64 bits.
_MAX_DIGITS = 18


def parse_number(text: str | None) -> int | None:
    """Return a number of up to 18 digits, or nothing if it is malformed."""
    if text is None or len(text) > _MAX_DIGITS:
        return None
    text = text.strip()
    return int(text) if text.isascii() and text.isdecimal() else None


__all__ = ['parse_number']
