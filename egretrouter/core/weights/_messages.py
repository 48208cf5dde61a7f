"""Define the messages to a weight copy and the commands that it returns."""

import msgspec

from egretrouter.core.errors import WeightsError
from egretrouter.core.identifiers import ChunkIndex, InstanceId
from egretrouter.core.objective import Objective
from egretrouter.core.weights._ownership import Peer

ORIGIN = InstanceId("@origin")
"""Source identifier of the origin; no instance may use it."""


class _FrozenStruct(msgspec.Struct, frozen=True, kw_only=True):
    """Make messages, commands and settings immutable, with keyword arguments only."""


class CopyMessage(_FrozenStruct, frozen=True, kw_only=True):
    """Provide the base of the messages to a copy."""


class PeersChanged(CopyMessage, frozen=True, kw_only=True):
    """Report all known live agents that take part, in every zone; self may be missing."""

    peers: tuple[Peer, ...]


class PeerAnnounced(CopyMessage, frozen=True, kw_only=True):
    """Report the chunks that a peer holds: a full bitmap, or only those added since.

    A peer that runs no copy of the version sends an empty bitmap.
    """

    peer: InstanceId
    held: bytes | None = None
    added: tuple[ChunkIndex, ...] = ()


class ChunkArrived(CopyMessage, frozen=True, kw_only=True):
    """Deliver the unverified content of a chunk."""

    source: InstanceId
    index: ChunkIndex
    content: bytes


class ChunkProgressed(CopyMessage, frozen=True, kw_only=True):
    """Report that bytes of a chunk arrived; sent about once a second during a fetch."""

    source: InstanceId
    index: ChunkIndex


class FailureReason(msgspec.Struct, frozen=True, kw_only=True):
    """Provide the base of the reasons why a source sent no chunk."""


class Busy(FailureReason, frozen=True, kw_only=True):
    """The source asked to retry later: a busy peer, or a 429 response of the origin."""

    retry_after_seconds: float = 0.0


class Missing(FailureReason, frozen=True, kw_only=True):
    """The source does not hold the chunk."""


class Unavailable(FailureReason, frozen=True, kw_only=True):
    """The source could not be reached or aborted the transfer."""


class ChunkFailed(CopyMessage, frozen=True, kw_only=True):
    """Report that a fetch ended without content."""

    source: InstanceId
    index: ChunkIndex
    reason: FailureReason


class OwnerAnswered(CopyMessage, frozen=True, kw_only=True):
    """Report a better-ranked owner's answer, sent immediately or once a chunk has arrived.

    Asked indexes that are in neither held nor fetching are neither held nor being fetched.
    """

    peer: InstanceId
    asked: tuple[ChunkIndex, ...] = ()
    held: tuple[ChunkIndex, ...] = ()
    fetching: tuple[ChunkIndex, ...] = ()


class OwnerAsked(CopyMessage, frozen=True, kw_only=True):
    """Report that a peer asks whether this agent holds or is fetching chunks."""

    peer: InstanceId
    indexes: tuple[ChunkIndex, ...]


class ChunkRequested(CopyMessage, frozen=True, kw_only=True):
    """Report that a peer requests a chunk."""

    peer: InstanceId
    index: ChunkIndex


class UploadEnded(CopyMessage, frozen=True, kw_only=True):
    """Report that an upload of a chunk to a peer succeeded or failed."""

    peer: InstanceId
    index: ChunkIndex


class AllowanceAsked(CopyMessage, frozen=True, kw_only=True):
    """Report that a peer in the zone requests unspent origin allowance."""

    peer: InstanceId
    size_bytes: int


class AllowanceReceived(CopyMessage, frozen=True, kw_only=True):
    """Report origin allowance that a peer granted to this agent."""

    peer: InstanceId
    size_bytes: int


class ManifestArrived(CopyMessage, frozen=True, kw_only=True):
    """Deliver the manifest that the origin currently serves."""

    content: bytes


class WeightsVerified(CopyMessage, frozen=True, kw_only=True):
    """Report whether all chunks together match the digest of the weights."""

    matches: bool


class Loaded(CopyMessage, frozen=True, kw_only=True):
    """Report that the engine loaded the version; uploads to peers end some time later."""


class Paused(CopyMessage, frozen=True, kw_only=True):
    """Pause fetching; peers can still fetch the chunks held."""


class Resumed(CopyMessage, frozen=True, kw_only=True):
    """Resume fetching after a pause."""


class Superseded(CopyMessage, frozen=True, kw_only=True):
    """Report that another version replaced this one."""


class Tick(CopyMessage, frozen=True, kw_only=True):
    """Advance timers; sent several times a second while copying."""


class CopyCommand(_FrozenStruct, frozen=True, kw_only=True):
    """Provide the base of the commands that a copy returns."""


