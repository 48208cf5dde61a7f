"""Provide a state machine that exposes the members of a zone to random faults."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from benchmarks.virtual_zone import VirtualZone
from egretrouter.core.identifiers import Digest, InstanceId, ServiceName, ZoneId
from egretrouter.core.membership import (
    Facts,
    FactsChanged,
    Leave,
    Member,
    MembersChanged,
    Membership,
    MembershipCommand,
    MemberStatus,
    Tick,
)

ZONE = ZoneId("serra-z1")


def fault_machine(kind: type[Membership]) -> type[RuleBasedStateMachine]:
    """Return a state machine of one zone with seven members and all kinds of faults."""

    class Faults(RuleBasedStateMachine):
        def __init__(self) -> None:
            super().__init__()
            self.zone = VirtualZone(seed=1, kind=kind)
            self.names = [self.zone.add(f"instance-{n}", agent=n > 1) for n in range(7)]
            self.zone.list_seeds(self.names, to=self.names)
            self.zone.on_command = self.check
            self.seen: dict[tuple[InstanceId, InstanceId], Member] = {}
            self.zone.run(5)

        def check(self, observer: InstanceId, command: MembershipCommand) -> None:
            if not isinstance(command, MembersChanged):
                return
            resumed = self.zone.paused_until.get(observer, -10.0)
            for changed in command.changed:
                key = observer, changed.instance_id
                held = self.seen.pop(key, None)
                if changed.status is MemberStatus.DEAD:
                    ticked = isinstance(self.zone.current_message, Tick)
                    recent = ticked and 0 <= self.zone.now - resumed < 0.25
                    is_running = changed.instance_id in self.zone.nodes
                    assert not (recent and is_running), "paused process declared others dead"
                    continue
                self.seen[key] = changed
                if held is not None:
                    assert changed.incarnation >= held.incarnation, "incarnation reverted"
                    assert changed.facts_version >= held.facts_version, "facts reverted"
                    left = held.status is MemberStatus.LEAVING
                    if left and changed.incarnation == held.incarnation:
                        assert changed.status is MemberStatus.LEAVING, "leaving reverted"

        @rule(seconds=st.floats(0.2, 20))
        def wait(self, seconds: float) -> None:
            self.zone.run(seconds)

        @rule(number=st.integers(0, 6), seconds=st.floats(2.5, 40))
        def pause(self, number: int, seconds: float) -> None:
            self.zone.pause(self.names[number], seconds)

        @rule(group=st.sets(st.integers(0, 6), max_size=4))
        def partition(self, group: set[int]) -> None:
            side = {self.names[n] for n in group}
            self.zone.is_partitioned = lambda a, b: (a in side) != (b in side)

        @rule()
        def heal(self) -> None:
            self.zone.is_partitioned = lambda a, b: False

        @rule(loss=st.sampled_from([0.0, 0.1, 0.3]), duplication=st.sampled_from([0.0, 0.3]))
        def disturb(self, loss: float, duplication: float) -> None:
            self.zone.loss, self.zone.duplication = loss, duplication

        @rule(number=st.integers(0, 6), graceful=st.booleans())
        def restart(self, number: int, graceful: bool) -> None:
            name = self.names[number]
            if graceful:
                self.zone.deliver(name, Leave())
                self.zone.run(0.1)
            self.zone.remove(name)
            self.seen = {k: m for k, m in self.seen.items() if k[0] != name}
            self.zone.paused_until.pop(name, None)
            self.zone.add(name, agent=number > 1)
            self.zone.list_seeds(self.names, to=[name])

        @rule(number=st.integers(2, 6), version=st.integers(0, 9))
        def load_version(self, number: int, version: int) -> None:
            name = self.names[number]
            if self.zone.now < self.zone.paused_until.get(name, 0.0):
                return
            facts = Facts(service=ServiceName("llm"), version_digest=Digest(str(version)))
            self.zone.deliver(name, FactsChanged(facts=facts))

        @invariant()
        def memory_is_bounded(self) -> None:
            for node in self.zone.nodes.values():
                assert len(node._table.entries) <= 6
                assert len(node._table._queue) <= 7
                assert len(node._table._load_queue) <= 256

        def teardown(self) -> None:
            self.zone.is_partitioned = lambda a, b: False
            self.zone.loss = self.zone.duplication = 0.0
            self.zone.run(45)
            self.zone.list_seeds(self.names, to=self.names)
            took = self.zone.run_until(self.converged, limit_seconds=120)
            assert took is not None, "no convergence"

        def converged(self) -> bool:
            if not self.zone.views_agree():
                return False
            own = {n: node.own for n, node in self.zone.nodes.items()}
            return all(
                m == own[m.instance_id] for n in self.zone.nodes.values() for m in n.members()
            )

    return Faults
