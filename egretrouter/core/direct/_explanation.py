"""Define what a router tells about where it would send a call now, and why."""

from typing import Annotated

import msgspec

from egretrouter.core.direct._records import CallKind
from egretrouter.core.identifiers import (
    EndpointId,
    InstanceId,
    ModelName,
    ServiceName,
    WorkspaceId,
    ZoneId,
)

MAX_TOKENS = 2**31 - 1

_Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class ExplainQuery(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Describe a call that is not sent."""

    host: str
    path: str
    key: str | None = None
    model: ModelName | None = None
    prompt_tokens: _Tokens = 0
    answer_tokens: _Tokens = 0
    """Largest number of answer tokens that the caller accepts."""
    expected_answer_tokens: _Tokens | None = None
    """The caller's estimate of the answer's tokens; answer_tokens if it has none."""


class EndpointLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the load of an endpoint as placement sees it."""

    expected_calls: float
    """Calls that probably run or queue there now."""
    slots: int
    in_flight: int
    """Calls of this router."""
    age_seconds: float | None
    """How old the last report of its load is; None if there was none."""


class ExplainedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one endpoint of the call's service, and whether it is a candidate."""

    endpoint_id: EndpointId
    zone: ZoneId
    address: str
    load: EndpointLoad
    version: int | None
    """The version of the weights that it holds; None if the call needs no model or it has none."""
    exclusion: str | None
    """Why it is no candidate; None if it is one."""


class ExplainedRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the answer that the caller gets if nothing changes while its call waits."""

    status: int
    reason: str
    retry_after_seconds: float | None


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Tell where a router would send a call now, and why.

    Either an endpoint is chosen or there is a refusal.
    """

    router: InstanceId
    zone: ZoneId
    configuration: int
    """The version of the configuration in force."""
    route: str
    kind: CallKind
    service: ServiceName
    """The call's service; calls of a route with several of them are spread by their weights."""
    workspace: WorkspaceId | None
    rank: int
    """How urgent the call is; 0 is the most urgent."""
    waiting_ahead: int | None
    """Calls that wait for capacity before it; None if it would not wait, or in no order."""
    endpoints: tuple[ExplainedEndpoint, ...]
    chosen: EndpointId | None = None
    version: int | None = None
    """The version of the weights on which the call would run; None if it needs no model."""
    refusal: ExplainedRefusal | None = None


class ExplainProblem(msgspec.Struct, frozen=True, kw_only=True):
    """Tell why a call can't be explained, with the status that its caller would get."""

    status: int
    reason: str
