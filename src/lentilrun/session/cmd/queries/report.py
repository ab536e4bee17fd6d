"""What all queries share: ask a daemon, print JSON or a table."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from ... import connection
from ... import output
from ...exits import Exit

if TYPE_CHECKING:
    from collections.abc import Callable


def report(
    operator: str, path: str, as_json: bool, show: Callable[[Any], None]
) -> int:
    """Ask for a report and print it; return the exit code."""
    try:
        reply = connection.query(operator, path)
    except connection.UnreachableError as error:
        output.show_failure(f'unreachable: {error}')
        return Exit.UNREACHABLE
    if reply.exit_code is not Exit.DONE:
        output.show_error(reply.body)
    elif as_json:
        output.show_json(reply.body)
    else:
        show(reply.body)
    return reply.exit_code


__all__ = ['report']
