"""Attempts to run a call: one, or more where that is safe."""

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
    """Runs calls at targets."""

    def __init__(
        self,
        parts: AttemptDependencies,
        scheduler: Scheduler,
        budget: RetryBudget,
    ) -> None:
        self._parts = parts
        self._scheduler = scheduler
        self._budget = budget

    async def run(self, call: Call, reply: ResponseWriter) -> CallResult:
        """Run a call; raises ``CallError`` that says what ran.

        A request is sent again only if no byte of it left, or if it is
        idempotent, nothing of an answer was relayed, and the budget for
        retries allows it.
        """
        self._budget.add_request()
        avoid: set[str] = set()
        sent = False
        for left in reversed(range(_MAX_ATTEMPTS)):
            await self._check_suspect(call, sent)
            place = await self._acquire(call, frozenset(avoid), sent)
            try:
                with place, Attempt(self._parts, call, place, reply) as made:
                    return await made.run()
            except FailedError as error:
                sent = sent or error.sent
                avoid.add(place.target_state.target.name)
                if left and self._may_retry(call, error):
                    continue
                if error.result is not None:
                    return error.result
                raise self._explain(call, error, sent) from error
            except CallError as error:
                if sent:
                    error.run_status = RunStatus.UNKNOWN
                raise
        raise AssertionError('the last attempt returns or raises')

    async def _acquire(
        self, call: Call, avoid: frozenset[str], sent: bool
    ) -> Assignment:
        try:
            return await self._scheduler.acquire(call, avoid)
        except CallError as error:
            if sent:
                error.run_status = RunStatus.UNKNOWN
            raise

    def _is_late(self, call: Call) -> bool:
        return call.deadline <= self._parts.state.clock.now()

    def _may_retry(self, call: Call, error: FailedError) -> bool:
        if self._is_late(call):
            return False
        if not error.sent:
            return True
        if not call.route.idempotent or error.relay_started:
            return False
        if not self._budget.spend():
            return False
        self._parts.metrics.add(Count.RETRIES)
        return True

    def _explain(
        self, call: Call, error: FailedError, sent: bool
    ) -> CallError:
        ran = RunStatus.UNKNOWN if sent else RunStatus.NOT_RUN
        if error.relay_started:
            code = Code.STREAM_BROKEN
            return CallError(code, str(error), _BAD_GATEWAY, ran)
        if self._is_late(call):
            text = 'the deadline passed'
            return CallError(Code.DEADLINE, text, _GATEWAY_TIMEOUT, ran)
        code = Code.TARGET_FAILED if sent else Code.NO_TARGET
        status = _BAD_GATEWAY if sent else _UNAVAILABLE
        return CallError(code, str(error), status, ran, retry_after=1.0)

    async def _check_suspect(self, call: Call, sent: bool) -> None:
        suspects = self._parts.suspects
        standing = suspects.get_status(call.fingerprint)
        if standing is SuspectStatus.CLEAR:
            return
        ran = RunStatus.UNKNOWN if sent else RunStatus.NOT_RUN
        text = 'the request ran on targets that crashed'
        refusal = CallError(Code.QUARANTINED, text, _UNPROCESSABLE, ran)
        if standing is SuspectStatus.QUARANTINED:
            raise refusal
        try:
            await suspects.begin_trial(call.fingerprint, time.time())
        except (TrialRefusedError, PlatformError) as error:
            raise refusal from error


__all__ = ['AttemptRunner']
