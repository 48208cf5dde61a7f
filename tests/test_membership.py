"""Test membership under message loss, partitions, pauses and restarts."""

import random
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from benchmarks.virtual_zone import VirtualZone
from egretrouter.core.identifiers import Digest, Generation, InstanceId, ServiceName
from egretrouter.core.membership import (
    Facts,
    FactsChanged,
    GenerationActivated,
    GossipMalformedError,
    GossipReceived,
    Leave,
    LoadReport,
    LoadReported,
    Member,
    MemberRole,
    MembersChanged,
    Membership,
    MembershipCommand,
    MemberStatus,
    PauseDetected,
    PeerGenerationReceived,
    Probe,
    ProbeAnswer,
    Seed,
    SeedsListed,
    SendGossip,
    Tick,
    Updates,
    ZoneSummaryChanged,
    decode_gossip,
    encode_gossip,
)
from egretrouter.core.membership._table import MemberTable, Merge
from tests.membership_machine import ZONE, fault_machine


def member(name: str, **changes: Any) -> Member:
    return Member(
        instance_id=InstanceId(name),
        zone=ZONE,
        role=MemberRole.AGENT,
        address=f"{name}:1",
        **changes,
    )


def make_membership(*others: Member, kind: type[Membership] = Membership) -> Membership:
    own = kind(own=member("own"), rng=random.Random(0))
    for other in others:
        own.handle(GossipReceived(body=Updates(sender=other)), now_seconds=0.0)
    return own


def tick(own: Membership, seconds: float, *, start: float = 0.0) -> list[MembershipCommand]:
    steps = range(1, round(seconds / 0.2) + 1)
    return [c for n in steps for c in own.handle(Tick(), now_seconds=start + n * 0.2)]


def status(own: Membership, name: str) -> MemberStatus | None:
    found = {m.instance_id: m.status for m in own.members()}
    return found.get(InstanceId(name))


def settled_zone(count: int, *, kind: type[Membership] = Membership, seed: int = 0) -> VirtualZone:
    zone = VirtualZone(seed=seed, kind=kind)
    names = [zone.add(f"instance-{n}", agent=n > 1) for n in range(count)]
    zone.list_seeds(names, to=names)
    assert zone.run_until(zone.views_agree, limit_seconds=60) is not None
    return zone


class TestGossip:
    """Guard against gossip messages that change in encoding, or malformed ones being accepted."""

    def test_survives_encoding(self) -> None:
        body = Probe(sender=member("a"), updates=(member("b", incarnation=3),), sequence=7)
        assert decode_gossip(encode_gossip(body)) == body

    @pytest.mark.parametrize("payload", [b"", b"\x93", b"\xc0", b"\x92\x63\x00"])
    def test_rejects_malformed_payloads(self, payload: bytes) -> None:
        with pytest.raises(GossipMalformedError):
            decode_gossip(payload)


