"""Calls that must run at most once, each under a claim."""

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
from ..web.responses import Response
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
_MAX_ABANDON_TRIES = 300
_ABANDON_PAUSE_S = 1.0
_NO_USAGE = TokenUsage(0, 0, 0)


class ServedCall(NamedTuple):
    """A result, and whether it was recorded for an earlier request."""

    result: CallResult
    replayed: bool


def make_claim_key(call: Call) -> str:
    """Return the key of a call's claim.

    An idempotency key applies to one route of one workspace only.
    """
    text = f'{call.route.name}\n{call.idempotency_key}'
    digest = hashlib.sha256(text.encode()).hexdigest()
    return f'{call.workspace}/{digest}'


def _replay(recorded: RecordedResponse) -> ServedCall:
    headers = HTTPHeaders({'Content-Type': recorded.content_type})
    response = Response(recorded.status, headers, recorded.body)
    return ServedCall(CallResult(response, _NO_USAGE), True)


class ClaimedCallRunner:
    """Runs calls under claims; without a claim nothing is sent."""

    def __init__(self, claims: Claims, attempts: AttemptRunner) -> None:
        self._claims = claims
        self._attempts = attempts
        self._abandoning: set[asyncio.Task[None]] = set()

    async def run(self, call: Call, writer: ResponseWriter) -> ServedCall:
        """Run a call, or return the recorded result if it ran before.

        Raises ``CallError`` if no claim can be made, or if another
        request has the claim.
        """
        key = make_claim_key(call)
        claim_result = await self._claim(key, call)
        if not claim_result.is_ours:
            return self._respond_from_claim(call, claim_result)
        try:
            result = await self._attempts.run(call, writer)
        except CallError as error:
            if error.run_status is RunStatus.NOT_RUN:
                await self._release(key, claim_result)
            raise
        await self._record_response(key, claim_result, result)
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

    def _respond_from_claim(
        self, call: Call, claim_result: ClaimResult
    ) -> ServedCall:
        claim = claim_result.claim
        if claim.fingerprint != call.fingerprint:
            text = 'the idempotency key was used for another request'
            raise CallError(Code.CLAIM_MISMATCH, text, _UNPROCESSABLE)
        if claim.state is ClaimState.DONE and claim.response is not None:
            return _replay(claim.response)
        text = 'a request with this idempotency key was sent before'
        raise CallError(
            Code.CLAIM_RUNNING, text, _CONFLICT, RunStatus.UNKNOWN, 1.0
        )

    async def _release(self, key: str, claim_result: ClaimResult) -> None:
        try:
            await self._claims.release(key, claim_result)
        except PlatformError:
            self._abandon_later(key, claim_result.claim.holder)

    def _abandon_later(self, key: str, holder: str) -> None:
        """Free a claim that won't be used, once the table is reachable.

        The claim may be in the table even if writing it failed. If it
        stayed there, each repeat of the request would get the error that
        its outcome is unknown.
        """
        abandonment = self._abandon(key, holder)
        task = asyncio.get_running_loop().create_task(abandonment)
        self._abandoning.add(task)
        task.add_done_callback(self._abandoning.discard)

    async def _abandon(self, key: str, holder: str) -> None:
        for _ in range(_MAX_ABANDON_TRIES):
            try:
                await self._claims.abandon(key, holder)
            except PlatformError:
                await asyncio.sleep(_ABANDON_PAUSE_S)
                continue
            return

    async def _record_response(
        self, key: str, claim_result: ClaimResult, result: CallResult
    ) -> None:
        response = result.response
        if response is None:
            return
        content_type = response.headers.get('Content-Type', '')
        recorded = RecordedResponse(
            response.status, content_type, response.body
        )
        try:
            await self._claims.finish(key, claim_result, recorded)
        except PlatformError:
            # The caller still gets its response, but a repeat gets an error
            # instead, unless the write took effect.
            pass


__all__ = [
    'ClaimedCallRunner',
    'make_claim_key',
    'REPEATED_HEADER',
    'ServedCall',
]
