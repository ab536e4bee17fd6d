"""``lentilrun explain``."""

from __future__ import annotations

import pathlib
import re
import sys
from typing import Any

import msgspec

from ... import output
from ...exits import Exit

_OBJECT = re.compile(r'\{.*\}')
# The cause of how a request ended, by the event of a log line.
_CAUSES = {
    'caller_gone': 'the caller closed its connection first',
    'caller_slow': 'the caller read its response too slowly',
    'quota_exceeded': 'the workspace is over its rate and burst',
    'request_error': 'the router itself failed',
}
_REASONS = {
    'bad_request': 'the request has no id, or a path beyond ASCII',
    'body_too_large': 'the body is larger than the configuration allows',
    'not_configured': 'the VM had read no configuration yet',
    'unknown_route': 'no route has this host and path',
    'key_refused': 'no workspace holds the key',
    'quota': 'the workspace is over its rate and burst',
    'no_target': 'no target could take it in time',
    'rate_limited': 'all targets limit their requests, and no turn was left',
    'overloaded': 'every target would answer after the deadline',
    'quarantined': 'targets crashed under it too often',
    'retries_spent': 'a target turned it away, and no retry was left',
    'leaving': 'the VM was stopping',
    'deadline': 'the deadline passed',
    'target_failed': 'the target broke off, and it must not run again',
    'old_weights': 'it waited too long at an engine with old weights',
    'internal': 'the router itself failed',
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
            causes.append(_REASONS.get(reason, reason))
        elif name == 'attempt':
            outcome = _OUTCOMES.get(event.get('fate', ''), '')
            causes.append(f'{outcome} ({event.get("target")})')
        elif name in _CAUSES:
            causes.append(_CAUSES[name])
    return '; then '.join(causes)


def explain(request_id: str, *logs: str, json: bool = False) -> int:
    """Explain from log lines how a request ended, and why.

    Parameters
    ----------
    request_id
        The id that the caller sent.
    logs
        Log files of the VMs; by default, standard input is read.
    json
        Print JSON.
    """
    try:
        events = find_events(_read_lines(logs), request_id)
    except (OSError, UnicodeDecodeError) as error:
        output.show_failure(str(error))
        return Exit.INVALID_FILE
    if json:
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
