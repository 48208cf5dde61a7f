"""Test what becomes of requests that a direct router reads between SIGTERM and its end."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web

from egretrouter.core.direct import GracePeriod
from tests.platform_standins import EngineStandin, raw_answer
from tests.platform_world import PlatformWorld

GRACE_SECONDS = 5.0
SHORT_GRACE_SECONDS = 2.0
STREAM_SECONDS = 2.5
AFTER_ROTATION_SECONDS = 3.0
HEAD = (
    b"POST /%s/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\n"
    b"X-Api-Key: key-1\r\nContent-Length: 0\r\n"
)


def head(path: str, call_id: str) -> bytes:
    return HEAD % (path.encode(), call_id.encode()) + b"\r\n"


@pytest.fixture
async def world() -> AsyncIterator[PlatformWorld]:
    opened = PlatformWorld()
    await opened.start(grace_seconds=GRACE_SECONDS)
    yield opened
    await opened.stop()


class Caller:
    """Send bytes over one connection to a router, and read what comes back."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, world: PlatformWorld) -> "Caller":
        return cls(*await asyncio.open_connection("127.0.0.1", world.router.callers_port))

    async def read_to_end(self) -> bytes:
        """Return all bytes until the router closes the connection."""
        try:
            return await self._reader.read()
        finally:
            self.writer.close()

    async def call(self, path: str, call_id: str) -> bytes:
        """Make a call, and return the response with its head on a connection that stays open."""
        self.writer.write(head(path, call_id))
        response = await self._reader.readuntil(b"\r\n\r\n")
        length = int(response.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        return response + await self._reader.readexactly(length)


def is_complete(response: bytes) -> bool:
    """Return whether a response has all that its head announces."""
    top, _, content = response.partition(b"\r\n\r\n")
    if b"chunked" in top.lower():
        return content.endswith(b"\r\n0\r\n\r\n")
    length = top.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
    return bool(length) and len(content) == int(length)


def let_streams_last(engines: list[EngineStandin], seconds: float) -> None:
    """Make engines send the events of a stream spread over some time."""

    async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse | None:
        if not request.path.startswith("/text/"):
            return None
        engine = next(e for e in engines if e.endpoint_id == request.headers["X-Expect-Instance"])
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", **engine.receipt_headers(request)}
        )
        response.enable_chunked_encoding()
        await response.prepare(request)
        for number in range(1, 11):
            await response.write(b"id: %d\ndata: event\n\n" % number)
            await asyncio.sleep(seconds / 10)
        await response.write_eof()
        return response

    for engine in engines:
        engine.respond = respond


def let_calls_hang(engines: list[EngineStandin]) -> None:
    """Make engines read calls and never answer."""

    async def respond(_: web.BaseRequest, __: bytes) -> web.StreamResponse:
        await asyncio.sleep(60)
        raise AssertionError("the router should have given up the call")

    for engine in engines:
        engine.respond = respond


def sent_to_engines(world: PlatformWorld) -> list[str]:
    return [r.headers["X-Attempt-Id"] for e in world.engines for r, _ in e.requests]


