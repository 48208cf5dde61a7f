"""Define the messages, requests and results of endpoint selection."""

from enum import Enum

import msgspec

from egretrouter.core.configuration import EngineRole
from egretrouter.core.identifiers import (
    CallId,
    Digest,
    EndpointId,
    ModelName,
    RegionId,
    ServiceName,
    ZoneId,
)


class EndpointState(Enum):
    """List the states that the selector assigns to an endpoint."""

    READY = "ready"
    SLOW_START = "slow_start"
    DRAINING = "draining"
    EJECTED = "ejected"


class EndpointUpdated(msgspec.Struct, frozen=True, kw_only=True):
    """Report an endpoint's current state from membership; repeated messages have no effect."""

    endpoint_id: EndpointId
    address: str
    zone: ZoneId
    region: RegionId
    service: ServiceName
    version_digests: frozenset[Digest] = frozenset()
    adapters: frozenset[ModelName] = frozenset()
    role: EngineRole = EngineRole.BOTH
    draining: bool = False
    loaded_age_seconds: float | None = None
    """Time since the endpoint finished its last load; None counts as long ago."""


class EndpointRemoved(msgspec.Struct, frozen=True, kw_only=True):
    """Report that an endpoint has left the deployment or is dead."""

    endpoint_id: EndpointId


class LoadReported(msgspec.Struct, frozen=True, kw_only=True):
    """Report an endpoint's load as it was age_seconds ago."""

    endpoint_id: EndpointId
    queued_calls: int
    running_calls: int
    age_seconds: float
    finished_calls_total: int | None = None
    """Calls whose first token was produced since the endpoint started, if it counts them."""


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Report changes of an endpoint's prefix cache; sequence numbers reveal lost events."""

    endpoint_id: EndpointId
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False


class RoutersCounted(msgspec.Struct, frozen=True, kw_only=True):
    """Report the number of live routers that share the endpoints, including this one."""

    routers: int


class CallSent(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a call was sent to the chosen endpoint."""

    call_id: CallId
    endpoint_id: EndpointId
    prompt_tokens: int = 0
    prompt_blocks: tuple[int, ...] = ()
    request_bytes: int = 0
    by_prefix_affinity: bool = False
    """Copied from Choice."""


class FirstTokenReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Report the first token of a call, with the cached tokens if the engine reports them."""

    call_id: CallId
    cached_tokens: int | None = None


class CallEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a call succeeded or was cancelled by its caller."""

    call_id: CallId


class CallFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a call failed because of its endpoint."""

    call_id: CallId


RoutingMessage = (
    EndpointUpdated
    | EndpointRemoved
    | LoadReported
    | CacheEvent
    | RoutersCounted
    | CallSent
    | FirstTokenReceived
    | CallEnded
    | CallFailed
)


class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the call for which an endpoint is selected."""

    service: ServiceName
    version_digest: Digest | None = None
    """The only acceptable version; None accepts any loaded one."""
    adapter: ModelName | None = None
    role: EngineRole = EngineRole.BOTH
    prompt_tokens: int = 0
    prompt_blocks: tuple[int, ...] = ()
    """Hashes of the prompt's leading blocks; each covers the prompt up to the end of its block."""
    request_bytes: int = 0
    deadline_seconds: float | None = None
    """Time remaining until the first token is due."""
    urgent: bool = False
    """The endpoint serves the call ahead of its queue."""
    excluded: frozenset[EndpointId] = frozenset()
    """Endpoints used by earlier attempts of this call."""


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the selected endpoint and the estimated wait for its first token."""

    endpoint_id: EndpointId
    address: str
    estimated_wait_seconds: float
    cached_tokens: int = 0
    other_zone: bool = False
    by_prefix_affinity: bool = False
    """Whether consistent hashing maps the prompt's prefix to this endpoint on every router."""


class RefusalReason(Enum):
    """List the reasons why no endpoint was selected."""

    NO_ENDPOINT = "no_endpoint"
    DRAINING = "draining"
    VERSION_NOT_LOADED = "version_not_loaded"
    ADAPTER_NOT_LOADED = "adapter_not_loaded"
    ROLE_NOT_SERVED = "role_not_served"
    ALL_EXCLUDED = "all_excluded"
    OVERLOADED = "overloaded"


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Report why no endpoint was selected and when to retry."""

    reason: RefusalReason
    retry_after_seconds: float


class EndpointEjected(msgspec.Struct, frozen=True, kw_only=True):
    """Report that an endpoint is ejected until a given time, for the log and metrics."""

    endpoint_id: EndpointId
    until_seconds: float


class SelectorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the selection of endpoints."""

    random_candidates: int = 3
    affinity_candidates: int = 2
    affinity_blocks: int = 4
    """Leading blocks hashed to assign a new prefix to endpoints."""
    zone_ring_endpoints: int = 8
    """Minimum endpoints of a zone with its own hash ring; fewer have too little cache for that."""
    initial_place_trust: float = 0.6
    """Share of a prompt assumed to be cached at its affinity endpoint before any measurement."""
    holder_candidates: int = 4
    block_tokens: int = 32
    index_entries: int = 65_536
    report_memory_seconds: float = 3.0
    """Time constant with which a report decays towards the long-run mean."""
    own_memory_seconds: float = 1.0
    """Time constant with which calls sent since the report are assumed to be served."""
    others_weight: float = 0.15
    """Estimated calls of each other router per call that this router sent since the report."""
    spill_margin_seconds: float = 0.005
    """Extra wait accepted in the local zone before a call is sent to another zone."""
    zone_round_trip_seconds: float = 0.002
    region_round_trip_seconds: float = 0.004
    region_link_bytes_per_second: float = 40_000.0
    """This router's share of the bandwidth between regions for requests."""
    cached_work_weight: float = 1.0
    """Extra weight of prefill work in the cost, as it takes capacity from later calls."""
    slow_start_seconds: float = 15.0
    initial_service_seconds: float = 0.1
    initial_token_seconds: float = 0.0002
    failures_to_eject: int = 3
    ejection_seconds: float = 10.0
    ejection_limit_seconds: float = 300.0
    minimum_in_use_share: float = 0.5
