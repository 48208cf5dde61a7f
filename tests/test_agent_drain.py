"""Test that an agent that stops cuts off no call and ends in bounded time."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from egretrouter.core.identifiers import InstanceId
from tests.helpers import wait_until
from tests.scripted_fleet import ScriptedFleet, start_scripted_fleet

ROUTER = InstanceId("router-1")
DRAIN_SECONDS = 10.0


@pytest.fixture
async def fleet() -> AsyncIterator[ScriptedFleet]:
    fleet = await start_scripted_fleet()
    yield fleet
    await fleet.stop()


class TestAgentDrain:
    """Guard against ends of calls that are lost when the agent stops."""

    async def test_a_call_without_credit_ends_at_its_deadline(self, fleet: ScriptedFleet) -> None:
        """An order whose caller had gone waited for credit forever, and so did the drain."""
        request = b"POST /flood HTTP/1.1\r\nHost: x\r\nX-Request-Timeout-Seconds: 1\r\n"
        _, writer = await asyncio.open_connection("127.0.0.1", fleet.router.callers_port)
        writer.write(request + b"Content-Length: 0\r\n\r\n")
        name = await fleet.wait_for_request()
        agent = fleet.agents[name]
        await wait_until(lambda: agent.calls.registry.in_progress == 1)
        writer.close()
        async with asyncio.timeout(DRAIN_SECONDS):
            await agent.drain()
        assert agent.calls.registry.in_progress == 0
        assert sum(agent.calls.calls_per_version.values()) == 0
