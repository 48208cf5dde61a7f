"""Measure how far off predictions of answers' lengths are.

Usage: python -m benchmarks.answer_lengths [--seeds 40]

The hint is right at the median and off by a log-normal factor. An error is the mean absolute
difference between the predicted and the actual length, as a share of the mean length. The rest of
an answer that has passed its hint is reported as predicted over actual tokens, summed up.
"""

import argparse
import json
import random
import statistics
import timeit
from collections.abc import Callable

from egretrouter.core.direct import AnswerLengths

HINT_ERRORS = (0.25, 0.5, 1.0)
"""Standard deviations of the logarithm of the factor by which a hint is off."""
LIMIT_TOKENS = 2000
# Profiles are published for all routes of a service, whose own mean lengths differ from it.
USUAL_SHARE = 0.8
SAMPLES = (0, 50, 500)
CALLS_PER_WINDOW = 50
"""Over how many answers the error after some samples is measured."""
TIMED_CALLS = 20_000


def _draw_even(rng: random.Random) -> float:
    return rng.uniform(1, 300)


def _draw_heavy_tail(rng: random.Random) -> float:
    """Draw mostly short answers, and a few of up to the limit."""
    return rng.weibullvariate(80, 0.7)


# Nothing in the predictor was chosen by its error on these.
DISTRIBUTIONS: dict[str, Callable[[random.Random], float]] = {
    "even": _draw_even,
    "heavy_tail": _draw_heavy_tail,
}
MEAN_TOKENS = {"even": 150.0, "heavy_tail": 101.0}


class _Errors:
    def __init__(self) -> None:
        self._errors: list[float] = []
        self._lengths: list[int] = []

    def add(self, predicted_tokens: float, actual_tokens: int) -> None:
        self._errors.append(abs(predicted_tokens - actual_tokens))
        self._lengths.append(actual_tokens)

    @property
    def relative(self) -> float:
        return statistics.fmean(self._errors) / statistics.fmean(self._lengths)


def measure(name: str, *, hint_error: float, seeds: int) -> dict[str, float]:
    """Return the error of the hint, the route's true mean length, and the learned estimate."""
    names = ["hint", "usual", *(f"learned_after_{samples}" for samples in SAMPLES)]
    errors = {name: _Errors() for name in names}
    for seed in range(seeds):
        _measure_once(name, hint_error, random.Random(seed), errors)
    return {name: round(measured.relative, 3) for name, measured in errors.items()}


def _measure_once(
    name: str, hint_error: float, rng: random.Random, errors: dict[str, _Errors]
) -> None:
    lengths, mean_tokens = AnswerLengths(), MEAN_TOKENS[name]
    for number in range(max(SAMPLES) + CALLS_PER_WINDOW):
        actual = min(LIMIT_TOKENS, max(1, int(DISTRIBUTIONS[name](rng))))
        hint = max(1, int(actual * rng.lognormvariate(0.0, hint_error)))
        predicted = lengths.predict(
            "route",
            hint_tokens=hint,
            limit_tokens=LIMIT_TOKENS,
            usual_tokens=USUAL_SHARE * mean_tokens,
        )
        for samples in SAMPLES:
            if samples <= number < samples + CALLS_PER_WINDOW:
                errors[f"learned_after_{samples}"].add(predicted.mean_tokens, actual)
        errors["hint"].add(min(hint, LIMIT_TOKENS), actual)
        errors["usual"].add(mean_tokens, actual)
        lengths.record("route", hint_tokens=hint, limit_tokens=LIMIT_TOKENS, actual_tokens=actual)


def measure_rests(name: str, *, hint_error: float, seeds: int) -> dict[str, float]:
    """Compare an average and the distribution for answers that have passed their hint."""
    actual_rest, by_average, by_distribution = 0.0, 0.0, 0.0
    for seed in range(seeds):
        rng, lengths = random.Random(seed), AnswerLengths()
        for _ in range(max(SAMPLES)):
            actual = min(LIMIT_TOKENS, max(1, int(DISTRIBUTIONS[name](rng))))
            hint = max(1, int(actual * rng.lognormvariate(0.0, hint_error)))
            call = {
                "hint_tokens": hint,
                "limit_tokens": LIMIT_TOKENS,
                "usual_tokens": USUAL_SHARE * MEAN_TOKENS[name],
            }
            if actual > hint:
                actual_rest += actual - hint
                by_average += max(0.0, lengths.predict("route", **call).mean_tokens - hint)
                by_distribution += lengths.remaining("route", **call, written_tokens=hint)
            lengths.record(
                "route", hint_tokens=hint, limit_tokens=LIMIT_TOKENS, actual_tokens=actual
            )
    return {
        "rest_by_average": round(by_average / actual_rest, 3),
        "rest_by_distribution": round(by_distribution / actual_rest, 3),
    }


def _microseconds_per_prediction() -> float:
    lengths = AnswerLengths()
    for number in range(500):
        lengths.record("route", hint_tokens=100, limit_tokens=400, actual_tokens=40 + number % 200)

    def predict() -> None:
        lengths.predict("route", hint_tokens=100, limit_tokens=400, usual_tokens=120.0)

    return round(min(timeit.repeat(predict, number=TIMED_CALLS)) / TIMED_CALLS * 1e6, 2)


def main() -> None:
    """Parse the arguments, measure and print the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=40)
    arguments = parser.parse_args()
    results = [
        {
            "distribution": name,
            "hint_error": hint_error,
            **measure(name, hint_error=hint_error, seeds=arguments.seeds),
            **measure_rests(name, hint_error=hint_error, seeds=arguments.seeds),
        }
        for name in DISTRIBUTIONS
        for hint_error in HINT_ERRORS
    ]
    report = {"microseconds_per_prediction": _microseconds_per_prediction(), "results": results}
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
