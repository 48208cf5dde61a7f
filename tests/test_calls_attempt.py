"""Test how a router sends, retries and finishes one call."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretrouter.core import calls
from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import CallId, Digest, Epoch, InstanceId

HEAD = calls.AnswerHead(status=200)
REFUSED = calls.AnswerFailure(outcome=Outcome.NOT_RUN, reason="full")


class Call:
    """Drive one call attempt."""

    def __init__(self, **rules: Any) -> None:
        self.attempt = calls.CallAttempt(CallId("c"), rules=calls.AttemptRules(**rules))
        self.attempt.start()

    def send(self, message: Any) -> list[calls.AttemptCommand]:
        return self.attempt.handle(message, now_seconds=0.0)

    def choose(self, number: int = 1, *, version: str = "v1") -> list[calls.AttemptCommand]:
        target = calls.Target(
            agent_id=InstanceId(f"agent-{number}"),
            address="127.0.0.1:1",
            epoch=Epoch(1),
            call_id=self.attempt.target_call_id(number),
            expires_at_seconds=30.0,
        )
        return self.send(calls.EndpointChosen(target=target, version_digest=Digest(version)))

    def frames(
        self, *bodies: calls.AnswerBody, attempt: int = 1, first: int = 0
    ) -> list[calls.AttemptCommand]:
        commands: list[calls.AttemptCommand] = []
        for sequence, body in enumerate(bodies, start=first):
            commands += self.send(calls.FrameArrived(attempt=attempt, sequence=sequence, body=body))
        return commands


def answer(*pieces: bytes, call_id: str = "c.1") -> list[calls.AnswerBody]:
    checksum = calls.AnswerChecksum(CallId(call_id))
    bodies: list[calls.AnswerHead | calls.AnswerData] = [
        HEAD,
        *(calls.AnswerData(data=p) for p in pieces),
    ]
    for body in bodies:
        checksum.add(body)
    return [*bodies, checksum.end()]


def failed(commands: list[calls.AttemptCommand]) -> Outcome | None:
    return next((c.outcome for c in commands if isinstance(c, calls.FailCaller)), None)


def content(commands: list[calls.AttemptCommand]) -> bytes:
    bodies = [c.body for c in commands if isinstance(c, calls.ForwardToCaller)]
    return b"".join(body.data for body in bodies if isinstance(body, calls.AnswerData))


class TestCompleteAnswer:
    """Guard against a normal end of a stream that lacks, repeats or swaps bytes."""

    def test_forwards_and_finishes(self) -> None:
        call = Call(idempotent=False)
        assert isinstance(call.choose()[0], calls.SendOpen)
        commands = call.frames(*answer(b"ab", b"c"))
        assert content(commands) == b"abc"
        assert commands[-1] == calls.FinishCaller()

    @pytest.mark.parametrize(
        "bodies",
        [
            answer(b"ab", call_id="other.1"),
            [*answer(b"ab")[:-1], calls.AnswerEnd(total_bytes=1, checksum=0)],
            [HEAD, calls.AnswerData(data=b"xb"), answer(b"ab")[-1]],
            [HEAD, HEAD],
            [calls.AnswerData(data=b"ab")],
        ],
        ids=["swapped", "count", "corrupted", "two heads", "no head"],
    )
    def test_malformed_answer_is_an_explicit_error(self, bodies: list[calls.AnswerBody]) -> None:
        call = Call(idempotent=True)
        call.choose()
        commands = call.frames(*bodies)
        assert failed(commands) is Outcome.UNKNOWN
        assert calls.FinishCaller() not in commands

    def test_ignores_repeated_frames_and_asks_for_missing_ones(self) -> None:
        call = Call(idempotent=False)
        call.choose()
        head, first, second, end = answer(b"ab", b"c")
        call.frames(head, first)
        assert call.frames(first, first=1) == []
        assert isinstance(call.frames(end, first=3)[0], calls.SendResume)
        assert call.frames(second, end, first=2)[-1] == calls.FinishCaller()


class TestRetry:
    """Guard against a second execution of a call that is not idempotent."""

    def test_refused_call_is_retried_at_another_agent(self) -> None:
        call = Call(idempotent=False)
        call.choose()
        (command,) = call.frames(REFUSED)
        assert isinstance(command, calls.ChooseEndpoint)
        assert command.avoid_agents == {InstanceId("agent-1")}
        assert failed(call.send(calls.NoEndpoint())) is Outcome.NOT_RUN

    @pytest.mark.parametrize(
        ("state", "expected"),
        [
            (calls.CallState.TOMBSTONED, calls.ChooseEndpoint),
            (calls.CallState.REFUSED, calls.ChooseEndpoint),
            (calls.CallState.RUNNING, calls.SendResume),
            (calls.CallState.FINISHED, calls.SendResume),
            (calls.CallState.OTHER_EPOCH, calls.FailCaller),
            (calls.CallState.FORGOTTEN, calls.FailCaller),
            (calls.CallState.FAILED, calls.FailCaller),
        ],
    )
    def test_lost_link_is_settled_first(self, state: calls.CallState, expected: type) -> None:
        call = Call(idempotent=False)
        call.choose()
        assert isinstance(call.send(calls.LinkLost(attempt=1))[0], calls.SendSettle)
        commands = call.send(calls.SettleAnswered(attempt=1, state=state))
        assert isinstance(commands[0], expected)
        assert failed(commands) in {None, Outcome.UNKNOWN}

    def test_unreachable_agent_leaves_the_outcome_unknown(self) -> None:
        call = Call(idempotent=False)
        call.choose()
        commands = call.send(calls.LinkLost(attempt=1))
        for _ in range(3):
            commands = call.send(calls.SettleFailed(attempt=1))
        assert failed(commands) is Outcome.UNKNOWN

    def test_tombstone_after_a_frame_leaves_the_outcome_unknown(self) -> None:
        call = Call(idempotent=False)
        call.choose()
        call.frames(HEAD)
        call.send(calls.LinkLost(attempt=1))
        commands = call.send(calls.SettleAnswered(attempt=1, state=calls.CallState.TOMBSTONED))
        assert failed(commands) is Outcome.UNKNOWN

    def test_idempotent_call_is_retried_until_a_byte_was_forwarded(self) -> None:
        call = Call(idempotent=True)
        call.choose()
        assert isinstance(call.send(calls.LinkLost(attempt=1))[0], calls.ChooseEndpoint)
        call.choose(2)
        call.frames(HEAD, attempt=2)
        call.send(calls.LinkLost(attempt=2))
        commands = call.send(calls.SettleAnswered(attempt=2, state=calls.CallState.OTHER_EPOCH))
        assert failed(commands) is Outcome.UNKNOWN

    @pytest.mark.parametrize(
        ("second_answer", "version", "is_complete"),
        [
            ([b"ab", b"cd"], "v1", True),
            ([b"abcd"], "v1", True),
            ([b"ax", b"cd"], "v1", False),
            ([b"a"], "v1", False),
            ([b"ab", b"cd"], "v2", False),
        ],
    )
    def test_repeatable_answer_continues_only_byte_for_byte_and_on_the_version(
        self, second_answer: list[bytes], version: str, is_complete: bool
    ) -> None:
        call = Call(idempotent=True, repeatable_answer=True)
        call.choose()
        commands = call.frames(*answer(b"abc")[:-1])
        call.send(calls.LinkLost(attempt=1))
        (choose,) = call.send(calls.SettleAnswered(attempt=1, state=calls.CallState.OTHER_EPOCH))
        assert isinstance(choose, calls.ChooseEndpoint)
        assert choose.version_digest == "v1"
        commands += call.choose(2, version=version)
        commands += call.frames(*answer(*second_answer, call_id="c.2"), attempt=2)
        assert (calls.FinishCaller() in commands) is is_complete
        assert content(commands) == (b"abcd" if is_complete else b"abc")


class TestHedge:
    """Guard against hedging a non-idempotent call and against mixing two answers."""

    @pytest.mark.parametrize("idempotent", [True, False])
    def test_hedges_only_idempotent_calls(self, idempotent: bool) -> None:
        call = Call(idempotent=idempotent, hedged=True)
        call.choose()
        assert bool(call.send(calls.HedgeDue())) is idempotent

    def test_first_answer_wins_and_the_other_is_cancelled(self) -> None:
        call = Call(idempotent=True, hedged=True)
        call.choose()
        call.send(calls.HedgeDue())
        call.choose(2)
        commands = call.frames(*answer(b"two", call_id="c.2"), attempt=2)
        assert isinstance(commands[0], calls.SendCancel)
        assert commands[0].attempt == 1
        assert content(commands + call.frames(*answer(b"one"))) == b"two"


class TestKeyedCall:
    """Guard against sending a call to a target that its claim does not record."""

    def test_every_target_is_recorded_before_it_gets_the_call(self) -> None:
        call = Call(idempotent=False, keyed=True)
        assert isinstance(call.choose()[0], calls.RecordTarget)
        assert isinstance(call.send(calls.TargetRecorded(attempt=1))[0], calls.SendOpen)
        call.frames(REFUSED)
        assert isinstance(call.choose(2)[0], calls.RecordTarget)

    @pytest.mark.parametrize(
        ("message", "outcome", "end"),
        [
            (
                calls.TargetDenied(attempt=1, held_elsewhere=False),
                Outcome.NOT_RUN,
                calls.ClaimEnd.RELEASED,
            ),
            (calls.DeadlineReached(), Outcome.NOT_RUN, calls.ClaimEnd.RELEASED),
        ],
    )
    def test_claim_that_was_not_recorded_is_released(
        self, message: Any, outcome: Outcome, end: calls.ClaimEnd
    ) -> None:
        call = Call(idempotent=False, keyed=True)
        call.choose()
        commands = call.send(message)
        assert failed(commands) is outcome
        assert commands[-1] == calls.CloseClaim(end=end)
        assert call.send(calls.TargetRecorded(attempt=1)) == []

    def test_key_held_by_another_call_defers_to_its_claim(self) -> None:
        call = Call(idempotent=False, keyed=True)
        call.choose()
        assert call.send(calls.TargetDenied(attempt=1, held_elsewhere=True)) == [
            calls.DeferToClaim()
        ]

    def test_deadline_after_sending_leaves_the_claim_to_be_settled(self) -> None:
        call = Call(idempotent=False, keyed=True)
        call.choose()
        call.send(calls.TargetRecorded(attempt=1))
        commands = call.send(calls.DeadlineReached())
        assert failed(commands) is Outcome.UNKNOWN
        assert commands[-1] == calls.CloseClaim(end=calls.ClaimEnd.UNSETTLED)


class TestAcceptsData:
    """Guard against a fast path for data that behaves differently from FrameArrived messages."""

    @pytest.mark.parametrize("repeatable", [False, True])
    @given(
        sequences=st.lists(st.integers(0, 5), max_size=10),
        lost_after=st.integers(0, 12),
    )
    def test_forwards_the_same_bytes(
        self, sequences: list[int], lost_after: int, *, repeatable: bool
    ) -> None:
        bodies = answer(b"a", b"", b"bc", b"d")
        results = []
        for fast_path in (False, True):
            call = Call(idempotent=True, repeatable_answer=repeatable)
            call.choose()
            observed: list[object] = []
            for step, sequence in enumerate([0, *sequences]):
                if step == lost_after:
                    observed += call.send(calls.LinkLost(attempt=1))
                body = bodies[sequence]
                data = body.data if fast_path and isinstance(body, calls.AnswerData) else b""
                if call.attempt.accept_data(1, sequence, data):
                    observed.append(calls.ForwardToCaller(body=body))
                else:
                    observed += call.frames(body, first=sequence)
            results.append((observed, call.attempt.snapshot()))
        assert results[0] == results[1]
