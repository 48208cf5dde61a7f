"""Claim idempotency keys by conditional updates of shard objects."""

from functools import singledispatchmethod
from typing import Any

import msgspec

from egretrouter.core.calls._claim_batch import ClaimBatch, ClaimLimits, restore_entries
from egretrouter.core.calls._claim_messages import (
    ClaimCommand,
    ClaimDecided,
    ClaimEntry,
    ClaimMessage,
    ClaimShard,
    ClaimTick,
    ClaimVerdict,
    DeleteAnswer,
    EndClaim,
    EraBegun,
    PlaceClaim,
    ReadShard,
    RoutersChanged,
    ShardRead,
    ShardUnavailable,
    ShardWriteUndecided,
    ShardWritten,
    WriteShard,
    shard_of,
)
from egretrouter.core.eras import FIRST_ERA, version_era
from egretrouter.core.identifiers import InstanceId


class _Operation(msgspec.Struct, frozen=True, kw_only=True):
    message: PlaceClaim | EndClaim
    arrival: int
    arrived_at_seconds: float


_DecidedOperation = tuple[_Operation, ClaimDecided | None]


class _Shard(msgspec.Struct, kw_only=True):
    """Cache one shard object and queue the operations on it."""

    is_loaded: bool = False
    version: int = 0
    entries: dict[str, ClaimEntry] = {}
    size_bytes: int = 0
    fresh_through: int = 0
    waiting: list[_Operation] = []
    in_flight: list[_DecidedOperation] = []
    written: dict[str, ClaimEntry] = {}
    written_bytes: int = 0
    sweep_at_seconds: float = 0.0
    request: int = 0
    issued_at_arrival: int = 0
    known: dict[str, ClaimEntry] = {}
    """Entries from before a restore of the store, until it is known to have them."""


