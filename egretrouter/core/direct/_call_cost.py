"""Compute what a call costs an engine, from its lengths and the engine's published profile."""

import msgspec

from egretrouter.core.direct._engine_times import full_step_seconds, prompt_prefill_seconds
from egretrouter.core.direct._records import EngineProfile


class CallCost(msgspec.Struct, frozen=True, kw_only=True):
    """Estimate the work of one call at an engine of the usual pace."""

    prefill_seconds: float
    """How long the engine is busy with the prompt."""
    decode_seconds: float
    """The call's share of the time for which the engine writes answers with a full batch."""
    memory_tokens: float
    """How many tokens of the engine's cache the call takes at its end."""
    answer_tokens: float
    """The predicted length of the answer."""

    @property
    def busy_seconds(self) -> float:
        """Return how long the engine would be busy with the call alone."""
        return self.prefill_seconds + self.decode_seconds


def call_cost(profile: EngineProfile, *, prompt_tokens: float, answer_tokens: float) -> CallCost:
    """Return the cost of a call; a prompt of 0 tokens is unknown and counts as usual."""
    prompt_tokens = prompt_tokens or profile.usual_prompt_tokens
    return CallCost(
        prefill_seconds=prompt_prefill_seconds(profile, prompt_tokens),
        decode_seconds=answer_tokens * full_step_seconds(profile) / profile.slots,
        memory_tokens=prompt_tokens + answer_tokens,
        answer_tokens=answer_tokens,
    )


def usual_call_cost(profile: EngineProfile) -> CallCost:
    """Return the cost of a call with a prompt and an answer of the published lengths."""
    return call_cost(
        profile,
        prompt_tokens=profile.usual_prompt_tokens,
        answer_tokens=profile.usual_answer_tokens,
    )


def calls_equivalent(cost: CallCost, profile: EngineProfile) -> float:
    """Return how many usual calls of the service keep an engine busy for as long as this one."""
    usual_seconds = usual_call_cost(profile).busy_seconds
    return cost.busy_seconds / usual_seconds if usual_seconds > 0 else 1.0


def prompts_equivalent(cost: CallCost, profile: EngineProfile) -> float:
    """Return how many usual prompts of the service take as long to prefill as this call's."""
    usual_seconds = prompt_prefill_seconds(profile, profile.usual_prompt_tokens)
    return cost.prefill_seconds / usual_seconds if usual_seconds > 0 else 1.0
