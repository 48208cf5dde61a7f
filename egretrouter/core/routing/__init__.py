"""Offer the choice of an endpoint for each call."""

from egretrouter.core.routing._catalog import ModelTarget, ServiceCatalog
from egretrouter.core.routing._messages import (
    CacheEvent,
    CallEnded,
    CallFailed,
    CallSent,
    Choice,
    EndpointEjected,
    EndpointGone,
    EndpointSeen,
    EndpointState,
    FirstTokenSeen,
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
    "EndpointGone",
    "EndpointSeen",
    "EndpointSelector",
    "EndpointState",
    "FirstTokenSeen",
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
