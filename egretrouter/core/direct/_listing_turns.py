"""Decide which zone's watcher lists the store's state, so that one does it for all zones."""

import math

# How much longer each further zone waits for news of a listing, in periods.
ZONE_STEP = 0.6


class ListingTurns:
    """Track when any process last listed the whole state.

    The first zone lists regularly and the others hear of it. A zone that hears nothing, because it
    is cut off or the first one is gone, lists for itself.

    Load pattern: a listing or the news of one about once a second.
    """

    def __init__(self) -> None:
        self._whole_seconds = -math.inf
        """When the whole state was last listed, by any process."""
        self._own_seconds = -math.inf
        """When this process last listed what it keeps of the state."""

    def record(self, *, listed_seconds: float) -> None:
        """Record that some process listed the whole state; minus infinity proves nothing."""
        self._whole_seconds = max(self._whole_seconds, listed_seconds)

    def record_own(self, *, listed_seconds: float, is_whole: bool) -> None:
        """Record that this process listed what it keeps; is_whole if that is all there is."""
        self._own_seconds = listed_seconds
        if is_whole:
            self.record(listed_seconds=listed_seconds)

    def age_seconds(self, *, now_seconds: float) -> float:
        """Return how long ago the whole state was listed; infinite if that is not known."""
        return now_seconds - self._whole_seconds

    def wait_seconds(self, *, zone_rank: int, period_seconds: float, now_seconds: float) -> float:
        """Return how long a zone waits for news of a listing before it lists for itself."""
        due = max(
            self._own_seconds + period_seconds,
            self._whole_seconds + period_seconds * (1 + ZONE_STEP * zone_rank),
        )
        return max(0.0, due - now_seconds)
