"""Run the shared state of a whole fleet in virtual time, with a store behind shaped links."""

import asyncio
import functools
import random
import time
from collections import Counter
from collections.abc import Iterable
from enum import Enum
from types import SimpleNamespace
from typing import Any

import grpc
import msgspec
import pytest

from egretrouter.backends import StateChanges, StateEvent, StateKind, StateListing
from egretrouter.core.direct import (
    CallKind,
    Endpoint,
    EndpointState,
    Evacuation,
    FleetMember,
    FleetRole,
    Route,
    RoutingTable,
    StoreRevision,
    Target,
    WeightVersion,
)
from egretrouter.core.errors import BackendUnavailableError, MalformedAnswerError
from egretrouter.core.identifiers import (
    EndpointId,
    InstanceId,
    ModelName,
    RegionId,
    ServiceName,
    ZoneId,
)
from egretrouter.direct import (
    _evacuation_state,
    _fleet_service,
    _peer_exchange,
    _shared_state,
    _store_watch,
)
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._peer_state import StateReplies
from egretrouter.direct._shared_state import SharedStateService
from egretrouter.protocol import egretrouter_pb2 as pb
from tests.platform_world import settings
from tests.virtual_network import VirtualLoop

STORE_ADDRESS = "10.200.0.1"
STORE_BITS_PER_SECOND = 1e9
STORE_ANSWER_SECONDS = 0.004
ROUTER_BITS_PER_SECOND = 14e6
AGENT_BITS_PER_SECOND = 3.8e6
REGION_BITS_PER_SECOND = 13e6
PEER_PORTS = (7700, 7701)
MODEL = ModelName("m1")
NAME_BYTES = 100
WORDS = "bafepidorukatelomunisazehi"


def build_table(version: int, *, routes: int) -> RoutingTable:
    """Build a configuration whose names compress like names that operators choose."""
    return RoutingTable(version=version, routes=build_routes(routes))


@functools.cache
def build_routes(count: int, seed: int = 1) -> tuple[Route, ...]:
    rng = random.Random(seed)

    def word(length: int) -> str:
        return "".join(rng.choice(WORDS) for _ in range(length))

    hosts = [f"{word(5)}.example" for _ in range(40)]
    return tuple(
        Route(
            name=f"r-{word(7)}",
            host=rng.choice(hosts),
            path_prefix=f"/{word(6)}/{word(4)}/",
            kind=CallKind.IDEMPOTENT,
            targets=(Target(service=ServiceName("engines"), weight=1),),
            max_sends=2,
            timeout_seconds=6.0,
            latency_target_seconds=0.4,
        )
        for _ in range(count)
    )


class Outage(Enum):
    """List how the store fails all calls."""

    BUSY = "busy"
    """Rejects each call at once."""
    SILENT = "silent"
    """Never answers a call that arrives meanwhile."""
    HELD = "held"
    """Answers a call that still waits once the outage is over."""


