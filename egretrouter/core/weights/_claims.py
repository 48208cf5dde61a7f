"""Decide when an owner of a chunk may take it from outside its neighbourhood."""

from collections import defaultdict

from egretrouter.core.identifiers import ChunkIndex, InstanceId, ZoneId
from egretrouter.core.weights._messages import CopySettings, OwnerAnswered
from egretrouter.core.weights._ownership import Ownership

SOURCE_OWNERS = 3
"""Owners of the source zone that are asked in turn before the origin is."""


class _Claim:
    """Hold how far an owner got in asking for one chunk."""

    def __init__(self, *, rank: int, now_seconds: float) -> None:
        self.rank = rank
        self.begun_seconds = now_seconds
        self.position = 0
        self.extensions = 0
        self.next_seconds = now_seconds
        self.pending: set[InstanceId] = set()
        self.fetching = False
        self.waited_for_zones = False
        self.source_answered = False
        self.ready = False
        self.stale = False
        self.alternate = 0
        self.next_alternate_seconds = now_seconds


class Claims:
    """Ask better-ranked owners, then owners in the source zone, and then allow the origin."""

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
        self._claims: dict[ChunkIndex, _Claim] = {}
        self.holders: dict[ChunkIndex, set[InstanceId]] = defaultdict(set)
        """Peers outside the neighbourhood that answered that they hold a chunk."""

    def clear(self) -> None:
        """Start over, after a pause or another view of the owners."""
        self._claims.clear()
        self.holders.clear()

    def close(self, index: ChunkIndex) -> None:
        """Forget a chunk that is stored."""
        self._claims.pop(index, None)
        self.holders.pop(index, None)

    def working_on(self, index: ChunkIndex, *, asker: InstanceId) -> bool:
        """Tell whether this agent is about to get a chunk that the asker should leave to it."""
        if self.holders.get(index):
            return True
        claim = self._claims.get(index)
        if claim is None or (claim.rank > 0 and not claim.ready):
            return False
        # Between two agents that are both ready the rank decides, so that one of them goes.
        return asker not in self._ownership.owners(index, self._zone)[: claim.rank]

    def hold_back(self, index: ChunkIndex, *, now_seconds: float) -> None:
        """Ask again before the next try, since other owners may be first after an outage."""
        claim = self._claims[index]
        claim.position, claim.ready, claim.stale = 0, False, True
        claim.waited_for_zones = claim.source_answered = False
        claim.next_seconds = now_seconds + (claim.rank + 1) * self._settings.fallback_seconds
        claim.begun_seconds = claim.next_seconds

    def hold_back_begun_before(
        self, seconds: float, ready: list[ChunkIndex], *, now_seconds: float
    ) -> list[ChunkIndex]:
        """Hold back the claims begun before a time, and return the others.

        In an outage of the origin every owner answers that it fetches nothing, so all those that
        asked then would go to the origin together when it is back.
        """
        stale = [index for index in ready if self._claims[index].begun_seconds <= seconds]
        for index in stale:
            self.hold_back(index, now_seconds=now_seconds)
        return [index for index in ready if index not in stale]

    def step(
        self, due: dict[ChunkIndex, int], *, now_seconds: float
    ) -> tuple[list[ChunkIndex], dict[InstanceId, list[ChunkIndex]]]:
        """Advance the claims due, given with their rank.

        Returns the chunks that may be taken from the origin, and the questions by peer.
        """
        ready: list[ChunkIndex] = []
        asks: dict[InstanceId, list[ChunkIndex]] = defaultdict(list)
        for index, rank in due.items():
            claim = self._claims.get(index)
            if claim is None or claim.rank != rank:
                claim = self._claims[index] = _Claim(rank=rank, now_seconds=now_seconds)
            if claim.next_seconds > now_seconds or self.holders.get(index):
                continue
            if claim.pending:
                claim.pending.clear()
                self._resolve(claim, now_seconds=now_seconds)
                if claim.next_seconds > now_seconds:
                    continue
            groups = self._groups(index, rank, stale=claim.stale)
            last_question = len(groups) > 1 and claim.position == len(groups) - 1
            if last_question and self._wait_for_zones(index, claim, now_seconds=now_seconds):
                continue
            if claim.position < len(groups):
                self._ask(index, claim, groups[claim.position], asks, now_seconds=now_seconds)
            else:
                claim.ready = True
                ready.append(index)
        return ready, asks

    def ask_elsewhere(
        self, index: ChunkIndex, asks: dict[InstanceId, list[ChunkIndex]], *, now_seconds: float
    ) -> None:
        """Ask an owner in another zone for a chunk that the origin can't give yet."""
        claim = self._claims[index]
        if claim.next_alternate_seconds > now_seconds:
            return
        zones = [zone for zone in self._ownership.zone_order(index) if zone != self._zone]
        claim.next_alternate_seconds = now_seconds + self._settings.fallback_seconds
        if zones:
            turn, member = divmod(claim.alternate, len(zones))
            owners = self._ownership.owners(index, zones[member])
            claim.alternate += 1
            if owners:
                asks[owners[turn % len(owners)]].append(index)

    def answered(self, answer: OwnerAnswered, *, now_seconds: float) -> None:
        """Take over an owner's answer."""
        held, fetching = set(answer.held), set(answer.fetching)
        for index in {*answer.asked, *held, *fetching}:
            claim = self._claims.get(index)
            if claim is None:
                continue
            if index in held:
                self.holders[index].add(answer.peer)
            was_pending = answer.peer in claim.pending
            claim.pending.discard(answer.peer)
            claim.source_answered = claim.source_answered or was_pending
            claim.fetching = claim.fetching or (index in fetching and was_pending)
            if was_pending and not claim.pending and index not in held:
                self._resolve(claim, now_seconds=now_seconds)

    def failed(self, index: ChunkIndex, source: InstanceId, *, now_seconds: float) -> None:
        """Note that a holder did not deliver; the next owner is asked."""
        if source in self.holders.get(index, ()):
            self.holders[index].discard(source)
            claim = self._claims.get(index)
            if claim is not None:
                self._resolve(claim, now_seconds=now_seconds)

    def drop_peer(self, peer: InstanceId) -> None:
        """Forget what a departed peer holds."""
        for holders in self.holders.values():
            holders.discard(peer)

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {"claims": len(self._claims), "held_elsewhere": len(self.holders)}

    def _groups(self, index: ChunkIndex, rank: int, *, stale: bool) -> list[list[InstanceId]]:
        groups = []
        owners = self._ownership.owners(index, self._zone)
        first = owners[: self._settings.fallback_depth] if stale else owners[:rank]
        if first and first != [self._instance_id]:
            groups.append(first)
        source = self._ownership.source_zone(
            index, self._zone, origin_zones=self._settings.origin_zones
        )
        if source is not None:
            owners = self._ownership.owners(index, source)[:SOURCE_OWNERS]
            groups.extend([owner] for owner in owners)
            # Asked once more, after the time that the source zone's own fallback takes.
            groups.append(owners)
        return groups

    def _ask(
        self,
        index: ChunkIndex,
        claim: _Claim,
        group: list[InstanceId],
        asks: dict[InstanceId, list[ChunkIndex]],
        *,
        now_seconds: float,
    ) -> None:
        claim.pending = set(group) - {self._instance_id}
        claim.fetching = False
        claim.next_seconds = now_seconds + self._settings.ask_timeout_seconds
        for peer in sorted(claim.pending):
            asks[peer].append(index)

    def _resolve(self, claim: _Claim, *, now_seconds: float) -> None:
        claim.next_seconds = now_seconds
        if claim.fetching and claim.extensions < self._settings.max_extensions:
            delay = self._settings.fallback_seconds * 2**claim.extensions
            claim.next_seconds += min(delay, self._settings.backoff_max_seconds)
            claim.extensions += 1
        else:
            claim.position += 1
            claim.extensions = 0
        claim.fetching = False

    def _wait_for_zones(self, index: ChunkIndex, claim: _Claim, *, now_seconds: float) -> bool:
        """Stagger the zones that lost touch with the source zone, so that one asks the origin."""
        if claim.waited_for_zones:
            return False
        claim.waited_for_zones = True
        order = self._ownership.zone_order(index)
        place = order.index(self._zone) if self._zone in order else 0
        turns = 2 * (place + 1) if claim.source_answered else place
        claim.next_seconds = now_seconds + turns * self._settings.fallback_seconds
        return turns > 0
