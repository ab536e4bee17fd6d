"""A process stays within its memory and descriptors under any clients.

Each test starts the daemon's own process with lowered limits, and measures
it from outside. They run one at a time, apart from other tests.
"""

from __future__ import annotations

import asyncio
import pathlib

from deployments import Deployment
import floodclients
from floodclients import Body
from floodclients import Daemon
import pytest

pytestmark = pytest.mark.alone

_LEGAL_BYTES = 3_900_000
_EXCESSIVE_BYTES = 15_000_000
_ENDLESS_BYTES = 64_000_000
_LARGE_CHUNK_BYTES = 60_000
_SMALL_CHUNK_BYTES = 64
_HALF_HEAD = b'POST / HTTP/1.1\r\nHost: example\r\nX-Rest: ' + b'x' * 1000

_FORMS: dict[str, tuple[int, Body]] = {
    'whole': (40, floodclients.make_whole_body(_LEGAL_BYTES)),
    'pieces': (40, floodclients.make_stalled_body(_LEGAL_BYTES)),
    'large-chunks': (
        40,
        floodclients.make_chunked_body(_LEGAL_BYTES, _LARGE_CHUNK_BYTES),
    ),
    'small-chunks': (
        24,
        floodclients.make_chunked_body(_LEGAL_BYTES, _SMALL_CHUNK_BYTES),
    ),
    'declared-excess': (
        12,
        floodclients.make_stalled_body(_EXCESSIVE_BYTES),
    ),
    'undeclared-excess': (
        12,
        floodclients.make_chunked_body(_ENDLESS_BYTES, _LARGE_CHUNK_BYTES),
    ),
}
_CONNECTIONS = 300


def _run(
    requests: list[tuple[bytes, Body | None]], folder: pathlib.Path
) -> None:
    """Send requests at once to a daemon and check what it uses."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.configure(floodclients.make_limited_configuration())
            for name in ('a1', 'a2'):
                deployment.add_replica(name, 'app')
            async with Daemon(deployment, folder) as daemon:
                response = await floodclients.flood(daemon, requests)
                peak = daemon.peak()
                print(
                    f'peak {peak.memory / 1e6:.1f} MB,'
                    f' {peak.descriptors} descriptors'
                )
                assert daemon.is_running()
                assert response is not None
                assert response.status == 200
        assert peak.memory <= floodclients.memory_bound()
        assert peak.descriptors <= (
            floodclients.MAX_FDS - floodclients.RESERVED_FDS
        )

    asyncio.run(body())


@pytest.mark.parametrize('form', _FORMS)
def test_bodies(form: str, tmp_path: pathlib.Path) -> None:
    """Bodies that do not fit into the memory are not kept in it."""
    count, body = _FORMS[form]
    head = floodclients.make_head(body.declared)
    _run([(head, body)] * count, tmp_path)


def test_idle_connections(tmp_path: pathlib.Path) -> None:
    """Connections that send no whole head do not use up descriptors."""
    heads = (b'', _HALF_HEAD)
    _run([(heads[n % 2], None) for n in range(_CONNECTIONS)], tmp_path)