class FleetStore:
    """Hold one configuration and one model's version, and answer calls over the network."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.revision = 1
        self.tables: list[tuple[int, RoutingTable]] = []
        self.names: list[tuple[int, WeightVersion]] = []
        self.zones: list[tuple[int, ZoneId, bool]] = []
        """When evacuations of zones began, or ended."""
        self.registrations: list[tuple[int, EndpointId, Endpoint | None]] = []
        """When endpoints registered or renewed, and when their entries were removed."""
        self.outage: Outage | None = None
        self.era = 0
        """Rises when the store comes back from a copy."""
        self.served_bytes = 0
        self.listings: Counter[str] = Counter()
        """Listings by the address of the process that made them."""
        self.listed_kinds: Counter[StateKind] = Counter()
        self.watches = 0
        self.watched_kinds: Counter[StateKind] = Counter()
        self.malformed_kinds: set[StateKind] = set()
        """Kinds whose listings can't be read."""
        self.silent_watches: set[str] = set()
        """Addresses of processes whose watches deliver nothing."""
        self.unreachable: set[str] = set()
        """Addresses of processes that the store does not answer."""
        self.stuck: set[str] = set()
        """Addresses of processes whose calls to the store never end."""
        self._sizes: dict[int, int] = {}
        self._loop = loop
        self._changed = asyncio.Event()
        self._recovered = asyncio.Event()
        self._recovered.set()

    def publish(self, table: RoutingTable) -> None:
        """Write a configuration, of which every watch learns."""
        self.revision += 1
        self.tables.append((self.revision, table))
        self._sizes[self.revision] = len(msgspec.json.encode(table))
        self._changed.set()
        self._changed = asyncio.Event()

    def name_version(self, version: int) -> None:
        """Name a version of the model, of which every watch learns."""
        self.revision += 1
        self.names.append((self.revision, WeightVersion(model=MODEL, version=version)))
        self._sizes[self.revision] = NAME_BYTES
        self._changed.set()
        self._changed = asyncio.Event()

    def evacuate(self, zone: str, *, begins: bool = True) -> float:
        """Begin or end the evacuation of a zone, of which every watch learns; return when."""
        self.revision += 1
        self.zones.append((self.revision, ZoneId(zone), begins))
        self._sizes[self.revision] = NAME_BYTES
        self._changed.set()
        self._changed = asyncio.Event()
        return self._loop.time()

    def register(self, name: str) -> None:
        """Register an endpoint, or renew its registration."""
        endpoint = Endpoint(
            endpoint_id=EndpointId(name),
            service=ServiceName("engines"),
            address="10.9.0.1:80",
            zone=ZoneId("z0"),
            state=EndpointState.READY,
            slots=1,
        )
        self._write_registration(endpoint.endpoint_id, endpoint)

    def deregister(self, name: str) -> None:
        """Remove the entry of an endpoint, which left or did not renew it."""
        self._write_registration(EndpointId(name), None)

    def _write_registration(self, name: EndpointId, endpoint: Endpoint | None) -> None:
        self.revision += 1
        self.registrations.append((self.revision, name, endpoint))
        self._sizes[self.revision] = NAME_BYTES
        self._changed.set()
        self._changed = asyncio.Event()

    def fail(self, outage: Outage) -> None:
        """Answer no call until the outage is over, and cut off the watches that wait."""
        self.outage = outage
        self._recovered.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    def recover(self) -> None:
        """Answer calls again."""
        self.outage = None
        self._recovered.set()

    async def wait_out(self) -> None:
        """Let a call take part in an outage; raise BackendUnavailableError if it is rejected."""
        if self.outage is Outage.BUSY:
            raise BackendUnavailableError("the store rejects all calls")
        if self.outage is Outage.SILENT:
            await asyncio.Event().wait()
        await self._recovered.wait()

    def restore(self, revision: int) -> None:
        """Come back from a copy that was made at a revision, without later evacuations."""
        self.era += 1
        self.revision = revision
        self.zones = [change for change in self.zones if change[0] <= revision]

    def events(self, kind: StateKind) -> list[StateEvent]:
        """Return all changes of a kind."""
        if kind is StateKind.EVACUATIONS:
            return [
                StateEvent(name=z, revision=r, item=Evacuation(zone=z) if begins else None)
                for r, z, begins in self.zones
            ]
        if kind is StateKind.ENDPOINTS:
            return [StateEvent(name=n, revision=r, item=i) for r, n, i in self.registrations]
        changes: dict[StateKind, list[Any]] = {
            StateKind.CONFIGURATION: self.tables,
            StateKind.WEIGHTS: self.names,
        }
        return [StateEvent(name="main", revision=r, item=i) for r, i in changes.get(kind, ())]

    async def answer(self, address: str, revisions: list[int]) -> None:
        """Send the objects of some revisions to a process."""
        size = 200 + sum(self._sizes[revision] for revision in revisions)
        self.served_bytes += size
        await asyncio.sleep(STORE_ANSWER_SECONDS)
        await self._loop.network.transfer(STORE_ADDRESS, address, size)

    async def wait_for_change(
        self, kind: StateKind, after_revision: int, wait_seconds: float
    ) -> None:
        """Wait until there is a change of a kind after a revision."""
        deadline = self._loop.time() + wait_seconds
        while not any(event.revision > after_revision for event in self.events(kind)):
            try:
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            except TimeoutError:
                return
            if self.outage is not None:
                return
            if self.outage is not None:
                return


