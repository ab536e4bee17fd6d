"""Streams arrive whole and in order; one request can't crash a fleet."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from harness import Fleet
from harness import is_whole
from harness import KEYS
from lentilrun.errors import LentilrunError
from lentilrun.web.client import ResponseHandler

_TOKENS = 600


def test_streams(tmp_path: pathlib.Path) -> None:
    """Targets crash and pause, VMs are killed, streams stay honest."""
    asyncio.run(_run(tmp_path))


async def _run(folder: pathlib.Path) -> None:
    async with Fleet(folder, vms=3, targets=4) as fleet:
        await fleet.apply(fleet.declare())
        await fleet.wait_units()
        await _resume_elsewhere(fleet)
        await _crash_target(fleet)
        await _pause_target(fleet)


def _numbers(body: bytes) -> list[int]:
    events = body.decode().split('\n\n')[:-1]
    heads = [e.split('\n')[0] for e in events]
    return [int(h[4:]) for h in heads if h.startswith('id: ')]


async def _resume_elsewhere(fleet: Fleet) -> None:
    """A VM dies within a stream; the caller resumes it at another."""
    receiver = ResponseHandler()
    stream = asyncio.create_task(
        fleet.open_chat(1, 'resume', _TOKENS, receiver)
    )
    await asyncio.sleep(0.6)
    fleet.kill('vm2')
    try:
        await stream
    except LentilrunError:
        pass
    first = receiver.response()
    token = first.headers['X-Stream-Token']
    seen = _numbers(first.body)
    assert seen == list(range(1, len(seen) + 1))
    address = fleet.vms[2].callers
    path = f'/v1/streams/{token}'
    stranger = await fleet.send(address, 'GET', path, X_Api_Key=KEYS['jepara'])
    assert stranger.status == 401
    rest = await fleet.send(
        address,
        'GET',
        path,
        X_Api_Key=KEYS['solo'],
        Last_Event_ID=str(len(seen)),
    )
    assert seen + _numbers(rest.body) == list(range(1, _TOKENS + 3))
    assert rest.body.strip().endswith(b'[DONE]')
    fleet.start_vm(fleet.vms[1])
    await fleet.wait_port(fleet.vms[1].callers)


async def _crash_target(fleet: Fleet) -> None:
    """A target dies: streams end in an error, never as if complete."""
    streams = [
        asyncio.create_task(fleet.chat(0, f'crash {i}', 'solo', _TOKENS))
        for i in range(12)
    ]
    await asyncio.sleep(0.5)
    fleet.kill('t1')
    for response in await asyncio.gather(*streams):
        if is_whole(response, _TOKENS):
            continue
        last = response.body.strip().split(b'\n\n')[-1]
        assert last.startswith(b'event: error')
        assert b'outcome unknown' in last
    fleet.start_target('t1')
    await fleet.wait_port(fleet.targets['t1'])
    # An innocent crash: none of these is refused afterwards.
    again = [fleet.chat(0, f'crash {i}', 'solo', 5) for i in range(12)]
    for response in await asyncio.gather(*again):
        assert is_whole(response, 5)


async def _pause_target(fleet: Fleet) -> None:
    """A paused target's requests go elsewhere, before their first event."""
    fleet.signal('t2', signal.SIGSTOP)
    sent = [fleet.chat(i % 3, f'pause {i}', 'solo', 5) for i in range(24)]
    responses = await asyncio.gather(*sent)
    fleet.signal('t2', signal.SIGCONT)
    assert all(is_whole(r, 5) for r in responses)


def test_a_poison_request(tmp_path: pathlib.Path) -> None:
    """The fleet loses two targets for it at most, wherever it is sent."""
    asyncio.run(_poison(tmp_path))


async def _poison(folder: pathlib.Path) -> None:
    async with Fleet(folder, vms=3, targets=5) as fleet:
        await fleet.apply(fleet.declare())
        await fleet.wait_units()
        for round_ in range(6):
            response = await fleet.chat(round_ % 3, 'POISON', 'solo', 5)
            assert response.status >= 400
            await asyncio.sleep(0.2)
        names = list(fleet.targets)
        dead = [n for n in names if fleet.processes[n].poll() is not None]
        assert 1 <= len(dead) <= 2
        others = [fleet.chat(i % 3, f'fine {i}') for i in range(12)]
        for response in await asyncio.gather(*others):
            assert is_whole(response, 10)
