"""Define the rules, messages and commands of a call attempt."""

from enum import Enum

import msgspec

from egretrouter.core.calls._answers import AnswerBody, AnswerData, AnswerHead, CallState, Target
from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import Digest, InstanceId


class AttemptRules(msgspec.Struct, frozen=True, kw_only=True):
    """Define which retries, hedges and continuations one call allows."""

    idempotent: bool
    keyed: bool = False
    """Whether each target must be recorded in the claim before the call is sent."""
    hedged: bool = False
    repeatable_answer: bool = False
    """Whether all replicas of a version return equal bytes, so another can continue an answer."""
    max_attempts: int = 3
    max_settles: int = 3
    max_resumes: int = 3


class EndpointChosen(msgspec.Struct, frozen=True, kw_only=True):
    """Report the endpoint that was chosen for the next attempt."""

    target: Target
    version_digest: Digest


class NoEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Report that no endpoint is available or the retry budget is spent."""

    retry_after_seconds: float = 0.0


class TargetRecorded(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the attempt's target was recorded in the claim."""

    attempt: int


class TargetDenied(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the attempt's target could not be recorded in the claim."""

    attempt: int
    held_elsewhere: bool
    """Whether another call holds the key; if not, the store is unavailable or the shard full."""


class FrameArrived(msgspec.Struct, frozen=True, kw_only=True):
    """Report a frame of the answer; AnswerEnd completes the answer, AnswerFailure fails it."""

    attempt: int
    sequence: int
    body: AnswerBody


class LinkLost(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the link of an attempt broke."""

    attempt: int


class SettleAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """Report the state of an attempt that the agent returned."""

    attempt: int
    state: CallState


class SettleFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the settle request to the agent failed."""

    attempt: int


class HedgeDue(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the first frame did not arrive within the hedging delay."""


class DeadlineReached(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the call's deadline has passed."""


class RouterStopping(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the router stops without waiting for the answer."""


class CallerDisconnected(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the caller closed its connection."""


AttemptMessage = (
    EndpointChosen
    | NoEndpoint
    | TargetRecorded
    | TargetDenied
    | FrameArrived
    | LinkLost
    | SettleAnswered
    | SettleFailed
    | HedgeDue
    | DeadlineReached
    | RouterStopping
    | CallerDisconnected
)


class ChooseEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Choose an endpoint; report EndpointChosen or NoEndpoint."""

    attempt: int
    avoid_agents: frozenset[InstanceId] = frozenset()
    """Agents tried before; one of them may be chosen only if no other is available."""
    version_digest: Digest | None = None
    """The required version, set once an endpoint has started to answer."""


class RecordTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Record the target in the claim; report TargetRecorded or TargetDenied."""

    attempt: int
    target: Target


class SendOpen(msgspec.Struct, frozen=True, kw_only=True):
    """Send the call to its target."""

    attempt: int
    target: Target
    version_digest: Digest


class SendSettle(msgspec.Struct, frozen=True, kw_only=True):
    """Request the state of the attempt from its target; report SettleAnswered or SettleFailed."""

    attempt: int
    target: Target
    tries: int


class SendResume(msgspec.Struct, frozen=True, kw_only=True):
    """Request the frames from a sequence number onwards."""

    attempt: int
    target: Target
    next_sequence: int


class SendCancel(msgspec.Struct, frozen=True, kw_only=True):
    """Cancel the attempt at its target, because its answer is no longer needed."""

    attempt: int
    target: Target


class ForwardToCaller(msgspec.Struct, frozen=True, kw_only=True):
    """Forward the next piece of the answer, verified to be in order."""

    body: AnswerHead | AnswerData


class FinishCaller(msgspec.Struct, frozen=True, kw_only=True):
    """End the caller's stream normally, because the answer is complete."""


class FailCaller(msgspec.Struct, frozen=True, kw_only=True):
    """End the caller's request with an error."""

    outcome: Outcome
    reason: str
    retry_after_seconds: float = 0.0


class DeferToClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Answer the caller from the claim of another call that holds the key."""


class ClaimEnd(Enum):
    """List the states in which a call may leave its claim."""

    FINISHED = "finished"
    RELEASED = "released"
    UNSETTLED = "unsettled"


class CloseClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Record the end of the call in its claim."""

    end: ClaimEnd


AttemptCommand = (
    ChooseEndpoint
    | RecordTarget
    | SendOpen
    | SendSettle
    | SendResume
    | SendCancel
    | ForwardToCaller
    | FinishCaller
    | FailCaller
    | DeferToClaim
    | CloseClaim
)
