"""Predict the lengths of answers from callers' hints and the answers that have finished."""

import math
from array import array
from bisect import bisect_right
from itertools import accumulate

import msgspec

# Bounds the memory to about 440 KB, whatever the number of routes.
MAX_HISTOGRAMS = 256
# At this many samples the counts are halved, so that older answers lose weight.
MAX_SAMPLES = 64.0
BINS_PER_DOUBLING = 4
# Answers that are further from their hint are counted in the outermost bins.
MAX_DOUBLINGS = 6
BINS = 2 * MAX_DOUBLINGS * BINS_PER_DOUBLING + 1
MAX_HINT_TOKENS = 2**20
"""Longer hints are cut to this, since no engine writes answers of that length."""
# Stands in for the hint of calls without one, so that the bins cover 2 to 8,192 tokens.
NO_HINT_TOKENS = 128
# Samples that count until there are real ones: the midpoints of the four quarters of a log-normal
# distribution with mean 1 and standard deviation 1, the spread that answers are expected to have.
PRIOR_SHARES = (0.32, 0.62, 1.04, 2.02)
# The 90th percentile of that distribution.
PRIOR_P90_SHARE = 2.0
P90 = 0.9
# Expected rest of an answer that is longer than all samples, as a share of its length so far. No
# sample tells how such answers end.
UNKNOWN_REST_SHARE = 0.25
# Histograms in the state dump.
MAX_DUMPED = 32

# The ratio of length to hint in the middle of each bin.
_RATIOS = tuple(2.0 ** (number / BINS_PER_DOUBLING - MAX_DOUBLINGS) for number in range(BINS))


class LengthEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """Estimate the length of an answer that has not begun."""

    mean_tokens: float
    p90_tokens: float
    samples: int
    """How many finished answers the estimate rests on, beside the published length."""


class _Histogram:
    """Count ratios of lengths to hints, with cached sums over the upper bins."""

    def __init__(self) -> None:
        self.total = 0.0
        self._counts = array("d", bytes(8 * BINS))
        self._tail_counts: array[float] | None = None
        """How many samples are in a bin or above it; None if the counts have changed since."""
        self._tail_sums: array[float] = array("d")
        """The sum of the ratios in a bin and above it."""
        self._p90_ratio = 1.0

    def add(self, ratio: float) -> None:
        """Add a sample."""
        number = round((math.log2(ratio) + MAX_DOUBLINGS) * BINS_PER_DOUBLING)
        self._counts[min(BINS - 1, max(0, number))] += 1.0
        self.total += 1.0
        if self.total >= MAX_SAMPLES:
            self._counts = array("d", (count / 2 for count in self._counts))
            self.total /= 2
        self._tail_counts = None

    def tail(self, ratio: float) -> tuple[float, float]:
        """Return the count and the sum of the samples above a ratio."""
        tail_counts = self._tail_counts or self._sum_up()
        number = bisect_right(_RATIOS, ratio)
        return tail_counts[number], self._tail_sums[number]

    @property
    def p90_ratio(self) -> float:
        """Return the ratio that a tenth of the samples exceeds."""
        if self._tail_counts is None:
            self._sum_up()
        return self._p90_ratio

    def _sum_up(self) -> "array[float]":
        sums = [count * ratio for count, ratio in zip(self._counts, _RATIOS, strict=True)]
        tail_counts = array("d", accumulate(reversed(self._counts), initial=0.0))
        above = bisect_right(tail_counts, (1.0 - P90) * self.total)
        self._p90_ratio = _RATIOS[BINS - above]
        self._tail_sums = array("d", accumulate(reversed(sums), initial=0.0))[::-1]
        self._tail_counts = tail_counts[::-1]
        return self._tail_counts


