"""Adapt the number of calls in flight to what the endpoints can take."""

INCREASE_CALLS = 1.0
# Until the first decrease the limit grows by half in each window: one call at a time would take a
# new router minutes to reach the hundreds of streams that it holds at the design size.
SLOW_START_FACTOR = 1.5
DECREASE_FACTOR = 0.9
WAIT_SHARE = 0.05
MINIMUM_SAMPLES = 5


class AdaptiveConcurrency:
    """Bound calls in flight by additive increase and multiplicative decrease.

    The signal is the wait for first tokens: calls that wait longer at the endpoints than the
    target only move the queue from the router, where it is fair, to the endpoint.
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

        The target is about one prefill without a cached prefix (0.12 s in benchmarks/). Longer
        targets raise goodput a little and the waits of small workspaces more.
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
        """Return a wait at the endpoints that most calls stay below."""
        return self._mean_wait_seconds + 2.0 * self._deviation_seconds

    def has_capacity(self) -> bool:
        """Tell whether another call may start."""
        room = self.in_flight + 1 <= self.limit_calls
        self._was_full = self._was_full or not room
        return room

    def record_start(self) -> None:
        """Count a call that starts."""
        self.in_flight += 1

    def record_first_token(self, *, wait_seconds: float, now_seconds: float) -> None:
        """Take in the wait of one call."""
        self._waits.append(wait_seconds)
        error = wait_seconds - self._mean_wait_seconds
        self._mean_wait_seconds += WAIT_SHARE * error
        self._deviation_seconds += WAIT_SHARE * (abs(error) - self._deviation_seconds)
        self._adapt(now_seconds)

    def record_end(self, *, overloaded: bool, now_seconds: float) -> None:
        """Count a call that ended; a refusal for overload lowers the limit."""
        self.in_flight = max(0, self.in_flight - 1)
        self._overloaded = self._overloaded or overloaded
        self._adapt(now_seconds)

    def snapshot(self) -> dict[str, object]:
        """Return the limit for the state dump."""
        return {"limit_calls": self.limit_calls, "in_flight": self.in_flight}

    def _adapt(self, now_seconds: float) -> None:
        # Single waits vary with the prompt's length; a few of them say nothing about load.
        enough = len(self._waits) >= MINIMUM_SAMPLES or self._overloaded
        if now_seconds < self._window_end_seconds or not enough:
            return
        self._window_end_seconds = now_seconds + self._window_seconds
        mean = sum(self._waits) / len(self._waits) if self._waits else 0.0
        if self._overloaded or mean > self._target_wait_seconds:
            self.limit_calls = max(self._minimum_calls, self.limit_calls * DECREASE_FACTOR)
            self._in_slow_start = False
        elif self._was_full:
            # Without the demand to fill it, a growing limit would say nothing about capacity.
            self.limit_calls = min(self._maximum_calls, self._increased_limit())
        self._waits.clear()
        self._overloaded = False
        self._was_full = False

    def _increased_limit(self) -> float:
        if self._in_slow_start:
            return self.limit_calls * SLOW_START_FACTOR
        return self.limit_calls + INCREASE_CALLS