class TestMembership:
    """Guard against a wrong status of single members."""

    def test_an_unresponsive_member_is_probed_indirectly_then_suspected_then_dead(self) -> None:
        own = make_membership(member("a"), member("b"))
        seen = [type(c.body).__name__ for c in tick(own, 2.4) if isinstance(c, SendGossip)]
        assert "Probe" in seen
        assert "IndirectProbe" in seen
        tick(own, 1.0, start=2.4)
        assert MemberStatus.SUSPECT in (status(own, "a"), status(own, "b"))
        tick(own, 12.0, start=3.4)
        assert own.members() == []

    def test_an_answer_through_a_proxy_prevents_suspicion(self) -> None:
        own = make_membership(member("a"))
        probes = [c for c in tick(own, 1.2) if isinstance(c, SendGossip)]
        (probe,) = [c.body for c in probes if isinstance(c.body, Probe)]
        answer = ProbeAnswer(sender=member("proxy"), sequence=probe.sequence)
        own.handle(GossipReceived(body=answer), now_seconds=1.3)
        tick(own, 0.8, start=1.2)
        assert status(own, "a") is MemberStatus.ALIVE

    def test_refutes_suspicion_with_a_higher_incarnation(self) -> None:
        own = make_membership(member("a"))
        suspicion = member("own", status=MemberStatus.SUSPECT)
        body = Updates(sender=member("a"), updates=(suspicion,))
        own.handle(GossipReceived(body=body), now_seconds=0.1)
        assert own.own.incarnation == 2
        assert own.own.status is MemberStatus.ALIVE

    def test_the_instance_list_never_overrides_gossip(self) -> None:
        own = make_membership(member("a", status=MemberStatus.LEAVING, incarnation=4))
        seeds = tuple(Seed(instance_id=InstanceId(n), zone=ZONE, address=n) for n in "ab")
        own.handle(SeedsListed(seeds=seeds), now_seconds=0.1)
        assert status(own, "a") is MemberStatus.LEAVING
        assert status(own, "b") is None

    def test_older_facts_do_not_override_newer_ones(self) -> None:
        newer = Facts(service=ServiceName("llm"), version_digest=Digest("v2"))
        own = make_membership(member("a", facts=newer, facts_version=2))
        stale = member("a", facts_version=1, status=MemberStatus.SUSPECT)
        body = Updates(sender=member("b"), updates=(stale,))
        own.handle(GossipReceived(body=body), now_seconds=0.1)
        (found,) = [m for m in own.members() if m.instance_id == "a"]
        assert (found.facts, found.status) == (newer, MemberStatus.SUSPECT)

    def test_a_flapping_member_is_unusable_for_a_growing_time(self) -> None:
        own = make_membership(member("a"))
        for incarnation in range(1, 6):
            for state in (MemberStatus.SUSPECT, MemberStatus.ALIVE):
                number = incarnation + (state is MemberStatus.ALIVE)
                claim = member("a", incarnation=number, status=state)
                body = Updates(sender=member("b"), updates=(claim,))
                own.handle(GossipReceived(body=body), now_seconds=0.1)
        assert status(own, "a") is MemberStatus.ALIVE
        assert "a" not in {m.instance_id for m in own.usable_members(now_seconds=1.0)}
        assert "a" in {m.instance_id for m in own.usable_members(now_seconds=61.0)}

    def test_piggybacking_is_bounded(self) -> None:
        own = make_membership(*(member(f"m{n}") for n in range(300)))
        for n in range(300):
            load = LoadReport(queued_calls=n)
            own.handle(LoadReported(load=load), now_seconds=0.1)
        bodies = [c.body for c in tick(own, 5.0) if isinstance(c, SendGossip)]
        assert max(len(body.updates) for body in bodies) <= 13
        assert max(len(body.loads) for body in bodies) <= 13

    def test_a_pause_raises_the_incarnation_and_suspects_nobody(self) -> None:
        own = make_membership(*(member(f"m{n}") for n in range(5)))
        tick(own, 3.0)
        commands = own.handle(Tick(), now_seconds=100.0)
        assert PauseDetected(paused_seconds=97.0) in commands
        assert own.own.incarnation == 2
        assert {m.status for m in own.members()} == {MemberStatus.ALIVE}


class TestZone:
    """Guard against slow propagation and message storms in a whole zone."""

    @pytest.mark.parametrize("count", [10, 60])
    def test_leave_reaches_every_member_within_three_seconds(self, count: int) -> None:
        zone = settled_zone(count)
        leaver = InstanceId(f"instance-{count - 1}")
        zone.deliver(leaver, Leave())
        zone.run(0.05)
        zone.remove(leaver)
        zone.run(2.95)
        for name, node in zone.nodes.items():
            usable = {m.instance_id for m in node.usable_members(now_seconds=zone.now)}
            assert leaver not in usable, name

    def test_facts_loads_and_generation_reach_all_members(self) -> None:
        zone = settled_zone(30)
        receivers: Counter[InstanceId] = Counter()
        zone.on_command = lambda n, c: receivers.update([n] * isinstance(c, PeerGenerationReceived))
        source = InstanceId("instance-5")
        facts = Facts(service=ServiceName("llm"), version_digest=Digest("v9"), ready=True)
        zone.deliver(source, FactsChanged(facts=facts))
        zone.deliver(source, GenerationActivated(generation=Generation(3)))
        for _ in range(15):
            zone.deliver(source, LoadReported(load=LoadReport(queued_calls=9)))
            zone.run(1)
        for name, node in zone.nodes.items():
            if name != source:
                assert facts in [m.facts for m in node.members()]
                sample = node.load_sample(source)
                assert sample is not None
                assert sample.load == LoadReport(queued_calls=9)
        assert len(receivers) >= 3

    def test_healing_a_partition_causes_no_deaths_and_no_message_storm(self) -> None:
        zone, deaths, rate = self.heal_partition(Membership)
        assert deaths == 0
        assert rate < 15
        assert zone.run_until(zone.views_agree, limit_seconds=60) is not None

    def test_healing_check_detects_unverified_deaths(self) -> None:
        assert self.heal_partition(UnverifiedDeathMembership)[1] > 0

    def heal_partition(self, kind: type[Membership]) -> tuple[VirtualZone, int, float]:
        zone = settled_zone(40, kind=kind)
        side = {n: i < 20 for i, n in enumerate(zone.nodes)}
        zone.is_partitioned = lambda a, b: side[a] != side[b]
        zone.run(60)
        assert all(len(node.members()) == 19 for node in zone.nodes.values())
        deaths: list[Member] = []

        def collect_deaths(name: InstanceId, command: MembershipCommand) -> None:
            if isinstance(command, MembersChanged):
                deaths.extend(m for m in command.changed if m.status is MemberStatus.DEAD)

        zone.on_command = collect_deaths
        zone.is_partitioned = lambda a, b: False
        before = zone.messages
        zone.run(10)
        rate = (zone.messages - before) / 40 / 10
        zone.run(20)
        return zone, len(deaths), rate


