"""Stop one router in calm beside engines that grow slow or full, and record each call's end."""

import asyncio
import itertools
import time

import msgspec
from aiohttp import web

from tests.caller_connections import CallerConnection, Received, RequestEnd
from tests.platform_standins import EngineStandin, configuration, raw_answer, registration
from tests.platform_world import PlatformWorld

GRACE_SECONDS = 5.0
TIMEOUT_SECONDS = 6.0
TOKENS = 60
TOKENS_PER_EVENT = 4
STEP_SECONDS = 0.01
SLOTS = 4


class QueueingEngine(EngineStandin):
    """Write streams in a few slots, queue the others, and stop at the deadline of each."""

    def __init__(self, endpoint_id: str) -> None:
        super().__init__(endpoint_id)
        self.pace = 1.0
        """How many times slower than its published profile the engine writes."""
        self.free = asyncio.Semaphore(SLOTS)
        self.began: list[str] = []

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        content = await request.read()
        self.requests.append((request, content))
        self.arrived_seconds.append(time.monotonic())
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.headers["X-Deadline-Ms"]) / 1000
        try:
            async with asyncio.timeout_at(deadline):
                await self.free.acquire()
        except TimeoutError:
            headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], "X-Not-Run": "1"}
            return web.Response(status=503, headers=headers)
        try:
            return await self._write(request, deadline)
        finally:
            self.free.release()

    async def _write(self, request: web.BaseRequest, deadline: float) -> web.StreamResponse:
        self.began.append(request.headers["X-Attempt-Id"])
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", **self.receipt_headers(request)}
        )
        response.enable_chunked_encoding()
        try:
            async with asyncio.timeout_at(deadline):
                for number in range(1, TOKENS // TOKENS_PER_EVENT + 1):
                    await asyncio.sleep(self.pace * STEP_SECONDS * TOKENS_PER_EVENT)
                    if not response.prepared:
                        await response.prepare(request)
                    await response.write(b"id: %d\ndata: event\n\n" % number)
                await response.write_eof()
        except TimeoutError:
            if not response.prepared:
                return web.Response(status=504, headers=self.receipt_headers(request))
            return await raw_answer(request, b"", reset=False)
        return response

    async def occupy(self) -> None:
        """Let calls of other routers take all slots for good."""
        for _ in range(SLOTS):
            await self.free.acquire()


class SentCall(msgspec.Struct, frozen=True, kw_only=True):
    """Represent a call that was sent while the router stops, and how it ended."""

    call_id: str
    path: str
    sent_seconds: float
    """How long after SIGTERM it was sent."""
    ended_seconds: float
    received: Received

    @property
    def is_lost(self) -> bool:
        """Return whether the call got neither a complete answer nor a truthful failure."""
        return self.received.end is not RequestEnd.ANSWERED


class LateGraceWorld(PlatformWorld):
    """Run one router that stops before model engines, with one service of two routes.

    Calls of the route /once/ may run only once; those of /again/ may be resumed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.writers: list[QueueingEngine] = []
        self.calls: list[SentCall] = []
        self._numbers = itertools.count()
        self._stop_began_seconds = 0.0

    async def start(self, *, engines: int = 4) -> None:  # type: ignore[override]
        spec = configuration()
        text = {
            **spec["routes"][3],
            "service": "writer",
            "timeout_ms": int(TIMEOUT_SECONDS * 1000),
            "target_latency_ms": 400,
        }
        profile = {
            "slots": SLOTS,
            "step_ms": STEP_SECONDS * 1000,
            "read_per_s": 1e5,
            "usual": {"prompt": 100, "answer": 40},
        }
        routes = [
            {**text, "name": "once", "path_prefix": "/once/", "resumable": False, "attempts": 1},
            {**text, "name": "again", "path_prefix": "/again/", "resumable": True},
        ]
        services = [*spec["services"], {"name": "writer", "max_conns": 500, "engine": profile}]
        await super().start(
            engines=0, grace_seconds=GRACE_SECONDS, routes=routes, services=services
        )
        for number in range(engines):
            await self._add_writer(f"w-{number}")
        directory = self.router.shared_state.directory
        await self.wait_until(lambda: len(directory.all_endpoints()) == engines)

    async def _add_writer(self, endpoint_id: str) -> None:
        engine = QueueingEngine(endpoint_id)
        await engine.start()
        self.writers.append(engine)
        self.engines.append(engine)
        writer = {**registration(engine.address, service="writer"), "slots": SLOTS}
        self.store.put("servers", endpoint_id, writer)

    async def stop_router(self, *, sent_seconds: list[float]) -> None:
        """Drain the router, and send it a call of each route at some times after SIGTERM."""
        self._stop_began_seconds = time.monotonic()
        await asyncio.gather(
            self.router.drain(),
            *(
                self._call(path, sent_after)
                for sent_after in sent_seconds
                for path in ("/once/x", "/again/x")
            ),
        )
        # A call that was queued somewhere would begin now.
        await asyncio.sleep(0.5)

    async def _call(self, path: str, sent_after: float) -> None:
        await asyncio.sleep(sent_after)
        call_id = f"c-{next(self._numbers)}"
        request = (
            f"POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {call_id}\r\n"
            f"X-Api-Key: key-1\r\nX-Deadline-Ms: {int(TIMEOUT_SECONDS * 1000)}\r\n"
            f"X-Token-Count: 100,{TOKENS}\r\nContent-Length: 0\r\n\r\n"
        )
        connection = CallerConnection()
        await connection.open(self.address)
        sent_seconds = self._since_stop()
        received = await connection.send([request.encode()])
        connection.close()
        self.calls.append(
            SentCall(
                call_id=call_id,
                path=path,
                sent_seconds=sent_seconds,
                ended_seconds=self._since_stop(),
                received=received,
            )
        )

    def _since_stop(self) -> float:
        return round(time.monotonic() - self._stop_began_seconds, 3)

    @property
    def began(self) -> set[str]:
        """Return the calls on which an engine has begun to work."""
        return {call_id for writer in self.writers for call_id in writer.began}

    def latest_deadline_seconds(self) -> float:
        """Return when, after SIGTERM, the last deadline ends that an engine was given."""
        return max(
            (
                arrived + int(request.headers["X-Deadline-Ms"]) / 1000 - self._stop_began_seconds
                for writer in self.writers
                for arrived, (request, _) in zip(
                    writer.arrived_seconds, writer.requests, strict=True
                )
            ),
            default=0.0,
        )
