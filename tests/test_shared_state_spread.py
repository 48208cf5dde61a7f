"""Test how fast the shared state reaches every process of a fleet, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.shared_state_world import SharedStateWorld, build_table
from tests.virtual_network import VirtualLoop, run_virtual

CONFIGURATION_SECONDS = 3.0
"""A confirmed change is in force at every router within this time."""
SETTLE_SECONDS = 16.0
LARGE_ROUTES = 1650

StartFleet = Callable[[VirtualLoop], Awaitable[SharedStateWorld]]


async def publish_series(
    world: SharedStateWorld, loop: VirtualLoop, *, count: int, gap_seconds: float, routes: int
) -> dict[int, float]:
    """Publish versions one after another and return when each was acknowledged."""
    published = {}
    for _ in range(count):
        version = world.store.tables[-1][1].version + 1
        world.store.publish(build_table(version, routes=routes))
        published[version] = loop.time()
        await asyncio.sleep(gap_seconds)
    return published


def longest_delay_seconds(world: SharedStateWorld, published: dict[int, float]) -> float:
    """Return the longest time from a version's acknowledgement to its use at the last router."""
    return max(world.in_force_seconds(version)[-1] - when for version, when in published.items())


class TestConfigurationSpread:
    """Guard against confirmed changes that are not in force in time in a large fleet."""

    @pytest.fixture
    def large_fleet(self, monkeypatch: pytest.MonkeyPatch) -> StartFleet:
        async def start(loop: VirtualLoop) -> SharedStateWorld:
            world = SharedStateWorld(loop, monkeypatch, seed=1)
            world.store.publish(build_table(1, routes=240))
            await world.start(zones=3, routers=24, agents=13)
            await asyncio.sleep(SETTLE_SECONDS)
            return world

        return start

    def test_large_configuration_is_late_in_a_large_fleet(self, large_fleet: StartFleet) -> None:
        async def main(loop: VirtualLoop) -> float:
            world = await large_fleet(loop)
            published = await publish_series(
                world, loop, count=1, gap_seconds=10.0, routes=LARGE_ROUTES
            )
            return longest_delay_seconds(world, published)

        assert run_virtual(main) <= CONFIGURATION_SECONDS

    def test_watch_falls_behind_a_series_of_large_changes(self, large_fleet: StartFleet) -> None:
        async def main(loop: VirtualLoop) -> float:
            world = await large_fleet(loop)
            published = await publish_series(
                world, loop, count=30, gap_seconds=0.1, routes=LARGE_ROUTES
            )
            await asyncio.sleep(12.0)
            return longest_delay_seconds(world, published)

        assert run_virtual(main) <= CONFIGURATION_SECONDS

    def test_listings_of_a_common_start_fill_the_links(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def main(loop: VirtualLoop) -> float:
            world = SharedStateWorld(loop, monkeypatch, seed=1)
            world.store.publish(build_table(1, routes=LARGE_ROUTES))
            await world.start(zones=3, routers=24, agents=13)
            await asyncio.sleep(SETTLE_SECONDS)
            return longest_delay_seconds(world, {1: 0.0})

        assert run_virtual(main) <= CONFIGURATION_SECONDS
