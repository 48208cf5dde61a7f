"""Store a member's view of its zone and queue the updates to send on."""

import heapq
import math
import random
from collections import OrderedDict
from enum import Enum

import msgspec
import xxhash

from egretrouter.core.identifiers import Generation, InstanceId
from egretrouter.core.membership._records import Facts, LoadSample, Member, MemberStatus

BUCKETS = 64
DIGEST_BYTES = 8
MAXIMUM_UPDATES = 12
MAXIMUM_LOADS = 12
MAXIMUM_QUEUED_LOADS = 256
LOAD_TRANSMISSIONS = 3
EXCHANGE_RECORDS = 32
URGENT_ROUNDS = 2
DEAD_RETENTION_SECONDS = 120.0
"""Dead members are kept this long, so that stale gossip does not add them again."""

FLAPS_TOLERATED = 2.0
FLAP_HALF_LIFE_SECONDS = 60.0
LONGEST_DAMPING_SECONDS = 60.0

_ENCODER = msgspec.msgpack.Encoder()


class Merge(Enum):
    """List the results of merging an update about a member into the table."""

    IGNORED = "ignored"
    APPLIED = "applied"
    VERIFY = "verify"


class Entry(msgspec.Struct, kw_only=True):
    """Combine the record of one member with the state that this process tracks locally."""

    member: Member
    changed_at_seconds: float
    confirmed: bool = True
    flaps: float = 0.0
    flapped_at_seconds: float = 0.0
    damped_until_seconds: float = 0.0


class _Queued(msgspec.Struct, kw_only=True):
    member: Member
    transmissions_left: int
    urgent_rounds: int


def bucket_of(instance_id: InstanceId) -> int:
    """Return the index of the bucket whose digest covers a member."""
    return xxhash.xxh3_64_intdigest(instance_id.encode()) % BUCKETS


def _record_digest(member: Member) -> int:
    """Return the digest of what an exchange compares: DEAD as absent, SUSPECT as ALIVE."""
    if member.status is MemberStatus.DEAD:
        return 0
    leaving = member.status is MemberStatus.LEAVING
    # The address and facts distinguish two runs of a process that started with the same
    # incarnation number.
    values = (
        member.instance_id,
        member.address,
        member.incarnation,
        leaving,
        member.facts_version,
        member.facts,
    )
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(values))


