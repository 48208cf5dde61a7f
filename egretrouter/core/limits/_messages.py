"""Define the messages and commands of admission."""

from enum import Enum

import msgspec

from egretrouter.core.identifiers import CallId, WorkspaceId


class LimitReason(Enum):
    """Name why a call was refused before it ran."""

    UNKNOWN_WORKSPACE = "unknown_workspace"
    RATE = "rate"
    TOKENS = "tokens"
    CONCURRENCY = "concurrency"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"


class WorkspaceLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one workspace's limits over all routers, and its weight."""

    workspace_id: WorkspaceId
    weight: int = 1
    requests_per_second: float = 50.0
    tokens_per_second: float = 10_000.0
    concurrent_calls: int = 64


class LimitsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Put the limits of all workspaces in force."""

    workspaces: tuple[WorkspaceLimits, ...]


class LiveRoutersCounted(msgspec.Struct, frozen=True, kw_only=True):
    """Report the live routers in all zones; not sent while zones are out of contact."""

    routers: int


class CallArrived(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for admission of a call."""

    call_id: CallId
    workspace_id: WorkspaceId
    tokens: int = 0
    """Prompt tokens and the most tokens that the answer may have."""
    priority: int = 0
    """Order within the workspace; higher goes first."""
    deadline_seconds: float = 30.0
    """Time left until the call must have started."""


class CallAnswerStarted(msgspec.Struct, frozen=True, kw_only=True):
    """Report the first token of an admitted call."""

    call_id: CallId
    wait_seconds: float


class CallReleased(msgspec.Struct, frozen=True, kw_only=True):
    """Report that an admitted or queued call is over, with the tokens that it used."""

    call_id: CallId
    tokens: int | None = None
    overloaded: bool = False
    """The endpoint refused the call, or it passed its deadline there."""


class LimitsTick(msgspec.Struct, frozen=True, kw_only=True):
    """Let time pass, so that expired calls are refused."""


LimitsMessage = (
    LimitsChanged | LiveRoutersCounted | CallArrived | CallAnswerStarted | CallReleased | LimitsTick
)


class StartCall(msgspec.Struct, frozen=True, kw_only=True):
    """Send the call to an endpoint now."""

    call_id: CallId
    urgent: bool = False
    """The workspace is below its fair share; endpoints with priorities serve the call first."""


class RefuseCall(msgspec.Struct, frozen=True, kw_only=True):
    """Refuse the call as not_run."""

    call_id: CallId
    reason: LimitReason
    retry_after_seconds: float


LimitsCommand = StartCall | RefuseCall
