"""``lentilrun explain --vm``: what it prints, and its exit codes."""

from __future__ import annotations

import asyncio
import functools
import json
import pathlib
from typing import NamedTuple

from deployments import Deployment
from deployments import wait_until
from lentilrun.session.cmd.queries.explain import explain
from lentilrun.session.exits import Exit
from lentilrun.standins.configuration import HOST
from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import MODEL
import pytest

_REQUEST = (
    f'POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: asked\r\n'
    'Api-Key: %s\r\n\r\nbody'
)


def _explain(**options: str | bool) -> int:
    """Run the command for a VM that has one target of each service."""

    async def body() -> int:
        async with Deployment() as deployment:
            deployment.add_replica('a1', 'app')
            deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            await wait_until(lambda: len(node.targets.states) == 2)
            metrics = deployment._ports.reserve_address()
            node.serve_metrics(metrics)
            run = functools.partial(explain, vm=str(metrics), **options)
            code = await asyncio.to_thread(run)
            node.metrics_server.stop()
            assert not any(s.runs for s in deployment.replicas.values())
            return code

    return asyncio.run(body())


class _Case(NamedTuple):
    """Options of the command, its exit code and a part of its output."""

    options: dict[str, str]
    exit_code: Exit
    output: str


_BY_PREFIX = {'workspace': 'workspace', 'model': MODEL, 'prefix': 'aa:500'}

_CASES = {
    'by prefix': _Case(_BY_PREFIX, Exit.DONE, 'sent to e1'),
    'by path': _Case(
        {'path': '/plain/x', 'host': HOST, 'workspace': 'workspace'},
        Exit.DONE,
        'sent to a1',
    ),
    'no key': _Case(
        {'path': '/plain/x', 'host': HOST},
        Exit.WOULD_REFUSE,
        'refused with 401 key_refused: no workspace holds the key',
    ),
    'over the quota': _Case(
        {**_BY_PREFIX, 'tokens': '900000,1'},
        Exit.WOULD_REFUSE,
        'refused with 429 quota',
    ),
    'unknown model': _Case(
        {**_BY_PREFIX, 'model': 'other'},
        Exit.INVALID_QUERY,
        "unknown_model: no route has the model 'other'; there are model",
    ),
    'unknown workspace': _Case(
        {**_BY_PREFIX, 'workspace': 'other'},
        Exit.INVALID_QUERY,
        "workspace_refused: no workspace 'other'",
    ),
    'no prefix': _Case(
        {**_BY_PREFIX, 'prefix': 'aa:x'},
        Exit.INVALID_QUERY,
        'is not a prefix as ID:TOKENS',
    ),
    'no file': _Case({'request': '/none'}, Exit.INVALID_QUERY, '/none'),
    'an id': _Case({'request_id': 'x'}, Exit.INVALID_QUERY, 'leave --vm out'),
}


@pytest.mark.parametrize('name', _CASES)
def test_output(name: str, capsys: pytest.CaptureFixture[str]) -> None:
    """It ends with a message and a code, without a traceback or a key."""
    case = _CASES[name]
    assert _explain(**case.options) == case.exit_code
    captured = capsys.readouterr()
    assert case.output in captured.out + captured.err
    assert KEY not in captured.out + captured.err


@pytest.mark.parametrize(
    ('key', 'exit_code', 'output'),
    [
        (KEY, Exit.DONE, 'sent to a1'),
        ('secret-key', Exit.WOULD_REFUSE, '401 key_refused'),
    ],
)
def test_request_in_a_file(
    key: str,
    exit_code: Exit,
    output: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Its method, path, headers and body count; its key is not shown."""
    path = tmp_path / 'request'
    path.write_text(_REQUEST % key, encoding='utf-8', newline='')
    assert _explain(request=str(path)) == exit_code
    captured = capsys.readouterr()
    assert output in captured.out
    assert key not in captured.out + captured.err


@pytest.mark.parametrize(
    'text', ['', 'nonsense', 'GET / HTTP/1.1\r\nno header\r\n\r\n']
)
def test_file_that_is_no_request(
    text: str, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """The file is named, and no VM is asked."""
    path = tmp_path / 'request'
    path.write_text(text, encoding='utf-8', newline='')
    code = explain(vm='127.0.0.1:1', request=str(path))
    assert code == Exit.INVALID_QUERY
    assert 'no HTTP/1.1 request' in capsys.readouterr().err


def test_json(capsys: pytest.CaptureFixture[str]) -> None:
    """All values of the table are there, with the reports of each VM."""
    assert _explain(**_BY_PREFIX, json=True) == Exit.DONE
    report = json.loads(capsys.readouterr().out)
    (service,) = report['services']
    assert service['outcome'] == 'send'
    (candidate,) = service['candidates']
    assert candidate['target'] == service['target'] == 'e1'
    assert candidate['cost'] > 0.0
    assert candidate['reports'] == []


@pytest.mark.parametrize(
    'vm', ['127.0.0.1:1', 'localhost:1', '127.0.0.1', 'x']
)
def test_no_vm(vm: str, capsys: pytest.CaptureFixture[str]) -> None:
    """A VM that is not reached has an exit code of its own."""
    assert explain(vm=vm, **_BY_PREFIX) == Exit.UNREACHABLE
    assert 'unreachable' in capsys.readouterr().err


def test_nothing_stated(capsys: pytest.CaptureFixture[str]) -> None:
    """Without an id, logs are not searched."""
    assert explain() == Exit.INVALID_QUERY
    assert '--vm' in capsys.readouterr().err
