"""Spread calls over endpoints whose load reports lack what other routers have sent since.

Load pattern: many routers read the same reports, and each sends a few calls before the next one. If
all of them chose the least loaded endpoint, it would get all their prompts at once.
"""

from collections.abc import Sequence


def spread_weights(levels: Sequence[float], slots: Sequence[int], *, calls: float) -> list[float]:
    """Return the weight of each endpoint in a random choice, by water-filling.

    A level is an endpoint's load divided by its slots; calls is how many calls all routers send
    until the next report. They raise the emptiest endpoints to a common level, and the weight of an
    endpoint is the number of calls that it gets of them.
    """
    target = _fill_level(levels, slots, calls)
    return [max(0.0, target - level) * count for level, count in zip(levels, slots, strict=True)]


def _fill_level(levels: Sequence[float], slots: Sequence[int], calls: float) -> float:
    """Return the common level to which a number of calls raises the emptiest endpoints."""
    ordered = sorted(zip(levels, slots, strict=True))
    filled, total_slots, target = calls, 0, 0.0
    for level, count in ordered:
        if total_slots and target <= level:
            break
        filled += level * count
        total_slots += count
        target = filled / total_slots
    return target
