"""Define the ranks of calls that compete for capacity; 0 is the most urgent."""

LEAST_URGENT_RANK = 9
"""The least urgent rank of a call that is not late."""


def late_rank(rank: int) -> int:
    """Return the rank of a call that can no longer meet its latency target, after all others."""
    return rank + LEAST_URGENT_RANK + 1


def is_late_rank(rank: int) -> bool:
    """Return whether calls of a rank are late."""
    return rank > LEAST_URGENT_RANK
