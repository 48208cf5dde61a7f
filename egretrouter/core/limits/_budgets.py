"""Bound retries and hedges, and space them out."""

import random

# Many small routers save up at once. With 5 each, the retries of a minute's outage came to
# 10.8% of its calls.
BUDGET_LIMIT = 2.0
WAIT_STEP_SHARE = 0.05


class _ShareBudget:
    """Allow extra calls as a share of the calls made, in a bounded token bucket."""

    def __init__(self, *, share: float) -> None:
        self._share = share
        # An empty start keeps the share exact from the first call on.
        self._tokens = 0.0

    def record_call(self) -> None:
        """Earn a part of an extra call from a caller's call."""
        self._tokens = min(BUDGET_LIMIT, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Take one extra call from the budget, if there is one."""
        # 1e-9 absorbs the rounding error of adding the share up.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True

    def snapshot(self) -> dict[str, object]:
        """Return the budget for the state dump."""
        return {"share": self._share, "tokens": self._tokens}


class RetryBudget(_ShareBudget):
    """Allow retries up to a tenth of the calls, so that an outage causes no retry storm."""

    def __init__(self, *, share: float = 0.1) -> None:
        """Start without retries; every call earns a part of one."""
        super().__init__(share=share)


class HedgingBudget(_ShareBudget):
    """Allow hedges of idempotent calls that wait longer than most."""

    def __init__(
        self, *, share: float = 0.05, quantile: float = 0.95, initial_delay_seconds: float = 1.0
    ) -> None:
        """Start without hedges; every call earns a part of one."""
        super().__init__(share=share)
        self._quantile = quantile
        self.delay_seconds = initial_delay_seconds
        """Wait for a first token after which a hedge is worth its cost."""

    def record_first_token(self, *, wait_seconds: float) -> None:
        """Move the delay towards the wait's quantile."""
        # Steps in the ratio quantile : 1 - quantile balance at the quantile itself.
        step = WAIT_STEP_SHARE * self.delay_seconds
        if wait_seconds > self.delay_seconds:
            self.delay_seconds += step * self._quantile
        else:
            self.delay_seconds -= step * (1.0 - self._quantile)
        self.delay_seconds = max(0.001, self.delay_seconds)


class Backoff:
    """Choose jittered delays that grow with the attempt."""

    def __init__(
        self,
        random_generator: random.Random,
        *,
        base_seconds: float = 0.05,
        limit_seconds: float = 5.0,
    ) -> None:
        """Keep the bounds."""
        self._random = random_generator
        self._base_seconds = base_seconds
        self._limit_seconds = limit_seconds

    def delay_seconds(self, attempt: int, *, retry_after_seconds: float = 0.0) -> float:
        """Return the delay before a retry; attempt 0 is the first retry.

        The jitter covers the whole range, because callers that failed together must not
        return together. What the other side asked for is a lower bound.
        """
        ceiling = min(self._limit_seconds, self._base_seconds * 2.0 ** min(attempt, 30))
        return retry_after_seconds + self._random.uniform(0.0, ceiling)
