"""``lentilrun apply``."""

from __future__ import annotations

import pathlib
import secrets
import sys
import time
from typing import TYPE_CHECKING

from ... import connection
from ... import output
from ...connection import DEFAULT_OPERATOR
from ...exits import Exit

if TYPE_CHECKING:
    from ...connection import OperatorResponse

_TRIES = 3
_PAUSE = 0.5


def _find_generation(operator: str) -> int:
    return int(connection.query(operator, '/status').body['generation'])


def _send(
    operator: str, headers: dict[str, str], body: bytes
) -> OperatorResponse:
    """Send an order; a lost answer is found out by its operation id."""
    for left in reversed(range(_TRIES)):
        try:
            reply = connection.command(operator, '/apply', headers, body)
        except connection.UnreachableError:
            if not left:
                raise
        else:
            if reply.exit_code is not Exit.UNKNOWN or not left:
                return reply
        time.sleep(_PAUSE)
    raise AssertionError('the last try returns or raises')


def _show(body: dict[str, object], as_json: bool) -> Exit:
    missing = body['missing']
    if as_json:
        output.show_json(body)
    elif missing:
        sys.stdout.write(
            f'generation {body["generation"]} is accepted, '
            f'not yet in force on: {missing}\n'
        )
    else:
        sys.stdout.write(
            f'generation {body["generation"]} is in force everywhere\n'
        )
    return Exit.NOT_EVERYWHERE if missing else Exit.DONE


def apply(
    path: str,
    *,
    operator: str = DEFAULT_OPERATOR,
    expect: int | None = None,
    operation: str | None = None,
    json: bool = False,
) -> int:
    """Apply an operators' file as a whole, or not at all.

    Parameters
    ----------
    path
        The file.
    operator
        Any daemon's address for operators.
    expect
        The generation to replace; by default the one in force now.
    operation
        An id for this change; the same id never changes anything twice.
    json
        Print JSON.
    """
    try:
        body = pathlib.Path(path).read_bytes()
    except OSError as error:
        output.show_failure(f'{path}: {error}')
        return Exit.INVALID_FILE
    name = operation or secrets.token_hex(8)
    try:
        if expect is None:
            expect = _find_generation(operator)
        headers = {
            'X-Operation': name,
            'X-Expected-Generation': str(expect),
            'X-File': path,
        }
        reply = _send(operator, headers, body)
    except connection.UnreachableError as error:
        output.show_failure(f'unreachable: {error}')
        if error.sent:
            output.show_failure(
                f'repeat with --operation {name} --expect {expect}'
            )
            return Exit.UNKNOWN
        return Exit.UNREACHABLE
    if reply.exit_code is Exit.DONE:
        return _show(reply.body, json)
    output.show_error(reply.body)
    return reply.exit_code


__all__ = ['apply']
