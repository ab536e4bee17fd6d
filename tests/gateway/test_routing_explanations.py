"""What a VM says of where a request would go, compared with what it does."""

from __future__ import annotations

import asyncio
import os
import pathlib
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from deployments import ask
from deployments import CallerResponse
from deployments import Deployment
from deployments import wait_until
from lentilrun.config.ini import Address
from lentilrun.decisions.evenload import is_called_for
from lentilrun.gateway.call import IncomingRequest
from lentilrun.gateway.call import Reason
from lentilrun.gateway.crashes import list_suspects
from lentilrun.gateway.node import Node
from lentilrun.gateway.rolloutstate import Stage
from lentilrun.platform.rollouts import RolloutOrder
from lentilrun.platform.routingquery import RoutingQuery
from lentilrun.platform.routingquery import RoutingReport
from lentilrun.session.reasons import EXCLUSIONS
from lentilrun.session.reasons import REFUSALS
from lentilrun.standins.configuration import HOST
from lentilrun.standins.configuration import KEY
from lentilrun.standins.configuration import MODEL
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
from modelledtargets import Callers
from modelledtargets import ModelledTargets
from modelledtargets import RESUMABLE_PATH
from modelledtargets import SAFE_PATH
import msgspec
import pytest
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

_TARGETS = 4


def _make_query(path: str, **changes: Any) -> RoutingQuery:
    """Return a query for a request; ``changes`` replace its headers."""
    headers = {
        'Host': HOST,
        'X-Request-Id': 'asked',
        'X-Deadline-Ms': '2500',
        'Api-Key': KEY,
        'X-Model': MODEL,
        'X-Token-Usage': '700,20',
        'X-Prefix-Hash': 'aa:500,bb:200',
    }
    headers.update({k.replace('_', '-'): v for k, v in changes.items()})
    return RoutingQuery(
        method='POST',
        path=path,
        headers=[(n, v) for n, v in headers.items() if v],
        body=b'{}',
        workspace='',
    )


def _walk(value: Any, seen: set[int], path: str) -> Iterator[tuple[str, Any]]:
    """Yield all values that an object of the router holds, with a path."""
    if isinstance(value, str | bytes | int | float | None):
        yield path, value
        return
    if id(value) in seen:
        return
    seen.add(id(value))
    if isinstance(value, dict):
        yield f'{path} size', len(value)
        for key, item in list(value.items()):
            yield from _walk(item, seen, f'{path}[{key!r}]')
    elif isinstance(value, list | tuple | set | frozenset) or (
        type(value).__name__ == 'deque'
    ):
        items = list(value)
        yield f'{path} size', len(items)
        if not isinstance(value, set | frozenset):
            for number, item in enumerate(items):
                yield from _walk(item, seen, f'{path}[{number}]')
    elif type(value).__module__.startswith('lentilrun.'):
        slots = getattr(type(value), '__slots__', ())
        names = [*getattr(value, '__dict__', {}), *slots]
        for name in names:
            yield from _walk(
                getattr(value, name, None), seen, f'{path}.{name}'
            )


def _record(node: Node) -> dict[str, Any]:
    """Return all that a VM holds, and its metrics, by path."""
    recorded = dict(_walk(node, set(), 'node'))
    recorded['metrics'] = node.metrics.render()
    return recorded


class _Play(NamedTuple):
    """A fleet of VMs with its targets, some requests after its start."""

    fleet: ModelledFleet
    targets: ModelledTargets
    callers: Callers
    node: Node


def _limit_rates(play: _Play) -> None:
    for state in play.node.targets.states.values():
        state.rate_limit.record_stated(1.0, play.node.clock.now())
        state.rejection_limit.record_stated(1.0, play.node.clock.now())


def _doubt_limit(play: _Play) -> None:
    state = play.node.targets.states['e1']
    state.rate_limit.record_stated(50.0, play.node.clock.now() - 5.0)


def _exhaust_quota(play: _Play) -> None:
    configuration = play.node.view.configuration
    assert configuration is not None
    workspace = configuration.workspaces['workspace']
    play.node.quotas.charge(workspace, 400_000.0)


def _block_targets(play: _Play) -> None:
    for state in play.node.targets.states.values():
        state.blocked_until = play.node.clock.now() + 0.2


