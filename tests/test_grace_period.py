"""Test which calls a stopping router may still send."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretrouter.core.direct import EngineProfile, GracePeriod, longest_call_seconds

GRACE = GracePeriod(rotation_end_seconds=2.6, stop_seconds=7.5)
PROFILE = EngineProfile(
    slots=16,
    step_seconds=0.007,
    step_per_sequence_seconds=0.00002,
    step_per_context_token_seconds=0.000000007,
    prefill_tokens_per_second=30_000,
    prefill_seconds_per_token_pair=0.0,
    steps_per_pass=6,
    prefill_chunk_tokens=2048,
    cache_tokens=1_000_000,
    report_lag_seconds=0.2,
    usual_prompt_tokens=900,
    usual_answer_tokens=140,
)


class TestGracePeriod:
    """Guard against calls that are taken by an estimate and cut at the stop."""

    @given(
        now=st.floats(0, 10),
        ends_by=st.floats(0, 20),
        longest=st.floats(0, 20),
        repeatable=st.booleans(),
    )
    def test_call_is_sent_that_may_last_beyond_the_stop(
        self, now: float, ends_by: float, longest: float, repeatable: bool
    ) -> None:
        allowed = GRACE.may_send(
            ends_by_seconds=ends_by,
            longest_seconds=longest,
            repeatable=repeatable,
            now_seconds=now,
        )
        surely = ends_by <= GRACE.stop_seconds
        if now > GRACE.rotation_end_seconds or not repeatable:
            assert allowed == surely
        else:
            assert allowed == (surely or now + longest <= GRACE.stop_seconds)

    def test_unknown_length_counts_as_endless(self) -> None:
        assert not GRACE.may_send(ends_by_seconds=8.0, repeatable=True, now_seconds=0.0)

    def test_call_that_may_run_only_once_is_sent_by_an_estimate(self) -> None:
        assert not GRACE.may_send(ends_by_seconds=8.0, longest_seconds=0.1, now_seconds=0.0)


class TestLongestCall:
    """Guard against taking the usual length of a call for its longest."""

    @pytest.mark.parametrize("tokens", [1, 140, 360])
    def test_slow_and_silent_engine_is_allowed_for(self, tokens: int) -> None:
        usual, slow = (
            longest_call_seconds(PROFILE, prompt_tokens=900, answer_tokens=tokens, pace=pace)
            for pace in (1.0, 2.0)
        )
        assert usual > 1.5 + 0.007 * tokens
        assert slow - 1.5 == pytest.approx(2 * (usual - 1.5))

    def test_long_prompt_is_allowed_for(self) -> None:
        short, long = (
            longest_call_seconds(PROFILE, prompt_tokens=tokens, answer_tokens=100, pace=1.0)
            for tokens in (0, 60_000)
        )
        assert long - short == pytest.approx(2.0)

    def test_engine_without_usual_answer_has_a_finite_bound(self) -> None:
        profile = msgspec.structs.replace(PROFILE, usual_answer_tokens=0.0)
        longest = longest_call_seconds(profile, prompt_tokens=900, answer_tokens=100, pace=1.0)
        assert math.isfinite(longest)
