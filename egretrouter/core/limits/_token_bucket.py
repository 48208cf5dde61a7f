"""Limit rates with a token bucket."""

# Rounding errors of the refill must not delay a caller that has waited long enough.
ROUNDING_TOLERANCE = 1e-9


class TokenBucket:
    """Limit a rate with a bounded burst; charge may make the level negative."""

    def __init__(self, *, rate_per_second: float, burst: float, now_seconds: float) -> None:
        """Start with a full burst."""
        self.rate_per_second = rate_per_second
        self.burst = burst
        self._level = burst
        self._refilled_at_seconds = now_seconds

    def change(self, *, rate_per_second: float, burst: float, now_seconds: float) -> None:
        """Change rate and burst without refilling the bucket."""
        self._refill(now_seconds)
        self.rate_per_second = rate_per_second
        self.burst = burst
        self._level = min(self._level, burst)

    def take(self, amount: float = 1.0, *, now_seconds: float) -> bool:
        """Take the amount if it is available, and return whether it was."""
        self._refill(now_seconds)
        if self._level + ROUNDING_TOLERANCE < amount:
            return False
        self._level -= amount
        return True

    def wait_seconds(self, amount: float = 1.0, *, now_seconds: float) -> float:
        """Return the time until the amount, or a full burst if it is smaller, is available."""
        self._refill(now_seconds)
        missing = min(amount, self.burst) - self._level
        return 0.0 if missing <= ROUNDING_TOLERANCE else missing / self.rate_per_second

    def charge(self, amount: float) -> None:
        """Take an amount unconditionally; a negative amount is returned to the bucket."""
        self._level = min(self.burst, self._level - amount)

    def _refill(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self._refilled_at_seconds)
        self._refilled_at_seconds = max(self._refilled_at_seconds, now_seconds)
        self._level = min(self.burst, self._level + elapsed_seconds * self.rate_per_second)
