"""Streams under failures, and requests that crash targets."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from harness import API_KEYS
from harness import FleetProcesses
from harness import is_complete_stream
from lentilrun.errors import LentilrunError
from lentilrun.web.client import ResponseHandler

_TOKENS = 600


def test_streams(tmp_path: pathlib.Path) -> None:
    """Streams are complete and in order, or end with an error event."""
    asyncio.run(_run(tmp_path))


async def _run(folder: pathlib.Path) -> None:
    async with FleetProcesses(folder, vms=3, targets=4) as fleet:
        await fleet.apply(fleet.make_declaration())
        await fleet.wait_until_settled()
        await _resume_elsewhere(fleet)
        await _crash_target(fleet)
        await _pause_target(fleet)


def _parse_event_ids(body: bytes) -> list[int]:
    events = body.decode().split('\n\n')[:-1]
    heads = [e.split('\n')[0] for e in events]
    return [int(h[4:]) for h in heads if h.startswith('id: ')]


async def _resume_elsewhere(fleet: FleetProcesses) -> None:
    """A VM is killed during a stream; the caller resumes on another VM."""
    receiver = ResponseHandler()
    stream = asyncio.create_task(
        fleet.stream_chat(1, 'resume', _TOKENS, receiver)
    )
    await asyncio.sleep(0.6)
    fleet.kill('vm2')
    try:
        await stream
    except LentilrunError:
        pass
    first_response = receiver.response()
    token = first_response.headers['X-Stream-Token']
    received = _parse_event_ids(first_response.body)
    assert received == list(range(1, len(received) + 1))
    address = fleet.vms[2].callers
    path = f'/v1/streams/{token}'
    foreign = await fleet.send(
        address, 'GET', path, X_Api_Key=API_KEYS['jepara']
    )
    assert foreign.status == 401
    remainder = await fleet.send(
        address,
        'GET',
        path,
        X_Api_Key=API_KEYS['solo'],
        Last_Event_ID=str(len(received)),
    )
    assert received + _parse_event_ids(remainder.body) == list(
        range(1, _TOKENS + 3)
    )
    assert remainder.body.strip().endswith(b'[DONE]')
    fleet.start_vm(fleet.vms[1])
    await fleet.wait_for_port(fleet.vms[1].callers)


async def _crash_target(fleet: FleetProcesses) -> None:
    """A target is killed: its streams end with an error event."""
    streams = [
        asyncio.create_task(fleet.chat(0, f'crash {i}', 'solo', _TOKENS))
        for i in range(12)
    ]
    await asyncio.sleep(0.5)
    fleet.kill('t1')
    for response in await asyncio.gather(*streams):
        if is_complete_stream(response, _TOKENS):
            continue
        last = response.body.strip().split(b'\n\n')[-1]
        assert last.startswith(b'event: error')
        assert b'outcome unknown' in last
    fleet.start_target('t1')
    await fleet.wait_for_port(fleet.targets['t1'])
    # The crash wasn't the requests' fault; none may be quarantined.
    repeated = [fleet.chat(0, f'crash {i}', 'solo', 5) for i in range(12)]
    for response in await asyncio.gather(*repeated):
        assert is_complete_stream(response, 5)


async def _pause_target(fleet: FleetProcesses) -> None:
    """A paused target's requests are retried before the first event."""
    fleet.send_signal('t2', signal.SIGSTOP)
    chats = [fleet.chat(i % 3, f'pause {i}', 'solo', 5) for i in range(24)]
    responses = await asyncio.gather(*chats)
    fleet.send_signal('t2', signal.SIGCONT)
    assert all(is_complete_stream(r, 5) for r in responses)


def test_poison_request(tmp_path: pathlib.Path) -> None:
    """A request that crashes targets crashes two at most, on any VM."""
    asyncio.run(_poison(tmp_path))


async def _poison(folder: pathlib.Path) -> None:
    async with FleetProcesses(folder, vms=3, targets=5) as fleet:
        await fleet.apply(fleet.make_declaration())
        await fleet.wait_until_settled()
        for round_ in range(6):
            response = await fleet.chat(round_ % 3, 'POISON', 'solo', 5)
            assert response.status >= 400
            await asyncio.sleep(0.2)
        names = list(fleet.targets)
        exited = [n for n in names if fleet.processes[n].poll() is not None]
        assert 1 <= len(exited) <= 2
        later_chats = [fleet.chat(i % 3, f'fine {i}') for i in range(12)]
        for response in await asyncio.gather(*later_chats):
            assert is_complete_stream(response, 10)
