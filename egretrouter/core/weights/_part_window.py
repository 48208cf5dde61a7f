"""Bound the parts of chunks in flight to one instance by the time that they take."""

FIRST_LIMIT = 4.0
LEAST_LIMIT = 1.0
MOST_LIMIT = 6.0
GROWTH_PER_PART = 0.1
SHRINK_FACTOR = 0.6


class PartWindow:
    """Halve the parts in flight when they are slow, and add to them slowly while they are not.

    A part is slow when the link is narrower than stated or shared with much else. Calls to the
    endpoint on the same instance wait behind every part that is on its way.
    """

    def __init__(self, *, slow_seconds: float) -> None:
        """Take parts that last longer than slow_seconds for a sign of a queue."""
        self._slow_seconds = slow_seconds
        self._limit = FIRST_LIMIT
        self._in_flight = 0
        self._last_shrunk_seconds = float("-inf")

    @property
    def has_capacity(self) -> bool:
        """Tell whether another part may be requested."""
        return self._in_flight < int(self._limit)

    def record_start(self) -> None:
        """Learn that a part was requested."""
        self._in_flight += 1

    def record_end(self, *, seconds: float, now_seconds: float) -> None:
        """Learn how long a part took."""
        self._in_flight -= 1
        if seconds <= self._slow_seconds:
            self._limit = min(MOST_LIMIT, self._limit + GROWTH_PER_PART)
        elif now_seconds - self._last_shrunk_seconds >= seconds:
            # Parts that were on their way together tell of one queue, so they count once.
            self._last_shrunk_seconds = now_seconds
            self._limit = max(LEAST_LIMIT, self._limit * SHRINK_FACTOR)
