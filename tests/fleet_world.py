"""Deliver greetings between the fleets of many processes in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable

import msgspec

from egretrouter.core.direct import Fleet, FleetMember, FleetRole, Greeting, Revisions, SendGreeting
from egretrouter.core.identifiers import InstanceId, RegionId, ZoneId

TICK_SECONDS = 0.15
GREETING_SECONDS = 0.7
LATENCY_SECONDS = 0.002
STARTED_MS = 1_000


class FleetWorld:
    """Run one fleet for each process, with loss, partitions and pauses."""

    def __init__(self, *, zones: int, routers: int, agents: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.sent_bytes = 0
        self.fleets: dict[InstanceId, Fleet] = {}
        self.stopped: set[InstanceId] = set()
        self.is_partitioned: Callable[[FleetMember, FleetMember], bool] = lambda a, b: False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._encode = msgspec.msgpack.Encoder().encode
        for zone in range(zones):
            for role, count in ((FleetRole.ROUTER, routers), (FleetRole.AGENT, agents)):
                for number in range(count):
                    self.add(f"{role.value}-z{zone}-{number:03}", role=role, zone=f"z{zone}")
        members = [fleet.own for fleet in self.fleets.values()]
        for fleet in self.fleets.values():
            for member in members:
                fleet.add_listed(msgspec.structs.replace(member, started_ms=0), now_seconds=0.0)

    def add(
        self, name: str, *, role: FleetRole, zone: str, started_ms: int = STARTED_MS
    ) -> InstanceId:
        instance_id = InstanceId(name)
        own = FleetMember(
            instance_id=instance_id,
            role=role,
            zone=ZoneId(zone),
            region=RegionId(zone),
            address=name,
            started_ms=started_ms,
        )
        fleet = self.fleets[instance_id] = Fleet(own=own, rng=random.Random(self.rng.random()))
        self._after(self.rng.random() * TICK_SECONDS, lambda: self._tick(fleet))
        self._after(self.rng.random() * GREETING_SECONDS, lambda: self._gossip(fleet))
        return instance_id

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def running(self) -> list[Fleet]:
        return [fleet for i, fleet in self.fleets.items() if i not in self.stopped]

    def views(self) -> list[set[InstanceId]]:
        """Return the members that each running process takes for live."""
        return [{member.instance_id for member in f.live_members()} for f in self.running()]

    def watchers(self) -> list[FleetMember]:
        return [fleet.own for fleet in self.running() if fleet.watch_rank() == 0]

    def greet(self, fleet: Fleet, commands: Iterable[SendGreeting]) -> None:
        for command in commands:
            greeting = fleet.build_greeting(command, Revisions())
            size = len(self._encode(greeting))
            for target in command.targets:
                self.sent_bytes += size
                self._deliver(greeting, target)

    def _deliver(self, greeting: Greeting, target: FleetMember) -> None:
        receiver = self.fleets.get(target.instance_id)
        if receiver is None or self.rng.random() < self.loss:
            return
        if self.is_partitioned(greeting.sender, target):
            return

        def arrive() -> None:
            if target.instance_id not in self.stopped:
                self.greet(receiver, receiver.handle_greeting(greeting, now_seconds=self.now))

        self._after(LATENCY_SECONDS, arrive)

    def _is_running(self, fleet: Fleet) -> bool:
        return self.fleets.get(fleet.own.instance_id) is fleet

    def _tick(self, fleet: Fleet) -> None:
        if not self._is_running(fleet):
            return
        if fleet.own.instance_id not in self.stopped:
            self.greet(fleet, fleet.advance(now_seconds=self.now))
        self._after(TICK_SECONDS, lambda: self._tick(fleet))

    def _gossip(self, fleet: Fleet) -> None:
        if not self._is_running(fleet):
            return
        if fleet.own.instance_id not in self.stopped:
            self.greet(fleet, fleet.gossip(now_seconds=self.now))
        period = GREETING_SECONDS * (0.8 + 0.4 * self.rng.random())
        self._after(period, lambda: self._gossip(fleet))

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._count), action))
