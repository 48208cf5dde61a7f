"""Find the route and the workspace of a call."""

import math
import random

from egretrouter.core.direct._records import Route, RoutingTable, Service, Workspace
from egretrouter.core.identifiers import ServiceName


class RouteIndex:
    """Look up routes, services and workspaces in one version of the configuration."""

    def __init__(self, table: RoutingTable) -> None:
        """Build indexes by host, service name and key."""
        self.table = table
        self._routes: dict[str, list[Route]] = {}
        self._targets_seconds: dict[ServiceName, dict[int, float]] = {}
        """The shortest latency target of each service's routes, by priority."""
        for route in table.routes:
            self._routes.setdefault(route.host.lower(), []).append(route)
            for target in route.targets:
                targets = self._targets_seconds.setdefault(target.service, {})
                shortest = targets.get(route.priority, math.inf)
                targets[route.priority] = min(shortest, route.latency_target_seconds)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._services = {service.name: service for service in table.services}
        self._workspaces: dict[str, Workspace] = {
            key: workspace for workspace in table.workspaces or () for key in workspace.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches the path."""
        for route in self._routes.get(_without_port(host).lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def urgent_target_seconds(self, service: ServiceName, *, rank: int) -> float:
        """Return the shortest latency target of a service's routes that are more urgent than rank.

        It is infinite if there are none.
        """
        targets = self._targets_seconds.get(service, {})
        return min((s for other, s in targets.items() if other < rank), default=math.inf)

    def get_service(self, name: ServiceName) -> Service:
        """Return a service, or one with default values if the configuration does not define it."""
        return self._services.get(name) or Service(name=name)

    @property
    def keys_required(self) -> bool:
        """Return whether calls to routes that are not public need a key."""
        return self.table.workspaces is not None

    def find_workspace(self, key: str | None) -> Workspace | None:
        """Return the workspace that a key belongs to."""
        return None if key is None else self._workspaces.get(key)


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def choose_service(route: Route, rng: random.Random) -> ServiceName:
    """Choose one of a route's services at random by weight, or evenly if no weight is positive."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    if not any(weights):
        weights = [1] * len(targets)
    return rng.choices([target.service for target in targets], weights=weights)[0]