def _fail_connections(play: _Play) -> None:
    for state in play.node.targets.states.values():
        play.node.targets.record_unreachable(state)


def _begin_rollout(play: _Play) -> None:
    """Let one target have a new version whose canary is due."""
    node = play.node
    state = node.targets.states['e1']
    state.target = state.target._replace(software_version='v2')
    node.rollouts.apply_order(RolloutOrder('llm', 'v2', 60.0, 1))
    rollout = node.rollouts.by_service['llm']
    rollout.stage = Stage.CANARY
    rollout.driven_at = node.clock.now()
    rollout.refilled_at = node.clock.now() - 1.0
    rollout.total['talk'] = 1000


def _use_up_memory(play: _Play) -> None:
    for state in play.node.targets.states.values():
        state.memory_tokens_used = 1e9


def _cut_off(play: _Play) -> None:
    play.node.reachability._cut_off_since = play.node.clock.now()


def _quarantine(play: _Play) -> None:
    call = play.node.admission.preview(
        IncomingRequest(
            'POST',
            RESUMABLE_PATH,
            HTTPHeaders(dict(_make_query(RESUMABLE_PATH)['headers'])),
            b'{}',
            play.node.clock.now(),
        )
    )
    for state in list(play.node.targets.states.values()):
        play.node.crashes.record_crash(
            list_suspects(call), state.target, play.node.clock.now()
        )


def _leave(play: _Play) -> None:
    play.node.caller_port.is_closed = True


def _evacuate(play: _Play) -> None:
    play.node.targets.evacuate(frozenset(('a',)))


_SITUATIONS: dict[str, Callable[[_Play], None]] = {
    'usual': lambda play: None,
    'limited rates': _limit_rates,
    'doubtful limit': _doubt_limit,
    'quota': _exhaust_quota,
    'blocked': _block_targets,
    'unreachable': _fail_connections,
    'rollout': _begin_rollout,
    'overload': _use_up_memory,
    'cut off': _cut_off,
    'quarantine': _quarantine,
    'leaving': _leave,
    'evacuation': _evacuate,
}


def _play(
    monkeypatch: pytest.MonkeyPatch,
    main: Callable[[_Play], Awaitable[None]],
    vms: dict[str, int] = SMALL_FLEET,
) -> None:
    """Run ``main`` with a fleet that has served some requests."""

    async def run(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, vms, _TARGETS) as fleet:
            fleet.register('a0', service='app')
            targets = ModelledTargets(loop, fleet)
            fleet.start()
            await asyncio.sleep(STARTED_S)
            callers = Callers(loop)
            for path in (RESUMABLE_PATH, SAFE_PATH):
                await callers.send(list(fleet), 80.0, 1.0, path)
            await main(_Play(fleet, targets, callers, next(iter(fleet))))

    timeloop.run(run)