class ProcessStore:
    """Implement StateStore for one process of the fleet."""

    CALL_TIMEOUT_SECONDS = 1.5

    def __init__(self, store: FleetStore, address: str, members: list[FleetMember]) -> None:
        self._store = store
        self._address = address
        self._members = members

    async def list_state(self, kind: StateKind) -> StateListing:
        await self._wait_if_stuck()
        await self._wait_out(self.CALL_TIMEOUT_SECONDS)
        self._store.listings[self._address] += 1
        if kind in self._store.malformed_kinds:
            raise MalformedAnswerError("the listing can't be read")
        self._store.listed_kinds[kind] += 1
        newest = {event.name: event for event in self._store.events(kind)}
        found = [event for event in newest.values() if event.item is not None]
        era, revision = self._store.era, self._store.revision
        await self._call(found, self.CALL_TIMEOUT_SECONDS)
        return StateListing(
            items=tuple(event.item for event in found if event.item is not None),
            revision=StoreRevision(era, revision),
            content_revision=StoreRevision(era, max((e.revision for e in found), default=0)),
        )

    async def watch_state(
        self, kind: StateKind, *, after_revision: StoreRevision, wait_seconds: float
    ) -> StateChanges:
        await self._wait_if_stuck()
        self._store.watches += 1
        self._store.watched_kinds[kind] += 1
        after = after_revision.revision
        if self._address in self._store.silent_watches:
            await asyncio.sleep(wait_seconds)
            return StateChanges(events=(), revision=after_revision)
        await self._wait_out(wait_seconds + 3.0)
        await self._store.wait_for_change(kind, after, wait_seconds)
        await self._wait_out(wait_seconds + 3.0)
        found = [event for event in self._store.events(kind) if event.revision > after]
        revision = StoreRevision(self._store.era, self._store.revision)
        await self._call(found, wait_seconds + 3.0)
        return StateChanges(events=tuple(found), revision=revision)

    async def _wait_if_stuck(self) -> None:
        if self._address in self._store.stuck:
            await asyncio.Event().wait()

    async def _wait_out(self, timeout_seconds: float) -> None:
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._store.wait_out()
        except TimeoutError as error:
            raise BackendUnavailableError("the store did not answer in time") from error

    async def _call(self, found: list[StateEvent], timeout_seconds: float) -> None:
        try:
            async with asyncio.timeout(timeout_seconds):
                if self._address in self._store.unreachable:
                    await asyncio.sleep(timeout_seconds + 1.0)
                await self._store.answer(self._address, [event.revision for event in found])
        except TimeoutError as error:
            raise BackendUnavailableError("the store did not answer in time") from error

    async def register(self, member: FleetMember) -> int:
        return 0

    async def list_members(self) -> list[FleetMember]:
        return self._members


class _PeerError(grpc.aio.AioRpcError):
    def __init__(self) -> None:
        super().__init__(grpc.StatusCode.DEADLINE_EXCEEDED, None, None)


class PeerChannels:
    """Stand in for ChannelPool: call the shared state of another process over the network."""

    metadata = ()

    def __init__(self, world: "SharedStateWorld", address: str) -> None:
        self._world = world
        self._address = address

    def channel(self, address: str) -> Any:
        return SimpleNamespace(
            unary_unary=lambda path, **_: (
                lambda request, **options: self._call(
                    address.partition(":")[0], path, request, options["timeout"]
                )
            ),
            unary_stream=lambda *_, **__: None,
            stream_unary=lambda *_, **__: None,
            stream_stream=lambda *_, **__: None,
        )

    async def discard(self, address: str) -> None:
        return

    async def _call(self, peer: str, path: str, request: Any, timeout_seconds: float) -> Any:
        assert path.endswith("/FetchState"), path
        world = self._world
        try:
            async with asyncio.timeout(timeout_seconds):
                await world.network.transfer(self._address, peer, 100)
                reply = world.answer_peer(peer, request)
                size = reply.ByteSize()
                world.peer_bytes += size
                hosts = world.network.hosts
                world.remote_fetches += hosts[peer].region != hosts[self._address].region
                await world.network.transfer(peer, self._address, size)
        except TimeoutError as error:
            world.failed_fetches += 1
            raise _PeerError from error
        return reply


