"""Streams: no two runs joined, no sound stream ended, no end too early."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from deployments import CallerResponse
from deployments import Deployment
import pytest
from scriptedtargets import CHUNKED
from scriptedtargets import make_chunk
from scriptedtargets import make_chunked
from scriptedtargets import make_events
from scriptedtargets import Script
from scriptedtargets import ScriptedTargets

_RESUMABLE = '/talk/x'
_NOT_RESUMABLE = '/chat/x'


class _Case(NamedTuple):
    """What targets send, and what the caller is to receive."""

    path: str
    scripts: tuple[Script, ...]
    body: bytes
    is_whole: bool
    runs: int


_CASES = {
    'events of a target that states that it has not run': _Case(
        _NOT_RESUMABLE,
        (
            Script(
                f'{CHUNKED}X-Not-Executed: 1\r\n',
                (make_chunk(b'id: 1\ndata: other\n\n'), make_chunk(b'')),
            ),
            make_chunked(make_events(1), make_events(2)),
        ),
        make_events(1, 2),
        True,
        2,
    ),
    'break after a comment': _Case(
        _RESUMABLE,
        (
            make_chunked(b': a\n\n', is_ended=False),
            make_chunked(make_events(1)),
        ),
        b': a\n\n' + make_events(1),
        True,
        2,
    ),
}


async def _ask(case: _Case) -> tuple[CallerResponse, int]:
    async with Deployment() as deployment:
        async with ScriptedTargets(deployment, case.scripts) as targets:
            node = await deployment.start_node('vm1')
            response = await deployment.ask(node, case.path, b'x', '1000,50')
            return response, len(targets.resumed_after)


@pytest.mark.parametrize('case', _CASES.values(), ids=_CASES)
def test_runs_are_not_joined(case: _Case) -> None:
    """The caller receives one run, or one and the rest of it."""
    response, runs = asyncio.run(_ask(case))
    assert (response.status, response.body) == (200, case.body)
    assert response.is_whole is case.is_whole
    assert runs == case.runs
