"""Test when the connections of callers are closed."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from egretrouter.transport import CallerConnection, CallerServer

REQUEST = b"GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n"
# Below the size at which asyncio pauses the writer, so the handler does not wait for the caller.
ANSWER_BYTES = 60_000
KERNEL_BYTES = 4096
PATIENCE_SECONDS = 0.3
SLOW_TURN_SECONDS = 0.3


async def handle(request: web.BaseRequest) -> web.StreamResponse:
    assert request.transport is not None
    sock = request.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BYTES)
    return web.Response(body=b"x" * ANSWER_BYTES)


class SlowServer(CallerServer):
    """Accept connections in turns of the event loop that last long."""

    def __call__(self) -> CallerConnection:
        connection = super().__call__()
        time.sleep(SLOW_TURN_SECONDS)
        asyncio.get_running_loop().call_soon(time.sleep, SLOW_TURN_SECONDS)
        return connection


class OpenServer:
    """Serve on a port, and connect callers with little room for what they receive."""

    def __init__(self, server: CallerServer | None = None) -> None:
        self.server = server or CallerServer(handle)
        self.listener: asyncio.Server

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(self.server, "127.0.0.1", 0)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BYTES)
        address = self.listener.sockets[0].getsockname()
        await asyncio.get_running_loop().sock_connect(sock, address)
        return await asyncio.open_connection(sock=sock, limit=KERNEL_BYTES)

    def close(self, *, within_seconds: float) -> "asyncio.Task[int]":
        self.listener.close()
        until = asyncio.get_running_loop().time() + within_seconds
        return asyncio.create_task(self.server.close_answered(until_seconds=until))


@pytest.fixture
async def opened() -> AsyncIterator[OpenServer]:
    server = OpenServer()
    await server.start()
    yield server
    server.listener.close()


class TestCloseAnswered:
    """Guard against connections that close before their caller has the whole answer."""

    async def test_answer_that_waits_for_a_slow_caller_is_lost_at_the_close(
        self, opened: OpenServer
    ) -> None:
        reader, writer = await opened.connect()
        writer.write(REQUEST)
        while opened.server.count_unanswered() or not opened.server.requests_count:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        closing = opened.close(within_seconds=5.0)
        await asyncio.sleep(PATIENCE_SECONDS)
        assert not closing.done()
        received = await reader.read(-1)
        assert len(received.partition(b"\r\n\r\n")[2]) == ANSWER_BYTES
        assert await closing == 0
        writer.close()

    async def test_caller_that_never_reads_holds_up_the_close_for_good(
        self, opened: OpenServer
    ) -> None:
        _, writer = await opened.connect()
        writer.write(REQUEST)
        async with asyncio.timeout(2):
            await opened.close(within_seconds=0.5)
        writer.close()

    async def test_caller_that_stops_within_a_head_holds_up_the_close(
        self, opened: OpenServer
    ) -> None:
        _, writer = await opened.connect()
        writer.write(REQUEST[:10])
        async with asyncio.timeout(3):
            assert await opened.close(within_seconds=10.0) == 0
        writer.close()

    @pytest.mark.parametrize("requests", [1, 2])
    async def test_requests_sent_at_once_are_answered(
        self, opened: OpenServer, requests: int
    ) -> None:
        reader, writer = await opened.connect()
        writer.write(REQUEST * requests)
        closing = opened.close(within_seconds=5.0)
        received = await reader.read(-1)
        assert received.count(b"x" * ANSWER_BYTES) == requests
        assert await closing == 0
        writer.close()

    async def test_request_on_a_new_connection_is_dropped_by_a_slow_event_loop(self) -> None:
        opened = OpenServer(SlowServer(handle))
        await opened.start()
        until = asyncio.get_running_loop().time() + 5.0
        closing = asyncio.create_task(opened.server.close_answered(until_seconds=until))
        # The kernel has the connection and its request before the event loop looks.
        sock = socket.create_connection(opened.listener.sockets[0].getsockname())
        sock.sendall(REQUEST)
        reader, writer = await asyncio.open_connection(sock=sock)
        received = await reader.read(-1)
        assert len(received.partition(b"\r\n\r\n")[2]) == ANSWER_BYTES
        assert await closing == 0
        writer.close()
        opened.listener.close()