@pytest.mark.parametrize('name', _SITUATIONS)
@pytest.mark.parametrize('path', [RESUMABLE_PATH, SAFE_PATH, '/none/x'])
def test_explanation_changes_nothing(
    name: str, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No count, turn, charge, cache record, metric or log line is new.

    The router's own choice decays counts of outcomes, refills the tokens of a
    roll-out and notes new software versions.
    """

    async def main(play: _Play) -> None:
        _SITUATIONS[name](play)
        await asyncio.sleep(0.1)
        before = _record(play.node)
        for _ in range(5):
            play.node.explainer.explain(_make_query(path))
        after = _record(play.node)
        assert {k: v for k, v in before.items() if after.get(k) != v} == {}
        assert before.keys() == after.keys()

    _play(monkeypatch, main)


@pytest.mark.parametrize('path', [RESUMABLE_PATH, SAFE_PATH])
def test_nothing_changes_in_a_large_fleet(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its VMs choose by other rules, from what they have sent lately."""

    async def main(play: _Play) -> None:
        assert is_called_for(
            play.node.peers.count_members(),
            play.node.peers.mean_report_age(),
        )
        before = _record(play.node)
        for _ in range(5):
            report = _explain(play.node, _make_query(path))
            for service in report['services']:
                for candidate in service['candidates']:
                    excluded = candidate['excluded']
                    assert not excluded or excluded in EXCLUSIONS
        after = _record(play.node)
        assert {k: v for k, v in before.items() if after.get(k) != v} == {}
        assert before.keys() == after.keys()

    _play(monkeypatch, main, LARGE_FLEET)


def _explain(node: Node, query: RoutingQuery) -> RoutingReport:
    status, body = node.explainer.respond(msgspec.json.encode(query))
    assert status == 200, body
    assert KEY.encode() not in body
    report: RoutingReport = msgspec.json.decode(body)
    return report


@pytest.mark.parametrize(
    ('name', 'exclusion'),
    [
        ('limited rates', 'no_turn'),
        ('blocked', 'was_full'),
        ('unreachable', 'unreachable'),
        ('doubtful limit', 'limit_of_another_is_checked'),
        ('rollout', 'rollout'),
        ('evacuation', 'evacuated'),
    ],
)
def test_excluded_targets(
    name: str, exclusion: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The reason is that for which the router passes a target over."""

    async def main(play: _Play) -> None:
        _SITUATIONS[name](play)
        report = _explain(play.node, _make_query(RESUMABLE_PATH))
        (service,) = report['services']
        candidates = {c['target']: c for c in service['candidates']}
        assert set(candidates) == {f'e{n}' for n in range(_TARGETS)}
        assert exclusion in {c['excluded'] for c in candidates.values()}
        if service['target']:
            assert not candidates[service['target']]['excluded']
            compared = [c for c in candidates.values() if not c['excluded']]
            cost = candidates[service['target']]['cost']
            assert cost == min(c['cost'] for c in compared)

    _play(monkeypatch, main)


@pytest.mark.parametrize(
    ('name', 'outcome', 'reason'),
    [
        ('usual', 'send', ''),
        ('overload', 'refuse', 'overloaded'),
        ('quarantine', 'refuse', 'quarantined'),
        ('cut off', 'forward', ''),
        ('evacuation', 'refuse', 'no_target'),
        ('blocked', 'wait', ''),
    ],
)
def test_outcomes(
    name: str, outcome: str, reason: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are those of the step that a waiting call repeats."""

    async def main(play: _Play) -> None:
        _SITUATIONS[name](play)
        report = _explain(play.node, _make_query(RESUMABLE_PATH))
        (service,) = report['services']
        assert service['outcome'] == outcome
        refusal = service['refusal']
        assert (refusal['reason'] if refusal is not None else '') == reason
        assert bool(service['helper']) is (outcome == 'forward')
        for candidate in service['candidates']:
            excluded = candidate['excluded']
            assert excluded != 'other'
            assert not excluded or excluded in EXCLUSIONS

    _play(monkeypatch, main)


def test_leaving_vm(monkeypatch: pytest.MonkeyPatch) -> None:
    """A VM whose port is closed says so, as it does to callers."""

    async def main(play: _Play) -> None:
        _leave(play)
        report = _explain(play.node, _make_query(SAFE_PATH))
        refusal = report['refusal']
        assert refusal is not None
        assert (refusal['status'], refusal['reason']) == (503, 'leaving')
        assert not report['services']

    _play(monkeypatch, main)


def test_states_of_targets(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each target that gets no requests is named with its state."""

    async def main(play: _Play) -> None:
        node = play.node
        states = node.targets.states
        now = node.clock.now()
        states['e0'].statements.is_leaving = True
        states['e1'].statements.record_rest(now, 5.0)
        states['e2'].cordon(now, 5.0)
        states['e3'].weights_versions.clear()
        report = _explain(node, _make_query(RESUMABLE_PATH))
        (service,) = report['services']
        assert service['outcome'] == 'wait'
        assert {c['target']: c['excluded'] for c in service['candidates']} == {
            'e0': 'leaves',
            'e1': 'rests',
            'e2': 'loads_weights',
            'e3': 'no_weights',
        }

    _play(monkeypatch, main)


def test_loads_and_their_ages(monkeypatch: pytest.MonkeyPatch) -> None:
    """They are those of the VM's own calls and of the reports of others."""

    async def main(play: _Play) -> None:
        play.targets.response_s = 2.0
        sending = asyncio.ensure_future(
            play.callers.send(list(play.fleet), 80.0, 0.4, RESUMABLE_PATH)
        )
        await asyncio.sleep(1.0)
        report = _explain(play.node, _make_query(RESUMABLE_PATH))
        (service,) = report['services']
        candidates = service['candidates']
        assert sum(c['in_flight'] for c in candidates) == 32
        assert sum(c['own_in_flight'] for c in candidates) == 4
        assert any(c['reports'] for c in candidates)
        for candidate in candidates:
            ages = [r['age'] for r in candidate['reports']]
            # A target without requests is in no report.
            assert candidate['age'] == max(ages, default=None)
            assert all(0.0 < a < 0.5 for a in ages)
            others = sum(r['in_flight'] for r in candidate['reports'])
            own = candidate['own_in_flight']
            assert candidate['in_flight'] == own + others
        await sending

    _play(monkeypatch, main)


async def _send(node: Node, query: RoutingQuery) -> CallerResponse:
    """Send the request of a query as a caller."""
    lines = ''.join(f'{n}: {v}\r\n' for n, v in query['headers'])
    head = (
        f'{query["method"]} {query["path"]} HTTP/1.1\r\n{lines}'
        f'Content-Length: {len(query["body"])}\r\n\r\n'
    )
    return await ask(node.settings.entry, head.encode() + query['body'])


def _find_target(deployment: Deployment) -> str:
    """Return the replica that has run the only request."""
    (name,) = [n for n, s in deployment.replicas.items() if s.runs]
    return name


@pytest.mark.parametrize('path', ['/chat/x', '/talk/x', '/once/x', '/plain/x'])
def test_request_goes_where_it_was_said(path: str) -> None:
    """The explanation and the router make the same decision."""

    async def body() -> None:
        async with Deployment() as deployment:
            for name in ('a1', 'a2', 'a3'):
                deployment.add_replica(name, 'app')
            for name in ('e1', 'e2', 'e3'):
                deployment.add_replica(name, 'llm')
            node = await deployment.start_node('vm1')
            await wait_until(lambda: len(node.targets.states) == 6)
            # The load alone decides, as all targets are alike.
            for number, state in enumerate(node.targets.states.values()):
                state.in_flight += number % 3
            query = _make_query(path)
            if path in ('/once/x', '/plain/x'):
                query = _make_query(path, X_Token_Usage='')
            report = _explain(node, query)
            (service,) = report['services']
            assert service['outcome'] == 'send'
            assert not _count_runs(deployment)
            response = await _send(node, query)
            assert response.status == 200
            assert _find_target(deployment) == service['target']

    asyncio.run(body())


def _count_runs(deployment: Deployment) -> int:
    return sum(len(s.runs) for s in deployment.replicas.values())


class _Refused(NamedTuple):
    """A request that the router refuses, and how."""

    path: str
    changes: dict[str, str]
    status: int
    reason: str


_REFUSED = {
    'unknown route': _Refused('/none/x', {}, 404, 'unknown_route'),
    'wrong key': _Refused(
        '/chat/x', {'Api_Key': 'secret'}, 401, 'key_refused'
    ),
    'no id': _Refused('/chat/x', {'X_Request_Id': ''}, 400, 'bad_request'),
    'quota': _Refused('/chat/x', {'X_Token_Usage': '900000,1'}, 429, 'quota'),
    'deadline': _Refused('/chat/x', {'X_Deadline_Ms': '1'}, 503, 'deadline'),
}


@pytest.mark.parametrize('name', _REFUSED)
def test_refusals(name: str) -> None:
    """The response that is stated is the one that a caller gets."""
    case = _REFUSED[name]

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            await wait_until(lambda: bool(node.targets.states))
            query = _make_query(case.path, **case.changes)
            report = _explain(node, query)
            refusal = report['refusal']
            if refusal is None:
                (service,) = report['services']
                refusal = service['refusal']
            assert refusal is not None
            assert (refusal['status'], refusal['reason']) == (
                case.status,
                case.reason,
            )
            response = await _send(node, query)
            assert response.status == case.status
            assert msgspec.json.decode(response.body)['error'] == case.reason
            stated = refusal['retry_after'] is not None
            assert ('Retry-After' in response.headers) is stated

    asyncio.run(body())


def test_query_by_workspace_model_and_prefix() -> None:
    """A route and a key are found; what is unknown is an error."""

    async def body() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            await wait_until(lambda: bool(node.targets.states))
            query = _make_query('', Host='', Api_Key='')
            query['workspace'] = 'workspace'
            report = _explain(node, query)
            assert report['route'] == 'talk'
            assert report['workspace'] == 'workspace'
            assert report['charge'] == 720.0
            assert report['services'][0]['target'] == 'e1'
            query['workspace'] = 'other'
            _check_error(node, query, 'workspace_refused')
            for path in ('', '/chat/x'):
                query = _make_query(path, X_Model='other')
                _check_error(node, query, 'unknown_model')

    asyncio.run(body())


def _check_error(node: Node, query: Any, code: str) -> None:
    status, body = node.explainer.respond(msgspec.json.encode(query))
    assert status == 422
    assert msgspec.json.decode(body)['error']['code'] == code
    assert KEY.encode() not in body


@pytest.mark.parametrize(
    'body', [b'', b'{}', b'[]', b'\xff', b'{"method":"GET","path":1}']
)
def test_malformed_query(body: bytes) -> None:
    """It is an error of the query, and not of the VM."""

    async def main() -> None:
        async with Deployment() as deployment:
            node = await deployment.start_node('vm1')
            status, response = node.explainer.respond(body)
            assert status == 422
            error = msgspec.json.decode(response)['error']
            assert error['code'] == 'bad_request'

    asyncio.run(main())


def test_fault_of_the_explanation(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is answered; the connection was closed without a response."""

    async def main() -> None:
        async with Deployment() as deployment:
            node = await deployment.start_node('vm1')
            monkeypatch.setattr(node.explainer, 'explain', lambda _: 1 / 0)
            query = msgspec.json.encode(_make_query('/chat/x'))
            status, response = node.explainer.respond(query)
            assert status == 500
            assert msgspec.json.decode(response)['error']['code'] == 'internal'

    asyncio.run(main())


def test_ports(tmp_path: pathlib.Path) -> None:
    """Only the metrics port explains; no port or log shows the key."""
    log = tmp_path / 'log'

    async def body() -> None:
        file = os.open(log, os.O_WRONLY | os.O_CREAT)
        async with Deployment(file) as deployment:
            deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            await wait_until(lambda: bool(node.targets.states))
            metrics = deployment._ports.reserve_address()
            node.serve_metrics(metrics)
            host, peer_port = node.settings.host, node.settings.peer_port
            response = await _post(metrics)
            assert response.status == 200
            report = msgspec.json.decode(response.body)
            assert report['services'][0]['target'] == 'e1'
            assert KEY.encode() not in response.body
            for address, status in (
                (node.settings.entry, 404),
                (Address(host, peer_port), 400),
            ):
                response = await _post(address)
                assert response.status == status
                assert b'services' not in response.body
            response = await _post(node.settings.readiness)
            assert response.body == b''
            response = await ask(
                metrics, b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
            )
            assert b'lentilrun_open_requests' in response.body
            node.metrics_server.stop()

    asyncio.run(body())
    assert KEY not in log.read_text(encoding='utf-8')


def test_queries_count_in_the_memory_of_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One with a legal body fits, and it is released with its response."""

    async def main() -> None:
        async with Deployment() as deployment:
            deployment.add_replica('e1', 'llm')
            node = await deployment.start_node('vm1')
            await wait_until(lambda: bool(node.targets.states))
            metrics = deployment._ports.reserve_address()
            node.serve_metrics(metrics)
            before = node.memory.used
            response = await _post(metrics, b'x' * (1 << 20))
            assert response.status == 200
            assert node.memory.used == before
            monkeypatch.setattr(node.memory, 'open_body', lambda *_: None)
            response = await _post(metrics)
            assert response.status == 503
            error = msgspec.json.decode(response.body)['error']
            assert error['code'] == 'no_memory'
            node.metrics_server.stop()

    asyncio.run(main())


async def _post(address: Address, data: bytes = b'{}') -> CallerResponse:
    query = _make_query('/chat/x')
    query['body'] = data
    body = msgspec.json.encode(query)
    head = (
        f'POST /explain HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: asked\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return await ask(address, head.encode() + body)


def test_every_reason_is_described() -> None:
    """Operators read texts, also for a reason that is added later."""
    assert {r.value for r in Reason} == set(REFUSALS)
    assert '' not in EXCLUSIONS
