"""Apply claim operations to the content of one shard."""

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
    """Define the size, retention and timing limits of a router's claims."""

    shards: int = 128
    """More shards hold more claims; fewer reduce waiting when the store limits the request rate."""
    shard_bytes: int = MAX_OBJECT_BYTES
    retention_seconds: float = 1800.0
    """At 55 keyed calls a second, 380 bytes per claim and 300 per answer, this needs 67 MB."""
    clock_skew_seconds: float = 60.0
    batch_operations: int = 1000
    """Applying and encoding 1000 claims took 4 ms, which blocks the event loop."""
    place_timeout_seconds: float = 2.0
    sweep_seconds: float = 60.0
    """Minimum interval between removals of a shard's expired claims, done as part of a write."""
    era_check_seconds: float = 5.0
    """Interval at which a router with claims that a restore could lose reads the store's era."""
    restore_hold_seconds: float = 20.0
    """No new claim is granted for so long after a restore, until all routers have noticed it and
    written back the claims that the store lost."""
    waiting_ends: int = 10_000
    """Ends queued per shard while the store is unavailable; dropped ones settle at the agent."""


class ClaimBatch:
    """Apply claim operations to a copy of a shard's entries."""

    def __init__(
        self,
        entries: Mapping[str, ClaimEntry],
        *,
        size_bytes: int,
        released: dict[str, float],
        routers: frozenset[InstanceId],
        limits: ClaimLimits,
        grants_new_claims: bool = True,
    ) -> None:
        self.entries = dict(entries)
        self.size_bytes = size_bytes
        self.changed = False
        # Claims whose operation changed nothing, so no conditional update confirms the decision.
        self.unchanged: set[str] = set()
        self.removed_answers: list[Digest] = []
        self._released = released
        self._routers = routers
        self._limits = limits
        self._grants_new_claims = grants_new_claims

    def decide(self, message: PlaceClaim | EndClaim, now: float) -> ClaimDecided | None:
        """Apply one operation and return its decision; EndClaim returns None."""
        entry = self._valid_entry(message.key_digest, now)
        if isinstance(message, EndClaim):
            self._apply_end(message, entry)
            return None
        verdict = self._verdict(message, entry, now)
        if verdict is ClaimVerdict.GRANTED and not self._is_recorded(message, entry):
            verdict = self._add_claim(message, now)
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
        self._remove_entry(digest)
        return None

    def _is_expired(self, entry: ClaimEntry, now: float) -> bool:
        return now > entry.expires_at_seconds + self._limits.clock_skew_seconds

    def remove_expired(self, now: float) -> None:
        """Remove expired claims; their keys can then be claimed again."""
        for digest in [key for key, entry in self.entries.items() if self._is_expired(entry, now)]:
            self._remove_entry(digest)

    @staticmethod
    def _is_recorded(message: PlaceClaim, entry: ClaimEntry | None) -> bool:
        return (
            entry is not None
            and entry.claim_id == message.claim_id
            and entry.attempt == message.attempt
        )

    def _verdict(self, message: PlaceClaim, entry: ClaimEntry | None, now: float) -> ClaimVerdict:
        if entry is None:
            return self._grant()
        pending = entry.status is ClaimStatus.PENDING
        if entry.claim_id == message.claim_id:
            is_same_or_next_attempt = entry.attempt in {message.attempt, message.attempt - 1}
            return (
                ClaimVerdict.GRANTED
                if pending and is_same_or_next_attempt
                else ClaimVerdict.IN_PROGRESS
            )
        if entry.fingerprint != message.fingerprint:
            return ClaimVerdict.MISMATCH
        if entry.status is ClaimStatus.FINISHED:
            return ClaimVerdict.REPLAY
        if self._replaces(message, entry):
            return self._grant()
        if pending and entry.router_id in self._routers and now <= entry.deadline_at_seconds:
            return ClaimVerdict.IN_PROGRESS
        return ClaimVerdict.SETTLE

    def _grant(self) -> ClaimVerdict:
        return ClaimVerdict.GRANTED if self._grants_new_claims else ClaimVerdict.STORE_OUT

    @staticmethod
    def _replaces(message: PlaceClaim, entry: ClaimEntry) -> bool:
        replaced = message.replaces
        return replaced is not None and replaced.target == entry.target

    def _add_claim(self, message: PlaceClaim, now: float) -> ClaimVerdict:
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
        self._set_entry(message.key_digest, entry)
        return ClaimVerdict.GRANTED

    def _apply_end(self, message: EndClaim, entry: ClaimEntry | None) -> None:
        if (
            entry is None
            or entry.claim_id != message.claim_id
            or entry.status in {ClaimStatus.FINISHED, message.status}
        ):
            self.unchanged.add(message.claim_id)
            return
        if message.status is None:
            self._remove_entry(message.key_digest)
            return
        updated = msgspec.structs.replace(entry, status=message.status, answer=message.answer)
        if not self._fits(message.key_digest, updated) and message.answer is not None:
            answer_without_content = msgspec.structs.replace(
                message.answer, content=None, content_digest=None
            )
            updated = msgspec.structs.replace(updated, answer=answer_without_content)
        self._set_entry(message.key_digest, updated)

    def _fits(self, digest: str, entry: ClaimEntry) -> bool:
        new_size_bytes = (
            self.size_bytes + _entry_bytes(digest, entry) - self._stored_entry_bytes(digest)
        )
        return new_size_bytes <= self._limits.shard_bytes

    def _stored_entry_bytes(self, digest: str) -> int:
        return _entry_bytes(digest, self.entries[digest]) if digest in self.entries else 0

    def _set_entry(self, digest: str, entry: ClaimEntry) -> None:
        self.size_bytes += _entry_bytes(digest, entry) - self._stored_entry_bytes(digest)
        self.entries[digest] = entry
        self.changed = True

    def _remove_entry(self, digest: str) -> None:
        self.size_bytes -= self._stored_entry_bytes(digest)
        answer = self.entries.pop(digest).answer
        if answer is not None and answer.content_digest is not None:
            self.removed_answers.append(answer.content_digest)
        self.changed = True


def _entry_bytes(digest: str, entry: ClaimEntry) -> int:
    return len(digest) + 2 + len(msgspec.msgpack.encode(entry))


def restore_entries(
    stored: Mapping[str, ClaimEntry], known: Mapping[str, ClaimEntry]
) -> dict[str, ClaimEntry]:
    """Return the entries of a shard that lost acknowledged writes, with those known from before."""
    restored = dict(stored)
    for digest, entry in known.items():
        found = stored.get(digest)
        if found is None or _is_further(entry, found):
            restored[digest] = entry
    return restored


def _is_further(known: ClaimEntry, stored: ClaimEntry) -> bool:
    """Return whether the known entry is later; another claim of the key ended the stored one."""
    if known.claim_id != stored.claim_id:
        return True
    order = list(ClaimStatus)
    return (known.attempt, order.index(known.status)) > (
        stored.attempt,
        order.index(stored.status),
    )
