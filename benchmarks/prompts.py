"""Draw prompts that share beginnings."""

import random
from collections.abc import Iterator

from benchmarks.engine_model import BLOCK_TOKENS
from benchmarks.scenario import Scenario


class Templates:
    """Draw prompts: a shared template and a part of their own."""

    def __init__(self, scenario: Scenario) -> None:
        """Fix the templates' lengths and popularity."""
        source = random.Random(f"{scenario.seed}/templates")
        self._sizes = [source.randint(4, 16) for _ in range(scenario.templates)]
        weights = [1 / (n + 1) ** scenario.template_skew for n in range(scenario.templates)]
        self._cumulative = list(_running_sum(weights))
        total = self._cumulative[-1]
        mean_blocks = sum(w * s for w, s in zip(weights, self._sizes, strict=True)) / total
        self.mean_prompt = mean_blocks * BLOCK_TOKENS + 96

    def draw(self, source: random.Random) -> tuple[int, tuple[int, ...]]:
        """Return a prompt's tokens and the hashes of its blocks."""
        (template,) = source.choices(range(len(self._sizes)), cum_weights=self._cumulative)
        own_tokens = source.randint(32, 160)
        shared = [template * 1000 + n for n in range(self._sizes[template])]
        own = [source.getrandbits(60) | 1 << 61 for _ in range(own_tokens // BLOCK_TOKENS)]
        return len(shared) * BLOCK_TOKENS + own_tokens, tuple(shared + own)


def _running_sum(values: list[float]) -> Iterator[float]:
    total = 0.0
    for value in values:
        total += value
        yield total
