"""Calls to a model engine itself: its state, and orders to it."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import PlatformError
from ..web.client import InterruptedExchangeError
from ..web.client import NotSentError
from ..web.client import Request
from .dialect import EXPECTED_INCARNATION

if TYPE_CHECKING:
    from ..decisions.facts import Target
    from ..web.client import Client

_REPORT_TIMEOUT_S = 0.4
_ORDER_TIMEOUT_S = 0.6
_OK = 200
_ACCEPTED = 202


class EngineReport(NamedTuple):
    """What an engine says of itself, some hundred ms late.

    ``order_count`` counts the orders it took since its start.
    """

    weights_versions: dict[str, int]
    is_busy: bool
    order_count: int


class WeightsLoadOrder(NamedTuple):
    """An order to load a version of a model's weights.

    ``fence`` grows with each new holder of the lease; ``expected_order_count``
    is the count that the engine must report for the order to hold.
    """

    model: str
    version: int
    mode: str
    holder: str
    fence: int
    expected_order_count: int


class _WireModel(msgspec.Struct):
    name: str
    version: int


class _WireReport(msgspec.Struct):
    models: list[_WireModel] = []
    busy: bool = False
    # Counts orders; nothing to do with the order of reports.
    sequence: int = 0


_decoder = msgspec.json.Decoder(_WireReport)


async def read_report(client: Client, target: Target) -> EngineReport:
    """Ask an engine for its state; raises ``PlatformError``."""
    headers = {EXPECTED_INCARNATION: target.incarnation}
    request = Request(
        'GET', '/lentilrun/report', headers, b'', _REPORT_TIMEOUT_S
    )
    try:
        response = await client.fetch(target.address, request)
        if response.status != _OK:
            text = f'{target.incarnation} said {response.status}'
            raise PlatformError(text)
        found = _decoder.decode(response.body)
    except (NotSentError, InterruptedExchangeError) as error:
        raise PlatformError(str(error)) from error
    except msgspec.MsgspecError as error:
        text = f'{target.incarnation} sent an odd report'
        raise PlatformError(text) from error
    versions = {m.name: m.version for m in found.models}
    return EngineReport(versions, found.busy, found.sequence)


async def send_weights_load_order(
    client: Client, target: Target, order: WeightsLoadOrder
) -> bool:
    """Order an engine to load weights; return whether it took the order.

    Raises ``PlatformError`` if no answer came: it may be carried out.
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
