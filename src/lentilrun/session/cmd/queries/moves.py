"""``lentilrun moves``."""

from __future__ import annotations

from typing import Any

from ... import output
from ...connection import DEFAULT_OPERATOR
from .report import report


def _show(body: Any) -> None:
    rows = [('move', 'model', 'version', 'state', 'share', 'why')]
    for move in body:
        state = move['state'] + (' (overdue)' if move['overdue'] else '')
        rows.append(
            (
                move['name'],
                move['model'],
                move['version'],
                state,
                f'{move["share"]:.2f}',
                move['reason'],
            )
        )
    output.show_table(rows)


def moves(*, operator: str = DEFAULT_OPERATOR, json: bool = False) -> int:
    """Show moves: done, under way or taken back, and why.

    Parameters
    ----------
    operator
        A daemon's address for operators.
    json
        Print JSON.
    """
    return report(operator, '/moves', json, _show, list)


__all__ = ['moves']
