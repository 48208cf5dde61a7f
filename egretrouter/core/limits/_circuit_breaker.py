"""Stop calls to a system while it fails."""

import random
from enum import Enum


class CircuitState(Enum):
    """List the states of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Stop calls to a failing system, and probe it with one call at a time."""

    def __init__(
        self,
        random_generator: random.Random,
        *,
        failures_to_open: int = 5,
        open_seconds: float = 1.0,
        limit_seconds: float = 30.0,
        probe_timeout_seconds: float = 10.0,
    ) -> None:
        """Start in the closed state."""
        self._random = random_generator
        self._failures_to_open = failures_to_open
        self._open_seconds = open_seconds
        self._limit_seconds = limit_seconds
        self._probe_timeout_seconds = probe_timeout_seconds
        self._failures = 0
        self._openings = 0
        self._next_probe_seconds = 0.0
        self.state = CircuitState.CLOSED

    def allow(self, *, now_seconds: float) -> bool:
        """Return whether a call may be made now; the caller must record its outcome."""
        if self.state is CircuitState.CLOSED:
            return True
        if now_seconds < self._next_probe_seconds:
            return False
        self.state = CircuitState.HALF_OPEN
        # A probe whose outcome is never recorded must not block the next one forever.
        self._next_probe_seconds = now_seconds + self._probe_timeout_seconds
        return True

    def retry_after_seconds(self, *, now_seconds: float) -> float:
        """Return the time until the next call may be allowed."""
        if self.state is CircuitState.CLOSED:
            return 0.0
        return max(0.0, self._next_probe_seconds - now_seconds)

    def record_success(self) -> None:
        """Record a successful call and close the circuit."""
        self.state = CircuitState.CLOSED
        self._failures = 0
        self._openings = 0

    def record_failure(self, *, now_seconds: float) -> None:
        """Record a failure; open after several in a row, or immediately after a failed probe."""
        self._failures += 1
        if self.state is CircuitState.OPEN:
            return
        if self.state is CircuitState.CLOSED and self._failures < self._failures_to_open:
            return
        ceiling = min(self._limit_seconds, self._open_seconds * 2.0 ** min(self._openings, 30))
        self._openings += 1
        self.state = CircuitState.OPEN
        # Many processes detect the same outage; jitter spreads their probes over time.
        self._next_probe_seconds = now_seconds + ceiling * self._random.uniform(0.5, 1.0)

    def snapshot(self) -> dict[str, object]:
        """Return the breaker for the state dump."""
        return {"state": self.state.value, "failures": self._failures, "openings": self._openings}
