"""Execute a router's commands in the simulation of calls_world."""

from typing import Any

from egretrouter.core import calls
from egretrouter.core.calls import ClaimEnd, ClaimStatus, ClaimVerdict, SettledClaim
from egretrouter.core.identifiers import CallId, Digest, InstanceId, WorkspaceId

CALL_SECONDS = 4.0
VERSION = Digest("v1")


class Process:
    """Represent a simulated process that can pause or die."""

    def __init__(self, name: str) -> None:
        self.id = InstanceId(name)
        self.dead = False
        self.paused_until = 0.0


class Call:
    """Track one request of a caller and the result that the caller received."""

    def __init__(self, call_id: CallId, *, key: str | None, idempotent: bool) -> None:
        self.id, self.key, self.idempotent = call_id, key, idempotent
        rules = calls.AttemptRules(idempotent=idempotent, keyed=key is not None, hedged=True)
        self.attempt = calls.CallAttempt(call_id, rules=rules)
        self.router: Router | None = None
        self.disconnects = False
        self.deadline = 0.0
        self.content = b""
        self.result: str | None = None
        self.decision: calls.ClaimDecided | None = None
        self.targets: dict[int, calls.Target] = {}


class Router(Process):
    """Execute the commands of call attempts and of the claim table."""

    def __init__(self, world: Any, name: str) -> None:
        super().__init__(name)
        self.world = world
        self.table = calls.ClaimTable(limits=calls.ClaimLimits(shards=1))
        self.calls: dict[CallId, Call] = {}

    def start_call(self, call: Call) -> None:
        self.calls[call.id] = call
        call.router = self
        call.deadline = self.world.now + CALL_SECONDS
        self.execute(call, call.attempt.start())
        world = self.world
        world.schedule(CALL_SECONDS, self, lambda: self.handle(call, calls.DeadlineReached()))
        call.disconnects = world.random.random() < 0.05
        delayed_message = calls.CallerDisconnected() if call.disconnects else calls.HedgeDue()
        world.schedule(world.random.random(), self, lambda: self.handle(call, delayed_message))

    def handle(self, call: Call, message: Any) -> None:
        self.execute(call, call.attempt.handle(message, now_seconds=self.world.now))

    def execute(self, call: Call, commands: list[Any]) -> None:
        for command in commands:
            getattr(self, f"_{type(command).__name__}")(call, command)

    def _ChooseEndpoint(self, call: Call, command: calls.ChooseEndpoint) -> None:  # noqa: N802
        world = self.world
        agents = [a for a in world.agents.values() if a.id not in command.avoid_agents]
        if not agents or world.random.random() < 0.05:
            self.handle(call, calls.NoEndpoint())
            return
        agent = world.random.choice(agents)
        target = calls.Target(
            agent_id=agent.id,
            address=agent.address,
            epoch=agent.epoch,
            call_id=call.attempt.target_call_id(command.attempt),
            expires_at_seconds=agent.clock(call.deadline),
        )
        call.targets[command.attempt] = target
        self.handle(call, calls.EndpointChosen(target=target, version_digest=VERSION))

    def _RecordTarget(  # noqa: N802
        self, call: Call, command: calls.RecordTarget, replaces: calls.ClaimEntry | None = None
    ) -> None:
        place = calls.PlaceClaim(
            key_digest=call.key or "",
            workspace=WorkspaceId("w"),
            fingerprint=Digest("f"),
            claim_id=call.id,
            router_id=self.id,
            attempt=command.attempt,
            target=command.target,
            deadline_at_seconds=call.deadline,
            replaces=replaces,
        )
        world, owner = self.world, self.world.random.choice(self.world.routers)
        if owner is self:
            self.claim(place)
            return
        # Forward to a random router as the supposed owner; without a reply, place the claim here.
        world.schedule(world.delay(), owner, lambda: owner.claim(place))
        world.schedule(0.5, self, lambda: None if call.attempt.ended else self.claim(place))

    def claim(self, message: Any) -> None:
        for command in self.table.handle(message, now_seconds=self.world.now):
            if isinstance(command, calls.ClaimDecided):
                self.answer(command)
            else:
                self.world.store(self, command)

    def answer(self, decision: calls.ClaimDecided) -> None:
        call = self.world.calls_by_id[CallId(decision.claim_id)]
        router = call.router
        if router is self:
            self.apply_decision(call, decision)
        elif router is not None:
            self.world.schedule(
                self.world.delay(), router, lambda: router.apply_decision(call, decision)
            )

    def apply_decision(self, call: Call, decision: calls.ClaimDecided) -> None:
        attempt, verdict = decision.attempt, decision.verdict
        call.decision = decision
        if verdict is ClaimVerdict.GRANTED:
            self.handle(call, calls.TargetRecorded(attempt=attempt))
        elif verdict in {ClaimVerdict.STORE_OUT, ClaimVerdict.SHARD_FULL}:
            self.handle(call, calls.TargetDenied(attempt=attempt, held_elsewhere=False))
        elif verdict is ClaimVerdict.SETTLE:
            assert decision.entry is not None
            self.world.settle(
                self, decision.entry.target, lambda reply: self.settled(call, decision, reply)
            )
        else:
            self.handle(call, calls.TargetDenied(attempt=attempt, held_elsewhere=True))

    def settled(
        self, call: Call, decision: calls.ClaimDecided, reply: calls.ReplySettle | None
    ) -> None:
        kept = reply is not None and reply.content is not None
        action = calls.decide_settled_claim(reply.state if reply else None, answer_kept=kept)
        if action is SettledClaim.REPLACE:
            record = calls.RecordTarget(
                attempt=decision.attempt, target=call.targets[decision.attempt]
            )
            self._RecordTarget(call, record, decision.entry)
            return
        if action is SettledClaim.REPLAY and reply is not None and decision.entry is not None:
            self.end_claim(call, decision.entry.claim_id, ClaimStatus.FINISHED, reply.content)
        call.decision = decision
        self.handle(call, calls.TargetDenied(attempt=decision.attempt, held_elsewhere=True))

    def end_claim(
        self, call: Call, claim_id: str, status: ClaimStatus | None, content: bytes | None = None
    ) -> None:
        answer = None if content is None else calls.ClaimAnswer(status=200, content=content)
        self.claim(
            calls.EndClaim(
                key_digest=call.key or "", claim_id=claim_id, status=status, answer=answer
            )
        )

    def _SendOpen(self, call: Call, command: calls.SendOpen) -> None:  # noqa: N802
        target = command.target
        admit = calls.AdmitCall(
            call_id=target.call_id,
            router_id=self.id,
            epoch=target.epoch,
            version_digest=command.version_digest,
            expires_at_seconds=target.expires_at_seconds,
            idempotent=call.idempotent,
        )
        self.send(call, command, admit)

    def _SendResume(self, call: Call, command: calls.SendResume) -> None:  # noqa: N802
        start, call_id = command.next_sequence, command.target.call_id
        resume = calls.ResumeCall(call_id=call_id, router_id=self.id, next_sequence=start)
        self.send(call, command, resume)

    def _SendCancel(self, call: Call, command: calls.SendCancel) -> None:  # noqa: N802
        call_id, expires = command.target.call_id, command.target.expires_at_seconds
        self.send(call, command, calls.CancelCall(call_id=call_id, expires_at_seconds=expires))

    def send(self, call: Call, command: Any, message: Any) -> None:
        world, target = self.world, command.target
        agent = world.agents_by_id[target.agent_id]
        lost = world.random.random() < 0.15
        copies = 0 if lost and world.random.random() < 0.5 else world.random.choice([1, 1, 1, 2])
        for _ in range(copies):
            world.schedule(world.delay(), agent, lambda: agent.handle(message))
        if lost or agent.dead:
            link_lost = calls.LinkLost(attempt=command.attempt)
            world.schedule(world.delay(), self, lambda: self.handle(call, link_lost))
            world.schedule(
                world.delay(), agent, lambda: agent.handle(calls.RouterLost(router_id=self.id))
            )
            world.schedule(3, agent, lambda: agent.handle(calls.RouterAttached(router_id=self.id)))

    def _SendSettle(self, call: Call, command: calls.SendSettle) -> None:  # noqa: N802
        def answered(reply: calls.ReplySettle | None) -> None:
            message: Any = calls.SettleFailed(attempt=command.attempt)
            if reply is not None:
                message = calls.SettleAnswered(attempt=command.attempt, state=reply.state)
            self.handle(call, message)

        self.world.settle(self, command.target, answered)

    def _ForwardToCaller(self, call: Call, command: calls.ForwardToCaller) -> None:  # noqa: N802
        if isinstance(command.body, calls.AnswerData):
            call.content += command.body.data

    def _FinishCaller(self, call: Call, command: Any) -> None:  # noqa: N802
        self.world.finish(call, "whole")

    def _FailCaller(self, call: Call, command: calls.FailCaller) -> None:  # noqa: N802
        self.world.finish(call, command.outcome.value)

    def _DeferToClaim(self, call: Call, command: Any) -> None:  # noqa: N802
        decision = call.decision
        assert decision is not None
        answer = decision.entry.answer if decision.entry else None
        if decision.verdict is ClaimVerdict.REPLAY and answer and answer.content is not None:
            call.content = answer.content
            self.world.finish(call, "replay")
        else:
            self.world.finish(call, decision.verdict.value)

    def _CloseClaim(self, call: Call, command: calls.CloseClaim) -> None:  # noqa: N802
        status = None if command.end is ClaimEnd.RELEASED else ClaimStatus(command.end.value)
        content = call.content if status is ClaimStatus.FINISHED else None
        self.end_claim(call, call.id, status, content)