class SharedStateWorld:
    """Run the fleets, the shared state and the store of a deployment without sockets."""

    def __init__(
        self,
        loop: VirtualLoop,
        monkeypatch: pytest.MonkeyPatch,
        *,
        seed: int,
        kinds: tuple[StateKind, ...] = (StateKind.CONFIGURATION,),
    ) -> None:
        clock = SimpleNamespace(monotonic=loop.time, time=loop.time)
        for module in (
            _evacuation_state,
            _fleet_service,
            _peer_exchange,
            _shared_state,
            _store_watch,
        ):
            monkeypatch.setattr(module, "time", clock)
        monkeypatch.setattr(time, "clock_gettime", lambda _: loop.time())
        self.network = loop.network
        self.network.region_bits_per_second = REGION_BITS_PER_SECOND
        self.store = FleetStore(loop)
        self.states: dict[str, SharedStateService] = {}
        self.fleets: dict[str, FleetService] = {}
        self.routers: list[str] = []
        self.peer_bytes = 0
        self.failed_fetches = 0
        self.remote_fetches = 0
        self.applied_seconds: dict[int, dict[str, float]] = {}
        """When each router put a version into force, by version and address."""
        self._loop = loop
        self._kinds = kinds
        self._rng = random.Random(seed)
        self._members: list[FleetMember] = []
        self._replies: dict[str, StateReplies] = {}
        self.network.add_host(STORE_ADDRESS, region="r0", bits_per_second=STORE_BITS_PER_SECOND)

    async def start(self, *, zones: int, routers: int, agents: int) -> None:
        """Start the processes of some zones at about the same time, each zone in its region."""
        self._regions = {ZoneId(f"z{zone}"): RegionId(f"r{zone}") for zone in range(zones)}
        for zone in range(zones):
            for role, count in ((FleetRole.ROUTER, routers), (FleetRole.AGENT, agents)):
                for number in range(count):
                    self._add(zone, role, number)
        for address in self.states:
            await self.fleets[address].start()
            await self.states[address].start()

    async def start_router(self, zone: int, number: int) -> str:
        """Start one more router and return its address."""
        address = self._add(zone, FleetRole.ROUTER, number)
        if self.store.unreachable:
            self.store.unreachable.add(address)
        await self.fleets[address].start()
        await self.states[address].start()
        return address

    def _add(self, zone: int, role: FleetRole, number: int) -> str:
        is_router = role is FleetRole.ROUTER
        address = f"10.{zone}.{0 if is_router else 1}.{number}"
        self.network.add_host(
            address,
            region=f"r{zone}",
            bits_per_second=ROUTER_BITS_PER_SECOND if is_router else AGENT_BITS_PER_SECOND,
        )
        own = settings(
            "10.200.0.1:80",
            PEER_PORTS,
            instance_id=InstanceId(f"{'front' if is_router else 'side'}-z{zone}-{number}"),
            zone=ZoneId(f"z{zone}"),
            regions=self._regions,
            address=address,
            seeds=("10.0.0.0:1", "10.1.0.0:1", "10.2.0.0:1"),
        )
        store = ProcessStore(self.store, address, self._members)
        fleet = FleetService(own, role=role, store=store, rng=random.Random(self._rng.random()))
        self._members.append(msgspec.structs.replace(fleet.fleet.own, started_ms=0))
        self.fleets[address] = fleet
        state = SharedStateService(
            own,
            store=store,
            fleet=fleet,
            channels=PeerChannels(self, address),
            kinds=self._kinds,
            rng=random.Random(self._rng.random()),
        )
        self.states[address] = state
        self._replies[address] = StateReplies(state)
        if is_router:
            self.routers.append(address)
            state.on_configuration.append(
                lambda table: self.applied_seconds.setdefault(table.version, {}).update(
                    {address: self._loop.time()}
                )
            )
        return address

    def lose(self, addresses: Iterable[str]) -> None:
        """Lose the processes at some addresses for good."""
        self.network.lost.update(addresses)
        self.routers = [router for router in self.routers if router not in self.network.lost]

    def answer_peer(self, address: str, request: pb.StateRequest) -> pb.StateReply:
        """Answer a fetch of shared state at one process."""
        return self._replies[address].build(request)

    def in_force_seconds(self, version: int) -> list[float]:
        """Return when each router had a version or a newer one in force, or infinity."""
        times = []
        for address in self.routers:
            applied = [
                when
                for applied_version, by_address in self.applied_seconds.items()
                if applied_version >= version and (when := by_address.get(address)) is not None
            ]
            times.append(min(applied, default=float("inf")))
        return sorted(times)
