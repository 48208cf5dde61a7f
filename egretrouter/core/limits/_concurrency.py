"""Adapt the number of calls in flight to the capacity of the endpoints."""

INCREASE_CALLS = 1.0
# Growth of the limit per window until the first decrease. With increments of one call, a new
# router would need minutes to reach the hundreds of streams of the design load.
SLOW_START_FACTOR = 1.5
DECREASE_FACTOR = 0.9
WAIT_SMOOTHING = 0.05
MIN_SAMPLES = 5


class AdaptiveConcurrency:
    """Bound calls in flight by additive increase and multiplicative decrease.

    The signal is the wait for first tokens. A wait at the endpoints above the target means that
    calls queue there instead of in the router, whose queue is fair.
    """

    def __init__(
        self,
        *,
        target_wait_seconds: float = 0.13,
        initial_calls: float = 8.0,
        minimum_calls: float = 1.0,
        maximum_calls: float = 1024.0,
        window_seconds: float = 0.5,
    ) -> None:
        """Start with the initial limit.

        The target is about one prefill without a cached prefix (0.12 s in benchmarks/). A longer
        target increases goodput slightly, but increases the waits of small workspaces more.
        """
        self._target_wait_seconds = target_wait_seconds
        self._minimum_calls = minimum_calls
        self._maximum_calls = maximum_calls
        self._window_seconds = window_seconds
        self._window_end_seconds = 0.0
        self._waits: list[float] = []
        self._overloaded = False
        self._was_full = False
        self._in_slow_start = True
        self._mean_wait_seconds = 0.0
        self._deviation_seconds = 0.0
        self.limit_calls = initial_calls
        self.in_flight = 0

    @property
    def likely_wait_seconds(self) -> float:
        """Return a wait at the endpoints that most calls do not exceed, from mean and deviation."""
        return self._mean_wait_seconds + 2.0 * self._deviation_seconds

    def has_capacity(self) -> bool:
        """Return whether another call may start, and record that the limit was reached if not."""
        has_capacity = self.in_flight + 1 <= self.limit_calls
        self._was_full = self._was_full or not has_capacity
        return has_capacity

    def record_start(self) -> None:
        """Add a started call to those in flight."""
        self.in_flight += 1

    def record_first_token(self, *, wait_seconds: float, now_seconds: float) -> None:
        """Record a call's wait for its first token and adapt the limit."""
        self._waits.append(wait_seconds)
        deviation = wait_seconds - self._mean_wait_seconds
        self._mean_wait_seconds += WAIT_SMOOTHING * deviation
        self._deviation_seconds += WAIT_SMOOTHING * (abs(deviation) - self._deviation_seconds)
        self._adapt(now_seconds)

    def record_end(self, *, overloaded: bool, now_seconds: float) -> None:
        """Remove an ended call from those in flight; an overloaded endpoint lowers the limit."""
        self.in_flight = max(0, self.in_flight - 1)
        self._overloaded = self._overloaded or overloaded
        self._adapt(now_seconds)

    def snapshot(self) -> dict[str, object]:
        """Return the limit and the calls in flight for the state dump."""
        return {"limit_calls": self.limit_calls, "in_flight": self.in_flight}

    def _adapt(self, now_seconds: float) -> None:
        # Waits vary with the prompt length, so a few samples do not indicate the load.
        has_enough_samples = len(self._waits) >= MIN_SAMPLES or self._overloaded
        if now_seconds < self._window_end_seconds or not has_enough_samples:
            return
        self._window_end_seconds = now_seconds + self._window_seconds
        mean = sum(self._waits) / len(self._waits) if self._waits else 0.0
        if self._overloaded or mean > self._target_wait_seconds:
            self.limit_calls = max(self._minimum_calls, self.limit_calls * DECREASE_FACTOR)
            self._in_slow_start = False
        elif self._was_full:
            # Increase only a limit that was reached; without demand, short waits do not show
            # that the endpoints can serve more.
            self.limit_calls = min(self._maximum_calls, self._increased_limit())
        self._waits.clear()
        self._overloaded = False
        self._was_full = False

    def _increased_limit(self) -> float:
        if self._in_slow_start:
            return self.limit_calls * SLOW_START_FACTOR
        return self.limit_calls + INCREASE_CALLS
