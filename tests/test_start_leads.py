"""Test how long before a version's end calls are no longer sent to engines that hold it."""

import msgspec

from egretrouter.core.direct import (
    MIN_START_LEAD_SECONDS,
    EngineProfile,
    first_event_seconds,
    queue_lead_seconds,
    start_lead_seconds,
)

PROFILE = EngineProfile(
    slots=16,
    step_seconds=0.00673,
    step_per_sequence_seconds=0.0,
    step_per_context_token_seconds=0.0,
    prefill_tokens_per_second=30_600.0,
    prefill_seconds_per_token_pair=0.0,
    steps_per_pass=6,
    prefill_chunk_tokens=2048,
    cache_tokens=1_640_000,
    report_lag_seconds=0.2,
    usual_prompt_tokens=964.0,
    usual_answer_tokens=119.0,
)


class TestStartLeads:
    """Guard against calls that an engine eight times as slow as usual begins too late."""

    def test_call_on_a_free_slot_begins_in_time_on_a_slow_engine(self) -> None:
        assert start_lead_seconds(PROFILE) > 8 * first_event_seconds(PROFILE)

    def test_queued_call_begins_in_time_on_a_slow_engine(self) -> None:
        lead = queue_lead_seconds(PROFILE, latency_target_seconds=0.4)
        assert lead > 8 * 0.4

    def test_fast_engine_leaves_time_for_a_close_to_arrive(self) -> None:
        profile = msgspec.structs.replace(PROFILE, step_seconds=1e-4, usual_prompt_tokens=10.0)
        assert start_lead_seconds(profile) == MIN_START_LEAD_SECONDS
