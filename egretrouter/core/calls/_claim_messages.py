"""Define claims, the content of their shard objects and the claim book's messages."""

import hashlib
from enum import Enum

import msgspec
import xxhash

from egretrouter.core.calls._answers import CallState, Target
from egretrouter.core.digests import content_digest
from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import Digest, InstanceId, WorkspaceId

MAX_OBJECT_BYTES = 1_000_000
"""The store takes values up to 1 MB."""
MAX_INLINE_ANSWER_BYTES = 1024
"""A larger answer gets an object of its own, so that it is not rewritten with the shard."""


class ClaimStatus(Enum):
    """State how far the call of a claim got."""

    PENDING = "pending"
    UNSETTLED = "unsettled"
    FINISHED = "finished"


class ClaimAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Hold an answer in a claim: inline, by digest, or neither if it was too large."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    content: bytes | None = None
    content_digest: Digest | None = None


class ClaimEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Record who runs the call of one idempotency key and where."""

    workspace: WorkspaceId
    fingerprint: Digest
    claim_id: str
    router_id: InstanceId
    attempt: int
    target: Target
    status: ClaimStatus
    deadline_at_seconds: float
    """Wall clock; later, the recorded agent is asked even if the router lives."""
    expires_at_seconds: float
    """Wall clock; later, the key counts as new."""
    answer: ClaimAnswer | None = None


class ClaimShard(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the claims of one shard object by key digest."""

    entries: dict[str, ClaimEntry] = {}

    def to_bytes(self) -> bytes:
        """Encode the shard."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def from_bytes(cls, content: bytes) -> "ClaimShard":
        """Decode a shard; an object that does not exist yet is empty.

        Raises ValidationError if the content is no shard.
        """
        if not content:
            return cls()
        try:
            return msgspec.msgpack.decode(content, type=cls)
        except msgspec.MsgspecError as error:
            raise ValidationError(f"claim shard is malformed: {error}") from error


def key_digest(*, workspace: WorkspaceId, service: str, key: str) -> str:
    """Return the name of a key in its shard; keys of two workspaces or services never meet."""
    parts = msgspec.msgpack.encode((workspace, service, key))
    return hashlib.blake2b(parts, digest_size=16).hexdigest()


def shard_of(digest: str, *, shards: int) -> int:
    """Return the shard of a key digest."""
    return xxhash.xxh3_64_intdigest(digest.encode()) % shards


def shard_owner(shard: int, routers: frozenset[InstanceId]) -> InstanceId | None:
    """Return the router that claims of a shard are forwarded to.

    It ranks highest by rendezvous hashing. Forwarding avoids conflicts; two routers that disagree
    about the owner both write by conditional update, so only one of them claims a key.
    """
    return max(
        routers,
        key=lambda router: (xxhash.xxh3_64_intdigest(f"{shard}/{router}".encode()), router),
        default=None,
    )


def prepare_claim_answer(
    *, status: int, headers: tuple[tuple[str, str], ...], content: bytes
) -> tuple[ClaimAnswer, bytes | None]:
    """Return what a claim records, and the content of the object to write before, if any."""
    if len(content) <= MAX_INLINE_ANSWER_BYTES:
        return ClaimAnswer(status=status, headers=headers, content=content), None
    if len(content) > MAX_OBJECT_BYTES:
        return ClaimAnswer(status=status, headers=headers), None
    digest = content_digest(content)
    return ClaimAnswer(status=status, headers=headers, content_digest=digest), content


class PlaceClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Claim a key, name the next target of a claim, or replace a settled claim."""

    key_digest: str
    workspace: WorkspaceId
    fingerprint: Digest
    claim_id: str
    router_id: InstanceId
    attempt: int
    target: Target
    deadline_at_seconds: float
    replaces: ClaimEntry | None = None
    """A claim whose agent said that its call did not run and never will."""


class EndClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Record the end of a claim's call.

    Without a status the call did not run and never will: the key is released, even if the write
    of the claim takes effect later.
    """

    key_digest: str
    claim_id: str
    status: ClaimStatus | None
    answer: ClaimAnswer | None = None


class RoutersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Report the routers that live; an id is new at each start of a process."""

    routers: frozenset[InstanceId]


class ShardRead(msgspec.Struct, frozen=True, kw_only=True):
    """Report a shard object; version 0 and no content if it does not exist."""

    shard: int
    request: int
    version: int
    content: bytes


class ShardWritten(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a conditional update took effect."""

    shard: int
    request: int
    version: int


class ShardWriteUndecided(msgspec.Struct, frozen=True, kw_only=True):
    """Report a version conflict or a lost answer: the shard must be read back."""

    shard: int
    request: int


class ShardUnavailable(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the store did not take a request, or did not answer it in time."""

    shard: int
    request: int


class ClaimTick(msgspec.Struct, frozen=True, kw_only=True):
    """Let time pass; sent about once a second."""


ClaimMessage = (
    PlaceClaim
    | EndClaim
    | RoutersChanged
    | ShardRead
    | ShardWritten
    | ShardWriteUndecided
    | ShardUnavailable
    | ClaimTick
)


class ReadShard(msgspec.Struct, frozen=True, kw_only=True):
    """Read a shard object."""

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
    """Name what became of a request to claim a key."""

    GRANTED = "granted"
    IN_PROGRESS = "in_progress"
    MISMATCH = "mismatch"
    REPLAY = "replay"
    SETTLE = "settle"
    STORE_OUT = "store_out"
    SHARD_FULL = "shard_full"


class ClaimDecided(msgspec.Struct, frozen=True, kw_only=True):
    """Answer a PlaceClaim; the entry is that of the claim which holds the key, if another does."""

    claim_id: str
    attempt: int
    verdict: ClaimVerdict
    entry: ClaimEntry | None = None


ClaimCommand = ReadShard | WriteShard | DeleteAnswer | ClaimDecided


class SettledClaim(Enum):
    """Name what to do with a claim once its agent was asked."""

    REPLACE = "replace"
    IN_PROGRESS = "in_progress"
    REPLAY = "replay"
    UNKNOWN = "unknown"


def decide_settled_claim(state: CallState | None, *, answer_kept: bool) -> SettledClaim:
    """Decide about a claim from its agent's verdict; None if the agent could not be asked."""
    if state in {CallState.TOMBSTONED, CallState.REFUSED}:
        return SettledClaim.REPLACE
    if state in {CallState.ADMITTED, CallState.RUNNING}:
        return SettledClaim.IN_PROGRESS
    if state is CallState.FINISHED and answer_kept:
        return SettledClaim.REPLAY
    return SettledClaim.UNKNOWN
