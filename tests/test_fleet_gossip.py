"""Test what the processes of a large fleet know of each other."""

import pytest

from egretrouter.core.direct import FleetRole, MemberHealth
from egretrouter.core.identifiers import InstanceId
from tests.fleet_world import STARTED_MS, FleetWorld

SETTLE_SECONDS = 10.0
DETECTION_SECONDS = 5.0
CONTROL_BYTES_PER_SECOND = 16 * 1024
FIRST_ROUTER = InstanceId("router-z0-000")


def large_fleet(*, seed: int = 1) -> FleetWorld:
    world = FleetWorld(zones=3, routers=24, agents=13, seed=seed)
    world.run(SETTLE_SECONDS)
    return world


class TestLargeFleet:
    """Guard against processes that lose sight of others as the fleet grows."""

    @pytest.mark.parametrize(("zones", "routers", "agents"), [(3, 24, 13), (4, 50, 50)])
    def test_live_members_are_forgotten_in_a_large_fleet(
        self, zones: int, routers: int, agents: int
    ) -> None:
        world = FleetWorld(zones=zones, routers=routers, agents=agents)
        world.run(SETTLE_SECONDS)
        assert {len(view) for view in world.views()} == {len(world.fleets) - 1}
        assert sorted(member.zone for member in world.watchers()) == [
            f"z{zone}" for zone in range(zones)
        ]

    @pytest.mark.parametrize("members", [20, 100, 200])
    def test_bytes_do_not_grow_with_the_fleet(self, members: int) -> None:
        world = FleetWorld(zones=2, routers=members // 4, agents=members // 4)
        world.run(SETTLE_SECONDS)
        before = world.sent_bytes
        world.run(10.0)
        per_second = (world.sent_bytes - before) / 10.0 / members
        assert per_second < CONTROL_BYTES_PER_SECOND / 2

    def test_changed_record_reaches_all(self) -> None:
        world = large_fleet()
        changed = world.fleets[FIRST_ROUTER]
        changed.update_own(serving="model/2")
        world.greet(changed, [changed.announcement()])
        world.run(1.5)
        others = [fleet for fleet in world.running() if fleet is not changed]
        serving = {
            member.serving
            for fleet in others
            for member in fleet.live_members()
            if member.instance_id == FIRST_ROUTER
        }
        assert serving == {"model/2"}


class TestLastOfItsZone:
    """Guard against a process that, left alone in its zone, takes itself for cut off for good.

    It counted a lost process of its zone as the watcher, so nobody watched the store.
    """

    @pytest.mark.parametrize("seed", range(8))
    @pytest.mark.parametrize(("zones", "routers"), [(3, 4), (1, 4), (1, 3), (2, 12)])
    def test_last_process_of_each_zone_watches(self, zones: int, routers: int, seed: int) -> None:
        world = FleetWorld(zones=zones, routers=routers, agents=0, seed=seed)
        world.run(SETTLE_SECONDS)
        lose_all_but_last(world)
        world.run(DETECTION_SECONDS)
        assert len(world.watchers()) == zones

    @pytest.mark.parametrize("seed", range(4))
    def test_last_process_watches_after_losses_in_waves(self, seed: int) -> None:
        world = FleetWorld(zones=2, routers=12, agents=0, seed=seed)
        world.run(SETTLE_SECONDS)
        for last in (3, 7, 11):
            lose_all_but_last(world, up_to=last)
            world.run(1.0)
        world.run(DETECTION_SECONDS)
        assert len(world.watchers()) == 2

    def test_agent_left_without_routers_watches(self) -> None:
        world = FleetWorld(zones=1, routers=4, agents=1)
        world.run(SETTLE_SECONDS)
        world.stopped.update(i for i in world.fleets if i.startswith("router"))
        world.run(DETECTION_SECONDS)
        assert len(world.watchers()) == 1

    def test_process_that_returns_is_seen_again(self) -> None:
        world = FleetWorld(zones=1, routers=6, agents=0)
        world.run(SETTLE_SECONDS)
        lose_all_but_last(world)
        world.run(DETECTION_SECONDS)
        world.stopped.clear()
        world.run(DETECTION_SECONDS)
        assert {len(view) for view in world.views()} == {5}
        assert [member.instance_id for member in world.watchers()] == [FIRST_ROUTER]

    def test_other_zones_see_whom_the_last_process_lost(self) -> None:
        world = FleetWorld(zones=3, routers=4, agents=0)
        world.run(SETTLE_SECONDS)
        lose_all_but_last(world)
        world.run(3 * DETECTION_SECONDS)
        assert {len(view) for view in world.views()} == {2}


def lose_all_but_last(world: FleetWorld, *, up_to: int = 1_000) -> None:
    """Stop all processes of each zone but its last one, or those numbered below up_to."""
    zones = {fleet.own.zone for fleet in world.fleets.values()}
    for zone in zones:
        names = sorted(i for i, fleet in world.fleets.items() if fleet.own.zone == zone)
        world.stopped.update(names[:-1][:up_to])


class TestFailures:
    """Guard against failed members that count as live, and live ones that count as failed."""

    def test_failed_member_is_found_and_its_duty_taken_over(self) -> None:
        world = large_fleet()
        world.stopped.add(FIRST_ROUTER)
        world.run(DETECTION_SECONDS)
        assert not any(FIRST_ROUTER in view for view in world.views())
        assert sorted(m.instance_id for m in world.watchers() if m.zone == "z0") == [
            "router-z0-001"
        ]

    def test_third_of_the_fleet_fails_at_once(self) -> None:
        world = large_fleet()
        world.stopped.update(list(world.fleets)[::3])
        world.run(3 * DETECTION_SECONDS)
        assert {len(view) for view in world.views()} == {len(world.running()) - 1}

    def test_paused_member_returns(self) -> None:
        world = large_fleet()
        world.stopped.add(FIRST_ROUTER)
        world.run(DETECTION_SECONDS)
        world.stopped.clear()
        world.run(DETECTION_SECONDS)
        assert {len(view) for view in world.views()} == {len(world.fleets) - 1}

    @pytest.mark.parametrize("started_ms", [STARTED_MS + 5_000, STARTED_MS - 500])
    def test_restarted_member_returns_whatever_its_clock(self, started_ms: int) -> None:
        world = large_fleet()
        fleet = world.fleets[FIRST_ROUTER]
        fleet.update_own(serving="model/1")
        del world.fleets[FIRST_ROUTER]
        world.run(DETECTION_SECONDS)
        world.add(FIRST_ROUTER, role=FleetRole.ROUTER, zone="z0", started_ms=started_ms)
        returned = world.fleets[FIRST_ROUTER]
        for member in world.running()[0].live_members():
            returned.add_listed(member, now_seconds=world.now)
        world.run(DETECTION_SECONDS)
        assert all(FIRST_ROUTER in view for view in world.views()[:-1])

    def test_zone_that_is_cut_off_is_found_and_returns(self) -> None:
        world = large_fleet()
        world.is_partitioned = lambda a, b: (a.zone == "z1") is not (b.zone == "z1")
        world.run(2 * DETECTION_SECONDS)
        sizes = sorted({len(view) for view in world.views()})
        assert sizes == [36, 73]
        world.is_partitioned = lambda a, b: False
        world.run(DETECTION_SECONDS)
        assert {len(view) for view in world.views()} == {len(world.fleets) - 1}

    def test_lost_datagrams_do_not_make_members_fail(self) -> None:
        world = large_fleet()
        world.loss = 0.03
        for _ in range(20):
            world.run(1.0)
            assert min(len(view) for view in world.views()) >= len(world.fleets) - 2

    def test_isolated_process_does_not_report_the_others(self) -> None:
        world = large_fleet()
        world.is_partitioned = lambda a, b: FIRST_ROUTER in (a.instance_id, b.instance_id)
        world.run(2 * DETECTION_SECONDS)
        suspected = [
            member
            for member in world.fleets[FIRST_ROUTER].live_members()
            if member.health is not MemberHealth.ALIVE
        ]
        assert len(suspected) <= 3
        world.is_partitioned = lambda a, b: False
        world.run(DETECTION_SECONDS)
        assert {len(view) for view in world.views()} == {len(world.fleets) - 1}
