"""Test membership under loss, cuts, pauses and restarts."""

import random
from collections import Counter
from typing import Any

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from benchmarks.virtual_zone import VirtualZone
from egretrouter.core.identifiers import Digest, Generation, InstanceId, ServiceName
from egretrouter.core.membership import (
    Facts,
    FactsChanged,
    GenerationInForce,
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
from tests.membership_machine import ZONE, machine


def member(name: str, **changes: Any) -> Member:
    return Member(
        instance_id=InstanceId(name),
        zone=ZONE,
        role=MemberRole.AGENT,
        address=f"{name}:1",
        **changes,
    )


def make(*others: Member, kind: type[Membership] = Membership) -> Membership:
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
    """Guard against messages that do not survive the wire."""

    def test_survives_encoding(self) -> None:
        body = Probe(sender=member("a"), updates=(member("b", incarnation=3),), sequence=7)
        assert decode_gossip(encode_gossip(body)) == body

    @pytest.mark.parametrize("payload", [b"", b"\x93", b"\xc0", b"\x92\x63\x00"])
    def test_rejects_malformed_payloads(self, payload: bytes) -> None:
        with pytest.raises(GossipMalformedError):
            decode_gossip(payload)


class TestMembership:
    """Guard against wrong beliefs about single members."""

    def test_a_silent_member_is_probed_indirectly_then_suspected_then_dead(self) -> None:
        own = make(member("a"), member("b"))
        seen = [type(c.body).__name__ for c in tick(own, 2.4) if isinstance(c, SendGossip)]
        assert "Probe" in seen
        assert "IndirectProbe" in seen
        tick(own, 1.0, start=2.4)
        assert MemberStatus.SUSPECT in (status(own, "a"), status(own, "b"))
        tick(own, 12.0, start=3.4)
        assert own.members() == []

    def test_an_answer_through_a_proxy_prevents_suspicion(self) -> None:
        own = make(member("a"))
        probes = [c for c in tick(own, 1.2) if isinstance(c, SendGossip)]
        (probe,) = [c.body for c in probes if isinstance(c.body, Probe)]
        answer = ProbeAnswer(sender=member("proxy"), sequence=probe.sequence)
        own.handle(GossipReceived(body=answer), now_seconds=1.3)
        tick(own, 0.8, start=1.2)
        assert status(own, "a") is MemberStatus.ALIVE

    def test_refutes_suspicion_with_a_higher_incarnation(self) -> None:
        own = make(member("a"))
        rumour = member("own", status=MemberStatus.SUSPECT)
        body = Updates(sender=member("a"), updates=(rumour,))
        own.handle(GossipReceived(body=body), now_seconds=0.1)
        assert own.own.incarnation == 2
        assert own.own.status is MemberStatus.ALIVE

    def test_the_list_never_overrules_gossip(self) -> None:
        own = make(member("a", status=MemberStatus.LEAVING, incarnation=4))
        seeds = tuple(Seed(instance_id=InstanceId(n), zone=ZONE, address=n) for n in "ab")
        own.handle(SeedsListed(seeds=seeds), now_seconds=0.1)
        assert status(own, "a") is MemberStatus.LEAVING
        assert status(own, "b") is None

    def test_older_facts_do_not_overrule(self) -> None:
        newer = Facts(service=ServiceName("llm"), version_digest=Digest("v2"))
        own = make(member("a", facts=newer, facts_version=2))
        stale = member("a", facts_version=1, status=MemberStatus.SUSPECT)
        body = Updates(sender=member("b"), updates=(stale,))
        own.handle(GossipReceived(body=body), now_seconds=0.1)
        (found,) = [m for m in own.members() if m.instance_id == "a"]
        assert (found.facts, found.status) == (newer, MemberStatus.SUSPECT)

    def test_a_flapping_member_gets_no_work_for_a_growing_time(self) -> None:
        own = make(member("a"))
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
        own = make(*(member(f"m{n}") for n in range(300)))
        for n in range(300):
            load = LoadReport(queued_calls=n)
            own.handle(LoadReported(load=load), now_seconds=0.1)
        bodies = [c.body for c in tick(own, 5.0) if isinstance(c, SendGossip)]
        assert max(len(body.updates) for body in bodies) <= 13
        assert max(len(body.loads) for body in bodies) <= 13

    def test_a_pause_raises_the_incarnation_and_judges_nobody(self) -> None:
        own = make(*(member(f"m{n}") for n in range(5)))
        tick(own, 3.0)
        commands = own.handle(Tick(), now_seconds=100.0)
        assert PauseDetected(paused_seconds=97.0) in commands
        assert own.own.incarnation == 2
        assert {m.status for m in own.members()} == {MemberStatus.ALIVE}


class TestZone:
    """Guard against slow spreading and storms in a whole zone."""

    @pytest.mark.parametrize("count", [10, 60])
    def test_leaving_reaches_every_router_within_three_seconds(self, count: int) -> None:
        zone = settled_zone(count)
        leaver = InstanceId(f"instance-{count - 1}")
        zone.deliver(leaver, Leave())
        zone.run(0.05)
        zone.remove(leaver)
        zone.run(2.95)
        for name, node in zone.nodes.items():
            usable = {m.instance_id for m in node.usable_members(now_seconds=zone.now)}
            assert leaver not in usable, name

    def test_facts_loads_and_generation_reach_everyone(self) -> None:
        zone = settled_zone(30)
        heard: Counter[InstanceId] = Counter()
        zone.on_command = lambda n, c: heard.update([n] * isinstance(c, PeerGenerationReceived))
        source = InstanceId("instance-5")
        facts = Facts(service=ServiceName("llm"), version_digest=Digest("v9"), ready=True)
        zone.deliver(source, FactsChanged(facts=facts))
        zone.deliver(source, GenerationInForce(generation=Generation(3)))
        for _ in range(15):
            zone.deliver(source, LoadReported(load=LoadReport(queued_calls=9)))
            zone.run(1)
        for name, node in zone.nodes.items():
            if name != source:
                assert facts in [m.facts for m in node.members()]
                sample = node.load_sample(source)
                assert sample is not None
                assert sample.load == LoadReport(queued_calls=9)
        assert len(heard) >= 3

    def test_healing_a_cut_zone_kills_nobody_and_causes_no_storm(self) -> None:
        zone, deaths, rate = self.healed(Membership)
        assert deaths == 0
        assert rate < 15
        assert zone.run_until(zone.views_agree, limit_seconds=60) is not None

    def test_healing_check_catches_believing_deaths_at_once(self) -> None:
        assert self.healed(CredulousMembership)[1] > 0

    def healed(self, kind: type[Membership]) -> tuple[VirtualZone, int, float]:
        zone = settled_zone(40, kind=kind)
        side = {n: i < 20 for i, n in enumerate(zone.nodes)}
        zone.is_cut = lambda a, b: side[a] != side[b]
        zone.run(60)
        assert all(len(node.members()) == 19 for node in zone.nodes.values())
        deaths: list[Member] = []

        def note(name: InstanceId, command: MembershipCommand) -> None:
            if isinstance(command, MembersChanged):
                deaths.extend(m for m in command.changed if m.status is MemberStatus.DEAD)

        zone.on_command = note
        zone.is_cut = lambda a, b: False
        before = zone.messages
        zone.run(10)
        rate = (zone.messages - before) / 40 / 10
        zone.run(20)
        return zone, len(deaths), rate


class TestZoneSummaries:
    """Guard against zones that do not know what other zones serve."""

    def test_summaries_reach_routers_of_other_zones_and_resume_after_a_cut(self) -> None:
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
        zone.is_cut = lambda a, b: a[:5] != b[:5]
        zone.run(120)
        ages = [s.age_seconds for r in routers for s in r.summaries(now_seconds=zone.now)]
        assert min(ages) > 100
        zone.is_cut = lambda a, b: False
        fresh: set[InstanceId] = set()
        zone.on_command = lambda n, c: fresh.add(n) if isinstance(c, ZoneSummaryChanged) else None
        zone.run(30)
        assert {r.own.instance_id for r in routers} <= fresh


class TestCutsAndPauses:
    """Guard against zones that stay divided and members that judge by old timers."""

    def test_a_long_cut_heals_by_the_instance_list(self) -> None:
        assert self.heals(Membership)

    def test_healing_check_catches_a_member_that_forgets_the_list(self) -> None:
        assert not self.heals(LonelyMembership)

    def heals(self, kind: type[Membership]) -> bool:
        """Cut a zone for longer than the dead are remembered, then heal it."""
        zone = settled_zone(12, kind=kind)
        names = list(zone.nodes)
        zone.is_cut = lambda a, b: (a in names[:6]) != (b in names[:6])
        zone.run(200)
        zone.is_cut = lambda a, b: False
        return zone.run_until(zone.views_agree, limit_seconds=120) is not None

    def test_a_paused_member_buries_nobody(self) -> None:
        assert self.buried_after_pause(Membership) == 0

    def test_pause_check_catches_a_member_that_does_not_notice(self) -> None:
        assert self.buried_after_pause(ResumingMembership) > 0

    def buried_after_pause(self, kind: type[Membership]) -> int:
        """Pause a member that suspects others, and count the live ones that it buries itself."""
        # In a zone this small the detection of silence does not protect the others as well.
        zone = settled_zone(4, kind=kind)
        pauser, *others = zone.nodes
        body = Updates(
            sender=zone.nodes[others[0]].own,
            updates=tuple(
                msgspec.structs.replace(zone.nodes[n].own, status=MemberStatus.SUSPECT)
                for n in others[1:]
            ),
        )
        zone.is_cut = lambda a, b: True
        zone.deliver(pauser, GossipReceived(body=body))
        zone.pause(pauser, 30)
        zone.run(29.9)
        deaths: list[Member] = []

        def note(name: InstanceId, command: MembershipCommand) -> None:
            if name == pauser and isinstance(command, MembersChanged):
                deaths.extend(m for m in command.changed if m.status is MemberStatus.DEAD)

        zone.on_command = note
        zone.run(1)
        return len(deaths)


class CredulousTable(MemberTable):
    """Lack the verification of deaths."""

    def merge(self, member: Member, *, now_seconds: float) -> Merge:
        result = super().merge(member, now_seconds=now_seconds)
        if result is Merge.VERIFY:
            self.replace(member, now_seconds=now_seconds)
            return Merge.APPLIED
        return result


class CredulousMembership(Membership):
    """Believe a death at once."""

    def __init__(self, *, own: Member, rng: random.Random) -> None:
        super().__init__(own=own, rng=rng)
        self._table.__class__ = CredulousTable


class ForgetfulTable(MemberTable):
    """Lack the comparison of incarnations."""

    def merge(self, member: Member, *, now_seconds: float) -> Merge:
        entry = self.entries.get(member.instance_id)
        if entry is not None and member.status is not MemberStatus.DEAD and member != entry.member:
            self.replace(member, now_seconds=now_seconds)
            return Merge.APPLIED
        return super().merge(member, now_seconds=now_seconds)


class ForgetfulMembership(Membership):
    """Take the last statement heard for the newest."""

    def __init__(self, *, own: Member, rng: random.Random) -> None:
        super().__init__(own=own, rng=rng)
        self._table.__class__ = ForgetfulTable


class MeekMembership(Membership):
    """Lack the refutation of suspicion."""

    def __init__(self, *, own: Member, rng: random.Random) -> None:
        super().__init__(own=own, rng=rng)
        self._view._refute = lambda claim: None  # type: ignore[method-assign]


class ResumingMembership(Membership):
    """Lack the detection of pauses."""

    def _detect_pause(self, now_seconds: float) -> list[MembershipCommand]:
        return []


class LonelyMembership(Membership):
    """Lack the contact with members that are believed dead but listed."""

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
# A mutant is caught by some schedules only, so more of them are tried; the first ends the search.
MUTANT_SETTINGS = settings(SETTINGS, max_examples=400)


class TestMembershipUnderFaults:
    """Guard against reversal and divergence under random faults."""

    def test_holds(self) -> None:
        run_state_machine_as_test(machine(Membership), settings=SETTINGS)

    @pytest.mark.parametrize(
        ("kind", "failure"),
        [
            (ForgetfulMembership, "reverted"),
            (MeekMembership, "no convergence"),
        ],
    )
    def test_catches_a_missing_guard(self, kind: type[Membership], failure: str) -> None:
        with pytest.raises(AssertionError, match=failure):
            run_state_machine_as_test(machine(kind), settings=MUTANT_SETTINGS)
