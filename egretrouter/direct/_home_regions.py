"""Find the regions in which calls may be served, by the configuration in force."""

from collections.abc import Collection

from egretrouter.core.direct import Route, RouteIndex, RoutingTable, Workspace, home_regions_of
from egretrouter.core.identifiers import RegionId
from egretrouter.direct._active_call import ActiveCall, CallRegions
from egretrouter.direct._logs import log_event
from egretrouter.direct._shared_state import SharedStateService

MAX_LOGGED_OWNERS = 20
MAX_QUOTED_CHARACTERS = 80


class HomeRegions:
    """Tell in which regions a call may be served, which may change while it is in progress."""

    def __init__(self, state: SharedStateService, *, regions: Collection[RegionId]) -> None:
        """Log regions of a configuration that are not among the given ones."""
        self._state = state
        self._regions = frozenset(regions)
        state.on_configuration.append(self._log_unknown)

    def find(self, call: ActiveCall) -> frozenset[RegionId] | None:
        """Return the regions that the call's route and workspace both allow, or None for all."""
        routes = self._state.routes
        if routes is None:
            return home_regions_of(call.route, call.workspace)
        if call.home is None or call.home.configuration != routes.table.version:
            route, workspace = _current_route(routes, call), _current_workspace(routes, call)
            call.home = CallRegions(
                configuration=routes.table.version, regions=home_regions_of(route, workspace)
            )
        return call.home.regions

    def _log_unknown(self, table: RoutingTable) -> None:
        owners: list[tuple[str, str, tuple[RegionId, ...]]] = [
            *(("route", route.name, route.home_regions) for route in table.routes),
            *(("workspace", w.workspace_id, w.home_regions) for w in table.workspaces or ()),
        ]
        unknown = [owner for owner in owners if not self._regions.issuperset(owner[2])]
        for kind, name, regions in unknown[:MAX_LOGGED_OWNERS]:
            log_event(
                "configuration:unknown_region",
                version=table.version,
                owner=kind,
                name=name,
                regions=[r[:MAX_QUOTED_CHARACTERS] for r in regions if r not in self._regions],
                valid=sorted(self._regions),
            )
        if len(unknown) > MAX_LOGGED_OWNERS:
            unlogged = len(unknown) - MAX_LOGGED_OWNERS
            log_event("configuration:unknown_regions", version=table.version, unlogged=unlogged)


def _current_route(routes: RouteIndex, call: ActiveCall) -> Route:
    """Return the call's route as it is now, or as it was last if it is gone."""
    path = call.request.raw_path.partition("?")[0]
    found = routes.find_route(call.request.headers.get("Host", ""), path)
    return found if found is not None and found.name == call.route.name else call.route


def _current_workspace(routes: RouteIndex, call: ActiveCall) -> Workspace | None:
    """Return the call's workspace as it is now, or as it was last if it is gone."""
    return routes.find_workspace(call.headers.key) or call.workspace
