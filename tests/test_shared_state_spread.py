"""Test how fast the shared state reaches every process of a fleet, in virtual time."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from egretrouter.backends import StateKind
from egretrouter.core.direct import FleetMember, Revisions
from egretrouter.direct._fleet_service import FleetService
from tests.shared_state_world import SharedStateWorld, build_table
from tests.virtual_network import VirtualLoop, run_virtual

CONFIGURATION_SECONDS = 3.0
"""A confirmed change is in force at every router within this time."""
SMALL_FLEET_SECONDS = 2.0
"""The same in a deployment of some 20 processes."""
SETTLE_SECONDS = 16.0
TAKEOVER_SECONDS = 4.0
LOSS_SECONDS = 6.0
"""Calm after a loss of processes, in which those that are left take over their duties."""
LARGE_ROUTES = 1650
ROUTERS = 24
"""Routers of each zone."""
FEW_ROUTERS = 4

StartFleet = Callable[..., Awaitable[SharedStateWorld]]


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


@pytest.fixture
def large_fleet(monkeypatch: pytest.MonkeyPatch) -> StartFleet:
    async def start(loop: VirtualLoop, *, routes: int = 240) -> SharedStateWorld:
        world = SharedStateWorld(loop, monkeypatch, seed=1)
        world.store.publish(build_table(1, routes=routes))
        await world.start(zones=3, routers=ROUTERS, agents=13)
        await asyncio.sleep(SETTLE_SECONDS)
        return world

    return start


@pytest.fixture
def small_fleet(monkeypatch: pytest.MonkeyPatch) -> StartFleet:
    async def start(loop: VirtualLoop, *, zones: int = 3) -> SharedStateWorld:
        world = SharedStateWorld(loop, monkeypatch, seed=1)
        world.store.publish(build_table(1, routes=240))
        await world.start(zones=zones, routers=FEW_ROUTERS, agents=2)
        await asyncio.sleep(SETTLE_SECONDS)
        return world

    return start


class TestConfigurationSpread:
    """Guard against confirmed changes that are not in force in time in a large fleet."""

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

    def test_listings_of_a_common_start_fill_the_links(self, large_fleet: StartFleet) -> None:
        async def main(loop: VirtualLoop) -> float:
            world = await large_fleet(loop, routes=LARGE_ROUTES)
            return longest_delay_seconds(world, {1: 0.0})

        assert run_virtual(main) <= CONFIGURATION_SECONDS

    @pytest.mark.parametrize("watchers", [1, 3])
    def test_store_does_not_answer_the_watchers(
        self, large_fleet: StartFleet, watchers: int
    ) -> None:
        """Changes stopped while the store answered all processes but those that watched."""

        async def main(loop: VirtualLoop) -> float:
            world = await large_fleet(loop)
            first_routers = world.routers[::ROUTERS]
            world.store.unreachable.update(first_routers[:watchers])
            await asyncio.sleep(TAKEOVER_SECONDS)
            published = await publish_series(
                world, loop, count=5, gap_seconds=3.0, routes=LARGE_ROUTES
            )
            await asyncio.sleep(5.0)
            return longest_delay_seconds(world, published)

        assert run_virtual(main) <= CONFIGURATION_SECONDS


class TestLinkUse:
    """Guard against a large configuration that takes the links from calls and weights."""

    MEASURE_SECONDS = 10.0
    # A tenth of the link for listings, and the datagrams beside them.
    LARGEST_SHARE = 0.13

    def test_polls_of_a_large_configuration_fill_a_link_between_regions(
        self, large_fleet: StartFleet
    ) -> None:
        async def main(loop: VirtualLoop) -> float:
            world = await large_fleet(loop, routes=LARGE_ROUTES)
            link = world.network.region_link("r0", "r1")
            before = link.sent_bytes
            await asyncio.sleep(self.MEASURE_SECONDS)
            used_bits = (link.sent_bytes - before) * 8
            return used_bits / self.MEASURE_SECONDS / link.bits_per_second

        assert run_virtual(main) <= self.LARGEST_SHARE

    def test_every_process_fetches_a_change_from_another_region(
        self, large_fleet: StartFleet
    ) -> None:
        async def main(loop: VirtualLoop) -> int:
            world = await large_fleet(loop)
            before = world.remote_fetches
            await publish_series(world, loop, count=1, gap_seconds=5.0, routes=LARGE_ROUTES)
            return world.remote_fetches - before

        zones = 3
        assert run_virtual(main) <= zones


class TestSeriesOfChanges:
    """Guard against a call of each watcher for each change of a series."""

    def test_changes_of_a_series_are_answered_together(self, small_fleet: StartFleet) -> None:
        async def main(loop: VirtualLoop) -> tuple[int, float]:
            world = await small_fleet(loop)
            before = world.store.watches
            published = await publish_series(world, loop, count=30, gap_seconds=0.08, routes=240)
            watches = world.store.watches - before
            await asyncio.sleep(4.0)
            return watches, longest_delay_seconds(world, published)

        zones = 3
        watches, delay_seconds = run_virtual(main)
        assert watches <= 30 * zones / 2
        assert delay_seconds <= CONFIGURATION_SECONDS


class TestListingTurns:
    """Guard against listings whose number grows with zones, and against none at all."""

    MEASURE_SECONDS = 10.0

    def test_one_zone_lists_for_all(self, small_fleet: StartFleet) -> None:
        async def main(loop: VirtualLoop) -> Counter[str]:
            world = await small_fleet(loop)
            before = world.store.listings.copy()
            await asyncio.sleep(self.MEASURE_SECONDS)
            return world.store.listings - before

        listings = run_virtual(main)
        assert self.MEASURE_SECONDS / 2 <= listings.total() <= 1.2 * self.MEASURE_SECONDS

    def test_others_list_while_the_store_does_not_answer_the_first_zone(
        self, small_fleet: StartFleet
    ) -> None:
        async def main(loop: VirtualLoop) -> Counter[str]:
            world = await small_fleet(loop)
            world.store.unreachable.update(world.routers[:FEW_ROUTERS])
            await asyncio.sleep(TAKEOVER_SECONDS)
            before = world.store.listings.copy()
            await asyncio.sleep(self.MEASURE_SECONDS)
            return world.store.listings - before

        listings = run_virtual(main)
        answered = sum(count for address, count in listings.items() if address[:5] != "10.0.")
        assert answered >= self.MEASURE_SECONDS / 2

    @pytest.mark.parametrize("zone", [0, 1, 2])
    def test_change_that_a_watch_misses_is_found(self, small_fleet: StartFleet, zone: int) -> None:
        async def main(loop: VirtualLoop) -> float:
            world = await small_fleet(loop)
            world.store.silent_watches.update(
                world.routers[zone * FEW_ROUTERS : (zone + 1) * FEW_ROUTERS]
            )
            await asyncio.sleep(TAKEOVER_SECONDS * 3)
            published = await publish_series(world, loop, count=2, gap_seconds=5.0, routes=240)
            return longest_delay_seconds(world, published)

        assert run_virtual(main) <= CONFIGURATION_SECONDS

    def test_all_watches_miss_a_change(self, small_fleet: StartFleet) -> None:
        async def main(loop: VirtualLoop) -> float:
            world = await small_fleet(loop)
            world.store.silent_watches.update(world.routers)
            await asyncio.sleep(TAKEOVER_SECONDS * 3)
            published = await publish_series(world, loop, count=2, gap_seconds=5.0, routes=240)
            return longest_delay_seconds(world, published)

        assert run_virtual(main) <= CONFIGURATION_SECONDS

    def test_nothing_is_passed_on_while_no_names_are_known(
        self, small_fleet: StartFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        passed_on: list[FleetService] = []
        monkeypatch.setattr(FleetService, "greet_zone", lambda fleet: passed_on.append(fleet) or 0)

        async def main(loop: VirtualLoop) -> None:
            await small_fleet(loop)

        run_virtual(main)
        assert passed_on == []


class TestLastRouterOfItsZone:
    """Guard against routers that, left alone in their zones, apply no configuration any more."""

    @pytest.mark.parametrize("agents_left", [0, 2])
    def test_changes_are_in_force_after_the_others_are_lost(
        self, small_fleet: StartFleet, agents_left: int
    ) -> None:
        async def main(loop: VirtualLoop) -> float:
            world = await small_fleet(loop)
            agents = [address for address in world.states if address not in world.routers]
            if not agents_left:
                world.lose(agents)
            last_routers = world.routers[FEW_ROUTERS - 1 :: FEW_ROUTERS]
            world.lose([router for router in world.routers if router not in last_routers])
            await asyncio.sleep(LOSS_SECONDS)
            published = await publish_series(world, loop, count=4, gap_seconds=6.0, routes=240)
            return longest_delay_seconds(world, published)

        assert run_virtual(main) <= CONFIGURATION_SECONDS


class TestStandIns:
    """Guard against a zone that waits for a watcher which answers probes and watches no more."""

    MEASURE_SECONDS = 10.0
    CALLS_PER_SECOND = 10
    """What a zone of any size may ask of a store that does not answer."""

    @pytest.mark.parametrize("stuck", [1, 3])
    @pytest.mark.parametrize("zones", [1, 3])
    def test_changes_are_in_force_while_watchers_are_stuck(
        self, small_fleet: StartFleet, zones: int, stuck: int
    ) -> None:
        async def main(loop: VirtualLoop) -> float:
            world = await small_fleet(loop, zones=zones)
            first_routers = [r for r in world.routers if int(r.rpartition(".")[2]) < stuck]
            world.store.stuck.update(first_routers)
            await asyncio.sleep(LOSS_SECONDS)
            published = await publish_series(world, loop, count=5, gap_seconds=4.0, routes=240)
            return longest_delay_seconds(world, published)

        assert run_virtual(main) <= CONFIGURATION_SECONDS

    @pytest.mark.known_red
    @pytest.mark.parametrize("seed", range(1, 9))
    def test_changes_are_late_just_after_most_processes_are_lost(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ) -> None:
        """News reaches the few that are left rarely while their tables are full of lost ones."""

        async def main(loop: VirtualLoop) -> float:
            kinds = (StateKind.CONFIGURATION, StateKind.WEIGHTS)
            world = SharedStateWorld(loop, monkeypatch, seed=seed, kinds=kinds)
            world.store.publish(build_table(1, routes=240))
            await world.start(zones=3, routers=5, agents=2)
            await asyncio.sleep(SETTLE_SECONDS)
            left = [router for router in world.routers if router[-1] in "34"]
            world.lose([address for address in world.states if address not in left])
            await asyncio.sleep(3.0)
            published = await publish_series(world, loop, count=4, gap_seconds=2.5, routes=240)
            return longest_delay_seconds(world, published)

        assert run_virtual(main) <= SMALL_FLEET_SECONDS

    def test_one_process_of_each_zone_stands_in(self, large_fleet: StartFleet) -> None:
        async def main(loop: VirtualLoop) -> tuple[float, Counter[str]]:
            world = await large_fleet(loop)
            world.store.stuck.update(world.routers[::ROUTERS])
            await asyncio.sleep(LOSS_SECONDS)
            before = world.store.listings.copy()
            published = await publish_series(world, loop, count=5, gap_seconds=4.0, routes=240)
            listings = world.store.listings - before
            return longest_delay_seconds(world, published), listings

        zones = 3
        delay_seconds, listings = run_virtual(main)
        assert delay_seconds <= CONFIGURATION_SECONDS
        assert listings.total() <= 1.2 * zones * 20

    def test_nobody_stands_in_for_a_watcher_that_lists(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def main(loop: VirtualLoop) -> Counter[str]:
            kinds = (StateKind.CONFIGURATION, StateKind.WEIGHTS)
            world = SharedStateWorld(loop, monkeypatch, seed=1, kinds=kinds)
            world.store.publish(build_table(1, routes=240))
            await world.start(zones=3, routers=ROUTERS, agents=13)
            await asyncio.sleep(SETTLE_SECONDS)
            before = world.store.listings.copy()
            await asyncio.sleep(self.MEASURE_SECONDS)
            return world.store.listings - before

        assert len(run_virtual(main)) == 1

    @pytest.mark.parametrize("routers", [FEW_ROUTERS, ROUTERS])
    def test_calls_to_a_store_that_is_away_do_not_grow_with_the_zone(
        self, monkeypatch: pytest.MonkeyPatch, routers: int
    ) -> None:
        zones = 3

        async def main(loop: VirtualLoop) -> int:
            kinds = (StateKind.CONFIGURATION, StateKind.WEIGHTS)
            world = SharedStateWorld(loop, monkeypatch, seed=1, kinds=kinds)
            world.store.publish(build_table(1, routes=240))
            await world.start(zones=zones, routers=routers, agents=2)
            await asyncio.sleep(SETTLE_SECONDS)
            world.store.unreachable.update(world.states)
            before = world.store.listings.total()
            await asyncio.sleep(self.MEASURE_SECONDS)
            return world.store.listings.total() - before

        assert run_virtual(main) <= zones * self.CALLS_PER_SECOND * self.MEASURE_SECONDS


class TestOneKindFails:
    """Guard against a kind that can't be listed and hides what watches of the others missed."""

    def test_endpoints_are_listed_while_the_configuration_is_malformed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        listed: Counter[StateKind] = Counter()

        async def main(loop: VirtualLoop) -> None:
            kinds = (StateKind.CONFIGURATION, StateKind.ENDPOINTS)
            world = SharedStateWorld(loop, monkeypatch, seed=1, kinds=kinds)
            world.store.publish(build_table(1, routes=10))
            await world.start(zones=1, routers=2, agents=1)
            await asyncio.sleep(SETTLE_SECONDS)
            world.store.malformed_kinds.add(StateKind.CONFIGURATION)
            for state in world.states.values():
                apply = state.apply_listing

                def count(kind: StateKind, *values: Any, apply: Any = apply, **named: Any) -> None:
                    listed[kind] += 1
                    apply(kind, *values, **named)

                monkeypatch.setattr(state, "apply_listing", count)
            await asyncio.sleep(10.0)

        run_virtual(main)
        assert listed[StateKind.ENDPOINTS] >= 3


class TestLateNews:
    """Guard against zones that rely on listings of which they hear long after."""

    def test_zone_whose_news_come_late_lists_for_itself(self, small_fleet: StartFleet) -> None:
        async def main(loop: VirtualLoop) -> Counter[str]:
            world = await small_fleet(loop)
            late = world.routers[FEW_ROUTERS : 2 * FEW_ROUTERS]
            fleets = [world.fleets[address] for address in late]
            for fleet in fleets:
                delay_greetings(loop, fleet, seconds=4.0)
            await asyncio.sleep(8.0)
            before = world.store.listings.copy()
            await asyncio.sleep(10.0)
            return world.store.listings - before

        listings = run_virtual(main)
        assert sum(count for address, count in listings.items() if address[:5] == "10.1.") >= 3


def delay_greetings(loop: VirtualLoop, fleet: FleetService, *, seconds: float) -> None:
    """Let a process hear of its peers' state some seconds late."""
    prompt = list(fleet.on_revisions)

    def pass_on_late(peer: FleetMember, revisions: Revisions) -> None:
        for on_revisions in prompt:
            loop.call_later(seconds, on_revisions, peer, revisions)

    fleet.on_revisions[:] = [pass_on_late]
