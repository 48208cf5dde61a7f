"""Test the membership of processes that routers and agents keep without I/O."""

import random
from typing import Any

from egretrouter.core.direct import (
    Fleet,
    FleetMember,
    FleetRole,
    Greeting,
    MemberHealth,
    Revisions,
    SendGreeting,
)
from egretrouter.core.identifiers import InstanceId, RegionId, ZoneId


class TestFleet:
    """Guard against processes that are not discovered, or are considered live when they are not."""

    def member(self, name: str, *, zone: str = "z1", **changes: Any) -> FleetMember:
        return FleetMember(
            instance_id=InstanceId(name),
            role=FleetRole.ROUTER,
            zone=ZoneId(zone),
            region=RegionId("r"),
            address="10.0.0.1",
            started_ms=1,
            **changes,
        )

    def fleet(self, own: str, *others: FleetMember) -> Fleet:
        fleet = Fleet(own=self.member(own), rng=random.Random(1))
        for other in others:
            self.greet(fleet, other, now_seconds=0.0)
        return fleet

    def greet(
        self, fleet: Fleet, sender: FleetMember, *others: FleetMember, now_seconds: float
    ) -> list[SendGreeting]:
        greeting = Greeting(sender=sender, revisions=Revisions(), others=others)
        return fleet.handle_greeting(greeting, now_seconds=now_seconds)

    def test_unresponsive_member_expires_and_returns(self) -> None:
        fleet = self.fleet("a", self.member("b"))
        now = 0.0
        while fleet.live_members():
            fleet.gossip(now_seconds=now)
            fleet.advance(now_seconds=now)
            now += 0.3
        assert now <= 5.0
        # Neither a late greeting of the same record nor its relay makes the member live again.
        assert self.greet(fleet, self.member("b"), now_seconds=now)[0].about
        self.greet(fleet, self.member("c"), self.member("b"), now_seconds=now)
        assert [m.instance_id for m in fleet.live_members()] == ["c"]
        self.greet(fleet, self.member("b", revision=1), now_seconds=now)
        assert [m.instance_id for m in fleet.live_members()] == ["b", "c"]

    def test_suspected_process_objects(self) -> None:
        fleet = self.fleet("a", self.member("b"))
        suspicion = self.member("a", health=MemberHealth.SUSPECT)
        self.greet(fleet, self.member("b"), suspicion, now_seconds=1.0)
        assert fleet.own.overrides(suspicion)

    def test_report_keeps_what_the_member_says_of_itself(self) -> None:
        fleet = self.fleet("a", self.member("b", serving="m/1"))
        report = self.member("b", health=MemberHealth.SUSPECT)
        self.greet(fleet, self.member("c"), report, now_seconds=1.0)
        [member] = [m for m in fleet.live_members() if m.instance_id == "b"]
        assert (member.serving, member.health) == ("m/1", MemberHealth.SUSPECT)

    def test_update_is_sent_to_every_zone(self) -> None:
        fleet = self.fleet(
            "a",
            *(
                self.member(name, zone=zone)
                for name, zone in (("b", "z1"), ("c", "z2"), ("d", "z2"), ("e", "z3"))
            ),
        )
        zones = {member.zone for member in fleet.announcement().targets}
        assert zones == {"z1", "z2", "z3"}

    def test_first_routers_of_a_zone_watch(self) -> None:
        fleet = self.fleet("b")
        assert fleet.watch_rank() == 0
        self.greet(fleet, self.member("a"), now_seconds=0.0)
        self.greet(fleet, self.member("A", zone="z2"), now_seconds=0.0)
        assert fleet.watch_rank() == 1

    def test_greeting_carries_revisions(self) -> None:
        fleet = self.fleet("a")
        greeting = fleet.build_greeting(fleet.announcement(), Revisions(configuration=3))
        assert greeting.revisions.configuration == 3
