"""Whether a request is let in: route, key, freshness, rate."""

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
_STALE_RETRY = 1.0
# How long a new configuration's buckets may take to be given out.
_SETTLING = 1.5
_SETTLING_PAUSE = 0.1
_MAX_IDEMPOTENCY_KEY = 255


class IncomingRequest(NamedTuple):
    """A request as it came from a caller."""

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
    """Turns an incoming request into a call, or says why not."""

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
        """Raise unless this daemon may act on what it knows."""
        if not self._state.configuration_generation():
            raise CallError(
                Code.NOT_CONFIGURED,
                'no configuration was accepted yet',
                _UNAVAILABLE,
                retry_after=_STALE_RETRY,
            )
        if not await self._state.wait_until_fresh():
            raise CallError(
                Code.VM_STALE,
                'this VM can not tell whether it knows the newest state',
                _UNAVAILABLE,
                retry_after=_STALE_RETRY,
            )

    async def identify(self, incoming: IncomingRequest) -> Call:
        """Return the call that a request makes; raises ``CallError``."""
        arrived = self._clock.now()
        await self.check_fresh()
        configuration = self._state.configuration
        routes = configuration.find_routes(incoming.path)
        if not routes:
            raise CallError(
                Code.UNKNOWN_ROUTE, 'no route has this path', _NOT_FOUND
            )
        secret = credentials.find_secret(incoming.headers, incoming.query)
        # The key comes before the body: a stranger learns nothing else.
        identity = self._find_identity(configuration, secret)
        if identity is None and not any(r.is_open for r in routes):
            self._refuse_key(secret)
        asked = self._read_body(configuration, routes, incoming)
        route = self._pick(configuration, routes, asked)
        workspace = self._authorize(route, identity, secret)
        self._check_secret(secret, incoming)
        return self._build(
            incoming, route, asked, workspace, identity, arrived
        )

    def _refuse_key(self, secret: str) -> None:
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
        """Return a key that is valid in all states that may be in force."""
        key = credentials.find_key(configuration, digest)
        for doubt in self._state.list_uncommitted():
            other = credentials.find_key(doubt.configuration, digest)
            if key is None or other is None:
                return None
            if other.workspace != key.workspace:
                return None
        return key

    def is_key_valid(self, digest: str) -> bool:
        """Return whether a running call's key is still valid."""
        configuration = self._state.configuration
        return self.find_valid_key(configuration, digest) is not None

    def _read_body(
        self,
        configuration: Configuration,
        routes: list[Route],
        incoming: IncomingRequest,
    ) -> ModelRequest:
        kinds = {configuration.models[r.model].kind for r in routes}
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

    def _pick(
        self,
        configuration: Configuration,
        routes: list[Route],
        asked: ModelRequest,
    ) -> Route:
        services = [
            r
            for r in routes
            if configuration.models[r.model].kind is TargetKind.SERVICE
        ]
        if services:
            return services[0]
        for route in routes:
            if route.model == asked.model:
                return route
        if not asked.model and len(routes) == 1:
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
            self._refuse_key(secret)
            return OPEN_WORKSPACE
        allowed = route.workspaces
        if allowed and identity.workspace not in allowed:
            raise CallError(
                Code.WORKSPACE_REFUSED,
                'the route is for other workspaces',
                _FORBIDDEN,
            )
        return identity.workspace

    def _check_secret(self, secret: str, incoming: IncomingRequest) -> None:
        if not secret:
            return
        if secret.encode() in incoming.body or secret in incoming.path:
            raise CallError(
                Code.BAD_REQUEST,
                'the path or body carries the key, which no target may see',
                _BAD_REQUEST,
            )

    def _build(
        self,
        incoming: IncomingRequest,
        route: Route,
        asked: ModelRequest,
        workspace: str,
        identity: _Identity | None,
        arrived: float,
    ) -> Call:
        model = self._state.configuration.models[route.model]
        secret = identity.secret if identity is not None else ''
        stripped = credentials.strip_credentials(
            incoming.path, incoming.query, incoming.headers, secret
        )
        tokens = math.ceil(len(asked.prompt) / model.bytes_per_token)
        limit = min(
            asked.max_output_tokens or route.max_output, route.max_output
        )
        is_model = model.kind is TargetKind.MODEL
        repeat_key = incoming.headers.get('Idempotency-Key', '')
        if len(repeat_key) > _MAX_IDEMPOTENCY_KEY:
            raise CallError(
                Code.BAD_REQUEST, 'the idempotency key is long', _BAD_REQUEST
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
            asked.prompt,
            tokens,
            limit,
            asked.streams,
            float(tokens + limit) if is_model else route.cost,
            arrived,
            arrived + route.timeout,
            repeat_key,
            make_fingerprint(workspace, incoming.path, incoming.body),
        )

    async def charge(self, call: Call) -> None:
        """Take a call's tokens from its workspace; raises if it can't."""
        if not call.is_charged():
            return
        started = self._clock.now()
        taken = await self._take(call)
        self._metrics.record_time(
            Timing.ADMISSION, self._clock.now() - started
        )
        if not taken:
            raise self._explain(call)

    async def _take(self, call: Call) -> bool:
        """Take a call's tokens; waits while new buckets are given out."""
        while not await self._lending.spend(
            call.workspace, call.charged_tokens
        ):
            age = self._clock.now() - self._state.configuration_adopted_at
            limit = self._state.shares.get_limit(call.workspace)
            if limit is None or call.charged_tokens > limit.burst:
                return False
            if age > _SETTLING:
                return False
            await asyncio.sleep(_SETTLING_PAUSE)
        return True

    def _explain(self, call: Call) -> CallError:
        limit = self._state.shares.get_limit(call.workspace)
        if limit is None or call.charged_tokens > limit.burst:
            text = 'the request needs more tokens than the burst'
            return CallError(Code.RATE_EXCEEDED, text, _TOO_MANY)
        lacking = (
            call.charged_tokens
            - self._state.shares.count_available_tokens(call.workspace)
        )
        wait = max(0.05, lacking / limit.rate)
        text = 'the workspace is above its rate'
        return CallError(Code.RATE_EXCEEDED, text, _TOO_MANY, retry_after=wait)

    def refund_unused(self, call: Call, used: float) -> None:
        """Give back what a call was charged beyond what it used."""
        if call.is_charged():
            self._state.shares.refund(
                call.workspace, call.charged_tokens - used
            )


__all__ = ['Admission', 'IncomingRequest']
