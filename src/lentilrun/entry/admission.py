"""Admission of requests: fresh state, route, key and rate limit."""

from __future__ import annotations

import asyncio
import math
import secrets
from typing import NamedTuple
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders

from ..config.configuration import TargetKind
from . import credentials
from ..errors import CallError
from ..errors import Code
from ..metrics.registry import Timing
from ..routing.prefix import ModelRequest
from ..routing.prefix import parse_request
from ..targets.requests import OutgoingRequest
from .call import Call
from .call import make_fingerprint
from .call import OPEN_WORKSPACE

if TYPE_CHECKING:
    from ..config.configuration import Configuration
    from ..config.configuration import Key
    from ..config.configuration import Route
    from ..coordination.clock import Clock
    from ..fleet.lending import TokenLending
    from ..fleet.state import FleetState
    from ..metrics.registry import Metrics

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_FORBIDDEN = 403
_NOT_FOUND = 404
_TOO_MANY = 429
_UNAVAILABLE = 503
_STALE_RETRY_S = 1.0
# A new configuration's token buckets are distributed within this time.
_MAX_BUCKET_SETUP_S = 1.5
_BUCKET_SETUP_RETRY_S = 0.1
_MAX_IDEMPOTENCY_KEY_CHARS = 255


class IncomingRequest(NamedTuple):
    """A request as a caller sent it; ``query`` has no question mark."""

    method: str
    path: str
    query: str
    headers: HTTPHeaders
    body: bytes


class _Identity(NamedTuple):
    workspace: str
    digest: str
    secret: str


