"""Limit a rate."""


class TokenBucket:
    """Hold tokens that refill at a constant rate up to a burst."""

    def __init__(self, *, rate_per_second: float, burst: float, now_seconds: float = 0.0) -> None:
        """Start full."""
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._tokens = burst
        self._updated_at_seconds = now_seconds

    def take(self, tokens: float = 1.0, *, now_seconds: float) -> bool:
        """Take tokens if there are enough."""
        self._refill(now_seconds)
        # Rounding of the refill must not make a caller that waited long enough wait again.
        if self._tokens + 1e-9 < tokens:
            return False
        self._tokens -= tokens
        return True

    def wait_seconds(self, tokens: float = 1.0, *, now_seconds: float) -> float:
        """Return the time until that many tokens are there."""
        self._refill(now_seconds)
        return max(0.0, (tokens - self._tokens) / self._rate_per_second)

    def _refill(self, now_seconds: float) -> None:
        elapsed = max(0.0, now_seconds - self._updated_at_seconds)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate_per_second)
        self._updated_at_seconds = now_seconds
