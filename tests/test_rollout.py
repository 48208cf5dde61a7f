"""Test the rollout of versions on the agents of one zone."""

from collections import Counter

import pytest

from egretrouter.core.digests import content_digest
from egretrouter.core.identifiers import (
    Digest,
    InstanceId,
    ModelName,
    ServiceName,
    VersionName,
    ZoneId,
)
from egretrouter.core.rollout import (
    RESTORE_SECONDS,
    AdmitVersion,
    Assignment,
    AssignmentChanged,
    CallsInProgress,
    DrainVersion,
    EngineReported,
    LoadEnded,
    LoadVersion,
    Phase,
    PublishFacts,
    ReadEngine,
    ReplicaFacts,
    ReplicasUpdated,
    ReportHalted,
    Rollout,
    RolloutCommand,
    RolloutMessage,
    StartCopy,
    Tick,
    UnloadVersion,
    WeightsFailed,
    WeightsReady,
)
from egretrouter.core.weights import VersionReference

ZONE = ZoneId("serra-z1")


def version(name: str, *, model: str = "m") -> VersionReference:
    return VersionReference(
        model=ModelName(model),
        version=VersionName(name),
        manifest_digest=content_digest(f"{model}/{name}".encode()),
    )


def assignment(name: str, *, min_ready: int = 2, adapters: tuple[str, ...] = ()) -> Assignment:
    return Assignment(
        service=ServiceName("llm"),
        base=version(name),
        adapters=tuple(version(adapter, model="a") for adapter in adapters),
        min_ready=min_ready,
        halt_after_failures=2,
    )


class FakeAgent:
    """Execute the commands of one rollout on a fake engine."""

    def __init__(self, name: str, zone: "FakeZone") -> None:
        self.name, self.zone = InstanceId(name), zone
        self.rollout = Rollout(instance_id=self.name, zone=ZONE)
        self.engine: dict[Digest, VersionReference] = {}
        self.admitted: set[Digest] = set()
        self.calls: Counter[Digest] = Counter()
        self.log: list[RolloutCommand] = []
        self.inbox: list[RolloutMessage] = []
        self.single_slot = False

    def enqueue(self, message: RolloutMessage) -> None:
        self.inbox.append(message)

    def process_inbox(self) -> None:
        inbox, self.inbox = self.inbox, []
        for message in inbox:
            for command in self.rollout.handle(message, now_seconds=self.zone.now):
                self.log.append(command)
                self.execute(command)

    def execute(self, command: RolloutCommand) -> None:
        match command:
            case StartCopy(version=v):
                if v.version not in self.zone.uncopyable:
                    self.enqueue(WeightsReady(manifest_digest=v.manifest_digest))
                else:
                    self.enqueue(WeightsFailed(manifest_digest=v.manifest_digest, reason="halted"))
            case LoadVersion(version=v, base_model=base):
                bad = v.version in self.zone.unloadable
                if self.single_slot and base is None:
                    assert not sum(self.calls.values())
                    self.engine.clear()
                if not bad and v.version not in self.zone.ignored:
                    self.engine[v.manifest_digest] = v
                reason = "out of memory" if bad else None
                self.enqueue(LoadEnded(manifest_digest=v.manifest_digest, reason=reason))
            case UnloadVersion(version=v):
                assert not self.calls[v.manifest_digest], "unloaded under a call"
                del self.engine[v.manifest_digest]
                if v.model == "m":
                    # Adapters are unloaded with their base model.
                    self.engine = {d: kept for d, kept in self.engine.items() if kept.model == "m"}
                    self.admitted &= self.engine.keys()
            case ReadEngine():
                loaded = tuple(self.engine.values())
                self.enqueue(EngineReported(loaded=loaded, requested_at_seconds=self.zone.now))
            case AdmitVersion(manifest_digest=digest):
                assert digest in self.engine, "admitted a version that is not loaded"
                self.admitted.add(digest)
            case DrainVersion(manifest_digest=digest):
                self.admitted.discard(digest)
            case PublishFacts(facts=facts):
                self.zone.gossip.append((self.zone.now + self.zone.lag, facts))


