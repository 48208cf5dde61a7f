"""Detect ranks that starve because more urgent ones are served first."""

from collections import Counter

# A rank starves if its calls are served less than this share as often as all calls. Callers are
# promised a quarter. The counts include calls from before an overload, so a threshold of exactly a
# quarter would act too late in a short one.
LEAST_SERVED_SHARE = 0.3
# Number of counted calls at which the counts are halved, so that older calls lose weight.
COUNTED_CALLS = 200


class ServedShares:
    """Count the calls of each rank and those that were served."""

    def __init__(self) -> None:
        self._offered: Counter[int] = Counter()
        self._served: Counter[int] = Counter()

    def record_offered(self, rank: int) -> None:
        """Record that a call needs an endpoint."""
        if self._offered.total() >= COUNTED_CALLS:
            self._offered = Counter({r: n // 2 for r, n in self._offered.items()})
            self._served = Counter({r: n // 2 for r, n in self._served.items()})
        self._offered[rank] += 1

    def record_served(self, rank: int) -> None:
        """Record that a call got an endpoint."""
        self._served[rank] += 1

    def is_starved(self, rank: int) -> bool:
        """Return whether a rank has been served too seldom, counting one more call as served."""
        if not self._offered:
            return False
        served_share = self._served.total() / self._offered.total()
        due = LEAST_SERVED_SHARE * served_share * self._offered[rank]
        return self._served[rank] + 1 <= due
