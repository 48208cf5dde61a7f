"""Decide claims against the content of one shard."""

from collections.abc import Mapping

import msgspec

from egretrouter.core.calls._claim_messages import (
    MAX_OBJECT_BYTES,
    ClaimDecided,
    ClaimEntry,
    ClaimStatus,
    ClaimVerdict,
    EndClaim,
    PlaceClaim,
)
from egretrouter.core.identifiers import Digest, InstanceId


class ClaimLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the claims of a router and how long they last."""

    shards: int = 128
    """More shards hold more claims; fewer shards shorten the wait when the store's rate is full."""
    shard_bytes: int = MAX_OBJECT_BYTES
    retention_seconds: float = 1800.0
    """At 55 keyed calls a second, 380 bytes a claim and 300 an answer, this takes 67 MB."""
    clock_skew_seconds: float = 60.0
    batch_operations: int = 1000
    """A thousand claims took 4 ms to apply and encode, and the event loop waits for it."""
    place_timeout_seconds: float = 2.0
    sweep_seconds: float = 60.0
    """A write of a shard also removes its expired claims, at most this often."""
    waiting_ends: int = 10_000
    """Ends that wait while the store is out; a dropped one is settled at the agent instead."""


class ClaimBatch:
    """Apply operations to a copy of a shard's entries."""

    def __init__(
        self,
        entries: Mapping[str, ClaimEntry],
        *,
        size_bytes: int,
        released: dict[str, float],
        routers: frozenset[InstanceId],
        limits: ClaimLimits,
    ) -> None:
        self.entries = dict(entries)
        self.size_bytes = size_bytes
        self.changed = False
        # Claims whose operation left the content as it was, so that no update confirms it.
        self.unchanged: set[str] = set()
        self.removed_answers: list[Digest] = []
        self._released = released
        self._routers = routers
        self._limits = limits

    def decide(self, message: PlaceClaim | EndClaim, now: float) -> ClaimDecided | None:
        """Apply one operation and return its answer; an end has none."""
        entry = self._valid_entry(message.key_digest, now)
        if isinstance(message, EndClaim):
            self._end(message, entry)
            return None
        verdict = self._verdict(message, entry, now)
        if verdict is ClaimVerdict.GRANTED and not self._holds(message, entry):
            verdict = self._put(message, now)
        else:
            self.unchanged.add(message.claim_id)
        granted = verdict is ClaimVerdict.GRANTED
        return ClaimDecided(
            claim_id=message.claim_id,
            attempt=message.attempt,
            verdict=verdict,
            entry=None if granted else entry,
        )

    def _valid_entry(self, digest: str, now: float) -> ClaimEntry | None:
        entry = self.entries.get(digest)
        if entry is None:
            return None
        expired = self._is_expired(entry, now)
        released = entry.claim_id in self._released and entry.status is ClaimStatus.PENDING
        if not expired and not released:
            return entry
        self._remove(digest)
        return None

    def _is_expired(self, entry: ClaimEntry, now: float) -> bool:
        return now > entry.expires_at_seconds + self._limits.clock_skew_seconds

    def remove_expired(self, now: float) -> None:
        """Remove the claims whose keys count as new."""
        for digest in [key for key, entry in self.entries.items() if self._is_expired(entry, now)]:
            self._remove(digest)

    @staticmethod
    def _holds(message: PlaceClaim, entry: ClaimEntry | None) -> bool:
        return (
            entry is not None
            and entry.claim_id == message.claim_id
            and entry.attempt == message.attempt
        )

    def _verdict(self, message: PlaceClaim, entry: ClaimEntry | None, now: float) -> ClaimVerdict:
        if entry is None:
            return ClaimVerdict.GRANTED
        pending = entry.status is ClaimStatus.PENDING
        if entry.claim_id == message.claim_id:
            following = entry.attempt in {message.attempt, message.attempt - 1}
            return ClaimVerdict.GRANTED if pending and following else ClaimVerdict.IN_PROGRESS
        if entry.fingerprint != message.fingerprint:
            return ClaimVerdict.MISMATCH
        if entry.status is ClaimStatus.FINISHED:
            return ClaimVerdict.REPLAY
        if self._replaces(message, entry):
            return ClaimVerdict.GRANTED
        if pending and entry.router_id in self._routers and now <= entry.deadline_at_seconds:
            return ClaimVerdict.IN_PROGRESS
        return ClaimVerdict.SETTLE

    @staticmethod
    def _replaces(message: PlaceClaim, entry: ClaimEntry) -> bool:
        old = message.replaces
        return old is not None and old.target == entry.target

    def _put(self, message: PlaceClaim, now: float) -> ClaimVerdict:
        entry = ClaimEntry(
            workspace=message.workspace,
            fingerprint=message.fingerprint,
            claim_id=message.claim_id,
            router_id=message.router_id,
            attempt=message.attempt,
            target=message.target,
            status=ClaimStatus.PENDING,
            deadline_at_seconds=message.deadline_at_seconds,
            expires_at_seconds=message.deadline_at_seconds + self._limits.retention_seconds,
        )
        if not self._fits(message.key_digest, entry):
            self.remove_expired(now)
        if not self._fits(message.key_digest, entry):
            self.unchanged.add(message.claim_id)
            return ClaimVerdict.SHARD_FULL
        self._set(message.key_digest, entry)
        return ClaimVerdict.GRANTED

    def _end(self, message: EndClaim, entry: ClaimEntry | None) -> None:
        if (
            entry is None
            or entry.claim_id != message.claim_id
            or entry.status in {ClaimStatus.FINISHED, message.status}
        ):
            self.unchanged.add(message.claim_id)
            return
        if message.status is None:
            self._remove(message.key_digest)
            return
        ended = msgspec.structs.replace(entry, status=message.status, answer=message.answer)
        if not self._fits(message.key_digest, ended) and message.answer is not None:
            bare = msgspec.structs.replace(message.answer, content=None, content_digest=None)
            ended = msgspec.structs.replace(ended, answer=bare)
        self._set(message.key_digest, ended)

    def _fits(self, digest: str, entry: ClaimEntry) -> bool:
        grown = self.size_bytes + _size(digest, entry) - self._size_of(digest)
        return grown <= self._limits.shard_bytes

    def _size_of(self, digest: str) -> int:
        return _size(digest, self.entries[digest]) if digest in self.entries else 0

    def _set(self, digest: str, entry: ClaimEntry) -> None:
        self.size_bytes += _size(digest, entry) - self._size_of(digest)
        self.entries[digest] = entry
        self.changed = True

    def _remove(self, digest: str) -> None:
        self.size_bytes -= self._size_of(digest)
        answer = self.entries.pop(digest).answer
        if answer is not None and answer.content_digest is not None:
            self.removed_answers.append(answer.content_digest)
        self.changed = True


def _size(digest: str, entry: ClaimEntry) -> int:
    return len(digest) + 2 + len(msgspec.msgpack.encode(entry))
