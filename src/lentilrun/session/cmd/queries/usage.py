"""``lentilrun usage``."""

from __future__ import annotations

from typing import Any

from ... import output
from ...connection import DEFAULT_OPERATOR
from .report import report


def _show(body: Any) -> None:
    rows = [('workspace', 'requests', 'prompt', 'cached', 'output', 'refused')]
    for name, total in sorted(body['totals'].items()):
        refused = sum(total['refusals'].values())
        rows.append(
            (
                name,
                str(total['requests']),
                str(total['prompt']),
                str(total['cached']),
                str(total['output']),
                str(refused),
            )
        )
    output.show_table(rows)


def usage(*, operator: str = DEFAULT_OPERATOR, json: bool = False) -> int:
    """Show the usage of each workspace, summed over all VMs.

    Parameters
    ----------
    operator
        A daemon's address for operators.
    json
        Print JSON, with the numbered records and the time that may be missing.
    """
    return report(operator, '/usage', json, _show)


__all__ = ['usage']
