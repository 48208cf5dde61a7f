"""Test retry budgets, backoff and the circuit breaker."""

import random

import pytest

from egretrouter.core.limits import (
    Backoff,
    CircuitBreaker,
    CircuitState,
    HedgingBudget,
    RetryBudget,
)


class TestBudgets:
    """Guard against retry storms."""

    @pytest.mark.parametrize("calls", [5, 10, 1000])
    def test_retries_stay_at_a_tenth_in_a_total_outage(self, calls: int) -> None:
        budget = RetryBudget()
        retries = 0
        for _ in range(calls):
            budget.record_call()
            while budget.try_spend():
                retries += 1
        assert retries == calls // 10

    def test_the_budget_accumulates_a_bounded_number_of_retries(self) -> None:
        budget = RetryBudget()
        for _ in range(100_000):
            budget.record_call()
        assert sum(budget.try_spend() for _ in range(1000)) == 2

    def test_the_hedging_delay_converges_to_the_quantile(self) -> None:
        source = random.Random(7)
        budget = HedgingBudget()
        for _ in range(5000):
            budget.record_first_token(wait_seconds=source.uniform(0.0, 0.4))
        assert budget.delay_seconds == pytest.approx(0.38, abs=0.06)


class TestBackoff:
    """Guard against retries that are synchronized or too early."""

    def test_delays_are_jittered_bounded_and_reproducible(self) -> None:
        first, second = (Backoff(random.Random(3)) for _ in range(2))
        delays = [first.delay_seconds(attempt) for attempt in range(40)]
        assert delays == [second.delay_seconds(attempt) for attempt in range(40)]
        assert len(set(delays)) == 40
        assert max(delays) <= 5.0
        assert Backoff(random.Random(3)).delay_seconds(0, retry_after_seconds=2.0) >= 2.0


class TestCircuitBreaker:
    """Guard against calls to a failed system, and against a breaker that stays open forever."""

    def test_opens_probes_once_and_closes(self) -> None:
        breaker = CircuitBreaker(random.Random(1))
        for _ in range(5):
            assert breaker.allow(now_seconds=0.0)
            breaker.record_failure(now_seconds=0.0)
        assert not breaker.allow(now_seconds=0.0)
        probe_seconds = breaker.retry_after_seconds(now_seconds=0.0)
        assert 0.5 <= probe_seconds <= 1.0
        assert [breaker.allow(now_seconds=probe_seconds) for _ in range(3)] == [True, False, False]
        breaker.record_failure(now_seconds=probe_seconds)
        assert breaker.state is CircuitState.OPEN
        assert breaker.retry_after_seconds(now_seconds=probe_seconds) >= 1.0
        assert breaker.allow(now_seconds=probe_seconds + 2.0)
        breaker.record_success()
        assert breaker.allow(now_seconds=probe_seconds + 2.0)
        assert breaker.state is CircuitState.CLOSED

    def test_a_lost_probe_does_not_block_the_next(self) -> None:
        breaker = CircuitBreaker(random.Random(1), failures_to_open=1)
        breaker.record_failure(now_seconds=0.0)
        assert breaker.allow(now_seconds=1.0)
        assert not breaker.allow(now_seconds=5.0)
        assert breaker.allow(now_seconds=11.0)
