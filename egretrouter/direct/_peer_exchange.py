"""Tell peers what a process has of the shared state, and fetch what they have beyond it."""

import asyncio
import math
import time
from typing import Protocol

import msgspec

from egretrouter.backends import StateKind
from egretrouter.core.direct import FleetMember, ListingTurns, Revisions, StoreRevision
from egretrouter.core.identifiers import ZoneId
from egretrouter.direct._boot_clock import boot_seconds
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._name_ages import NameAges
from egretrouter.direct._peer_state import PeerStateClient, SharedState
from egretrouter.direct._store_watch import StoreWatchService

# The process's own watch usually delivers a change within this time after a peer has it.
PEER_LEAD_SECONDS = 0.3
REMOTE_WAIT_SECONDS = 1.5
# A proof that is newer by this much goes to the whole zone.
PROOF_STEP_SECONDS = 0.2
# What a zone's watcher may send for that does not grow with the zone.
PROOF_GREETINGS_PER_SECOND = 300


def proof_step_seconds(members: int) -> float:
    """Return how much newer a proof is than the last one that a zone of some members was sent."""
    return max(PROOF_STEP_SECONDS, members / PROOF_GREETINGS_PER_SECOND)


class ExchangedState(Protocol):
    """Define the state that is announced to peers, and to which their state is applied."""

    listing_turns: ListingTurns

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, or 0."""

    def revisions(self) -> Revisions:
        """Return the revisions of the content that this process has."""

    def is_loaded(self, kind: StateKind) -> bool:
        """Return whether a kind was loaded from the store or a peer."""

    def seen_revision(self, kind: StateKind) -> StoreRevision:
        """Return the store's revision up to which all changes of a kind have been applied."""

    def record_store_answer(self, *, asked_seconds: float) -> None:
        """Record that the store answered a call of some process, made at asked_seconds or later."""

    def apply_peer_state(
        self, state: SharedState, peer: FleetMember, *, asked_seconds: float
    ) -> None:
        """Apply what a peer has, which was asked at asked_seconds of the boot clock."""


class PeerExchange:
    """Announce the revisions of one process, and catch up with those that peers announce."""

    def __init__(
        self,
        state: ExchangedState,
        *,
        client: PeerStateClient,
        fleet: FleetService,
        store_watch: StoreWatchService,
        name_ages: NameAges,
        kinds: tuple[StateKind, ...],
        zone: ZoneId,
    ) -> None:
        """Announce the state in the fleet's greetings, and catch up with the given kinds."""
        self._state = state
        self._client = client
        self._fleet = fleet
        self._store_watch = store_watch
        self._name_ages = name_ages
        self._kinds = kinds
        self._zone = zone
        self._proof_seconds = -math.inf
        """Until when the names were proven complete when that was last passed on to the zone."""
        self._proof_step_seconds = PROOF_STEP_SECONDS
        self._fetching: set[StateKind] = set()
        self._waiting: set[StateKind] = set()
        """Kinds that are fetched from a peer unless they come another way before."""
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        self._heard_seconds: float | None = None
        """When a peer first announced a configuration that this process does not have yet."""
        fleet.revisions = self._announced_revisions
        fleet.on_revisions.append(self._handle_peer_revisions)

    def stop(self) -> None:
        """Cancel requests to peers."""
        for task in list(self._fetch_tasks):
            task.cancel()

    def take_heard_seconds(self) -> float | None:
        """Return when a peer first announced the configuration that is applied, and forget it."""
        heard, self._heard_seconds = self._heard_seconds, None
        return heard

    def _announced_revisions(self) -> Revisions:
        now = boot_seconds()
        return msgspec.structs.replace(
            self._state.revisions(),
            weights_age_seconds=now - self._name_ages.newest_seconds(),
            sent_seconds=now,
            listed_age_seconds=self._state.listing_turns.age_seconds(now_seconds=now),
        )

    def _is_behind(self, kind: StateKind, peer_revisions: Revisions) -> bool:
        if kind is StateKind.CONFIGURATION:
            return peer_revisions.configuration > self._state.configuration_version
        if kind is StateKind.ENDPOINTS:
            return peer_revisions.endpoints > self._state.seen_revision(kind)
        if kind is StateKind.EVACUATIONS:
            return peer_revisions.evacuations > self._state.seen_revision(kind)
        return peer_revisions.weights > self._name_ages.versions_sum

    def _handle_peer_revisions(self, peer: FleetMember, peer_revisions: Revisions) -> None:
        sent_seconds = self._name_ages.record_greeting(peer, peer_revisions)
        if self._name_ages.needs_round_trip(peer, peer_revisions):
            self._fleet.request_greeting(peer)
        self.spread_proof()
        listed_seconds = sent_seconds - peer_revisions.listed_age_seconds
        self._state.listing_turns.record(listed_seconds=listed_seconds)
        self._state.record_store_answer(
            asked_seconds=max(listed_seconds, self._name_ages.newest_seconds())
        )
        for kind in self._kinds:
            if not self._is_behind(kind, peer_revisions):
                continue
            if kind is StateKind.CONFIGURATION and self._heard_seconds is None:
                self._heard_seconds = time.monotonic()
            wait_seconds = self._peer_wait_seconds(kind, peer)
            if kind in self._fetching or (wait_seconds > 0 and kind in self._waiting):
                continue
            if wait_seconds > 0:
                self._waiting.add(kind)
            catch_up = self._catch_up(kind, peer, peer_revisions, wait_seconds=wait_seconds)
            task = asyncio.create_task(catch_up)
            self._fetch_tasks.add(task)
            task.add_done_callback(self._fetch_tasks.discard)

    def spread_proof(self) -> None:
        """Pass on to the zone's processes until when no newer version had been named."""
        proven = self._name_ages.newest_seconds()
        if not math.isfinite(proven) or proven - self._proof_seconds < self._proof_step_seconds:
            return
        self._proof_seconds = proven
        if self._store_watch.lists_for_zone():
            greeted = self._fleet.greet_zone()
            self._proof_step_seconds = proof_step_seconds(greeted)

    def _peer_wait_seconds(self, kind: StateKind, peer: FleetMember) -> float:
        """Return how long a change may come another way before it is fetched from a peer."""
        if not self._state.is_loaded(kind):
            return 0.0
        if peer.zone != self._zone:
            # Few processes of a zone fetch from another one; the rest takes it from them.
            return min(PEER_LEAD_SECONDS * (1 + self._store_watch.rank()), REMOTE_WAIT_SECONDS)
        return PEER_LEAD_SECONDS if self._store_watch.is_watcher(kind) else 0.0

    async def _catch_up(
        self, kind: StateKind, peer: FleetMember, announced: Revisions, *, wait_seconds: float
    ) -> None:
        if wait_seconds > 0:
            await asyncio.sleep(wait_seconds)
            self._waiting.discard(kind)
        if kind in self._fetching or not self._is_behind(kind, announced):
            return
        self._fetching.add(kind)
        asked = boot_seconds()
        try:
            state = await self._client.fetch(kind, peer)
        finally:
            self._fetching.discard(kind)
        if state is not None:
            self._state.apply_peer_state(state, peer, asked_seconds=asked)
