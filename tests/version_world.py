"""Provide a platform router before model engines that queue calls and record when they begin."""

import asyncio
import time
from typing import Any

import aiohttp
import msgspec
from aiohttp import web
from yarl import URL

from egretrouter.core.direct import WeightVersion
from egretrouter.core.identifiers import ModelName
from tests.platform_standins import EngineStandin, registration
from tests.platform_world import PlatformWorld

MODEL = "m1"
VERSION_MS = 3000
"""The bound of the tests: how long an older version may begin calls after a newer one's name."""
ENGINE = {
    "slots": 16,
    "step_ms": 6.73,
    "read_per_s": 30_600.0,
    "stride": 6,
    "usual": {"prompt": 964, "answer": 119},
    "models": [{"name": MODEL}],
}


class Begin(msgspec.Struct, frozen=True, kw_only=True):
    """Record that an engine began a call."""

    call_id: str
    version: int
    at_seconds: float


class QueueingEngine(EngineStandin):
    """Begin each call a while after it came, on the version that it holds then."""

    def __init__(self, endpoint_id: str, *, version: int = 1) -> None:
        super().__init__(endpoint_id)
        self.version = version
        self.queue_seconds = 0.0
        self.resumed_queue_seconds = 0.0
        """How long a stream that goes on from another engine waits."""
        self.breaks_after_event = 0
        """After which event a new stream is cut; 0 for none."""
        self.sees_closes = True
        """Whether a call leaves the queue when its connection is closed."""
        self.heads_first = False
        """Whether the head of an answer is sent before the call begins."""
        self.begun: list[Begin] = []
        self.events = 5
        self.named: list[str | None] = []
        """The version that each request named."""
        self._queued: set[asyncio.Task[None]] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get("X-Expect-Instance") not in (None, self.endpoint_id):
            return web.Response(status=421)
        self.named.append(request.headers.get("X-Expect-Version"))
        if request.headers.get("X-Expect-Version") not in (None, str(self.version)):
            return web.Response(status=421, headers={"X-Not-Run": "1"})
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Weight-Versions": str(self.version),
                **self.receipt_headers(request),
            }
        )
        response.enable_chunked_encoding()
        if self.heads_first:
            await response.prepare(request)
        resumed = "Last-Event-Id" in request.headers
        wait_seconds = self.resumed_queue_seconds if resumed else self.queue_seconds
        begin = asyncio.create_task(self._begin(request.headers["X-Attempt-Id"], wait_seconds))
        self._queued.add(begin)
        begin.add_done_callback(self._queued.discard)
        if self.sees_closes:
            await begin
        else:
            await asyncio.shield(begin)
        if not self.heads_first:
            await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, self.events + 1):
            await response.write(b"id: %d\ndata: event %d\n\n" % (number, number))
            if number == self.breaks_after_event and not resumed:
                await asyncio.sleep(0.05)
                assert request.transport is not None
                request.transport.abort()
                return response
        await response.write_eof()
        return response

    async def _begin(self, call_id: str, wait_seconds: float) -> None:
        await asyncio.sleep(wait_seconds)
        self.begun.append(Begin(call_id=call_id, version=self.version, at_seconds=time.monotonic()))

    async def stop(self) -> None:
        for task in list(self._queued):
            task.cancel()
        await super().stop()


class VersionWorld(PlatformWorld):
    """Run one router before model engines whose versions the test sets."""

    def __init__(self) -> None:
        super().__init__()
        self.model_engines: list[QueueingEngine] = []
        self.named_seconds: dict[int, float] = {}
        """When the store acknowledged each version."""
        self._call_numbers = iter(range(1_000_000))

    async def start_versions(
        self, *versions: int, timeout_ms: int = 3000, version_ms: int = VERSION_MS
    ) -> None:
        """Start one engine for each of the versions, and a router that knows version 1."""
        route = {
            "name": "write", "host": "a.example", "path_prefix": "/write/", "kind": "stream",
            "service": "models", "attempts": 3, "resumable": True, "max_gap_ms": 300,
            "target_latency_ms": 400, "timeout_ms": timeout_ms, "public": True,
        }  # fmt: skip
        services = [{"name": "models", "health_path": "/healthz", "engine": ENGINE}]
        await self.start(engines=0, weights_ms=version_ms, routes=[route], services=services)
        for number, version in enumerate(versions):
            engine = QueueingEngine(f"m-{number}", version=version)
            await engine.start()
            self.engines.append(engine)
            self.model_engines.append(engine)
            self.list_engine(engine)
        self.name_version(1)
        directory = self.router.shared_state.directory
        await self.wait_until(lambda: len(directory.all_endpoints()) == len(versions))
        await self.wait_until(lambda: self.knows(1))

    def list_engine(self, engine: QueueingEngine, *, version: int | None = None) -> None:
        """Write an engine's registration, with the version that it holds or says it holds."""
        held = engine.version if version is None else version
        entry = {
            **registration(engine.address, service="models"),
            "slots": 16,
            "models": [{"name": MODEL, "version": held}],
        }
        self.store.put("servers", engine.endpoint_id, entry)

    def name_version(self, version: int) -> None:
        """Name a version at the store."""
        self.store.put("versions", MODEL, {"model": MODEL, "version": version})
        self.named_seconds[version] = time.monotonic()

    def knows(self, version: int) -> bool:
        """Return whether the router knows of a version's name."""
        target = WeightVersion(model=ModelName(MODEL), version=version)
        return target in self.router.shared_state.weights.list_targets()

    async def write(self, **headers: str) -> int:
        """Make one call, and return its status; 0 if the connection ended."""
        call_id = f"c-{next(self._call_numbers)}"
        all_headers = {
            "Host": "a.example",
            "X-Attempt-Id": call_id,
            "X-Model": MODEL,
            "X-Token-Count": "100,20",
            **headers,
        }
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.post(URL(self.url + "/write/x"), headers=all_headers) as response,
            ):
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return 0

    async def write_until(self, end_seconds: float, *, gap_seconds: float = 0.03) -> list[int]:
        """Make calls one after the other until a time, and return their statuses."""
        calls: list[asyncio.Task[int]] = []
        while time.monotonic() < end_seconds:
            calls.append(asyncio.create_task(self.write()))
            await asyncio.sleep(gap_seconds)
        return list(await asyncio.gather(*calls))

    def late_begins(self, *, version_ms: int = VERSION_MS) -> list[float]:
        """Return by how many seconds calls began too late on versions older than a named one."""
        late = []
        for begin in (b for engine in self.model_engines for b in engine.begun):
            ends = [s for v, s in self.named_seconds.items() if v > begin.version]
            if ends and begin.at_seconds > min(ends) + version_ms / 1000:
                late.append(round(begin.at_seconds - min(ends) - version_ms / 1000, 3))
        return late


def count(values: list[Any]) -> dict[Any, int]:
    """Count equal values, for the messages of assertions."""
    return {value: values.count(value) for value in set(values)}
