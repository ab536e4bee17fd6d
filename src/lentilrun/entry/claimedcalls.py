"""Calls that may not be repeated, run under a claim."""

from __future__ import annotations

import asyncio
import hashlib
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from ..coordination.claims import ClaimState
from ..coordination.claims import RecordedResponse
from ..errors import CallError
from ..errors import Code
from ..errors import PlatformError
from ..errors import RunStatus
from ..web.client import Response
from .attempt import CallResult
from .relay import TokenUsage

if TYPE_CHECKING:
    from ..coordination.claims import ClaimResult
    from ..coordination.claims import Claims
    from .attemptrunner import AttemptRunner
    from .call import Call
    from .relay import ResponseWriter

_CONFLICT = 409
_UNPROCESSABLE = 422
_UNAVAILABLE = 503
REPEATED_HEADER = 'X-Repeated'
_ABANDON_TRIES = 300
_ABANDON_PAUSE = 1.0
_NOTHING = TokenUsage(0, 0, 0)


class ServedCall(NamedTuple):
    """A result, and whether it is that of an earlier request."""

    result: CallResult
    replayed: bool


def make_claim_key(call: Call) -> str:
    """Return the claim's key: an idempotency key within a workspace."""
    text = f'{call.route.name}\n{call.idempotency_key}'
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f'{call.workspace}/{digest}'


def _replay(outcome: RecordedResponse) -> ServedCall:
    headers = HTTPHeaders({'Content-Type': outcome.content_type})
    response = Response(outcome.status, headers, outcome.body)
    return ServedCall(CallResult(response, _NOTHING), True)


class ClaimedCallRunner:
    """Runs calls under claims; no claim, no dispatch."""

    def __init__(self, claims: Claims, attempts: AttemptRunner) -> None:
        self._claims = claims
        self._attempts = attempts
        self._abandoning: set[asyncio.Task[None]] = set()

    async def run(self, call: Call, reply: ResponseWriter) -> ServedCall:
        """Run a call once, or give the result of when it ran."""
        key = make_claim_key(call)
        claimed = await self._claim(key, call)
        if not claimed.is_ours:
            return self._answer_other(call, claimed)
        try:
            result = await self._attempts.run(call, reply)
        except CallError as error:
            if error.run_status is RunStatus.NOT_RUN:
                await self._release(key, claimed)
            raise
        await self._finish(key, claimed, result)
        return ServedCall(result, False)

    async def _claim(self, key: str, call: Call) -> ClaimResult:
        try:
            return await self._claims.claim(
                key, call.fingerprint, call.identifier
            )
        except PlatformError as error:
            self._abandon_later(key, call.identifier)
            text = 'no claim could be made, so the request was not sent'
            raise CallError(
                Code.CLAIM_UNAVAILABLE, text, _UNAVAILABLE, retry_after=1.0
            ) from error

    def _answer_other(self, call: Call, claimed: ClaimResult) -> ServedCall:
        claim = claimed.claim
        if claim.fingerprint != call.fingerprint:
            text = 'the idempotency key was used for another request'
            raise CallError(Code.CLAIM_MISMATCH, text, _UNPROCESSABLE)
        if claim.state is ClaimState.DONE and claim.response is not None:
            return _replay(claim.response)
        text = 'a request with this idempotency key was sent before'
        raise CallError(
            Code.CLAIM_RUNNING, text, _CONFLICT, RunStatus.UNKNOWN, 1.0
        )

    async def _release(self, key: str, claimed: ClaimResult) -> None:
        try:
            await self._claims.release(key, claimed)
        except PlatformError:
            self._abandon_later(key, claimed.claim.holder)

    def _abandon_later(self, key: str, holder: str) -> None:
        """Free a claim that won't be used, once the table answers.

        Its write may have taken effect; a repeat would then be told for
        ever that nobody knows whether the request ran.
        """
        work = self._abandon(key, holder)
        task = asyncio.get_running_loop().create_task(work)
        self._abandoning.add(task)
        task.add_done_callback(self._abandoning.discard)

    async def _abandon(self, key: str, holder: str) -> None:
        for _ in range(_ABANDON_TRIES):
            try:
                await self._claims.abandon(key, holder)
            except PlatformError:
                await asyncio.sleep(_ABANDON_PAUSE)
                continue
            return

    async def _finish(
        self, key: str, claimed: ClaimResult, result: CallResult
    ) -> None:
        response = result.response
        if response is None:
            return
        kind = response.headers.get('Content-Type', '')
        outcome = RecordedResponse(response.status, kind, response.body)
        try:
            await self._claims.finish(key, claimed, outcome)
        except PlatformError:
            # The caller still gets its answer; a repeat does not.
            pass


__all__ = [
    'ClaimedCallRunner',
    'make_claim_key',
    'REPEATED_HEADER',
    'ServedCall',
]