class MemberTable:
    """Merge updates about members and queue them for piggybacking."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start empty; the table contains the other members, never its owner."""
        self._rng = rng
        self.entries: dict[InstanceId, Entry] = {}
        self._buckets: list[dict[InstanceId, None]] = [{} for _ in range(BUCKETS)]
        self._digests = [0] * BUCKETS
        self._live: list[InstanceId] = []
        self._live_position: dict[InstanceId, int] = {}
        self._queue: dict[InstanceId, _Queued] = {}
        self._loads: dict[InstanceId, LoadSample] = {}
        self._load_queue: OrderedDict[InstanceId, int] = OrderedDict()
        self._generations: dict[InstanceId, tuple[int, Generation]] = {}
        self._dead_until: OrderedDict[InstanceId, float] = OrderedDict()

    @property
    def live_count(self) -> int:
        """Return the number of members whose status is not DEAD."""
        return len(self._live)

    @property
    def loads(self) -> dict[InstanceId, LoadSample]:
        """Return the newest load sample of each member."""
        return self._loads

    def sample(self, count: int, *, exclude: InstanceId | None = None) -> list[Member]:
        """Return random members whose status is not DEAD."""
        picked = self._rng.sample(self._live, min(count + 1, len(self._live)))
        return [self.entries[i].member for i in picked if i != exclude][:count]

    def live_ids(self) -> list[InstanceId]:
        """Return the ids of the members whose status is not DEAD."""
        return list(self._live)

    def merge(self, member: Member, *, now_seconds: float) -> Merge:
        """Apply an update if it overrides the stored record.

        A reported death of a member that is ALIVE here must first be verified by a probe.
        Otherwise, the two sides of a healed partition would declare each other's members dead.
        """
        entry = self.entries.get(member.instance_id)
        if entry is None:
            if member.status is MemberStatus.DEAD:
                return Merge.IGNORED
            self._set(Entry(member=member, changed_at_seconds=now_seconds))
            self.queue(member, urgent=member.status is MemberStatus.LEAVING)
            return Merge.APPLIED
        if member.status is not MemberStatus.DEAD:
            self.confirm(member.instance_id)
        held = entry.member
        if member.status is MemberStatus.DEAD and held.status is MemberStatus.ALIVE:
            return Merge.VERIFY if member.incarnation >= held.incarnation else Merge.IGNORED
        winner = member if member.precedence > held.precedence else held
        facts, version = held.facts, held.facts_version
        if member.facts_version > held.facts_version:
            facts, version = member.facts, member.facts_version
        merged = msgspec.structs.replace(winner, facts=facts, facts_version=version)
        if merged == held:
            return Merge.IGNORED
        self._record_flap(entry, merged, now_seconds)
        self.replace(merged, now_seconds=now_seconds, urgent=_is_urgent(held, merged))
        return Merge.APPLIED

    def replace(self, member: Member, *, now_seconds: float, urgent: bool = False) -> None:
        """Replace a member's record and queue it for sending."""
        entry = self.entries[member.instance_id]
        self._toggle_digest(entry.member)
        entry.member = member
        entry.changed_at_seconds = now_seconds
        self._toggle_digest(member)
        self._update_liveness(member, now_seconds)
        self.queue(member, urgent=urgent)

    def _set(self, entry: Entry) -> None:
        member = entry.member
        self.entries[member.instance_id] = entry
        self._buckets[bucket_of(member.instance_id)][member.instance_id] = None
        self._toggle_digest(member)
        self._update_liveness(member, entry.changed_at_seconds)

    def _toggle_digest(self, member: Member) -> None:
        if self.entries[member.instance_id].confirmed:
            self._digests[bucket_of(member.instance_id)] ^= _record_digest(member)

    def _update_liveness(self, member: Member, now_seconds: float) -> None:
        instance_id = member.instance_id
        if member.status is MemberStatus.DEAD:
            self._dead_until[instance_id] = now_seconds + DEAD_RETENTION_SECONDS
            self._dead_until.move_to_end(instance_id)
            self._loads.pop(instance_id, None)
            self._generations.pop(instance_id, None)
            position = self._live_position.pop(instance_id, None)
            if position is not None:
                last = self._live.pop()
                if last != instance_id:
                    self._live[position] = last
                    self._live_position[last] = position
        elif instance_id not in self._live_position:
            self._dead_until.pop(instance_id, None)
            self._live_position[instance_id] = len(self._live)
            self._live.append(instance_id)

    def _record_flap(self, entry: Entry, member: Member, now_seconds: float) -> None:
        """Damp a member that returns to ALIVE, for longer the more often this happens."""
        if member.status is not MemberStatus.ALIVE or entry.member.status is MemberStatus.ALIVE:
            return
        stable_seconds = now_seconds - entry.flapped_at_seconds
        entry.flaps = entry.flaps * 0.5 ** (stable_seconds / FLAP_HALF_LIFE_SECONDS) + 1
        entry.flapped_at_seconds = now_seconds
        if entry.flaps > FLAPS_TOLERATED:
            damping = min(2**entry.flaps, LONGEST_DAMPING_SECONDS)
            entry.damped_until_seconds = now_seconds + damping

    def is_usable(self, entry: Entry, *, now_seconds: float) -> bool:
        """Return whether a member may receive new work."""
        return (
            entry.member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
            and now_seconds >= entry.damped_until_seconds
        )

    def remove_expired_members(self, now_seconds: float) -> None:
        """Remove the members whose retention after death has expired."""
        while self._dead_until:
            instance_id, until = next(iter(self._dead_until.items()))
            if until > now_seconds:
                return
            self._remove(instance_id)

    def _remove(self, instance_id: InstanceId) -> None:
        del self._dead_until[instance_id]
        del self.entries[instance_id]
        self._buckets[bucket_of(instance_id)].pop(instance_id, None)
        self._queue.pop(instance_id, None)

    @property
    def is_trusted(self) -> bool:
        """Return whether all live members were confirmed since the last pause or partition."""
        return not self.unconfirmed()

    def unconfirmed(self) -> list[InstanceId]:
        """Return the live members that have not been confirmed yet."""
        return [i for i in self._live if not self.entries[i].confirmed]

    def drop(self, instance_id: InstanceId) -> Member:
        """Remove a member without retention, so that any later update adds it again."""
        member = self.entries[instance_id].member
        dead = msgspec.structs.replace(member, status=MemberStatus.DEAD)
        self._update_liveness(dead, 0.0)
        self._remove(instance_id)
        return dead

    def mark_all_unconfirmed(self) -> list[Member]:
        """Exclude all records from gossip until confirmed; return the suspects reset to ALIVE."""
        cleared: list[Member] = []
        self._queue.clear()
        self._load_queue.clear()
        self._digests = [0] * BUCKETS
        for entry in self.entries.values():
            entry.confirmed = False
            if entry.member.status is MemberStatus.SUSPECT:
                entry.member = msgspec.structs.replace(entry.member, status=MemberStatus.ALIVE)
                cleared.append(entry.member)
        return cleared

    def confirm(self, instance_id: InstanceId) -> None:
        """Include a record in gossip again once the member or a peer has confirmed it."""
        entry = self.entries.get(instance_id)
        if entry is not None and not entry.confirmed:
            entry.confirmed = True
            self._toggle_digest(entry.member)

    def queue(self, member: Member, *, urgent: bool = False) -> None:
        """Queue a record for piggybacking; sends grow with the logarithm of the zone size."""
        transmissions = 4 * math.ceil(math.log10(len(self._live) + 2))
        rounds = URGENT_ROUNDS if urgent else 0
        self._queue[member.instance_id] = _Queued(
            member=member, transmissions_left=transmissions, urgent_rounds=rounds
        )

    def take_updates(self) -> tuple[Member, ...]:
        """Take the records to piggyback on one message, least sent first."""
        if not self._queue:
            return ()
        chosen = heapq.nlargest(
            MAXIMUM_UPDATES, self._queue.values(), key=lambda q: q.transmissions_left
        )
        for queued in chosen:
            queued.transmissions_left -= 1
            if queued.transmissions_left <= 0:
                del self._queue[queued.member.instance_id]
        return tuple(queued.member for queued in chosen)

    def take_urgent(self) -> tuple[Member, ...]:
        """Take the records to send at once in this tick."""
        chosen = [q for q in self._queue.values() if q.urgent_rounds > 0][:MAXIMUM_UPDATES]
        for queued in chosen:
            queued.urgent_rounds -= 1
        return tuple(queued.member for queued in chosen)

    def record_generation(
        self, instance_id: InstanceId, incarnation: int, generation: Generation
    ) -> None:
        """Store a member's generation; only a new incarnation may lower it."""
        received = (incarnation, generation)
        if instance_id in self._live_position and received > self._generations.get(
            instance_id, (0, Generation(0))
        ):
            self._generations[instance_id] = received

    def generation_of(self, instance_id: InstanceId) -> Generation:
        """Return the newest generation known to be active at a member, or 0."""
        return self._generations.get(instance_id, (0, Generation(0)))[1]

    def merge_load(self, sample: LoadSample) -> None:
        """Store and queue a load sample if it is newer than the stored one."""
        held = self._loads.get(sample.instance_id)
        newer = held is None or (held.incarnation, held.sequence) < (
            sample.incarnation,
            sample.sequence,
        )
        if not newer or sample.instance_id not in self._live_position:
            return
        self._loads[sample.instance_id] = sample
        self.record_generation(sample.instance_id, sample.incarnation, sample.generation)
        self._load_queue[sample.instance_id] = LOAD_TRANSMISSIONS
        self._load_queue.move_to_end(sample.instance_id)
        if len(self._load_queue) > MAXIMUM_QUEUED_LOADS:
            self._load_queue.popitem(last=False)

    def take_loads(self) -> tuple[LoadSample, ...]:
        """Take the load samples to piggyback on one message, newest first."""
        chosen: list[LoadSample] = []
        for _ in range(min(MAXIMUM_LOADS, len(self._load_queue))):
            instance_id, left = self._load_queue.popitem()
            sample = self._loads.get(instance_id)
            if sample is None:
                continue
            chosen.append(sample)
            if left > 1:
                self._load_queue[instance_id] = left - 1
                self._load_queue.move_to_end(instance_id, last=False)
        return tuple(chosen)

    def digests(self, own: Member) -> bytes:
        """Return the digests of all buckets, including the owner's record."""
        digests = list(self._digests)
        digests[bucket_of(own.instance_id)] ^= _record_digest(own)
        return b"".join(digest.to_bytes(DIGEST_BYTES, "big") for digest in digests)

    def records_of(self, differing: list[int]) -> tuple[tuple[Member, ...], bool]:
        """Return a bounded number of records of some buckets, and whether there are more."""
        self._rng.shuffle(differing)
        records: list[Member] = []
        for bucket in differing:
            entries = (self.entries[i] for i in self._buckets[bucket])
            records += [entry.member for entry in entries if entry.confirmed]
            if len(records) > EXCHANGE_RECORDS:
                return tuple(records[:EXCHANGE_RECORDS]), True
        return tuple(records), False


def differing_buckets(ours: bytes, theirs: bytes) -> list[int]:
    """Return the indexes of the buckets whose digests differ."""
    if len(ours) != len(theirs):
        return list(range(BUCKETS))
    return [
        bucket
        for bucket in range(BUCKETS)
        if ours[bucket * DIGEST_BYTES :][:DIGEST_BYTES]
        != theirs[bucket * DIGEST_BYTES :][:DIGEST_BYTES]
    ]


def _is_urgent(before: Member, after: Member) -> bool:
    """Return whether routers must stop using the member soon."""
    gone = (MemberStatus.LEAVING, MemberStatus.DEAD)
    newly_gone = after.status in gone and before.status is not after.status
    return newly_gone or _is_withdrawn(before.facts, after.facts)


def _is_withdrawn(before: Facts, after: Facts) -> bool:
    return (after.drained and not before.drained) or (before.ready and not after.ready)
