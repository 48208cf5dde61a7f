"""Define the messages and commands of admission."""

from enum import Enum

import msgspec

from egretrouter.core.identifiers import CallId, WorkspaceId


class LimitReason(Enum):
    """List the reasons for which a call is refused before it runs."""

    UNKNOWN_WORKSPACE = "unknown_workspace"
    RATE = "rate"
    TOKENS = "tokens"
    CONCURRENCY = "concurrency"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"


class WorkspaceLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Define one workspace's limits across all routers, and its weight in the fair queue."""

    workspace_id: WorkspaceId
    weight: int = 1
    requests_per_second: float = 50.0
    tokens_per_second: float = 10_000.0
    concurrent_calls: int = 64


class LimitsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Replace the limits of all workspaces."""

    workspaces: tuple[WorkspaceLimits, ...]


class LiveRoutersCounted(msgspec.Struct, frozen=True, kw_only=True):
    """Report the number of live routers in all zones; not sent while a zone is unreachable."""

    routers: int


class CallArrived(msgspec.Struct, frozen=True, kw_only=True):
    """Request admission of a call."""

    call_id: CallId
    workspace_id: WorkspaceId
    tokens: int = 0
    """Prompt tokens plus the maximum tokens of the answer."""
    priority: int = 0
    """Order within the workspace; higher values are served first."""
    deadline_seconds: float = 30.0
    """Time left until the call must have started."""


class CallAnswerStarted(msgspec.Struct, frozen=True, kw_only=True):
    """Report the first token of an admitted call."""

    call_id: CallId
    wait_seconds: float


class CallReleased(msgspec.Struct, frozen=True, kw_only=True):
    """Report the end of an admitted or queued call, and the tokens that it used."""

    call_id: CallId
    tokens: int | None = None
    overloaded: bool = False
    """Whether the endpoint refused the call or did not finish it by its deadline."""


class LimitsTick(msgspec.Struct, frozen=True, kw_only=True):
    """Advance the clock, so that expired calls are refused."""


LimitsMessage = (
    LimitsChanged | LiveRoutersCounted | CallArrived | CallAnswerStarted | CallReleased | LimitsTick
)


class StartCall(msgspec.Struct, frozen=True, kw_only=True):
    """Send the call to an endpoint now."""

    call_id: CallId
    urgent: bool = False
    """Whether the workspace is below its fair share; endpoints with priorities serve it first."""


class RefuseCall(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse the call with the outcome not_run."""

    call_id: CallId
    reason: LimitReason
    retry_after_seconds: float


LimitsCommand = StartCall | RefuseCall