class FakeZone:
    """Simulate the agents of one zone with delayed gossip, in steps of one second."""

    def __init__(self, count: int, *, lag: float = 1.0) -> None:
        self.now = 0.0
        self.lag = lag
        self.gossip: list[tuple[float, ReplicaFacts]] = []
        self.facts: dict[InstanceId, ReplicaFacts] = {}
        self.uncopyable: set[str] = set()
        self.unloadable: set[str] = set()
        self.ignored: set[str] = set()
        self.agents = [FakeAgent(f"i{number}", self) for number in range(count)]
        self.fewest_serving = count

    def assign(self, target: Assignment | None) -> None:
        for agent in self.agents:
            agent.enqueue(AssignmentChanged(assignment=target))

    def serving(self, name: str) -> int:
        return sum(version(name).manifest_digest in agent.admitted for agent in self.agents)

    def run(self, seconds: int) -> None:
        for _ in range(seconds):
            self.now += 1
            due = [facts for when, facts in self.gossip if when <= self.now]
            self.gossip = [(w, f) for w, f in self.gossip if w > self.now]
            self.facts |= {facts.instance_id: facts for facts in due}
            for agent in self.agents:
                agent.enqueue(ReplicasUpdated(replicas=tuple(self.facts.values())))
                agent.enqueue(CallsInProgress(counts=dict(agent.calls)))
                agent.enqueue(Tick())
                while agent.inbox:
                    agent.process_inbox()
            admitting = sum(bool(agent.admitted) for agent in self.agents)
            self.fewest_serving = min(self.fewest_serving, admitting)

    def all_logged(self, kind: type[RolloutCommand]) -> list[RolloutCommand]:
        return [c for agent in self.agents for c in agent.log if isinstance(c, kind)]


def serving_zone(count: int, *, lag: float = 1.0) -> FakeZone:
    zone = FakeZone(count, lag=lag)
    zone.assign(assignment("v1"))
    zone.run(20)
    assert zone.serving("v1") == count
    zone.fewest_serving = count
    return zone


class TestWaves:
    """Guard against too few serving replicas during a rollout."""

    @pytest.mark.parametrize("lag", [0.0, 1.0, 2.5])
    def test_min_ready_replicas_serve_throughout(self, lag: float) -> None:
        zone = serving_zone(6, lag=lag)
        zone.assign(assignment("v2", min_ready=4))
        for agent in zone.agents:
            # A long call keeps each replica draining for several seconds.
            agent.calls[version("v1").manifest_digest] = 1
        for second in range(150):
            zone.run(1)
            if second % 8 == 7:
                for agent in zone.agents:
                    if not agent.admitted:
                        agent.calls.clear()
        assert zone.serving("v2") == 6
        assert zone.fewest_serving >= 4

    def test_an_agent_that_never_gets_its_weights_blocks_no_other(self) -> None:
        zone = serving_zone(3)
        zone.agents[0].execute = lambda command: None  # type: ignore[method-assign]
        zone.assign(assignment("v2"))
        zone.run(60)
        assert zone.serving("v2") == 2

    def test_waits_while_dead_replicas_leave_only_min_ready(self) -> None:
        zone = serving_zone(3)
        dead = zone.agents.pop()
        del zone.facts[dead.name]
        zone.assign(assignment("v2", min_ready=2))
        zone.run(60)
        assert zone.serving("v1") == 2

    def test_an_empty_engine_loads_at_once(self) -> None:
        zone = FakeZone(1)
        zone.assign(assignment("v1", min_ready=1))
        zone.run(1)
        assert zone.serving("v1") == 1


class TestUnloading:
    """Guard against unloading a version while its calls are in progress."""

    def test_waits_for_calls_in_progress(self) -> None:
        zone = serving_zone(3)
        busy = zone.agents[0]
        busy.calls[version("v1").manifest_digest] = 2
        zone.assign(assignment("v2"))
        zone.run(60)
        assert version("v1").manifest_digest in busy.engine
        assert zone.serving("v2") < 3
        busy.calls.clear()
        zone.run(60)
        assert zone.serving("v2") == 3
        assert version("v1").manifest_digest not in busy.engine

    def test_ignores_counts_from_before_the_drain(self) -> None:
        zone = serving_zone(3)
        agent = zone.agents[0]
        agent.enqueue(AssignmentChanged(assignment=assignment("v2")))
        while agent.rollout.facts().phase is not Phase.DRAINING:
            zone.now += 1
            agent.enqueue(Tick())
            agent.process_inbox()
        agent.enqueue(Tick())
        agent.process_inbox()
        assert agent.rollout.facts().phase is Phase.DRAINING

    def test_stops_serving_after_calls_ended(self) -> None:
        zone = serving_zone(3)
        zone.assign(None)
        zone.agents[0].calls[version("v1").manifest_digest] = 1
        zone.run(60)
        assert zone.agents[0].engine
        assert sum(not agent.engine for agent in zone.agents) == 1
        assert zone.serving("v1") >= 1


