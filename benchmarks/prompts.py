"""Draw random prompts with shared prefixes."""

import random
from collections.abc import Iterator

from benchmarks.engine_model import BLOCK_TOKENS
from benchmarks.scenario import Scenario


class Templates:
    """Draw prompts that consist of a shared template and a unique suffix."""

    def __init__(self, scenario: Scenario) -> None:
        """Draw the lengths of the templates and set their popularity."""
        generator = random.Random(f"{scenario.seed}/templates")
        self._template_blocks = [generator.randint(4, 16) for _ in range(scenario.templates)]
        weights = [1 / (n + 1) ** scenario.template_skew for n in range(scenario.templates)]
        self._cumulative_weights = list(_running_sum(weights))
        total = self._cumulative_weights[-1]
        mean_blocks = (
            sum(w * s for w, s in zip(weights, self._template_blocks, strict=True)) / total
        )
        self.mean_prompt_tokens = mean_blocks * BLOCK_TOKENS + 96

    def draw(self, generator: random.Random) -> tuple[int, tuple[int, ...]]:
        """Return the number of a prompt's tokens and the hashes of its blocks."""
        (template,) = generator.choices(
            range(len(self._template_blocks)), cum_weights=self._cumulative_weights
        )
        suffix_tokens = generator.randint(32, 160)
        shared = [template * 1000 + n for n in range(self._template_blocks[template])]
        suffix = [generator.getrandbits(60) | 1 << 61 for _ in range(suffix_tokens // BLOCK_TOKENS)]
        return len(shared) * BLOCK_TOKENS + suffix_tokens, tuple(shared + suffix)


def _running_sum(values: list[float]) -> Iterator[float]:
    total = 0.0
    for value in values:
        total += value
        yield total
