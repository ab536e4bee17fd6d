"""Asks a VM where a request would be routed, and shows its report."""

from __future__ import annotations

import pathlib
import sys
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError
from tornado.httputil import parse_request_start_line

from . import connection
from . import output
from ..platform import dialect
from ..platform.routingquery import EXPLAIN_PATH
from ..platform.routingquery import RoutingQuery
from .exits import Exit
from .reasons import EXCLUSIONS
from .reasons import REFUSALS

if TYPE_CHECKING:
    from ..platform.routingquery import CandidateReport
    from ..platform.routingquery import RefusalReport
    from ..platform.routingquery import RoutingReport
    from ..platform.routingquery import ServiceReport

_REQUEST_ID = 'explain'
# Used unless the tokens of a prompt are stated.
_ASSUMED_OUTPUT_TOKENS = 200
_STDIN = '-'
_HEADINGS = (
    'target',
    'data centre',
    'cost s',
    'in flight',
    'own',
    'prefill',
    'cached',
    'failures',
    'pace',
    'busy s',
    'age s',
    'excluded',
)


class InvalidQueryError(ValueError):
    """What the command line states is no request."""


class PromptDescription(NamedTuple):
    """A request described by its prompt; texts are as in its headers.

    Without a ``path`` the VM finds a route for the model.
    """

    path: str
    host: str
    model: str
    prefix: str
    tokens: str


def read_request(path: str, workspace: str) -> RoutingQuery:
    """Return the query for an HTTP/1.1 request in a file.

    Raises ``OSError`` or ``InvalidQueryError``.
    """
    if path == _STDIN:
        data = sys.stdin.buffer.read()
    else:
        data = pathlib.Path(path).read_bytes()
    separator = b'\r\n\r\n' if b'\r\n\r\n' in data else b'\n\n'
    head, _, body = data.partition(separator)
    line, _, fields = head.decode('latin-1').partition('\n')
    try:
        start = parse_request_start_line(line.strip())
        headers = HTTPHeaders.parse(fields)
    except (HTTPInputError, ValueError) as error:
        raise InvalidQueryError(f'{path}: no HTTP/1.1 request') from error
    return RoutingQuery(
        method=start.method,
        path=start.path,
        headers=list(headers.get_all()),
        body=body,
        workspace=workspace,
    )


def describe_request(
    description: PromptDescription, workspace: str
) -> RoutingQuery:
    """Return the query for a prompt; raises ``InvalidQueryError``."""
    tokens = description.tokens
    if not tokens and (description.model or description.prefix):
        tokens = f'{_sum_tokens(description.prefix)},{_ASSUMED_OUTPUT_TOKENS}'
    headers = dialect.make_caller_headers(
        _REQUEST_ID,
        description.host,
        description.model,
        tokens,
        description.prefix,
    )
    return RoutingQuery(
        method='GET',
        path=description.path,
        headers=list(headers.get_all()),
        body=b'',
        workspace=workspace,
    )


def _sum_tokens(prefix: str) -> int:
    try:
        return sum(int(s.rpartition(':')[2]) for s in prefix.split(',') if s)
    except ValueError as error:
        raise InvalidQueryError(
            f'{prefix!r} is not a prefix as ID:TOKENS,ID:TOKENS'
        ) from error


def explain_routing(vm: str, query: RoutingQuery, as_json: bool) -> int:
    """Ask a VM, print its report and return the exit code."""
    body = msgspec.json.encode(query)
    headers = {'Content-Type': 'application/json'}
    try:
        response = connection.command(vm, EXPLAIN_PATH, headers, body)
    except connection.UnreachableError as error:
        output.show_failure(f'unreachable: {error}')
        return Exit.UNREACHABLE
    if response.exit_code is not Exit.DONE:
        output.show_error(response.body)
        return response.exit_code
    report: RoutingReport = response.body
    if as_json:
        output.show_json(report)
    else:
        _show(report)
    return Exit.WOULD_REFUSE if _is_refused(report) else Exit.DONE


def _is_refused(report: RoutingReport) -> bool:
    """Return whether the request is refused, by whatever service it gets."""
    return report['refusal'] is not None or all(
        s['refusal'] is not None for s in report['services']
    )


def _show(report: RoutingReport) -> None:
    sys.stdout.write(
        f'{report["vm"]}, configuration {report["configuration"]}\n'
    )
    if report['refusal'] is not None:
        sys.stdout.write(f'{_describe_refusal(report["refusal"])}\n')
        return
    sys.stdout.write(
        f'route {report["route"]}, workspace {report["workspace"] or "-"}, '
        f'model {report["model"] or "-"}, charge {report["charge"]:.0f}\n'
    )
    for service in report['services']:
        sys.stdout.write(f'\n{_describe_outcome(service)}\n')
        if service['candidates']:
            rows = [_make_row(c) for c in service['candidates']]
            output.show_table([_HEADINGS, *rows])


def _describe_refusal(refusal: RefusalReport) -> str:
    reason = refusal['reason']
    text = f'refused with {refusal["status"]} {reason}'
    if reason in REFUSALS:
        text += f': {REFUSALS[reason]}'
    if refusal['retry_after'] is not None:
        text += f'; Retry-After {refusal["retry_after"]:.3f}'
    return text


def _describe_outcome(service: ServiceReport) -> str:
    name = f'service {service["service"]} (share {service["share"]:.2f})'
    if service['refusal'] is not None:
        return f'{name}: {_describe_refusal(service["refusal"])}'
    if service['outcome'] == 'forward':
        return f'{name}: forwarded to {service["helper"]}'
    if service['outcome'] == 'wait':
        return f'{name}: waits at this VM'
    text = f'{name}: sent to {service["target"]}'
    if service['is_trial']:
        text += ' as a trial of its version'
    return (
        f'{text}, expected to wait {service["estimated_wait"]:.3f} s, '
        f'{service["queue_wait"]:.3f} s of it for other requests'
    )


def _make_row(candidate: CandidateReport) -> tuple[str, ...]:
    excluded = candidate['excluded']
    return (
        candidate['target'],
        candidate['data_centre'],
        _format(candidate['cost'], 4),
        str(candidate['in_flight']),
        str(candidate['own_in_flight']),
        _format(candidate['prefill_tokens'], 0),
        _format(candidate['cached_tokens'], 0),
        _format(candidate['failure_rate'], 2),
        _format(candidate['pace'], 2),
        _format(candidate['busy_for'], 2),
        _format(candidate['age'], 2),
        EXCLUSIONS.get(excluded, excluded),
    )


def _format(value: float | None, digits: int) -> str:
    return '-' if value is None else f'{value:.{digits}f}'


__all__ = [
    'describe_request',
    'explain_routing',
    'InvalidQueryError',
    'PromptDescription',
    'read_request',
]