class TestFailedLoads:
    """Guard against a service outage caused by a version that does not load."""

    @pytest.mark.parametrize("single_slot", [False, True])
    def test_halts_after_the_limit_and_keeps_the_old_version(self, single_slot: bool) -> None:
        zone = serving_zone(6)
        zone.unloadable.add("v2")
        for agent in zone.agents:
            agent.single_slot = single_slot
        zone.assign(assignment("v2", min_ready=5))
        zone.run(120)
        assert zone.serving("v1") == 6
        attempts = [c for c in zone.all_logged(LoadVersion) if c.version == version("v2")]  # type: ignore[attr-defined]
        assert len(attempts) == 2
        assert len(zone.all_logged(ReportHalted)) == 6

    def test_the_next_version_rolls_out_after_a_halt(self) -> None:
        zone = serving_zone(3)
        zone.unloadable.add("v2")
        zone.assign(assignment("v2"))
        zone.run(60)
        zone.assign(assignment("v3"))
        zone.run(60)
        assert zone.serving("v3") == 3

    def test_a_halted_copy_leaves_the_old_version(self) -> None:
        zone = serving_zone(3)
        zone.uncopyable.add("v2")
        zone.assign(assignment("v2"))
        zone.run(60)
        assert zone.serving("v1") == 3

    def test_an_engine_that_does_not_report_the_version_is_not_admitted(self) -> None:
        zone = serving_zone(3)
        zone.ignored.add("v2")
        zone.assign(assignment("v2"))
        zone.run(120)
        assert zone.serving("v2") == 0
        assert zone.serving("v1") == 3
        attempts = [c for c in zone.all_logged(LoadVersion) if c.version == version("v2")]  # type: ignore[attr-defined]
        assert len(attempts) == 2

    def test_a_restarted_engine_is_loaded_again(self) -> None:
        zone = serving_zone(3)
        agent = zone.agents[0]
        agent.engine.clear()
        agent.enqueue(EngineReported(loaded=(), requested_at_seconds=zone.now))
        zone.run(5)
        assert zone.serving("v1") == 3

    def test_an_engine_that_is_down_during_the_switch_loads_once_it_is_up(self) -> None:
        """Guard against counting an unreachable engine as a permanent failure of the version."""
        rollout = Rollout(instance_id=InstanceId("r0"), zone=ZONE)
        new = version("2")
        digest = new.manifest_digest
        started = [
            AssignmentChanged(assignment=assignment("2")),
            EngineReported(loaded=(), requested_at_seconds=0.0),
            WeightsReady(manifest_digest=digest),
        ]
        commands = [c for m in started for c in rollout.handle(m, now_seconds=0.0)]
        assert LoadVersion(version=new) in commands
        unreached = LoadEnded(manifest_digest=digest, reason="refused", engine_unreachable=True)
        rollout.handle(unreached, now_seconds=1.0)
        silent = EngineReported(loaded=(), requested_at_seconds=1.0)
        commands = rollout.handle(silent, now_seconds=1.0)
        assert LoadVersion(version=new) not in commands
        assert rollout.facts().failed_digest is None
        later = rollout.handle(Tick(), now_seconds=1.0 + RESTORE_SECONDS)
        assert LoadVersion(version=new) in later
        rollout.handle(LoadEnded(manifest_digest=digest), now_seconds=12.0)
        report = EngineReported(loaded=(new,), requested_at_seconds=12.0)
        commands = rollout.handle(report, now_seconds=12.0)
        assert AdmitVersion(manifest_digest=digest) in commands

    def test_a_version_that_changes_during_the_load_is_not_served(self) -> None:
        zone = serving_zone(3)
        zone.assign(assignment("v2"))
        zone.run(5)
        zone.assign(assignment("v3"))
        zone.run(60)
        assert zone.serving("v3") == 3
        assert all(set(a.engine) == {version("v3").manifest_digest} for a in zone.agents)

    def test_reuses_the_version_that_the_engine_has_loaded(self) -> None:
        zone = FakeZone(1)
        agent = zone.agents[0]
        agent.engine[version("v1").manifest_digest] = version("v1")
        zone.assign(assignment("v1"))
        zone.run(2)
        assert zone.serving("v1") == 1
        assert not zone.all_logged(LoadVersion)


