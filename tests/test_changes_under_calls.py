"""Test that calls in progress end with a complete answer while the configuration changes."""

import asyncio
import itertools
import os
import random
from collections import Counter
from typing import Any

import pytest
from aiohttp import web

from tests.caller_connections import CallerConnection, RequestEnd
from tests.platform_standins import EngineStandin, configuration, registration
from tests.platform_world import PlatformWorld

FIRST_SEED = int(os.environ.get("CHANGES_FIRST_SEED", "1"))
SEEDS = int(os.environ.get("CHANGES_SEEDS", "2"))
SECONDS = 4.0
CALLERS = 24
MODEL = "m0"
ENGINE = {"slots": 16, "step_ms": 5, "read_per_s": 1e5, "models": [{"name": MODEL}]}
ALLOWED_STATUSES = {200, 401, 404, 413, 502, 503}


class ChangingWorld(PlatformWorld):
    """Change everything in the store that calls depend on while callers send without pause."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.ends: Counter[RequestEnd] = Counter()
        self.statuses: Counter[int] = Counter()
        self._rng = random.Random(seed)
        self._versions = itertools.count(2)
        self._weights = itertools.count(1)
        self._numbers = itertools.count()
        self._services: dict[str, str] = {}
        self._done = False

    async def start(self, *, engines: int = 6, **changes: Any) -> None:
        await super().start(engines=engines, **changes)
        for number, engine in enumerate(self.engines):
            engine.respond = self._respond
            self._services[engine.endpoint_id] = ["plain", "other", "llm"][number % 3]
            self._register(engine, "ready")
        self.change_configuration()

    async def _respond(self, request: web.BaseRequest, content: bytes) -> web.StreamResponse | None:
        await asyncio.sleep(self._rng.choice([0.0, 0.01, 0.1, 0.3]))
        if not request.path.startswith("/text/"):
            return None
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Attempt-Id": request.headers["X-Attempt-Id"],
                "X-Engine-Stamp": "stamp",
            }
        )
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, 6):
            await asyncio.sleep(0.05)
            await response.write(b"id: %d\ndata: event %d\n\n" % (number, number))
        await response.write_eof()
        return response

    def change_configuration(self) -> None:
        """Publish routes, services, keys and limits, of which any can be missing."""
        spec = configuration(next(self._versions))
        for route in spec["routes"]:
            route["service"] = self._rng.choice(["plain", "other", "llm"])
            route["timeout_ms"] = self._rng.choice([3000, 5000])
            route["target_latency_ms"] = self._rng.choice([100, 400])
        spec["routes"] = self._rng.sample(spec["routes"], self._rng.randint(2, 4))
        engine = {"name": "llm", "engine": ENGINE}
        spec["services"] = self._rng.choice([[engine], [*spec["services"], engine]])
        spec["tenants"][0]["api_keys"] = self._rng.choice(
            [["key-1", "key-2"], ["key-1", "key-2"], ["key-1"], []]
        )
        spec["limits"]["body_bytes"] = self._rng.choice([10, 1_000, 10_000])
        self.store.put("config", "main", spec)

    def _register(self, engine: EngineStandin, state: str) -> None:
        service = self._services[engine.endpoint_id]
        spec: dict[str, Any] = registration(engine.address, service=service, state=state)
        if service == "llm":
            spec["models"] = [{"name": MODEL, "version": next(self._weights)}]
        self.store.put("servers", engine.endpoint_id, spec)

    def change_endpoint(self) -> None:
        """Let an endpoint leave or return."""
        engine = self._rng.choice(self.engines)
        if engine.endpoint_id in self.store.objects["servers"] and self._rng.random() < 0.3:
            self.store.delete("servers", engine.endpoint_id)
        else:
            self._register(engine, self._rng.choice(["ready", "ready", "draining"]))

    def change_weights(self) -> None:
        """Name a new version, which rules out the older ones soon."""
        version = {"model": MODEL, "version": next(self._weights)}
        self.store.put("versions", MODEL, version)

    async def make_changes(self) -> None:
        """Make changes without pause, then let the callers end."""
        changes = [self.change_configuration, self.change_endpoint, self.change_weights]
        changes += [self.router.reload, self.store.compact]
        loop = asyncio.get_running_loop()
        end = loop.time() + SECONDS
        while loop.time() < end:
            self._rng.choices(changes, weights=[8, 8, 1, 1, 1])[0]()
            await asyncio.sleep(0.05 * self._rng.random())
        self._done = True

    async def call_repeatedly(self) -> None:
        """Send calls without pause, some in two parts, on connections that the router closes."""
        while not self._done:
            connection = CallerConnection()
            await connection.open(self.address)
            reusable = True
            while reusable and not self._done:
                request = self._request()
                parts = self._rng.choice([[request], [request[:-4], request[-4:]]])
                received = await connection.send(parts, pause_seconds=0.2 * self._rng.random())
                self.ends[received.end] += 1
                self.statuses[received.status] += 1
                reusable = received.reusable
                await asyncio.sleep(0.0 if received.status == 200 else 0.02)
            connection.close()

    def _request(self) -> bytes:
        path = self._rng.choice(["/sale/x", "/read/x", "/open/x", "/text/x", "/text/x"])
        model = self._rng.choice([f"X-Model: {MODEL}\r\n", ""])
        return (
            f"POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: c-{next(self._numbers)}\r\n"
            f"X-Api-Key: {self._rng.choice(['key-1', 'key-2'])}\r\nX-Token-Count: 10,20\r\n"
            f"{model}Content-Length: 12\r\n\r\ncall content"
        ).encode()


class TestChangesUnderCalls:
    """Guard against calls that a change of the configuration leaves without an answer."""

    @pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))
    async def test_changes_leave_no_call_without_an_answer(self, seed: int) -> None:
        world = ChangingWorld(seed)
        await world.start()
        callers = [asyncio.create_task(world.call_repeatedly()) for _ in range(CALLERS)]
        await world.make_changes()
        await asyncio.gather(*callers)
        await world.stop()
        print(f"ends={dict(world.ends)} statuses={dict(world.statuses)}")
        assert set(world.ends) == {RequestEnd.ANSWERED}
        assert set(world.statuses) <= ALLOWED_STATUSES
