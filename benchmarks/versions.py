"""Behaviour of the new version that a move or a roll-out brings."""

from __future__ import annotations

from typing import NamedTuple


class Conditions(NamedTuple):
    """What a request meets at a target of the new version.

    ``since_order_s`` seconds have passed since the order, the version has
    got ``served`` requests, and ``running`` are at the target.
    """

    route: str
    running: int
    since_order_s: float = 0.0
    served: int = 0


class VersionBehaviour(NamedTuple):
    """How a new version behaves.

    ``failure_share`` of the requests fail, ``slow_share`` of them take
    ``slowdown`` times as long. The faults start ``after_s`` seconds after
    the order and after ``after_requests`` requests, on targets that run at
    least ``min_running``, and if ``route`` is set on that route only.
    ``traffic_factor`` multiplies the traffic.
    """

    name: str
    failure_share: float = 0.0
    slow_share: float = 0.0
    slowdown: float = 1.0
    after_s: float = 0.0
    after_requests: int = 0
    min_running: int = 0
    route: str = ''
    traffic_factor: float = 1.0

    def is_bad(self) -> bool:
        """Return whether the version must be rolled back."""
        return self.failure_share > 0.0 or self.slow_share > 0.0

    def is_faulty(self, conditions: Conditions) -> bool:
        """Return whether the version shows its faults under conditions."""
        return (
            self.is_bad()
            and conditions.since_order_s >= self.after_s
            and conditions.served >= self.after_requests
            and conditions.running >= self.min_running
            and self.route in ('', conditions.route)
        )
