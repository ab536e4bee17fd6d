"""Which build a VM runs, and what it says of messages that it can't read."""

from __future__ import annotations

import asyncio
import json
import pathlib
import re
import subprocess
import sys

from lentilrun.gateway import build as build_module
from lentilrun.gateway.build import BuildStatement
from lentilrun.gateway.build import FORMATS
from lentilrun.gateway.build import identify_build
from lentilrun.gateway.builds import make_statement
from lentilrun.gateway.messages import encode
from lentilrun.gateway.messages import RelayedRow
from lentilrun.gateway.messages import RelayedRows
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
import pytest

_STARTED_S = 3.0
_STATED_S = 6.0
_SENDER_TTL_S = 10.0
_MAX_SENDERS = 64


def test_build_follows_from_the_sources(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is known without git, the same everywhere, and new for a change."""
    assert re.fullmatch('[0-9a-f]{8}', identify_build())
    code = (
        'from lentilrun.gateway.build import identify_build;'
        'print(identify_build())'
    )
    other = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True
    )
    assert other.stdout.decode().strip() == identify_build()
    for part in build_module._PARTS:
        (tmp_path / part).mkdir()
    (tmp_path / 'gateway' / 'node.py').write_text('a = 1')
    monkeypatch.setattr(build_module, '_PACKAGE', tmp_path)
    first = identify_build.__wrapped__()
    (tmp_path / 'gateway' / 'node.py').write_text('a = 2')
    assert identify_build.__wrapped__() != first


@pytest.mark.parametrize(
    ('value', 'build'),
    [
        ({'build': 'next', 'formats': {'gossip': 2}}, 'next'),
        ({'build': 'next', 'later': [1, {'x': 2}]}, 'next'),
        ({'formats': {}}, 'unstated'),
        ({'build': 'x' * 4000}, 'x' * 64),
        ({'build': 5}, 'unstated'),
        ([], 'unstated'),
        ('nonsense', 'unstated'),
    ],
    ids=lambda value: str(value)[:30],
)
def test_statements_of_other_builds(
    value: object, build: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Names that are not known are ignored; what is missing is unstated."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, {'a': 2}) as fleet:
            fleet.start()
            await asyncio.sleep(_STARTED_S)
            node = fleet.nodes['a000']
            assert node.builds.count_by_build() == {identify_build(): 2.0}
            node.builds.by_peer.clear()
            row = RelayedRow('build', json.dumps(value).encode(), 0, False)
            others = RelayedRow('later', b'?', 0, False)
            for sender in ('a001', 'stranger'):
                relayed = RelayedRows(sender, 'statement', 0, 0, [others, row])
                node.peers._receive_datagram(encode(relayed))
            counts = node.builds.count_by_build()
            assert counts == {identify_build(): 1.0, build: 1.0}

    timeloop.run(main)


def test_statement_is_small() -> None:
    """It fits a packet, and says what formats the VM speaks."""
    data = encode(
        make_statement('vm2', BuildStatement(identify_build(), FORMATS))
    )
    assert len(data) < 1200
    assert min(FORMATS.values()) >= 1


def test_metrics_name_the_builds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Metrics hold the own build, the others', and unreadable messages."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, {'a': 2}) as fleet:
            fleet.start()
            await asyncio.sleep(_STARTED_S)
            node = fleet.nodes['a000']
            node.peers._receive_datagram(b'z', '10.0.0.9')
            text = node.metrics.render().decode()
            own = identify_build()
            for line in (
                f'lentilrun_build{{label="{own}"}} 1.0',
                f'lentilrun_builds{{label="{own}"}} 2.0',
                f'lentilrun_formats{{label="gossip"}} {FORMATS["gossip"]}.0',
                'lentilrun_peer_messages_unreadable 1.0',
                'lentilrun_peers_unreadable 1.0',
            ):
                assert line in text.splitlines()

    timeloop.run(main)


def test_unreadable_messages_are_logged_within_bounds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All count; each sender gets a line at times, and few are kept."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, {'a': 1}) as fleet:
            node = fleet.nodes['a000']
            lines: list[str] = []
            monkeypatch.setattr(
                node.log, 'write', lambda event, **_: lines.append(event)
            )
            for _ in range(100):
                node.peers._receive_datagram(b'z', '10.0.0.9')
                await asyncio.sleep(0.25)
            # 25 s, with a line at the start and each 10 s.
            assert lines == ['peer_message_unreadable'] * 3
            assert node.peers.unreadable.count_senders() == 1
            for number in range(1000):
                node.peers._receive_datagram(b'z', f'10.0.1.{number}')
            assert node.peers.unreadable.count == 1100
            assert node.peers.unreadable.count_senders() == _MAX_SENDERS
            assert len(lines) < 3 + _MAX_SENDERS
            await asyncio.sleep(_SENDER_TTL_S + 1.0)
            assert node.peers.unreadable.count_senders() == 0

    timeloop.run(main)
