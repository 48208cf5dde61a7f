"""Select an endpoint for each call by estimated wait."""

from egretrouter.core.routing._catalog import ModelTarget, ServiceCatalog
from egretrouter.core.routing._messages import (
    CacheEvent,
    CallEnded,
    CallFailed,
    CallSent,
    Choice,
    EndpointEjected,
    EndpointRemoved,
    EndpointState,
    EndpointUpdated,
    FirstTokenReceived,
    LoadReported,
    Refusal,
    RefusalReason,
    RouteRequest,
    RoutersCounted,
    RoutingMessage,
    SelectorSettings,
)
from egretrouter.core.routing._prefix_index import PrefixIndex
from egretrouter.core.routing._selector import EndpointSelector

__all__ = [
    "CacheEvent",
    "CallEnded",
    "CallFailed",
    "CallSent",
    "Choice",
    "EndpointEjected",
    "EndpointRemoved",
    "EndpointSelector",
    "EndpointState",
    "EndpointUpdated",
    "FirstTokenReceived",
    "LoadReported",
    "ModelTarget",
    "PrefixIndex",
    "Refusal",
    "RefusalReason",
    "RouteRequest",
    "RoutersCounted",
    "RoutingMessage",
    "SelectorSettings",
    "ServiceCatalog",
]
