"""Test that processes follow a store that comes back from a copy that is some seconds old."""

import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from egretrouter_platform._store import PROCESSES_KIND, PlatformStore

from egretrouter.backends import StateChanges, StateEvent, StateKind, StateListing
from egretrouter.core.direct import (
    Endpoint,
    EndpointDirectory,
    EndpointState,
    StoreRevision,
    WeightVersion,
)
from egretrouter.core.direct._store_outages import LAPSE_GRACE_SECONDS
from egretrouter.core.errors import MalformedAnswerError
from egretrouter.core.identifiers import EndpointId, ModelName, ServiceName, ZoneId
from egretrouter.direct import _store_watch
from egretrouter.direct._router import DirectRouter
from tests.helpers import end_outage, wait_until
from tests.platform_fleet import PlatformFleet
from tests.platform_standins import StoreStandin, configuration, registration
from tests.platform_world import PlatformWorld

LOST_CHANGES = 40
SERVICE = ServiceName("plain")


@pytest.fixture
async def world() -> AsyncIterator[PlatformWorld]:
    opened = PlatformWorld()
    await opened.start()
    yield opened
    await opened.stop()


@pytest.fixture
async def fleet() -> AsyncIterator[PlatformFleet]:
    opened = PlatformFleet()
    await opened.start(engines=2)
    yield opened
    await opened.stop()


def version_in_force(router: DirectRouter) -> int:
    routes = router.shared_state.routes
    return 0 if routes is None else routes.table.version


def ready_ids(router: DirectRouter) -> set[str]:
    return {e.endpoint_id for e in router.shared_state.directory.ready_endpoints(SERVICE)}


def publish_changes(store: StoreStandin, *, first: int) -> int:
    """Publish versions of the configuration and return the last one."""
    for version in range(first, first + LOST_CHANGES):
        store.put("config", "main", configuration(version))
    return first + LOST_CHANGES - 1


