"""Check callers' requests against the configuration."""

import random
import time

from aiohttp import web

from egretrouter.backends import CallHeaders
from egretrouter.core.direct import (
    DirectCall,
    EventSplitter,
    Route,
    RouteIndex,
    Workspace,
    choose_service,
)
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._answer_memory import AnswerHold
from egretrouter.direct._refusals import Refusal, check_header_size, read_body
from egretrouter.direct._shared_state import SharedStateService

NO_CONFIGURATION_RETRY_SECONDS = 0.5
# By how much the deadlines that callers set for their first attempts at a route may differ, as a
# share of the longest one.
DEADLINE_SPREAD_SHARE = 0.25


class CallAdmission:
    """Turn requests into calls, or refuse them."""

    def __init__(
        self, *, state: SharedStateService, rng: random.Random, ranked: bool = False
    ) -> None:
        """Turn requests into calls; ranked if late calls wait behind all others."""
        self._ranked = ranked
        self._state = state
        self._rng = rng
        self._longest_deadlines: dict[str, float] = {}
        """The longest deadline that callers have set, by route."""

    async def admit(
        self,
        request: web.BaseRequest,
        headers: CallHeaders,
        *,
        hold: AnswerHold,
        arrived_seconds: float,
    ) -> ActiveCall:
        """Read a request and return its call.

        Raises Refusal.
        """
        routes = self._find_routes()
        check_header_size(request, routes.table.limits.header_bytes)
        host, path = request.headers.get("Host", ""), request.raw_path.partition("?")[0]
        route, workspace = _identify(routes, host, path, headers)
        limit = headers.deadline_seconds
        timeout = route.timeout_seconds if limit is None else min(limit, route.timeout_seconds)
        deadline = arrived_seconds + timeout
        content = await read_body(
            request,
            limit_bytes=routes.table.limits.body_bytes,
            limit_seconds=deadline - time.monotonic(),
        )
        return ActiveCall(
            late=self._is_late(route, headers),
            request=request,
            headers=headers,
            route=route,
            workspace=workspace,
            service=routes.get_service(choose_service(route, self._rng)),
            content=content,
            arrived_seconds=arrived_seconds,
            deadline_seconds=deadline,
            progress=DirectCall(route),
            cutter=EventSplitter(last_id=headers.resume_after),
            hold=hold,
        )

    def admit_dry_run(
        self,
        request: web.BaseRequest,
        headers: CallHeaders,
        *,
        host: str,
        path: str,
        hold: AnswerHold,
        arrived_seconds: float,
    ) -> ActiveCall:
        """Return the call that a request to some host and path would become; record nothing.

        Raises Refusal.
        """
        routes = self._find_routes()
        route, workspace = _identify(routes, host, path, headers)
        return ActiveCall(
            request=request,
            headers=headers,
            route=route,
            workspace=workspace,
            service=routes.get_service(choose_service(route, self._rng)),
            content=b"",
            arrived_seconds=arrived_seconds,
            deadline_seconds=arrived_seconds + route.timeout_seconds,
            progress=DirectCall(route),
            cutter=EventSplitter(last_id=None),
            hold=hold,
            dry_run=True,
        )

    def _find_routes(self) -> RouteIndex:
        routes = self._state.routes
        if routes is None or not self._state.complete:
            raise Refusal(
                503, "no configuration yet", retry_after_seconds=NO_CONFIGURATION_RETRY_SECONDS
            )
        return routes

    def _is_late(self, route: Route, headers: CallHeaders) -> bool:
        """Return whether this is a retry past the latency target.

        A retry has less time left than the longest deadline that callers set on the route. Where
        late calls wait behind all others, a first attempt must not be taken for one of them.
        """
        left = headers.deadline_seconds
        if left is None:
            return False
        longest = max(left, self._longest_deadlines.get(route.name, 0.0))
        self._longest_deadlines[route.name] = longest
        margin = route.latency_target_seconds
        if self._ranked:
            margin = max(margin, DEADLINE_SPREAD_SHARE * longest)
        return longest - left > margin


def _identify(
    routes: RouteIndex, host: str, path: str, headers: CallHeaders
) -> tuple[Route, Workspace | None]:
    route = routes.find_route(host, path)
    if route is None:
        raise Refusal(404, f"no route for {host}{path}")
    return route, _authenticate(routes, route, headers)


def _authenticate(routes: RouteIndex, route: Route, headers: CallHeaders) -> Workspace | None:
    workspace = routes.find_workspace(headers.key)
    if routes.keys_required and workspace is None and not route.public:
        raise Refusal(401, "the key is unknown")
    return workspace
