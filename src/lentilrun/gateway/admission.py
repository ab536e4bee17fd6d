"""Whether a request is let in: configuration, route, key, quota."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from ..platform import dialect
from .call import Call
from .call import Reason
from .call import Refusal

if TYPE_CHECKING:
    from ..decisions.facts import Configuration
    from ..decisions.facts import Route
    from ..decisions.facts import Workspace
    from ..platform.dialect import CallerHeaders
    from .call import IncomingRequest
    from .logs import Log
    from .quotas import Quotas
    from .view import View

_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_TOO_LARGE = 413
_TOO_MANY = 429
_UNAVAILABLE = 503
_UNCONFIGURED_RETRY_S = 0.5
_PATIENCE_S = 30.0


class Admission:
    """Turns what came into a call, or raises ``Refusal``."""

    def __init__(self, view: View, quotas: Quotas, log: Log) -> None:
        self._view = view
        self._log = log
        self._quotas = quotas

    def admit(self, incoming: IncomingRequest) -> Call:
        """Return the call that a request makes, charged to its quota."""
        configuration = self._view.configuration
        if configuration is None:
            raise Refusal(
                _UNAVAILABLE, Reason.NOT_CONFIGURED, _UNCONFIGURED_RETRY_S
            )
        asked = dialect.read_caller_headers(incoming.headers)
        path = incoming.uri.partition('?')[0]
        route = configuration.find_route(asked.host, path)
        if route is None:
            raise Refusal(_NOT_FOUND, Reason.UNKNOWN_ROUTE)
        workspace = self._authorize(configuration, route, asked)
        if not asked.request_id:
            raise Refusal(_BAD_REQUEST, Reason.BAD_REQUEST)
        if len(incoming.body) > configuration.limits.body_bytes:
            raise Refusal(_TOO_LARGE, Reason.BODY_TOO_LARGE)
        call = self._make_call(incoming, route, workspace, asked)
        self._charge(call)
        return call

    def _authorize(
        self, configuration: Configuration, route: Route, asked: CallerHeaders
    ) -> Workspace | None:
        workspace = configuration.workspaces_by_key.get(asked.api_key)
        if (
            workspace is None
            and configuration.workspaces_by_key
            and not route.is_auth_exempt
        ):
            raise Refusal(_UNAUTHORIZED, Reason.KEY_REFUSED)
        return workspace

    def _make_call(
        self,
        incoming: IncomingRequest,
        route: Route,
        workspace: Workspace | None,
        asked: CallerHeaders,
    ) -> Call:
        patience = route.timeout
        if asked.client_timeout is not None:
            patience = min(patience, asked.client_timeout)
        elif not patience:
            patience = _PATIENCE_S
        return Call(
            asked.request_id,
            incoming,
            route,
            workspace,
            asked.prompt,
            asked.last_event_id,
            incoming.arrived_at + patience,
            _count_charge(workspace, asked),
            _make_fingerprint(incoming, asked),
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
            raise Refusal(_TOO_MANY, Reason.QUOTA, delay)


def _count_charge(workspace: Workspace | None, asked: CallerHeaders) -> float:
    if workspace is None:
        return 0.0
    if asked.prompt is None:
        return float(workspace.default_tokens)
    return float(asked.prompt.input_tokens + asked.prompt.output_tokens)


def _make_fingerprint(
    incoming: IncomingRequest, asked: CallerHeaders
) -> bytes:
    """Return a digest that is the same when a request is sent again."""
    digest = hashlib.blake2b(digest_size=8)
    digest.update(f'{asked.host}\n{incoming.uri}\n{asked.api_key}\n'.encode())
    digest.update(incoming.body)
    return digest.digest()


__all__ = [
    'Admission',
]
