"""Reports of a later build whose kind this one does not know."""

from __future__ import annotations

import asyncio

from buildsamples import make_gossip
from lentilrun.gateway.messages import encode
from lentilrun.standins import timeloop
from modelledfleets import ModelledFleet
import msgspec
import pytest

_STARTED_S = 3.0


def test_reports_of_unknown_kinds_are_left_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stage or fate of a later build stops no other part of a message."""

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, {'a': 1}) as fleet:
            fleet.start()
            await asyncio.sleep(_STARTED_S)
            node = fleet.nodes['a000']
            lines: list[str] = []
            monkeypatch.setattr(
                node.log, 'write', lambda event, **_: lines.append(event)
            )
            fleet.state.put(
                'op',
                'rollout/app',
                b'{"service": "app", "to": "v2", "duration-s": 60}',
            )
            await asyncio.sleep(1.0)
            order = node.rollouts.by_service['app'].order.row_version
            message = make_gossip()
            replace = msgspec.structs.replace
            message = replace(
                message,
                is_leaving=False,
                port=node.settings.peer_port,
                rollouts=[
                    replace(message.rollouts[0], stage=99, order=o)
                    for o in (order, order + 1)
                ],
                rollout_outcomes=[
                    replace(message.rollout_outcomes[0], fate=99, order=order)
                ],
            )
            node.peers._receive_datagram(encode(message))
            assert 'peer_known' in lines
            assert 'peer_message_failed' not in lines
            assert not node.rollouts.by_service['app'].ledger.list_new()

    timeloop.run(main)
