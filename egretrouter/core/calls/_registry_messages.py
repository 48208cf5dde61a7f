"""Define the limits, messages and commands of the call registry."""

import msgspec

from egretrouter.core.calls._answers import AnswerBody, AnswerData, AnswerHead, CallState
from egretrouter.core.identifiers import CallId, Digest, Epoch, InstanceId


class RegistryLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Define the limits on the calls and answers of a registry."""

    running_calls: int = 256
    remembered_calls: int = 65_536
    """About 15 MB; 40 calls a second, each recorded for 150 s, use about 6,000."""
    call_buffer_bytes: int = 256 * 1024
    """The buffers of 256 running calls use at most 64 MB."""
    kept_answer_bytes: int = 16 * 1024**2
    kept_answer_seconds: float = 30.0
    settle_seconds: float = 120.0
    """Time after a call's expiry during which its state is still available."""
    router_lost_seconds: float = 5.0
    lease_seconds: float = 10.0


class AdmitCall(msgspec.Struct, frozen=True, kw_only=True):
    """Request to run a call; the version digest is empty for a plain service."""

    call_id: CallId
    router_id: InstanceId
    epoch: Epoch
    version_digest: Digest
    expires_at_seconds: float
    idempotent: bool


class CallStarted(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the call is about to be sent to the endpoint, before the first byte is."""

    call_id: CallId


class AnswerProduced(msgspec.Struct, frozen=True, kw_only=True):
    """Report a piece of the endpoint's answer."""

    call_id: CallId
    body: AnswerHead | AnswerData


class CallFinished(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the endpoint's answer is complete."""

    call_id: CallId


class CallFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the endpoint did not return a complete answer."""

    call_id: CallId
    detail: str = ""
    version_refused: bool = False
    """The endpoint refused the call, because it no longer has the version that the call names."""


class SettleCall(msgspec.Struct, frozen=True, kw_only=True):
    """Request the state of a call; an unknown call gets a tombstone and never runs."""

    call_id: CallId
    epoch: Epoch
    expires_at_seconds: float


class ResumeCall(msgspec.Struct, frozen=True, kw_only=True):
    """Request a call's frames again from a sequence number onwards."""

    call_id: CallId
    router_id: InstanceId
    next_sequence: int


class CancelCall(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the answer is no longer needed."""

    call_id: CallId
    expires_at_seconds: float


class RouterAttached(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a router opened a link."""

    router_id: InstanceId


class RouterLost(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the link from a router broke."""

    router_id: InstanceId


class VersionsLoaded(msgspec.Struct, frozen=True, kw_only=True):
    """Report the version digests that the endpoint serves; a plain service has the empty digest."""

    version_digests: frozenset[Digest]


class EpochRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report the epoch that may admit calls after a pause; 0 if another agent took over."""

    epoch: Epoch
    pause: int
    """Number of the pause in the command; a later pause needs an answer of its own."""


class Drain(msgspec.Struct, frozen=True, kw_only=True):
    """Stop admitting calls permanently."""


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Advance the clock; sent at least once a second."""


RegistryMessage = (
    AdmitCall
    | CallStarted
    | AnswerProduced
    | CallFinished
    | CallFailed
    | SettleCall
    | ResumeCall
    | CancelCall
    | RouterAttached
    | RouterLost
    | VersionsLoaded
    | EpochRead
    | Drain
    | Tick
)


class StartCall(msgspec.Struct, frozen=True, kw_only=True):
    """Send the call to the endpoint."""

    call_id: CallId


class StopCall(msgspec.Struct, frozen=True, kw_only=True):
    """Cancel the call at the endpoint."""

    call_id: CallId


class SendFrame(msgspec.Struct, frozen=True, kw_only=True):
    """Send one frame to a router."""

    call_id: CallId
    router_id: InstanceId
    sequence: int
    body: AnswerBody


class ReplySettle(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a settle request, with the answer if the call finished and it is still kept."""

    call_id: CallId
    state: CallState
    epoch: Epoch
    head: AnswerHead | None = None
    content: bytes | None = None


class ConfirmEpoch(msgspec.Struct, frozen=True, kw_only=True):
    """Find out whether this epoch may go on after a pause, and report it as EpochRead."""

    pause: int


class Drained(msgspec.Struct, frozen=True, kw_only=True):
    """Report that no call is in progress and none will be admitted."""


RegistryCommand = StartCall | StopCall | SendFrame | ReplySettle | ConfirmEpoch | Drained