class TestRestoredStore:
    """Guard against changes that are dropped because the store's revisions went back."""

    async def test_changes_after_a_restore_are_dropped_as_old(self, fleet: PlatformFleet) -> None:
        content = fleet.store.copy()
        last = publish_changes(fleet.store, first=2)
        await wait_until(lambda: all(version_in_force(r) == last for r in fleet.routers))
        fleet.store.restore(content)
        fleet.store.put("config", "main", configuration(last + 1))
        await wait_until(lambda: all(version_in_force(r) == last + 1 for r in fleet.routers))
        engine = await fleet.start_engine()
        await wait_until(lambda: all(engine.endpoint_id in ready_ids(r) for r in fleet.routers))
        fleet.store.delete("servers", "i-0")
        await wait_until(lambda: all("i-0" not in ready_ids(r) for r in fleet.routers))
        fleet.store.put("versions", "m", {"model": "m", "version": 2})
        named = [WeightVersion(model=ModelName("m"), version=2)]
        for router in fleet.routers:
            await wait_until(lambda r=router: r.shared_state.weights.list_targets() == named)

    async def test_second_restore_in_a_row_is_missed(self, fleet: PlatformFleet) -> None:
        content = fleet.store.copy()
        last = publish_changes(fleet.store, first=2)
        await wait_until(lambda: all(version_in_force(r) == last for r in fleet.routers))
        fleet.store.restore(content)
        fleet.store.put("config", "main", configuration(last + 1))
        await wait_until(lambda: version_in_force(fleet.routers[0]) == last + 1)
        fleet.store.restore(content)
        fleet.store.put("config", "main", configuration(last + 2))
        await wait_until(lambda: all(version_in_force(r) == last + 2 for r in fleet.routers))

    async def test_older_copy_replaces_the_configuration(self, world: PlatformWorld) -> None:
        content = world.store.copy()
        world.store.put("config", "main", configuration(7))
        await wait_until(lambda: version_in_force(world.router) == 7)
        world.store.restore(content)
        await wait_until(lambda: world.router.fleet.eras.newest == 2)
        world.store.put("servers", "i-9", registration("127.0.0.1:1"))
        await wait_until(lambda: "i-9" in ready_ids(world.router))
        assert version_in_force(world.router) == 7

    async def test_process_that_starts_serves_what_the_copy_has(self, fleet: PlatformFleet) -> None:
        content = fleet.store.copy()
        fleet.store.put("config", "main", configuration(7))
        await wait_until(lambda: all(version_in_force(r) == 7 for r in fleet.routers))
        fleet.store.restore(content)
        started = await fleet.start_router()
        await wait_until(lambda: version_in_force(started) == 7)

    async def test_name_that_one_process_learned_is_lost(self, fleet: PlatformFleet) -> None:
        """The operator's name was lost with the store, and one process had heard of it."""
        name = WeightVersion(model=ModelName("m"), version=3)
        fleet.routers[-1].shared_state.apply_changes(
            StateKind.WEIGHTS,
            StateChanges(
                events=(StateEvent(name="m", item=name),), revision=StoreRevision(1, 10**6)
            ),
        )
        fleet.store.restore(fleet.store.copy())
        for router in fleet.routers:
            await wait_until(lambda r=router: r.shared_state.weights.list_targets() == [name])

    async def test_absurd_version_ends_the_greetings(self, fleet: PlatformFleet) -> None:
        # The first can't be read, and the others are the largest that can.
        for model, version in {"a": 2**70, "b": 2**53, "c": 2**53}.items():
            fleet.store.put("versions", model, {"model": model, "version": version})
        weights = fleet.routers[0].shared_state.weights
        await wait_until(lambda: [w.model for w in weights.list_targets()] == ["b", "c"])
        fleet.store.put("config", "main", configuration(7))
        await wait_until(lambda: all(version_in_force(r) == 7 for r in fleet.routers))

    async def test_engine_that_left_is_used_again(self, fleet: PlatformFleet) -> None:
        engine = await fleet.start_engine()
        await wait_until(lambda: all(len(ready_ids(r)) == 3 for r in fleet.routers))
        content = fleet.store.copy()
        fleet.store.put("servers", "i-0", registration(fleet.engines[0].address, state="draining"))
        fleet.store.delete("servers", "i-1")
        await wait_until(lambda: all(ready_ids(r) == {"i-2"} for r in fleet.routers))
        fleet.store.restore(content)
        fleet.store.put("servers", "i-9", registration("127.0.0.1:1"))
        await wait_until(lambda: all("i-9" in ready_ids(r) for r in fleet.routers))
        assert all(ready_ids(r) == {engine.endpoint_id, "i-9"} for r in fleet.routers)
        again = {**registration(fleet.engines[1].address), "born": 5}
        fleet.store.put("servers", "i-1", again)
        await wait_until(lambda: all("i-1" in ready_ids(r) for r in fleet.routers))

    async def test_process_is_missing_from_the_list(self, fleet: PlatformFleet) -> None:
        content = fleet.store.copy()
        content[1].pop(PROCESSES_KIND)
        fleet.store.restore(content)
        await wait_until(
            lambda: (
                set(fleet.store.objects.get(PROCESSES_KIND, {}))
                == {"front-1", "front-2", "front-3"}
            )
        )

    async def test_listing_of_the_era_before_arrives_last(self, world: PlatformWorld) -> None:
        content = world.store.copy()
        world.store.restore(content)
        await wait_until(lambda: world.router.fleet.eras.newest == 2)
        world.store.put("servers", "i-9", registration("127.0.0.1:1"))
        await wait_until(lambda: "i-9" in ready_ids(world.router))
        late = StoreRevision(1, 10**6)
        world.router.shared_state.apply_listing(
            StateKind.ENDPOINTS,
            StateListing(items=(), revision=late, content_revision=late),
            asked_seconds=time.monotonic(),
        )
        world.router.shared_state.apply_changes(
            StateKind.ENDPOINTS,
            StateChanges(events=(StateEvent(name="i-9", item=None),), revision=late),
        )
        assert "i-9" in ready_ids(world.router)


