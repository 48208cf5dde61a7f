"""Limit a rate."""

# Rounding of the refill must not make a caller that waited long enough wait again.
ROUNDING = 1e-9


class TokenBucket:
    """Allow a rate with a bounded burst; the level may go below zero by a late charge."""

    def __init__(self, *, rate_per_second: float, burst: float, now_seconds: float) -> None:
        """Start full."""
        self.rate_per_second = rate_per_second
        self.burst = burst
        self._level = burst
        self._at_seconds = now_seconds

    def change(self, *, rate_per_second: float, burst: float, now_seconds: float) -> None:
        """Change rate and burst without handing out a new burst."""
        self._refill(now_seconds)
        self.rate_per_second = rate_per_second
        self.burst = burst
        self._level = min(self._level, burst)

    def take(self, amount: float = 1.0, *, now_seconds: float) -> bool:
        """Take an amount if it is there."""
        self._refill(now_seconds)
        if self._level + ROUNDING < amount:
            return False
        self._level -= amount
        return True

    def wait_seconds(self, amount: float = 1.0, *, now_seconds: float) -> float:
        """Return the time until an amount is allowed; more than a burst waits for a full one."""
        self._refill(now_seconds)
        missing = min(amount, self.burst) - self._level
        return 0.0 if missing <= ROUNDING else missing / self.rate_per_second

    def charge(self, amount: float) -> None:
        """Take an amount, or give back a negative one."""
        self._level = min(self.burst, self._level - amount)

    def _refill(self, now_seconds: float) -> None:
        passed = max(0.0, now_seconds - self._at_seconds)
        self._at_seconds = max(self._at_seconds, now_seconds)
        self._level = min(self.burst, self._level + passed * self.rate_per_second)
