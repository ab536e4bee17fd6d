"""The daemon on the users' platform, assembled from its components."""

from __future__ import annotations

import asyncio
import contextlib
import resource
from typing import TYPE_CHECKING

from tornado.iostream import IOStream

from ..config.ini import Address
from ..coordination.clock import SystemClock
from ..decisions.coldtargets import ColdTolerance
from ..decisions.connections import ConnectionTable
from ..decisions.connections import plan_connections
from ..decisions.memory import Kind
from ..decisions.memory import plan_memory
from ..decisions.quota import QuotaTolerance
from ..decisions.rollouts import ExposureLimits
from ..decisions.topology import Member
from ..decisions.weightsage import compute_unknown_age
from ..metrics.registry import Metrics
from ..platform import documents
from ..platform.rows import RowStore
from ..web.client import Client
from ..web.memory import MemoryLimits
from ..web.memory import ProcessMemory
from .admission import Admission
from .announcementrows import AnnouncementRows
from .build import state_build
from .builds import Builds
from .callerhandler import CallerCallHandler
from .context import DispatchContext
from .crashes import CrashTracker
from .crashrows import CrashRows
from .discovery import Discovery
from .dispatch import Dispatcher
from .explanations import RoutingExplainer
from .follower import Follower
from .forwardport import ForwardedCallHandler
from .gauges import add_gauges
from .gossip import Gossip
from .guard import Guard
from .helpers import Helpers
from .limitedlog import LimitedLog
from .listener import GuardedServer
from .logs import Log
from .operatorports import MetricsPort
from .operatorports import ReadinessPort
from .orderlease import OrderLease
from .peers import Peers
from .quotas import Quotas
from .ratelimits import FleetRoundRobin
from .ratelimits import RateLimits
from .reachability import Reachability
from .regions import Regions
from .responseends import ResponseEnds
from .rolloutdriver import RolloutDriver
from .rollouts import Rollouts
from .rowrelay import RowRelay
from .server import CallerPort
from .server import PortLimits
from .shutdown import ServedPort
from .shutdown import Shutdown
from .storedsegments import StoredSegments
from .supervision import Runnable
from .supervision import supervise
from .targets import Targets
from .upgrades import Upgrades
from .usage import UsageCheckpointer
from .versionreader import VersionReader
from .view import View

if TYPE_CHECKING:
    from types import TracebackType

    from tornado.httputil import HTTPServerConnectionDelegate

    from ..coordination.clock import Clock
    from ..platform.node import NodeSettings
    from .server import CallHandler

_TARGET_CONNECT_S = 0.4
_STORE_CONNECT_S = 0.5
_PEER_CONNECT_S = 0.3
_MAX_IDLE_CONNECTIONS = 8
# Shares of the process's memory that one response, and all responses of a
# client, may use while they are collected.
_RESPONSE_MEMORY_SHARE = 1.0 / 16.0
_RESPONSES_MEMORY_SHARE = 1.0 / 6.0
_MAX_HEADER_BYTES = 64 * 1024
# Other bodies than queries are discarded.
_MAX_SERVICE_HEADER_BYTES = 16 * 1024
_MAX_SERVICE_BODY_BYTES = 64 * 1024
_SERVICE_BODY_TIMEOUT_S = 10.0
# Longer than any timeout that operators set, so that callers close idle
# connections and the router does not.
_CALLER_IDLE_TIMEOUT_S = 120.0
_LISTEN_BACKLOG = 1024
_SERVICE_BACKLOG = 128


def _make_memory_limits(memory_bytes: int) -> MemoryLimits:
    """Return the limits of each client for a process's memory."""
    return MemoryLimits(
        int(memory_bytes * _RESPONSE_MEMORY_SHARE),
        int(memory_bytes * _RESPONSES_MEMORY_SHARE),
    )


def _make_quota_tolerance(settings: NodeSettings) -> QuotaTolerance:
    bounds = settings.bounds
    return QuotaTolerance(
        bounds.quota_window, bounds.quota_overage, bounds.quota_slack
    )


