"""A modelled fleet of VMs of this build and of the one in production."""

from __future__ import annotations

from typing import TYPE_CHECKING

from modelledfleets import ModelledFleet
from productionbuild import import_production

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from lentilrun.gateway.node import Node
    from lentilrun.platform.node import NodeSettings
    from lentilrun.standins.timeloop import TimeLoop
    import pytest


class MixedFleet(ModelledFleet):
    """VMs of two builds; ``is_old`` picks those of the build in production.

    It is asked by name for each process that starts. ``logged`` holds the
    events that VMs of the build in production logged.
    """

    def __init__(
        self,
        loop: TimeLoop,
        monkeypatch: pytest.MonkeyPatch,
        data_centres: dict[str, int],
        is_old: Callable[[str], bool],
    ) -> None:
        """Build a number of VMs by data centre."""
        self.is_old = is_old
        self.logged: list[str] = []
        self._production = import_production('gateway.node')
        monkeypatch.setattr(self._production, 'SystemClock', lambda: loop)
        super().__init__(loop, monkeypatch, data_centres)
        old_engines = import_production('platform.engines')
        monkeypatch.setattr(
            old_engines, 'read_report', self.engines.read_report
        )
        monkeypatch.setattr(
            old_engines, 'send_weights_load_order', self.engines.send_order
        )

    def _make_node(self, settings: NodeSettings) -> Node:
        if not self.is_old(settings.name):
            return super()._make_node(settings)
        node: Node = self._production.Node(settings, self._log_file)
        write = node.log.write

        def record(event: str, **fields: Any) -> None:
            self.logged.append(event)
            write(event, **fields)

        node.log.write = record  # type: ignore[method-assign]
        return node

    def _list_more(self, node: Node) -> list[Coroutine[Any, Any, None]]:
        if self.is_old(node.settings.name):
            return []
        return super()._list_more(node)

    def list_build(self, is_old: bool) -> list[Node]:
        """Return the running VMs of one of the builds."""
        return [n for n in self if self.is_old(n.settings.name) is is_old]


__all__ = ['MixedFleet']
