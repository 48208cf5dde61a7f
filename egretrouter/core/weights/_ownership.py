"""Rank the owners of each chunk by rendezvous hashing."""

from bisect import insort
from collections.abc import Iterable, Sequence

import msgspec
from xxhash import xxh3_64_intdigest

from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId, RegionId, ZoneId

OWNER_DEPTH = 8
"""Ranks kept per chunk; membership replaces dead owners long before all eight have failed."""


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """Agent that takes part in a copy, with its zone and region."""

    instance_id: InstanceId
    zone: ZoneId
    region: RegionId
    is_newcomer: bool = False


class _ZoneRanking:
    """Rank the members of one zone, lazily per chunk and incrementally per membership change."""

    def __init__(self, seeds: Sequence[int]) -> None:
        self._seeds = seeds
        self._members: dict[InstanceId, bytes] = {}
        self._ranked: dict[int, list[tuple[int, InstanceId]]] = {}

    def set_members(self, members: set[InstanceId]) -> bool:
        """Replace the set of members and return whether it differs."""
        if members == self._members.keys():
            return False
        joined, left = members - self._members.keys(), self._members.keys() - members
        self._members = {member: member.encode() for member in members}
        if len(joined) + len(left) > len(members):
            self._ranked.clear()
            return True
        wanted = min(OWNER_DEPTH, len(members))
        for index, ranked in list(self._ranked.items()):
            if left and any(member in left for _, member in ranked):
                ranked[:] = [entry for entry in ranked if entry[1] not in left]
            if len(ranked) + len(joined) < wanted or (left and len(ranked) < wanted):
                # Ranks beyond OWNER_DEPTH are unknown, so the next lookup ranks the chunk again.
                del self._ranked[index]
                continue
            seed = self._seeds[index]
            for member in joined:
                insort(ranked, (-xxh3_64_intdigest(self._members[member], seed), member))
            del ranked[OWNER_DEPTH:]
        return True

    def owners(self, index: int) -> list[tuple[int, InstanceId]]:
        """Return the scores and members that rank best for one chunk, best first."""
        ranked = self._ranked.get(index)
        if ranked is None:
            seed = self._seeds[index]
            scores = sorted((-xxh3_64_intdigest(key, seed), m) for m, key in self._members.items())
            ranked = self._ranked[index] = scores[:OWNER_DEPTH]
        return ranked


class Ownership:
    """Rank zones, and the agents inside each zone, for every chunk.

    Ranking zones first and members second limits the cost per chunk to the size of one zone and
    requires an exact membership view of the agent's own zone only.
    """

    def __init__(self, *, chunk_digests: Sequence[Digest]) -> None:
        self._seeds = [
            int(digest[:15], 16) ^ index for index, digest in enumerate(chunk_digests)
        ]  # Equal chunks of one version get different owners.
        self._zones: dict[ZoneId, _ZoneRanking] = {}
        self._regions: dict[ZoneId, RegionId] = {}
        self._zone_orders: dict[int, tuple[ZoneId, ...]] = {}
        self._rank_masks: dict[tuple[ZoneId, InstanceId], list[int]] = {}

    def update(self, peers: Iterable[Peer]) -> None:
        """Replace the live agents; newcomers own chunks only where no agent is established."""
        established: dict[ZoneId, set[InstanceId]] = {}
        newcomers: dict[ZoneId, set[InstanceId]] = {}
        regions: dict[ZoneId, RegionId] = {}
        for peer in peers:
            regions[peer.zone] = peer.region
            group = newcomers if peer.is_newcomer else established
            group.setdefault(peer.zone, set()).add(peer.instance_id)
        if regions != self._regions:
            self._regions = regions
            self._zone_orders.clear()
            self._zones = {z: r for z, r in self._zones.items() if z in regions}
        for zone in regions:
            ranking = self._zones.get(zone)
            if ranking is None:
                ranking = self._zones[zone] = _ZoneRanking(self._seeds)
            if ranking.set_members(established.get(zone) or newcomers[zone]):
                for key in [key for key in self._rank_masks if key[0] == zone]:
                    del self._rank_masks[key]

    def owners(self, index: ChunkIndex, zone: ZoneId) -> list[InstanceId]:
        """Return up to OWNER_DEPTH owners of a chunk in a zone, best rank first."""
        ranking = self._zones.get(zone)
        return [member for _, member in ranking.owners(index)] if ranking else []

    def zone_order(self, index: ChunkIndex) -> tuple[ZoneId, ...]:
        """Return all zones in the order of their rank for a chunk, best first."""
        order = self._zone_orders.get(index)
        if order is None:
            seed = self._seeds[index]
            scores = sorted((-xxh3_64_intdigest(z.encode(), seed), z) for z in self._regions)
            order = self._zone_orders[index] = tuple(zone for _, zone in scores)
        return order

    def source_zone(
        self, index: ChunkIndex, zone: ZoneId, *, origin_zones: int = 1
    ) -> ZoneId | None:
        """Return the zone that a zone fetches a chunk from, or None for the origin.

        The best-ranked zones overall fetch the chunk from the origin. The best-ranked zone of
        each other region fetches it from one of them, and the other zones of a region from the
        best-ranked one there, so a chunk crosses the link to each region once.
        """
        order = self.zone_order(index)
        region = self._regions.get(zone)
        entry_zone = next((z for z in order if self._regions[z] == region), None)
        origin_zones_of_chunk = order[:origin_zones]
        if entry_zone is None or zone in origin_zones_of_chunk:
            return None
        if entry_zone != zone:
            return entry_zone
        # Spread the load over the zones that use the origin; otherwise all wait for one link.
        return origin_zones_of_chunk[order.index(zone) % len(origin_zones_of_chunk)]

    def rank_masks(self, zone: ZoneId, instance_id: InstanceId) -> list[int]:
        """Return, per rank, the bitmap of the chunks that an agent owns at that rank."""
        masks = self._rank_masks.get((zone, instance_id))
        if masks is None:
            ranking = self._zones.get(zone)
            positions: list[list[int]] = [[] for _ in range(OWNER_DEPTH)]
            for index in range(len(self._seeds) if ranking else 0):
                assert ranking is not None
                for rank, (_, member) in enumerate(ranking.owners(index)):
                    if member == instance_id:
                        positions[rank].append(index)
                        break
            masks = [sum(1 << index for index in indexes) for indexes in positions]
            self._rank_masks[(zone, instance_id)] = masks
        return masks