def _limit_descriptors(descriptors: int) -> int:
    """Return how many descriptors the process may use, as the system says."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return descriptors
    return min(descriptors, soft_limit)


def _make_service_server(
    port: HTTPServerConnectionDelegate,
    connections: int,
    clock: Clock,
    memory: ProcessMemory,
) -> GuardedServer:
    """Return the server of a port that takes no calls."""
    return GuardedServer(
        port,
        ConnectionTable(connections),
        clock,
        IOStream.close,
        memory,
        idle_connection_timeout=_CALLER_IDLE_TIMEOUT_S,
        body_timeout=_SERVICE_BODY_TIMEOUT_S,
        max_header_size=_MAX_SERVICE_HEADER_BYTES,
        max_body_size=_MAX_SERVICE_BODY_BYTES,
    )


class Node:
    """Owns the components of a daemon; serves until ``leave``."""

    def __init__(
        self, settings: NodeSettings, log_file: int | None = None
    ) -> None:
        """Log to a file descriptor, or to standard output."""
        self.settings = settings
        self.clock = SystemClock()
        self.log = Log(self.clock, settings.name, log_file)
        self.metrics = Metrics()
        self.memory = ProcessMemory(plan_memory(settings.memory_bytes))
        self.target_client = self._make_client(_TARGET_CONNECT_S)
        self.store_client = self._make_client(
            _STORE_CONNECT_S, Kind.STORE_RESPONSE, responds_once=True
        )
        self.peer_client = self._make_client(_PEER_CONNECT_S)
        self.store = RowStore(self.store_client, settings.store, self.clock)
        self.targets = Targets(self.clock, settings.data_centre)
        self.reachability = Reachability(
            self.clock, self.target_client, self.targets, self.log
        )
        bounds = settings.bounds
        unknown_age = compute_unknown_age(
            bounds.stale_weights_limit, bounds.undisturbed_time
        )
        self.view = View(self.clock, self.targets, unknown_age, self.log)
        self.crashes = CrashTracker(self.clock, self.log)
        self.stored_segments = StoredSegments(self.clock)
        self.version_reader = VersionReader(
            self.clock, self.target_client, self.targets, self.log
        )
        self._build_fleet()
        self._build_entry()
        self._build_upgrades()
        self._build_rollout_driver()
        self._tasks: list[asyncio.Task[None]] = []
        self._stack = contextlib.AsyncExitStack()

    def _make_client(
        self,
        connect_timeout: float,
        kind: Kind = Kind.RESPONSE,
        responds_once: bool = False,
    ) -> Client:
        return Client(
            connect_timeout,
            _MAX_IDLE_CONNECTIONS,
            _make_memory_limits(self.settings.memory_bytes),
            self.memory,
            kind,
            responds_once,
        )

    def _build_fleet(self) -> None:
        settings = self.settings
        address = Address(settings.host, settings.peer_port)
        own = Member(settings.name, settings.data_centre, settings.power)
        self.peers = Peers(own, address, self.clock, self.log)
        self.build = state_build()
        self.builds = Builds(self.build, self.peers, self.log)
        self.helpers = Helpers(self.clock, self.peers)
        self.reachability.on_change.append(self.peers.request_send)
        self.reachability.on_change.append(self.targets.notify_changed)
        self.targets.count_members = self.peers.count_members
        self.targets.report_lag = self.peers.report_lag
        self.targets.round_robin = FleetRoundRobin(self.peers, self.store)
        self.targets.knows_targets = self._knows_targets
        self.targets.knows_members = lambda: self.discovery.has_read
        self.targets.awaits_reports = self._awaits_reports
        self.targets.cold_tolerance = ColdTolerance(
            settings.bounds.cold_overage, settings.bounds.cold_slack
        )
        self.rate_limits = RateLimits(self.clock, self.targets, self.log)
        self.rate_limits.on_change.append(self.peers.request_send)
        self.quotas = Quotas(
            self.clock, self.peers, _make_quota_tolerance(settings)
        )
        self.rollouts = Rollouts(
            settings.name,
            self.clock,
            self.targets,
            self.peers,
            ExposureLimits(
                settings.bounds.exposure_share, settings.bounds.exposure_slack
            ),
            self.log,
        )
        self.view.on_rollout_order.append(self.rollouts.apply_order)
        self.view.on_configuration.append(self.quotas.configure)
        self.view.on_configuration.append(self.targets.configure)
        self.operator_rows = Follower(
            self.store,
            documents.OPERATOR_TABLE,
            self.view.apply_operator_row,
            self.clock,
            self.log,
        )
        self.operator_rows.on_full_read.append(
            self.view.mark_operator_rows_read
        )
        self.view.operator_rows_unread_for = lambda: (
            self.operator_rows.unread_for
        )
        self.target_rows = Follower(
            self.store,
            documents.TARGET_TABLE,
            self.view.apply_target_row,
            self.clock,
            self.log,
        )
        self.operator_rows.revives_at_once = documents.is_evacuation_key
        for follower in (self.operator_rows, self.target_rows):
            follower.on_era.append(self.store.record_reported_era)
        self.row_relay = RowRelay(
            self.peers,
            [self.operator_rows, self.target_rows],
            settings.bounds.change_limit(),
        )
        self.gossip = Gossip(
            address,
            self.clock,
            self.peers,
            self.targets,
            self.quotas,
            self.crashes,
            self.stored_segments,
            self.row_relay,
            self.view,
            self.rollouts,
            self.rate_limits,
        )
        self.gossip.is_cut_off = self.reachability.is_cut_off
        self.usage_checkpointer = UsageCheckpointer(
            self.store, self.peers, self.quotas, self.log
        )
        self.discovery = Discovery(
            self.store,
            self.peers,
            own,
            address,
            self.usage_checkpointer,
            self.log,
        )
        self.announcement_rows = AnnouncementRows(
            self.store, self.clock, self.peers, self.view, self.log
        )
        self.discovery.on_read.append(self.announcement_rows.apply_rows)
        self.crash_rows = CrashRows(
            self.store, self.clock, self.peers, self.crashes, self.log
        )
        self.discovery.on_read.append(self.crash_rows.apply_rows)

    def _build_entry(self) -> None:
        regions = Regions(self.settings.regions, self.log)
        self.view.on_configuration.append(regions.configure)
        self.admission = Admission(self.view, self.quotas, regions, self.log)
        context = DispatchContext(
            self.clock,
            self.settings.bounds,
            self.target_client,
            self.peer_client,
            self.view,
            self.targets,
            self.reachability,
            self.helpers,
            self.rate_limits,
            self.peers,
            self.crashes,
            self.rollouts,
            self.stored_segments,
            self.version_reader,
            ResponseEnds(self.clock, self.target_client, self.log),
            self.metrics,
            self.log,
        )
        self.dispatcher = Dispatcher(context, self.settings.is_first_start)
        limited_log = LimitedLog(self.log, self.clock)
        plan = self.connection_plan = plan_connections(
            _limit_descriptors(self.settings.descriptors)
        )
        self.caller_port, self.caller_server = self._make_port(
            CallerCallHandler(self), plan.callers, limited_log
        )
        self.explainer = RoutingExplainer(
            context, self.admission, self.dispatcher, self.caller_port
        )
        forwarded_call_handler = ForwardedCallHandler(
            self.admission,
            self.dispatcher,
            self.view,
            self.settings.power,
            self.log,
        )
        self.forward_port, self.forward_server = self._make_port(
            forwarded_call_handler, plan.forwarding, limited_log
        )
        self.readiness_server = _make_service_server(
            ReadinessPort(self.is_ready),
            plan.service,
            self.clock,
            self.memory,
        )
        self.metrics_server = _make_service_server(
            MetricsPort(
                self.metrics, self.explainer.respond, self.memory, self.clock
            ),
            plan.service,
            self.clock,
            self.memory,
        )
        self.servers = (
            self.caller_server,
            self.forward_server,
            self.readiness_server,
            self.metrics_server,
        )
        self.guard = Guard(
            self.memory,
            self.clock,
            (self.caller_port, self.forward_port),
            self.servers,
            limited_log,
            _CALLER_IDLE_TIMEOUT_S,
        )
        add_gauges(self)

    def _make_port(
        self, handler: CallHandler, connections: int, log: LimitedLog
    ) -> tuple[CallerPort, GuardedServer]:
        """Return a port that takes calls, with its server."""
        table: ConnectionTable[IOStream] = ConnectionTable(connections)
        port = CallerPort(
            handler, self.clock, self.log, PortLimits(self.memory, table, log)
        )
        server = GuardedServer(
            port,
            table,
            self.clock,
            port.end_connection,
            self.memory,
            # The guard is to close them first: this timer also closes a
            # connection on which a request has just arrived.
            idle_connection_timeout=2.0 * _CALLER_IDLE_TIMEOUT_S,
            max_header_size=_MAX_HEADER_BYTES,
        )
        return port, server

    def serve_metrics(self, address: Address) -> None:
        """Serve the metrics at an address; raises ``OSError``."""
        self.metrics_server.serve(address, _SERVICE_BACKLOG)

    def _build_upgrades(self) -> None:
        settings = self.settings
        lease = OrderLease(
            self.store,
            self.clock,
            settings.name,
            settings.bounds.lease_gap,
            self.log,
        )
        self.upgrades = Upgrades(
            settings.name,
            self.clock,
            self.target_client,
            self.view,
            self.targets,
            self.peers,
            lease,
            settings.bounds.stale_weights_limit,
            self.log,
        )
        self.upgrades.is_cut_off = self.reachability.is_cut_off

    def _build_rollout_driver(self) -> None:
        settings = self.settings
        # The status is written under a condition, so that there is no gap
        # between the VMs that may write it.
        lease = OrderLease(
            self.store, self.clock, settings.name, 0.0, self.log, 'rollouts'
        )
        self.rollout_driver = RolloutDriver(
            settings.name,
            self.clock,
            self.store,
            self.rollouts,
            self.peers,
            lease,
            self.log,
        )
        self.discovery.on_read.append(self.rollout_driver.apply_rows)
        self.discovery.on_read.append(
            lambda _: self._log_unknown_evacuations()
        )
        self.gossip.is_driving_rollouts = self.rollout_driver.is_driving

    def _log_unknown_evacuations(self) -> None:
        if not self.target_rows.has_been_read():
            return
        vms = [self.peers.own_member]
        vms += [p.member for p in self.peers.by_name.values()]
        self.view.evacuations.log_unknown({v.data_centre for v in vms})

    def is_ready(self) -> bool:
        """Return whether this VM accepts new callers."""
        return not self.caller_port.is_leaving and self._knows_targets()

    def _knows_targets(self) -> bool:
        """Return whether the rows of operators and targets were read."""
        return (
            self.view.configuration is not None
            and self.operator_rows.has_been_read()
            and self.target_rows.has_been_read()
        )

    def _awaits_reports(self) -> bool:
        """Return whether this VM has started and heard from no other one."""
        if not self.peers.is_starting():
            return False
        if not self.discovery.has_read:
            return True
        return bool(self.peers.by_name) and not self.peers.list_responsive()

    async def __aenter__(self) -> Node:
        self._stack.enter_context(self.target_client)
        self._stack.enter_context(self.version_reader)
        self._stack.enter_context(self.store_client)
        self._stack.enter_context(self.peer_client)
        await self._stack.enter_async_context(self.peers)
        entry, readiness = self.settings.entry, self.settings.readiness
        self.caller_server.serve(entry, _LISTEN_BACKLOG)
        self.forward_server.serve(
            Address(self.settings.host, self.settings.peer_port),
            _LISTEN_BACKLOG,
        )
        self.readiness_server.serve(readiness, _SERVICE_BACKLOG)
        components: tuple[Runnable, ...] = (
            self.operator_rows,
            self.target_rows,
            self.discovery,
            self.peers,
            self.builds,
            self.upgrades,
            self.rollout_driver,
            self.usage_checkpointer,
            self.announcement_rows,
            self.crash_rows,
            self.reachability,
            self.guard,
        )
        for component in components:
            task = asyncio.ensure_future(supervise(component, self.log))
            self._tasks.append(task)
        self.log.write(
            'started',
            entry=str(entry),
            build=self.build.build,
            formats=self.build.formats,
        )
        self._log_limits()
        return self

    def _log_limits(self) -> None:
        """Log what the process may use, and whether it is very little."""
        plan = self.connection_plan
        self.log.write(
            'limits',
            memory=self.settings.memory_bytes,
            budget=self.memory.plan.total,
            callers=plan.callers,
            forwarding=plan.forwarding,
            is_minimal=plan.is_minimal() or self.memory.plan.is_minimal,
        )

    async def leave(self) -> None:
        """Stop accepting callers; finish calls within ``shutdown_grace``.

        Other VMs are informed at the end. The log holds the calls that
        are still open then.
        """
        ends_at = self.clock.now() + self.settings.bounds.shutdown_grace
        self.log.write('leaving', open=len(self.caller_port.in_flight))
        self.upgrades.is_finishing = True
        self.rollout_driver.is_leaving = True
        shutdown = Shutdown(
            self.clock,
            self.dispatcher,
            ServedPort(self.caller_port, self.caller_server),
            ServedPort(self.forward_port, self.forward_server),
        )
        await shutdown.run(ends_at)
        await self.upgrades.leave()
        self.gossip.is_leaving = True
        self.peers.announce_leaving()
        self.log.write('stopped', open=len(self.caller_port.in_flight))

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()


__all__ = [
    'Node',
]
