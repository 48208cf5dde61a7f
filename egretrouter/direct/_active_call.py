"""Hold what a router knows of a call in progress."""

import msgspec
from aiohttp import web

from egretrouter.backends import CallHeaders
from egretrouter.core.direct import DirectCall, EventSplitter, Route, Service, Workspace
from egretrouter.core.identifiers import EndpointId


class ActiveCall(msgspec.Struct, kw_only=True):
    """Hold one call while it is worked on."""

    request: web.BaseRequest
    headers: CallHeaders
    route: Route
    workspace: Workspace | None
    service: Service
    content: bytes
    arrived_seconds: float
    deadline_seconds: float
    plan: DirectCall
    cutter: EventSplitter
    tried: set[EndpointId] = msgspec.field(default_factory=set)
    late: bool = False
    """Whether the caller waited for more than the latency target before this attempt."""
    response: web.StreamResponse | None = None
    version: int | None = None
    """The version of the weights that the answer's beginning came from."""
