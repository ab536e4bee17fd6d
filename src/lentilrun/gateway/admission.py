"""Admission of requests: configuration, route, API key and quota."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from ..platform import dialect
from ..web.body import read_body
from .call import Call
from .call import Reason
from .call import Refusal

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

    from ..decisions.facts import Configuration
    from ..decisions.facts import Route
    from ..decisions.facts import Workspace
    from ..platform.dialect import CallerHeaders
    from .call import IncomingRequest
    from .logs import Log
    from .quotas import Quotas
    from .regions import Regions
    from .view import View

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_CONTENT_TOO_LARGE = 413
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503
_UNCONFIGURED_RETRY_AFTER_S = 0.5
# Larger bodies are refused whatever the operators allow.
_MAX_BODY_BYTES = 16 * 1024 * 1024
# Timeout of a request if neither its route nor its caller sets one.
_DEFAULT_TIMEOUT_S = 30.0


class Admission:
    """Checks requests and makes calls of those that it admits."""

    def __init__(
        self, view: View, quotas: Quotas, regions: Regions, log: Log
    ) -> None:
        self._view = view
        self._regions = regions
        self._log = log
        self._quotas = quotas

    def admit(
        self, incoming: IncomingRequest, is_charged: bool = True
    ) -> Call:
        """Return the call for a request.

        It is charged to its workspace's quota if ``is_charged``. Raises
        ``Refusal`` if the request is not admitted.
        """
        configuration = self._view.configuration
        if configuration is None:
            raise Refusal(
                _UNAVAILABLE,
                Reason.NOT_CONFIGURED,
                _UNCONFIGURED_RETRY_AFTER_S,
            )
        caller_headers = dialect.read_caller_headers(incoming.headers)
        path = incoming.uri.partition('?')[0]
        route = configuration.find_route(caller_headers.host, path)
        if route is None:
            raise Refusal(_NOT_FOUND, Reason.UNKNOWN_ROUTE)
        workspace = self._authorize(configuration, route, caller_headers)
        # A path beyond ASCII is no HTTP and would be encoded anew on its way.
        if not caller_headers.request_id or not incoming.uri.isascii():
            raise Refusal(_BAD_REQUEST, Reason.BAD_REQUEST)
        if len(incoming.body) > configuration.limits.body_bytes:
            raise Refusal(_CONTENT_TOO_LARGE, Reason.BODY_TOO_LARGE)
        call = self._make_call(incoming, route, workspace, caller_headers)
        if is_charged:
            self._charge(call)
        return call

    def preview(self, incoming: IncomingRequest) -> Call:
        """Return the call that a request would become, without a charge.

        Raises ``Refusal`` if the request would not be admitted.
        """
        call = self.admit(incoming, is_charged=False)
        if call.workspace is not None and call.workspace.rate:
            delay = self._quotas.compute_delay(
                call.workspace, call.charged_tokens
            )
            if delay:
                raise Refusal(_TOO_MANY_REQUESTS, Reason.QUOTA, delay)
        return call

    def limit_body(self) -> int:
        """Return the largest body that is admitted, in bytes."""
        configuration = self._view.configuration
        if configuration is None:
            return _MAX_BODY_BYTES
        return min(_MAX_BODY_BYTES, configuration.limits.body_bytes)

    def identify(self, headers: HTTPHeaders) -> str:
        """Return the workspace of a request, empty if it has none."""
        configuration = self._view.configuration
        if configuration is None:
            return ''
        workspace = configuration.workspaces_by_key.get(
            dialect.read_api_key(headers)
        )
        return workspace.name if workspace is not None else ''

    def _authorize(
        self,
        configuration: Configuration,
        route: Route,
        caller_headers: CallerHeaders,
    ) -> Workspace | None:
        workspace = configuration.workspaces_by_key.get(caller_headers.api_key)
        if (
            workspace is None
            and configuration.requires_key
            and not route.is_auth_exempt
        ):
            raise Refusal(_UNAUTHORIZED, Reason.KEY_REFUSED)
        return workspace

    def _make_call(
        self,
        incoming: IncomingRequest,
        route: Route,
        workspace: Workspace | None,
        caller_headers: CallerHeaders,
    ) -> Call:
        timeout = route.timeout
        if caller_headers.client_timeout is not None:
            timeout = min(timeout, caller_headers.client_timeout)
        elif not timeout:
            timeout = _DEFAULT_TIMEOUT_S
        return Call(
            caller_headers.request_id,
            incoming,
            route,
            workspace,
            caller_headers.prompt,
            caller_headers.last_event_id,
            incoming.arrived_at + timeout,
            _compute_charge(workspace, caller_headers),
            _compute_fingerprint(incoming, caller_headers),
            restriction=self._regions.find(route, workspace),
        )

    def _charge(self, call: Call) -> None:
        if call.workspace is None or not call.workspace.rate:
            return
        delay = self._quotas.charge(call.workspace, call.charged_tokens)
        if delay:
            self._log.write(
                'quota_exceeded',
                id=call.request_id,
                workspace=call.workspace.name,
                rate=call.workspace.rate,
                burst=call.workspace.burst,
                used=round(self._quotas.used_tokens(call.workspace)),
                charge=call.charged_tokens,
            )
            raise Refusal(_TOO_MANY_REQUESTS, Reason.QUOTA, delay)


def _compute_charge(
    workspace: Workspace | None, caller_headers: CallerHeaders
) -> float:
    if workspace is None:
        return 0.0
    if caller_headers.prompt is None:
        return float(workspace.default_tokens)
    return float(
        caller_headers.prompt.input_tokens
        + caller_headers.prompt.output_tokens
    )


def _compute_fingerprint(
    incoming: IncomingRequest, caller_headers: CallerHeaders
) -> bytes:
    """Return a digest that stays the same if the request is repeated."""
    digest = hashlib.blake2b(digest_size=8)
    digest.update(
        (
            f'{caller_headers.host}\n{incoming.uri}\n'
            f'{caller_headers.api_key}\n'
        ).encode()
    )
    digest.update(read_body(incoming.body))
    return digest.digest()


__all__ = [
    'Admission',
]
