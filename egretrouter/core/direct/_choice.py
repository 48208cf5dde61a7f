"""Define what a call requires of its endpoint, and the outcome of the choice of one."""

from collections.abc import Collection

import msgspec

from egretrouter.core.direct._call_cost import CallCost
from egretrouter.core.direct._records import Endpoint
from egretrouter.core.identifiers import EndpointId, ModelName


class CallRequirements(msgspec.Struct, frozen=True, kw_only=True):
    """Describe what a call requires of its endpoint."""

    model: ModelName | None = None
    oldest_version: int = 0
    oldest_queued_version: int = 0
    """The oldest version for a call that may queue at its endpoint."""
    exact_version: int | None = None
    """The version that a resumed stream started on; None for other calls."""
    latency_left_seconds: float = 0.4
    """How soon the answer must start to meet the latency target."""
    late: bool = False
    """Whether the call can no longer meet its latency target."""
    rank: int = 0
    """How urgent the call is among those that compete for capacity; 0 is the most urgent."""
    cost: CallCost | None = None
    """What the call is expected to cost its endpoint; None counts as usual."""
    may_queue: bool = True
    """Whether the call may wait in an endpoint's queue."""
    tried: Collection[EndpointId] = ()
    dry_run: bool = False
    """Whether the call is not sent, so that it uses none of the router's share of capacity."""


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the endpoint chosen for a call."""

    endpoint: Endpoint
    version: int | None = None
    """The version of the weights that the endpoint last reported or registered."""


class NoEndpointAvailable(msgspec.Struct, frozen=True, kw_only=True):
    """Represent that no endpoint can accept a call now."""

    endpoints: int
    """How many endpoints could accept the call if they had capacity."""
    retry_after_seconds: float
    wait_seconds: float = 0.0
    """Time in which no endpoint that is known now can accept the call."""
