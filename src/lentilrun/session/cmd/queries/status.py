"""``lentilrun status``."""

from __future__ import annotations

import sys
from typing import Any

from ... import output
from ...connection import DEFAULT_OPERATOR
from .report import report


def _show(body: Any) -> None:
    where = 'everywhere' if body['in_force_everywhere'] else 'not everywhere'
    sys.stdout.write(
        f'{body["vm"]}: generation {body["generation"]} in force {where}; '
        f'fresh: {body["fresh"]}; platform: {body["table"]}\n'
    )
    rows: list[tuple[str, ...]]
    rows = [('vm', 'data centre', 'generation', 'silent s')]
    for member in body['members']:
        rows.append(
            (
                member['name'],
                member['data_centre'],
                str(member['generation']),
                f'{member["silent"]:.2f}',
            )
        )
    output.show_table(rows)
    rows = [('target', 'model', 'version', 'usable', 'load')]
    for target in body['targets']:
        rows.append(
            (
                target['name'],
                target['model'],
                target['version'],
                'yes' if target['usable'] else 'no',
                str(target['load']),
            )
        )
    output.show_table(rows)


def status(*, operator: str = DEFAULT_OPERATOR, json: bool = False) -> int:
    """Show where the configuration is in force, and the targets.

    Parameters
    ----------
    operator
        A daemon's address for operators.
    json
        Print JSON.
    """
    return report(operator, '/status', json, _show)


__all__ = ['status']
