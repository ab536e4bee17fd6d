"""Execution of a call: one attempt, or several where that is safe."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..errors import CallError
from ..errors import Code
from ..errors import PlatformError
from ..errors import RunStatus
from ..metrics.registry import Count
from .attempt import Attempt
from .attempt import FailedError
from .suspects import SuspectStatus
from .suspects import TrialRefusedError

if TYPE_CHECKING:
    from .attempt import AttemptDependencies
    from .attempt import CallResult
    from .call import Call
    from .relay import ResponseWriter
    from .retries import RetryBudget
    from .scheduler import Assignment
    from .scheduler import Scheduler

_UNPROCESSABLE = 422
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_MAX_ATTEMPTS = 3


class AttemptRunner:
    """Runs calls at targets, with retries."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        scheduler: Scheduler,
        budget: RetryBudget,
    ) -> None:
        self._dependencies = dependencies
        self._scheduler = scheduler
        self._budget = budget

    async def run(self, call: Call, writer: ResponseWriter) -> CallResult:
        """Run a call; the ``CallError`` that it raises says what ran.

        A request is sent again only if none of its bytes were sent, or if
        it is idempotent, no part of a response was relayed and the retry
        budget allows it.
        """
        self._budget.add_request()
        excluded_targets: set[str] = set()
        sent = False
        for attempts_left in reversed(range(_MAX_ATTEMPTS)):
            await self._check_suspect(call, sent)
            assignment = await self._acquire(
                call, frozenset(excluded_targets), sent
            )
            try:
                with (
                    assignment,
                    Attempt(
                        self._dependencies, call, assignment, writer
                    ) as attempt,
                ):
                    return await attempt.run()
            except FailedError as error:
                sent = sent or error.sent
                excluded_targets.add(assignment.target_state.target.name)
                if attempts_left and self._may_retry(call, error):
                    continue
                if error.result is not None:
                    return error.result
                raise self._make_error(call, error, sent) from error
            except CallError as error:
                if sent:
                    error.run_status = RunStatus.UNKNOWN
                raise
        raise AssertionError('the last attempt returns or raises')

    async def _acquire(
        self, call: Call, excluded_targets: frozenset[str], sent: bool
    ) -> Assignment:
        try:
            return await self._scheduler.acquire(call, excluded_targets)
        except CallError as error:
            if sent:
                error.run_status = RunStatus.UNKNOWN
            raise

    def _is_past_deadline(self, call: Call) -> bool:
        return call.deadline <= self._dependencies.state.clock.now()

    def _may_retry(self, call: Call, error: FailedError) -> bool:
        if self._is_past_deadline(call):
            return False
        if not error.sent:
            return True
        if not call.route.idempotent or error.relay_started:
            return False
        if not self._budget.spend():
            return False
        self._dependencies.metrics.add(Count.RETRIES)
        return True

    def _make_error(
        self, call: Call, error: FailedError, sent: bool
    ) -> CallError:
        run_status = RunStatus.UNKNOWN if sent else RunStatus.NOT_RUN
        if error.relay_started:
            code = Code.STREAM_BROKEN
            return CallError(code, str(error), _BAD_GATEWAY, run_status)
        if self._is_past_deadline(call):
            text = 'the deadline passed'
            return CallError(Code.DEADLINE, text, _GATEWAY_TIMEOUT, run_status)
        code = Code.TARGET_FAILED if sent else Code.NO_TARGET
        status = _BAD_GATEWAY if sent else _UNAVAILABLE
        return CallError(code, str(error), status, run_status, retry_after=1.0)

    async def _check_suspect(self, call: Call, sent: bool) -> None:
        """Raise if a request is quarantined; begin a suspect's trial."""
        suspects = self._dependencies.suspects
        status = suspects.get_status(call.fingerprint)
        if status is SuspectStatus.CLEAR:
            return
        run_status = RunStatus.UNKNOWN if sent else RunStatus.NOT_RUN
        text = 'the request ran on targets that crashed'
        quarantine_error = CallError(
            Code.QUARANTINED, text, _UNPROCESSABLE, run_status
        )
        if status is SuspectStatus.QUARANTINED:
            raise quarantine_error
        try:
            await suspects.begin_trial(call.fingerprint, time.time())
        except (TrialRefusedError, PlatformError) as error:
            raise quarantine_error from error


__all__ = ['AttemptRunner']
