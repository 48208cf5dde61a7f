"""Test how an agent of the platform stages weights and orders its engine to load them."""

import asyncio
import json
import random
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from egretrouter_platform._engine import PlatformEngine, PlatformOrigin
from egretrouter_platform._store import PlatformStore

from egretrouter.core.direct import FleetMember, FleetRole, Greeting, Revisions
from egretrouter.core.errors import WeightMemoryError
from egretrouter.core.identifiers import InstanceId, RegionId, ServiceName, ZoneId
from egretrouter.direct._agent import DirectAgent
from tests.helpers import free_ports, wait_until
from tests.platform_standins import OriginStandin, StandinServer, StoreStandin, configuration
from tests.platform_world import settings

CHUNKS = [bytes([number]) * 4096 for number in range(16)]
ENGINE = {
    "slots": 16,
    "step_ms": 6.73,
    "read_per_s": 30600.0,
    "models": [{"name": "m"}],
}


class ModelEngineStandin(StandinServer):
    """Stage chunks, accept load orders and, on demand, corrupt a staged chunk."""

    def __init__(self) -> None:
        super().__init__()
        self.staged: dict[int, bytes] = {}
        self.version = 0
        self.orders: list[dict[str, Any]] = []
        self.loaded_chunks: dict[int, bytes] = {}
        self.answers_to_drop = 0
        self.chunk_to_corrupt: int | None = None
        self.headers: dict[str, str] = {}
        """Headers of each report."""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        operation = request.path.split("/")[2]
        if operation == "report":
            models = [{"name": "m", "version": self.version}] if self.version else []
            return web.json_response(
                {"running": 0, "queued": 0, "busy": False, "seq": len(self.orders),
                 "models": models, "born": 1},
                headers=self.headers,
            )  # fmt: skip
        if operation == "order":
            return await self._order(request)
        number = int(request.query["num"])
        if operation == "stage-put":
            content = await request.read()
            if self.chunk_to_corrupt == number:
                self.chunk_to_corrupt = None
                content = b"spoilt"
            self.staged[number] = content
            return web.Response()
        if number not in self.staged:
            return web.Response(status=404)
        return web.Response(body=self.staged[number])

    async def _order(self, request: web.BaseRequest) -> web.StreamResponse:
        order = json.loads(await request.read())
        if order["expected"] != len(self.orders):
            return web.Response(status=409)
        self.orders.append(order)
        self.loaded_chunks = dict(self.staged)
        self.version = order["version"]
        if self.answers_to_drop:
            self.answers_to_drop -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.Response(status=202)


class WeightsWorld:
    """Run one agent with its engine, the store and the origin."""

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.engine = ModelEngineStandin()
        self.origin = OriginStandin(CHUNKS)
        self.agent: DirectAgent
        self._session: aiohttp.ClientSession

    async def start(self) -> None:
        for server in (self.store, self.engine, self.origin):
            await server.start()
        services = [
            {"name": "llm", "engine": ENGINE},
            {"name": "origin", "origin": self.origin.address, "zone": "z1", "link_mbps": 10.0},
        ]
        self.store.put("config", "main", configuration(services=services))
        self._session = aiohttp.ClientSession()
        self.agent = DirectAgent(
            settings(
                self.store.address,
                free_ports(2),
                instance_id=InstanceId("side-1"),
                engine=self.engine.address,
                engine_service=ServiceName("llm"),
            ),
            store=PlatformStore(self._session, address=self.store.address),
            engine=PlatformEngine(self._session, address=self.engine.address),
            origin=PlatformOrigin(self._session, address=self._origin_address),
            rng=random.Random(1),
        )
        await self.agent.start()

    def _origin_address(self) -> str | None:
        routes = self.agent.shared_state.routes
        origin = routes.table.origin if routes is not None else None
        return origin.address if origin is not None else None

    async def wait_until_loaded(self, version: int) -> None:
        async with asyncio.timeout(20):
            while self.engine.version != version:  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    async def stop(self) -> None:
        await self.agent.stop()
        await self._session.close()
        for server in (self.store, self.engine, self.origin):
            await server.stop()


@pytest.fixture
async def world() -> AsyncIterator[WeightsWorld]:
    opened = WeightsWorld()
    yield opened
    await opened.stop()


