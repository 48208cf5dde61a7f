"""Test what becomes of requests that a router reads between SIGTERM and its end."""

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any

import pytest

from egretrouter.core.calls import ClaimShard, ClaimStatus
from tests.helpers import wait_until
from tests.scripted_fleet import ScriptedFleet, start_scripted_fleet
from tests.scripted_service import EVENTS, LARGE

AFTER_LEAVE_SECONDS = 1.5
END_SECONDS = 10.0
ORDER = b"POST /stream HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n"


@pytest.fixture
async def fleet() -> AsyncIterator[ScriptedFleet]:
    fleet = await start_scripted_fleet()
    yield fleet
    await fleet.stop()


class Caller:
    """Send bytes over one connection to the router, and read what comes back."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, fleet: ScriptedFleet, *, limit_bytes: int = 2**16) -> "Caller":
        port = fleet.router.callers_port
        return cls(*await asyncio.open_connection("127.0.0.1", port, limit=limit_bytes))

    async def read_to_end(self) -> bytes:
        """Return all bytes until the router closes the connection."""
        try:
            async with asyncio.timeout(END_SECONDS):
                return await self.reader.read()
        finally:
            self.writer.close()

    async def get(self, path: bytes) -> bytes:
        """Return the response to a request on a connection that stays open."""
        self.writer.write(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
        return head + await self.reader.readexactly(length)


def is_refused(response: bytes) -> bool:
    """Return whether a response says that the call did not run, and closes the connection."""
    head = response.partition(b"\r\n\r\n")[0].lower()
    return (
        head.startswith(b"http/1.1 503")
        and b"connection: close" in head
        and b'"not_run"' in response
    )


class TestRouterDrain:
    """Guard against whole requests that get neither an answer nor a refusal around SIGTERM."""

    async def test_the_drain_waits_for_a_body_that_arrives(self, fleet: ScriptedFleet) -> None:
        """A request counted as open only after its body, so the router stopped before its end."""
        caller = await Caller.connect(fleet)
        caller.writer.write(ORDER + b"a")
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(fleet.router.drain())
        await asyncio.sleep(AFTER_LEAVE_SECONDS)
        assert not drain.done()
        caller.writer.write(b"b")
        await drain
        await fleet.router.stop()
        response = await caller.read_to_end()
        assert response.startswith(b"HTTP/1.1 200")
        assert response.endswith(b"0\r\n\r\n")

    async def test_a_refusal_closes_the_connection(self, fleet: ScriptedFleet) -> None:
        """Callers went on using kept connections until the router closed them unanswered."""
        caller = await Caller.connect(fleet)
        await caller.get(b"/healthz")
        drain = asyncio.create_task(fleet.router.drain())
        await asyncio.sleep(0)
        caller.writer.write(ORDER + b"ab")
        assert is_refused(await caller.read_to_end())
        assert b"Connection: close" in await (await Caller.connect(fleet)).get(b"/readyz")
        await drain

    async def test_a_request_that_arrives_at_the_end_of_the_drain_is_refused(
        self, fleet: ScriptedFleet
    ) -> None:
        """The rest of a request came while the router closed its connections, and was dropped."""
        callers = [await Caller.connect(fleet) for _ in range(3)]
        for caller in callers:
            await caller.get(b"/healthz")
        drain = asyncio.create_task(fleet.router.drain())
        await asyncio.sleep(AFTER_LEAVE_SECONDS / 2)
        for caller in callers:
            caller.writer.write(ORDER[:20])
        await asyncio.sleep(AFTER_LEAVE_SECONDS / 2)
        for caller in callers:
            caller.writer.write(ORDER[20:] + b"ab")
        await drain
        await fleet.router.stop()
        assert all([is_refused(await caller.read_to_end()) for caller in callers])
        assert fleet.total("requests") == 0

    async def test_a_second_signal_gives_open_calls_an_outcome(self, fleet: ScriptedFleet) -> None:
        """Calls in progress were cut without an answer by the second SIGTERM."""
        stream, order = await Caller.connect(fleet), await Caller.connect(fleet)
        stream.writer.write(b"GET /gated HTTP/1.1\r\nHost: x\r\n\r\n")
        await stream.reader.readuntil(EVENTS[2])
        order.writer.write(b"POST /hangs HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        await wait_until(lambda: fleet.total("requests") == 2)
        drain = asyncio.create_task(fleet.router.drain())
        await asyncio.sleep(0.1)
        await fleet.router.stop_at_once()
        drain.cancel()
        content = await stream.read_to_end()
        assert b"event: error" in content
        assert b'"unknown"' in content
        response = await order.read_to_end()
        assert response.startswith(b"HTTP/1.1 502")
        assert b"router-stopping" in response
        assert b'"unknown"' in response

    async def test_an_operator_does_not_delay_the_stop(self, fleet: ScriptedFleet) -> None:
        """A request without its whole body held the stop for 10 s, and a slow reader for longer."""
        port = fleet.router.operators_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        async with asyncio.timeout(END_SECONDS / 2):
            await fleet.router.stop()
        writer.close()

    async def test_the_drain_waits_until_an_answer_is_sent(self, fleet: ScriptedFleet) -> None:
        """A response counted as answered while its end was still in the router's memory."""
        caller = await Caller.connect(fleet, limit_bytes=1024)
        await caller.get(b"/healthz")
        (connection,) = fleet.router._callers_server.callers
        assert connection.transport is not None
        sending = connection.transport.get_extra_info("socket")
        sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection.transport.set_write_buffer_limits(high=2 * len(LARGE))
        caller.writer.write(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
        first = await caller.reader.readexactly(1)
        drain = asyncio.create_task(fleet.router.drain())
        await asyncio.sleep(AFTER_LEAVE_SECONDS)
        assert fleet.router.handler.idle.is_set()
        assert not drain.done()
        response = first + await caller.read_to_end()
        assert response.endswith(LARGE)
        await drain

    async def test_a_body_holds_the_drain_no_longer_than_a_call_may_take(
        self, fleet: ScriptedFleet
    ) -> None:
        """The caller's own deadline bounded the wait for its body, whatever it was."""
        handler = fleet.router.handler
        handler._limits = handler._limits.model_copy(update={"max_body_seconds": 0.5})
        caller = await Caller.connect(fleet)
        caller.writer.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
            b"X-Request-Timeout-Seconds: 1000000\r\n\r\n{"
        )
        await asyncio.sleep(0.1)
        async with asyncio.timeout(END_SECONDS):
            await fleet.router.drain()
        assert (await caller.read_to_end()).startswith(b"HTTP/1.1 408")

    async def test_the_drain_waits_until_the_ends_of_claims_are_stored(
        self, fleet: ScriptedFleet
    ) -> None:
        """The end of a keyed call was dropped, so a repeated request found it in progress."""
        caller = await Caller.connect(fleet)
        caller.writer.write(
            ORDER.replace(b"/stream", b"/hangs")[:-2] + b"Idempotency-Key: k\r\n\r\nab"
        )
        name = await fleet.wait_for_request()
        claims, gate = fleet.router.claims, asyncio.Event()
        put = claims._store.put

        async def put_later(*arguments: Any, **options: Any) -> Any:
            await gate.wait()
            return await put(*arguments, **options)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(claims._store, "put", put_later)
            fleet.services_by_name()[name].gate.set()
            drain = asyncio.create_task(fleet.router.drain())
            assert (await caller.read_to_end()).startswith(b"HTTP/1.1 200")
            await asyncio.sleep(AFTER_LEAVE_SECONDS)
            assert not drain.done()
            gate.set()
            await drain
        (key,) = [k for k in fleet.object_api._objects if k.count("/") == 1 and "claims/" in k]
        shard = ClaimShard.from_bytes((await claims._store.get(key)).content)
        assert [entry.status for entry in shard.entries.values()] == [ClaimStatus.FINISHED]
