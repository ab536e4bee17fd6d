"""VMs before targets that break off while a long upload is being sent."""

from __future__ import annotations

import asyncio

from earlydeployments import CASES
from earlydeployments import check_answer
from earlydeployments import CUTS
from earlydeployments import run_cut_off_vm
from earlydeployments import run_vm
from earlydeployments import SOUND_ANSWER
from earlydeployments import TOKENS
from earlydeployments import UPLOAD
from earlydeployments import wait_for_target
from earlytargets import EarlyTarget
from earlytargets import Ending
import pytest

_MAX_REQUESTS = 12


@pytest.mark.parametrize('ending', CUTS)
@pytest.mark.parametrize('name', CASES)
def test_part_of_an_answer_to_a_long_upload(name: str, ending: Ending) -> None:
    """Callers got a part as the whole answer."""
    case = CASES[name]

    async def body() -> None:
        async with (
            EarlyTarget(case.packets, ending) as target,
            run_vm() as (deployment, node),
        ):
            target.register(deployment, case.service)
            await wait_for_target(node, case.service)
            response = await deployment.ask(
                node, case.path, UPLOAD, case.tokens()
            )
            assert target.requests
            check_answer(response)

    asyncio.run(body())


@pytest.mark.parametrize('ending', CUTS)
@pytest.mark.parametrize('name', ['unsafe', 'stream'])
def test_part_of_an_answer_on_a_kept_connection(
    name: str, ending: Ending
) -> None:
    """The same on a connection over which the target answered before."""
    case = CASES[name]

    async def body() -> None:
        target = EarlyTarget(case.packets, ending, 1, (SOUND_ANSWER,))
        async with target, run_vm() as (deployment, node):
            target.register(deployment, case.service)
            await wait_for_target(node, case.service)
            first = await deployment.ask(node, case.path, b'x', case.tokens())
            assert (first.status, first.body) == (200, b'sound.')
            response = await deployment.ask(
                node, case.path, UPLOAD, case.tokens()
            )
            assert target.requests == 2
            check_answer(response)

    asyncio.run(body())


@pytest.mark.parametrize('ending', CUTS)
@pytest.mark.parametrize('name', ['safe', 'resumable stream'])
def test_part_of_an_answer_beside_a_sound_target(
    name: str, ending: Ending
) -> None:
    """The call is repeated, or its stream goes on, at the sound target."""
    case = CASES[name]

    async def body() -> None:
        async with (
            EarlyTarget(case.packets, ending) as target,
            run_vm() as (deployment, node),
        ):
            sound = deployment.add_replica('sound', case.service)
            sound.plan.event_count = 3
            target.register(deployment, case.service)
            await wait_for_target(node, case.service)
            events = [f'id: {n}\ndata: piece {n}\n\n' for n in (1, 2, 3)]
            whole = {b'{"ok":true}', ''.join(events).encode()}
            for _ in range(_MAX_REQUESTS):
                response = await deployment.ask(
                    node, case.path, UPLOAD, case.tokens()
                )
                assert response.status == 200
                assert response.is_whole
                assert response.body in whole
                if target.requests:
                    break
            assert target.requests

    asyncio.run(body())


@pytest.mark.parametrize('ending', CUTS)
@pytest.mark.parametrize('name', CASES)
def test_part_of_an_answer_to_a_forwarded_upload(
    name: str, ending: Ending
) -> None:
    """A part passed for the whole over two VMs."""
    case = CASES[name]

    async def body() -> None:
        async with (
            EarlyTarget(case.packets, ending) as target,
            run_cut_off_vm(target, case.service) as (deployment, node),
        ):
            response = await deployment.ask(
                node, case.path, UPLOAD, case.tokens()
            )
            assert target.requests
            check_answer(response)

    asyncio.run(body())


@pytest.mark.parametrize('ending', CUTS)
def test_cut_stream_of_an_old_caller(ending: Ending) -> None:
    """Without chunks, only a reset tells HTTP/1.0 callers of a cut."""
    case = CASES['stream']

    async def body() -> None:
        async with (
            EarlyTarget(case.packets, ending) as target,
            run_vm() as (deployment, node),
        ):
            target.register(deployment, case.service)
            await wait_for_target(node, case.service)
            request = deployment.make_request(case.path, UPLOAD, TOKENS, {})
            reader, writer = await asyncio.open_connection(
                *node.settings.entry
            )
            writer.write(request.replace(b'HTTP/1.1', b'HTTP/1.0', 1))
            head = await reader.readuntil(b'\r\n\r\n')
            if b' 200 ' in head:
                with pytest.raises(ConnectionResetError):
                    await reader.read()
                    await reader.read()
            else:
                assert b' 502 ' in head
            assert target.requests
            writer.close()

    asyncio.run(body())
