"""Test routers as processes of their own, started as the platform starts them."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.platform_fleet import PlatformFleet
from tests.router_processes import RouterProcesses

ROUTERS = 3
CRASHING, SHARED, OTHER = "bad0", "c0de", "fee1"
MAX_CRASHES = 5
LIMIT_PER_SECOND = 1.0
WINDOW_SECONDS = 4.0


@pytest.fixture
async def routers(tmp_path: Path) -> AsyncIterator[RouterProcesses]:
    fleet = PlatformFleet()
    await fleet.start(routers=0)
    opened = RouterProcesses(fleet, tmp_path)
    await asyncio.gather(*(opened.start(number) for number in range(1, ROUTERS + 1)))
    yield opened
    await opened.stop()
    await fleet.stop()


class TestRouterProcesses:
    """Guard against what only shows between processes, and when one of them starts again."""

    async def test_restarted_router_forgets_held_parts(self, routers: RouterProcesses) -> None:
        fleet = routers.fleet
        fleet.let_part_crash(CRASHING)
        for call in range(6):
            await routers.call(call % ROUTERS + 1, parts=[f"{call:04x}", CRASHING])
            await routers.call(call % ROUTERS + 1, parts=[OTHER])
        assert fleet.crashed <= MAX_CRASHES
        crashed = fleet.crashed
        for number in (1, 2):
            await routers.kill(number)
        await asyncio.gather(routers.start(1), routers.start(2))
        for number in range(1, ROUTERS + 1):
            await routers.call(number, parts=[OTHER])
            assert await routers.call(number, parts=[SHARED, CRASHING]) == 503
        assert fleet.crashed == crashed

    async def test_restarted_router_exceeds_a_named_limit(self, routers: RouterProcesses) -> None:
        limited = routers.fleet.engines[0]
        limited.limit_per_second = LIMIT_PER_SECOND
        for round_number in range(3):
            for call in range(120):
                await routers.call(call % ROUTERS + 1, parts=[])
            if round_number < 2:
                await routers.kill(round_number + 1)
                await routers.start(round_number + 1)
        allowed = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
        assert limited.most_in_window(WINDOW_SECONDS) <= allowed
