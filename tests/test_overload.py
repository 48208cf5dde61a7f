"""Replay loads that engines can barely serve, or cannot, in the model of an engine."""

import pytest

from benchmarks.pass_engine import PROFILE, BurstModel, ModelledCall, PassEngine
from egretrouter.core.direct import _placement as placement
from egretrouter.core.direct import service_seconds

SEEDS = (1, 2, 3)
ENGINES = 8


def in_time(calls_per_second: float) -> float:
    """Return the mean share of calls in time over the seeds."""
    shares = [
        BurstModel(engines=ENGINES, routers=15, calls_per_second=calls_per_second, seed=seed)
        .run(seconds=15)
        .in_time_share
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


class TestPassEngine:
    """Guard against a model that contradicts the published figures."""

    def test_full_engine_serves_at_the_rate_of_its_profile(self) -> None:
        engine = PassEngine(PROFILE)
        now, done = 0.0, 0
        while now < 60.0:
            while len(engine.queue) < PROFILE.slots:
                call = ModelledCall(arrived_seconds=now, prompt_tokens=965, answer_tokens=120)
                engine.queue.append(call)
            held = len(engine.writing)
            now += engine.begin_pass() or 0.0
            joined = sum(1 for call in engine.reading if not call.unread_tokens)
            engine.end_pass(now)
            done += held + joined - len(engine.writing)
        expected = PROFILE.slots / service_seconds(PROFILE)
        assert done / now == pytest.approx(expected, rel=0.15)


class TestBursts:
    """Guard against choices that make calls late which engines could serve in time."""

    def test_prompts_that_come_together_are_spread(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """By calls held alone, one call of five was late in bursts at 86% of the engines' rate."""
        spread = in_time(80)
        monkeypatch.setattr(placement, "PREFILL_LOAD_CALLS", 0.0)
        assert 1 - spread <= 0.6 * (1 - in_time(80))

    def test_calls_that_waited_do_not_queue_for_a_whole_target_more(self) -> None:
        """At 118% of the engines' rate, 56% came in time when the time waited was not counted.

        No order can serve more than 85% of these calls in time.
        """
        assert in_time(110) >= 0.75 * 0.85