class TestWaitingWatch:
    """Guard against a watch that waits at a revision that now names another state."""

    @pytest.fixture
    async def unpolled(self, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[PlatformWorld]:
        monkeypatch.setattr(_store_watch, "POLL_SECONDS", 1000.0)
        opened = PlatformWorld()
        await opened.start()
        yield opened
        await opened.stop()

    async def test_waiting_watch_misses_what_is_given_out_again(
        self, unpolled: PlatformWorld
    ) -> None:
        store = unpolled.store
        content = store.copy()
        store.put("versions", "m", {"model": "m", "version": 2})
        weights = unpolled.router.shared_state.weights
        await wait_until(lambda: [w.version for w in weights.list_targets()] == [2])
        store.restore(content)
        # The watch waits after this revision, so it would never report this change.
        store.put("versions", "m", {"model": "m", "version": 3})
        unpolled.router.fleet.eras.hear(2, source="front-9")
        await wait_until(lambda: [w.version for w in weights.list_targets()] == [3])


class TestOutage:
    """Guard against processes that keep different endpoints after an outage of the store."""

    async def test_peer_keeps_an_endpoint_that_did_not_register_again(
        self, fleet: PlatformFleet
    ) -> None:
        first, second = (router.shared_state for router in fleet.routers[:2])
        revision = StoreRevision(1, 10**6)
        left = [e for e in first.directory.all_endpoints() if e.endpoint_id == "i-1"]
        end_outage(first)
        first.apply_listing(
            StateKind.ENDPOINTS,
            StateListing(items=tuple(left), revision=revision, content_revision=revision),
            asked_seconds=time.monotonic(),
        )
        state = first.export_state({StateKind.ENDPOINTS})
        peer = fleet.routers[0].fleet.fleet.own
        second.apply_peer_state(state, peer, asked_seconds=time.monotonic())
        assert len(second.directory.all_endpoints()) == 2
        later = time.monotonic() + LAPSE_GRACE_SECONDS + 1.0
        assert second.directory.expire(now_seconds=later) == ["i-0"]


class RestoredInListing(StoreStandin):
    """Come back from a copy after some first pages of listings."""

    def __init__(self, *, restores: int) -> None:
        super().__init__()
        self.restores = restores
        self.content: Any = None

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if "after" in request.query and self.restores:
            self.restores -= 1
            self.restore(self.content)
        return await super().answer(request)


class TestPlatformStore:
    """Guard against answers of the store that are put together from two of its eras."""

    @pytest.fixture
    async def session(self) -> AsyncIterator[aiohttp.ClientSession]:
        async with aiohttp.ClientSession() as opened:
            yield opened

    async def test_pages_of_two_eras_make_one_listing(self, session: aiohttp.ClientSession) -> None:
        store = RestoredInListing(restores=1)
        await store.start()
        for name in ("a", "c", "d"):
            store.put("servers", name, registration("127.0.0.1:1"))
        store.content = store.copy()
        store.put("servers", "b", registration("127.0.0.1:1"))
        listing = await PlatformStore(session, address=store.address).list_state(
            StateKind.ENDPOINTS
        )
        await store.stop()
        assert [e.endpoint_id for e in listing.items if isinstance(e, Endpoint)] == ["a", "c", "d"]
        assert listing.revision == StoreRevision(2, store.content[0])

    @pytest.mark.parametrize("header", ["", "x", "-1", "1.5", "1e3", "٣", str(2**63), "9" * 5000])
    async def test_era_that_is_no_number_is_taken(
        self, session: aiohttp.ClientSession, header: str
    ) -> None:
        store = StoreStandin()
        store.era = header
        await store.start()
        with pytest.raises(MalformedAnswerError, match="Store-Era"):
            await PlatformStore(session, address=store.address).list_state(StateKind.ENDPOINTS)
        await store.stop()

    async def test_store_without_eras_is_refused(self, session: aiohttp.ClientSession) -> None:
        store = StoreStandin()
        store.era = None
        await store.start()
        platform = PlatformStore(session, address=store.address)
        listing = await platform.list_state(StateKind.ENDPOINTS)
        await store.stop()
        assert listing.revision == StoreRevision(0, store.revision)


def endpoint(
    name: str, *, state: EndpointState = EndpointState.READY, started_ms: int = 1
) -> Endpoint:
    return Endpoint(
        endpoint_id=EndpointId(name),
        service=SERVICE,
        address="10.0.0.1:80",
        zone=ZoneId("z1"),
        state=state,
        slots=1,
        started_ms=started_ms,
    )


class DirectoryWorld:
    """Run a directory that knows a ready, a draining and two removed endpoints."""

    def __init__(self) -> None:
        self.directory = EndpointDirectory(renewal_interval_seconds=1.0)
        self.list("ready", "draining", "removed", "missing", at=0.0)
        self.directory.put(endpoint("draining", state=EndpointState.DRAINING))
        self.directory.remove(EndpointId("removed"), now_seconds=1.0)
        self.list("ready", at=2.0, but=[endpoint("draining", state=EndpointState.DRAINING)])

    def list(
        self, *names: str, at: float, but: Any = (), restored: bool = False, outage: bool = False
    ) -> None:
        self.directory.replace(
            [*(endpoint(name) for name in names), *but],
            grace_seconds=LAPSE_GRACE_SECONDS if outage else 0.0,
            restored=restored,
            now_seconds=at,
        )

    @property
    def ready(self) -> set[str]:
        return {e.endpoint_id for e in self.directory.ready_endpoints(SERVICE)}


ALL_NAMES = ("ready", "draining", "removed", "missing")


class TestEndpointsOfACopy:
    """Guard against calls to endpoints that had left before the store came back from a copy."""

    def test_endpoint_that_left_comes_back_with_the_copy(self) -> None:
        world = DirectoryWorld()
        world.list(*ALL_NAMES, at=10.0, restored=True)
        assert world.ready == {"ready"}
        world.list(*ALL_NAMES, at=11.0)
        assert world.ready == {"ready"}

    def test_endpoint_that_left_comes_back_with_a_second_copy(self) -> None:
        world = DirectoryWorld()
        world.list(*ALL_NAMES, at=10.0, restored=True)
        world.list(*ALL_NAMES, at=14.0, restored=True)
        world.list(*ALL_NAMES, at=18.0)
        assert world.ready == {"ready"}

    def test_endpoint_that_started_again_stays_away(self) -> None:
        world = DirectoryWorld()
        world.list("ready", at=10.0, restored=True, but=[endpoint("removed", started_ms=2)])
        assert world.ready == {"ready", "removed"}

    def test_endpoint_that_registered_again_stays_away(self) -> None:
        world = DirectoryWorld()
        world.list(*ALL_NAMES, at=10.0, restored=True)
        world.directory.put(endpoint("removed"))
        world.list(*ALL_NAMES, at=11.0)
        assert world.ready == {"ready", "removed"}

    def test_endpoint_that_renews_its_entry_stays_away(self) -> None:
        world = DirectoryWorld()
        world.list(*ALL_NAMES, at=10.0, restored=True)
        world.list(*ALL_NAMES, at=15.1)
        assert world.ready == set(ALL_NAMES)

    def test_endpoint_that_registered_after_the_copy_is_dropped_at_once(self) -> None:
        world = DirectoryWorld()
        world.directory.put(endpoint("new"))
        world.list("ready", at=10.0, restored=True)
        assert world.ready == {"ready", "new"}
        assert world.directory.expire(now_seconds=11.9) == []
        assert world.directory.expire(now_seconds=12.1) == [EndpointId("new")]

    def test_grace_begins_again_with_a_second_copy(self) -> None:
        world = DirectoryWorld()
        world.directory.put(endpoint("new"))
        world.list("ready", at=10.0, restored=True)
        world.list("ready", at=11.5, restored=True)
        assert world.directory.expire(now_seconds=13.4) == []
        assert world.directory.expire(now_seconds=13.6) == [EndpointId("new")]
