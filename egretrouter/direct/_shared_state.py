"""Keep the shared state up to date by watching the store, or from peers if it does not answer."""

import math
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from mode import Service

from egretrouter.backends import (
    StateChanges,
    StateEvent,
    StateItem,
    StateKind,
    StateListing,
    StateStore,
)
from egretrouter.core.direct import (
    Endpoint,
    EndpointDirectory,
    Evacuation,
    FleetMember,
    ListingTurns,
    Revisions,
    RouteIndex,
    RoutingTable,
    StoreOutages,
    StoreRevision,
    WeightTargets,
    WeightVersion,
)
from egretrouter.core.identifiers import EndpointId
from egretrouter.direct._boot_clock import boot_seconds, suspended_seconds
from egretrouter.direct._evacuation_state import EvacuationState
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._logs import log_event
from egretrouter.direct._name_ages import NameAges
from egretrouter.direct._peer_exchange import PeerExchange
from egretrouter.direct._peer_state import PeerStateClient, SharedState
from egretrouter.direct._settings import DirectSettings
from egretrouter.direct._store_watch import StoreWatchService
from egretrouter.transport import ChannelPool

EXPIRY_TICK_SECONDS = 0.25
EXPIRY_STEP_SECONDS = 0.01
# Shorter differences between the clocks come from the time between reading them.
MIN_SUSPENSION_SECONDS = 0.05


