"""Define what a copy of weights is told and what it orders."""

import msgspec

from egretrouter.core.configuration import Objective
from egretrouter.core.errors import WeightsError
from egretrouter.core.identifiers import ChunkIndex, InstanceId
from egretrouter.core.weights._ownership import Peer

ORIGIN = InstanceId("@origin")
"""Source name of the origin; no instance may have it."""


class _Value(msgspec.Struct, frozen=True, kw_only=True):
    """Give every message and command the same form."""


class CopyMessage(_Value, frozen=True, kw_only=True):
    """Root of the messages to a copy."""


class PeersChanged(CopyMessage, frozen=True, kw_only=True):
    """List all live agents in view that take part, in every zone, with or without self."""

    peers: tuple[Peer, ...]


class PeerAnnounced(CopyMessage, frozen=True, kw_only=True):
    """Report what a peer holds: a whole bitmap, or only the chunks added since.

    A peer that runs no copy of the version sends a bitmap of no bytes.
    """

    peer: InstanceId
    held: bytes | None = None
    added: tuple[ChunkIndex, ...] = ()


class ChunkArrived(CopyMessage, frozen=True, kw_only=True):
    """Hand over the unverified content of a chunk."""

    source: InstanceId
    index: ChunkIndex
    content: bytes


class ChunkProgressed(CopyMessage, frozen=True, kw_only=True):
    """Report that bytes of a chunk arrived; due about once a second while a fetch lasts."""

    source: InstanceId
    index: ChunkIndex


class FailureReason(msgspec.Struct, frozen=True, kw_only=True):
    """Root of the reasons why a source sent no chunk."""


class Busy(FailureReason, frozen=True, kw_only=True):
    """The source asked to come back later: a busy peer, or a 429 of the origin."""

    retry_after_seconds: float = 0.0


class Missing(FailureReason, frozen=True, kw_only=True):
    """The source does not hold the chunk."""


class Unavailable(FailureReason, frozen=True, kw_only=True):
    """The source could not be reached or broke off."""


class ChunkFailed(CopyMessage, frozen=True, kw_only=True):
    """Report that a fetch ended without content."""

    source: InstanceId
    index: ChunkIndex
    reason: FailureReason


class OwnerAnswered(CopyMessage, frozen=True, kw_only=True):
    """Report a better-ranked owner's answer, given at once or when a chunk arrived later.

    Indexes that were asked and are in neither field are answered as neither held nor fetched.
    """

    peer: InstanceId
    asked: tuple[ChunkIndex, ...] = ()
    held: tuple[ChunkIndex, ...] = ()
    fetching: tuple[ChunkIndex, ...] = ()


class OwnerAsked(CopyMessage, frozen=True, kw_only=True):
    """Report that a peer asks whether this agent holds or fetches chunks."""

    peer: InstanceId
    indexes: tuple[ChunkIndex, ...]


class ChunkRequested(CopyMessage, frozen=True, kw_only=True):
    """Report that a peer wants a chunk."""

    peer: InstanceId
    index: ChunkIndex


class UploadEnded(CopyMessage, frozen=True, kw_only=True):
    """Report that a chunk was sent to a peer or the sending failed."""

    peer: InstanceId
    index: ChunkIndex


class AllowanceAsked(CopyMessage, frozen=True, kw_only=True):
    """Report that a peer of the zone wants unspent origin allowance."""

    peer: InstanceId
    size_bytes: int


class AllowanceReceived(CopyMessage, frozen=True, kw_only=True):
    """Hand over allowance that a peer gave up."""

    peer: InstanceId
    size_bytes: int


class ManifestArrived(CopyMessage, frozen=True, kw_only=True):
    """Hand over the manifest that the origin offers now."""

    content: bytes


class WeightsVerified(CopyMessage, frozen=True, kw_only=True):
    """Report whether all chunks together match the digest of the whole."""

    matches: bool


class Loaded(CopyMessage, frozen=True, kw_only=True):
    """Report that the engine runs the version; serving to peers ends some time after."""


class Paused(CopyMessage, frozen=True, kw_only=True):
    """Stop fetching; peers still get what is held."""


class Resumed(CopyMessage, frozen=True, kw_only=True):
    """Fetch again after a pause."""


class Superseded(CopyMessage, frozen=True, kw_only=True):
    """Report that another version replaced this one."""


class Tick(CopyMessage, frozen=True, kw_only=True):
    """Let time pass; due several times a second while copying."""


class CopyCommand(_Value, frozen=True, kw_only=True):
    """Root of the commands of a copy."""


