"""Restrictions of calls to regions, and the log of unknown regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.regions import find_restriction

if TYPE_CHECKING:
    from ..decisions.facts import Configuration
    from ..decisions.facts import Route
    from ..decisions.facts import Workspace
    from ..decisions.regions import RegionMap
    from ..decisions.regions import Restriction
    from .logs import Log


class Regions:
    """Finds the restriction of a call by its route and its workspace."""

    def __init__(self, region_map: RegionMap, log: Log) -> None:
        self._region_map = region_map
        self._log = log
        self._logged: set[str] = set()

    def find(
        self, route: Route, workspace: Workspace | None
    ) -> Restriction | None:
        """Return where a call may go; nothing if it may go everywhere."""
        lists = [route.allowed_regions]
        if workspace is not None:
            lists.append(workspace.allowed_regions)
        return find_restriction(self._region_map, lists)

    def configure(self, configuration: Configuration) -> None:
        """Log each unknown region of a configuration once."""
        lists = [
            r.allowed_regions
            for routes in configuration.routes.values()
            for r in routes
        ]
        lists += [w.allowed_regions for w in configuration.workspaces.values()]
        regions = {region for allowed in lists for region in allowed}
        for region in self._region_map.list_unknown(regions - self._logged):
            self._logged.add(region)
            self._log.write('region_unknown', region=region)


__all__ = ['Regions']
