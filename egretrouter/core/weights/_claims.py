"""Decide when an owner of a chunk may fetch it from outside its neighbours."""

from collections import defaultdict

from egretrouter.core.identifiers import ChunkIndex, InstanceId, ZoneId
from egretrouter.core.weights._messages import CopySettings, OwnerAnswered
from egretrouter.core.weights._ownership import Ownership

SOURCE_OWNERS = 3
"""Owners in the source zone that are asked one after another before the origin is used."""


class _ChunkClaim:
    """Progress of this agent in asking other owners for one chunk."""

    def __init__(self, *, rank: int, now_seconds: float) -> None:
        self.rank = rank
        self.started_seconds = now_seconds
        self.group_index = 0
        self.wait_extensions = 0
        self.next_step_seconds = now_seconds
        self.pending_peers: set[InstanceId] = set()
        self.peer_is_fetching = False
        self.has_waited_for_zones = False
        self.source_zone_answered = False
        self.is_ready_for_origin = False
        self.asks_all_ranks = False
        self.other_zone_attempts = 0
        self.next_other_zone_seconds = now_seconds


class ChunkClaims:
    """Per chunk, ask better-ranked owners, then the source zone, then allow the origin."""

    def __init__(
        self,
        *,
        ownership: Ownership,
        zone: ZoneId,
        instance_id: InstanceId,
        settings: CopySettings,
    ) -> None:
        self._ownership = ownership
        self._zone = zone
        self._instance_id = instance_id
        self._settings = settings
        self._claims: dict[ChunkIndex, _ChunkClaim] = {}
        self.holders: dict[ChunkIndex, set[InstanceId]] = defaultdict(set)
        """Peers other than neighbours that answered that they hold a chunk."""

    def clear(self) -> None:
        """Discard all claims, after a pause or a change of the owners."""
        self._claims.clear()
        self.holders.clear()

    def remove(self, index: ChunkIndex) -> None:
        """Remove the claim and the holders of a chunk that is stored."""
        self._claims.pop(index, None)
        self.holders.pop(index, None)

    def will_fetch(self, index: ChunkIndex, *, asking_peer: InstanceId) -> bool:
        """Return whether this agent will fetch a chunk, so that the asking peer should wait."""
        if self.holders.get(index):
            return True
        claim = self._claims.get(index)
        if claim is None or (claim.rank > 0 and not claim.is_ready_for_origin):
            return False
        # If both agents are ready for the origin, the better-ranked one fetches the chunk.
        return asking_peer not in self._ownership.owners(index, self._zone)[: claim.rank]

    def postpone(self, index: ChunkIndex, *, now_seconds: float) -> None:
        """Ask again before the next attempt, since other owners may rank first after an outage."""
        claim = self._claims[index]
        claim.group_index, claim.is_ready_for_origin, claim.asks_all_ranks = 0, False, True
        claim.has_waited_for_zones = claim.source_zone_answered = False
        claim.next_step_seconds = now_seconds + (claim.rank + 1) * self._settings.fallback_seconds
        claim.started_seconds = claim.next_step_seconds

    def postpone_started_before(
        self, seconds: float, ready: list[ChunkIndex], *, now_seconds: float
    ) -> list[ChunkIndex]:
        """Postpone the claims started before a time, and return the other chunks.

        During an outage of the origin every owner answers that it fetches nothing, so all that
        asked then would use the origin at the same time once it recovers.
        """
        stale = [index for index in ready if self._claims[index].started_seconds <= seconds]
        for index in stale:
            self.postpone(index, now_seconds=now_seconds)
        return [index for index in ready if index not in stale]

    def advance(
        self, due: dict[ChunkIndex, int], *, now_seconds: float
    ) -> tuple[list[ChunkIndex], dict[InstanceId, list[ChunkIndex]]]:
        """Advance the claims that are due, given by chunk with the rank of this agent.

        Returns the chunks that may be fetched from the origin, and the questions by peer.
        """
        ready: list[ChunkIndex] = []
        questions: dict[InstanceId, list[ChunkIndex]] = defaultdict(list)
        for index, rank in due.items():
            claim = self._claims.get(index)
            if claim is None or claim.rank != rank:
                claim = self._claims[index] = _ChunkClaim(rank=rank, now_seconds=now_seconds)
            if claim.next_step_seconds > now_seconds or self.holders.get(index):
                continue
            if claim.pending_peers:
                claim.pending_peers.clear()
                self._extend_or_advance(claim, now_seconds=now_seconds)
                if claim.next_step_seconds > now_seconds:
                    continue
            groups = self._peer_groups(index, rank, all_ranks=claim.asks_all_ranks)
            is_last_group = len(groups) > 1 and claim.group_index == len(groups) - 1
            if is_last_group and self._delay_by_zone_rank(index, claim, now_seconds=now_seconds):
                continue
            if claim.group_index < len(groups):
                self._ask_group(
                    index, claim, groups[claim.group_index], questions, now_seconds=now_seconds
                )
            else:
                claim.is_ready_for_origin = True
                ready.append(index)
        return ready, questions

    def ask_other_zone(
        self,
        index: ChunkIndex,
        questions: dict[InstanceId, list[ChunkIndex]],
        *,
        now_seconds: float,
    ) -> None:
        """Ask an owner in another zone for a chunk that the origin can't deliver yet."""
        claim = self._claims[index]
        if claim.next_other_zone_seconds > now_seconds:
            return
        zones = [zone for zone in self._ownership.zone_order(index) if zone != self._zone]
        claim.next_other_zone_seconds = now_seconds + self._settings.fallback_seconds
        if zones:
            attempt, zone_index = divmod(claim.other_zone_attempts, len(zones))
            owners = self._ownership.owners(index, zones[zone_index])
            claim.other_zone_attempts += 1
            if owners:
                questions[owners[attempt % len(owners)]].append(index)

    def record_answer(self, answer: OwnerAnswered, *, now_seconds: float) -> None:
        """Record an owner's answer, and advance the claims that it completes."""
        held, fetching = set(answer.held), set(answer.fetching)
        for index in {*answer.asked, *held, *fetching}:
            claim = self._claims.get(index)
            if claim is None:
                continue
            if index in held:
                self.holders[index].add(answer.peer)
            was_pending = answer.peer in claim.pending_peers
            claim.pending_peers.discard(answer.peer)
            claim.source_zone_answered = claim.source_zone_answered or was_pending
            claim.peer_is_fetching = claim.peer_is_fetching or (index in fetching and was_pending)
            if was_pending and not claim.pending_peers and index not in held:
                self._extend_or_advance(claim, now_seconds=now_seconds)

    def record_failure(self, index: ChunkIndex, source: InstanceId, *, now_seconds: float) -> None:
        """Record that a holder did not deliver; the next owner is asked."""
        if source in self.holders.get(index, ()):
            self.holders[index].discard(source)
            claim = self._claims.get(index)
            if claim is not None:
                self._extend_or_advance(claim, now_seconds=now_seconds)

    def drop_peer(self, peer: InstanceId) -> None:
        """Remove a departed peer from the holders of all chunks."""
        for holders in self.holders.values():
            holders.discard(peer)

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {"claims": len(self._claims), "held_elsewhere": len(self.holders)}

    def _peer_groups(
        self, index: ChunkIndex, rank: int, *, all_ranks: bool
    ) -> list[list[InstanceId]]:
        groups = []
        owners = self._ownership.owners(index, self._zone)
        ranked_before = owners[: self._settings.fallback_depth] if all_ranks else owners[:rank]
        if ranked_before and ranked_before != [self._instance_id]:
            groups.append(ranked_before)
        source = self._ownership.source_zone(
            index, self._zone, origin_zones=self._settings.origin_zones
        )
        if source is not None:
            owners = self._ownership.owners(index, source)[:SOURCE_OWNERS]
            groups.extend([owner] for owner in owners)
            # All are asked once more, after the time that the source zone's own fallback takes.
            groups.append(owners)
        return groups

    def _ask_group(
        self,
        index: ChunkIndex,
        claim: _ChunkClaim,
        group: list[InstanceId],
        questions: dict[InstanceId, list[ChunkIndex]],
        *,
        now_seconds: float,
    ) -> None:
        claim.pending_peers = set(group) - {self._instance_id}
        claim.peer_is_fetching = False
        claim.next_step_seconds = now_seconds + self._settings.ask_timeout_seconds
        for peer in sorted(claim.pending_peers):
            questions[peer].append(index)

    def _extend_or_advance(self, claim: _ChunkClaim, *, now_seconds: float) -> None:
        claim.next_step_seconds = now_seconds
        if claim.peer_is_fetching and claim.wait_extensions < self._settings.max_extensions:
            delay = self._settings.fallback_seconds * 2**claim.wait_extensions
            claim.next_step_seconds += min(delay, self._settings.backoff_max_seconds)
            claim.wait_extensions += 1
        else:
            claim.group_index += 1
            claim.wait_extensions = 0
        claim.peer_is_fetching = False

    def _delay_by_zone_rank(
        self, index: ChunkIndex, claim: _ChunkClaim, *, now_seconds: float
    ) -> bool:
        """Stagger zones that can't reach the source zone, so that one of them uses the origin."""
        if claim.has_waited_for_zones:
            return False
        claim.has_waited_for_zones = True
        order = self._ownership.zone_order(index)
        zone_rank = order.index(self._zone) if self._zone in order else 0
        delay_steps = 2 * (zone_rank + 1) if claim.source_zone_answered else zone_rank
        claim.next_step_seconds = now_seconds + delay_steps * self._settings.fallback_seconds
        return delay_steps > 0
