"""Simulate routers, agents and the claim store with random faults in virtual time."""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from calls_router import VERSION, Call, Process, Router
from msgspec.structs import replace

from egretrouter.core import calls
from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import CallId, Epoch, InstanceId

END_SECONDS = 40.0
REGISTRY_LIMITS = calls.RegistryLimits(
    running_calls=2, kept_answer_seconds=1.0, router_lost_seconds=1.0, lease_seconds=5.0
)


class Agent(Process):
    """Run a call registry in front of an endpoint that executes every call it receives."""

    def __init__(self, world: "World", address: str, epoch: int) -> None:
        super().__init__(f"agent-{address}-{epoch}")
        self.address, self.epoch = address, Epoch(epoch)
        self.clock_offset = world.random.uniform(-1000, 1000)
        self.last_tick = world.now
        self.world = world
        self.registry = calls.CallRegistry(
            epoch=self.epoch,
            version_digests=frozenset({VERSION}),
            limits=replace(
                REGISTRY_LIMITS,
                remembered_calls=world.random.choice([1, 12]),
                settle_seconds=world.random.choice([0.0, 6.0]),
            ),
            now_seconds=self.clock(world.now),
        )

    def clock(self, now: float) -> float:
        return now + self.clock_offset

    def handle(self, message: Any) -> None:
        world = self.world
        while self.last_tick + 2 < world.now and self.paused_until <= self.last_tick + 2:
            self.last_tick += 2
            self.execute(self.registry.handle(calls.Tick(), now_seconds=self.clock(self.last_tick)))
        self.last_tick = world.now
        self.execute(self.registry.handle(message, now_seconds=self.clock(world.now)))

    def execute(self, commands: list[Any]) -> None:
        world = self.world
        for command in commands:
            if isinstance(command, calls.StartCall):
                world.schedule(world.delay(), self, lambda c=command: self.run(c.call_id))
            elif isinstance(command, calls.SendFrame):
                world.send_frame(self, command)
            elif isinstance(command, calls.ConfirmEpoch):
                epoch = world.agents[self.address].epoch
                world.schedule(
                    world.delay(),
                    self,
                    lambda e=epoch, p=command.pause: self.handle(calls.EpochRead(epoch=e, pause=p)),
                )

    def run(self, call_id: CallId) -> None:
        world, chance = self.world, self.world.random.random
        if chance() < 0.1:
            self.handle(calls.CallFailed(call_id=call_id))
            return
        self.handle(calls.CallStarted(call_id=call_id))
        world.executions.append(call_id)
        bodies = [
            calls.AnswerHead(status=200),
            *(calls.AnswerData(data=piece) for piece in world.answer_pieces(call_id)),
        ]
        messages: list[Any] = [calls.AnswerProduced(call_id=call_id, body=b) for b in bodies]
        messages.append(calls.CallFinished(call_id=call_id))
        if chance() < 0.1:
            messages[world.random.randrange(len(messages)) :] = [calls.CallFailed(call_id=call_id)]
        after = 0.0
        for message in messages:
            after += world.delay()
            world.schedule(after, self, lambda m=message: self.handle(m))


