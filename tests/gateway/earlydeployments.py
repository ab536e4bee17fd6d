"""Deployments whose only target of a service answers early."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
from typing import NamedTuple
from typing import TYPE_CHECKING

from deployments import Deployment
from deployments import wait_until
from earlytargets import Ending
from earlytargets import LONG_UPLOAD_BYTES
from targetcuts import Cut
from targetcuts import TargetPaths

if TYPE_CHECKING:
    from deployments import CallerResponse
    from earlytargets import EarlyTarget
    from lentilrun.gateway.node import Node

UPLOAD = b'u' * LONG_UPLOAD_BYTES
TOKENS = '300,20'
OWN_FIELDS = b'X-Request-Id: {id}\r\nX-Response-Signature: s\r\n'
HEAD = b'HTTP/1.1 200 OK\r\n' + OWN_FIELDS + b'\r\n'
_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    + OWN_FIELDS
    + b'\r\n'
)
SOUND_ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n' + OWN_FIELDS + b'\r\nsound.'
)
EVENT = b'id: 1\ndata: piece 1\n\n'
CUTS = [e for e in Ending if e not in (Ending.OPEN, Ending.FIN_THEN_READ)]


class Case(NamedTuple):
    """A route of a service, and what its early target sends."""

    path: str
    service: str
    packets: tuple[bytes, ...]

    def tokens(self) -> str:
        """Return the token usage that its callers state."""
        return TOKENS if self.service == 'llm' else ''


CASES = {
    'safe': Case('/plain/x', 'app', (HEAD, b'a part')),
    'unsafe': Case('/once/x', 'app', (HEAD, b'a part')),
    'stream': Case('/chat/x', 'llm', (_STREAM_HEAD, EVENT)),
    'resumable stream': Case('/talk/x', 'llm', (_STREAM_HEAD, EVENT)),
    'no stream of a stream': Case('/chat/x', 'llm', (HEAD, b'a part')),
}


def check_answer(response: CallerResponse) -> None:
    """Check that a caller can't take a response for a whole one."""
    assert response.status == 502 or not response.is_whole
    if response.status == 200:
        assert EVENT.startswith(response.body)


@contextlib.asynccontextmanager
async def run_vm() -> AsyncIterator[tuple[Deployment, Node]]:
    """Run one VM."""
    async with Deployment() as deployment:
        yield deployment, await deployment.start_node('vm1')


async def wait_for_target(node: Node, service: str) -> None:
    """Wait until a VM knows a target of a service."""
    targets = node.targets
    await wait_until(lambda: targets.has_target_left(service, None))


@contextlib.asynccontextmanager
async def run_cut_off_vm(
    target: EarlyTarget, service: str
) -> AsyncIterator[tuple[Deployment, Node]]:
    """Run a VM that reaches no target, and one that reaches all."""
    async with Deployment() as deployment:
        other = 'app' if service == 'llm' else 'llm'
        deployment.add_replica('sound', other)
        target.register(deployment, service)
        deployment.addresses['early'] = str(target.address)
        node = await deployment.start_node('vm1')
        helper = await deployment.start_node('vm2')
        await wait_until(lambda: bool(node.peers.list_responsive()))
        await wait_until(lambda: bool(helper.peers.list_responsive()))
        await wait_for_target(node, service)
        async with TargetPaths(node, deployment) as paths:
            paths.cut(Cut.RESET)
            tokens = TOKENS if other == 'llm' else ''
            path = '/talk/x' if other == 'llm' else '/plain/x'
            await deployment.ask(node, path, b'x', tokens)
            await wait_until(node.reachability.is_cut_off)
            yield deployment, node


__all__ = [
    'Case',
    'CASES',
    'check_answer',
    'CUTS',
    'EVENT',
    'OWN_FIELDS',
    'run_cut_off_vm',
    'run_vm',
    'SOUND_ANSWER',
    'TOKENS',
    'UPLOAD',
    'wait_for_target',
]
