"""Simulate loads near and above the capacity of the engines with a model of an engine."""

import pytest

from benchmarks.pass_engine import PROFILE, BurstModel, ModelledCall, PassEngine
from egretrouter.core.direct import _placement as placement
from egretrouter.core.direct import service_seconds

SEEDS = (1, 2, 3)
ENGINES = 8


def mean_in_time_share(calls_per_second: float) -> float:
    """Return the share of calls answered in time, averaged over the seeds."""
    shares = [
        BurstModel(engines=ENGINES, routers=15, calls_per_second=calls_per_second, seed=seed)
        .run(seconds=15)
        .in_time_share
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


class TestPassEngine:
    """Guard against a model that contradicts the published profile of the engine."""

    def test_full_engine_serves_at_the_rate_of_its_profile(self) -> None:
        engine = PassEngine(PROFILE)
        now, done = 0.0, 0
        while now < 60.0:
            while len(engine.queue) < PROFILE.slots:
                call = ModelledCall(arrived_seconds=now, prompt_tokens=965, answer_tokens=120)
                engine.queue.append(call)
            held = len(engine.decoding)
            now += engine.begin_pass() or 0.0
            joined = sum(1 for call in engine.prefilling if not call.remaining_prompt_tokens)
            engine.end_pass(now)
            done += held + joined - len(engine.decoding)
        expected = PROFILE.slots / service_seconds(PROFILE)
        assert done / now == pytest.approx(expected, rel=0.15)


class TestBursts:
    """Guard against placement that delays calls which the engines could serve in time."""

    def test_prompts_of_a_burst_are_spread(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Balanced by call counts alone, one call in five was late in bursts at 86% of capacity."""
        spread = mean_in_time_share(80)
        monkeypatch.setattr(placement, "PREFILL_LOAD_CALLS", 0.0)
        assert 1 - spread <= 0.6 * (1 - mean_in_time_share(80))

    def test_time_spent_waiting_counts_towards_the_latency_target(self) -> None:
        """At 118% of capacity, 56% of calls were in time when time spent waiting was not counted.

        No schedule can serve more than 85% of these calls in time.
        """
        assert mean_in_time_share(110) >= 0.75 * 0.85
