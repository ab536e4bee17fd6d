"""VMs before targets that answer with an odd status."""

from __future__ import annotations

import asyncio

from earlydeployments import EVENT
from earlydeployments import OWN_FIELDS
from earlydeployments import run_cut_off_vm
from earlydeployments import run_vm
from earlydeployments import SOUND_ANSWER
from earlydeployments import TOKENS
from earlydeployments import wait_for_target
from earlytargets import EarlyTarget
from earlytargets import Ending
import pytest


_STATUSES = ('000', '099', '101', '600', '999')
_FRAMES = {
    'length': b'Content-Length: 20\r\n' + OWN_FIELDS + b'\r\n' + EVENT[:20],
    'chunks': b'Transfer-Encoding: chunked\r\n'
    + OWN_FIELDS
    + b'\r\n6\r\na part\r\n0\r\n\r\n',
    'stream': b'Content-Type: text/event-stream\r\n'
    + OWN_FIELDS
    + b'Content-Length: 20\r\n\r\n'
    + EVENT[:20],
    'none': OWN_FIELDS + b'\r\na part',
}


@pytest.mark.parametrize('after', [b'', SOUND_ANSWER])
@pytest.mark.parametrize('frame', _FRAMES)
@pytest.mark.parametrize('status', _STATUSES)
@pytest.mark.parametrize('path', ['/plain/x', '/once/x', '/chat/x'])
def test_answer_whose_status_is_none(
    path: str, status: str, frame: str, after: bytes
) -> None:
    """A status of 000 reached callers, or the response behind it did."""
    service = 'llm' if path == '/chat/x' else 'app'

    async def body() -> None:
        line = b'HTTP/1.1 %s Odd\r\n' % status.encode()
        packets = (line + _FRAMES[frame] + after,)
        async with (
            EarlyTarget(packets, Ending.FIN, reads_body=True) as target,
            run_vm() as (deployment, node),
        ):
            target.register(deployment, service)
            await wait_for_target(node, service)
            tokens = TOKENS if service == 'llm' else ''
            response = await deployment.ask(node, path, b'x', tokens)
            assert target.requests
            assert response.status == 502
            assert b'sound.' not in response.body

    asyncio.run(body())


@pytest.mark.parametrize('status', _STATUSES)
@pytest.mark.parametrize('path', ['/once/x', '/chat/x'])
def test_status_that_is_none_of_a_forwarded_call(
    path: str, status: str
) -> None:
    """A status of 000 passed over two VMs."""
    service = 'llm' if path == '/chat/x' else 'app'

    async def body() -> None:
        line = b'HTTP/1.1 %s Odd\r\n' % status.encode()
        packets = (line + _FRAMES['length'] + SOUND_ANSWER,)
        target = EarlyTarget(packets, Ending.FIN, reads_body=True)
        async with (
            target,
            run_cut_off_vm(target, service) as (deployment, node),
        ):
            tokens = TOKENS if service == 'llm' else ''
            response = await deployment.ask(node, path, b'x', tokens)
            assert target.requests
            assert response.status == 502

    asyncio.run(body())


@pytest.mark.parametrize('status', [200, 204, 205, 299, 304, 418, 500, 599])
@pytest.mark.parametrize('length', [None, 0])
def test_answer_without_a_body(status: int, length: int | None) -> None:
    """Callers can read the next answer behind one that has no body."""

    async def body() -> None:
        line = b'HTTP/1.1 %d Status\r\nConnection: close\r\n' % status
        line += OWN_FIELDS
        if length is not None and status != 204:
            line += b'Content-Length: %d\r\n' % length
        target = EarlyTarget((line + b'\r\n',), Ending.FIN, reads_body=True)
        async with target, run_vm() as (deployment, node):
            target.register(deployment, 'app')
            await wait_for_target(node, 'app')
            reader, writer = await asyncio.open_connection(
                *node.settings.entry
            )
            for _ in range(2):
                writer.write(deployment.make_request('/once/x', b'x', '', {}))
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 %d ' % status)
                is_bodiless = status in (204, 304)
                assert (b'Content-Length: 0\r\n' in head) is not is_bodiless
            writer.close()

    asyncio.run(body())


_UNIDENTIFIED = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n'
    b'X-Response-Signature: s\r\n\r\nextra'
)


@pytest.mark.parametrize('path', ['/plain/x', '/once/x'])
def test_part_behind_an_unidentified_answer(path: str) -> None:
    """A rejected answer hid that the one behind it was not read to its end."""

    async def body() -> None:
        head = b'HTTP/1.1 200 OK\r\n' + OWN_FIELDS + b'\r\n'
        packets = (_UNIDENTIFIED + head + b'a part', b' and the rest')
        target = EarlyTarget(
            packets, Ending.FIN, 1, (SOUND_ANSWER,), reads_body=True
        )
        async with target, run_vm() as (deployment, node):
            target.register(deployment, 'app')
            await wait_for_target(node, 'app')
            first = await deployment.ask(node, path, b'x')
            assert first.body == b'sound.'
            response = await deployment.ask(node, path, b'x')
            assert target.requests >= 2
            assert response.status == 502 or response.body == b'extra'

    asyncio.run(body())
