"""Describe routes, endpoints and weights where routers reach endpoints directly."""

from enum import Enum

import msgspec

from egretrouter.core.identifiers import (
    EndpointId,
    ModelName,
    ServiceName,
    WorkspaceId,
    ZoneId,
)


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    """Give every record the same form."""


class CallKind(Enum):
    """Name how often a call may run and how it is answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Target(_Record, frozen=True, kw_only=True):
    """Name a service that a route sends a share of its calls to."""

    service: ServiceName
    weight: int


class Route(_Record, frozen=True, kw_only=True):
    """Map a host and a path prefix to services."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    targets: tuple[Target, ...]
    max_sends: int
    """How many endpoints one call may be sent to."""
    timeout_seconds: float
    latency_target_seconds: float
    max_event_gap_seconds: float = 0.0
    priority: int = 0
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a call may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or (self.kind is CallKind.STREAM and self.resumable)


class EngineProfile(_Record, frozen=True, kw_only=True):
    """Hold the published figures of a service's model engines."""

    slots: int
    step_seconds: float
    step_per_sequence_seconds: float
    step_per_context_token_seconds: float
    prefill_tokens_per_second: float
    prefill_seconds_per_token_pair: float
    steps_per_pass: int
    prefill_chunk_tokens: int
    cache_tokens: int
    report_lag_seconds: float
    usual_prompt_tokens: float
    usual_answer_tokens: float
    models: tuple[ModelName, ...] = ()


class Service(_Record, frozen=True, kw_only=True):
    """Describe one service."""

    name: ServiceName
    max_connections: int = 0
    engine: EngineProfile | None = None


class Origin(_Record, frozen=True, kw_only=True):
    """Locate the origin of weights."""

    address: str
    zone: ZoneId
    link_bits_per_second: float
    max_connections: int


class CallerLimits(_Record, frozen=True, kw_only=True):
    """Bound what a caller may send and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class Workspace(_Record, frozen=True, kw_only=True):
    """Hold a workspace's keys and its rank; rank 0 is the most urgent."""

    workspace_id: WorkspaceId
    keys: tuple[str, ...]
    priority: int | None = None


class RoutingTable(_Record, frozen=True, kw_only=True):
    """Hold one version of the configuration as a whole."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] | None = None
    """None if calls need no key."""
    limits: CallerLimits = CallerLimits()
    origin: Origin | None = None


class EndpointState(Enum):
    """Name the states that an endpoint registers."""

    READY = "ready"
    DRAINING = "draining"


class LoadedWeights(_Record, frozen=True, kw_only=True):
    """Name a model version that an endpoint holds; version 0 is none."""

    model: ModelName
    version: int


class Endpoint(_Record, frozen=True, kw_only=True):
    """Describe one endpoint as it registered itself."""

    endpoint_id: EndpointId
    service: ServiceName
    address: str
    zone: ZoneId
    state: EndpointState
    slots: int
    started_ms: int = 0
    cold_seconds: float = 0.0
    """How long the endpoint was to stay slow when it registered."""
    weights: tuple[LoadedWeights, ...] | None = None
    """None if the endpoint is no model engine."""


class WeightVersion(_Record, frozen=True, kw_only=True):
    """Name the version of a model's weights that is to serve."""

    model: ModelName
    version: int
