"""Define claims, the content of their shard objects and the claim table's messages."""

import hashlib
from enum import Enum

import msgspec
import xxhash

from egretrouter.core.calls._answers import CallState, Target
from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.digests import content_digest
from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import Digest, InstanceId, WorkspaceId

MAX_OBJECT_BYTES = 1_000_000
"""The store accepts values up to 1 MB."""
MAX_INLINE_ANSWER_BYTES = 1024
"""A larger answer is stored in its own object, so that it is not rewritten with the shard."""


class ClaimStatus(Enum):
    """List the states of a claim's call."""

    PENDING = "pending"
    UNSETTLED = "unsettled"
    FINISHED = "finished"


class ClaimAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Store an answer in a claim: inline, by digest, or without content if it was too large."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    content: bytes | None = None
    content_digest: Digest | None = None


class ClaimEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Record the router, target and status of the call for one idempotency key."""

    workspace: WorkspaceId
    fingerprint: Digest
    claim_id: str
    router_id: InstanceId
    attempt: int
    target: Target
    status: ClaimStatus
    deadline_at_seconds: float
    """Wall clock; after it the claim is settled at its agent even if the router is live."""
    expires_at_seconds: float
    """Wall clock; after it the key can be claimed again."""
    answer: ClaimAnswer | None = None


class ClaimShard(msgspec.Struct, frozen=True, kw_only=True):
    """Store the claims of one shard object by key digest."""

    entries: dict[str, ClaimEntry] = {}

    def to_bytes(self) -> bytes:
        """Encode the shard as MessagePack."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def from_bytes(cls, content: bytes) -> "ClaimShard":
        """Decode a shard; empty content stands for an object that does not exist yet.

        Raises ValidationError if the content is not a valid shard.
        """
        if not content:
            return cls()
        try:
            return msgspec.msgpack.decode(content, type=cls)
        except DECODE_ERRORS as error:
            raise ValidationError(f"claim shard is malformed: {error}") from error


def key_digest(*, workspace: WorkspaceId, service: str, key: str) -> str:
    """Return the digest of a key, which differs between workspaces and services."""
    parts = msgspec.msgpack.encode((workspace, service, key))
    return hashlib.blake2b(parts, digest_size=16).hexdigest()


def shard_of(digest: str, *, shards: int) -> int:
    """Return the number of the shard that stores a key digest."""
    return xxhash.xxh3_64_intdigest(digest.encode()) % shards


def shard_owner(shard: int, routers: frozenset[InstanceId]) -> InstanceId | None:
    """Return the router that claims of a shard are forwarded to.

    The owner is chosen by rendezvous hashing. Forwarding reduces write conflicts. Routers that
    disagree about the owner both write by conditional update, so only one of them claims a key.
    """
    return max(
        routers,
        key=lambda router: (xxhash.xxh3_64_intdigest(f"{shard}/{router}".encode()), router),
        default=None,
    )


def prepare_claim_answer(
    *, status: int, headers: tuple[tuple[str, str], ...], content: bytes
) -> tuple[ClaimAnswer, bytes | None]:
    """Return the answer for a claim, and the content of the object to write first, if any."""
    if len(content) <= MAX_INLINE_ANSWER_BYTES:
        return ClaimAnswer(status=status, headers=headers, content=content), None
    if len(content) > MAX_OBJECT_BYTES:
        return ClaimAnswer(status=status, headers=headers), None
    digest = content_digest(content)
    return ClaimAnswer(status=status, headers=headers, content_digest=digest), content


class PlaceClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Claim a key, record the next target of a claim, or replace a settled claim."""

    key_digest: str
    workspace: WorkspaceId
    fingerprint: Digest
    claim_id: str
    router_id: InstanceId
    attempt: int
    target: Target
    deadline_at_seconds: float
    replaces: ClaimEntry | None = None
    """A claim whose agent reported that the call did not run and never will."""


class EndClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Record the end of a claim's call.

    If the status is None, the call did not run and never will, and the key is released. It stays
    released even if a pending write of the claim takes effect later.
    """

    key_digest: str
    claim_id: str
    status: ClaimStatus | None
    answer: ClaimAnswer | None = None


class RoutersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Report the ids of the live routers; a process gets a new id at each start."""

    routers: frozenset[InstanceId]


class EraBegun(msgspec.Struct, frozen=True, kw_only=True):
    """Report the store's era; a new one begins with a copy that may lack acknowledged claims."""

    era: int
    noticed_at_seconds: float | None = None
    """Wall clock of the first router that noticed the era, if known."""


class ShardRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report the content of a shard object; version 0 and no content if it does not exist."""

    shard: int
    request: int
    version: int
    content: bytes
    era: int = 0
    """The store's era, 0 if it tells none."""


class ShardWritten(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a conditional update took effect."""

    shard: int
    request: int
    version: int


class ShardWriteUndecided(msgspec.Struct, frozen=True, kw_only=True):
    """Report a version conflict or a lost reply, after which the shard must be read again."""

    shard: int
    request: int


class ShardUnavailable(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the store rejected a request or did not answer it in time."""

    shard: int
    request: int


class ClaimTick(msgspec.Struct, frozen=True, kw_only=True):
    """Advance the clock; sent about once a second."""


ClaimMessage = (
    PlaceClaim
    | EndClaim
    | RoutersChanged
    | EraBegun
    | ShardRead
    | ShardWritten
    | ShardWriteUndecided
    | ShardUnavailable
    | ClaimTick
)


class ReadShard(msgspec.Struct, frozen=True, kw_only=True):
    """Read a shard object; report ShardRead or ShardUnavailable."""

    shard: int
    request: int


class WriteShard(msgspec.Struct, frozen=True, kw_only=True):
    """Write a shard object if it still has the expected version."""

    shard: int
    request: int
    expected_version: int
    content: bytes


class DeleteAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Delete the object of an answer whose claim was removed."""

    content_digest: Digest


class ClaimVerdict(Enum):
    """List the results of a request to claim a key."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    MISMATCH = "mismatch"
    REPLAY = "replay"
    SETTLE = "settle"
    STORE_OUT = "store_out"
    SHARD_FULL = "shard_full"


class ClaimDecided(msgspec.Struct, frozen=True, kw_only=True):
    """Report the verdict on a PlaceClaim, and the other claim that holds the key, if any."""

    claim_id: str
    attempt: int
    verdict: ClaimVerdict
    entry: ClaimEntry | None = None


ClaimCommand = ReadShard | WriteShard | DeleteAnswer | ClaimDecided


class SettledClaim(Enum):
    """List the actions for a claim after a settle request to its agent."""

    REPLACE = "replace"
    IN_PROGRESS = "in_progress"
    REPLAY = "replay"
    UNKNOWN = "unknown"


def decide_settled_claim(state: CallState | None, *, answer_kept: bool) -> SettledClaim:
    """Return the action for a claim; the state is None if its agent could not be reached."""
    if state in {CallState.TOMBSTONED, CallState.REFUSED}:
        return SettledClaim.REPLACE
    if state in {CallState.ADMITTED, CallState.RUNNING}:
        return SettledClaim.IN_PROGRESS
    if state is CallState.FINISHED and answer_kept:
        return SettledClaim.REPLAY
    return SettledClaim.UNKNOWN
