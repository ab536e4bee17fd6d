"""The gauges in the metrics of a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .node import Node


def add_gauges(node: Node) -> None:
    """Add the gauges of a VM to its metrics."""
    add_gauge = node.metrics.add_gauge
    add_gauge('open_requests', lambda: float(len(node.caller_port.in_flight)))
    add_gauge('peers_heard', lambda: float(len(node.peers.list_responsive())))
    add_gauge('targets', lambda: float(len(node.targets.states)))
    add_gauge(
        'evacuated_data_centres',
        lambda: float(len(node.view.evacuations.by_data_centre)),
    )
    _add_memory_gauges(node)
    add_gauge('targets_cold', lambda: float(node.targets.count_cold()))
    add_gauge('targets_unreachable', lambda: _count_unreachable(node))
    node.metrics.add_labelled_gauge(
        'targets_busiest', node.targets.compare_busiest
    )
    add_gauge('store_calls', lambda: float(node.store.call_count))
    add_gauge('configuration', lambda: _find_configuration(node))
    add_gauge('store_age_seconds', lambda: node.operator_rows.progress().age)
    add_gauge('targets_age_seconds', lambda: node.target_rows.progress().age)
    add_gauge('log_lines_left_out', lambda: float(node.log.omitted_lines))
    _add_build_gauges(node)


def _add_memory_gauges(node: Node) -> None:
    add_gauge = node.metrics.add_gauge
    memory = node.memory
    add_gauge('memory_budget_bytes', lambda: float(memory.plan.total))
    add_gauge('memory_held_bytes', lambda: float(memory.used))
    add_gauge(
        'memory_connections_bytes', lambda: float(memory.connection_bytes)
    )
    add_gauge('bodies_refused', lambda: float(memory.refused_bodies))
    add_gauge('bodies_ended', lambda: float(memory.ended_bodies))
    add_gauge('long_heads_closed', lambda: float(memory.closed_heads))
    add_gauge(
        'connections',
        lambda: float(sum(s.count_connections() for s in node.servers)),
    )
    add_gauge(
        'connections_closed',
        lambda: float(sum(s.closed_connections for s in node.servers)),
    )
    add_gauge(
        'ports_not_accepting',
        lambda: float(sum(s.is_paused for s in node.servers)),
    )


def _add_build_gauges(node: Node) -> None:
    unreadable = node.peers.unreadable
    metrics = node.metrics
    metrics.add_labelled_gauge('build', lambda: {node.build.build: 1.0})
    metrics.add_labelled_gauge('formats', lambda: node.build.formats)
    metrics.add_labelled_gauge('builds', node.builds.count_by_build)
    metrics.add_gauge(
        'peer_messages_unreadable', lambda: float(unreadable.count)
    )
    metrics.add_gauge(
        'peers_unreadable', lambda: float(unreadable.count_senders())
    )


def _find_configuration(node: Node) -> float:
    configuration = node.view.configuration
    return float(configuration.version) if configuration is not None else 0.0


def _count_unreachable(node: Node) -> float:
    now = node.clock.now()
    states = node.targets.states.values()
    return float(sum(s.is_unreachable(now) for s in states))


__all__ = ['add_gauges']
