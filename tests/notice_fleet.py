"""Provide routers before engines that say in their answers that they leave or want a pause."""

import time
from collections.abc import Mapping
from enum import Enum
from typing import Any

import aiohttp
import msgspec
from yarl import URL

from egretrouter.core.direct import LoadReport
from tests.helpers import wait_until
from tests.platform_fleet import Answer, PlatformFleet
from tests.platform_standins import configuration, registration
from tests.raw_endpoint import RawAnswer, RawEndpoint, RawRequest

SLOTS = 400
"""More than a test has calls at once, so that none is refused for want of room."""
EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 6))


class AnswerKind(Enum):
    """List how an engine answers."""

    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    OTHER_CALL = "other_call"
    BROKEN = "broken"


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """Represent a call that reached an engine, and the pause that the engine asked for then."""

    at_seconds: float
    router: str
    pause_seconds: float


class NoticeEngine:
    """Answer calls, with headers that a test sets, and record when each call arrived."""

    def __init__(self, endpoint_id: str) -> None:
        self.endpoint_id = endpoint_id
        self.kind = AnswerKind.SERVED
        self.headers: Mapping[str, str] = {}
        self.pause_seconds = 0.0
        """Pause that the engine asks for with each refusal."""
        self.arrivals: list[Arrival] = []
        self.address = ""
        self._endpoint = RawEndpoint(self._respond)

    async def start(self, port: int = 0) -> None:
        self.address = await self._endpoint.start(port)

    @property
    def port(self) -> int:
        return int(self.address.rpartition(":")[2])

    @property
    def arrived_seconds(self) -> list[float]:
        return [arrival.at_seconds for arrival in self.arrivals]

    def refuse(self, pause_seconds: float) -> None:
        """Refuse all calls from now on, and ask for a pause with each."""
        self.kind = AnswerKind.REFUSED
        self.pause_seconds = pause_seconds
        self.headers = {"Retry-After": f"{pause_seconds:g}"}

    def serve(self) -> None:
        """Serve all calls from now on."""
        self.kind, self.pause_seconds, self.headers = AnswerKind.SERVED, 0.0, {}

    def most_in_a_pause(self) -> int:
        """Return the most calls from one router in a pause, without its first half second."""
        return max(
            sum(
                1
                for other in self.arrivals
                if other.router == asked.router
                and 0.5 < other.at_seconds - asked.at_seconds < asked.pause_seconds
            )
            for asked in self.arrivals
        )

    def leave(self) -> None:
        """Say from now on in each answer that the engine leaves."""
        self.headers = {"Server-Leaving": "1"}

    def arrivals_between(self, start_seconds: float, end_seconds: float) -> int:
        return sum(1 for at in self.arrived_seconds if start_seconds < at < end_seconds)

    def _respond(self, request: RawRequest) -> RawAnswer:
        arrival = Arrival(
            at_seconds=time.monotonic(),
            router=request.call_id.partition("-")[0],
            pause_seconds=self.pause_seconds,
        )
        self.arrivals.append(arrival)
        own = b"\r\nX-Expect-Instance: %s\r\n" % self.endpoint_id.encode()
        kind = self.kind if own in request.head else AnswerKind.MISDIRECTED
        stamped = {"X-Attempt-Id": request.call_id, "X-Engine-Stamp": self.endpoint_id}
        match kind:
            case AnswerKind.MISDIRECTED:
                return self._answer("421 Misdirected Request", {}, b"")
            case AnswerKind.REFUSED:
                not_run = {"X-Attempt-Id": request.call_id, "X-Not-Run": "1"}
                return self._answer("503 Service Unavailable", not_run, b"")
            case AnswerKind.FAILED:
                return self._answer("500 Internal Server Error", stamped, b"failed")
            case AnswerKind.OTHER_CALL:
                return self._answer("200 OK", {**stamped, "X-Attempt-Id": "c-other"}, b"done")
        if b" /text/" not in request.head.partition(b"\r\n")[0]:
            body, length = b"done", 4
        else:
            stamped["Content-Type"] = "text/event-stream"
            body, length = EVENTS, len(EVENTS)
        if kind is AnswerKind.BROKEN:
            length += 10
        return self._answer("200 OK", {**stamped, "Content-Length": str(length)}, body)

    def _answer(self, line: str, headers: dict[str, str], body: bytes) -> RawAnswer:
        fields = {"Content-Length": str(len(body)), **headers, **self.headers}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        return RawAnswer(data=f"HTTP/1.1 {line}\r\n{head}\r\n".encode() + body)

    def stop(self) -> None:
        self._endpoint.stop()


class NoticeFleet(PlatformFleet):
    """Run routers with such engines."""

    def __init__(self) -> None:
        super().__init__()
        self.notice_engines: list[NoticeEngine] = []

    async def start_notice(self, *, routers: int = 3, engines: int = 2) -> None:
        await super().start(routers=routers, engines=0)
        for number in range(engines):
            await self.add_notice_engine(f"i-{number}")

    async def add_notice_engine(self, endpoint_id: str, *, port: int = 0) -> NoticeEngine:
        """Start an engine, and wait until all routers know it."""
        engine = NoticeEngine(endpoint_id)
        await engine.start(port)
        self.notice_engines.append(engine)
        self.list_engine(engine)
        await wait_until(lambda: all(endpoint_id in self._known(r) for r in self.routers))
        return engine

    def list_engine(self, engine: NoticeEngine, **changes: Any) -> None:
        """Write an engine's entry to the store."""
        entry = {**registration(engine.address), "slots": SLOTS, "born": 1, **changes}
        self.store.put("servers", engine.endpoint_id, entry)

    async def set_latency_target(self, *, milliseconds: int) -> None:
        """Set the latency target of all routes, and wait until it is in force."""
        routes = [
            {**route, "target_latency_ms": milliseconds} for route in configuration()["routes"]
        ]
        self.store.put("config", "main", configuration(version=2, routes=routes))
        states = [router.shared_state for router in self.routers]
        await wait_until(
            lambda: all(s.routes is not None and s.routes.table.version == 2 for s in states)
        )

    def report(self, engine: NoticeEngine, **changes: Any) -> None:
        """Send the first router a report of an engine's agent."""
        load = LoadReport(running=0, queued=0, started_ms=1)
        self.routers[0]._record_load(engine.address, msgspec.structs.replace(load, **changes))

    async def make_call(self, router: int, *, path: str = "/read/x", call_id: str = "") -> Answer:
        """Make one call through a router."""
        own = self.routers[router]
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": call_id or f"{router}-{next(self._call_numbers)}",
            "X-Deadline-Ms": "3000",
            "X-Api-Key": "key-1",
        }
        url = URL(f"http://{own.settings.address}:{own.callers_port}{path}", encoded=True)
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(url, headers=headers) as response:
                    after = response.headers.get("Retry-After")
                    return Answer(
                        status=response.status,
                        content=await response.read(),
                        retry_after_seconds=None if after is None else float(after),
                    )
            except aiohttp.ClientError:
                return Answer(status=0, content=b"")

    async def call_until_reached(self, engine: NoticeEngine, *, path: str = "/read/x") -> None:
        """Make calls through the first router until one has reached an engine."""
        before = len(engine.arrived_seconds)
        while len(engine.arrived_seconds) == before:
            await self.make_call(0, path=path)

    async def stop(self) -> None:
        await super().stop()
        for engine in self.notice_engines:
            engine.stop()