class TestRouterDrain:
    """Guard against whole requests that get neither an answer nor a refusal around SIGTERM."""

    async def test_stream_taken_after_the_rotation_is_cut_at_the_stop(
        self, world: PlatformWorld
    ) -> None:
        let_streams_last(world.engines, STREAM_SECONDS)
        early = await Caller.connect(world)
        early.writer.write(head("text", "early"))
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(world.router.drain())
        await asyncio.sleep(AFTER_ROTATION_SECONDS - STREAM_SECONDS)
        busy = await Caller.connect(world)
        busy.writer.write(head("text", "busy"))
        await asyncio.sleep(STREAM_SECONDS - 0.2)
        late = await Caller.connect(world)
        late.writer.write(head("text", "late"))
        await drain
        assert world.router.call_handler.in_progress == 0
        assert b" 200 OK" in (first := await early.read_to_end())
        assert is_complete(first)
        assert is_complete(await busy.read_to_end())
        response = await late.read_to_end()
        assert is_complete(response)
        assert b" 503 " in response
        assert "late" not in sent_to_engines(world)

    async def test_call_read_in_the_turn_of_the_close_is_dropped(
        self, world: PlatformWorld
    ) -> None:
        caller = await Caller.connect(world)
        await caller.call("sale", "first")
        connection = world.router._callers_server.connections[0]
        drain: Any = world.router.drain()
        # The event loop reads the request and begins to drain before anything else runs.
        connection.data_received(head("sale", "second"))
        drain.send(None)
        async with asyncio.timeout(2):
            response = await caller.read_to_end()
        drain.close()
        assert is_complete(response)
        assert b"200 OK" in response
        assert sent_to_engines(world).count("second") == 1

    async def test_connection_accepted_in_the_turn_of_the_close_is_never_answered(
        self, world: PlatformWorld
    ) -> None:
        drain: Any = world.router.drain()
        caller = await Caller.connect(world)
        await world.wait_until(lambda: bool(world.router._callers_server.connections))
        drain.send(None)
        caller.writer.write(head("sale", "c-1"))
        async with asyncio.timeout(2):
            response = await caller.read_to_end()
        drain.close()
        assert is_complete(response)

    async def test_connections_are_read_after_the_drain(self, world: PlatformWorld) -> None:
        let_streams_last(world.engines, STREAM_SECONDS)
        drain = asyncio.create_task(world.router.drain())
        await asyncio.sleep(AFTER_ROTATION_SECONDS - STREAM_SECONDS)
        busy = await Caller.connect(world)
        busy.writer.write(head("text", "busy"))
        await asyncio.sleep(STREAM_SECONDS - 0.2)
        unused = await Caller.connect(world)
        await drain
        unused.writer.write(head("sale", "c-1"))
        try:
            async with asyncio.timeout(1):
                assert await unused.read_to_end() == b""
        except ConnectionResetError:
            pass
        assert is_complete(await busy.read_to_end())
        assert sent_to_engines(world) == ["busy"]

    async def test_drain_ends_while_a_request_arrives(self, world: PlatformWorld) -> None:
        drain = asyncio.create_task(world.router.drain())
        await asyncio.sleep(AFTER_ROTATION_SECONDS - 0.5)
        caller = await Caller.connect(world)
        first, last = head("sale", "c-1")[:40], head("sale", "c-1")[40:]
        caller.writer.write(first)
        await asyncio.sleep(0.4)
        caller.writer.write(last)
        await drain
        async with asyncio.timeout(1):
            response = await caller.read_to_end()
        assert is_complete(response)
        assert b"200 OK" in response

    async def test_unanswered_call_is_cut_at_the_stop(self) -> None:
        world = PlatformWorld()
        await world.start(grace_seconds=SHORT_GRACE_SECONDS)
        let_calls_hang(world.engines)
        caller = await Caller.connect(world)
        caller.writer.write(head("text", "c-1"))
        await world.wait_until(lambda: sent_to_engines(world))
        started = time.monotonic()
        await world.router.drain()
        assert time.monotonic() - started < SHORT_GRACE_SECONDS
        assert world.router.call_handler.in_progress == 0
        response = await caller.read_to_end()
        await world.stop()
        assert is_complete(response)
        assert b" 504 " in response

    async def test_request_behind_a_stream_is_dropped(self, world: PlatformWorld) -> None:
        let_streams_last(world.engines, 1.0)
        caller = await Caller.connect(world)
        caller.writer.write(head("text", "c-1") + head("sale", "c-2"))
        await world.wait_until(lambda: sent_to_engines(world))
        drain = asyncio.create_task(world.router.drain())
        response = await caller.read_to_end()
        await drain
        assert response.count(b"HTTP/1.1 200 OK") == 2

    async def test_call_in_progress_gets_no_second_send_before_the_stop(
        self, world: PlatformWorld
    ) -> None:
        sent: list[str] = []

        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse | None:
            sent.append(request.headers["X-Expect-Instance"])
            if len(sent) > 1:
                return None
            await asyncio.sleep(0.2)
            return await raw_answer(request, b"", reset=True)

        for engine in world.engines:
            engine.respond = respond
        caller = await Caller.connect(world)
        call = asyncio.create_task(caller.call("read", "c-1"))
        await world.wait_until(lambda: bool(sent))
        now = time.monotonic()
        world.router.call_handler.start_draining(
            GracePeriod(rotation_end_seconds=now, stop_seconds=now + 0.6)
        )
        assert b" 200 OK" in await call
        assert len(set(sent)) == 2
