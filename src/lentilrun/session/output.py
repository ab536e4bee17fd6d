"""Output of the command line."""

from __future__ import annotations

import sys
from typing import Any
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence


def show_json(body: Any) -> None:
    """Print a body as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(body), indent=2)
    sys.stdout.write(text.decode() + '\n')


def show_table(rows: Sequence[tuple[str, ...]]) -> None:
    """Print rows in aligned columns; the first row has the headings."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        cells = [c.ljust(w) for c, w in zip(row, widths, strict=True)]
        sys.stdout.write('  '.join(cells).rstrip() + '\n')


def show_error(body: Any) -> None:
    """Print an error and its findings to standard error."""
    error = body.get('error', {})
    for finding in body.get('findings', []):
        place = finding['place']
        position = f'{place["file"]}:{place["line"]}'
        setting = f'[{place["section"]}] {place["key"]}'.strip()
        text = f'{finding["code"]}: {finding["message"]}'
        sys.stderr.write(f'{position}: {setting}: {text}\n')
    sys.stderr.write(f'{error.get("code")}: {error.get("message")}\n')


def show_failure(message: str) -> None:
    """Print a line to standard error."""
    sys.stderr.write(message + '\n')


__all__ = ['show_error', 'show_failure', 'show_json', 'show_table']
