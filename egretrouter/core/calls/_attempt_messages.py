"""Define the rules, messages and commands of a call attempt."""

from enum import Enum

import msgspec

from egretrouter.core.calls._answers import AnswerBody, AnswerData, AnswerHead, CallState, Target
from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import Digest, InstanceId


class AttemptRules(msgspec.Struct, frozen=True, kw_only=True):
    """State what may be done to answer one call."""

    idempotent: bool
    keyed: bool = False
    """Whether each target must be recorded in the claim before the call is sent."""
    hedged: bool = False
    repeatable_answer: bool = False
    """Whether every replica of a version gives the same bytes, so an answer can be continued."""
    max_attempts: int = 3
    max_settles: int = 3
    max_resumes: int = 3


class EndpointChosen(msgspec.Struct, frozen=True, kw_only=True):
    """Report the endpoint that was chosen for the next attempt."""

    target: Target
    version_digest: Digest


class NoEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Report that no endpoint may be used or the retry budget is spent."""

    retry_after_seconds: float = 0.0


class TargetRecorded(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the claim names the attempt's target."""

    attempt: int


class TargetDenied(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the claim could not name the attempt's target."""

    attempt: int
    held_elsewhere: bool
    """Whether another call holds the key; otherwise the store is out or full."""


class FrameArrived(msgspec.Struct, frozen=True, kw_only=True):
    """Report a frame of the answer; AnswerEnd ends it, AnswerFailure fails it."""

    attempt: int
    sequence: int
    body: AnswerBody


class LinkLost(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the link of an attempt broke."""

    attempt: int


class SettleAnswered(msgspec.Struct, frozen=True, kw_only=True):
    """Report what the agent knows about an attempt."""

    attempt: int
    state: CallState


class SettleFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the agent could not be asked."""

    attempt: int


class HedgeDue(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the first frame is late."""


class DeadlineReached(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the caller waits no longer."""


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
    | CallerDisconnected
)


class ChooseEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Choose an endpoint; report EndpointChosen or NoEndpoint."""

    attempt: int
    avoid_agents: frozenset[InstanceId] = frozenset()
    """Agents tried before; one of them may be chosen if there is no other."""
    version_digest: Digest | None = None
    """The version that must be served, once a byte of the answer was forwarded."""


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
    """Ask the target what became of the attempt; report SettleAnswered or SettleFailed."""

    attempt: int
    target: Target
    tries: int


class SendResume(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the frames from a sequence number on."""

    attempt: int
    target: Target
    next_sequence: int


class SendCancel(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the target that nobody waits for the attempt's answer."""

    attempt: int
    target: Target


class ForwardToCaller(msgspec.Struct, frozen=True, kw_only=True):
    """Pass a verified-in-order piece of the answer on."""

    body: AnswerHead | AnswerData


class FinishCaller(msgspec.Struct, frozen=True, kw_only=True):
    """End the caller's stream cleanly: the answer is whole."""


class FailCaller(msgspec.Struct, frozen=True, kw_only=True):
    """End the caller's request with an explicit error."""

    outcome: Outcome
    reason: str
    retry_after_seconds: float = 0.0


class DeferToClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Answer the caller by what the claim of another call says."""


class ClaimEnd(Enum):
    """Name what the claim must say once the call ended."""

    FINISHED = "finished"
    RELEASED = "released"
    UNSETTLED = "unsettled"


class CloseClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Write the end of the call into its claim."""

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