class Admission:
    """Makes calls of incoming requests, or raises ``CallError``."""

    def __init__(
        self, state: FleetState, lending: TokenLending, metrics: Metrics
    ) -> None:
        self._state = state
        self._lending = lending
        self._metrics = metrics

    @property
    def _clock(self) -> Clock:
        return self._state.clock

    async def check_fresh(self) -> None:
        """Raise ``CallError`` unless this VM is configured and up to date."""
        if not self._state.configuration_generation():
            raise CallError(
                Code.NOT_CONFIGURED,
                'no configuration was accepted yet',
                _UNAVAILABLE,
                retry_after=_STALE_RETRY_S,
            )
        if not await self._state.wait_until_fresh():
            raise CallError(
                Code.VM_STALE,
                'this VM can not tell whether it knows the newest state',
                _UNAVAILABLE,
                retry_after=_STALE_RETRY_S,
            )

    async def identify(self, incoming: IncomingRequest) -> Call:
        """Return the call that a request makes; raises ``CallError``."""
        arrived_at = self._clock.now()
        await self.check_fresh()
        configuration = self._state.configuration
        routes = configuration.find_routes(incoming.path)
        if not routes:
            raise CallError(
                Code.UNKNOWN_ROUTE, 'no route has this path', _NOT_FOUND
            )
        secret = credentials.find_secret(incoming.headers, incoming.query)
        # The key is checked before the body, so that a caller without a
        # valid key gets no error that depends on the body.
        identity = self._find_identity(configuration, secret)
        if identity is None and not any(r.is_open for r in routes):
            self._reject_key(secret)
        model_request = self._parse_body(configuration, routes, incoming)
        route = self._pick_route(configuration, routes, model_request)
        workspace = self._authorize(route, identity, secret)
        self._check_key_not_forwarded(secret, incoming)
        return self._make_call(
            incoming, route, model_request, workspace, identity, arrived_at
        )

    def _reject_key(self, secret: str) -> None:
        """Raise ``CallError``; this never returns."""
        if not secret:
            raise CallError(
                Code.KEY_MISSING, 'a key is required', _UNAUTHORIZED
            )
        raise CallError(
            Code.KEY_REFUSED, 'the key is not valid', _UNAUTHORIZED
        )

    def _find_identity(
        self, configuration: Configuration, secret: str
    ) -> _Identity | None:
        if not secret:
            return None
        digest = credentials.digest_key(secret)
        key = self.find_valid_key(configuration, digest)
        if key is None:
            return None
        return _Identity(key.workspace, digest, secret)

    def find_valid_key(
        self, configuration: Configuration, digest: str
    ) -> Key | None:
        """Return the key if it is valid in every possible configuration.

        These are the current one and all uncommitted ones; in each the
        key must belong to the same workspace.
        """
        key = credentials.find_key(configuration, digest)
        for uncommitted in self._state.list_uncommitted():
            other_key = credentials.find_key(uncommitted.configuration, digest)
            if key is None or other_key is None:
                return None
            if other_key.workspace != key.workspace:
                return None
        return key

    def is_key_valid(self, digest: str) -> bool:
        """Return whether a running call's key is still valid."""
        configuration = self._state.configuration
        return self.find_valid_key(configuration, digest) is not None

    def _parse_body(
        self,
        configuration: Configuration,
        routes: list[Route],
        incoming: IncomingRequest,
    ) -> ModelRequest:
        kinds = {configuration.models[route.model].kind for route in routes}
        if TargetKind.MODEL not in kinds:
            return ModelRequest('', b'', False, None)
        try:
            return parse_request(incoming.body)
        except ValueError as error:
            raise CallError(
                Code.BAD_REQUEST,
                f'the body is no model request: {error}',
                _BAD_REQUEST,
            ) from error

    def _pick_route(
        self,
        configuration: Configuration,
        routes: list[Route],
        model_request: ModelRequest,
    ) -> Route:
        services = [
            r
            for r in routes
            if configuration.models[r.model].kind is TargetKind.SERVICE
        ]
        if services:
            return services[0]
        for route in routes:
            if route.model == model_request.model:
                return route
        if not model_request.model and len(routes) == 1:
            return routes[0]
        raise CallError(
            Code.UNKNOWN_MODEL, 'no route has this model', _NOT_FOUND
        )

    def _authorize(
        self, route: Route, identity: _Identity | None, secret: str
    ) -> str:
        if identity is None and route.is_open:
            return OPEN_WORKSPACE
        if identity is None:
            self._reject_key(secret)
            return OPEN_WORKSPACE
        allowed = route.workspaces
        if allowed and identity.workspace not in allowed:
            raise CallError(
                Code.WORKSPACE_REFUSED,
                'the route is for other workspaces',
                _FORBIDDEN,
            )
        return identity.workspace

    def _check_key_not_forwarded(
        self, secret: str, incoming: IncomingRequest
    ) -> None:
        if not secret:
            return
        if secret.encode() in incoming.body or secret in incoming.path:
            raise CallError(
                Code.BAD_REQUEST,
                'the path or body carries the key, which no target may see',
                _BAD_REQUEST,
            )

    def _make_call(
        self,
        incoming: IncomingRequest,
        route: Route,
        model_request: ModelRequest,
        workspace: str,
        identity: _Identity | None,
        arrived_at: float,
    ) -> Call:
        model = self._state.configuration.models[route.model]
        secret = identity.secret if identity is not None else ''
        stripped = credentials.strip_credentials(
            incoming.path, incoming.query, incoming.headers, secret
        )
        prompt_tokens = math.ceil(
            len(model_request.prompt) / model.bytes_per_token
        )
        max_output_tokens = min(
            model_request.max_output_tokens or route.max_output,
            route.max_output,
        )
        is_model = model.kind is TargetKind.MODEL
        idempotency_key = incoming.headers.get('Idempotency-Key', '')
        if len(idempotency_key) > _MAX_IDEMPOTENCY_KEY_CHARS:
            raise CallError(
                Code.BAD_REQUEST,
                'the idempotency key is long',
                _BAD_REQUEST,
            )
        return Call(
            secrets.token_hex(8),
            route,
            model,
            workspace,
            identity.digest if identity is not None else '',
            OutgoingRequest(
                incoming.method,
                stripped.path,
                stripped.headers,
                incoming.body,
            ),
            model_request.prompt,
            prompt_tokens,
            max_output_tokens,
            model_request.streams,
            float(prompt_tokens + max_output_tokens)
            if is_model
            else route.cost,
            arrived_at,
            arrived_at + route.timeout,
            idempotency_key,
            make_fingerprint(workspace, incoming.path, incoming.body),
        )

    async def charge(self, call: Call) -> None:
        """Charge a call's tokens to its workspace.

        Raises ``CallError`` if the workspace is over its rate limit.
        """
        if not call.is_charged():
            return
        started_at = self._clock.now()
        has_tokens = await self._spend_tokens(call)
        self._metrics.record_time(
            Timing.ADMISSION, self._clock.now() - started_at
        )
        if not has_tokens:
            raise self._make_rate_error(call)

    async def _spend_tokens(self, call: Call) -> bool:
        """Spend a call's tokens; retries while buckets are distributed."""
        while not await self._lending.spend(
            call.workspace, call.charged_tokens
        ):
            configuration_age = (
                self._clock.now() - self._state.configuration_adopted_at
            )
            limit = self._state.shares.get_limit(call.workspace)
            if limit is None or call.charged_tokens > limit.burst:
                return False
            if configuration_age > _MAX_BUCKET_SETUP_S:
                return False
            await asyncio.sleep(_BUCKET_SETUP_RETRY_S)
        return True

    def _make_rate_error(self, call: Call) -> CallError:
        limit = self._state.shares.get_limit(call.workspace)
        if limit is None or call.charged_tokens > limit.burst:
            text = 'the request needs more tokens than the burst'
            return CallError(Code.RATE_EXCEEDED, text, _TOO_MANY)
        missing_tokens = (
            call.charged_tokens
            - self._state.shares.count_available_tokens(call.workspace)
        )
        retry_after = max(0.05, missing_tokens / limit.rate)
        text = 'the workspace is above its rate'
        return CallError(
            Code.RATE_EXCEEDED, text, _TOO_MANY, retry_after=retry_after
        )

    def refund_unused(self, call: Call, used_tokens: float) -> None:
        """Refund the tokens that a call was charged and did not use."""
        if call.is_charged():
            self._state.shares.refund(
                call.workspace, call.charged_tokens - used_tokens
            )


__all__ = ['Admission', 'IncomingRequest']
