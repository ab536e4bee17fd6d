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

_MAX_ATTEMPTS = 3
_RETRY_DELAY_S = 0.5


def _send(
    operator: str, headers: dict[str, str], body: bytes
) -> OperatorResponse:
    """Send a command, and repeat it if its outcome is unknown.

    The operation id makes sure that it is applied once at most. Raises
    ``UnreachableError`` if the last attempt gets no response.
    """
    for attempts_left in reversed(range(_MAX_ATTEMPTS)):
        try:
            response = connection.command(operator, '/apply', headers, body)
        except connection.UnreachableError:
            if not attempts_left:
                raise
        else:
            if response.exit_code is not Exit.UNKNOWN or not attempts_left:
                return response
        time.sleep(_RETRY_DELAY_S)
    raise AssertionError('the last attempt returns or raises')


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
        An id of this change; a change with the same id is applied once.
    json
        Print JSON.
    """
    try:
        body = pathlib.Path(path).read_bytes()
    except OSError as error:
        output.show_failure(f'{path}: {error}')
        return Exit.INVALID_FILE
    operation_id = operation or secrets.token_hex(8)
    try:
        if expect is None:
            current = connection.query(operator, '/status')
            if current.exit_code is not Exit.DONE:
                output.show_error(current.body)
                return current.exit_code
            expect = int(current.body['generation'])
        headers = {
            'X-Operation': operation_id,
            'X-Expected-Generation': str(expect),
            # Headers carry no other characters than Latin-1.
            'X-File': path.encode('ascii', 'backslashreplace').decode(),
        }
        response = _send(operator, headers, body)
    except connection.UnreachableError as error:
        output.show_failure(f'unreachable: {error}')
        if error.sent:
            output.show_failure(
                f'repeat with --operation {operation_id} --expect {expect}'
            )
            return Exit.UNKNOWN
        return Exit.UNREACHABLE
    if response.exit_code is Exit.DONE:
        return _show(response.body, json)
    output.show_error(response.body)
    return response.exit_code


__all__ = ['apply']
