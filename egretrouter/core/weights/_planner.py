"""Choose the next chunks to fetch and their sources."""

from random import Random

from xxhash import xxh3_64_intdigest

from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId
from egretrouter.core.objective import Objective
from egretrouter.core.weights._budget import OriginAllowance
from egretrouter.core.weights._claims import ChunkClaims
from egretrouter.core.weights._manifest import Manifest
from egretrouter.core.weights._messages import (
    ORIGIN,
    AskAllowance,
    AskOwner,
    CancelFetch,
    CopyCommand,
    CopySettings,
    FetchChunk,
)
from egretrouter.core.weights._ownership import Ownership, Peer
from egretrouter.core.weights._sources import Sources, bit_positions
from egretrouter.core.weights._transfers import SourceKind, Transfers

ALLOWANCE_INTERVAL_SECONDS = 1.0
OTHER_ZONE_QUESTIONS_PER_STEP = 16
"""Chunks per step that are asked for in other zones while the origin delivers nothing."""


def ring_neighbours(
    members: list[InstanceId], own: InstanceId, *, seed: int, count: int
) -> tuple[InstanceId, ...]:
    """Return the members adjacent to this agent on several seeded rings.

    Agents with equal membership views select symmetric neighbours without any message.
    """
    if len(members) <= count + 1:
        return tuple(sorted(member for member in members if member != own))
    chosen: set[InstanceId] = set()
    for ring in range((count + 1) // 2):
        order = sorted(members, key=lambda m: xxh3_64_intdigest(m.encode(), seed + ring))
        position = order.index(own)
        chosen |= {order[position - 1], order[(position + 1) % len(order)]}
    return tuple(sorted(chosen - {own}))


class Planner:
    """Plan the fetches of one copy from its sources, fetches in flight and claims."""

    def __init__(
        self,
        *,
        manifest: Manifest,
        manifest_digest: Digest,
        own: Peer,
        allowance: OriginAllowance,
        settings: CopySettings,
        random: Random,
    ) -> None:
        self._manifest = manifest
        self._seed = int(manifest_digest[:15], 16)
        self._settings = settings
        self._random = random
        self._ownership = Ownership(chunk_digests=[chunk.digest for chunk in manifest.chunks])
        self._next_allowance_seconds = 0.0
        self._origin_unusable_seconds = float("-inf")
        """Last time at which the origin was in backoff or quarantine."""
        self.own = own
        self.peers: dict[InstanceId, Peer] = {}
        self.neighbours: tuple[InstanceId, ...] = ()
        self.allowance = allowance
        self.sources = Sources(settings=settings, random=random)
        self.transfers = Transfers(settings=settings)
        self.claims = ChunkClaims(
            ownership=self._ownership,
            zone=own.zone,
            instance_id=own.instance_id,
            settings=settings,
        )

    def set_peers(self, peers: tuple[Peer, ...]) -> set[InstanceId]:
        """Replace the live agents and return those that departed."""
        view = {peer.instance_id: peer for peer in peers}
        self.own = view.setdefault(self.own.instance_id, self.own)
        departed = self.peers.keys() - view.keys()
        for peer in departed:
            self.sources.clear_held(peer)
            self.claims.drop_peer(peer)
        self.peers = view
        self._ownership.update(view.values())
        members = [peer.instance_id for peer in view.values() if peer.zone == self.own.zone]
        self.neighbours = ring_neighbours(
            members, self.own.instance_id, seed=self._seed, count=self._settings.neighbours
        )
        return departed

    def source_kind(self, source: InstanceId) -> SourceKind:
        """Return the kind of link to a source."""
        if source == ORIGIN:
            return SourceKind.ORIGIN
        peer = self.peers.get(source)
        remote = peer is not None and peer.zone != self.own.zone
        return SourceKind.REMOTE if remote else SourceKind.ZONE

    def is_fetching(
        self, index: ChunkIndex, *, asking_peer: InstanceId, now_seconds: float
    ) -> bool:
        """Return whether a chunk is in flight here, or will be while the origin is usable."""
        if self.transfers.in_flight_mask >> index & 1:
            return True
        return self.claims.will_fetch(index, asking_peer=asking_peer) and self.sources.is_usable(
            ORIGIN, now_seconds=now_seconds
        )

    def cancel_chunk(self, index: ChunkIndex) -> list[CopyCommand]:
        """Cancel every fetch of a chunk."""
        commands: list[CopyCommand] = []
        for source in self.transfers.sources(index):
            self.transfers.end(index, source)
            commands.append(CancelFetch(source=source, index=index))
        return commands

    def cancel_source(self, source: InstanceId) -> list[CopyCommand]:
        """Cancel every fetch from a source."""
        commands: list[CopyCommand] = []
        for index in self.transfers.chunks_from(source):
            self.transfers.end(index, source)
            commands.append(CancelFetch(source=source, index=index))
        return commands

    def cancel_all(self) -> list[CopyCommand]:
        """Cancel every fetch in flight."""
        commands: list[CopyCommand] = []
        for index, source, _ in self.transfers.in_flight():
            self.transfers.end(index, source)
            commands.append(CancelFetch(source=source, index=index))
        return commands

    def grant_allowance(
        self, peer: InstanceId, size_bytes: int, *, missing: int, now_seconds: float
    ) -> int:
        """Grant allowance that this agent does not need to a peer; return the bytes granted.

        A share smaller than a chunk is of no use, so while several agents wait for allowance,
        lower-ranked agents grant theirs to higher-ranked ones.
        """
        needed = self._rank_masks()[0] & missing & ~self._reliably_held(now_seconds)
        if needed:
            available = self.allowance.available_bytes(now_seconds=now_seconds)
            smallest = min(self._manifest.chunks[i].length_bytes for i in bit_positions(needed))
            own_rank = xxh3_64_intdigest(self.own.instance_id.encode(), self._seed)
            if available >= smallest or own_rank > xxh3_64_intdigest(peer.encode(), self._seed):
                return 0
        return self.allowance.grant(size_bytes, now_seconds=now_seconds)

    def fetch_from_neighbours(self, missing: int, *, now_seconds: float) -> list[CopyCommand]:
        """Fetch missing chunks from neighbours up to the limit on parallel fetches."""
        commands: list[CopyCommand] = []
        free = self._neighbour_fetch_limit() - self.transfers.per_kind[SourceKind.ZONE]
        if free <= 0:
            return commands
        for _ in range(free):
            found = self._next_neighbour_fetch(missing, now_seconds)
            if found is None:
                break
            commands.append(self._fetch(*found, now_seconds))
        return commands

    def _next_neighbour_fetch(
        self, missing: int, now_seconds: float
    ) -> tuple[InstanceId, ChunkIndex] | None:
        """Return the least loaded neighbour and its rarest missing chunk.

        Choosing the rarest chunk overall often selects one that a single neighbour holds, which
        leaves the links of the other neighbours idle.
        """
        wanted = missing & ~self.transfers.in_flight_mask
        useful = {
            source: held & wanted
            for source, held in self.sources.with_chunks()
            if held & wanted and self._can_fetch_from(source, now_seconds)
        }
        if not useful:
            return None
        source = self._least_loaded(sorted(useful))
        index = self.sources.rarest(useful[source])
        return None if index is None else (source, index)

    def _neighbour_fetch_limit(self) -> int:
        limit = self._settings.parallel_fetches_beside_origin
        if limit is not None and self.transfers.per_kind[SourceKind.ORIGIN]:
            return limit
        return self._settings.parallel_fetches

    def fetch_owned_chunks(
        self, missing: int, *, due_since_seconds: float, now_seconds: float
    ) -> list[CopyCommand]:
        """Advance the claims of owned chunks: ask owners, fetch from holders or from the origin."""
        due: dict[ChunkIndex, int] = {}
        open_mask = missing & ~self.transfers.in_flight_mask & ~self._reliably_held(now_seconds)
        for rank, mask in enumerate(self._rank_masks()[: self._settings.fallback_depth]):
            if now_seconds < due_since_seconds + rank * self._settings.fallback_seconds:
                break
            for index in bit_positions(mask & open_mask):
                due[index] = rank
        ready, questions = self.claims.advance(due, now_seconds=now_seconds)
        commands = self._fetch_from_origin(ready, questions, now_seconds)
        commands += [AskOwner(peer=peer, indexes=tuple(i)) for peer, i in questions.items()]
        return commands + self._fetch_from_holders(open_mask, now_seconds)

    def replace_stalled(self, *, now_seconds: float) -> list[CopyCommand]:
        """Hedge stalled fetches with a second source, and cancel those that stay stalled."""
        commands: list[CopyCommand] = []
        for index, source, is_expired in self.transfers.stalled(now_seconds=now_seconds):
            if is_expired:
                self.transfers.end(index, source)
                self.sources.back_off(source, now_seconds=now_seconds)
                self.claims.record_failure(index, source, now_seconds=now_seconds)
                commands.append(CancelFetch(source=source, index=index))
            elif len(self.transfers.sources(index)) == 1:
                holders = {s for s, held in self.sources.with_chunks() if held >> index & 1}
                holders |= self.claims.holders.get(index, set())
                others = [s for s in holders - {source} if self._can_fetch_from(s, now_seconds)]
                if others:
                    second = self._least_loaded(sorted(others))
                    commands.append(self._fetch(second, index, now_seconds))
        return commands

    def _rank_masks(self) -> list[int]:
        return self._ownership.rank_masks(self.own.zone, self.own.instance_id)

    def _reliably_held(self, now_seconds: float) -> int:
        available = 0
        for source, held in self.sources.with_chunks():
            if self.sources.is_reliable(source, now_seconds=now_seconds):
                available |= held
        return available

    def _can_fetch_from(self, source: InstanceId, now_seconds: float) -> bool:
        return self.transfers.per_source[
            source
        ] < self._settings.parallel_fetches_per_source and self.sources.is_usable(
            source, now_seconds=now_seconds
        )

    def _least_loaded(self, sources: list[InstanceId]) -> InstanceId:
        return min(sources, key=lambda s: (self.transfers.per_source[s], self._random.random()))

    def _fetch(self, source: InstanceId, index: ChunkIndex, now_seconds: float) -> CopyCommand:
        self.transfers.start(index, source, self.source_kind(source), now_seconds=now_seconds)
        return FetchChunk(source=source, index=index)

    def _fetch_from_origin(
        self,
        ready: list[ChunkIndex],
        questions: dict[InstanceId, list[ChunkIndex]],
        now_seconds: float,
    ) -> list[CopyCommand]:
        commands: list[CopyCommand] = []
        usable = self.sources.is_usable(ORIGIN, now_seconds=now_seconds)
        free = self._settings.parallel_origin_fetches - self.transfers.per_kind[SourceKind.ORIGIN]
        if not usable:
            self._origin_unusable_seconds = now_seconds
        waiting = ready
        ready = self.claims.postpone_started_before(
            self._origin_unusable_seconds, ready, now_seconds=now_seconds
        )
        self._random.shuffle(ready)
        minimizes_time = self._settings.objective is Objective.TIME
        if minimizes_time:
            # Zones start with different chunks, so that they can exchange them afterwards.
            ready.sort(key=lambda i: -self._ownership.zone_order(i).index(self.own.zone))
        while usable and free > 0 and ready:
            size = self._manifest.chunks[ready[-1]].length_bytes
            if not self.allowance.try_spend(size, now_seconds=now_seconds):
                commands += self._ask_allowance(size, now_seconds)
                break
            commands.append(self._fetch(ORIGIN, ready.pop(), now_seconds))
            free -= 1
        if minimizes_time or not usable:
            waiting = [index for index in waiting if not self.transfers.in_flight_mask >> index & 1]
            self._random.shuffle(waiting)
            for index in waiting[:OTHER_ZONE_QUESTIONS_PER_STEP]:
                self.claims.ask_other_zone(index, questions, now_seconds=now_seconds)
        return commands

    def _fetch_from_holders(self, open_mask: int, now_seconds: float) -> list[CopyCommand]:
        commands: list[CopyCommand] = []
        limits = {
            SourceKind.ZONE: self._settings.parallel_fetches,
            SourceKind.REMOTE: self._settings.parallel_remote_fetches,
        }
        indexes = [i for i, found in self.claims.holders.items() if found and open_mask >> i & 1]
        self._random.shuffle(indexes)
        for index in indexes:
            usable = [
                source
                for source in sorted(self.claims.holders[index])
                if self.transfers.per_kind[self.source_kind(source)]
                < limits[self.source_kind(source)]
                and self._can_fetch_from(source, now_seconds)
            ]
            if usable and not self.transfers.in_flight_mask >> index & 1:
                commands.append(self._fetch(self._least_loaded(usable), index, now_seconds))
        return commands

    def _ask_allowance(self, size_bytes: int, now_seconds: float) -> list[CopyCommand]:
        if now_seconds < self._next_allowance_seconds or not self.neighbours:
            return []
        self._next_allowance_seconds = now_seconds + ALLOWANCE_INTERVAL_SECONDS
        missing_bytes = size_bytes - self.allowance.available_bytes(now_seconds=now_seconds)
        return [AskAllowance(peer=self._random.choice(self.neighbours), size_bytes=missing_bytes)]
