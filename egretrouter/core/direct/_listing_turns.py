"""Decide which process lists the store's state, so that one does it for all zones."""

import math

# How much longer each further zone waits for news of a listing, in periods.
ZONE_STEP = 0.6
# How much longer a process that does not rank first in its zone waits, in periods, and for each
# process that ranks before it.
STAND_IN_PERIODS = 1.0
STAND_IN_RANK_SECONDS = 0.1


class ListingTurns:
    """Track when any process last listed the whole state.

    The first zone lists regularly and the others hear of it. A zone that hears nothing, because it
    is cut off or the first one is gone, lists for itself. A process that hears nothing for longer
    stands in for its zone's watcher, alive or not: what a process believes of the others must not
    decide whether it knows the store's state.

    Load pattern: a listing or the news of one about once a second.
    """

    def __init__(self, *, started_seconds: float = -math.inf) -> None:
        """Expect news of a listing from started_seconds on."""
        self._started_seconds = started_seconds
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

    @property
    def newest_is_own(self) -> bool:
        """Return whether this process listed, and no other is known to have listed since."""
        return math.isfinite(self._own_seconds) and not self.is_overtaken

    @property
    def is_overtaken(self) -> bool:
        """Return whether another process is known to have listed since this one did."""
        return -math.inf < self._own_seconds < self._whole_seconds

    def wait_seconds(
        self, *, rank: int, zone_rank: int, period_seconds: float, now_seconds: float
    ) -> float:
        """Return how long a process waits for news of a listing before it lists for itself."""
        due_seconds = self._own_seconds + period_seconds
        if not self.newest_is_own:
            heard_seconds = self._whole_seconds
            patience_seconds = period_seconds * (1 + ZONE_STEP * zone_rank)
            if rank > 0:
                heard_seconds = max(heard_seconds, self._started_seconds)
                patience_seconds += stand_in_seconds(rank=rank, period_seconds=period_seconds)
            due_seconds = max(due_seconds, heard_seconds + patience_seconds)
        return max(0.0, due_seconds - now_seconds)


def stand_in_seconds(*, rank: int, period_seconds: float) -> float:
    """Return how much longer than its zone's watcher a process of some rank waits."""
    return STAND_IN_PERIODS * period_seconds + STAND_IN_RANK_SECONDS * rank
