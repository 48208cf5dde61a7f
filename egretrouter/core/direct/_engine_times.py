"""Estimate how long engines take, from their published performance."""

from egretrouter.core.direct._records import EngineProfile

# A prompt waits for the pass in progress and is prefilled in the next one.
PREFILL_PASSES = 2
# A healthy engine may send nothing for about a second and then continue.
SILENCE_SECONDS = 1.5


def full_step_seconds(profile: EngineProfile) -> float:
    """Return the usual duration of a step with a full batch, in which each call gets one token."""
    context = profile.slots * (profile.usual_prompt_tokens + profile.usual_answer_tokens / 2)
    return (
        profile.step_seconds
        + profile.slots * profile.step_per_sequence_seconds
        + context * profile.step_per_context_token_seconds
    )


def prompt_prefill_seconds(profile: EngineProfile, prompt_tokens: float) -> float:
    """Return how long an engine takes to prefill a prompt."""
    # Attention compares each token with all earlier ones.
    pairs = prompt_tokens * prompt_tokens / 2
    return (
        prompt_tokens / profile.prefill_tokens_per_second
        + pairs * profile.prefill_seconds_per_token_pair
    )


def usual_prefill_seconds(profile: EngineProfile) -> float:
    """Return the linear part of the time to prefill a usual prompt, without pairs of tokens."""
    return profile.usual_prompt_tokens / profile.prefill_tokens_per_second


def prefill_finish_seconds(profile: EngineProfile) -> float:
    """Return the usual time until a full engine has prefilled a new prompt."""
    seconds = profile.steps_per_pass * full_step_seconds(profile) + usual_prefill_seconds(profile)
    return PREFILL_PASSES * seconds


def first_event_seconds(profile: EngineProfile) -> float:
    """Return the usual time to a first event on a full engine without a queue."""
    # The pass that finishes the prefill also writes the first tokens.
    return prefill_finish_seconds(profile)


def service_seconds(profile: EngineProfile) -> float:
    """Return the usual time for which a call holds a slot on a full engine."""
    # Each new call delays the others in the batch while its prompt is prefilled.
    return profile.usual_answer_tokens * full_step_seconds(profile) + (
        profile.slots * usual_prefill_seconds(profile)
    )


def longest_call_seconds(
    profile: EngineProfile, *, prompt_tokens: int, answer_tokens: int, pace: float
) -> float:
    """Return how long a healthy engine may take for a call; pace is its slowness, 1 as published.

    While the answer is written the batch turns over, and the prompts of new calls are prefilled.
    """
    turns = answer_tokens / max(1.0, profile.usual_answer_tokens)
    prefill = prompt_prefill_seconds(profile, prompt_tokens)
    busy = first_event_seconds(profile) + prefill + turns * service_seconds(profile)
    return SILENCE_SECONDS + pace * busy