class AnswerLengths:
    """Learn how long answers are compared with their hints, by route and size of the hint.

    Load pattern: a few answers a second whose hints are right at the median and often off by a
    factor. Long hints are too long more often than short ones, hence the size classes. Until a
    class has enough samples, the published length of the service's answers counts as well.
    """

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, int], _Histogram] = {}
        """In the order in which they were last used."""

    def record(
        self, route: str, *, hint_tokens: int, limit_tokens: int, actual_tokens: int
    ) -> None:
        """Record the length of an answer that has ended; a hint or limit of 0 means none."""
        hint = _clip_hint(hint_tokens, limit_tokens)
        key = (route, hint.bit_length())
        histogram = self._find(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram()
            if len(self._histograms) > MAX_HISTOGRAMS:
                del self._histograms[next(iter(self._histograms))]
        histogram.add(max(1, actual_tokens) / (hint or NO_HINT_TOKENS))

    def predict(
        self, route: str, *, hint_tokens: int, limit_tokens: int, usual_tokens: float
    ) -> LengthEstimate:
        """Estimate a length; usual_tokens is the published mean of the service's answers."""
        hint = _clip_hint(hint_tokens, limit_tokens)
        prior_tokens = _prior_tokens(hint, usual_tokens)
        limit = limit_tokens or math.inf
        weight = len(PRIOR_SHARES)
        total_tokens = sum(min(limit, share * prior_tokens) for share in PRIOR_SHARES)
        high_tokens = weight * PRIOR_P90_SHARE * prior_tokens
        samples = 0.0
        histogram = self._find((route, hint.bit_length()))
        if histogram is not None:
            scale, samples = hint or NO_HINT_TOKENS, histogram.total
            above, sum_above = histogram.tail(limit / scale)
            total_tokens += scale * (histogram.tail(0.0)[1] - sum_above)
            total_tokens += limit * above if above else 0.0
            high_tokens += samples * scale * histogram.p90_ratio
        return LengthEstimate(
            mean_tokens=total_tokens / (weight + samples),
            p90_tokens=min(limit, high_tokens / (weight + samples)),
            samples=int(samples),
        )

    def remaining(
        self,
        route: str,
        *,
        hint_tokens: int,
        limit_tokens: int,
        usual_tokens: float,
        written_tokens: int,
    ) -> float:
        """Return the mean rest, in tokens, of those answers that are longer than what is written.

        An answer that has passed its hint is not nearly done.
        """
        hint = _clip_hint(hint_tokens, limit_tokens)
        prior_tokens = _prior_tokens(hint, usual_tokens)
        longer = [s * prior_tokens for s in PRIOR_SHARES if s * prior_tokens > written_tokens]
        count, total_tokens = float(len(longer)), sum(longer)
        histogram = self._find((route, hint.bit_length()))
        if histogram is not None:
            scale = hint or NO_HINT_TOKENS
            above, sum_above = histogram.tail(written_tokens / scale)
            count, total_tokens = count + above, total_tokens + scale * sum_above
        if count:
            rest_tokens = total_tokens / count - written_tokens
        else:
            rest_tokens = UNKNOWN_REST_SHARE * written_tokens
        limit = limit_tokens or math.inf
        return min(rest_tokens, max(0.0, limit - written_tokens))

    def _find(self, key: tuple[str, int]) -> _Histogram | None:
        """Return a histogram, which is now the one used last."""
        histogram = self._histograms.pop(key, None)
        if histogram is not None:
            self._histograms[key] = histogram
        return histogram

    def snapshot(self) -> dict[str, object]:
        """Return the histograms that were used last for the state dump."""
        recent = list(self._histograms.items())[-MAX_DUMPED:]
        return {
            "histograms": len(self._histograms),
            "recent": {
                f"{route}/{2**size // 2}": {
                    "samples": int(histogram.total),
                    "mean_ratio": round(histogram.tail(0.0)[1] / histogram.total, 3),
                    "p90_ratio": round(histogram.p90_ratio, 3),
                }
                for (route, size), histogram in recent
            },
        }


def _clip_hint(hint_tokens: int, limit_tokens: int) -> int:
    """Return a hint that is not longer than the answer may be."""
    return min(hint_tokens, limit_tokens or MAX_HINT_TOKENS, MAX_HINT_TOKENS)


def _prior_tokens(hint: int, usual_tokens: float) -> float:
    """Return the length that is expected without samples.

    The hint and the published length are both off by a factor, so their geometric mean is closer
    than either.
    """
    if hint and usual_tokens:
        return math.sqrt(hint * usual_tokens)
    return hint or usual_tokens
