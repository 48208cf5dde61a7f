"""Test engines that name a limit for all routers together."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from tests.helpers import wait_until
from tests.platform_fleet import PlatformFleet

LIMIT_PER_SECOND = 1.0
WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
CALLS = 90
CALL_INTERVAL_SECONDS = 0.03


@pytest.fixture
async def fleet() -> AsyncIterator[PlatformFleet]:
    opened = PlatformFleet()
    await opened.start(engines=2)
    yield opened
    await opened.stop()


async def call_all(fleet: PlatformFleet, calls: int) -> list[int]:
    """Make calls through all routers in turn and return their statuses."""
    tasks = []
    for number in range(calls):
        router = number % len(fleet.routers)
        tasks.append(asyncio.create_task(fleet.call(router, parts=[])))
        await asyncio.sleep(CALL_INTERVAL_SECONDS)
    return [answer.status for answer in await asyncio.gather(*tasks)]


class TestNamedLimit:
    """Guard against engines that get more than the limit that they named."""

    async def test_routers_together_exceed_the_limit_that_an_engine_named(
        self, fleet: PlatformFleet
    ) -> None:
        limited = fleet.engines[0]
        limited.limit_per_second = LIMIT_PER_SECOND
        await call_all(fleet, 6)
        statuses = await call_all(fleet, CALLS)
        assert limited.most_in_window(WINDOW_SECONDS) <= ALLOWED
        assert set(statuses) == {200}

    async def test_started_router_exceeds_the_limit(self, fleet: PlatformFleet) -> None:
        limited = fleet.engines[0]
        limited.limit_per_second = LIMIT_PER_SECOND
        await call_all(fleet, CALLS // 3)
        for _ in range(3):
            await fleet.start_router()
            await call_all(fleet, CALLS // 3)
        assert limited.most_in_window(WINDOW_SECONDS) <= ALLOWED

    async def test_limit_that_is_no_longer_named_goes_on(self, fleet: PlatformFleet) -> None:
        limited = fleet.engines[0]
        limited.limit_per_second = LIMIT_PER_SECOND
        await call_all(fleet, CALLS // 3)
        limited.limit_per_second = None
        before = len(limited.requests)

        async def is_used_freely() -> bool:
            await call_all(fleet, 6)
            return len(limited.requests) - before > ALLOWED

        while not await is_used_freely():
            pass

    async def test_limit_outlives_the_engine_that_named_it(self, fleet: PlatformFleet) -> None:
        limited = fleet.engines[0]
        limited.limit_per_second = LIMIT_PER_SECOND
        await call_all(fleet, CALLS // 3)
        limited.crash()
        await fleet.wait_until_recovered()
        await call_all(fleet, CALLS // 3)
        await wait_until(lambda: len(fleet.engines) == 2)
        assert len(fleet.engines[-1].requests) > LIMIT_PER_SECOND * WINDOW_SECONDS
