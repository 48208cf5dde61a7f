"""Follow the shared state by watches on the store, and by peers where the store does not answer."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import grpc
import msgspec
from mode import Service

from egretrouter.backends import (
    HistoryGoneError,
    StateChanges,
    StateEvent,
    StateKind,
    StateListing,
    StateStore,
)
from egretrouter.core.direct import (
    SWITCH_MARGIN_SECONDS,
    SWITCH_QUEUE_SECONDS,
    Endpoint,
    EndpointDirectory,
    FleetMember,
    Revisions,
    RouteIndex,
    RoutingTable,
    WeightTargets,
    WeightVersion,
)
from egretrouter.core.errors import BackendError
from egretrouter.core.identifiers import EndpointId
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._logs import log_event
from egretrouter.direct._settings import DirectSettings
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport import ChannelPool

# A watch that lasts as long as the store's history would find that history gone.
WATCH_HISTORY_SHARE = 0.6
WATCH_LIMIT_SECONDS = 25.0
RETRY_FIRST_SECONDS = 0.1
RETRY_LIMIT_SECONDS = 1.6
WATCHERS_PER_ZONE = 1
RANK_SECONDS = 0.3
POLL_SECONDS = 1.0
# A watch of one's own usually brings a change within this time after a peer has it.
PEER_LEAD_SECONDS = 0.3
PEER_TIMEOUT_SECONDS = 1.5
EXPIRY_TICK_SECONDS = 0.25


class SharedState(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Carry the shared state from one process to another."""

    configuration: RoutingTable | None = None
    endpoints: tuple[Endpoint, ...] | None = None
    endpoints_revision: int = 0
    weights: tuple[WeightVersion, ...] | None = None
    weights_revision: int = 0