class TestStaging:
    """Guard against engines that stay empty, or load missing or corrupted chunks."""

    async def test_empty_engine_loads_the_first_version_by_default(
        self, world: WeightsWorld
    ) -> None:
        """Added engines stayed empty until the store had a target version for their model."""
        await world.start()
        await world.wait_until_loaded(1)
        assert world.engine.loaded_chunks == dict(enumerate(CHUNKS))
        order = world.engine.orders[0]
        assert order == {
            "op": "start",
            "model": "m",
            "version": 1,
            "mode": "queue",
            "expected": 0,
        }
        assert sorted(world.origin.sent) == list(range(len(CHUNKS)))

    async def test_newer_version_replaces_the_staged_chunks(self, world: WeightsWorld) -> None:
        await world.start()
        await world.wait_until_loaded(1)
        newer = [bytes([200 - number]) * 4096 for number in range(16)]
        world.origin.chunks = newer
        world.store.put("versions", "m", {"model": "m", "version": 2})
        await world.wait_until_loaded(2)
        assert world.engine.loaded_chunks == dict(enumerate(newer))

    async def test_staged_chunks_are_not_copied_again(self, world: WeightsWorld) -> None:
        """Staged chunks survive a crash of the engine."""
        world.engine.staged = dict(enumerate(CHUNKS))
        await world.start()
        await world.wait_until_loaded(1)
        assert world.origin.sent == []

    async def test_corrupted_chunk_is_staged_again(self, world: WeightsWorld) -> None:
        world.engine.staged = dict(enumerate(CHUNKS))
        world.engine.staged[5] = b"rotten"
        world.engine.chunk_to_corrupt = 7
        del world.engine.staged[7]
        await world.start()
        await world.wait_until_loaded(1)
        assert world.engine.loaded_chunks == dict(enumerate(CHUNKS))

    async def test_corrupted_manifest_is_rejected(self, world: WeightsWorld) -> None:
        world.origin.manifests_to_corrupt = 1
        await world.start()
        await world.wait_until_loaded(1)
        assert world.engine.loaded_chunks == dict(enumerate(CHUNKS))

    async def test_lost_answer_to_an_order_is_resolved_by_the_report(
        self, world: WeightsWorld
    ) -> None:
        world.engine.answers_to_drop = 1
        await world.start()
        await world.wait_until_loaded(1)
        await asyncio.sleep(0.5)
        assert len(world.engine.orders) == 1


class TestSpoiltOrigin:
    """Guard against a version that is given up for good, though its origin is sound again."""

    async def wait_until_version_2_is_loaded(self, world: WeightsWorld) -> None:
        world.store.put("versions", "m", {"model": "m", "version": 2})
        await world.wait_until_loaded(2)
        assert list(world.engine.loaded_chunks.values()) == world.origin.chunks

    async def start(self, world: WeightsWorld) -> None:
        world.origin.chunks = [bytes([number + 100]) * 4096 for number in range(16)]
        world.engine.version = 1
        await world.start()

    async def test_manifest_is_spoilt_after_spoilt_chunks(self, world: WeightsWorld) -> None:
        await self.start(world)
        world.origin.corrupt_chunks[15] = 3
        world.origin.corrupt_manifests = {number + 3 for number in (0, 2, 4)}
        await self.wait_until_version_2_is_loaded(world)

    async def test_first_chunk_is_spoilt_for_a_while(self, world: WeightsWorld) -> None:
        await self.start(world)
        world.origin.corrupt_chunks[0] = 8
        await self.wait_until_version_2_is_loaded(world)

    async def test_wrong_manifest_that_was_sent_twice_is_replaced(
        self, world: WeightsWorld
    ) -> None:
        await self.start(world)
        world.origin.corrupt_manifests = {1, 2}
        await self.wait_until_version_2_is_loaded(world)

    async def test_copy_starts_again_after_an_error(
        self, world: WeightsWorld, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        await self.start(world)
        reuse, errors = world.agent._staging.reuse_staged, [WeightMemoryError("full")] * 2

        async def fail_first(*values: Any) -> None:
            if errors:
                raise errors.pop()
            await reuse(*values)

        monkeypatch.setattr(world.agent._staging, "reuse_staged", fail_first)
        await self.wait_until_version_2_is_loaded(world)


class TestLeavingEngine:
    """Guard against agents that load weights into an engine that leaves, or wait for it."""

    async def test_engine_that_leaves_is_ordered_to_load(self, world: WeightsWorld) -> None:
        await world.start()
        await world.wait_until_loaded(1)
        world.engine.headers = {"Server-Leaving": "1"}
        await wait_until(lambda: world.agent.fleet.fleet.own.serving == "")
        world.store.put("versions", "m", {"model": "m", "version": 2})
        await wait_until(lambda: len(world.agent._complete) == 2)
        await asyncio.sleep(0.5)
        assert [order["version"] for order in world.engine.orders] == [1]

    async def test_report_does_not_tell_routers(self, world: WeightsWorld) -> None:
        world.engine.headers = {"Server-Leaving": "1"}
        await world.start()
        await wait_until(lambda: world.agent._engine_state is not None)
        state = world.agent._engine_state
        assert state is not None
        assert state.load.leaving


class TestPlannedStop:
    """Guard against the loss of chunks that only a stopping agent has."""

    async def test_stopping_agent_serves_its_chunks_while_peers_copy(
        self, world: WeightsWorld
    ) -> None:
        """The origin crashed after a released instance had fetched chunks that no peer had."""
        await world.start()
        await world.wait_until_loaded(1)
        fleet = world.agent.fleet.fleet
        other = FleetMember(
            instance_id=InstanceId("side-2"),
            role=FleetRole.AGENT,
            zone=ZoneId("z1"),
            region=RegionId("r1"),
            address="127.0.0.9",
            started_ms=1,
            serving="m/0",
        )
        greeting = Greeting(sender=other, revisions=Revisions())
        fleet.handle_greeting(greeting, now_seconds=time.monotonic())
        drain = asyncio.create_task(world.agent.drain())
        await asyncio.sleep(0.2)
        assert fleet.own.leaving
        assert not drain.done()
        drain.cancel()

    async def test_agent_without_copying_peers_stops_at_once(self, world: WeightsWorld) -> None:
        await world.start()
        await world.wait_until_loaded(1)
        async with asyncio.timeout(1):
            await world.agent.drain()
