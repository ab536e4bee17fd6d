"""Answers of other VMs that end with their connection."""

from __future__ import annotations

import asyncio

from earlydeployments import CASES
from earlydeployments import check_answer
from earlydeployments import CUTS
from earlydeployments import run_cut_off_vm
from earlydeployments import UPLOAD
from earlytargets import EarlyTarget
from earlytargets import Ending
from lentilrun.config.ini import Address
from lentilrun.gateway.node import Node
import pytest


def _redirect_forwarded_calls(node: Node, target: EarlyTarget) -> None:
    """Let a VM forward its calls to a target in place of another VM."""
    client = node.peer_client
    connect = client._connect

    async def connect_target(address: Address, timeout: float) -> object:
        return await connect(target.address, timeout)

    client._connect = connect_target  # type: ignore


@pytest.mark.parametrize('reads_body', [False, True])
@pytest.mark.parametrize('ending', CUTS)
@pytest.mark.parametrize('name', ['unsafe', 'stream', 'no stream of a stream'])
def test_part_of_an_answer_of_another_vm(
    name: str, ending: Ending, reads_body: bool
) -> None:
    """What ends with the connection of a VM is cut: VMs frame all answers."""
    case = CASES[name]

    async def body() -> None:
        target = EarlyTarget(case.packets, ending, reads_body=reads_body)
        async with (
            target,
            run_cut_off_vm(target, case.service) as (deployment, node),
        ):
            _redirect_forwarded_calls(node, target)
            response = await deployment.ask(
                node, case.path, UPLOAD, case.tokens()
            )
            assert target.requests
            check_answer(response)

    asyncio.run(body())
