"""Implement the routing and weight-switch decisions for directly reached endpoints, without I/O."""

from egretrouter.core.direct._answer_lengths import AnswerLengths, LengthEstimate
from egretrouter.core.direct._call import DirectCall, NextStep, SendEnded, SendOutcome
from egretrouter.core.direct._call_cost import (
    CallCost,
    call_cost,
    calls_equivalent,
    prompts_equivalent,
    usual_call_cost,
)
from egretrouter.core.direct._capacity_shares import CapacityShares
from egretrouter.core.direct._checks import (
    RecordMalformedError,
    check_endpoint,
    check_evacuation,
    check_leaving_news,
    check_limit_news,
    check_load,
    check_member,
    check_named_version,
    check_part_news,
    check_revisions,
    check_weight_version,
)
from egretrouter.core.direct._choice import CallRequirements, Choice, NoEndpointAvailable
from egretrouter.core.direct._cold_endpoints import ColdChange, ColdEndpoints, ColdReason
from egretrouter.core.direct._directory import EndpointDirectory
from egretrouter.core.direct._endpoint_limits import EndpointLimits, LimitNews
from egretrouter.core.direct._endpoint_run import EndpointRun
from egretrouter.core.direct._engine_times import (
    first_event_seconds,
    full_step_seconds,
    longest_call_seconds,
    prefill_finish_seconds,
    prompt_prefill_seconds,
    service_seconds,
)
from egretrouter.core.direct._evacuations import (
    REWRITE_SECONDS,
    Evacuation,
    EvacuationChange,
    ZoneEvacuations,
)
from egretrouter.core.direct._events import EventSplitter
from egretrouter.core.direct._exclusions import (
    ColdGate,
    EndpointExclusions,
    EndpointSurvey,
    ExcludedEndpoints,
    Exclusion,
    describe_exclusions,
    home_regions_of,
)
from egretrouter.core.direct._explanation import (
    EndpointLoad,
    ExplainedEndpoint,
    ExplainedRefusal,
    ExplainProblem,
    ExplainQuery,
    Explanation,
)
from egretrouter.core.direct._fleet import Fleet, SendGreeting
from egretrouter.core.direct._grace_period import GracePeriod
from egretrouter.core.direct._leaving import (
    LeavingChange,
    LeavingEndpoints,
    LeavingNews,
    LeavingSource,
)
from egretrouter.core.direct._listing_turns import ZONE_STEP, ListingTurns, stand_in_seconds
from egretrouter.core.direct._load_report import LoadReport
from egretrouter.core.direct._members import (
    FleetMember,
    FleetRole,
    Greeting,
    MemberHealth,
    Revisions,
)
from egretrouter.core.direct._momentary_load import MAX_SLOWDOWN, MIN_SLOWDOWN, MomentaryLoad
from egretrouter.core.direct._name_times import NameTimes
from egretrouter.core.direct._pauses import EndpointPauses, PauseStarted
from egretrouter.core.direct._placement import Placement
from egretrouter.core.direct._quarantine import PartNews, PartQuarantine, PartStanding, Prompt
from egretrouter.core.direct._ranks import LEAST_URGENT_RANK, late_rank
from egretrouter.core.direct._records import (
    CallerLimits,
    CallKind,
    Endpoint,
    EndpointState,
    EngineProfile,
    LoadedWeights,
    NamedVersion,
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
from egretrouter.core.direct._served_shares import ServedShares
from egretrouter.core.direct._state_order import StoreRevision
from egretrouter.core.direct._store_outages import StoreOutages
from egretrouter.core.direct._switch import Replica, WeightSwitch
from egretrouter.core.direct._transit_times import TransitTimes
from egretrouter.core.direct._waiting_calls import WaitingCalls
from egretrouter.core.direct._weight_targets import (
    MIN_START_LEAD_SECONDS,
    WeightTargets,
    queue_lead_seconds,
    start_lead_seconds,
)

__all__ = [
    "REWRITE_SECONDS",
    "ZONE_STEP",
    "MAX_SLOWDOWN",
    "MIN_SLOWDOWN",
    "LEAST_URGENT_RANK",
    "MIN_START_LEAD_SECONDS",
    "AnswerLengths",
    "CallCost",
    "CallKind",
    "CallRequirements",
    "CallerLimits",
    "ColdGate",
    "CapacityShares",
    "Choice",
    "ColdChange",
    "ColdEndpoints",
    "ColdReason",
    "DirectCall",
    "Endpoint",
    "EndpointDirectory",
    "EndpointExclusions",
    "EndpointLimits",
    "EndpointLoad",
    "EndpointPauses",
    "EndpointRun",
    "EndpointState",
    "EndpointSurvey",
    "EngineProfile",
    "Evacuation",
    "EvacuationChange",
    "EventSplitter",
    "ExcludedEndpoints",
    "Exclusion",
    "ExplainProblem",
    "ExplainQuery",
    "ExplainedEndpoint",
    "ExplainedRefusal",
    "Explanation",
    "Fleet",
    "FleetMember",
    "FleetRole",
    "GracePeriod",
    "Greeting",
    "LeavingChange",
    "LeavingEndpoints",
    "LeavingNews",
    "LeavingSource",
    "LengthEstimate",
    "LimitNews",
    "ListingTurns",
    "LoadReport",
    "MemberHealth",
    "LoadedWeights",
    "MomentaryLoad",
    "NameTimes",
    "NamedVersion",
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
    "ServedShares",
    "Service",
    "StoreOutages",
    "StoreRevision",
    "Target",
    "TransitTimes",
    "WaitingCalls",
    "WeightSwitch",
    "WeightTargets",
    "WeightVersion",
    "Workspace",
    "ZoneEvacuations",
    "call_cost",
    "calls_equivalent",
    "choose_service",
    "describe_exclusions",
    "first_event_seconds",
    "home_regions_of",
    "late_rank",
    "full_step_seconds",
    "longest_call_seconds",
    "prefill_finish_seconds",
    "prompt_prefill_seconds",
    "prompts_equivalent",
    "queue_lead_seconds",
    "start_lead_seconds",
    "service_seconds",
    "usual_call_cost",
    "RecordMalformedError",
    "check_endpoint",
    "check_evacuation",
    "check_leaving_news",
    "check_limit_news",
    "check_load",
    "check_member",
    "check_named_version",
    "check_part_news",
    "check_revisions",
    "check_weight_version",
    "stand_in_seconds",
]
