"""Test the agent's call registry."""

from typing import Any

import pytest

from egretrouter.core import calls
from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import CallId, Digest, Epoch, InstanceId

ROUTER = InstanceId("router-1")
VERSION = Digest("v1")


def registry(**limits: Any) -> calls.CallRegistry:
    return calls.CallRegistry(
        epoch=Epoch(1),
        version_digests=frozenset({VERSION}),
        limits=calls.RegistryLimits(**limits),
        now_seconds=0.0,
    )


def admit(
    name: str = "a", *, epoch: int = 1, expires: float = 30.0, **other: Any
) -> calls.AdmitCall:
    fields = {"version_digest": VERSION, "idempotent": False, **other}
    return calls.AdmitCall(
        call_id=CallId(name),
        router_id=ROUTER,
        epoch=Epoch(epoch),
        expires_at_seconds=expires,
        **fields,
    )


def settle(name: str = "a", *, epoch: int = 1, expires: float = 30.0) -> calls.SettleCall:
    return calls.SettleCall(call_id=CallId(name), epoch=Epoch(epoch), expires_at_seconds=expires)


def refusal(commands: list[calls.RegistryCommand]) -> str:
    (command,) = commands
    assert isinstance(command, calls.SendFrame)
    assert isinstance(command.body, calls.AnswerFailure)
    assert command.body.outcome is Outcome.NOT_RUN
    return command.body.reason


def settled(agent: calls.CallRegistry, message: calls.SettleCall, now: float) -> calls.ReplySettle:
    (reply,) = agent.handle(message, now_seconds=now)
    assert isinstance(reply, calls.ReplySettle)
    return reply


def finish(
    agent: calls.CallRegistry, name: str = "a", *, now: float = 1.0, data: bytes = b"x"
) -> None:
    call_id = CallId(name)
    agent.handle(calls.CallStarted(call_id=call_id), now_seconds=now)
    for body in (calls.AnswerHead(status=201), calls.AnswerData(data=data)):
        agent.handle(calls.AnswerProduced(call_id=call_id, body=body), now_seconds=now)
    agent.handle(calls.CallFinished(call_id=call_id), now_seconds=now)


class TestAdmission:
    """Guard against running a call twice and against reporting one that ran as refused."""

    def test_starts_a_call_once_and_ignores_copies(self) -> None:
        agent = registry()
        assert agent.handle(admit(), now_seconds=0.0) == [calls.StartCall(call_id=CallId("a"))]
        assert agent.handle(admit(), now_seconds=0.1) == []
        finish(agent)
        assert agent.handle(admit(), now_seconds=9.0) == []

    @pytest.mark.parametrize(
        ("message", "reason"),
        [
            (admit(epoch=2), "other_epoch"),
            (admit(version_digest=Digest("v2")), "other_version"),
            (admit(expires=0.0), "expired"),
        ],
    )
    def test_refuses_with_a_reason(self, message: calls.AdmitCall, reason: str) -> None:
        assert refusal(registry().handle(message, now_seconds=0.0)) == reason

    def test_refused_call_stays_refused_when_capacity_is_available(self) -> None:
        agent = registry(running_calls=1)
        agent.handle(admit("a"), now_seconds=0.0)
        assert refusal(agent.handle(admit("b"), now_seconds=0.0)) == "full"
        finish(agent, "a")
        assert refusal(agent.handle(admit("b"), now_seconds=2.0)) == "full"
        assert agent.handle(admit("c"), now_seconds=2.0) == [calls.StartCall(call_id=CallId("c"))]

    def test_refused_call_stays_refused_when_its_id_did_not_fit(self) -> None:
        agent = registry(remembered_calls=1, settle_seconds=0.0, kept_answer_seconds=1.0)
        agent.handle(admit("a", expires=2.0), now_seconds=0.0)
        finish(agent, "a")
        assert settled(agent, settle("b", expires=9.0), 1.0).state is calls.CallState.TOMBSTONED
        agent.handle(calls.Tick(), now_seconds=5.0)
        assert refusal(agent.handle(admit("b", expires=9.0), now_seconds=5.0)) == "full"
        assert agent.handle(admit("c", expires=9.5), now_seconds=5.0)

    def test_copy_is_refused_after_its_id_was_removed(self) -> None:
        agent = registry()
        agent.handle(admit(), now_seconds=0.0)
        finish(agent)
        for second in range(2, 200):
            agent.handle(calls.Tick(), now_seconds=float(second))
        assert agent.snapshot()["remembered"] == 0
        (frame,) = agent.handle(admit(), now_seconds=200.0)
        assert isinstance(frame, calls.SendFrame)
        assert isinstance(frame.body, calls.AnswerFailure)
        assert (frame.body.reason, frame.body.outcome) == ("expired", Outcome.UNKNOWN)
        assert settled(agent, settle(), 200.0).state is calls.CallState.FORGOTTEN

    def test_drains_after_the_last_call(self) -> None:
        agent = registry()
        agent.handle(admit(), now_seconds=0.0)
        assert agent.handle(calls.Drain(), now_seconds=0.0) == []
        assert refusal(agent.handle(admit("b"), now_seconds=0.0)) == "draining"
        agent.handle(calls.CallStarted(call_id=CallId("a")), now_seconds=0.0)
        assert calls.Drained() in agent.handle(
            calls.CallFinished(call_id=CallId("a")), now_seconds=1.0
        )

    def test_long_pause_stops_admission_until_the_epoch_is_read_again(self) -> None:
        agent = registry()
        commands = agent.handle(admit("a", expires=99.0), now_seconds=60.0)
        assert commands[0] == calls.ConfirmEpoch(pause=1)
        assert refusal(commands[1:]) == "epoch_unconfirmed"
        agent.handle(calls.EpochRead(epoch=Epoch(2), pause=1), now_seconds=61.0)
        assert refusal(agent.handle(admit("b", expires=99.0), now_seconds=61.0))
        agent.handle(calls.EpochRead(epoch=Epoch(1), pause=1), now_seconds=61.0)
        assert agent.handle(admit("c", expires=99.0), now_seconds=61.0)

    def test_answer_about_an_earlier_pause_does_not_end_a_later_one(self) -> None:
        agent = registry()
        agent.handle(calls.Tick(), now_seconds=60.0)
        late = calls.EpochRead(epoch=Epoch(1), pause=1)
        commands = agent.handle(late, now_seconds=120.0)
        assert commands == [calls.ConfirmEpoch(pause=2)]
        refused = agent.handle(admit("a", expires=199.0), now_seconds=120.0)
        assert refusal(refused) == "epoch_unconfirmed"


