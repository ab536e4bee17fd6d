"""Queries for where a request would be routed, and the reports on them.

They are exchanged as JSON over the metrics port of a VM. Times are in
seconds, sizes in tokens.
"""

from __future__ import annotations

from typing import TypedDict

EXPLAIN_PATH = '/explain'


class RoutingQuery(TypedDict):
    """A request that is explained, but not sent.

    Without a ``path``, a route is found whose services run the model that
    the headers state. With a ``workspace``, the request is explained as if
    it had a key of it.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    workspace: str


class RefusalReport(TypedDict):
    """The response of the router itself to a request that it refuses."""

    status: int
    reason: str
    retry_after: float | None


class LoadReport(TypedDict):
    """The load that another VM reported, ``age`` seconds ago."""

    vm: str
    in_flight: int
    prefill_tokens: float
    age: float


class CandidateReport(TypedDict):
    """What the VM knows of a target.

    ``excluded`` says why it is not compared; it is empty if it is. The load
    values of a target that is compared are those of the comparison, and its
    ``cost`` is in seconds. ``in_flight`` and ``prefill_tokens`` are sums of
    the VM's own requests, whose age is 0, and of ``reports``. ``age`` is that
    of the oldest report.
    """

    target: str
    data_centre: str
    excluded: str
    cost: float | None
    in_flight: int
    own_in_flight: int
    prefill_tokens: float
    cached_tokens: float | None
    failure_rate: float
    pace: float | None
    busy_for: float
    age: float | None
    reports: list[LoadReport]


class ServiceReport(TypedDict):
    """What would happen to a request that is routed to a service.

    ``share`` of the route's requests are. The ``outcome`` is ``send`` to the
    ``target``, ``forward`` to another VM, the ``helper``, ``wait`` at this
    VM, or ``refuse``.
    """

    service: str
    share: float
    outcome: str
    target: str
    helper: str
    refusal: RefusalReport | None
    estimated_wait: float | None
    queue_wait: float | None
    is_trial: bool
    candidates: list[CandidateReport]


class RoutingReport(TypedDict):
    """What would happen to a request now; nothing was sent or counted.

    ``refusal`` is set if the request is not admitted; there are no
    ``services`` then. ``charge`` is in tokens.
    """

    vm: str
    configuration: int
    route: str
    workspace: str
    model: str
    charge: float
    refusal: RefusalReport | None
    services: list[ServiceReport]


__all__ = [
    'CandidateReport',
    'EXPLAIN_PATH',
    'LoadReport',
    'RefusalReport',
    'RoutingQuery',
    'RoutingReport',
    'ServiceReport',
]
