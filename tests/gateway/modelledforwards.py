"""Calls between the VMs of a modelled fleet, on simulated time."""

from __future__ import annotations

import asyncio
import collections
import functools
import json
from typing import TYPE_CHECKING

from productionbuild import find_module
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from lentilrun.config.ini import Address
    from lentilrun.gateway.node import Node
    from lentilrun.standins.timeloop import TimeLoop
    from lentilrun.web.client import Request
    from lentilrun.web.client import ResponseHandler
    from modelledfleets import ModelledFleet

_NETWORK_S = 0.001
_CALL_HEADER = 'Lentilrun-Forwarded'


class _Writer:
    """Passes a response to another VM; implements ``ResponseWriter``."""

    def __init__(self, handler: ResponseHandler) -> None:
        self._handler = handler

    async def begin(
        self, status: int, headers: HTTPHeaders, data: bytes = b''
    ) -> None:
        """Pass on the head of a streamed response and its first data.

        The build in production passes on its data afterwards.
        """
        headers['Transfer-Encoding'] = 'chunked'
        self._handler.receive_head(status, headers)
        if data:
            await self.write(data)

    async def write(self, data: bytes) -> None:
        """Pass on data of a streamed response."""
        relaying = self._handler.receive_chunk(data)
        if relaying is not None:
            await relaying

    async def finish(self) -> None:
        """Pass on the end of a streamed response."""

    async def send(
        self, status: int, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Pass on a whole response."""
        headers['Content-Length'] = str(len(body))
        self._handler.receive_head(status, headers)
        if body:
            self._handler.receive_chunk(body)

    def abort(self) -> None:
        """Pass on the end of a response that broke off."""


class ModelledForwards:
    """Calls that VMs forward to each other; ``received`` counts them.

    VMs in ``portless`` take none: connections to them are refused. Those in
    ``shortened`` get a header without its last field.
    """

    def __init__(self, loop: TimeLoop, fleet: ModelledFleet) -> None:
        self._loop = loop
        self._fleet = fleet
        self.received: collections.Counter[str] = collections.Counter()
        self.portless: set[str] = set()
        self.shortened: set[str] = set()
        self._handlers = {
            name: find_module(
                node, 'gateway.forwardport'
            ).ForwardedCallHandler(
                node.admission,
                node.dispatcher,
                node.view,
                node.settings.power,
                node.log,
            )
            for name, node in fleet.nodes.items()
        }
        for node in fleet.nodes.values():
            client = node.peer_client
            client.exchange = functools.partial(  # type: ignore[method-assign]
                self._exchange, node
            )

    async def _exchange(
        self,
        sender: Node,
        address: Address,
        request: Request,
        handler: ResponseHandler,
        reuse: bool = True,
    ) -> None:
        await asyncio.sleep(_NETWORK_S)
        node: Node = self._fleet.find_vm(address)
        if node.settings.name in self.portless:
            raise find_module(sender, 'web.client').NotSentError('refused')
        headers = HTTPHeaders(request.headers)
        if node.settings.name in self.shortened:
            fields = json.loads(headers[_CALL_HEADER])
            headers[_CALL_HEADER] = json.dumps(fields[:-1])
        port = self._handlers[node.settings.name]
        build = find_module(node, 'gateway.call')
        incoming = build.IncomingRequest(
            request.method,
            request.path,
            headers,
            request.body,
            self._loop.time(),
        )
        writer = _Writer(handler)
        try:
            call = port.admit(incoming)
            self.received[node.settings.name] += 1
            await port.run(call, writer)
        except build.Refusal as refusal:
            headers = port.make_refusal_headers('', refusal)
            await writer.send(refusal.status, headers, b'{}')


__all__ = ['ModelledForwards']
