"""Bound from below when changes were made that a process learned of later."""

import math

KEPT_REVISIONS = 32


class NameTimes:
    """Remember up to which time no change beyond a revision had been made.

    Load pattern: a few records a second, from this process's listings and its peers' greetings; a
    question for each name of a version and each greeting sent.
    """

    def __init__(self) -> None:
        self._seconds_by_revision: dict[int, float] = {}

    def record(self, revision: int, *, at_seconds: float) -> None:
        """Record that no change beyond a revision had been made at a time."""
        if math.isinf(at_seconds):
            return
        known = self._seconds_by_revision.get(revision, at_seconds)
        self._seconds_by_revision[revision] = max(known, at_seconds)
        if len(self._seconds_by_revision) > KEPT_REVISIONS:
            earliest = min(self._seconds_by_revision, key=self._seconds_by_revision.__getitem__)
            del self._seconds_by_revision[earliest]

    def unchanged_until(self, revision: int) -> float:
        """Return the last time at which no change beyond a revision had surely been made.

        Seconds of the machine's boot clock; minus infinity if nothing is known.
        """
        times = (s for known, s in self._seconds_by_revision.items() if known <= revision)
        return max(times, default=-math.inf)