class TestZoneSummaries:
    """Guard against routers without current summaries of other zones."""

    def test_summaries_reach_routers_of_other_zones_and_resume_after_a_partition(self) -> None:
        zone = VirtualZone(seed=1)
        zones = ("serra-z1", "taquari-z1", "oeste-sc-z1")
        names = [zone.add(f"{z}-{n}", zone=z, agent=n > 2) for z in zones for n in range(10)]
        zone.list_seeds(names, to=names)
        zone.run(60)
        routers = [n for n in zone.nodes.values() if n.own.role is MemberRole.ROUTER]
        for router in routers:
            summaries = router.summaries(now_seconds=zone.now)
            assert {s.zone for s in summaries} == set(zones) - {router.own.zone}
            assert all(s.versions[0].ready == 7 for s in summaries)
            assert all(s.age_seconds < 30 for s in summaries)
        zone.is_partitioned = lambda a, b: a[:5] != b[:5]
        zone.run(120)
        ages = [s.age_seconds for r in routers for s in r.summaries(now_seconds=zone.now)]
        assert min(ages) > 100
        zone.is_partitioned = lambda a, b: False
        fresh: set[InstanceId] = set()
        zone.on_command = lambda n, c: fresh.add(n) if isinstance(c, ZoneSummaryChanged) else None
        zone.run(30)
        assert {r.own.instance_id for r in routers} <= fresh


class TestPartitionsAndPauses:
    """Guard against partitions that never heal and timers that expire during a pause."""

    def test_a_long_partition_heals_through_the_instance_list(self) -> None:
        assert self.converges_after_partition(Membership)

    def test_healing_check_detects_a_member_that_drops_its_seeds(self) -> None:
        assert not self.converges_after_partition(SeedDroppingMembership)

    def converges_after_partition(self, kind: type[Membership]) -> bool:
        """Partition a zone for longer than dead members are retained, then heal it."""
        zone = settled_zone(12, kind=kind)
        names = list(zone.nodes)
        zone.is_partitioned = lambda a, b: (a in names[:6]) != (b in names[:6])
        zone.run(200)
        zone.is_partitioned = lambda a, b: False
        return zone.run_until(zone.views_agree, limit_seconds=120) is not None

    def test_last_member_reports_its_isolation_and_the_end_of_it(self) -> None:
        zone = settled_zone(12)
        last = next(iter(zone.nodes))
        reports = []

        def record(name: InstanceId, command: MembershipCommand) -> None:
            if name == last and isinstance(command, MembersChanged):
                reports.append(zone.nodes[last].is_isolated)

        zone.on_command = record
        zone.is_partitioned = lambda a, b: True
        zone.run(10)
        assert reports[-1]
        zone.is_partitioned = lambda a, b: False
        zone.run(10)
        assert not reports[-1]

    def test_a_paused_member_declares_nobody_dead(self) -> None:
        assert self.count_deaths_after_pause(Membership) == 0

    def test_pause_check_detects_missing_pause_detection(self) -> None:
        assert self.count_deaths_after_pause(PauseUnawareMembership) > 0

    def count_deaths_after_pause(self, kind: type[Membership]) -> int:
        """Pause a member that suspects others; count the live members that it declares dead."""
        # In a zone this small, isolation detection does not protect the other members as well.
        zone = settled_zone(4, kind=kind)
        paused, *others = zone.nodes
        body = Updates(
            sender=zone.nodes[others[0]].own,
            updates=tuple(
                msgspec.structs.replace(zone.nodes[n].own, status=MemberStatus.SUSPECT)
                for n in others[1:]
            ),
        )
        zone.is_partitioned = lambda a, b: True
        zone.deliver(paused, GossipReceived(body=body))
        zone.pause(paused, 30)
        zone.run(29.9)
        deaths: list[Member] = []

        def collect_deaths(name: InstanceId, command: MembershipCommand) -> None:
            if name == paused and isinstance(command, MembersChanged):
                deaths.extend(m for m in command.changed if m.status is MemberStatus.DEAD)

        zone.on_command = collect_deaths
        zone.run(1)
        return len(deaths)


