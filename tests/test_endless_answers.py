"""Test endpoints whose answers never get to their content."""

import asyncio
from collections.abc import AsyncIterator
from functools import partial

import aiohttp
import pytest
from egretrouter_platform._engine import PlatformOrigin

from egretrouter.backends import HttpCaller
from egretrouter.core.errors import BackendError, MalformedAnswerError
from egretrouter.core.identifiers import CallId, ChunkIndex, ModelName, VersionName
from egretrouter.daemons._endpoint import (
    EndpointClient,
    TruncatedAnswerError,
    endpoint_session,
)
from egretrouter.direct import open_session
from egretrouter.direct._answer_memory import SMALL_ANSWER_BYTES, answers_limit_bytes
from egretrouter.protocol import egretrouter_pb2 as pb
from tests.platform_standins import registration
from tests.platform_world import PlatformWorld

PIECE_BYTES = 16 * 1024
MAX_SENT_BYTES = 64 * 1024 * 1024
"""What the endpoint sends at most, so that a failing test ends."""
MAX_READ_BYTES = 8 * 1024 * 1024
"""What a router may read of such an answer, with what the sockets hold."""
MEMORY_BYTES = 256e6
"""The memory of a router of these tests."""
HEAD = b"HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\nX-Attempt-Id: c-1\r\n"


