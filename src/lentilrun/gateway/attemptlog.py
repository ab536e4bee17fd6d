"""The log line of an attempt."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

if TYPE_CHECKING:
    from ..errors import LentilrunError
    from ..platform.dialect import ResponseHead
    from .attemptoutcome import AttemptOutcome
    from .call import Call
    from .choice import Assignment
    from .context import DispatchContext
    from .relay import StreamTrace

_MAX_LOGGED_SEGMENTS = 8


class AttemptRecord(NamedTuple):
    """An attempt that ended; times by the clock, in seconds.

    ``sent_before`` attempts of the call were sent before it.
    ``last_event_id`` is the last event that the caller has received, and
    ``trace`` tells what this attempt received of a stream. The
    request ``is_on_kept_connection`` if it was sent over one that was open
    before; ``error`` is why there was no connection, or no whole response.
    """

    call: Call
    assignment: Assignment
    outcome: AttemptOutcome
    head: ResponseHead | None
    started_at: float
    first_event_at: float | None
    last_event_id: int
    trace: StreamTrace | None
    sent_before: int
    is_on_kept_connection: bool
    error: LentilrunError | None


def write_attempt(context: DispatchContext, record: AttemptRecord) -> None:
    """Write how an attempt ended, and what decided it."""
    call = record.call
    assignment = record.assignment
    choice = assignment.choice
    configuration = context.view.configuration
    now = context.clock.now()
    context.log.write(
        'attempt',
        id=call.request_id,
        route=call.route.name,
        target=assignment.state.target.incarnation,
        fate=record.outcome,
        status=record.head.status if record.head is not None else None,
        limit=record.head.rate_limit if record.head is not None else None,
        brittle=(
            record.head.rejection_limit if record.head is not None else None
        ),
        held=round(record.started_at - call.incoming.arrived_at, 3),
        wait=round(choice.estimated_wait, 4),
        pace=round(choice.pace, 2),
        cached=int(choice.prefill_plan.cached_tokens),
        source=_format_source(assignment),
        tokens=_count_tokens(call),
        segments=_list_segments(call),
        weights=assignment.weights_version,
        stale=_compute_stale_time(context, record, now),
        sent=record.sent_before,
        kept=record.is_on_kept_connection,
        error=_format_error(record.error),
        left=round(call.deadline - now, 3),
        events=record.last_event_id,
        ids=_format_ids(record.trace),
        framed=record.trace.is_framed if record.trace is not None else None,
        order=record.trace.fault if record.trace is not None else None,
        first=_compute_time_to_first_event(record),
        seconds=round(now - record.started_at, 3),
        configuration=configuration.version if configuration else None,
    )


def _format_error(error: LentilrunError | None) -> str | None:
    """Return why an exchange failed, such as a refused connection."""
    if error is None:
        return None
    cause = error.__cause__ or error
    if isinstance(cause, StreamClosedError):
        cause = cause.real_error or cause
    return repr(cause)


def _format_ids(trace: StreamTrace | None) -> tuple[int, int] | None:
    """Return the numbers of the first and last event of an attempt."""
    if trace is None or trace.first_id is None or trace.last_id is None:
        return None
    return trace.first_id, trace.last_id


def _compute_time_to_first_event(record: AttemptRecord) -> float | None:
    if record.first_event_at is None:
        return None
    return round(record.first_event_at - record.started_at, 3)


def _compute_stale_time(
    context: DispatchContext, record: AttemptRecord, now: float
) -> float | None:
    """Return for how long the weights were replaced as it started, in s."""
    prompt = record.call.prompt
    version = record.assignment.weights_version
    if prompt is None or version is None:
        return None
    stale_for = context.view.stale_for(prompt.model, version)
    return round(max(0.0, stale_for - (now - record.started_at)), 3)


def _format_source(assignment: Assignment) -> str | None:
    source = assignment.choice.prefill_plan.source
    return None if source is None else str(source)


def _count_tokens(call: Call) -> tuple[int, int] | None:
    """Return a call's prompt and output tokens."""
    if call.prompt is None:
        return None
    return call.prompt.input_tokens, call.prompt.output_tokens


def _list_segments(call: Call) -> list[str]:
    """Return the identities of a call's first segments."""
    if call.prompt is None:
        return []
    return [s.identity for s in call.prompt.segments[:_MAX_LOGGED_SEGMENTS]]


__all__ = ['AttemptRecord', 'write_attempt']