class UnverifiedDeathTable(MemberTable):
    """Omit the verification of reported deaths from a member table."""

    def merge(self, member: Member, *, now_seconds: float) -> Merge:
        result = super().merge(member, now_seconds=now_seconds)
        if result is Merge.VERIFY:
            self.replace(member, now_seconds=now_seconds)
            return Merge.APPLIED
        return result


class UnverifiedDeathMembership(Membership):
    """Accept a reported death at once."""

    def __init__(self, *, own: Member, rng: random.Random) -> None:
        super().__init__(own=own, rng=rng)
        self._table.__class__ = UnverifiedDeathTable


class UnorderedTable(MemberTable):
    """Omit the comparison of incarnations from a member table."""

    def merge(self, member: Member, *, now_seconds: float) -> Merge:
        entry = self.entries.get(member.instance_id)
        if entry is not None and member.status is not MemberStatus.DEAD and member != entry.member:
            self.replace(member, now_seconds=now_seconds)
            return Merge.APPLIED
        return super().merge(member, now_seconds=now_seconds)


class UnorderedMembership(Membership):
    """Take the last received update for the newest."""

    def __init__(self, *, own: Member, rng: random.Random) -> None:
        super().__init__(own=own, rng=rng)
        self._table.__class__ = UnorderedTable


class NonRefutingMembership(Membership):
    """Omit the refutation of suspicions about this member."""

    def __init__(self, *, own: Member, rng: random.Random) -> None:
        super().__init__(own=own, rng=rng)
        self._view._refute = lambda claim: None  # type: ignore[method-assign]


class PauseUnawareMembership(Membership):
    """Omit the detection of pauses."""

    def _detect_pause(self, now_seconds: float) -> list[MembershipCommand]:
        return []


class SeedDroppingMembership(Membership):
    """Omit contacts to listed seeds while there are live members."""

    def _dispatch(self, message: Any, *, now_seconds: float) -> list[MembershipCommand]:
        if self._table.live_count:
            self._seeds = ()
        return super()._dispatch(message, now_seconds=now_seconds)


SETTINGS = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    database=None,
    phases=[Phase.generate],
)
# Only some schedules expose a mutant, so more are tried; the search stops at the first failure.
MUTANT_SETTINGS = settings(SETTINGS, max_examples=400)


def machine_of_one_check(kind: type[Membership], failure: str) -> type[RuleBasedStateMachine]:
    """Return a fault machine in which only the checks with the given message may fail.

    A mutant can fail several checks, and which of them fails first depends on the seed.
    """

    class OneCheck(fault_machine(kind)):
        def check(self, observer: InstanceId, command: MembershipCommand) -> None:
            with self.ignoring_other_checks():
                super().check(observer, command)

        def teardown(self) -> None:
            with self.ignoring_other_checks():
                super().teardown()

        @contextmanager
        def ignoring_other_checks(self) -> Iterator[None]:
            try:
                yield
            except AssertionError as error:
                if failure in str(error):
                    raise

    return OneCheck


class TestMembershipUnderFaults:
    """Guard against reverted records and diverging views under random faults."""

    def test_invariants_hold(self) -> None:
        run_state_machine_as_test(fault_machine(Membership), settings=SETTINGS)

    @pytest.mark.parametrize(
        ("kind", "failure"),
        [
            (UnorderedMembership, "reverted"),
            (NonRefutingMembership, "no convergence"),
        ],
    )
    def test_detects_a_missing_safeguard(self, kind: type[Membership], failure: str) -> None:
        machine = machine_of_one_check(kind, failure)
        with pytest.raises(AssertionError, match=failure):
            run_state_machine_as_test(machine, settings=MUTANT_SETTINGS)