class FetchChunk(CopyCommand, frozen=True, kw_only=True):
    """Fetch a chunk and report ChunkArrived or ChunkFailed."""

    source: InstanceId
    index: ChunkIndex


class CancelFetch(CopyCommand, frozen=True, kw_only=True):
    """Break off a fetch; nothing need be reported."""

    source: InstanceId
    index: ChunkIndex


class FetchManifest(CopyCommand, frozen=True, kw_only=True):
    """Read the manifest from the origin and report ManifestArrived if that succeeds."""


class AskOwner(CopyCommand, frozen=True, kw_only=True):
    """Send OwnerAsked to a peer and report its OwnerAnswered."""

    peer: InstanceId
    indexes: tuple[ChunkIndex, ...]


class AnswerOwner(CopyCommand, frozen=True, kw_only=True):
    """Send OwnerAnswered to a peer, as the reply to its question or later unasked."""

    peer: InstanceId
    asked: tuple[ChunkIndex, ...] = ()
    held: tuple[ChunkIndex, ...] = ()
    fetching: tuple[ChunkIndex, ...] = ()


class Announce(CopyCommand, frozen=True, kw_only=True):
    """Send PeerAnnounced to peers: a whole bitmap, or only the chunks added since."""

    peers: tuple[InstanceId, ...]
    held: bytes | None = None
    added: tuple[ChunkIndex, ...] = ()


class SendChunk(CopyCommand, frozen=True, kw_only=True):
    """Send a chunk to a peer after a delay and report UploadEnded."""

    peer: InstanceId
    index: ChunkIndex
    delay_seconds: float = 0.0


class RefuseChunk(CopyCommand, frozen=True, kw_only=True):
    """Reply to a peer that it gets no chunk now."""

    peer: InstanceId
    index: ChunkIndex
    reason: FailureReason


class AskAllowance(CopyCommand, frozen=True, kw_only=True):
    """Send AllowanceAsked to a peer of the zone."""

    peer: InstanceId
    size_bytes: int


class GiveAllowance(CopyCommand, frozen=True, kw_only=True):
    """Send AllowanceReceived to a peer."""

    peer: InstanceId
    size_bytes: int


class VerifyWeights(CopyCommand, frozen=True, kw_only=True):
    """Hash all chunks in order, off the event loop, and report WeightsVerified."""


class CopyCompleted(CopyCommand, frozen=True, kw_only=True):
    """Let the engine load the verified weights."""


class CopyHalted(CopyCommand, frozen=True, kw_only=True):
    """Report that the copy can't go on."""

    error: WeightsError


class QuarantineSource(CopyCommand, frozen=True, kw_only=True):
    """Report that a source sent corrupted chunks and is left alone for a time."""

    source: InstanceId
    seconds: float


class CopySettings(_Value, frozen=True, kw_only=True):
    """Set the parameters of a copy."""

    objective: Objective = Objective.TIME
    origin_copies: int = 2
    """Copies that the origin may send at once under the objective time."""
    neighbours: int = 10
    parallel_fetches: int = 4
    parallel_fetches_beside_origin: int | None = None
    """Fetches from the zone while one from the origin lasts; None for as many as without.

    Few fetches leave a narrow link to the origin, which may be gone before the copy is complete.
    """
    parallel_fetches_per_source: int = 1
    parallel_origin_fetches: int = 2
    parallel_remote_fetches: int = 4
    parallel_uploads: int = 4
    announce_seconds: float = 0.5
    # While few chunks are around, a copy is as fast as word of them: at 64 instances batches of
    # 0.5 s from the start cost a tenth of S/r.
    ramp_announce_seconds: float = 0.1
    ramp_seconds: float = 3.0
    full_announce_seconds: float = 15.0
    discovery_seconds: float = 1.0
    fallback_seconds: float = 3.0
    ask_timeout_seconds: float = 1.0
    fallback_depth: int = 4
    # Ten doubling waits last 4 minutes; with five (75 s), a copy of 120 s at 1,400 instances sent
    # chunks over a regional link up to four times.
    max_extensions: int = 10
    deadline_initial_seconds: float = 4.0
    deadline_min_seconds: float = 1.0
    deadline_max_seconds: float = 20.0
    busy_seconds: float = 0.5
    backoff_min_seconds: float = 0.5
    backoff_max_seconds: float = 30.0
    strikes: int = 3
    quarantine_seconds: float = 30.0
    max_upload_delay_seconds: float = 1.0
    serve_after_load_seconds: float = 120.0
    pause_seconds: float = 5.0

    @property
    def origin_zones(self) -> int:
        """Return how many zones take one chunk from the origin."""
        return self.origin_copies if self.objective is Objective.TIME else 1