class ClaimTable:
    """Group a router's claims into conditional updates, one at a time for each shard.

    The time passed to handle is the wall clock. A claim is granted only by an update of the
    shard version that was read, or if a later read returns the claim. A claim is refused only on
    the basis of content that was read after the claim arrived.
    """

    def __init__(self, *, limits: ClaimLimits | None = None) -> None:
        """Start with no shard loaded."""
        self._limits = limits or ClaimLimits()
        self._shards: dict[int, _Shard] = {}
        self._routers: frozenset[InstanceId] = frozenset()
        self._released: dict[str, float] = {}
        self._arrivals = 0
        self._requests = 0
        self._era = 0
        self._grants_from_seconds = float("-inf")

    def handle(self, message: ClaimMessage, *, now_seconds: float) -> list[ClaimCommand]:
        """Apply one message."""
        return self._apply(message, now_seconds)

    @singledispatchmethod
    def _apply(self, message: object, now: float) -> list[ClaimCommand]:
        raise TypeError(f"claim table got unexpected message {message!r}")

    @_apply.register
    def _on_routers_changed(self, message: RoutersChanged, now: float) -> list[ClaimCommand]:
        self._routers = message.routers
        return []

    @_apply.register
    def _on_era_begun(self, message: EraBegun, now: float) -> list[ClaimCommand]:
        if message.era == self._era and message.noticed_at_seconds is not None:
            limits = self._limits
            held_seconds = limits.restore_hold_seconds + limits.clock_skew_seconds
            noticed_and_held = message.noticed_at_seconds + held_seconds
            self._grants_from_seconds = min(self._grants_from_seconds, noticed_and_held)
        if message.era <= self._era:
            return []
        self._era = message.era
        if message.era <= FIRST_ERA:
            return []
        self._grants_from_seconds = now + self._limits.restore_hold_seconds
        commands: list[ClaimCommand] = []
        for number, shard in self._shards.items():
            shard.known = restore_entries(shard.known, shard.entries)
            shard.is_loaded = False
            commands += self._advance(number, shard, now)
        return commands

    @property
    def knows_claims(self) -> bool:
        """Return whether this router knows claims that a restore of the store could lose."""
        return any(shard.entries or shard.known for shard in self._shards.values())

    @_apply.register
    def _on_place_claim(self, message: PlaceClaim, now: float) -> list[ClaimCommand]:
        return self._enqueue(message, now)

    @_apply.register
    def _on_end_claim(self, message: EndClaim, now: float) -> list[ClaimCommand]:
        if message.status is None:
            # A pending write of this claim may still take effect and must not hold the key.
            self._released[message.claim_id] = now + self._limits.retention_seconds
            shard = self._shards.get(shard_of(message.key_digest, shards=self._limits.shards))
            if shard is not None:
                shard.waiting = [
                    operation
                    for operation in shard.waiting
                    if operation.message.claim_id != message.claim_id
                ]
        return self._enqueue(message, now)

    def _enqueue(self, message: PlaceClaim | EndClaim, now: float) -> list[ClaimCommand]:
        number = shard_of(message.key_digest, shards=self._limits.shards)
        shard = self._shards.setdefault(number, _Shard())
        self._arrivals += 1
        shard.waiting.append(
            _Operation(message=message, arrival=self._arrivals, arrived_at_seconds=now)
        )
        return self._advance(number, shard, now)

    def _advance(self, number: int, shard: _Shard, now: float) -> list[ClaimCommand]:
        """Decide the waiting operations, unless a request for the shard is in flight."""
        if shard.request or not (shard.waiting or shard.known):
            return []
        if not shard.is_loaded:
            return self._read_shard(number, shard)
        first = shard.waiting[: self._limits.batch_operations]
        batch, decided = self._decide_operations(shard, first, now)
        if any(operation.message.claim_id in batch.unchanged for operation in first):
            # Only an update confirms cached content; operations without one need a fresh read.
            fresh = [o for o in first if o.arrival <= shard.fresh_through]
            if not fresh:
                return self._read_shard(number, shard)
            batch, decided = self._decide_operations(shard, fresh, now)
        shard.waiting = shard.waiting[len(decided) :]
        if batch.changed or shard.known:
            if now >= shard.sweep_at_seconds:
                shard.sweep_at_seconds = now + self._limits.sweep_seconds
                batch.remove_expired(now)
            return self._write_shard(number, shard, batch, decided)
        decisions: list[ClaimCommand] = [d for _, d in decided if d is not None]
        return decisions + self._advance(number, shard, now)

    def _decide_operations(
        self, shard: _Shard, operations: list[_Operation], now: float
    ) -> tuple[ClaimBatch, list[_DecidedOperation]]:
        batch = ClaimBatch(
            shard.entries,
            size_bytes=shard.size_bytes,
            released=self._released,
            routers=self._routers,
            limits=self._limits,
            grants_new_claims=now >= self._grants_from_seconds,
        )
        return batch, [
            (operation, batch.decide(operation.message, now)) for operation in operations
        ]

    def _write_shard(
        self, number: int, shard: _Shard, batch: ClaimBatch, decided: list[_DecidedOperation]
    ) -> list[ClaimCommand]:
        shard.in_flight = decided
        shard.written, shard.written_bytes = batch.entries, batch.size_bytes
        self._begin_request(shard)
        # Answers of expired claims are never read, whether or not the write takes effect.
        deletes = [DeleteAnswer(content_digest=digest) for digest in batch.removed_answers]
        return [
            *deletes,
            WriteShard(
                shard=number,
                request=shard.request,
                expected_version=shard.version,
                content=ClaimShard(entries=batch.entries).to_bytes(),
            ),
        ]

    def _begin_request(self, shard: _Shard) -> None:
        self._requests += 1
        shard.request = self._requests
        shard.issued_at_arrival = self._arrivals

    def _read_shard(self, number: int, shard: _Shard) -> list[ClaimCommand]:
        self._begin_request(shard)
        return [ReadShard(shard=number, request=shard.request)]

    def _finish_request(self, number: int, request: int) -> _Shard | None:
        """Return the shard if the reply belongs to its current request, and end this request."""
        shard = self._shards.get(number)
        if shard is None or shard.request != request:
            return None
        shard.request = 0
        return shard

    @_apply.register
    def _on_shard_read(self, message: ShardRead, now: float) -> list[ClaimCommand]:
        shard = self._finish_request(message.shard, message.request)
        if shard is None:
            return []
        # Malformed content raises before is_loaded is set, so it is never overwritten.
        stored = ClaimShard.from_bytes(message.content).entries
        commands = self._on_era_begun(EraBegun(era=message.era), now)
        if message.era < self._era:
            return [*commands, *self._advance(message.shard, shard, now)]
        shard.entries = restore_entries(stored, shard.known)
        if shard.entries == stored:
            shard.known = {}
        shard.is_loaded, shard.version = True, message.version
        shard.size_bytes = len(message.content)
        shard.fresh_through = shard.issued_at_arrival
        return [*commands, *self._advance(message.shard, shard, now)]

    @_apply.register
    def _on_shard_written(self, message: ShardWritten, now: float) -> list[ClaimCommand]:
        shard = self._finish_request(message.shard, message.request)
        if shard is None:
            return []
        shard.version = message.version
        shard.entries, shard.size_bytes = shard.written, shard.written_bytes
        if self._era and version_era(message.version) < self._era:
            # The store may have lost this update when it came back from a copy.
            shard.known = restore_entries(shard.known, shard.entries)
            shard.is_loaded = False
        else:
            shard.known = {}
        shard.fresh_through = shard.issued_at_arrival
        decisions: list[ClaimCommand] = [d for _, d in shard.in_flight if d is not None]
        shard.in_flight = []
        return decisions + self._advance(message.shard, shard, now)

    @_apply.register
    def _on_write_undecided(self, message: ShardWriteUndecided, now: float) -> list[ClaimCommand]:
        shard = self._finish_request(message.shard, message.request)
        if shard is None:
            return []
        self._requeue_in_flight(shard)
        return self._advance(message.shard, shard, now)

    def _requeue_in_flight(self, shard: _Shard) -> None:
        shard.is_loaded = False
        shard.waiting = [operation for operation, _ in shard.in_flight] + shard.waiting
        shard.in_flight = []
        shard.waiting = [o for o in shard.waiting if not self._is_released(o.message)]

    def _is_released(self, message: PlaceClaim | EndClaim) -> bool:
        return isinstance(message, PlaceClaim) and message.claim_id in self._released

    @_apply.register
    def _on_shard_unavailable(self, message: ShardUnavailable, now: float) -> list[ClaimCommand]:
        shard = self._finish_request(message.shard, message.request)
        if shard is None:
            return []
        self._requeue_in_flight(shard)
        refused = [o for o in shard.waiting if isinstance(o.message, PlaceClaim)]
        ends = [o for o in shard.waiting if isinstance(o.message, EndClaim)]
        shard.waiting = ends[-self._limits.waiting_ends :]
        return [_store_out_decision(operation.message) for operation in refused]

    @_apply.register
    def _on_tick(self, message: ClaimTick, now: float) -> list[ClaimCommand]:
        commands: list[ClaimCommand] = []
        for number, shard in list(self._shards.items()):
            commands += self._expire_operations(shard, now)
            commands += self._advance(number, shard, now)
        for claim_id in [key for key, until in self._released.items() if until < now]:
            del self._released[claim_id]
        return commands

    def _expire_operations(self, shard: _Shard, now: float) -> list[ClaimCommand]:
        limit = now - self._limits.place_timeout_seconds
        late = [
            operation
            for operation in [*shard.waiting, *(o for o, _ in shard.in_flight)]
            if isinstance(operation.message, PlaceClaim) and operation.arrived_at_seconds < limit
        ]
        if not late:
            return []
        late_arrivals = {operation.arrival for operation in late}
        shard.waiting = [o for o in shard.waiting if o.arrival not in late_arrivals]
        shard.in_flight = [(o, d) for o, d in shard.in_flight if o.arrival not in late_arrivals]
        return [_store_out_decision(operation.message) for operation in late]

    @property
    def has_pending_ends(self) -> bool:
        """Return whether the end of a claim is not stored yet."""
        return any(
            isinstance(operation.message, EndClaim)
            for shard in self._shards.values()
            for operation in [*shard.waiting, *(o for o, _ in shard.in_flight)]
        )

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "released": len(self._released),
            "era": self._era,
            "grants_from_seconds": max(self._grants_from_seconds, 0.0),
            "shards": {
                str(number): {
                    "version": shard.version,
                    "entries": len(shard.entries),
                    "size_bytes": shard.size_bytes,
                    "waiting": len(shard.waiting),
                    "in_flight": len(shard.in_flight),
                }
                for number, shard in self._shards.items()
            },
        }


def _store_out_decision(message: PlaceClaim | EndClaim) -> ClaimDecided:
    attempt = message.attempt if isinstance(message, PlaceClaim) else 0
    return ClaimDecided(claim_id=message.claim_id, attempt=attempt, verdict=ClaimVerdict.STORE_OUT)
