"""Choose a reachable endpoint for one attempt of a call."""

import time

import msgspec

from egretrouter.core.calls import ChooseEndpoint
from egretrouter.core.identifiers import Digest, EndpointId, Epoch
from egretrouter.core.routing import Choice, Refusal, RefusalReason, RouteRequest
from egretrouter.daemons._link import AgentLink
from egretrouter.daemons._routed_call import CallServices

LINK_WAIT_SECONDS = 2.0


class ChosenEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Represent a chosen endpoint whose link is up, with the version that it serves."""

    choice: Choice
    link: AgentLink
    epoch: Epoch
    version_digest: Digest


async def choose_endpoint(
    services: CallServices, route: RouteRequest, command: ChooseEndpoint, *, urgent: bool
) -> ChosenEndpoint | Refusal:
    """Choose an endpoint, excluding those that can't be reached or no longer serve the route."""
    route = msgspec.structs.replace(route, urgent=urgent)
    if command.version_digest is not None:
        route = msgspec.structs.replace(route, version_digest=command.version_digest)
    tried = frozenset(EndpointId(agent) for agent in command.avoid_agents)
    unreachable: frozenset[EndpointId] = frozenset()
    while True:
        choice = _select(services, route, tried=tried, unreachable=unreachable)
        if isinstance(choice, Refusal):
            return choice
        link = services.get_link(choice.address)
        up = await link.wait_until_up(timeout_seconds=LINK_WAIT_SECONDS)
        digest = services.find_serving_digest(choice.endpoint_id, route)
        if up and link.epoch is not None and digest is not None:
            return ChosenEndpoint(choice=choice, link=link, epoch=link.epoch, version_digest=digest)
        unreachable |= {choice.endpoint_id}


def _select(
    services: CallServices,
    route: RouteRequest,
    *,
    tried: frozenset[EndpointId],
    unreachable: frozenset[EndpointId],
) -> Choice | Refusal:
    """Select an endpoint that was not tried before, or a tried one if there is no other."""
    now = time.monotonic()
    request = msgspec.structs.replace(route, excluded=tried | unreachable)
    decision = services.selector.choose(request, now_seconds=now)
    if isinstance(decision, Refusal) and decision.reason is RefusalReason.ALL_EXCLUDED:
        request = msgspec.structs.replace(route, excluded=unreachable)
        return services.selector.choose(request, now_seconds=now)
    return decision
