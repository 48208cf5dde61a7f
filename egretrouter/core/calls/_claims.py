"""Claim idempotency keys in shard objects by conditional update."""

from functools import singledispatchmethod
from typing import Any

import msgspec

from egretrouter.core.calls._claim_batch import ClaimBatch, ClaimLimits
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
from egretrouter.core.identifiers import InstanceId


class _Operation(msgspec.Struct, frozen=True, kw_only=True):
    message: PlaceClaim | EndClaim
    arrival: int
    arrived_at_seconds: float


_Decided = tuple[_Operation, ClaimDecided | None]


class _Shard(msgspec.Struct, kw_only=True):
    """Hold what is known about one shard object and what waits for it."""

    known: bool = False
    version: int = 0
    entries: dict[str, ClaimEntry] = {}
    size_bytes: int = 0
    fresh_through: int = 0
    waiting: list[_Operation] = []
    in_flight: list[_Decided] = []
    written: dict[str, ClaimEntry] = {}
    written_bytes: int = 0
    sweep_at_seconds: float = 0.0
    request: int = 0
    issued_at_arrival: int = 0


class ClaimTable:
    """Group a router's claims into conditional updates, one at a time for each shard.

    The time passed to handle is the wall clock. A claim is granted only by an update of the
    shard's version that was read, or by reading the claim back. A refusal is decided only on
    content that was read after the claim arrived.
    """

    def __init__(self, *, limits: ClaimLimits | None = None) -> None:
        """Start without knowledge of any shard."""
        self._limits = limits or ClaimLimits()
        self._shards: dict[int, _Shard] = {}
        self._routers: frozenset[InstanceId] = frozenset()
        self._released: dict[str, float] = {}
        self._arrivals = 0
        self._requests = 0

    def handle(self, message: ClaimMessage, *, now_seconds: float) -> list[ClaimCommand]:
        """Apply one message."""
        return self._apply(message, now_seconds)

    @singledispatchmethod
    def _apply(self, message: object, now: float) -> list[ClaimCommand]:
        raise TypeError(f"claim book got unexpected message {message!r}")

    @_apply.register
    def _routers_changed(self, message: RoutersChanged, now: float) -> list[ClaimCommand]:
        self._routers = message.routers
        return []

    @_apply.register
    def _place(self, message: PlaceClaim, now: float) -> list[ClaimCommand]:
        return self._enqueue(message, now)

    @_apply.register
    def _end(self, message: EndClaim, now: float) -> list[ClaimCommand]:
        if message.status is None:
            # A write of this claim may still take effect; it must not hold the key then.
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
        """Decide what waits, unless a request for the shard is under way."""
        if shard.request or not shard.waiting:
            return []
        if not shard.known:
            return self._read(number, shard)
        first = shard.waiting[: self._limits.batch_operations]
        batch, decided = self._decide(shard, first, now)
        if any(operation.message.claim_id in batch.unchanged for operation in first):
            # Only an update confirms cached content, so what is not updated needs a fresh read.
            fresh = [o for o in first if o.arrival <= shard.fresh_through]
            if not fresh:
                return self._read(number, shard)
            batch, decided = self._decide(shard, fresh, now)
        shard.waiting = shard.waiting[len(decided) :]
        if batch.changed:
            if now >= shard.sweep_at_seconds:
                shard.sweep_at_seconds = now + self._limits.sweep_seconds
                batch.remove_expired(now)
            return self._write(number, shard, batch, decided)
        decisions: list[ClaimCommand] = [d for _, d in decided if d is not None]
        return decisions + self._advance(number, shard, now)

    def _decide(
        self, shard: _Shard, operations: list[_Operation], now: float
    ) -> tuple[ClaimBatch, list[_Decided]]:
        batch = ClaimBatch(
            shard.entries,
            size_bytes=shard.size_bytes,
            released=self._released,
            routers=self._routers,
            limits=self._limits,
        )
        return batch, [
            (operation, batch.decide(operation.message, now)) for operation in operations
        ]

    def _write(
        self, number: int, shard: _Shard, batch: ClaimBatch, decided: list[_Decided]
    ) -> list[ClaimCommand]:
        shard.in_flight = decided
        shard.written, shard.written_bytes = batch.entries, batch.size_bytes
        self._issue(shard)
        # Nobody reads the answer of an expired claim, whether or not the write takes effect.
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

    def _issue(self, shard: _Shard) -> None:
        self._requests += 1
        shard.request = self._requests
        shard.issued_at_arrival = self._arrivals

    def _read(self, number: int, shard: _Shard) -> list[ClaimCommand]:
        self._issue(shard)
        return [ReadShard(shard=number, request=shard.request)]

    def _answered(self, number: int, request: int) -> _Shard | None:
        """Return the shard if the answer belongs to its current request."""
        shard = self._shards.get(number)
        if shard is None or shard.request != request:
            return None
        shard.request = 0
        return shard

    @_apply.register
    def _was_read(self, message: ShardRead, now: float) -> list[ClaimCommand]:
        shard = self._answered(message.shard, message.request)
        if shard is None:
            return []
        # Malformed content raises before the shard counts as known, so it is never overwritten.
        shard.entries = ClaimShard.from_bytes(message.content).entries
        shard.known, shard.version = True, message.version
        shard.size_bytes = len(message.content)
        shard.fresh_through = shard.issued_at_arrival
        return self._advance(message.shard, shard, now)

    @_apply.register
    def _was_written(self, message: ShardWritten, now: float) -> list[ClaimCommand]:
        shard = self._answered(message.shard, message.request)
        if shard is None:
            return []
        shard.version = message.version
        shard.entries, shard.size_bytes = shard.written, shard.written_bytes
        shard.fresh_through = shard.issued_at_arrival
        decisions: list[ClaimCommand] = [d for _, d in shard.in_flight if d is not None]
        shard.in_flight = []
        return decisions + self._advance(message.shard, shard, now)

    @_apply.register
    def _undecided(self, message: ShardWriteUndecided, now: float) -> list[ClaimCommand]:
        shard = self._answered(message.shard, message.request)
        if shard is None:
            return []
        self._take_back(shard)
        return self._advance(message.shard, shard, now)

    def _take_back(self, shard: _Shard) -> None:
        shard.known = False
        shard.waiting = [operation for operation, _ in shard.in_flight] + shard.waiting
        shard.in_flight = []
        shard.waiting = [o for o in shard.waiting if not self._is_released(o.message)]

    def _is_released(self, message: PlaceClaim | EndClaim) -> bool:
        return isinstance(message, PlaceClaim) and message.claim_id in self._released

    @_apply.register
    def _unavailable(self, message: ShardUnavailable, now: float) -> list[ClaimCommand]:
        shard = self._answered(message.shard, message.request)
        if shard is None:
            return []
        self._take_back(shard)
        refused = [o for o in shard.waiting if isinstance(o.message, PlaceClaim)]
        ends = [o for o in shard.waiting if isinstance(o.message, EndClaim)]
        shard.waiting = ends[-self._limits.waiting_ends :]
        return [_store_out(operation.message) for operation in refused]

    @_apply.register
    def _tick(self, message: ClaimTick, now: float) -> list[ClaimCommand]:
        commands: list[ClaimCommand] = []
        for number, shard in list(self._shards.items()):
            commands += self._time_out(shard, now)
            commands += self._advance(number, shard, now)
        for claim_id in [key for key, until in self._released.items() if until < now]:
            del self._released[claim_id]
        return commands

    def _time_out(self, shard: _Shard, now: float) -> list[ClaimCommand]:
        limit = now - self._limits.place_timeout_seconds
        late = [
            operation
            for operation in [*shard.waiting, *(o for o, _ in shard.in_flight)]
            if isinstance(operation.message, PlaceClaim) and operation.arrived_at_seconds < limit
        ]
        if not late:
            return []
        gone = {operation.arrival for operation in late}
        shard.waiting = [o for o in shard.waiting if o.arrival not in gone]
        shard.in_flight = [(o, d) for o, d in shard.in_flight if o.arrival not in gone]
        return [_store_out(operation.message) for operation in late]

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "released": len(self._released),
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


def _store_out(message: PlaceClaim | EndClaim) -> ClaimDecided:
    attempt = message.attempt if isinstance(message, PlaceClaim) else 0
    return ClaimDecided(claim_id=message.claim_id, attempt=attempt, verdict=ClaimVerdict.STORE_OUT)
