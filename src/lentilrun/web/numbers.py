"""Numbers in headers."""

from __future__ import annotations

import re

# Longer numbers are not sent, and would not fit into 64 bits.
_MAX_DIGITS = 18
MAX_NUMBER = 10**_MAX_DIGITS - 1
_DECIMAL = re.compile(r'[0-9]{1,18}(\.[0-9]{0,18})?|\.[0-9]{1,18}')


def parse_number(text: str | None) -> int | None:
    """Return a number of up to 18 digits, or nothing if it is malformed."""
    if text is None or len(text) > _MAX_DIGITS:
        return None
    text = text.strip()
    return int(text) if text.isascii() and text.isdecimal() else None


def parse_decimal(text: str | None) -> float | None:
    """Return a decimal number without a sign, or nothing if malformed."""
    if text is None or _DECIMAL.fullmatch(text.strip(' ')) is None:
        return None
    return float(text)


__all__ = ['MAX_NUMBER', 'parse_decimal', 'parse_number']
