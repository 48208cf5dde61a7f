"""Limit the parts of chunks in flight to one instance by their transfer time."""

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
MAX_LIMIT = 6.0
GROWTH_PER_PART = 0.1
SHRINK_FACTOR = 0.6


class PartWindow:
    """Shrink the limit on parts in flight when parts are slow, and grow it gradually otherwise.

    A part is slow when the link is narrower than configured or shared with other traffic. Calls
    to the endpoint on the same instance queue behind every part in flight.
    """

    def __init__(self, *, slow_seconds: float) -> None:
        """Treat parts that take longer than slow_seconds as a sign of queueing."""
        self._slow_seconds = slow_seconds
        self._limit = INITIAL_LIMIT
        self._in_flight = 0
        self._last_shrunk_seconds = float("-inf")

    @property
    def has_capacity(self) -> bool:
        """Return whether another part may be requested."""
        return self._in_flight < int(self._limit)

    def record_start(self) -> None:
        """Record that a part was requested."""
        self._in_flight += 1

    def record_end(self, *, seconds: float, now_seconds: float) -> None:
        """Record how long a part took, and adapt the limit."""
        self._in_flight -= 1
        if seconds <= self._slow_seconds:
            self._limit = min(MAX_LIMIT, self._limit + GROWTH_PER_PART)
        elif now_seconds - self._last_shrunk_seconds >= seconds:
            # Parts in flight together were delayed by the same queue, so they count once.
            self._last_shrunk_seconds = now_seconds
            self._limit = max(MIN_LIMIT, self._limit * SHRINK_FACTOR)
