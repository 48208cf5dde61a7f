"""Test endpoints whose answers never get to their content."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from egretrouter.core.identifiers import CallId
from egretrouter.daemons._endpoint import (
    EndpointClient,
    TruncatedAnswerError,
    endpoint_session,
)
from egretrouter.protocol import egretrouter_pb2 as pb
from tests.platform_standins import registration
from tests.platform_world import PlatformWorld

PIECE_BYTES = 16 * 1024
MAX_SENT_BYTES = 64 * 1024 * 1024
"""What the endpoint sends at most, so that a failing test ends."""
MAX_READ_BYTES = 8 * 1024 * 1024
"""What a router may read of such an answer, with what the sockets hold."""
HEAD = b"HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\nX-Attempt-Id: c-1\r\n"


class EndlessEndpoint:
    """Send a head and then the same bytes over and over."""

    def __init__(self, head: bytes, piece: bytes) -> None:
        self.sent_bytes = 0
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
            while self.sent_bytes < MAX_SENT_BYTES:
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
