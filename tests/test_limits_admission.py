"""Test workspace limits, fair queueing and admission."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretrouter.core.identifiers import CallId, WorkspaceId
from egretrouter.core.limits import (
    AdaptiveConcurrency,
    Admission,
    CallAnswerStarted,
    CallArrived,
    CallReleased,
    FairQueue,
    LimitReason,
    LimitsChanged,
    LimitsCommand,
    LimitsTick,
    LiveRoutersCounted,
    RefuseCall,
    StartCall,
    WorkspaceLimiter,
    WorkspaceLimits,
)
from egretrouter.core.limits._workspaces import BURST_SECONDS, MINIMUM_BURST_CALLS

BIG = WorkspaceId("big")
SMALL = WorkspaceId("small")


def limits(workspace_id: WorkspaceId = BIG, **changes: float) -> WorkspaceLimits:
    return WorkspaceLimits(workspace_id=workspace_id, **changes)  # type: ignore[arg-type]


def admission(calls: float = 1.0, queue: int = 10, **changes: float) -> Admission:
    concurrency = AdaptiveConcurrency(initial_calls=calls)
    result = Admission(queue_limit_calls=queue, concurrency=concurrency)
    both = (limits(BIG, **changes), limits(SMALL, **changes))
    result.handle(LimitsChanged(workspaces=both), now_seconds=0.0)
    return result


def arrive(
    target: Admission, call: str, workspace: WorkspaceId = BIG, now: float = 0.0, **fields: object
) -> list[LimitsCommand]:
    message = CallArrived(call_id=CallId(call), workspace_id=workspace, **fields)  # type: ignore[arg-type]
    return target.handle(message, now_seconds=now)


class TestWorkspaceLimiter:
    """Guard against a workspace that exceeds its limit across all routers."""

    @given(
        routers=st.integers(1, 20),
        rate=st.floats(0.5, 200),
        gaps=st.lists(st.floats(0, 0.5), max_size=150),
    )
    def test_rate_stays_within_the_documented_bound(
        self, routers: int, rate: float, gaps: list[float]
    ) -> None:
        limiter = WorkspaceLimiter()
        limiter.set_router_count(routers, now_seconds=0.0)
        workspace_limits = limits(
            requests_per_second=rate, concurrent_calls=10**6, tokens_per_second=1e9
        )
        limiter.change_limits((workspace_limits,), now_seconds=0.0)
        now, admitted = 0.0, 0
        for gap in gaps:
            now += gap
            admitted += limiter.admit(BIG, tokens=1, now_seconds=now) is None
        bound = rate * (now + BURST_SECONDS) + MINIMUM_BURST_CALLS * routers
        assert admitted * routers <= bound + 1e-6

    def test_a_joining_router_grants_no_new_burst(self) -> None:
        limiter = WorkspaceLimiter()
        limiter.change_limits((limits(requests_per_second=2.0),), now_seconds=0.0)
        outcomes = []
        for routers in (1, 2) * 10:
            limiter.set_router_count(routers, now_seconds=0.0)
            outcomes.append(limiter.admit(BIG, tokens=0, now_seconds=0.0))
        assert sum(outcome is None for outcome in outcomes) <= 2 * BURST_SECONDS

    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({"requests_per_second": 1.0}, LimitReason.RATE),
            ({"tokens_per_second": 100.0}, LimitReason.TOKENS),
            ({"concurrent_calls": 1}, LimitReason.CONCURRENCY),
        ],
    )
    def test_refuses_with_reason_and_retry_after(
        self, changes: dict[str, float], reason: LimitReason
    ) -> None:
        target = admission(calls=10, **changes)
        burst = {LimitReason.RATE: 5, LimitReason.TOKENS: 5, LimitReason.CONCURRENCY: 1}[reason]
        for number in range(burst):
            assert arrive(target, f"a{number}", tokens=100) == [
                StartCall(call_id=CallId(f"a{number}"))
            ]
        (refusal,) = arrive(target, "b", tokens=100)
        assert isinstance(refusal, RefuseCall)
        assert refusal.reason is reason
        assert refusal.retry_after_seconds > 0
        target.handle(CallReleased(call_id=CallId("a0")), now_seconds=1.0)
        assert arrive(target, "c", now=1.0, tokens=100) == [StartCall(call_id=CallId("c"))]

    def test_unused_tokens_are_returned(self) -> None:
        target = admission(calls=10, tokens_per_second=100.0)
        arrive(target, "a", tokens=int(100 * BURST_SECONDS))
        target.handle(CallReleased(call_id=CallId("a"), tokens=10), now_seconds=0.0)
        assert arrive(target, "b", tokens=490) == [StartCall(call_id=CallId("b"))]

    def test_refuses_an_unknown_workspace(self) -> None:
        (refusal,) = arrive(admission(), "a", WorkspaceId("other"))
        assert isinstance(refusal, RefuseCall)
        assert refusal.reason is LimitReason.UNKNOWN_WORKSPACE


class TestFairQueue:
    """Guard against starvation, unbounded queues and answers after the deadline."""

    @staticmethod
    def offer(queue: FairQueue, call: str, workspace: WorkspaceId, **fields: int) -> object:
        return queue.offer(
            CallId(call),
            workspace,
            weight=fields.get("weight", 1),
            priority=fields.get("priority", 0),
            deadline_at_seconds=fields.get("deadline", 1000),
            now_seconds=0.0,
        )

    def test_a_small_workspace_waits_for_one_call_only(self) -> None:
        queue = FairQueue(limit_calls=100)
        for number in range(50):
            self.offer(queue, f"big{number}", BIG)
        for _ in range(10):
            queue.pop(now_seconds=0.0)
        self.offer(queue, "small", SMALL)
        assert "small" in [queue.pop(now_seconds=0.0) for _ in range(2)]

    def test_an_idle_workspace_gains_no_credit(self) -> None:
        queue = FairQueue(limit_calls=200)
        for number in range(60):
            self.offer(queue, f"big{number}", BIG)
        for _ in range(30):
            queue.pop(now_seconds=0.0)
        for number in range(30):
            self.offer(queue, f"small{number}", SMALL)
        served = [str(queue.pop(now_seconds=0.0)) for _ in range(20)]
        assert sum(call.startswith("big") for call in served) >= 9

    def test_serves_in_proportion_to_the_weights(self) -> None:
        queue = FairQueue(limit_calls=100)
        for number in range(40):
            self.offer(queue, f"big{number}", BIG, weight=3)
            self.offer(queue, f"small{number}", SMALL, weight=1)
        served = [str(queue.pop(now_seconds=0.0)) for _ in range(40)]
        assert sum(call.startswith("big") for call in served) == pytest.approx(30, abs=1)

    def test_priority_orders_within_a_workspace_only(self) -> None:
        queue = FairQueue(limit_calls=100)
        for number in range(4):
            self.offer(queue, f"big{number}", BIG, priority=number)
        self.offer(queue, "small", SMALL)
        served = [queue.pop(now_seconds=0.0) for _ in range(5)]
        assert served.index(CallId("small")) <= 1
        assert [call for call in served if call != "small"] == ["big3", "big2", "big1", "big0"]

    def test_a_full_queue_drops_a_call_of_the_largest_workspace(self) -> None:
        queue = FairQueue(limit_calls=5)
        for number in range(5):
            self.offer(queue, f"big{number}", BIG)
        assert self.offer(queue, "small", SMALL) == "big4"
        refusal = self.offer(queue, "big9", BIG)
        assert isinstance(refusal, tuple)
        assert refusal[0] is LimitReason.QUEUE_FULL
        assert len(queue) == 5


class TestAdmission:
    """Guard against calls that are lost, started twice or queued past their deadline."""

    def test_refuses_early_when_the_deadline_cannot_be_met(self) -> None:
        target = admission(queue=100, concurrent_calls=1000)
        for number in range(12):
            arrive(target, str(number))
        (refusal,) = arrive(target, "late", deadline_seconds=0.5)
        assert isinstance(refusal, RefuseCall)
        assert refusal.reason is LimitReason.DEADLINE
        assert refusal.retry_after_seconds > 0

    def test_refuses_queued_calls_past_their_deadline(self) -> None:
        target = admission()
        arrive(target, "a")
        assert arrive(target, "b", deadline_seconds=2.0) == []
        (refusal,) = target.handle(LimitsTick(), now_seconds=2.0)
        assert isinstance(refusal, RefuseCall)
        assert refusal.call_id == "b"

    @given(
        steps=st.lists(st.tuples(st.integers(0, 15), st.booleans(), st.floats(0, 1)), max_size=120)
    )
    def test_each_call_starts_or_is_refused_once(
        self, steps: list[tuple[int, bool, float]]
    ) -> None:
        target = admission(calls=2, queue=4, concurrent_calls=8)
        now, arrived, decided_ids = 0.0, set(), []
        for number, (name, arriving, elapsed) in enumerate(steps):
            now += elapsed
            if arriving:
                call = f"{name}-{number}"
                arrived.add(call)
                workspace = BIG if name % 3 else SMALL
                commands = arrive(target, call, workspace, now, deadline_seconds=3.0)
            elif arrived:
                call = sorted(arrived)[name % len(arrived)]
                commands = target.handle(CallReleased(call_id=CallId(call)), now_seconds=now)
            else:
                continue
            decided_ids += [command.call_id for command in commands]
        assert len(decided_ids) == len(set(decided_ids))
        assert set(decided_ids) <= arrived
        for call in arrived:
            target.handle(CallReleased(call_id=CallId(call)), now_seconds=now)
        assert arrive(target, "last", now=now + 10) == [StartCall(call_id=CallId("last"))]

    def test_long_waits_lower_the_limit_and_reaching_it_raises_it(self) -> None:
        concurrency = AdaptiveConcurrency(initial_calls=8)
        for number in range(100):
            concurrency.record_first_token(wait_seconds=2.0, now_seconds=number * 0.2)
        lowered = concurrency.limit_calls
        assert 1.0 <= lowered < 4.0
        for number in range(100, 200):
            concurrency.in_flight = 100
            concurrency.has_capacity()
            concurrency.record_first_token(wait_seconds=0.01, now_seconds=number * 0.2)
        assert concurrency.limit_calls == pytest.approx(lowered + 20)

    def test_few_long_waits_do_not_lower_the_limit(self) -> None:
        concurrency = AdaptiveConcurrency(initial_calls=8)
        for number in range(4):
            concurrency.record_first_token(wait_seconds=2.0, now_seconds=float(number))
        assert concurrency.limit_calls == 8

    def test_a_small_workspace_starts_urgent_calls_above_the_limit(self) -> None:
        target = admission(calls=4, concurrent_calls=100)
        for number in range(10):
            arrive(target, str(number))
        started = [arrive(target, f"small{number}", SMALL) for number in range(4)]
        urgent = [command for commands in started for command in commands]
        assert urgent == [StartCall(call_id=CallId(f"small{n}"), urgent=True) for n in range(2)]

    def test_refuses_a_queued_call_that_would_expire_at_the_endpoint(self) -> None:
        target = admission(calls=1, concurrent_calls=100)
        arrive(target, "a")
        for number in range(200):
            answer = CallAnswerStarted(call_id=CallId("a"), wait_seconds=1.0)
            target.handle(answer, now_seconds=number * 0.1)
        arrive(target, "b", now=20.0, deadline_seconds=4.0)
        (refusal,) = target.handle(LimitsTick(), now_seconds=23.5)
        assert isinstance(refusal, RefuseCall)
        assert refusal.reason is LimitReason.DEADLINE

    def test_waits_reported_to_admission_lower_the_limit(self) -> None:
        target = admission(calls=4, concurrent_calls=100)
        target.handle(LiveRoutersCounted(routers=2), now_seconds=0.0)
        arrive(target, "a")
        for number in range(150):
            answer = CallAnswerStarted(call_id=CallId("a"), wait_seconds=3.0)
            target.handle(answer, now_seconds=number * 0.2)
        assert arrive(target, "b", now=31.0) == []
