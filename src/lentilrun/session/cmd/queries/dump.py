"""``lentilrun dump``."""

from __future__ import annotations

from ... import output
from ...connection import DEFAULT_OPERATOR
from .report import report


def dump(*, operator: str = DEFAULT_OPERATOR, json: bool = True) -> int:
    """Show the whole state of one process, without secrets.

    Parameters
    ----------
    operator
        The daemon's address for operators.
    json
        A dump is always JSON.
    """
    return report(operator, '/dump', json, output.show_json)


__all__ = ['dump']