class World:
    """Schedule messages, process crashes and pauses, and store faults from one seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Process, Callable[[], None]]] = []
        self.event_count = 0
        self.executions: list[CallId] = []
        self.calls: list[Call] = []
        self.calls_by_id: dict[CallId, Call] = {}
        self.object = (0, b"")
        self.store_process = Process("store")
        self.agents_by_id: dict[InstanceId, Agent] = {}
        self.agents: dict[str, Agent] = {}
        for address in "ab":
            self.start_agent(address, 1)
        self.routers = [Router(self, f"router-{number}") for number in range(2)]
        self.started_routers = len(self.routers)

    def start_agent(self, address: str, epoch: int) -> None:
        agent = self.agents[address] = Agent(self, address, epoch)
        self.agents_by_id[agent.id] = agent

    def schedule(self, after: float, process: Process, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + after, self.event_count, process, action))

    def delay(self) -> float:
        chance = self.random.random()
        if chance < 0.9:
            return chance * 0.05
        return chance if chance < 0.97 else self.random.uniform(1, 14)

    def answer_pieces(self, call_id: CallId) -> list[bytes]:
        return [b"answer of ", call_id.encode()]

    def send_frame(self, agent: Agent, command: calls.SendFrame) -> None:
        router = next((r for r in self.routers if r.id == command.router_id), None)
        call_name, _, attempt = command.call_id.rpartition(".")
        call = router.calls.get(CallId(call_name)) if router else None
        if router is None or call is None or self.random.random() < 0.02:
            return
        body = command.body
        if isinstance(body, calls.AnswerData) and self.random.random() < 0.02:
            body = calls.AnswerData(data=b"corrupted ")
        message = calls.FrameArrived(attempt=int(attempt), sequence=command.sequence, body=body)
        for _ in range(self.random.choice([1, 1, 1, 1, 2])):
            self.schedule(self.delay(), router, lambda: router.handle(call, message))

    def settle(
        self, router: Router, target: calls.Target, done: Callable[[calls.ReplySettle | None], None]
    ) -> None:
        answered: list[bool] = []

        def reply(value: calls.ReplySettle | None) -> None:
            if not answered:
                answered.append(True)
                done(value)

        def ask() -> None:
            (*_, answer) = agent.registry.handle(message, now_seconds=agent.clock(self.now))
            if self.random.random() > 0.1:
                self.schedule(self.delay(), router, lambda: reply(answer))

        message = calls.SettleCall(
            call_id=target.call_id, epoch=target.epoch, expires_at_seconds=target.expires_at_seconds
        )
        agent = self.agents[target.address]
        if self.random.random() > 0.1:
            self.schedule(self.delay(), agent, ask)
        self.schedule(1.0, router, lambda: reply(None))

    def store(self, router: Router, command: Any) -> None:
        shard, request = command.shard, command.request

        def answer(message: Any, after: float) -> None:
            self.schedule(after, router, lambda: router.claim(message))

        def read() -> None:
            version, content = self.object
            message = calls.ShardRead(
                shard=shard, request=request, version=version, content=content
            )
            answer(message, self.random.random() * 0.02)

        def write(is_acknowledged: bool) -> None:
            message: Any = calls.ShardWriteUndecided(shard=shard, request=request)
            if self.object[0] == command.expected_version:
                self.object = (command.expected_version + 1, command.content)
                if is_acknowledged:
                    message = calls.ShardWritten(
                        shard=shard, request=request, version=self.object[0]
                    )
            answer(message, self.random.random() * 0.02)

        chance, unavailable = (
            self.random.random(),
            calls.ShardUnavailable(shard=shard, request=request),
        )
        if isinstance(command, calls.ReadShard):
            if chance < 0.05:
                answer(unavailable, 0.01)
            else:
                self.schedule(self.random.random() * 0.02, self.store_process, read)
        elif chance < 0.1:
            # The router gets no confirmation; the write takes effect later or never.
            undecided = calls.ShardWriteUndecided(shard=shard, request=request)
            answer(unavailable if self.random.random() < 0.5 else undecided, 0.01)
            if chance < 0.07:
                self.schedule(self.delay() * 3, self.store_process, lambda: write(False))
        else:
            is_acknowledged = self.random.random() > 0.1
            self.schedule(
                self.random.random() * 0.02, self.store_process, lambda: write(is_acknowledged)
            )

    def finish(self, call: Call, result: str) -> None:
        assert call.result is None, f"{call.id} ended twice: {call.result}, {result}"
        call.result = result
        if result not in {"whole", "replay"} and call.key and self.random.random() < 0.7:
            self.schedule(
                self.random.random() * 5, self.store_process, lambda: self.request(call.key)
            )

    def request(self, key: str | None, *, idempotent: bool = False) -> None:
        if len(self.calls) >= 10:
            return
        call = Call(CallId(f"c{len(self.calls)}"), key=key, idempotent=idempotent)
        self.calls.append(call)
        self.calls_by_id[call.id] = call
        router = self.random.choice(self.routers)
        self.schedule(0.0, router, lambda: router.start_call(call))

    def inject_fault(self) -> None:
        kind = self.random.random()
        process = self.random.choice([*self.routers, *self.agents.values()])
        if kind < 0.6:
            # A pause is never shortened, or an endpoint's answer would reach its agent reordered.
            until = self.now + self.random.uniform(0.1, 12)
            process.paused_until = max(process.paused_until, until)
        else:
            process.dead = True
        if isinstance(process, Router) and process.dead:
            self.started_routers += 1
            new = Router(self, f"router-{self.started_routers}")
            self.routers[self.routers.index(process)] = new
            self.schedule(0.5, new, lambda: self.tick(new))
        elif isinstance(process, Agent) and (process.dead or self.random.random() < 0.3):
            # A paused agent may also be replaced and resume later.
            self.start_agent(process.address, process.epoch + 1)

    def tick(self, router: Router) -> None:
        live = frozenset(r.id for r in self.routers)
        router.table.handle(calls.RoutersChanged(routers=live), now_seconds=self.now)
        router.claim(calls.ClaimTick())
        if self.now < END_SECONDS:
            self.schedule(1.5, router, lambda: self.tick(router))

    def run(self) -> "World":
        for router in self.routers:
            self.schedule(0.0, router, lambda r=router: self.tick(r))
        # In half of the runs, requests compete for a key after the first call's faults.
        start, span = self.random.choice([(0.0, 6.0), (self.random.uniform(1, 8), 0.1)])
        for number in range(4):
            chance = self.random.random()
            key = self.random.choice(["k1", "k1", "k2"]) if chance < 0.6 else None
            idempotent = chance > 0.85
            self.schedule(
                start + self.random.random() * span if number else self.random.random(),
                self.store_process,
                lambda k=key, i=idempotent: self.request(k, idempotent=i),
            )
        for _ in range(self.random.randrange(4)):
            self.schedule(self.random.random() * 8, self.store_process, self.inject_fault)
        while self.events:
            self.now, _, process, action = heapq.heappop(self.events)
            if process.paused_until > self.now:
                # Events that arrive during a pause are rescheduled to its end in their order.
                self.event_count += 1
                event = (process.paused_until, self.event_count, process, action)
                heapq.heappush(self.events, event)
            elif not process.dead:
                action()
        return self

    def violations(self) -> list[str]:
        """Return a description of each violated guarantee."""
        runs: dict[str, int] = defaultdict(int)
        key_runs: dict[str, int] = defaultdict(int)
        for call_id in self.executions:
            call = self.calls_by_id[CallId(call_id.rpartition(".")[0])]
            runs[call.id] += 1
            if call.key is not None:
                key_runs[call.key] += 1
        found = [f"key {key} ran {count} times" for key, count in key_runs.items() if count > 1]
        for call in self.calls:
            count = runs[call.id]
            answerable = call.router is not None and not call.router.dead and not call.disconnects
            if answerable and call.result is None:
                found.append(f"{call.id} got neither answer nor error")
            if count > 1 and not call.idempotent:
                found.append(f"{call.id} ran {count} times")
            if call.result == Outcome.NOT_RUN.value and count:
                found.append(f"{call.id} is not_run but ran")
            if call.result in {"whole", "replay"} and not self._is_answer(call):
                found.append(f"{call.id} got {call.content!r}")
        return found

    def _is_answer(self, call: Call) -> bool:
        source = CallId(call.content.removeprefix(b"answer of ").decode())
        if source not in self.executions or call.content != b"".join(self.answer_pieces(source)):
            return False
        source_call = self.calls_by_id[CallId(source.rpartition(".")[0])]
        return source_call is call or (call.key is not None and source_call.key == call.key)