class EndlessEndpoint:
    """Send a head and then the same bytes over and over."""

    def __init__(self, head: bytes, piece: bytes, *, max_sent_bytes: int = MAX_SENT_BYTES) -> None:
        self.sent_bytes = 0
        self._max_sent_bytes = max_sent_bytes
        self._head = head
        self._data = piece * max(1, PIECE_BYTES // len(piece))
        self._server: asyncio.Server

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._answer, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            writer.write(self._head)
            while self.sent_bytes < self._max_sent_bytes:
                writer.write(self._data)
                await writer.drain()
                self.sent_bytes += len(self._data)
        except ConnectionError:
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        self._server.close()


@pytest.fixture
async def world() -> AsyncIterator[PlatformWorld]:
    opened = PlatformWorld()
    await opened.start(engines=0)
    yield opened
    await opened.stop()


class TestEndlessAnswers:
    """Guard against answers that keep a router busy until the call's time is up."""

    @pytest.mark.parametrize(
        ("head", "piece"),
        [
            (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
            (HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;", b"x"),
            (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Trailer: x\r\n"),
        ],
        ids=["interim answers", "extension of a chunk", "trailers"],
    )
    async def test_answer_without_content_is_read_until_the_time_is_up(
        self, world: PlatformWorld, head: bytes, piece: bytes
    ) -> None:
        endpoint = EndlessEndpoint(head, piece)
        world.store.put("servers", "i-1", registration(await endpoint.start()))
        directory = world.router.shared_state.directory
        await world.wait_until(directory.all_endpoints)
        status, _, _ = await world.call("/sale/x")
        endpoint.stop()
        assert status == 502
        assert endpoint.sent_bytes < MAX_READ_BYTES

    async def test_many_endless_bodies_take_the_memory_of_a_router(
        self, world: PlatformWorld
    ) -> None:
        """A router kept all of them, and the calls of other callers ended with it."""
        memory = world.router.call_handler._answer_memory
        endpoint = EndlessEndpoint(
            b"HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\n\r\n", b"x", max_sent_bytes=1 << 30
        )
        registered = {**registration(await endpoint.start()), "slots": 16}
        world.store.put("servers", "i-1", registered)
        await world.wait_until(world.router.shared_state.directory.all_endpoints)
        held = []

        async def watch() -> None:
            while True:
                held.append(memory.held_bytes)
                await asyncio.sleep(0.01)

        watching = asyncio.create_task(watch())
        calls = [world.call("/sale/x", call_id=f"c-{number}") for number in range(16)]
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        watching.cancel()
        endpoint.stop()
        assert set(statuses) <= {502, 503, 504}
        assert SMALL_ANSWER_BYTES < max(held) <= answers_limit_bytes(MEMORY_BYTES)
        assert memory.held_bytes == 0

    async def test_other_answers_pass_while_bodies_are_endless(self, world: PlatformWorld) -> None:
        endpoint = EndlessEndpoint(
            b"HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\n\r\n", b"x", max_sent_bytes=1 << 30
        )
        world.store.put("servers", "i-1", {**registration(await endpoint.start()), "slots": 16})
        await world.wait_until(world.router.shared_state.directory.all_endpoints)
        calls = [asyncio.create_task(world.call("/sale/x")) for _ in range(16)]
        await asyncio.sleep(0.3)
        world.store.delete("servers", "i-1")
        await world.add_engine("i-2")
        directory = world.router.shared_state.directory
        await world.wait_until(
            lambda: {e.endpoint_id for e in directory.all_endpoints()} == {"i-2"}
        )
        status, _, _ = await world.call("/sale/x", call_id="c-sound")
        await asyncio.gather(*calls)
        endpoint.stop()
        assert status == 200

    async def test_large_sound_answers_arrive_whole(self, world: PlatformWorld) -> None:
        memory = world.router.call_handler._answer_memory
        content = bytes(range(256)) * 4096 * 8

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\n")
            writer.write(b"Content-Length: %d\r\n\r\n" % len(content) + content)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        world.store.put("servers", "i-1", {**registration(address), "slots": 16})
        await world.wait_until(world.router.shared_state.directory.all_endpoints)
        peak_bytes = 0
        for _ in range(2):
            calls = [
                asyncio.create_task(world.call("/text/x", headers={"X-Deadline-Ms": "30000"}))
                for _ in range(12)
            ]
            while not all(call.done() for call in calls):
                peak_bytes = max(peak_bytes, memory.held_bytes)
                await asyncio.sleep(0.005)
            for call in calls:
                status, body, _ = call.result()
                assert (status, body == content) in ((200, True), (504, False))
        server.close()
        assert len(content) <= peak_bytes <= answers_limit_bytes(MEMORY_BYTES)
        assert memory.held_bytes == 0

    @pytest.mark.parametrize(
        ("head", "piece"),
        [
            (b"", b"x"),
            (b"", b"\r\n"),
            (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
            (b"HTTP/1.1 200 ", b"x"),
            (b"HTTP/1.1 200 OK\r\n", b"X-Other: value\r\n"),
            (b"HTTP/1.1 200 OK\r\nX-Other: ", b"x"),
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", b"x"),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1"),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n"),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", b"x"),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Other: x\r\n"),
        ],
        ids=[
            "garbage", "empty lines", "interim answers", "status line", "header lines",
            "header line", "body", "body with a length", "chunk size", "chunks",
            "extension of a chunk", "trailers",
        ],
    )  # fmt: skip
    @pytest.mark.parametrize("method", ["GET", "PUT"])
    async def test_systems_that_are_read_over_http(
        self, method: str, head: bytes, piece: bytes
    ) -> None:
        """The store, the origin and the reports and orders of engines are all read like this."""
        endpoint = EndlessEndpoint(head, piece)
        address = await endpoint.start()
        async with open_session(reuse_connections=True, connect_seconds=1.0) as session:
            caller = HttpCaller(
                session, name="system", base_url=f"http://{address}", timeout_seconds=1.0
            )
            send = partial(caller.read, max_bytes=64 * 1024)
            if method == "PUT":
                send = partial(caller.write, "PUT", data=b"x")
            with pytest.raises(BackendError):
                await send(caller.url("x"))
        endpoint.stop()
        assert endpoint.sent_bytes < MAX_READ_BYTES

    async def test_chunk_of_the_origin_ends_at_its_length(self) -> None:
        endpoint = EndlessEndpoint(b"HTTP/1.1 200 OK\r\n\r\n", b"x")
        address = await endpoint.start()
        async with aiohttp.ClientSession() as session:
            origin = PlatformOrigin(session, address=lambda: address)
            with pytest.raises(MalformedAnswerError, match="more than 4096 bytes"):
                await origin.chunk(
                    ModelName("m"), VersionName("2"), ChunkIndex(0), offset=0, length=4096
                )
        endpoint.stop()

    async def test_agent_reads_an_extension_until_the_time_is_up(self) -> None:
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;"
        endpoint = EndlessEndpoint(head, b"x")
        address = await endpoint.start()
        call = pb.CallOpen(method="POST", path="/v1/completions", content=b"{}")
        async with endpoint_session() as session:
            client = EndpointClient(base_url=f"http://{address}", session=session)
            parts = client.run(
                call, call_id=CallId("c-1"), timeout_seconds=20.0, on_connected=lambda: None
            )
            with pytest.raises(TruncatedAnswerError):
                _ = [part async for part in parts]
        endpoint.stop()
        assert endpoint.sent_bytes < MAX_READ_BYTES

    async def test_chunks_of_one_byte_are_mostly_framing(self, world: PlatformWorld) -> None:
        content = b"1\r\nx\r\n" * 200_000 + b"0\r\n\r\n"

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + content)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        world.store.put("servers", "i-1", registration(address))
        await world.wait_until(world.router.shared_state.directory.all_endpoints)
        status, body, _ = await world.call("/sale/x", headers={"X-Deadline-Ms": "30000"})
        server.close()
        assert (status, len(body)) == (200, 200_000)
