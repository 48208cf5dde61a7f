"""Implement the routing and weight-switch decisions for directly reached endpoints, without I/O."""

from egretrouter.core.direct._call import DirectCall, NextStep, SendEnded, SendOutcome
from egretrouter.core.direct._directory import (
    SWITCH_MARGIN_SECONDS,
    SWITCH_QUEUE_SECONDS,
    EndpointDirectory,
    WeightTargets,
)
from egretrouter.core.direct._endpoint_limits import EndpointLimits, LimitNews
from egretrouter.core.direct._endpoint_run import EndpointRun
from egretrouter.core.direct._events import EventSplitter
from egretrouter.core.direct._fleet import Fleet, SendGreeting
from egretrouter.core.direct._grace_period import GracePeriod
from egretrouter.core.direct._leaving import (
    LeavingChange,
    LeavingEndpoints,
    LeavingNews,
    LeavingSource,
)
from egretrouter.core.direct._members import (
    FleetMember,
    FleetRole,
    Greeting,
    MemberHealth,
    Revisions,
)
from egretrouter.core.direct._pauses import EndpointPauses, PauseStarted
from egretrouter.core.direct._placement import (
    CallRequirements,
    Choice,
    LoadReport,
    NoEndpointAvailable,
    Placement,
    first_event_seconds,
    longest_call_seconds,
    service_seconds,
)
from egretrouter.core.direct._quarantine import PartNews, PartQuarantine, PartStanding, Prompt
from egretrouter.core.direct._records import (
    CallerLimits,
    CallKind,
    Endpoint,
    EndpointState,
    EngineProfile,
    LoadedWeights,
    Origin,
    Route,
    RoutingTable,
    Service,
    Target,
    WeightVersion,
    Workspace,
)
from egretrouter.core.direct._repeats import RepeatBudget
from egretrouter.core.direct._routes import RouteIndex, choose_service
from egretrouter.core.direct._switch import Replica, WeightSwitch

__all__ = [
    "SWITCH_MARGIN_SECONDS",
    "SWITCH_QUEUE_SECONDS",
    "CallKind",
    "CallRequirements",
    "CallerLimits",
    "Choice",
    "DirectCall",
    "Endpoint",
    "EndpointDirectory",
    "EndpointLimits",
    "EndpointPauses",
    "EndpointRun",
    "EndpointState",
    "EngineProfile",
    "EventSplitter",
    "Fleet",
    "FleetMember",
    "FleetRole",
    "GracePeriod",
    "Greeting",
    "LeavingChange",
    "LeavingEndpoints",
    "LeavingNews",
    "LeavingSource",
    "LimitNews",
    "LoadReport",
    "MemberHealth",
    "LoadedWeights",
    "NextStep",
    "NoEndpointAvailable",
    "Origin",
    "PartNews",
    "PartQuarantine",
    "PartStanding",
    "PauseStarted",
    "Placement",
    "Prompt",
    "RepeatBudget",
    "Replica",
    "Revisions",
    "Route",
    "RouteIndex",
    "RoutingTable",
    "SendGreeting",
    "SendEnded",
    "SendOutcome",
    "Service",
    "Target",
    "WeightSwitch",
    "WeightTargets",
    "WeightVersion",
    "Workspace",
    "choose_service",
    "first_event_seconds",
    "longest_call_seconds",
    "service_seconds",
]
