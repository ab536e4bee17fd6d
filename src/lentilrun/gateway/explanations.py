"""Explains where a request would be routed now, without sending it.

It runs the decisions of the router on the VM's own state, and changes
nothing there: no counts, turns, charges or cache records. Only entries that
have expired may be dropped, which has no effect on later decisions. The
comparison of targets has a random part where a fleet is large.
"""

from __future__ import annotations

import functools
from typing import cast
from typing import TYPE_CHECKING

import msgspec
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPInputError

from ..errors import Code
from ..errors import LentilrunError
from ..platform import dialect
from ..platform.routingquery import CandidateReport
from ..platform.routingquery import LoadReport
from ..platform.routingquery import RefusalReport
from ..platform.routingquery import RoutingQuery
from ..platform.routingquery import RoutingReport
from ..platform.routingquery import ServiceReport
from .call import Cancellation
from .call import IncomingRequest
from .call import Refusal
from .choice import Assignment
from .execution import CallExecution
from .logs import Log
from .peers import Peer
from .recordedchoice import RecordedSelector

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

    from ..decisions.facts import Configuration
    from ..decisions.facts import Route
    from ..decisions.facts import TrafficSplit
    from .admission import Admission
    from .call import Call
    from .call import ResponseWriter
    from .context import DispatchContext
    from .dispatch import Dispatcher
    from .server import CallerPort
    from .targetstate import TargetState

_OK = 200
_UNPROCESSABLE = 422
_INTERNAL_ERROR = 500


class _NoLog(Log):
    """Drops the lines that the decisions would write."""

    def __init__(self) -> None:
        self.omitted_lines = 0

    def write(self, event: str, **fields: Any) -> None:
        """Write nothing."""


