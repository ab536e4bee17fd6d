"""Planned work: its judge, and short seeded runs of daemon processes."""

from __future__ import annotations

import asyncio
import pathlib
import socket

from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import SAFE_PATH
import pytest
from soak.callers import check_read
from soak.callers import RequestOutcome
from soak.callers import RequestRecord
from soak.deployment import copy_programs
from soak.faults import FaultEvent
from soak.planned import End
from soak.planned import find_end
from soak.plannedwork import RESTART
from soak.run import run_seed
from soak.run import SeedOptions

_PLANNED_S = 5.0
_STOPPED_AT = 100.0


@pytest.mark.parametrize(
    ('written_at', 'ended_at', 'was_read', 'status', 'work', 'end'),
    [
        # Nobody has read it: the caller may send it again.
        (102.4, 102.9, False, 0, [], End.NOT_READ),
        # Read, but the connection ended at about the same time.
        (102.4, 102.5, True, 0, [], End.WITHIN_SLACK),
        (102.4, 102.7, True, 0, [], End.LOST_BY_VM),
        # A request that waits until the process ends.
        (99.0, 107.0, True, 0, [], End.LOST_BY_VM),
        # Sent on: neither the slack nor a reset excuses it.
        (102.4, 102.5, False, 0, [102.45], End.LOST_AT_REPLICA),
        (102.4, 102.5, False, 200, [], End.LOST_AT_REPLICA),
        # Also without SIGTERM, as beside SIGHUP or a configuration.
        (50.0, 52.0, True, 200, [52.0], End.LOST_AT_REPLICA),
        # The replica was at work in the last sixth of the grace.
        (102.9, 107.4, True, 200, [107.4], End.AT_WORK),
        (102.9, 106.5, True, 200, [106.5], End.LOST_AT_REPLICA),
        (103.1, 107.4, True, 200, [107.4], End.LOST_AT_REPLICA),
        # The timeout of its route was reached.
        (98.0, 107.0, True, 0, [], End.AT_DEADLINE),
    ],
)
def test_ends(
    written_at: float,
    ended_at: float,
    was_read: bool,
    status: int,
    work: list[float],
    end: End,
) -> None:
    """A request without an answer is lost unless something excuses it."""
    record = RequestRecord(
        'r1',
        SAFE_PATH,
        'vm0',
        KEY,
        written_at,
        ended_at,
        RequestOutcome.CONNECTION_CLOSED,
        status,
        written_at=written_at,
        was_read=was_read,
    )
    events = [
        FaultEvent(_STOPPED_AT, 107.4, RESTART, 'vm0'),
        FaultEvent(98.0, 105.4, RESTART, 'vm1'),
    ]
    assert find_end(record, work, events) is end


@pytest.mark.parametrize('reads', [True, False])
def test_closed_connections(reads: bool) -> None:
    """A request counts as read only if it arrived before the close.

    Its client sees the end of the connection in both cases.
    """

    async def find() -> bool:
        with socket.create_server(('127.0.0.1', 0)) as server:
            client = socket.create_connection(server.getsockname())
            accepted, _ = server.accept()
            with client:
                if reads:
                    client.sendall(b'request')
                    assert accepted.recv(100) == b'request'
                accepted.close()
                if not reads:
                    client.sendall(b'request')
                assert client.recv(100) == b''
                return await check_read(client)

    assert asyncio.run(find()) is reads


@pytest.mark.parametrize(('seed', 'vms'), [(1, 3)])
def test_seed_of_planned_work(
    seed: int, vms: int, tmp_path: pathlib.Path
) -> None:
    """No request is lost as VMs restart and get SIGHUP and configurations."""
    copy_programs(tmp_path)
    folder = tmp_path / str(seed)
    folder.mkdir()
    options = SeedOptions(_PLANNED_S, vms, planned=True)
    result = asyncio.run(run_seed(seed, folder, options))
    assert not result.violations, result.events
    assert result.served
    assert [e for e in result.events if e.kind == RESTART]