class SharedStateService(Service):
    """Maintain this process's copy of the configuration, endpoints and target versions."""

    def __init__(
        self,
        settings: DirectSettings,
        *,
        store: StateStore,
        fleet: FleetService,
        channels: ChannelPool,
        kinds: tuple[StateKind, ...],
        rng: random.Random,
        watched_kinds: tuple[StateKind, ...] = (),
        **kwargs: Any,
    ) -> None:
        """Keep the given kinds up to date, and watch watched_kinds even if peers of the zone do."""
        super().__init__(**kwargs)
        self.routes: RouteIndex | None = None
        self.directory = EndpointDirectory(renewal_interval_seconds=settings.heartbeat_ms / 1000)
        self.weights = WeightTargets(switch_seconds=settings.bounds.weights_ms / 1000)
        self.on_configuration: list[Callable[[RoutingTable], None]] = []
        self.on_endpoints: list[Callable[[], None]] = []
        self.on_weights: list[Callable[[WeightVersion], None]] = []
        self.on_resumed: list[Callable[[], None]] = []
        """Called after the machine was suspended, as timers leave that time out."""
        self.listing_turns = ListingTurns(started_seconds=boot_seconds())
        self._outages = StoreOutages(renewal_interval_seconds=settings.heartbeat_ms / 1000)
        self._fleet = fleet
        self._store_watch = StoreWatchService(
            self,
            store=store,
            fleet=fleet,
            kinds=kinds,
            watched_kinds=watched_kinds,
            history_seconds=settings.store_history_seconds,
            rng=rng,
        )
        fleet.on_store_lost.append(self._record_lost_store)
        self._kinds = kinds
        self._loaded_kinds: set[StateKind] = set()
        self._endpoints_revision = StoreRevision()
        """The revision of the newest content, which is the same in all processes that have it."""
        self._seen_revisions = dict.fromkeys(StateKind, StoreRevision())
        """The store's revision up to which all changes have been applied."""
        self._name_ages = NameAges(self.weights)
        self.evacuations = EvacuationState(
            zones=settings.regions.keys(),
            unchanged_before_seconds=self._name_ages.unchanged_before_seconds,
        )
        self._peers = PeerExchange(
            self,
            client=PeerStateClient(channels, peer_port=settings.peer_port),
            fleet=fleet,
            store_watch=self._store_watch,
            name_ages=self._name_ages,
            kinds=kinds,
            zone=settings.zone,
        )

    @property
    def complete(self) -> bool:
        """Return whether every kind was loaded from the store or a peer."""
        return self._loaded_kinds.issuperset(self._kinds) and self.routes is not None

    def names_proven_seconds(self) -> float:
        """Return until when this process surely knows all names, by the boot clock."""
        return self._name_ages.newest_seconds()

    def is_loaded(self, kind: StateKind) -> bool:
        """Return whether a kind was loaded from the store or a peer."""
        return kind in self._loaded_kinds

    def seen_revision(self, kind: StateKind) -> StoreRevision:
        """Return the store's revision up to which all changes of a kind have been applied."""
        return self._seen_revisions[kind]

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, or 0."""
        return self.routes.table.version if self.routes is not None else 0

    async def on_start(self) -> None:
        """Start to watch the store."""
        await self.add_runtime_dependency(self._store_watch)
        self.add_future(self._expire())

    async def on_stop(self) -> None:
        """Cancel requests to peers."""
        self._peers.stop()

    async def _expire(self) -> None:
        suspended = suspended_seconds()
        while not self.should_stop:
            left_seconds = self.directory.next_expiry_seconds - time.monotonic()
            await self.sleep(min(EXPIRY_TICK_SECONDS, max(EXPIRY_STEP_SECONDS, left_seconds)))
            before, suspended = suspended, suspended_seconds()
            if suspended - before > MIN_SUSPENSION_SECONDS:
                self._notify_resumed(suspended - before)
            gone = self.directory.expire(now_seconds=time.monotonic())
            if gone:
                log_event("endpoints:lapsed", endpoints=gone)
                self._notify_endpoints_changed()
            self.evacuations.expire()

    def _notify_resumed(self, seconds: float) -> None:
        log_event("process:resumed", suspended_seconds=round(seconds, 3))
        for listener in self.on_resumed:
            listener()

    def record_store_answer(self, *, asked_seconds: float) -> None:
        """Record that the store answered a call of some process, made at asked_seconds or later."""
        now = time.monotonic()
        asked = _to_monotonic(asked_seconds)
        if self._outages.record_answer(asked_seconds=asked, heard_seconds=now):
            grace = self._outages.grace_left_seconds(now_seconds=now)
            log_event("store:outage_ended", grace_seconds=round(grace, 3))

    def record_store_failure(self, *, asked_seconds: float) -> None:
        """Record that a call to the store of asked_seconds of the boot clock failed now."""
        self._outages.record_failure(
            asked_seconds=_to_monotonic(asked_seconds), failed_seconds=time.monotonic()
        )

    def _record_lost_store(self) -> None:
        """Record that the store stopped answering another process."""
        self.record_store_failure(asked_seconds=boot_seconds())

    def _grace_seconds(self) -> float:
        """Return for how long endpoints that are missing may still register again."""
        return self._outages.grace_left_seconds(now_seconds=time.monotonic())

    def apply_listing(
        self, kind: StateKind, listing: StateListing, *, asked_seconds: float
    ) -> None:
        """Apply a listing of all objects of a kind."""
        seen = self._seen_revisions[kind]
        if listing.revision < seen:
            log_event(
                "state:listing_dropped", kind=kind.value, revision=listing.revision, seen=seen
            )
            return
        before = self.revisions()
        # Names between this listing and the last one known may have been replaced by later ones.
        named_seconds = self._name_ages.newest_seconds()
        if kind is StateKind.ENDPOINTS:
            if self._replace_by_listing(listing):
                # A removal leaves no object with a newer revision.
                self._endpoints_revision = listing.revision
            else:
                self._endpoints_revision = max(self._endpoints_revision, listing.content_revision)
        elif kind is StateKind.EVACUATIONS:
            self.evacuations.apply_listing(
                listing, restored=self._is_restored(kind, listing.revision)
            )
        else:
            for item in listing.items:
                self._apply_item(item, named_seconds=named_seconds)
        self._seen_revisions[kind] = listing.revision
        self._loaded_kinds.add(kind)
        self._name_ages.record_listing(kind, listing.revision, asked_seconds=asked_seconds)
        if kind is StateKind.WEIGHTS:
            self._peers.spread_proof()
        if self.revisions() != before:
            self._fleet.gossip_update()

    def _replace_by_listing(self, listing: StateListing) -> bool:
        listed = [item for item in listing.items if isinstance(item, Endpoint)]
        changed = self._replace_endpoints(listed, listing.revision)
        # Only a missing entry may come back after an outage; a malformed one names no engine.
        for name in listing.malformed:
            self.directory.remove(EndpointId(name), now_seconds=time.monotonic())
        if listing.malformed:
            self._notify_endpoints_changed()
        return changed

    def _replace_endpoints(self, endpoints: Iterable[Endpoint], revision: StoreRevision) -> bool:
        """Replace the endpoints, and return whether others are registered than before."""
        kind = StateKind.ENDPOINTS
        restored = self._is_restored(kind, revision)
        if restored:
            log_event("endpoints:restored", revision=revision, seen=self._seen_revisions[kind])
        changed = self.directory.replace(
            endpoints,
            grace_seconds=self._grace_seconds(),
            restored=restored,
            now_seconds=time.monotonic(),
        )
        self._notify_endpoints_changed()
        return changed

    def _is_restored(self, kind: StateKind, revision: StoreRevision) -> bool:
        """Return whether the store came back from a copy since a kind was last applied."""
        return kind in self._loaded_kinds and revision.era > self._seen_revisions[kind].era

    def apply_changes(self, kind: StateKind, changes: StateChanges) -> None:
        """Apply the changes that a watch reported."""
        seen = self._seen_revisions[kind]
        if not changes.events:
            return
        if changes.revision <= seen:
            log_event(
                "state:changes_dropped", kind=kind.value, revision=changes.revision, seen=seen
            )
            return
        self._seen_revisions[kind] = changes.revision
        if kind is StateKind.EVACUATIONS:
            self.evacuations.apply_changes(changes)
        else:
            self._apply_events(kind, changes)
        self._fleet.gossip_update()

    def _apply_events(self, kind: StateKind, changes: StateChanges) -> None:
        for event in changes.events:
            if event.item is not None and not isinstance(event.item, Endpoint):
                changed = StoreRevision(changes.revision.era, event.revision)
                named_seconds = self._name_ages.change_seconds(changed)
                self._apply_item(event.item, named_seconds=named_seconds)
            elif kind is StateKind.ENDPOINTS:
                self._apply_endpoint_event(event, changes.revision)
        if kind is StateKind.ENDPOINTS:
            self._endpoints_revision = changes.revision
            self._notify_endpoints_changed()

    def _apply_endpoint_event(self, event: StateEvent, revision: StoreRevision) -> None:
        if isinstance(event.item, Endpoint):
            endpoint = event.item
            self.directory.put(endpoint)
            log_event(
                "endpoints:changed",
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                address=endpoint.address,
                state=endpoint.state.value,
                weights=[w.version for w in endpoint.weights or ()],
                revision=revision,
            )
        else:
            # Only a missing entry may come back after an outage; a malformed one names no engine.
            grace_seconds = 0.0 if event.malformed else self._grace_seconds()
            self.directory.remove(
                EndpointId(event.name), grace_seconds=grace_seconds, now_seconds=time.monotonic()
            )
            log_event(
                "endpoints:removed",
                endpoint=event.name,
                revision=revision,
                grace_seconds=round(grace_seconds, 3),
            )

    def _apply_item(self, item: StateItem, *, named_seconds: float) -> None:
        if isinstance(item, RoutingTable):
            self._apply_configuration(item)
        elif isinstance(item, WeightVersion) and self.weights.set_target(
            item, named_seconds=named_seconds
        ):
            age = boot_seconds() - named_seconds
            log_event(
                "weights:named",
                model=item.model,
                version=item.version,
                age_seconds=round(age, 3) if math.isfinite(age) else None,
            )
            for listener in self.on_weights:
                listener(item)

    def _apply_configuration(self, table: RoutingTable, *, peer: str | None = None) -> None:
        # An active configuration is never replaced by an older version.
        if self.routes is not None and table.version <= self.routes.table.version:
            return
        self.routes = RouteIndex(table)
        heard = self._peers.take_heard_seconds()
        log_event(
            "configuration:applied",
            version=table.version,
            routes=len(table.routes),
            source=peer or "store",
            seconds_since_heard=None if heard is None else round(time.monotonic() - heard, 3),
        )
        for listener in self.on_configuration:
            listener(table)

    def _notify_endpoints_changed(self) -> None:
        for listener in self.on_endpoints:
            listener()

    def revisions(self) -> Revisions:
        """Return the revisions of the content that this process has."""
        return Revisions(
            configuration=self.configuration_version,
            endpoints=self._endpoints_revision,
            weights=self._name_ages.versions_sum,
            era=self._fleet.eras.newest,
            evacuations=self.evacuations.revision,
        )

    def apply_peer_state(
        self, state: SharedState, peer: FleetMember, *, asked_seconds: float
    ) -> None:
        """Apply what a peer has, which was asked at asked_seconds of the boot clock."""
        if state.configuration is not None:
            self._apply_configuration(state.configuration, peer=peer.instance_id)
            self._loaded_kinds.add(StateKind.CONFIGURATION)
        if (
            state.endpoints is not None
            and state.endpoints_revision > self._seen_revisions[StateKind.ENDPOINTS]
        ):
            if state.endpoints_grace_seconds is not None:
                left = state.endpoints_grace_seconds
                self._outages.extend_grace(left, now_seconds=time.monotonic())
            self._replace_endpoints(state.endpoints, state.endpoints_revision)
            self._loaded_kinds.add(StateKind.ENDPOINTS)
            self._seen_revisions[StateKind.ENDPOINTS] = state.endpoints_revision
            self._endpoints_revision = state.endpoints_revision
            log_event(
                "endpoints:from_peer",
                peer=peer.instance_id,
                count=len(state.endpoints),
                revision=state.endpoints_revision,
            )
        if state.weights is not None:
            known = self._name_ages.newest_seconds()
            self._loaded_kinds.add(StateKind.WEIGHTS)
            for name in state.weights:
                target = WeightVersion(model=name.model, version=name.version)
                self._apply_item(target, named_seconds=max(known, asked_seconds - name.age_seconds))
        if state.evacuations is not None:
            self._apply_peer_evacuations(state.evacuations, state, peer)
        self._fleet.gossip_update()

    def _apply_peer_evacuations(
        self, evacuations: tuple[Evacuation, ...], state: SharedState, peer: FleetMember
    ) -> None:
        kind, revision = StateKind.EVACUATIONS, state.evacuations_revision
        if revision <= self._seen_revisions[kind]:
            return
        restored = self._is_restored(kind, revision)
        self.evacuations.apply_peer_state(
            evacuations, state, restored=restored, peer=peer.instance_id
        )
        self._loaded_kinds.add(kind)
        self._seen_revisions[kind] = revision

    def export_state(self, kinds: set[StateKind]) -> SharedState:
        """Return the given kinds of this process's state for a peer."""
        loaded = kinds & self._loaded_kinds
        table = self.routes.table if self.routes is not None else None
        has_endpoints = StateKind.ENDPOINTS in loaded
        has_evacuations = StateKind.EVACUATIONS in loaded
        return SharedState(
            configuration=table if StateKind.CONFIGURATION in kinds else None,
            endpoints=tuple(self.directory.registered_endpoints()) if has_endpoints else None,
            endpoints_revision=self._endpoints_revision,
            endpoints_grace_seconds=self._grace_to_pass_on() if has_endpoints else None,
            weights=self._name_ages.export_names() if StateKind.WEIGHTS in loaded else None,
            evacuations=self.evacuations.export() if has_evacuations else None,
            evacuations_revision=self.evacuations.revision if has_evacuations else StoreRevision(),
        )

    def _grace_to_pass_on(self) -> float | None:
        """Return for how long peers may keep endpoints that are missing here, None if not at all.

        The time that is left ends at the same moment in every process that hears of it.
        """
        kept_seconds = self.directory.grace_left_seconds(now_seconds=time.monotonic())
        return max(kept_seconds, self._grace_seconds()) or None

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "configuration_version": self.routes.table.version if self.routes else None,
            "endpoints": [msgspec.to_builtins(e) for e in self.directory.all_endpoints()],
            "weights": [msgspec.to_builtins(w) for w in self.weights.list_targets()],
            "evacuations": self.evacuations.snapshot(),
            "store_era": self._fleet.eras.newest,
            "seen_revisions": {
                kind.value: {"era": seen.era, "revision": seen.revision}
                for kind, seen in self._seen_revisions.items()
            },
        }


def _to_monotonic(boot_time_seconds: float) -> float:
    """Return a time of the boot clock by the monotonic clock, which leaves suspensions out.

    The store may answer others while this process is suspended, so that is no outage of it.
    """
    return time.monotonic() - (boot_seconds() - boot_time_seconds)
