"""Choose what to fetch next, and from whom."""

from random import Random

from xxhash import xxh3_64_intdigest

from egretrouter.core.configuration import Objective
from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId
from egretrouter.core.weights._budget import OriginAllowance
from egretrouter.core.weights._claims import Claims
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
from egretrouter.core.weights._sources import Sources, bits
from egretrouter.core.weights._transfers import SourceKind, Transfers

ALLOWANCE_INTERVAL_SECONDS = 1.0
ELSEWHERE_PER_STEP = 16
"""Chunks asked for in other zones at once while the origin gives nothing."""


def ring_neighbours(
    members: list[InstanceId], own: InstanceId, *, seed: int, count: int
) -> tuple[InstanceId, ...]:
    """Return the members next to one's own place on several seeded rings.

    Equal views give symmetric neighbours without any message.
    """
    if len(members) <= count + 1:
        return tuple(sorted(member for member in members if member != own))
    chosen: set[InstanceId] = set()
    for ring in range((count + 1) // 2):
        order = sorted(members, key=lambda m: xxh3_64_intdigest(m.encode(), seed + ring))
        place = order.index(own)
        chosen |= {order[place - 1], order[(place + 1) % len(order)]}
    return tuple(sorted(chosen - {own}))


class Planner:
    """Hold the sources, the fetches in flight and the claims of one copy."""

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
        self._origin_out_seconds = float("-inf")
        """When the origin was last left alone after a failure."""
        self.own = own
        self.peers: dict[InstanceId, Peer] = {}
        self.neighbours: tuple[InstanceId, ...] = ()
        self.allowance = allowance
        self.sources = Sources(settings=settings, random=random)
        self.transfers = Transfers(settings=settings)
        self.claims = Claims(
            ownership=self._ownership,
            zone=own.zone,
            instance_id=own.instance_id,
            settings=settings,
        )

    def set_peers(self, peers: tuple[Peer, ...]) -> set[InstanceId]:
        """Take over the live agents and return those that are gone."""
        view = {peer.instance_id: peer for peer in peers}
        self.own = view.setdefault(self.own.instance_id, self.own)
        gone = self.peers.keys() - view.keys()
        for peer in gone:
            self.sources.forget(peer)
            self.claims.drop_peer(peer)
        self.peers = view
        self._ownership.update(view.values())
        members = [peer.instance_id for peer in view.values() if peer.zone == self.own.zone]
        self.neighbours = ring_neighbours(
            members, self.own.instance_id, seed=self._seed, count=self._settings.neighbours
        )
        return gone

    def kind(self, source: InstanceId) -> SourceKind:
        """Return the kind of link to a source."""
        if source == ORIGIN:
            return SourceKind.ORIGIN
        peer = self.peers.get(source)
        remote = peer is not None and peer.zone != self.own.zone
        return SourceKind.REMOTE if remote else SourceKind.ZONE

    def working_on(self, index: ChunkIndex, *, asker: InstanceId, now_seconds: float) -> bool:
        """Tell whether a chunk is in flight or about to be fetched by this agent."""
        if self.transfers.mask >> index & 1:
            return True
        return self.claims.working_on(index, asker=asker) and self.sources.usable(
            ORIGIN, now_seconds=now_seconds
        )

    def cancel(self, index: ChunkIndex) -> list[CopyCommand]:
        """Break off every fetch of a chunk."""
        commands: list[CopyCommand] = []
        for source in self.transfers.sources(index):
            self.transfers.end(index, source)
            commands.append(CancelFetch(source=source, index=index))
        return commands

    def cancel_source(self, source: InstanceId) -> list[CopyCommand]:
        """Break off every fetch from a source."""
        commands: list[CopyCommand] = []
        for index in self.transfers.from_source(source):
            self.transfers.end(index, source)
            commands.append(CancelFetch(source=source, index=index))
        return commands

    def cancel_all(self) -> list[CopyCommand]:
        """Break off every fetch."""
        commands: list[CopyCommand] = []
        for index, source, _ in self.transfers.all():
            self.transfers.end(index, source)
            commands.append(CancelFetch(source=source, index=index))
        return commands

    def allowance_to_give(
        self, peer: InstanceId, size_bytes: int, *, missing: int, now_seconds: float
    ) -> int:
        """Give up allowance that a neighbour can use better.

        Shares smaller than a chunk would be of no use to anyone, so while several agents wait
        the lower ranked give theirs to the higher ranked.
        """
        needed = self._rank_masks()[0] & missing & ~self._at_hand(now_seconds)
        if needed:
            available = self.allowance.available_bytes(now_seconds=now_seconds)
            smallest = min(self._manifest.chunks[i].length_bytes for i in bits(needed))
            own_rank = xxh3_64_intdigest(self.own.instance_id.encode(), self._seed)
            if available >= smallest or own_rank > xxh3_64_intdigest(peer.encode(), self._seed):
                return 0
        return self.allowance.give(size_bytes, now_seconds=now_seconds)

    def fetch_near(self, missing: int, *, now_seconds: float) -> list[CopyCommand]:
        """Fetch missing chunks from neighbours while slots are free."""
        commands: list[CopyCommand] = []
        free = self._parallel_near() - self.transfers.per_kind[SourceKind.ZONE]
        if free <= 0:
            return commands
        for _ in range(free):
            found = self._next_near(missing, now_seconds)
            if found is None:
                break
            commands.append(self._fetch(*found, now_seconds))
        return commands

    def _next_near(self, missing: int, now_seconds: float) -> tuple[InstanceId, ChunkIndex] | None:
        """Choose the least loaded neighbour and then its rarest chunk.

        The rarest chunk of all would often be one that a single neighbour holds, and the links of
        the others would be idle meanwhile.
        """
        wanted = missing & ~self.transfers.mask
        useful = {
            source: held & wanted
            for source, held in self.sources.holding()
            if held & wanted and self._free(source, now_seconds)
        }
        if not useful:
            return None
        source = self._least_loaded(sorted(useful))
        index = self.sources.rarest(useful[source])
        return None if index is None else (source, index)

    def _parallel_near(self) -> int:
        beside = self._settings.parallel_fetches_beside_origin
        if beside is not None and self.transfers.per_kind[SourceKind.ORIGIN]:
            return beside
        return self._settings.parallel_fetches

    def fetch_far(
        self, missing: int, *, due_since_seconds: float, now_seconds: float
    ) -> list[CopyCommand]:
        """Advance the claims of an owner: ask, fetch from holders, or fetch from the origin."""
        due: dict[ChunkIndex, int] = {}
        open_mask = missing & ~self.transfers.mask & ~self._at_hand(now_seconds)
        for rank, mask in enumerate(self._rank_masks()[: self._settings.fallback_depth]):
            if now_seconds < due_since_seconds + rank * self._settings.fallback_seconds:
                break
            for index in bits(mask & open_mask):
                due[index] = rank
        ready, asks = self.claims.step(due, now_seconds=now_seconds)
        commands = self._fetch_from_origin(ready, asks, now_seconds)
        commands += [AskOwner(peer=peer, indexes=tuple(i)) for peer, i in asks.items()]
        return commands + self._fetch_from_holders(open_mask, now_seconds)

    def replace_late(self, *, now_seconds: float) -> list[CopyCommand]:
        """Hedge stalled fetches to a second source, and give up those that stay stalled."""
        commands: list[CopyCommand] = []
        for index, source, hopeless in self.transfers.late(now_seconds=now_seconds):
            if hopeless:
                self.transfers.end(index, source)
                self.sources.back_off(source, now_seconds=now_seconds)
                self.claims.failed(index, source, now_seconds=now_seconds)
                commands.append(CancelFetch(source=source, index=index))
            elif len(self.transfers.sources(index)) == 1:
                holders = {s for s, held in self.sources.holding() if held >> index & 1}
                holders |= self.claims.holders.get(index, set())
                others = [s for s in holders - {source} if self._free(s, now_seconds)]
                if others:
                    second = self._least_loaded(sorted(others))
                    commands.append(self._fetch(second, index, now_seconds))
        return commands

    def _rank_masks(self) -> list[int]:
        return self._ownership.rank_masks(self.own.zone, self.own.instance_id)

    def _at_hand(self, now_seconds: float) -> int:
        at_hand = 0
        for source, held in self.sources.holding():
            if self.sources.reliable(source, now_seconds=now_seconds):
                at_hand |= held
        return at_hand

    def _free(self, source: InstanceId, now_seconds: float) -> bool:
        return self.transfers.per_source[
            source
        ] < self._settings.parallel_fetches_per_source and self.sources.usable(
            source, now_seconds=now_seconds
        )

    def _least_loaded(self, sources: list[InstanceId]) -> InstanceId:
        return min(sources, key=lambda s: (self.transfers.per_source[s], self._random.random()))

    def _fetch(self, source: InstanceId, index: ChunkIndex, now_seconds: float) -> CopyCommand:
        self.transfers.start(index, source, self.kind(source), now_seconds=now_seconds)
        return FetchChunk(source=source, index=index)

    def _fetch_from_origin(
        self,
        ready: list[ChunkIndex],
        asks: dict[InstanceId, list[ChunkIndex]],
        now_seconds: float,
    ) -> list[CopyCommand]:
        commands: list[CopyCommand] = []
        usable = self.sources.usable(ORIGIN, now_seconds=now_seconds)
        free = self._settings.parallel_origin_fetches - self.transfers.per_kind[SourceKind.ORIGIN]
        if not usable:
            self._origin_out_seconds = now_seconds
        waiting = ready
        ready = self.claims.hold_back_begun_before(
            self._origin_out_seconds, ready, now_seconds=now_seconds
        )
        self._random.shuffle(ready)
        by_time = self._settings.objective is Objective.TIME
        if by_time:
            # Zones start with different chunks, so that they can take the others from each other.
            ready.sort(key=lambda i: -self._ownership.zone_order(i).index(self.own.zone))
        while usable and free > 0 and ready:
            size = self._manifest.chunks[ready[-1]].length_bytes
            if not self.allowance.try_spend(size, now_seconds=now_seconds):
                commands += self._ask_allowance(size, now_seconds)
                break
            commands.append(self._fetch(ORIGIN, ready.pop(), now_seconds))
            free -= 1
        if by_time or not usable:
            waiting = [index for index in waiting if not self.transfers.mask >> index & 1]
            self._random.shuffle(waiting)
            for index in waiting[:ELSEWHERE_PER_STEP]:
                self.claims.ask_elsewhere(index, asks, now_seconds=now_seconds)
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
                if self.transfers.per_kind[self.kind(source)] < limits[self.kind(source)]
                and self._free(source, now_seconds)
            ]
            if usable and not self.transfers.mask >> index & 1:
                commands.append(self._fetch(self._least_loaded(usable), index, now_seconds))
        return commands

    def _ask_allowance(self, size_bytes: int, now_seconds: float) -> list[CopyCommand]:
        if now_seconds < self._next_allowance_seconds or not self.neighbours:
            return []
        self._next_allowance_seconds = now_seconds + ALLOWANCE_INTERVAL_SECONDS
        lacking = size_bytes - self.allowance.available_bytes(now_seconds=now_seconds)
        return [AskAllowance(peer=self._random.choice(self.neighbours), size_bytes=lacking)]