class FetchChunk(CopyCommand, frozen=True, kw_only=True):
    """Fetch a chunk and report ChunkArrived or ChunkFailed."""

    source: InstanceId
    index: ChunkIndex


class CancelFetch(CopyCommand, frozen=True, kw_only=True):
    """Cancel a fetch; no message has to follow."""

    source: InstanceId
    index: ChunkIndex


class FetchManifest(CopyCommand, frozen=True, kw_only=True):
    """Read the manifest from the origin and report ManifestArrived on success."""


class AskOwner(CopyCommand, frozen=True, kw_only=True):
    """Send OwnerAsked to a peer and report its OwnerAnswered."""

    peer: InstanceId
    indexes: tuple[ChunkIndex, ...]


class AnswerOwner(CopyCommand, frozen=True, kw_only=True):
    """Send OwnerAnswered to a peer, as the reply to its question or when a chunk arrives later."""

    peer: InstanceId
    asked: tuple[ChunkIndex, ...] = ()
    held: tuple[ChunkIndex, ...] = ()
    fetching: tuple[ChunkIndex, ...] = ()


class Announce(CopyCommand, frozen=True, kw_only=True):
    """Send PeerAnnounced to peers: a full bitmap, or only the chunks added since."""

    peers: tuple[InstanceId, ...]
    held: bytes | None = None
    added: tuple[ChunkIndex, ...] = ()


class SendChunk(CopyCommand, frozen=True, kw_only=True):
    """Send a chunk to a peer after a delay and report UploadEnded."""

    peer: InstanceId
    index: ChunkIndex
    delay_seconds: float = 0.0


class RefuseChunk(CopyCommand, frozen=True, kw_only=True):
    """Refuse the chunk request of a peer, with a reason."""

    peer: InstanceId
    index: ChunkIndex
    reason: FailureReason


class AskAllowance(CopyCommand, frozen=True, kw_only=True):
    """Send AllowanceAsked to a peer in the zone."""

    peer: InstanceId
    size_bytes: int


class GiveAllowance(CopyCommand, frozen=True, kw_only=True):
    """Send AllowanceReceived to a peer."""

    peer: InstanceId
    size_bytes: int


class VerifyWeights(CopyCommand, frozen=True, kw_only=True):
    """Hash all chunks in order, off the event loop, and report WeightsVerified."""


class CopyCompleted(CopyCommand, frozen=True, kw_only=True):
    """Report that the weights are verified and the engine may load them."""


class CopyHalted(CopyCommand, frozen=True, kw_only=True):
    """Report that the copy stopped because of an error."""

    error: WeightsError


class QuarantineSource(CopyCommand, frozen=True, kw_only=True):
    """Report that a source sent corrupted chunks and is not used for some time."""

    source: InstanceId
    seconds: float


class CopySettings(_FrozenStruct, frozen=True, kw_only=True):
    """Define the parameters of a weight copy."""

    objective: Objective = Objective.TIME
    origin_copies: int = 2
    """Copies that the origin may send in parallel under the objective time."""
    neighbours: int = 10
    parallel_fetches: int = 4
    parallel_fetches_beside_origin: int | None = None
    """Parallel fetches from the zone during a fetch from the origin; None for parallel_fetches.

    Fewer fetches leave capacity on a narrow link for the origin, which may become unavailable
    before the copy is complete.
    """
    parallel_fetches_per_source: int = 1
    parallel_origin_fetches: int = 2
    parallel_remote_fetches: int = 4
    parallel_uploads: int = 4
    announce_seconds: float = 0.5
    # While few chunks are available, announcements limit the speed of a copy: at 64 instances,
    # batches of 0.5 s from the start cost a tenth of S/r.
    ramp_announce_seconds: float = 0.1
    ramp_seconds: float = 3.0
    full_announce_seconds: float = 15.0
    discovery_seconds: float = 1.0
    fallback_seconds: float = 3.0
    ask_timeout_seconds: float = 1.0
    fallback_depth: int = 4
    # Ten doubling waits last 4 minutes. With five (75 s), a copy of 120 s at 1,400 instances sent
    # some chunks over a regional link up to four times.
    max_extensions: int = 10
    deadline_initial_seconds: float = 4.0
    deadline_min_seconds: float = 1.0
    deadline_max_seconds: float = 20.0
    busy_seconds: float = 0.5
    backoff_min_seconds: float = 0.5
    backoff_max_seconds: float = 30.0
    # Shorter than for peers where set, since the origin may be the only source of a chunk.
    origin_backoff_max_seconds: float = 30.0
    strikes: int = 3
    quarantine_seconds: float = 30.0
    max_upload_delay_seconds: float = 1.0
    serve_after_load_seconds: float = 120.0
    pause_seconds: float = 5.0

    @property
    def origin_zones(self) -> int:
        """Return how many zones fetch each chunk from the origin."""
        return self.origin_copies if self.objective is Objective.TIME else 1
