"""Stop calling a system that fails."""

from enum import Enum


class BreakerState(Enum):
    """Name the states of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Open after failures in a row; then let one trial through at growing intervals."""

    def __init__(
        self,
        *,
        failures_to_open: int = 5,
        first_open_seconds: float = 1.0,
        longest_open_seconds: float = 30.0,
    ) -> None:
        """Start closed."""
        self._failures_to_open = failures_to_open
        self._first_open_seconds = first_open_seconds
        self._longest_open_seconds = longest_open_seconds
        self._failures = 0
        self._open_seconds = first_open_seconds
        self._retry_at_seconds = 0.0
        self._state = BreakerState.CLOSED

    @property
    def state(self) -> BreakerState:
        """Return the state."""
        return self._state

    def allows(self, *, now_seconds: float) -> bool:
        """Tell whether a call may start; a trial call must be reported back."""
        if self._state is BreakerState.CLOSED:
            return True
        if now_seconds < self._retry_at_seconds:
            return False
        self._state = BreakerState.HALF_OPEN
        # A trial that is never reported back must not block the next one for ever.
        self._retry_at_seconds = now_seconds + self._open_seconds
        return True

    def succeeded(self) -> None:
        """Note a success, which closes the breaker."""
        self._failures = 0
        self._open_seconds = self._first_open_seconds
        self._state = BreakerState.CLOSED

    def failed(self, *, now_seconds: float) -> None:
        """Note a failure, which opens the breaker if there were enough in a row."""
        self._failures += 1
        if self._state is BreakerState.HALF_OPEN:
            self._open_seconds = min(self._open_seconds * 2, self._longest_open_seconds)
        elif self._failures < self._failures_to_open or self._state is BreakerState.OPEN:
            return
        self._state = BreakerState.OPEN
        self._retry_at_seconds = now_seconds + self._open_seconds