class SharedStateService(Service):
    """Own this process's view of configuration, endpoints and weights."""

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
        """Follow some kinds, and watch a part of them whether or not others of the zone do."""
        super().__init__(**kwargs)
        self.routes: RouteIndex | None = None
        self.directory = EndpointDirectory()
        self.weights = WeightTargets(
            switch_seconds=settings.bounds.weights_ms / 1000,
            margin_seconds=SWITCH_MARGIN_SECONDS,
            queue_seconds=SWITCH_QUEUE_SECONDS,
        )
        self.on_configuration: list[Callable[[RoutingTable], None]] = []
        self.on_endpoints: list[Callable[[], None]] = []
        self.on_weights: list[Callable[[WeightVersion], None]] = []
        self._watch_seconds = min(
            WATCH_LIMIT_SECONDS, WATCH_HISTORY_SHARE * settings.store_history_seconds
        )
        self._settings = settings
        self._store = store
        self._fleet = fleet
        self._channels = channels
        self._kinds = kinds
        self._watched_kinds = watched_kinds
        self._rng = rng
        self._known: set[StateKind] = set()
        self._content = dict.fromkeys(StateKind, 0)
        """The revision of the newest content, which is the same in every process."""
        self._seen = dict.fromkeys(StateKind, 0)
        """The store's revision up to which the view is complete."""
        self._asking: set[StateKind] = set()
        self._jobs: set[asyncio.Task[None]] = set()
        self._outage = False
        fleet.revisions = self._revisions
        fleet.on_revisions.append(self._peer_revisions)

    @property
    def complete(self) -> bool:
        """Tell whether every kind was read from the store or a peer."""
        return self._known.issuperset(self._kinds) and self.routes is not None

    async def on_start(self) -> None:
        """Watch each kind."""
        for kind in self._kinds:
            self.add_future(self._follow(kind))
        self.add_future(self._poll())
        self.add_future(self._expire())

    async def on_stop(self) -> None:
        """Break off requests to peers."""
        for job in list(self._jobs):
            job.cancel()

    async def _follow(self, kind: StateKind) -> None:
        """Watch a kind while this process is one that does."""
        failures = 0
        revision: int | None = None
        outage = False
        while not self.should_stop:
            if kind in self._known and not self._is_watcher(kind):
                revision = None
                await self.sleep(RANK_SECONDS)
                continue
            try:
                if revision is None:
                    revision = await self._list(kind, after_outage=outage)
                    outage = False
                changes = await self._store.watch_state(
                    kind, after_revision=revision, wait_seconds=self._watch_seconds
                )
            except HistoryGoneError:
                log_event("store:history_gone", kind=kind.value, revision=revision)
                revision = None
            except BackendError as error:
                failures += 1
                log_event("store:lost", kind=kind.value, failures=failures, error=str(error))
                # One broken watch is repeated from where it was; after that the store may have
                # been away and entries may have lapsed.
                if failures > 1:
                    revision, outage = None, True
                delay = min(RETRY_FIRST_SECONDS * 2.0 ** (failures - 1), RETRY_LIMIT_SECONDS)
                await self.sleep(delay * (0.5 + self._rng.random()))
            else:
                if failures:
                    log_event("store:regained", kind=kind.value, failures=failures)
                failures = 0
                revision = changes.revision
                self._changed(kind, changes)

    async def _poll(self) -> None:
        """Read the store again and again in one process of each zone.

        A watch can be silent while changes are made, and ends only long after them.
        """
        turn = 0
        while not self.should_stop:
            await self.sleep(POLL_SECONDS * (0.9 + 0.2 * self._rng.random()))
            if self._rank() > 0:
                continue
            turn += 1
            for kind in self._kinds:
                if kind in self._known and (kind is not StateKind.WEIGHTS or turn % 4 == 0):
                    try:
                        await self._list(kind, after_outage=self._outage)
                    except BackendError as error:
                        self._outage = True
                        log_event("store:poll_failed", kind=kind.value, error=str(error))
                        await self.sleep(RETRY_LIMIT_SECONDS * self._rng.random())
                        break
            else:
                self._outage = False

    def _is_watcher(self, kind: StateKind) -> bool:
        return kind in self._watched_kinds or self._rank() < WATCHERS_PER_ZONE

    def _rank(self) -> int:
        return self._fleet.fleet.watch_rank(now_seconds=time.monotonic())

    async def _list(self, kind: StateKind, *, after_outage: bool) -> int:
        listing = await self._store.list_state(kind)
        self._listed(kind, listing, after_outage=after_outage)
        return listing.revision

    async def _expire(self) -> None:
        while not self.should_stop:
            await self.sleep(EXPIRY_TICK_SECONDS)
            gone = self.directory.expire(now_seconds=time.monotonic())
            if gone:
                log_event("endpoints:lapsed", endpoints=gone)
                self._endpoints_changed()

    def _listed(self, kind: StateKind, listing: StateListing, *, after_outage: bool) -> None:
        if listing.revision < self._seen[kind]:
            return
        at_start = kind not in self._known
        known = self._content[kind]
        self._seen[kind] = listing.revision
        if kind is StateKind.ENDPOINTS and self._names(listing) != self._known_names():
            # A removal leaves no newer object behind, so the list's own revision stands for it.
            self._content[kind] = listing.revision
        else:
            self._content[kind] = max(known, listing.content_revision)
        if kind is StateKind.ENDPOINTS:
            self.directory.replace(
                (item for item in listing.items if isinstance(item, Endpoint)),
                after_outage=after_outage,
                now_seconds=time.monotonic(),
            )
            self._endpoints_changed()
        else:
            for item in listing.items:
                self._take(item, at_start=at_start)
        self._known.add(kind)
        if self._content[kind] > known:
            self._fleet.spread_news()

    def _names(self, listing: StateListing) -> set[EndpointId]:
        return {item.endpoint_id for item in listing.items if isinstance(item, Endpoint)}

    def _known_names(self) -> set[EndpointId]:
        return {endpoint.endpoint_id for endpoint in self.directory.all()}

    def _changed(self, kind: StateKind, changes: StateChanges) -> None:
        if not changes.events or changes.revision <= self._seen[kind]:
            return
        self._seen[kind] = self._content[kind] = changes.revision
        for event in changes.events:
            if event.item is not None and not isinstance(event.item, Endpoint):
                self._take(event.item)
            elif kind is StateKind.ENDPOINTS:
                self._endpoint_event(event, changes.revision)
        if kind is StateKind.ENDPOINTS:
            self._endpoints_changed()
        self._fleet.spread_news()

    def _endpoint_event(self, event: StateEvent, revision: int) -> None:
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
            self.directory.remove(EndpointId(event.name))
            log_event("endpoints:removed", endpoint=event.name, revision=revision)

    def _take(
        self,
        item: RoutingTable | Endpoint | WeightVersion,
        *,
        at_start: bool = False,
    ) -> None:
        if isinstance(item, RoutingTable):
            self._configure(item)
        elif isinstance(item, WeightVersion) and self.weights.set_target(
            item, now_seconds=time.monotonic(), at_start=at_start
        ):
            log_event("weights:named", model=item.model, version=item.version)
            for listener in self.on_weights:
                listener(item)

    def _configure(self, table: RoutingTable) -> None:
        # A version once in force is never replaced by an older one.
        if self.routes is not None and table.version <= self.routes.table.version:
            return
        self.routes = RouteIndex(table)
        log_event("configuration:applied", version=table.version, routes=len(table.routes))
        for listener in self.on_configuration:
            listener(table)

    def _endpoints_changed(self) -> None:
        for listener in self.on_endpoints:
            listener()

    def _revisions(self) -> Revisions:
        return Revisions(
            configuration=self.routes.table.version if self.routes is not None else 0,
            endpoints=self._content[StateKind.ENDPOINTS],
            weights=self._content[StateKind.WEIGHTS],
        )

    def _is_behind(self, kind: StateKind, theirs: Revisions) -> bool:
        if kind is StateKind.CONFIGURATION:
            own = self.routes.table.version if self.routes is not None else 0
            return theirs.configuration > own
        if kind is StateKind.ENDPOINTS:
            return theirs.endpoints > self._seen[kind]
        return theirs.weights > self._seen[kind]

    def _peer_revisions(self, peer: FleetMember, theirs: Revisions) -> None:
        for kind in self._kinds:
            if kind not in self._asking and self._is_behind(kind, theirs):
                self._asking.add(kind)
                job = asyncio.create_task(self._catch_up(kind, peer, theirs))
                self._jobs.add(job)
                job.add_done_callback(self._jobs.discard)

    async def _catch_up(self, kind: StateKind, peer: FleetMember, theirs: Revisions) -> None:
        try:
            # Processes of the same zone are nearer, and a watcher hears from the store itself.
            far = peer.zone != self._settings.zone
            if kind in self._known and (far or self._is_watcher(kind)):
                await asyncio.sleep(PEER_LEAD_SECONDS)
            if self._is_behind(kind, theirs):
                await self._ask_peer(kind, peer)
        finally:
            self._asking.discard(kind)

    async def _ask_peer(self, kind: StateKind, peer: FleetMember) -> None:
        address = f"{peer.address}:{self._settings.peer_port}"
        stub = pb_grpc.PeersStub(self._channels.channel(address))
        try:
            reply = await stub.FetchState(
                pb.StateRequest(kinds=[kind.value]),
                metadata=self._channels.metadata,
                timeout=PEER_TIMEOUT_SECONDS,
            )
            state = msgspec.msgpack.decode(reply.state, type=SharedState)
        except grpc.aio.AioRpcError as error:
            log_event("state:peer_silent", peer=peer.instance_id, code=error.code().name)
            await self._channels.discard(address)
        except msgspec.MsgspecError as error:
            log_event("state:peer_malformed", peer=peer.instance_id, error=str(error))
        else:
            self._adopt(state, peer)

    def _adopt(self, state: SharedState, peer: FleetMember) -> None:
        if state.configuration is not None:
            self._configure(state.configuration)
            self._known.add(StateKind.CONFIGURATION)
        if (
            state.endpoints is not None
            and state.endpoints_revision > self._seen[StateKind.ENDPOINTS]
        ):
            self._known.add(StateKind.ENDPOINTS)
            self._seen[StateKind.ENDPOINTS] = state.endpoints_revision
            self._content[StateKind.ENDPOINTS] = state.endpoints_revision
            self.directory.replace(
                state.endpoints,
                after_outage=False,
                now_seconds=time.monotonic(),
            )
            log_event("endpoints:from_peer", peer=peer.instance_id, count=len(state.endpoints))
            self._endpoints_changed()
        if state.weights is not None and state.weights_revision > self._seen[StateKind.WEIGHTS]:
            at_start = StateKind.WEIGHTS not in self._known
            self._known.add(StateKind.WEIGHTS)
            self._seen[StateKind.WEIGHTS] = state.weights_revision
            self._content[StateKind.WEIGHTS] = state.weights_revision
            for target in state.weights:
                self._take(target, at_start=at_start)
        self._fleet.spread_news()

    def shared(self, kinds: set[StateKind]) -> bytes:
        """Return the own view for a peer."""
        state = SharedState(
            configuration=(
                self.routes.table
                if self.routes is not None and StateKind.CONFIGURATION in kinds
                else None
            ),
            endpoints=(
                tuple(self.directory.all())
                if StateKind.ENDPOINTS in kinds and StateKind.ENDPOINTS in self._known
                else None
            ),
            endpoints_revision=self._content[StateKind.ENDPOINTS],
            weights=(
                tuple(self.weights.all())
                if StateKind.WEIGHTS in kinds and StateKind.WEIGHTS in self._known
                else None
            ),
            weights_revision=self._content[StateKind.WEIGHTS],
        )
        return msgspec.msgpack.encode(state)

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "configuration_version": self.routes.table.version if self.routes else None,
            "endpoints": [msgspec.to_builtins(e) for e in self.directory.all()],
            "weights": [msgspec.to_builtins(w) for w in self.weights.all()],
            "seen_revisions": {kind.value: seen for kind, seen in self._seen.items()},
        }
