"""The orders of roll-outs that newer ones replaced."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..platform.rowversions import find_era

if TYPE_CHECKING:
    from ..platform.rollouts import RolloutOrder

# Orders of a service that are remembered: a copy is older by few of them.
_MAX_ORDERS = 8


class ReplacedOrders:
    """The orders before the newest one of each service, oldest first."""

    def __init__(self) -> None:
        self._by_service: dict[str, list[RolloutOrder]] = {}

    def add(self, order: RolloutOrder) -> None:
        """Remember an order that another one replaces."""
        orders = self._by_service.setdefault(order.service, [])
        orders.append(order)
        del orders[:-_MAX_ORDERS]

    def is_of_copy(self, order: RolloutOrder, current: RolloutOrder) -> bool:
        """Return whether a restored store has an order that was replaced.

        Once operators have written the current one again, an equal order is
        a new one.
        """
        if find_era(order.row_version) <= find_era(current.row_version):
            return False
        replaced = self._by_service.get(order.service, ())
        return any(order.is_repeated(before) for before in replaced)


__all__ = ['ReplacedOrders']
