"""``lentilrun explain``."""

from __future__ import annotations

import pathlib
import re
import sys
from typing import Any

import msgspec

from ... import output
from ...exits import Exit
from ...reasons import REFUSALS
from ...routing import describe_request
from ...routing import explain_routing
from ...routing import InvalidQueryError
from ...routing import PromptDescription
from ...routing import read_request

_OBJECT = re.compile(r'\{.*\}')
# The cause of how a request ended, by the event of a log line.
_CAUSES = {
    'caller_gone': 'the caller closed its connection first',
    'caller_slow': 'the caller read its response too slowly',
    'quota_exceeded': 'the workspace is over its rate and burst',
    'request_error': 'the router itself failed',
}
_OUTCOMES = {
    'delivered': 'the answer was delivered',
    'failed': 'the target answered with a failure',
    'broken': 'the target broke off',
    'timed_out': 'the router ended it, as no answer came in time',
    'not_run': 'the target turned it away',
    'not_sent': 'no connection to the target',
    'moved': 'the stream was moved to newer weights',
    'withdrawn': 'it had not begun when the weights became too old',
}


def _read_lines(paths: tuple[str, ...]) -> list[str]:
    if not paths:
        return sys.stdin.readlines()
    lines: list[str] = []
    for path in paths:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        lines += text.splitlines()
    return lines


def find_events(lines: list[str], request_id: str) -> list[dict[str, Any]]:
    """Return the log events of one request, sorted by time."""
    events = []
    for line in lines:
        match = _OBJECT.search(line)
        if match is None or request_id not in line:
            continue
        try:
            event = msgspec.json.decode(match[0])
        except msgspec.DecodeError:
            continue
        if event.get('id') == request_id:
            events.append(event)
    return sorted(events, key=lambda e: e.get('time', 0.0))


def find_cause(events: list[dict[str, Any]]) -> str:
    """Return a description of how a request ended, from its log lines."""
    causes = []
    for event in events:
        name = event['event']
        if name == 'refused':
            reason = event.get('reason', '')
            causes.append(REFUSALS.get(reason, reason))
        elif name == 'attempt':
            outcome = _OUTCOMES.get(event.get('fate', ''), '')
            causes.append(f'{outcome} ({event.get("target")})')
        elif name in _CAUSES:
            causes.append(_CAUSES[name])
    return '; then '.join(causes)


def explain(
    request_id: str = '',
    *logs: str,
    vm: str = '',
    request: str = '',
    path: str = '',
    host: str = '',
    model: str = '',
    prefix: str = '',
    tokens: str = '',
    workspace: str = '',
    json: bool = False,
) -> int:
    """Explain how a request ended, or where one would be routed now.

    Without ``--vm``, the log lines of a request that was sent are read. With
    it, the VM states where the described request would go; it is not sent.

    Parameters
    ----------
    request_id
        The id that the caller sent.
    logs
        Log files of the VMs; by default, standard input is read.
    vm
        A VM's address for metrics, as IP:PORT.
    request
        A file with an HTTP/1.1 request, or - for standard input.
    path
        The path; by default, that of a route for the model.
    host
        The host of the route.
    model
        The model.
    prefix
        The segments of the prompt, as ID:TOKENS,ID:TOKENS.
    tokens
        The tokens of the prompt and of the response, as IN,OUT.
    workspace
        The workspace, in place of an API key.
    json
        Print JSON.
    """
    if not vm:
        return _explain_ended(request_id, logs, json)
    try:
        if request_id:
            raise InvalidQueryError(
                'a VM knows no request ids: leave --vm out'
            )
        if request:
            query = read_request(request, workspace)
        else:
            description = PromptDescription(path, host, model, prefix, tokens)
            query = describe_request(description, workspace)
    except (OSError, InvalidQueryError) as error:
        output.show_failure(str(error))
        return Exit.INVALID_QUERY
    return explain_routing(vm, query, json)


def _explain_ended(
    request_id: str, logs: tuple[str, ...], as_json: bool
) -> int:
    """Explain from log lines how a request ended."""
    if not request_id:
        output.show_failure('state the id of a request, or --vm')
        return Exit.INVALID_QUERY
    try:
        events = find_events(_read_lines(logs), request_id)
    except (OSError, UnicodeDecodeError) as error:
        output.show_failure(str(error))
        return Exit.INVALID_FILE
    if as_json:
        output.show_json({'cause': find_cause(events), 'events': events})
    elif events:
        for event in events:
            sys.stdout.write(msgspec.json.encode(event).decode() + '\n')
        sys.stdout.write(f'cause: {find_cause(events)}\n')
    if not events:
        output.show_failure(f'no line about {request_id}')
        return Exit.UNKNOWN
    return Exit.DONE


__all__ = ['explain', 'find_cause', 'find_events']