class TestReportOrder:
    """Guard against versions that are admitted or failed because of a report that arrives late."""

    def test_a_report_overtaken_by_a_newer_one_admits_no_version(self) -> None:
        zone = serving_zone(1)
        rollout, old = zone.agents[0].rollout, version("v1")
        restarted = EngineReported(loaded=(), requested_at_seconds=31.0)
        commands = rollout.handle(restarted, now_seconds=31.2)
        assert DrainVersion(manifest_digest=old.manifest_digest) in commands
        overtaken = EngineReported(loaded=(old,), requested_at_seconds=30.9)
        commands = rollout.handle(overtaken, now_seconds=31.3)
        assert AdmitVersion(manifest_digest=old.manifest_digest) not in commands

    def test_a_report_requested_during_a_load_does_not_fail_the_version(self) -> None:
        zone = serving_zone(1)
        rollout, new = zone.agents[0].rollout, version("v2")
        started = [
            AssignmentChanged(assignment=assignment("v2", min_ready=0)),
            WeightsReady(manifest_digest=new.manifest_digest),
        ]
        for message in started:
            rollout.handle(message, now_seconds=30.0)
        commands: list[RolloutCommand] = []
        for now_seconds in (30.0, 40.0, 41.0):
            counts = CallsInProgress(counts={})
            commands += rollout.handle(counts, now_seconds=now_seconds)
        assert LoadVersion(version=new) in commands
        rollout.handle(LoadEnded(manifest_digest=new.manifest_digest), now_seconds=45.0)
        early = EngineReported(loaded=(version("v1"),), requested_at_seconds=44.9)
        rollout.handle(early, now_seconds=45.1)
        assert rollout.facts().failed_digest is None
        report = EngineReported(loaded=(version("v1"), new), requested_at_seconds=45.0)
        commands = rollout.handle(report, now_seconds=45.2)
        assert AdmitVersion(manifest_digest=new.manifest_digest) in commands


class TestAdapters:
    """Guard against adapters without their base model, and base drains for an adapter change."""

    def test_load_and_unload_beside_the_serving_base(self) -> None:
        zone = serving_zone(3)
        adapter = version("x", model="a").manifest_digest
        zone.assign(assignment("v1", adapters=("x",)))
        zone.run(10)
        assert all(adapter in agent.admitted for agent in zone.agents)
        zone.agents[0].calls[adapter] = 1
        zone.assign(assignment("v1"))
        zone.run(10)
        assert [adapter in agent.engine for agent in zone.agents] == [True, False, False]
        zone.agents[0].calls.clear()
        zone.run(10)
        assert adapter not in zone.agents[0].engine
        assert zone.fewest_serving == 3

    @pytest.mark.parametrize("single_slot", [False, True])
    def test_are_loaded_again_with_a_new_base(self, single_slot: bool) -> None:
        zone = serving_zone(3)
        for agent in zone.agents:
            agent.single_slot = single_slot
        zone.assign(assignment("v1", adapters=("x",)))
        zone.run(10)
        zone.assign(assignment("v2", adapters=("x",)))
        zone.run(60)
        adapter = version("x", model="a").manifest_digest
        assert zone.serving("v2") == 3
        assert all(adapter in agent.admitted for agent in zone.agents)
        assert all(adapter in agent.engine for agent in zone.agents)

    def test_a_failed_adapter_leaves_the_base_serving(self) -> None:
        zone = serving_zone(3)
        zone.unloadable.add("x")
        zone.assign(assignment("v1", adapters=("x",)))
        zone.run(10)
        assert zone.serving("v1") == 3
        assert len(zone.all_logged(LoadVersion)) == 6

    def test_an_adapter_that_the_engine_lost_is_not_admitted_until_it_is_loaded_again(self) -> None:
        zone = FakeZone(1)
        zone.assign(assignment("v1", adapters=("a1",)))
        zone.run(20)
        agent, adapter = zone.agents[0], version("a1", model="a").manifest_digest
        assert adapter in agent.admitted
        del agent.engine[adapter]
        report = EngineReported(loaded=tuple(agent.engine.values()), requested_at_seconds=zone.now)
        commands = agent.rollout.handle(report, now_seconds=zone.now)
        assert DrainVersion(manifest_digest=adapter) in commands
        for command in commands:
            agent.execute(command)
        zone.run(5)
        assert adapter in agent.admitted

    def test_adapters_of_an_engine_that_restarted_are_not_admitted(self) -> None:
        zone = FakeZone(1)
        zone.assign(assignment("v1", adapters=("a1",)))
        zone.run(20)
        agent, adapter = zone.agents[0], version("a1", model="a").manifest_digest
        assert adapter in agent.admitted
        agent.engine.clear()
        report = EngineReported(loaded=(), requested_at_seconds=zone.now)
        commands = agent.rollout.handle(report, now_seconds=zone.now)
        assert DrainVersion(manifest_digest=adapter) in commands
