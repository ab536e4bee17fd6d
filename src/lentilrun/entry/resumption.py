"""Resumption of a stream at any VM, by the stream token."""

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
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError
from ..web.numbers import parse_number
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
_NO_REQUEST = OutgoingRequest('GET', '', {}, b'')


class Resumption:
    """Relays the rest of a stream to a caller that lost its connection."""

    def __init__(
        self,
        secrets: Secrets,
        state: FleetState,
        admission: Admission,
        in_flight: InFlightCalls,
        client: Client,
        metrics: Metrics,
    ) -> None:
        self._secrets = secrets
        self._state = state
        self._admission = admission
        self._in_flight = in_flight
        self._client = client
        self._metrics = metrics

    async def run(
        self,
        sealed_token: str,
        last_event_id: str,
        incoming: IncomingRequest,
        writer: ResponseWriter,
    ) -> None:
        """Relay the events after ``last_event_id``.

        An id that is not a number counts as 0. Raises ``CallError``, or
        ``StreamClosedError`` if the caller disconnected.
        """
        await self._admission.check_fresh()
        token = streamtokens.unseal(self._secrets.stream_key, sealed_token)
        if token is None:
            raise self._make_unknown_error()
        key_digest = self._authorize(token, incoming)
        call = self._make_call(token, key_digest)
        stream = StreamState(
            token.attempt_id,
            parse_number(last_event_id) or 0,
            token.incarnation,
        )
        self._metrics.add(Count.RESUMES, 'caller')
        with self._in_flight.track(call):
            await self._relay(token, call, stream, writer)

    @staticmethod
    def _make_unknown_error() -> CallError:
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
        raise self._make_unknown_error()

    def _make_call(self, token: StreamToken, key_digest: str) -> Call:
        route = self._find_route(token)
        now = self._state.clock.now()
        return Call(
            secrets.token_hex(8),
            route,
            self._state.configuration.models[route.model],
            token.workspace,
            key_digest,
            _NO_REQUEST,
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
        writer: ResponseWriter,
    ) -> None:
        target = self._state.configuration.targets.get(token.target)
        if target is None:
            raise self._make_unknown_error()
        receiver = ResponseReceiver(stream, writer)
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
                raise self._make_broken_error() from error
        if not receiver.is_stream:
            raise self._make_unknown_error()
        if not stream.is_done:
            raise self._make_broken_error()

    @staticmethod
    def _make_broken_error() -> CallError:
        text = 'the stream broke again'
        return CallError(
            Code.STREAM_BROKEN, text, _BAD_GATEWAY, RunStatus.UNKNOWN
        )


__all__ = ['Resumption']
