"""A model server: streams, and KV cache of prompt parts by salt."""

from __future__ import annotations

import asyncio
import json
from typing import NamedTuple

from backend import Backend
import messages

_EVENTS = 3
_EVENT_PAUSE_S = 0.01
_SETUP_S = 0.02


class Part(NamedTuple):
    """A part of a prompt, as a server keeps it."""

    salt: str
    model: str
    identity: str


class CacheUse(NamedTuple):
    """A request that went on from a part that another one had made."""

    request_id: str
    tenant: str
    part: Part
    made_by: str


def parse_parts(text: str) -> list[str]:
    """Return the identities of a prompt's parts, in order."""
    return [item.strip().partition(':')[0] for item in text.split(',') if item]


class EngineBackend(Backend):
    """Answers generations with events; finds parts under the same salt only.

    A part is found if all parts before it are found too. ``makers`` holds
    the tenant whose request made a part.
    """

    def __init__(self, name: str, service: str, model: str) -> None:
        super().__init__(name, service, slots=48)
        self.model = model
        self.event_count = _EVENTS
        self.event_pause_s = _EVENT_PAUSE_S
        self.models = {model: 1}
        self.makers: dict[Part, str] = {}
        self.uses: list[CacheUse] = []

    async def handle(
        self, request: messages.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request, or one for the server's state."""
        if request.path.startswith('/lentilrun/report'):
            state = {
                'stage': 'unified',
                'models': [
                    {'name': n, 'version': v, 'adapters': []}
                    for n, v in self.models.items()
                ],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'active': 0,
                'kv-used': 0,
                'kv-total': 69174,
                'handles': 0,
                'born': self.born,
            }
            head = {'Content-Type': 'application/json'}
            writer.write(self.format(200, head, json.dumps(state).encode()))
            return
        expected = request.headers.get('x-expected-version')
        model = request.headers.get('x-model', '')
        if expected not in (None, str(self.models.get(model))):
            head = {'X-Instance-Id': self.name, 'X-Not-Executed': '1'}
            writer.write(self.format(421, head))
            return
        await super().handle(request, writer)

    def read_prompt(self, request: messages.Request) -> None:
        """Find the cached parts of a prompt, and keep the others."""
        tenant = request.headers.get('x-tenant-id', '')
        salt = request.headers.get('x-cache-salt', '')
        text = request.headers.get('x-prefix-hash', '')
        is_found = True
        for identity in parse_parts(text):
            part = Part(salt, request.headers.get('x-model', ''), identity)
            is_found = is_found and part in self.makers
            if not is_found:
                self.makers[part] = tenant
                continue
            self.uses.append(
                CacheUse(
                    request.headers.get('x-request-id', ''),
                    tenant,
                    part,
                    self.makers[part],
                )
            )

    async def run(
        self, request: messages.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a generation and send its events in chunks."""
        await asyncio.sleep(_SETUP_S)
        self.record(request)
        self.read_prompt(request)
        version = self.models[self.model]
        writer.write(
            (
                'HTTP/1.1 200 OK\r\n'
                f'X-Request-Id: {request.headers.get("x-request-id", "")}\r\n'
                f'X-Instance-Id: {self.name}\r\n'
                f'X-Response-Signature: {self.name}.{len(self.runs)}\r\n'
                f'X-Weight-Versions: {version}\r\n'
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        first = int(request.headers.get('last-event-id', '0')) + 1
        for number in range(first, self.event_count + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        writer.write(b'0\r\n\r\n')
