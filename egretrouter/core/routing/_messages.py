"""Define the messages, requests and decisions of the choice of endpoint."""

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
    """Name the states of an endpoint in the selector's view."""

    READY = "ready"
    SLOW_START = "slow_start"
    DRAINING = "draining"
    EJECTED = "ejected"


class EndpointUpdated(msgspec.Struct, frozen=True, kw_only=True):
    """Report what membership knows about an endpoint; repeats are harmless."""

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
    """Time since the endpoint finished its last load; unknown counts as long ago."""


class EndpointRemoved(msgspec.Struct, frozen=True, kw_only=True):
    """Report that an endpoint has left or is dead."""

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
    """Report changes of an endpoint's prefix cache; sequence numbers show gaps."""

    endpoint_id: EndpointId
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False


class RoutersCounted(msgspec.Struct, frozen=True, kw_only=True):
    """Report how many live routers share the endpoints, this one included."""

    routers: int


class CallSent(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a call was sent to the chosen endpoint."""

    call_id: CallId
    endpoint_id: EndpointId
    prompt_tokens: int = 0
    prompt_blocks: tuple[int, ...] = ()
    request_bytes: int = 0
    by_prefix_affinity: bool = False
    """Copied from the choice."""


class FirstTokenReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Report the first token of a call, with the cached tokens if the engine tells them."""

    call_id: CallId
    cached_tokens: int | None = None


class CallEnded(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a call ended well, or by its caller's wish."""

    call_id: CallId


class CallFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a call failed by the endpoint's fault."""

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
    """Describe the call for which an endpoint is chosen."""

    service: ServiceName
    version_digest: Digest | None = None
    """The only version whose answer is acceptable; None accepts any loaded one."""
    adapter: ModelName | None = None
    role: EngineRole = EngineRole.BOTH
    prompt_tokens: int = 0
    prompt_blocks: tuple[int, ...] = ()
    """Hashes of the prompt's leading blocks; each covers everything before its end."""
    request_bytes: int = 0
    deadline_seconds: float | None = None
    """Time left until the first token is due."""
    urgent: bool = False
    """The endpoint serves the call ahead of its queue."""
    excluded: frozenset[EndpointId] = frozenset()
    """Endpoints that earlier attempts of this call have used."""


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Name the chosen endpoint and the wait for its first token."""

    endpoint_id: EndpointId
    address: str
    estimated_wait_seconds: float
    cached_tokens: int = 0
    other_zone: bool = False
    by_prefix_affinity: bool = False
    """Whether all routers send prompts with this beginning to the endpoint."""


class RefusalReason(Enum):
    """Name why no endpoint was chosen."""

    NO_ENDPOINT = "no_endpoint"
    DRAINING = "draining"
    VERSION_NOT_LOADED = "version_not_loaded"
    ADAPTER_NOT_LOADED = "adapter_not_loaded"
    ROLE_NOT_SERVED = "role_not_served"
    ALL_EXCLUDED = "all_excluded"
    OVERLOADED = "overloaded"


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """State why no endpoint was chosen and when another try makes sense."""

    reason: RefusalReason
    retry_after_seconds: float


class EndpointEjected(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that an endpoint takes no calls for a time, for the log and metrics."""

    endpoint_id: EndpointId
    until_seconds: float


class SelectorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the parameters of the choice of endpoint."""

    random_candidates: int = 3
    affinity_candidates: int = 2
    affinity_blocks: int = 4
    """Leading blocks that decide where a new prefix is placed."""
    zone_ring_endpoints: int = 8
    """Endpoints from which a zone places prefixes alone; fewer have too little cache for that."""
    initial_place_trust: float = 0.6
    """Part of a prompt that its place is taken to hold before measurements are in."""
    holder_candidates: int = 4
    block_tokens: int = 32
    index_entries: int = 65_536
    report_memory_seconds: float = 3.0
    """Time constant with which a report loses its weight against the long-run mean."""
    own_memory_seconds: float = 1.0
    """Time constant with which own calls since the report are taken as served."""
    others_weight: float = 0.15
    """Calls of each other router that one own call since the report stands for."""
    spill_margin_seconds: float = 0.005
    """Extra wait that the local zone may have before a call goes to another zone."""
    zone_round_trip_seconds: float = 0.002
    region_round_trip_seconds: float = 0.004
    region_link_bytes_per_second: float = 40_000.0
    """This router's share of the link between regions for requests."""
    cached_work_weight: float = 1.0
    """Weight of prefill work beyond the call's own wait; it uses up capacity of later calls."""
    slow_start_seconds: float = 15.0
    initial_service_seconds: float = 0.1
    initial_token_seconds: float = 0.0002
    failures_to_eject: int = 3
    ejection_seconds: float = 10.0
    ejection_limit_seconds: float = 300.0
    minimum_in_use_share: float = 0.5
