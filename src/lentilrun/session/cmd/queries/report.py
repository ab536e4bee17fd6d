"""Common code of queries: fetch a report, print JSON or a table."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from ... import connection
from ... import output
from ...exits import Exit

if TYPE_CHECKING:
    from collections.abc import Callable


def report(
    operator: str,
    path: str,
    as_json: bool,
    show: Callable[[Any], None],
    kind: type = dict,
) -> int:
    """Fetch a report of a kind and print it; return the exit code."""
    try:
        response = connection.query(operator, path, kind)
    except connection.UnreachableError as error:
        output.show_failure(f'unreachable: {error}')
        return Exit.UNREACHABLE
    if response.exit_code is not Exit.DONE:
        output.show_error(response.body)
    elif as_json:
        output.show_json(response.body)
    else:
        show(response.body)
    return response.exit_code


__all__ = ['report']
