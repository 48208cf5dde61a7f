"""Simulate the membership of a zone in virtual time, without sockets."""

import heapq
import random
import time
from collections.abc import Callable, Iterable

from egretrouter.core.identifiers import Generation, InstanceId, ServiceName, ZoneId
from egretrouter.core.membership import (
    TICK_SECONDS,
    Facts,
    GossipBody,
    GossipReceived,
    LoadSample,
    Member,
    MemberRole,
    Membership,
    MembershipCommand,
    MembershipMessage,
    MemberStatus,
    Seed,
    SeedsListed,
    SendGossip,
    Tick,
    Updates,
    decode_gossip,
    encode_gossip,
)

TRANSPORT_BYTES = 120
"""HTTP/2 and gRPC headers, the protobuf envelope and TCP acknowledgements of one message."""

Event = tuple[float, int, Callable[[], None]]


class VirtualZone:
    """Deliver gossip between members with latency, loss, duplication, partitions and pauses."""

    def __init__(
        self,
        *,
        seed: int = 0,
        kind: type[Membership] = Membership,
        latency_seconds: float = 0.001,
        encode: bool = False,
    ) -> None:
        """Start without members; with encode, messages are encoded and decoded as MessagePack."""
        self.rng = random.Random(seed)
        self.kind = kind
        self.latency_seconds = latency_seconds
        self.encode = encode
        self.loss = 0.0
        self.duplication = 0.0
        self.now = 0.0
        self.nodes: dict[InstanceId, Membership] = {}
        self.paused_until: dict[InstanceId, float] = {}
        self.is_partitioned: Callable[[InstanceId, InstanceId], bool] = lambda a, b: False
        self.on_command: Callable[[InstanceId, MembershipCommand], None] = lambda i, c: None
        self.current_message: MembershipMessage = Tick()
        """The message whose commands are being executed."""
        self.messages = 0
        self.sent_bytes = 0
        self.handle_seconds = 0.0
        self._events: list[Event] = []
        self._event_count = 0

    def add(
        self, name: str, *, zone: str = "serra-z1", agent: bool = True, incarnation: int = 1
    ) -> InstanceId:
        """Start a member, replacing one of the same name."""
        instance_id = InstanceId(name)
        own = Member(
            instance_id=instance_id,
            zone=ZoneId(zone),
            role=MemberRole.AGENT if agent else MemberRole.ROUTER,
            address=f"10.0.0.1:{len(self.nodes)}",
            incarnation=incarnation,
            facts=Facts(service=ServiceName("llm"), ready=True) if agent else Facts(),
        )
        seed = self.rng.randrange(2**32)
        node = self.kind(own=own, rng=random.Random(seed))
        self.nodes[instance_id] = node
        self._schedule(self.rng.random() * TICK_SECONDS, lambda: self._tick(instance_id, node))
        return instance_id

    def list_seeds(self, names: Iterable[InstanceId], *, to: Iterable[InstanceId]) -> None:
        """Deliver an instance list, which may be out of date, to some members."""
        seeds = tuple(
            Seed(instance_id=n, zone=self.nodes[n].own.zone, address=self.nodes[n].own.address)
            for n in names
        )
        for name in to:
            self.deliver(name, SeedsListed(seeds=seeds))

    def remove(self, name: InstanceId) -> None:
        """Remove a member that crashes without announcing it."""
        del self.nodes[name]

    def pause(self, name: InstanceId, seconds: float) -> None:
        """Suspend a member for a time; messages sent to it arrive afterwards."""
        self.paused_until[name] = self.now + seconds

    def run(self, seconds: float) -> None:
        """Process the events of the given span of virtual time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: Callable[[], bool], *, limit_seconds: float) -> float | None:
        """Return the virtual time until a condition holds, checked ten times a second."""
        start = self.now
        while not condition():
            if self.now - start >= limit_seconds:
                return None
            self.run(0.1)
        return self.now - start

    def deliver(self, name: InstanceId, message: MembershipMessage) -> None:
        """Pass a message to a member and execute the resulting commands."""
        start = time.perf_counter()
        commands = self.nodes[name].handle(message, now_seconds=self.now)
        self.current_message = message
        self.handle_seconds += time.perf_counter() - start
        for command in commands:
            if isinstance(command, SendGossip):
                self._send(name, command)
            self.on_command(name, command)

    def views_agree(self, *, within: Iterable[InstanceId] | None = None) -> bool:
        """Return whether each member lists exactly the others of its zone, all of them alive."""
        names = set(within) if within is not None else set(self.nodes)
        for name in names:
            node = self.nodes[name]
            expected = {n for n in names if n != name and self.nodes[n].own.zone == node.own.zone}
            seen = {m.instance_id for m in node.members() if m.status is MemberStatus.ALIVE}
            if seen != expected or len(node.members()) != len(expected):
                return False
        return True

    def _schedule(self, delay_seconds: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_seconds, self._event_count, action))

    def _tick(self, name: InstanceId, node: Membership) -> None:
        if self.nodes.get(name) is not node:
            return
        pause_left_seconds = self.paused_until.get(name, 0.0) - self.now
        if pause_left_seconds > 0:
            self._schedule(pause_left_seconds, lambda: self._tick(name, node))
            return
        self.deliver(name, Tick())
        self._schedule(TICK_SECONDS, lambda: self._tick(name, node))

    def _send(self, sender: InstanceId, command: SendGossip) -> None:
        self.messages += 1
        body: GossipBody | bytes = command.body
        if self.encode:
            start = time.perf_counter()
            body = encode_gossip(command.body)
            self.handle_seconds += time.perf_counter() - start
            self.sent_bytes += len(body) + TRANSPORT_BYTES
        copies = 1 + (self.rng.random() < self.duplication)
        for _ in range(copies):
            if self.rng.random() >= self.loss and not self.is_partitioned(sender, command.target):
                delay = self.latency_seconds * (0.5 + self.rng.random())
                self._schedule(
                    delay, lambda: self._arrive(command.target, body, command.generation)
                )

    def _arrive(self, name: InstanceId, body: GossipBody | bytes, generation: Generation) -> None:
        if name not in self.nodes:
            return
        pause_left_seconds = self.paused_until.get(name, 0.0) - self.now
        if pause_left_seconds > 0:
            self._schedule(pause_left_seconds, lambda: self._arrive(name, body, generation))
            return
        if isinstance(body, bytes):
            start = time.perf_counter()
            body = decode_gossip(body)
            self.handle_seconds += time.perf_counter() - start
        self.deliver(name, GossipReceived(body=body, generation=generation))


def start_zone(count: int, *, routers: int, seed: int = 0, encode: bool = False) -> VirtualZone:
    """Return a zone whose members all list each other and have no updates queued."""
    zone = VirtualZone(seed=seed, encode=encode)
    names = [zone.add(f"instance-{n}", agent=n >= routers) for n in range(count)]
    for name in names:
        zone.deliver(name, build_member_updates(zone, to=name))
        zone.nodes[name]._table._queue.clear()
    return zone


def build_member_updates(
    zone: VirtualZone, *, to: InstanceId, loads: tuple[LoadSample, ...] = ()
) -> GossipReceived:
    """Return a message with all members of a zone, encoded and decoded as on the wire."""
    records = tuple(node.own for name, node in zone.nodes.items() if name != to)
    body = Updates(sender=records[0], updates=records, loads=loads)
    return GossipReceived(body=decode_gossip(encode_gossip(body)))
