"""Test what a caller's socket receives of a stream that broke off and could not be completed."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from aiohttp import web

from tests.platform_standins import Respond, configuration, raw_answer
from tests.platform_world import PlatformWorld

CALL_ID = "c-1"
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Engine-Stamp: first\r\nX-Attempt-Id: c-1\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
)
FINAL_CHUNK = b"0\r\n\r\n"
EVENTS = 6
RESUMED_AFTER = 3
BEGUN = range(1, RESUMED_AFTER + 1)


def event(number: int, *, padding: int = 0) -> bytes:
    return b"id: %d\ndata: event %d%b\n\n" % (number, number, b"." * padding)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def chunked_events(numbers: range) -> bytes:
    return b"".join(chunk(event(number)) for number in numbers)


def answer(status: str, *headers: str, body: bytes = b"the error's text") -> bytes:
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def stream(*headers: str, body: bytes) -> bytes:
    lines = ["HTTP/1.1 200 OK", *headers, "Content-Type: text/event-stream"]
    return "\r\n".join([*lines, "Transfer-Encoding: chunked", "", ""]).encode() + body


OWN = ("X-Engine-Stamp: second", f"X-Attempt-Id: {CALL_ID}")
REST = chunked_events(range(RESUMED_AFTER + 1, EVENTS + 1)) + FINAL_CHUNK
JUMPING = chunked_events(range(RESUMED_AFTER + 2, EVENTS + 1)) + FINAL_CHUNK
SHORTER = chunked_events(range(1, RESUMED_AFTER)) + FINAL_CHUNK

BREAKS = {
    "closed between chunks": (chunked_events(BEGUN), False),
    "closed inside a chunk": (chunked_events(BEGUN) + b"14\r\nid: 4\nda", False),
    "reset inside an event": (chunked_events(BEGUN) + chunk(b"id: 4\nda"), True),
    "ended inside an event": (chunked_events(BEGUN) + chunk(b"id: 4\nda") + FINAL_CHUNK, False),
}
ERRORS = {
    "400": answer("400 Bad Request", *OWN),
    "500": answer("500 Internal Server Error", *OWN),
    "503": answer("503 Service Unavailable", *OWN),
    "503 not run": answer("503 Service Unavailable", "X-Not-Run: 1"),
    "421 not run": answer("421 Misdirected Request", "X-Not-Run: 1"),
    "421": answer("421 Misdirected Request", *OWN),
    "200 without a stream": answer("200 OK", *OWN, "Content-Type: application/json"),
    "200 without a receipt": stream(f"X-Attempt-Id: {CALL_ID}", body=REST),
    "half a head": b"HTTP/1.1 200 OK\r\nX-Engine-Stamp: second\r\nX-Att",
    "no head": b"the error's text\r\n\r\n",
    "nothing": b"",
    "another call's stream": stream("X-Engine-Stamp: s", "X-Attempt-Id: c-9", body=REST),
    "a stream whose ids jump": stream(*OWN, body=JUMPING),
    "a stream that ends before the resumed event": stream(*OWN, body=SHORTER),
}


class ReceivedStream:
    """Parse the raw bytes of one chunked response."""

    def __init__(self, received: bytes) -> None:
        self.head, _, rest = received.partition(b"\r\n\r\n")
        self.content = b""
        self.complete = False
        while rest:
            length, separator, rest = rest.partition(b"\r\n")
            size = int(length, 16) if separator else 0
            self.content += rest[:size]
            if separator and not size:
                self.complete = True
                assert rest == b"\r\n", "bytes follow the final chunk"
                return
            rest = rest[size + 2 :]

    @property
    def status(self) -> bytes:
        return self.head.split(b" ")[1]


async def receive(
    world: PlatformWorld, *, read: Callable[[asyncio.StreamReader], Awaitable[bytes]] | None = None
) -> bytes:
    """Make one call over a raw socket and return all bytes that came back until it was closed."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", world.router.callers_port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    writer.write(
        b"POST /text/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: c-1\r\n"
        b"X-Deadline-Ms: 3000\r\nX-Api-Key: key-1\r\nConnection: close\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    try:
        async with asyncio.timeout(10):
            return await (read or asyncio.StreamReader.read)(reader)
    finally:
        writer.close()


def respond_in_turn(world: PlatformWorld, answers: list[Respond]) -> None:
    """Let the engines give each answer once, in the order in which they are called."""
    left = iter(answers)

    async def respond(request: web.BaseRequest, content: bytes) -> web.StreamResponse | None:
        return await next(left)(request, content)

    for engine in world.engines:
        engine.respond = respond


def raw(data: bytes, *, reset: bool = False) -> Respond:
    async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
        return await raw_answer(request, data, reset=reset)

    return respond


def caller_transports(world: PlatformWorld) -> list[asyncio.Transport]:
    connections = world.router._callers_server.connections
    return [c.transport for c in connections if isinstance(c.transport, asyncio.Transport)]


@pytest.fixture
async def world() -> AsyncIterator[PlatformWorld]:
    opened = PlatformWorld()
    await opened.start()
    yield opened
    await opened.stop()


class TestNextEngineFails:
    """Guard against errors and foreign events in the middle of a stream that has begun."""

    @pytest.mark.parametrize("second", ERRORS.values(), ids=ERRORS.keys())
    @pytest.mark.parametrize(("begun", "reset"), BREAKS.values(), ids=BREAKS.keys())
    async def test_error_of_the_next_engine_ends_up_in_the_stream(
        self, world: PlatformWorld, begun: bytes, reset: bool, second: bytes
    ) -> None:
        first = HEAD + b"\r\n" + begun
        respond_in_turn(world, [raw(first, reset=reset), raw(second)])
        received = ReceivedStream(await receive(world))
        assert sum(len(engine.requests) for engine in world.engines) == 2
        assert received.status == b"200"
        assert b"X-Engine-Stamp: first" in received.head
        assert received.content == b"".join(event(number) for number in BEGUN)
        assert not received.complete

    @pytest.mark.parametrize(("begun", "reset"), BREAKS.values(), ids=BREAKS.keys())
    @pytest.mark.parametrize("first_resumed", [1, RESUMED_AFTER, RESUMED_AFTER + 1])
    async def test_stream_that_the_next_engine_completes_has_each_event_once(
        self, world: PlatformWorld, begun: bytes, reset: bool, first_resumed: int
    ) -> None:
        rest = chunked_events(range(first_resumed, EVENTS + 1)) + FINAL_CHUNK
        first = HEAD + b"\r\n" + begun
        respond_in_turn(world, [raw(first, reset=reset), raw(stream(*OWN, body=rest))])
        received = ReceivedStream(await receive(world))
        assert received.content == b"".join(event(number) for number in range(1, EVENTS + 1))
        assert received.complete

    async def test_stream_of_tokens_may_continue_with_any_later_id(
        self, world: PlatformWorld
    ) -> None:
        """Ids that count tokens jump by as many as an event carries."""
        begun, rest = (b"".join(chunk(event(n)) for n in ids) for ids in ((2, 4, 6), (9, 11)))
        first = HEAD + b"\r\n" + begun
        respond_in_turn(world, [raw(first), raw(stream(*OWN, body=rest + FINAL_CHUNK))])
        received = ReceivedStream(await receive(world))
        assert received.content == b"".join(event(number) for number in (2, 4, 6, 9, 11))
        assert received.complete


class TestStreamsThatCannotBeResumed:
    """Guard against pieces of two runs that do not belong together."""

    async def test_stream_without_ids_is_joined_with_its_own_repetition(
        self, world: PlatformWorld
    ) -> None:
        begun = b"data: a\n\n"
        whole = chunk(begun) + chunk(b"data: b\n\n") + FINAL_CHUNK
        first = HEAD + b"\r\n" + chunk(begun)
        respond_in_turn(world, [raw(first), raw(stream(*OWN, body=whole))])
        received = ReceivedStream(await receive(world))
        assert (received.content, received.complete) == (begun, False)

    async def test_comment_after_an_event_does_not_prevent_resuming(
        self, world: PlatformWorld
    ) -> None:
        comment = b": still there\n\n"
        first = HEAD + b"\r\n" + chunked_events(BEGUN) + chunk(comment)
        respond_in_turn(world, [raw(first), raw(stream(*OWN, body=REST))])
        received = ReceivedStream(await receive(world))
        events = [event(number) for number in range(1, EVENTS + 1)]
        assert received.content == b"".join([*events[:3], comment, *events[3:]])
        assert received.complete

    async def test_stream_of_another_version_is_joined_to_one_that_has_begun(
        self, world: PlatformWorld
    ) -> None:
        first = HEAD + b"X-Weight-Versions: 1\r\n\r\n" + chunked_events(BEGUN)
        second = stream(*OWN, "X-Weight-Versions: 2", body=REST)
        respond_in_turn(world, [raw(first), raw(second)])
        received = ReceivedStream(await receive(world))
        assert received.content == b"".join(event(number) for number in BEGUN)
        assert not received.complete

    async def test_version_of_an_engine_that_sent_nothing_decides_who_may_resume(
        self,
    ) -> None:
        """The third engine was asked for the version of the first, which had sent no event."""
        spec = configuration()["routes"]
        world = PlatformWorld()
        await world.start(engines=3, routes=[{**route, "attempts": 3} for route in spec])
        empty = HEAD + b"X-Weight-Versions: 1\r\n\r\n"
        begun = HEAD + b"X-Weight-Versions: 2\r\n\r\n" + chunked_events(BEGUN)
        rest = stream(*OWN, "X-Weight-Versions: 2", body=REST)
        respond_in_turn(world, [raw(empty), raw(begun), raw(rest)])
        try:
            received = ReceivedStream(await receive(world))
        finally:
            await world.stop()
        requests = [request for engine in world.engines for request, _ in engine.requests]
        versions = [request.headers.get("X-Expect-Version") for request in requests]
        assert [version for version in versions if version is not None] == ["2"]
        assert received.complete


class TestSlowCallers:
    """Guard against a final chunk behind bytes that wait for a caller that reads slowly."""

    @pytest.mark.parametrize("second", ["500", "503 not run", "nothing"])
    async def test_waiting_bytes_of_a_broken_off_stream_end_without_a_final_chunk(
        self, world: PlatformWorld, second: str
    ) -> None:
        padding = 4 * 1024
        numbers = range(1, 13)
        ended = asyncio.Event()
        waiting_bytes: list[int] = []

        async def begin(request: web.BaseRequest, content: bytes) -> web.StreamResponse:
            for sock in (t.get_extra_info("socket") for t in caller_transports(world)):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            events = b"".join(chunk(event(number, padding=padding)) for number in numbers)
            first = HEAD + b"\r\n" + events + chunk(b"id: 13\nda")
            return await raw_answer(request, first, reset=False)

        record_call = world.router.metrics.record_call

        def record(result: str, seconds: float) -> None:
            record_call(result, seconds)
            assert result == "broken_off"
            waiting_bytes.extend(t.get_write_buffer_size() for t in caller_transports(world))
            ended.set()

        async def read_late(reader: asyncio.StreamReader) -> bytes:
            await ended.wait()
            await asyncio.sleep(0.1)
            return await reader.read()

        world.router.metrics.record_call = record  # type: ignore[method-assign]
        respond_in_turn(world, [begin, raw(ERRORS[second])])
        received = ReceivedStream(await receive(world, read=read_late))
        expected = b"".join(event(number, padding=padding) for number in numbers)
        assert sum(waiting_bytes) > padding
        assert received.content == expected
        assert not received.complete

    async def test_caller_that_reads_nothing_until_the_time_is_up_finds_a_prefix(
        self, world: PlatformWorld
    ) -> None:
        padding = 256 * 1024

        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            response = web.StreamResponse(
                headers={
                    "Content-Type": "text/event-stream",
                    "X-Engine-Stamp": "first",
                    "X-Attempt-Id": CALL_ID,
                }
            )
            response.enable_chunked_encoding()
            await response.prepare(request)
            for number in range(1, 101):
                await response.write(event(number, padding=padding))
            return response

        async def read_late(reader: asyncio.StreamReader) -> bytes:
            await asyncio.sleep(3.3)
            return await reader.read()

        respond_in_turn(world, [respond])
        received = ReceivedStream(await receive(world, read=read_late))
        expected = b"".join(event(number, padding=padding) for number in range(1, 101))
        assert expected.startswith(received.content)
        assert not received.complete
