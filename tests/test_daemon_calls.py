"""Test calls through a real router and real agents over loopback."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from egretrouter.core.identifiers import ServiceName
from egretrouter.core.routing import CallEnded, CallFailed, CallSent
from egretrouter.daemons._call_driver import WINDOW_BYTES
from egretrouter.daemons._caller_stream import MAX_BUFFERED_ANSWER_BYTES
from egretrouter.daemons._requests import DEADLINE_HEADER
from tests.helpers import wait_until
from tests.scripted_fleet import ScriptedFleet, read_raw, start_scripted_fleet
from tests.scripted_service import EVENTS, LARGE


@pytest.fixture
async def fleet() -> AsyncIterator[ScriptedFleet]:
    fleet = await start_scripted_fleet()
    yield fleet
    await fleet.stop()


async def read_until_truncated(response: aiohttp.ClientResponse) -> bytes:
    """Return the data received before the answer breaks off; fail if it ends cleanly."""
    received = b""
    try:
        async for data in response.content.iter_any():
            received += data
    except aiohttp.ClientPayloadError:
        return received
    raise AssertionError("the answer ended cleanly")


class TestStreaming:
    """Guard against answers that are delayed, truncated or framed wrongly."""

    async def test_events_arrive_before_the_answer_ends(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        async with session.get(f"{fleet.url}/gated") as response:
            first = await response.content.readexactly(len(b"".join(EVENTS[:3])))
            assert first == b"".join(EVENTS[:3])
            for service in fleet.services_by_name().values():
                service.gate.set()
            assert await response.read() == b"".join(EVENTS[3:])

    async def test_large_buffered_answer_gets_credit(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        """Guard against a deadlock of a buffered answer that is larger than the credit window."""
        assert WINDOW_BYTES < len(LARGE) <= MAX_BUFFERED_ANSWER_BYTES
        async with session.get(f"{fleet.url}/large") as response:
            assert await response.read() == LARGE

    async def test_http_1_0_caller_gets_plain_bytes(self, fleet: ScriptedFleet) -> None:
        content = await read_raw(fleet, b"GET /stream HTTP/1.0\r\nHost: x\r\n\r\n")
        head, _, body = content.partition(b"\r\n\r\n")
        assert b"transfer-encoding" not in head.lower()
        assert body == b"".join(EVENTS)

    async def test_link_that_breaks_is_resumed(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        """Guard against bytes that are lost or repeated when a link is resumed."""
        async with session.get(f"{fleet.url}/gated") as response:
            first = await response.content.readexactly(len(EVENTS[0]))
            name = await fleet.wait_for_request()
            links = fleet.agents[name].calls._links
            broken = next(iter(links.values()))
            broken.close()
            fleet.services_by_name()[name].gate.set()
            await wait_until(lambda: bool(links) and next(iter(links.values())) is not broken)
            assert first + await response.read() == b"".join(EVENTS)
        assert fleet.total("requests") == 1

    async def test_first_event_is_counted_while_the_answer_streams(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        """Guard against a concurrency limit that ignores the first tokens of open streams."""
        admissions = fleet.router.handler._admissions._admissions
        admission = admissions[ServiceName("scripted")]
        concurrency, waits = admission._concurrency, []
        record = concurrency.record_first_token
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                concurrency,
                "record_first_token",
                lambda **wait: (waits.append(wait), record(**wait)),
            )
            async with session.get(f"{fleet.url}/gated") as response:
                await response.content.readexactly(len(EVENTS[0]))
                assert len(waits) == 1


class TestFailures:
    """Guard against failures that look like complete answers or are reported too late."""

    async def test_endpoint_that_dies_before_its_answer_is_replaced_and_reported(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        """Guard against a selector that receives a failure only after its next choice."""
        message_types: list[Any] = []
        handle = fleet.router.selector.handle

        def record(message: Any, **time: Any) -> Any:
            message_types.append(type(message))
            return handle(message, **time)

        fleet.router.selector.handle = record  # type: ignore[method-assign]
        for _ in range(20):
            # Each call adds to the budget that a retry spends.
            async with session.get(f"{fleet.url}/stream") as response:
                await response.read()
        failing = next(iter(fleet.services_by_name().values()))
        failing.fails = True
        while not failing.deaths:
            message_types.clear()
            async with session.get(f"{fleet.url}/dies-before") as response:
                assert await response.read() == b"".join(EVENTS)
        call_messages = [k for k in message_types if k in (CallSent, CallFailed, CallEnded)]
        assert call_messages == [CallSent, CallFailed, CallSent, CallEnded]

    @pytest.mark.parametrize("path", ["dies-at-head", "dies-after"])
    async def test_endpoint_that_dies_in_its_answer_ends_it_with_an_error(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession, path: str
    ) -> None:
        """Guard against a truncated stream that ends like a complete one."""
        for service in fleet.services_by_name().values():
            service.fails = True
        async with session.get(f"{fleet.url}/{path}") as response:
            received = await read_until_truncated(response)
        assert b"event: error" in received
        assert b"unknown" in received

    async def test_agent_that_dies_ends_its_streams_with_an_error(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        """Guard against a caller that keeps waiting for a stopped agent."""
        async with session.get(f"{fleet.url}/gated") as response:
            await response.content.readexactly(len(EVENTS[0]))
            name = await fleet.wait_for_request()
            await fleet.agents.pop(name).stop()
            received = await read_until_truncated(response)
        assert b"event: error" in received
        assert fleet.total("requests") == 1


class TestCallers:
    """Guard against callers that cost other callers memory, time or work."""

    async def test_slow_caller_is_bounded_and_delays_no_other(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        """Guard against memory that grows with the data that a caller does not read."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fleet.router.callers_port, limit=1024
        )
        writer.write(b"GET /flood HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readexactly(1)
        for _ in range(10):
            async with session.get(f"{fleet.url}/stream") as response:
                assert await response.read() == b"".join(EVENTS)
        protocols = fleet.router._runners[-1].server.connections
        sizes = [p.transport.get_write_buffer_size() for p in protocols if p.transport]
        assert 0 < max(sizes) < 2 * WINDOW_BYTES + len(LARGE)
        assert fleet.total("sent_bytes") < 32 * len(LARGE)
        writer.transport.abort()
        await wait_until(lambda: fleet.router.handler.open_calls == 0)
        await wait_until(lambda: fleet.total("cancelled") == 1)

    async def test_slow_body_outlasts_the_deadline_of_its_call(self, fleet: ScriptedFleet) -> None:
        caller_left = asyncio.Event()

        async def body() -> AsyncIterator[bytes]:
            yield b"begun"
            await caller_left.wait()

        headers = {DEADLINE_HEADER: "0.3"}
        async with asyncio.timeout(5.0), aiohttp.ClientSession() as session:
            response = await session.post(f"{fleet.url}/x", data=body(), headers=headers)
            problem = await response.json(content_type=None)
        caller_left.set()
        assert (response.status, problem["outcome"]) == (408, "not_run")
        assert fleet.total("requests") == 0

    async def test_disconnected_caller_cancels_its_call_at_the_endpoint(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        """Guard against running a call whose caller has disconnected."""
        async with session.get(f"{fleet.url}/gated") as response:
            await response.content.readexactly(len(EVENTS[0]))
            response.close()
        await wait_until(lambda: fleet.total("cancelled") == 1)
        assert fleet.router.handler.open_calls == 0

    async def test_a_caller_may_wait_for_100_continue(self, fleet: ScriptedFleet) -> None:
        """Guard against callers that never send their body, as no response asks for it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.router.callers_port)
        head = b"POST /stream HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: %s\r\n\r\n"
        writer.write(head % b"100-continue")
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"ab")
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
        writer.close()
        refusal = await read_raw(
            fleet, head.replace(b"1.1\r\n", b"1.1\r\nConnection: close\r\n") % b"x"
        )
        assert refusal.startswith(b"HTTP/1.1 417")

    async def test_a_body_up_to_the_limit_is_read(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        """Guard against the server's own limit of 1 MiB, which is below the router's."""
        limit = fleet.router.router_settings.limits.max_body_bytes
        async with session.post(f"{fleet.url}/stream", data=bytes(limit)) as response:
            assert (response.status, await response.read()) == (200, b"".join(EVENTS))
        async with session.post(f"{fleet.url}/stream", data=bytes(limit + 1)) as response:
            assert response.status == 413

    async def test_a_connection_above_the_limit_is_refused_and_closed(
        self, fleet: ScriptedFleet, session: aiohttp.ClientSession
    ) -> None:
        """Guard against refused callers that keep their connections above the limit."""
        handler = fleet.router.handler
        handler._limits = handler._limits.model_copy(update={"max_connections": 1})
        async with session.get(f"{fleet.url}/stream") as response:
            assert (response.status, await response.read()) == (200, b"".join(EVENTS))
        refusal = await read_raw(fleet, b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")
        assert refusal.startswith(b"HTTP/1.1 503")
        assert b"connection: close" in refusal.lower()
        async with session.get(f"{fleet.url}/stream") as response:
            assert response.status == 200
