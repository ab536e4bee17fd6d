"""Requests to model engines: reading their state and sending orders."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import PlatformError
from ..web.client import Request
from ..web.exchangeerrors import InterruptedExchangeError
from ..web.exchangeerrors import NotSentError
from .dialect import EXPECTED_INCARNATION
from .documents import Number

if TYPE_CHECKING:
    from ..decisions.facts import Target
    from ..web.client import Client

_REPORT_TIMEOUT_S = 0.4
_ORDER_TIMEOUT_S = 0.6
_OK = 200
_ACCEPTED = 202


class EngineReport(NamedTuple):
    """The state that an engine reports, some hundred milliseconds late.

    ``weights_versions`` holds the loaded version by model, and
    ``order_count`` the number of orders accepted since the engine started.
    ``started_at_ms`` is in milliseconds since 1970, nothing if not stated.
    """

    weights_versions: dict[str, int]
    is_busy: bool
    order_count: int
    started_at_ms: int | None = None


class WeightsLoadOrder(NamedTuple):
    """An order to load a version of a model's weights.

    ``fence`` grows each time that a VM acquires the lease anew, and stays
    the same when the ``holder`` renews it.
    ``expected_order_count`` is the order count that the engine must have to
    accept the order.
    """

    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected_order_count: int


class _WireLoadedModel(msgspec.Struct):
    name: str
    version: Number


class _WireReport(msgspec.Struct):
    # Required, so that no other response is taken for a report.
    models: list[_WireLoadedModel]
    busy: bool = False
    # The number of orders that the engine accepted; it does not number the
    # reports.
    sequence: Number = 0
    born: Number | None = None


_report_decoder = msgspec.json.Decoder(_WireReport)


async def read_report(
    client: Client, target: Target, timeout: float = _REPORT_TIMEOUT_S
) -> EngineReport:
    """Read the state of an engine within ``timeout`` seconds.

    Raises ``PlatformError``.
    """
    headers = {EXPECTED_INCARNATION: target.incarnation}
    request = Request('GET', '/lentilrun/report', headers, b'', timeout)
    try:
        response = await client.fetch(target.address, request)
        if response.status != _OK:
            message = (
                f'{target.incarnation} responded with status {response.status}'
            )
            raise PlatformError(message)
        wire_report = _report_decoder.decode(response.body)
    except (NotSentError, InterruptedExchangeError) as error:
        raise PlatformError(str(error)) from error
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        message = f'{target.incarnation} sent a malformed report'
        raise PlatformError(message) from error
    versions = {m.name: m.version for m in wire_report.models}
    return EngineReport(
        versions, wire_report.busy, wire_report.sequence, wire_report.born
    )


async def send_weights_load_order(
    client: Client, target: Target, order: WeightsLoadOrder
) -> bool:
    """Order an engine to load weights; return whether it accepts.

    Raises ``PlatformError`` if there is no response; the engine may carry
    out the order all the same.
    """
    body = msgspec.json.encode(
        {
            'operation': 'version',
            'model': order.model,
            'version': order.version,
            'mode': order.mode,
            'holder': order.holder,
            'fencing-token': order.fence,
            'expected': order.expected_order_count,
        }
    )
    headers = {
        EXPECTED_INCARNATION: target.incarnation,
        'Content-Type': 'application/json',
    }
    request = Request(
        'POST', '/lentilrun/order', headers, body, _ORDER_TIMEOUT_S
    )
    try:
        response = await client.fetch(target.address, request)
    except (NotSentError, InterruptedExchangeError) as error:
        raise PlatformError(str(error)) from error
    return response.status in (_OK, _ACCEPTED)


__all__ = [
    'EngineReport',
    'read_report',
    'send_weights_load_order',
    'WeightsLoadOrder',
]
