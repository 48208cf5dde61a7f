"""Define a routed call and the services that all calls of a router share."""

import random
from collections.abc import Callable

import msgspec

from egretrouter.core.calls import AttemptRules
from egretrouter.core.identifiers import CallId, Digest, EndpointId, WorkspaceId
from egretrouter.core.limits import Backoff, HedgingBudget, RetryBudget
from egretrouter.core.routing import EndpointSelector, RouteRequest
from egretrouter.daemons._claims import ClaimService
from egretrouter.daemons._link import AgentLink


class RoutedCall(msgspec.Struct, frozen=True, kw_only=True):
    """Represent a caller's request after it is parsed and assigned to a service."""

    call_id: CallId
    request_id: str
    workspace: WorkspaceId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    content: bytes
    route: RouteRequest
    rules: AttemptRules
    deadline_at_seconds: float
    priority: int = 0
    idempotency_key: str | None = None
    """Set only for a call that must not run twice."""


class CallServices(msgspec.Struct, frozen=True, kw_only=True):
    """Group the services and budgets that all calls of a router share."""

    selector: EndpointSelector
    get_link: Callable[[str], AgentLink]
    find_serving_digest: Callable[[EndpointId, RouteRequest], Digest | None]
    retry_budget: RetryBudget
    hedging_budget: HedgingBudget
    backoff: Backoff
    claims: ClaimService
    rng: random.Random
