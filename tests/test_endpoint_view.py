"""Test how a router derives endpoints and their loads from membership and links."""

import random

from egretrouter.core.identifiers import (
    Digest,
    EndpointId,
    InstanceId,
    RegionId,
    ServiceName,
    ZoneId,
)
from egretrouter.core.membership import (
    Facts,
    GossipReceived,
    LoadReport,
    LoadSample,
    Member,
    MemberRole,
    Membership,
    SummaryPush,
    Updates,
    VersionSummary,
    ZoneSummary,
)
from egretrouter.core.routing import EndpointSelector
from egretrouter.daemons._endpoint_view import EndpointView
from egretrouter.protocol import egretrouter_pb2 as pb

ZONE = ZoneId("serra-z1")
AGENT = Member(
    instance_id=InstanceId("agent"),
    zone=ZONE,
    role=MemberRole.AGENT,
    address="10.0.0.2:7000",
    facts=Facts(service=ServiceName("llm"), ready=True),
)
ENDPOINT = EndpointId("agent")
REMOTE_ZONE = ZoneId("taquari-z1")
REMOTE = EndpointId("remote")
REMOTE_ADDRESS = "10.1.0.2:7000"
GATEWAY = Member(
    instance_id=InstanceId("gateway"),
    zone=REMOTE_ZONE,
    role=MemberRole.ROUTER,
    address="10.1.0.1:7000",
)


class ViewWorld:
    """Run an endpoint view with a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        router = Member(
            instance_id=InstanceId("router"),
            zone=ZONE,
            role=MemberRole.ROUTER,
            address="10.0.0.1:7000",
        )
        self.membership = Membership(own=router, rng=random.Random(1))
        self.selector = EndpointSelector(
            zone=ZONE, region=RegionId("serra"), random_generator=random.Random(1)
        )
        self.view = EndpointView(
            membership=self.membership, selector=self.selector, clock=lambda: self.now
        )

    def gossip(self, now: float, *, sequence: int) -> None:
        """Receive a load sample of the agent by gossip and refresh the view."""
        self.now = now
        sample = LoadSample(
            instance_id=AGENT.instance_id, incarnation=1, sequence=sequence, load=LoadReport()
        )
        body = Updates(sender=AGENT, loads=(sample,))
        self.membership.handle(GossipReceived(body=body), now_seconds=now)
        self.view.refresh()

    def receive_summary(self, *, made_at: float, now: float) -> None:
        """Receive a summary of another zone that lists an agent, and refresh the view."""
        version = VersionSummary(
            service=ServiceName("llm"),
            version_digest=Digest(""),
            ready=1,
            queued_calls=0,
            calls_per_second=0.0,
            samples=((InstanceId(REMOTE), REMOTE_ADDRESS),),
        )
        summary = ZoneSummary(
            zone=REMOTE_ZONE,
            routers=1,
            agents=1,
            versions=(version,),
            contacts=(),
            age_seconds=now - made_at,
        )
        body = SummaryPush(sender=GATEWAY, summaries=(summary,))
        self.membership.handle(GossipReceived(body=body), now_seconds=now)
        self.refresh(now=now)

    def drain_remote(self, *, now: float) -> None:
        """Receive the notice of the agent in the other zone that it drains."""
        self.now = now
        self.view.record_load(REMOTE_ADDRESS, pb.EndpointLoad(draining=True))

    def refresh(self, *, now: float) -> None:
        self.now = now
        self.view.refresh()

    def reported_at(self) -> float | None:
        """Return when the load that the selector uses was measured."""
        return self.selector._loads[ENDPOINT].report_at_seconds


class TestLoads:
    """Guard against choosing endpoints by outdated loads or drain states."""

    def test_an_unchanged_load_in_a_newer_sample_is_a_new_report(self) -> None:
        world = ViewWorld()
        world.gossip(1.0, sequence=1)
        world.gossip(9.0, sequence=2)
        assert world.reported_at() == 8.0

    def test_a_link_takes_precedence_over_gossip_while_it_reports(self) -> None:
        world = ViewWorld()
        world.gossip(1.0, sequence=1)
        world.now = 5.0
        world.view.record_load(AGENT.address, pb.EndpointLoad(age_seconds=0.25))
        assert world.reported_at() == 4.75
        world.gossip(16.0, sequence=2)
        assert world.reported_at() == 4.75
        world.gossip(18.0, sequence=3)
        assert world.reported_at() == 17.0

    def test_a_draining_agent_is_excluded_immediately(self) -> None:
        world = ViewWorld()
        world.gossip(1.0, sequence=1)
        assert ENDPOINT in world.view.endpoints()
        world.view.record_load(AGENT.address, pb.EndpointLoad(draining=True))
        assert ENDPOINT not in world.view.endpoints()
        world.gossip(2.0, sequence=2)
        assert ENDPOINT not in world.view.endpoints()
        world.view.record_load(AGENT.address, pb.EndpointLoad())
        assert ENDPOINT in world.view.endpoints()


class TestDrainOfAnotherZone:
    """Guard against calls to an agent that has said that it drains."""

    def test_an_old_summary_lists_the_agent_after_its_notice_has_expired(self) -> None:
        world = ViewWorld()
        world.receive_summary(made_at=1.0, now=1.0)
        assert REMOTE in world.view.endpoints()
        world.drain_remote(now=2.0)
        assert REMOTE not in world.view.endpoints()
        world.refresh(now=16.0)
        assert REMOTE not in world.view.endpoints()

    def test_a_summary_made_as_the_agent_leaves_lists_it(self) -> None:
        world = ViewWorld()
        world.receive_summary(made_at=1.0, now=1.0)
        world.drain_remote(now=2.0)
        world.receive_summary(made_at=2.5, now=3.0)
        world.refresh(now=16.0)
        assert REMOTE not in world.view.endpoints()

    def test_a_later_summary_lists_the_agent_again(self) -> None:
        world = ViewWorld()
        world.receive_summary(made_at=1.0, now=1.0)
        world.drain_remote(now=2.0)
        world.receive_summary(made_at=15.0, now=15.5)
        world.refresh(now=16.0)
        assert REMOTE in world.view.endpoints()
