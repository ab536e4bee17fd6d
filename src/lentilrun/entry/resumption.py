"""Resuming of a stream at any VM, by the token given with it."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError

from . import credentials
from ..errors import CallError
from ..errors import Code
from ..errors import RunStatus
from ..metrics.registry import Count
from . import streamtokens
from ..targets import requests
from ..targets.requests import OutgoingRequest
from ..web.client import InterruptedExchangeError
from ..web.client import NotSentError
from .call import Call
from .call import OPEN_WORKSPACE
from .relay import ResponseReceiver
from .relay import StreamState

if TYPE_CHECKING:
    from ..config.configuration import Route
    from ..config.settings import Secrets
    from ..fleet.state import FleetState
    from ..metrics.registry import Metrics
    from ..web.client import Client
    from .admission import Admission
    from .admission import IncomingRequest
    from .inflight import InFlightCalls
    from .relay import ResponseWriter
    from .streamtokens import StreamToken

_UNAUTHORIZED = 401
_NOT_FOUND = 404
_BAD_GATEWAY = 502
_NOTHING = OutgoingRequest('GET', '', {}, b'')


class Resumption:
    """Relays the rest of a stream to a caller that was cut off."""

    def __init__(
        self,
        secrets: Secrets,
        state: FleetState,
        admission: Admission,
        running: InFlightCalls,
        client: Client,
        metrics: Metrics,
    ) -> None:
        self._secrets = secrets
        self._state = state
        self._admission = admission
        self._running = running
        self._client = client
        self._metrics = metrics

    async def run(
        self,
        text: str,
        last: str,
        incoming: IncomingRequest,
        reply: ResponseWriter,
    ) -> None:
        """Relay the events after ``last``; raises ``CallError``."""
        await self._admission.check_fresh()
        token = streamtokens.unseal(self._secrets.stream_key, text)
        if token is None:
            raise self._unknown()
        key = self._authorize(token, incoming)
        call = self._make_call(token, key)
        stream = StreamState(token.attempt_id)
        stream.last_event_id = int(last) if last.isdigit() else 0
        self._metrics.add(Count.RESUMES, 'caller')
        with self._running.track(call):
            await self._relay(token, call, stream, reply)

    @staticmethod
    def _unknown() -> CallError:
        text = 'no such stream can be resumed'
        return CallError(
            Code.STREAM_UNKNOWN, text, _NOT_FOUND, RunStatus.UNKNOWN
        )

    def _authorize(self, token: StreamToken, incoming: IncomingRequest) -> str:
        if token.workspace == OPEN_WORKSPACE:
            return ''
        secret = credentials.find_secret(incoming.headers, incoming.query)
        digest = credentials.digest_key(secret)
        configuration = self._state.configuration
        key = self._admission.find_valid_key(configuration, digest)
        if key is None or key.workspace != token.workspace:
            raise CallError(
                Code.KEY_REFUSED,
                "the key is not that of the stream's workspace",
                _UNAUTHORIZED,
                RunStatus.UNKNOWN,
            )
        return digest

    def _find_route(self, token: StreamToken) -> Route:
        for route in self._state.configuration.routes:
            if route.name == token.route:
                return route
        raise self._unknown()

    def _make_call(self, token: StreamToken, key: str) -> Call:
        route = self._find_route(token)
        now = self._state.clock.now()
        return Call(
            secrets.token_hex(8),
            route,
            self._state.configuration.models[route.model],
            token.workspace,
            key,
            _NOTHING,
            b'',
            0,
            0,
            True,
            0.0,
            now,
            now + route.timeout,
            '',
            '',
        )

    async def _relay(
        self,
        token: StreamToken,
        call: Call,
        stream: StreamState,
        reply: ResponseWriter,
    ) -> None:
        target = self._state.configuration.targets.get(token.target)
        if target is None:
            raise self._unknown()
        receiver = ResponseReceiver(stream, reply)
        try:
            await requests.resume(
                self._client,
                target.address,
                token.attempt_id,
                stream.last_event_id,
                call.route.timeout,
                receiver,
            )
        except (NotSentError, InterruptedExchangeError) as error:
            if receiver.caller_disconnected:
                raise StreamClosedError from error
            if not stream.is_done:
                raise self._broken() from error
        if not receiver.is_stream:
            raise self._unknown()
        if not stream.is_done:
            raise self._broken()

    @staticmethod
    def _broken() -> CallError:
        text = 'the stream broke again'
        return CallError(
            Code.STREAM_BROKEN, text, _BAD_GATEWAY, RunStatus.UNKNOWN
        )


__all__ = ['Resumption']