class _ExplainedExecution(CallExecution):
    """The decisions for a call that is not sent, for one service."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        context: DispatchContext,
        call: Call,
        service: str,
    ) -> None:
        self._explained_service = service
        # Nothing is sent, so that there is no response to write.
        writer = cast('ResponseWriter', None)
        super().__init__(dispatcher, context, call, writer, Cancellation())
        self.selector = RecordedSelector(call, service, context, self._budget)
        self._selector = self.selector

    def _pick_service(self) -> str:
        return self._explained_service


class RoutingExplainer:
    """Answers the queries of operators."""

    def __init__(
        self,
        context: DispatchContext,
        admission: Admission,
        dispatcher: Dispatcher,
        caller_port: CallerPort,
    ) -> None:
        """Explain the calls of a port."""
        self._log = context.log
        self._context = context._replace(log=_NoLog())
        self._admission = admission
        self._dispatcher = dispatcher
        self._caller_port = caller_port
        self._decoder = msgspec.json.Decoder(RoutingQuery)

    def respond(self, body: bytes) -> tuple[int, bytes]:
        """Return the status and body of the response to a query."""
        try:
            query = self._decoder.decode(body)
            report = self.explain(query)
        except msgspec.MsgspecError as error:
            return _fail(Code.BAD_REQUEST, str(error))
        except LentilrunError as error:
            return _fail(error.code, str(error))
        except Exception as error:
            self._log.write('explanation_error', error=repr(error))
            message = 'the router failed; its log has the error'
            return _fail(Code.INTERNAL, message, _INTERNAL_ERROR)
        return _OK, msgspec.json.encode(report)

    def explain(self, query: RoutingQuery) -> RoutingReport:
        """Return what would happen to a request; raises ``LentilrunError``."""
        incoming = self._make_request(query)
        configuration = self._context.view.configuration
        report = RoutingReport(
            vm=self._context.peers.own_member.name,
            configuration=configuration.version if configuration else 0,
            route='',
            workspace='',
            model='',
            charge=0.0,
            refusal=None,
            services=[],
        )
        try:
            self._caller_port.check_open()
            call = self._admission.preview(incoming)
        except Refusal as refusal:
            report['refusal'] = _describe_refusal(refusal)
            return report
        self._check_model(call)
        report['route'] = call.route.name
        report['charge'] = call.charged_tokens
        if call.workspace is not None:
            report['workspace'] = call.workspace.name
        if call.prompt is not None:
            report['model'] = call.prompt.model
        report['services'] = [
            self._explain_service(call, split)
            for split in call.route.traffic_splits
        ]
        return report

    # -- The request.

    def _make_request(self, query: RoutingQuery) -> IncomingRequest:
        headers = HTTPHeaders()
        for name, value in query['headers']:
            try:
                headers.add(name, value)
            except HTTPInputError as error:
                raise LentilrunError(
                    'a header is malformed', Code.BAD_REQUEST
                ) from error
        configuration = self._context.view.configuration
        path = query['path']
        if configuration is not None:
            path = _complete_request(configuration, query, headers)
        return IncomingRequest(
            query['method'],
            path,
            headers,
            query['body'],
            self._context.clock.now(),
        )

    def _check_model(self, call: Call) -> None:
        """Raise ``LentilrunError`` if no service of the route runs a model."""
        configuration = self._context.view.configuration
        assert configuration is not None
        if call.prompt is None:
            return
        names = [s.service for s in call.route.traffic_splits]
        models = _list_models(configuration, names)
        if models and call.prompt.model not in models:
            raise LentilrunError(
                f'no service of route {call.route.name} runs the model '
                f'{call.prompt.model!r}; they run {", ".join(sorted(models))}',
                Code.UNKNOWN_MODEL,
            )

    # -- The decisions.

    def _explain_service(
        self, call: Call, split: TrafficSplit
    ) -> ServiceReport:
        total = sum(s.weight for s in call.route.traffic_splits)
        report = ServiceReport(
            service=split.service,
            share=split.weight / total if total else 0.0,
            outcome='wait',
            target='',
            helper='',
            refusal=None,
            estimated_wait=None,
            queue_wait=None,
            is_trial=False,
            candidates=[],
        )
        execution = _ExplainedExecution(
            self._dispatcher, self._context, call, split.service
        )
        with self._context.rollouts.selection.preview(split.service):
            try:
                _describe_way(execution.preview(), report)
            except Refusal as refusal:
                report['outcome'] = 'refuse'
                report['refusal'] = _describe_refusal(refusal)
        report['candidates'] = [
            self._describe_target(state, execution.selector)
            for state in self._context.targets.list_of_service(split.service)
        ]
        report['candidates'].sort(key=_rank)
        return report

    def _describe_target(
        self, state: TargetState, selector: RecordedSelector
    ) -> CandidateReport:
        now = self._context.clock.now()
        name = state.target.incarnation
        reports = [
            LoadReport(
                vm=vm,
                in_flight=load.in_flight,
                prefill_tokens=load.prefill_tokens,
                age=now - load.received_at,
            )
            for vm, load in state.peer_loads.items()
            if load.is_recent(now)
        ]
        report = CandidateReport(
            target=name,
            data_centre=state.target.data_centre,
            excluded=selector.find_exclusion(state),
            cost=None,
            in_flight=state.count_in_flight(now),
            own_in_flight=state.in_flight,
            prefill_tokens=state.prefill_tokens
            + sum(r['prefill_tokens'] for r in reports),
            cached_tokens=None,
            failure_rate=state.failure_rate(),
            pace=None,
            busy_for=state.busy_for(now),
            age=max((r['age'] for r in reports), default=None),
            reports=reports,
        )
        compared = selector.compared.get(name)
        if compared is not None:
            candidate = compared.candidate
            report['cost'] = compared.cost
            report['in_flight'] = candidate.in_flight
            report['prefill_tokens'] = candidate.prefill_tokens
            report['cached_tokens'] = candidate.prefill_plan.cached_tokens
            report['failure_rate'] = candidate.failure_rate
            report['pace'] = candidate.pace
        return report


def _rank(report: CandidateReport) -> tuple[bool, float, str]:
    """Return a key that sorts compared targets first, by their cost."""
    cost = report['cost']
    if cost is None:
        return True, 0.0, report['target']
    return False, cost, report['target']


def _fail(
    code: Code, message: str, status: int = _UNPROCESSABLE
) -> tuple[int, bytes]:
    body = {'error': {'code': code, 'message': message}}
    return status, msgspec.json.encode(body)


def _describe_refusal(refusal: Refusal) -> RefusalReport:
    return RefusalReport(
        status=refusal.status,
        reason=refusal.reason,
        retry_after=refusal.retry_after,
    )


@functools.singledispatch
def _describe_way(
    way: Assignment | Peer | None, report: ServiceReport
) -> None:
    """State in a report how a call would be sent, or that it would wait."""
    report['outcome'] = 'wait'


@_describe_way.register
def _describe_assignment(
    assignment: Assignment, report: ServiceReport
) -> None:
    report['outcome'] = 'send'
    report['target'] = assignment.state.target.incarnation
    report['estimated_wait'] = assignment.choice.estimated_wait
    report['queue_wait'] = assignment.choice.queue_wait
    report['is_trial'] = assignment.is_trial


@_describe_way.register
def _describe_helper(helper: Peer, report: ServiceReport) -> None:
    report['outcome'] = 'forward'
    report['helper'] = helper.member.name


def _list_models(
    configuration: Configuration, services: Iterable[str]
) -> set[str]:
    """Return the models that services run."""
    return {
        model
        for name in services
        if (service := configuration.services.get(name)) is not None
        and service.engine is not None
        for model in service.engine.models
    }


def _complete_request(
    configuration: Configuration, query: RoutingQuery, headers: HTTPHeaders
) -> str:
    """Add the key, host and path that a query leaves out; return the path."""
    if query['workspace']:
        key = _find_key(configuration, query['workspace'])
        dialect.set_api_key(headers, key)
    if query['path']:
        return query['path']
    prompt = dialect.read_caller_headers(headers).prompt
    route = _find_route(configuration, prompt.model if prompt else '')
    headers['Host'] = route.host
    return route.prefix


def _find_key(configuration: Configuration, workspace: str) -> str:
    """Return an API key of a workspace; raises ``LentilrunError``."""
    if workspace not in configuration.workspaces:
        raise LentilrunError(
            f'no workspace {workspace!r}; there are '
            + ', '.join(sorted(configuration.workspaces)),
            Code.WORKSPACE_REFUSED,
        )
    for key, found in configuration.workspaces_by_key.items():
        if found.name == workspace:
            return key
    raise LentilrunError(
        f'workspace {workspace!r} has no API key', Code.WORKSPACE_REFUSED
    )


def _find_route(configuration: Configuration, model: str) -> Route:
    """Return the first route for a model; raises ``LentilrunError``."""
    models: set[str] = set()
    for routes in configuration.routes.values():
        for route in routes:
            names = [s.service for s in route.traffic_splits]
            found = _list_models(configuration, names)
            if model in found:
                return route
            models |= found
    raise LentilrunError(
        f'no route has the model {model!r}; there are '
        + ', '.join(sorted(models)),
        Code.UNKNOWN_MODEL,
    )


__all__ = ['RoutingExplainer']