class TestSettle:
    """Guard against a wrong state report for a call whose link broke."""

    def test_unknown_call_can_never_run(self) -> None:
        agent = registry()
        assert settled(agent, settle(), 0.0).state is calls.CallState.TOMBSTONED
        assert refusal(agent.handle(admit(), now_seconds=1.0)) == "tombstoned"

    def test_other_epoch_does_not_report_a_state(self) -> None:
        assert settled(registry(), settle(epoch=2), 0.0).state is calls.CallState.OTHER_EPOCH

    def test_returns_the_kept_answer_then_only_the_state(self) -> None:
        agent = registry()
        agent.handle(admit(), now_seconds=0.0)
        assert settled(agent, settle(), 0.0).state is calls.CallState.ADMITTED
        finish(agent, now=5.0, data=b"contract")
        reply = settled(agent, settle(), 6.0)
        assert (reply.state, reply.content) == (calls.CallState.FINISHED, b"contract")
        for second in range(6, 40):
            agent.handle(calls.Tick(), now_seconds=float(second))
        reply = settled(agent, settle(), 40.0)
        assert (reply.state, reply.content) == (calls.CallState.FINISHED, None)

    def test_byte_limit_drops_idempotent_answers_first_and_no_id(self) -> None:
        agent = registry(kept_answer_bytes=1500)
        for name, idempotent in (("a", False), ("b", True)):
            agent.handle(admit(name, idempotent=idempotent), now_seconds=0.0)
            finish(agent, name, data=b"x" * 1000)
        assert settled(agent, settle("a"), 2.0).content == b"x" * 1000
        assert settled(agent, settle("b"), 2.0).content is None
        assert agent.handle(admit("b"), now_seconds=2.0) == []

    @pytest.mark.parametrize(
        ("started", "state"), [(False, calls.CallState.REFUSED), (True, calls.CallState.FAILED)]
    )
    def test_failure_is_not_run_only_before_the_start(
        self, started: bool, state: calls.CallState
    ) -> None:
        agent = registry()
        agent.handle(admit(), now_seconds=0.0)
        if started:
            agent.handle(calls.CallStarted(call_id=CallId("a")), now_seconds=0.0)
        agent.handle(calls.CallFailed(call_id=CallId("a")), now_seconds=1.0)
        assert settled(agent, settle(), 2.0).state is state


class TestLinks:
    """Guard against lost frames and against stopping non-idempotent calls."""

    def test_resumes_from_a_sequence_number(self) -> None:
        agent = registry()
        agent.handle(admit(), now_seconds=0.0)
        finish(agent)
        resume = calls.ResumeCall(call_id=CallId("a"), router_id=ROUTER, next_sequence=1)
        frames = [
            c for c in agent.handle(resume, now_seconds=2.0) if isinstance(c, calls.SendFrame)
        ]
        assert [frame.sequence for frame in frames] == [1, 2]
        assert isinstance(frames[-1].body, calls.AnswerEnd)

    def test_resume_from_a_dropped_frame_fails(self) -> None:
        agent = registry(call_buffer_bytes=200)
        agent.handle(admit(), now_seconds=0.0)
        finish(agent, data=b"x" * 300)
        resume = calls.ResumeCall(call_id=CallId("a"), router_id=ROUTER, next_sequence=0)
        (frame,) = agent.handle(resume, now_seconds=2.0)
        assert isinstance(frame, calls.SendFrame)
        assert isinstance(frame.body, calls.AnswerFailure)
        assert frame.body.outcome is Outcome.UNKNOWN

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_lost_router_stops_only_idempotent_calls(self, idempotent: bool) -> None:
        agent = registry()
        agent.handle(admit(idempotent=idempotent), now_seconds=0.0)
        agent.handle(calls.CallStarted(call_id=CallId("a")), now_seconds=0.0)
        agent.handle(calls.RouterLost(router_id=ROUTER), now_seconds=1.0)
        assert agent.handle(calls.Tick(), now_seconds=5.9) == []
        stopped = calls.StopCall(call_id=CallId("a")) in agent.handle(calls.Tick(), now_seconds=6.0)
        assert stopped is idempotent

    def test_cancelled_call_is_refused_when_it_arrives_later(self) -> None:
        agent = registry()
        agent.handle(calls.CancelCall(call_id=CallId("a"), expires_at_seconds=9.0), now_seconds=0.0)
        assert refusal(agent.handle(admit(expires=9.0), now_seconds=1.0)) == "tombstoned"
