"""Define the state of a call in progress at a router."""

import msgspec
from aiohttp import web

from egretrouter.backends import CallHeaders
from egretrouter.core.direct import (
    LEAST_URGENT_RANK,
    CallCost,
    Choice,
    DirectCall,
    EventSplitter,
    Prompt,
    Route,
    Service,
    Workspace,
    late_rank,
)
from egretrouter.core.identifiers import EndpointId, RegionId
from egretrouter.direct._answer_memory import AnswerHold


class CallRegions(msgspec.Struct, frozen=True, kw_only=True):
    """Cache the regions in which a call may be served, as one version of the configuration says."""

    configuration: int
    """That version."""
    regions: frozenset[RegionId] | None
    """None if all regions may serve it."""


class ActiveCall(msgspec.Struct, kw_only=True):
    """Collect the request, routing and progress of one call."""

    request: web.BaseRequest
    headers: CallHeaders
    route: Route
    workspace: Workspace | None
    service: Service
    content: bytes
    arrived_seconds: float
    deadline_seconds: float
    progress: DirectCall
    cutter: EventSplitter
    hold: AnswerHold
    """The memory that the call's answer takes."""
    cost: CallCost | None = None
    """What the call is expected to cost its endpoint; None if that is not predicted."""
    tried: set[EndpointId] = msgspec.field(default_factory=set)
    next_choice: Choice | None = None
    """The endpoint for which the call has left a silent one."""
    held_by_cold: bool = False
    """Whether the call was held back since only cold endpoints without a permit could take it."""
    dry_run: bool = False
    """Whether the call is only explained and never sent."""
    late: bool = False
    """Whether the caller had waited longer than the latency target before this attempt."""
    events_before_send: int = 0
    """How many events had been forwarded when the call was last sent to an endpoint."""
    endpoint_wrote: bool = False
    """Whether the endpoint that the call was last sent to has written on it."""
    home: CallRegions | None = None
    """The regions that may serve the call; None until they were first looked up."""
    response: web.StreamResponse | None = None
    version: int | None = None
    """The version of the weights that the answer started on."""

    @property
    def rank(self) -> int:
        """Return how urgent the call is: its workspace's priority, or else its route's; 0 first."""
        priority = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            priority = self.workspace.priority
        return min(max(priority, 0), LEAST_URGENT_RANK)

    @property
    def admission_rank(self) -> int:
        """Return the rank of the call among those that compete for capacity.

        Late calls follow all others, whose answers can still start in time.
        """
        return late_rank(self.rank) if self.late else self.rank

    @property
    def prompt(self) -> Prompt:
        """Return what tells the call's prompt from others."""
        return Prompt(service=self.service.name, parts=self.headers.shared_parts)

    @property
    def events_since_send(self) -> int:
        """Return how many events the last endpoint that the call was sent to has sent."""
        return self.cutter.events - self.events_before_send
