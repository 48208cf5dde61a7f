"""Test the pauses that endpoints ask one router for."""

import random

import pytest

from egretrouter.core.direct import EndpointPauses, EndpointRun
from egretrouter.core.direct._pauses import (
    MARGIN_SECONDS,
    MAX_JITTER_SECONDS,
    MAX_PAUSE_SECONDS,
    RAMP_SECONDS,
)
from egretrouter.core.identifiers import EndpointId

RUN = EndpointRun(endpoint_id=EndpointId("i-1"), started_ms=1)
STEP_SECONDS = 0.01
SEEDS = range(20)


class PauseWorld:
    """Let a router with many waiting calls send all that it may to one endpoint."""

    def __init__(self, *, seed: int = 1) -> None:
        self.pauses = EndpointPauses(rng=random.Random(seed))
        self.now = 0.0
        self.sent: list[float] = []

    def ask(self, seconds: float) -> None:
        self.pauses.record(RUN, seconds, now_seconds=self.now)

    def run(self, seconds: float) -> None:
        """Advance the clock, and send as many calls as the pauses allow, 50 a step at most."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_SECONDS
            for _ in range(50):
                if not self.pauses.may_send(RUN, now_seconds=self.now):
                    break
                self.pauses.record_send(RUN)
                self.sent.append(self.now)


class TestPause:
    """Guard against calls in a pause, and against pauses that do not end."""

    @pytest.mark.parametrize("seconds", [0.2, 2.0, 30.0])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_call_is_sent_in_a_pause(self, seconds: float, seed: int) -> None:
        world = PauseWorld(seed=seed)
        world.ask(seconds)
        world.run(seconds + MAX_JITTER_SECONDS + 1.0)
        assert seconds < min(world.sent) <= seconds + MARGIN_SECONDS + MAX_JITTER_SECONDS + 0.1

    def test_pause_of_no_time_keeps_calls_away(self) -> None:
        world = PauseWorld()
        world.ask(0.0)
        assert world.pauses.may_send(RUN, now_seconds=0.0)

    def test_shorter_pause_that_is_asked_later_ends_a_longer_one(self) -> None:
        world = PauseWorld()
        world.ask(5.0)
        world.run(1.0)
        world.ask(0.5)
        world.run(3.0)
        assert world.sent == []

    def test_longer_pause_that_is_asked_later_is_ignored(self) -> None:
        world = PauseWorld()
        world.ask(1.0)
        world.run(0.5)
        world.ask(5.0)
        world.run(4.9)
        assert world.sent == []

    def test_pause_far_too_long_is_not_cut(self) -> None:
        world = PauseWorld()
        world.ask(1e9)
        world.now = MAX_PAUSE_SECONDS + 1.0
        world.run(1.0)
        assert world.sent

    def test_pause_holds_for_another_run_of_the_endpoint(self) -> None:
        world = PauseWorld()
        world.ask(5.0)
        started_again = EndpointRun(endpoint_id=RUN.endpoint_id, started_ms=2)
        assert world.pauses.may_send(started_again, now_seconds=0.1)


class TestEnd:
    """Guard against all waiting calls coming at once when a pause ends."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_all_calls_come_at_the_end(self, seed: int) -> None:
        world = PauseWorld(seed=seed)
        world.ask(2.0)
        world.run(4.0)
        first = min(world.sent)
        assert sum(1 for at in world.sent if at < first + 0.1 - STEP_SECONDS) <= 2
        assert sum(1 for at in world.sent if at < first + 0.3 - STEP_SECONDS) <= 8

    def test_calls_are_limited_long_after_the_end(self) -> None:
        world = PauseWorld()
        world.ask(1.0)
        world.run(1.0 + MAX_JITTER_SECONDS + RAMP_SECONDS + 0.1)
        before = len(world.sent)
        world.run(1.0)
        assert len(world.sent) - before >= 50 * 0.99 / STEP_SECONDS

    def test_routers_return_at_the_same_time(self) -> None:
        firsts = set()
        for seed in SEEDS:
            world = PauseWorld(seed=seed)
            world.ask(2.0)
            world.run(3.0)
            firsts.add(round(min(world.sent), 2))
        assert len(firsts) > len(SEEDS) / 2

    def test_endpoint_that_asks_again_and_again_gets_many_calls(self) -> None:
        world = PauseWorld()
        world.ask(0.5)
        for _ in range(20):
            sent = len(world.sent)
            while len(world.sent) == sent:
                world.run(STEP_SECONDS)
            world.ask(0.5)
        assert len(world.sent) <= 2 * 20
        assert world.now >= 20 * 0.5


class TestReports:
    """Guard against pauses that operators cannot see, or see once for each call."""

    def test_answers_to_calls_sent_at_once_are_reported_each(self) -> None:
        pauses = EndpointPauses(rng=random.Random(1))
        reports = [pauses.record(RUN, 2.0, now_seconds=n * 0.01) for n in range(20)]
        assert sum(1 for report in reports if report is not None) == 1

    def test_pause_that_was_cut_is_not_marked(self) -> None:
        pauses = EndpointPauses(rng=random.Random(1))
        report = pauses.record(RUN, MAX_PAUSE_SECONDS + 1.0, now_seconds=0.0)
        assert report is not None
        assert report.is_cut

    def test_first_end_is_that_of_a_run_without_a_pause(self) -> None:
        pauses = EndpointPauses(rng=random.Random(1))
        pauses.record(RUN, 2.0, now_seconds=0.0)
        other = EndpointRun(endpoint_id=EndpointId("i-2"), started_ms=1)
        assert 2.0 <= pauses.first_end_seconds([RUN], now_seconds=0.0) <= 2.6
        assert pauses.first_end_seconds([RUN, other], now_seconds=0.0) == 0.0
