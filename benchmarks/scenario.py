"""Define the parameters and the calls of one run of the routing model."""

import msgspec

from egretrouter.core.identifiers import (
    CallId,
    ServiceName,
    WorkspaceId,
)
from egretrouter.core.routing import (
    RouteRequest,
    SelectorSettings,
)

SERVICE = ServiceName("llm")
CONNECT_FAILURE_SECONDS = 0.05


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Configure one run."""

    policy: str
    seed: int
    engines: int = 8
    routers: int = 15
    zones: int = 3
    load: float = 0.8
    """Offered load as a share of what the engines can prefill without any cached prefix."""
    duration_seconds: float = 120.0
    warm_up_seconds: float = 30.0
    report_lag_seconds: float = 1.0
    report_interval_seconds: float = 1.0
    lost_event_share: float = 0.02
    templates: int = 200
    template_skew: float = 1.0
    cache_blocks: int = 512
    output_tokens: float = 60.0
    deadline_seconds: float = 2.0
    limits: bool = False
    target_wait_seconds: float = 0.13
    workspace_loads: dict[str, float] | None = None
    outage_from_seconds: float | None = None
    outage_share: float = 1 / 3
    retry_budget: bool = True
    settings: SelectorSettings = SelectorSettings()


class ModelCall(msgspec.Struct):
    """Track one call and its outcome."""

    call_id: CallId
    workspace: WorkspaceId
    request: RouteRequest
    output: int
    arrived_seconds: float
    first_seconds: float | None = None
    attempts: int = 0
    refused: bool = False
    urgent: bool = False
