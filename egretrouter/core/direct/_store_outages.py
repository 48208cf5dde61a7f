"""Tell until when registrations that expired in an outage of the store may still be renewed."""

import math

from egretrouter.core.direct._departures import RENEWAL_SECONDS

# How long a renewal takes to reach every process, those of other zones too.
SPREAD_SECONDS = 0.6
LAPSE_GRACE_SECONDS = RENEWAL_SECONDS + SPREAD_SECONDS
# The store keeps a registration for three intervals, and the last renewal before an outage may be
# older than one, as endpoints are not punctual. A shorter outage lets none expire.
LAPSE_INTERVALS = 1.5
# A call that is answered at all is answered within this time.
LONGEST_ANSWER_SECONDS = 1.5


class StoreOutages:
    """Track when the store last answered again after an outage in which registrations may expire.

    An outage is a time without an answer to any process, in which calls failed. Failures alone
    prove none, since the store may reject some processes and serve others; a time without answers
    alone proves none, since the processes that called may be gone.

    The grace after an outage is counted from its end. A process that failed to reach the store
    then and calls it again much later must not take an endpoint that leaves by then for one whose
    registration expired.
    """

    def __init__(self, *, renewal_interval_seconds: float) -> None:
        """Expect endpoints to renew their registrations in the given interval."""
        self._shortest_seconds = LAPSE_INTERVALS * renewal_interval_seconds
        self._answered_seconds = -math.inf
        """When the store last answered any process, as far as is known."""
        self._failed_seconds = -math.inf
        """When a call to the store last failed."""
        self._resumed_seconds = -math.inf
        """When the store last answered again after a time without answers, outage or not."""
        self._ended_seconds = -math.inf

    def record_failure(self, *, asked_seconds: float, failed_seconds: float) -> None:
        """Record that a call failed, or that another process lost the store."""
        self._failed_seconds = max(self._failed_seconds, failed_seconds)
        if asked_seconds <= self._resumed_seconds:
            # The call was made before the store answered others again, and its failure is news.
            self._ended_seconds = max(self._ended_seconds, self._resumed_seconds)

    def record_answer(self, *, asked_seconds: float, heard_seconds: float) -> bool:
        """Record an answer to a call of some process, and return whether it ended an outage."""
        last_seconds = self._answered_seconds
        if asked_seconds <= last_seconds:
            return False
        self._answered_seconds = asked_seconds
        if asked_seconds - last_seconds < self._shortest_seconds:
            return False
        self._resumed_seconds = min(heard_seconds, asked_seconds + LONGEST_ANSWER_SECONDS)
        if self._failed_seconds <= last_seconds:
            return False
        self._ended_seconds = self._resumed_seconds
        return True

    def extend_grace(self, left_seconds: float, *, now_seconds: float) -> None:
        """Take over the grace that another process has left; impossible values are bounded."""
        left_seconds = min(LAPSE_GRACE_SECONDS, max(0.0, left_seconds))
        ended_seconds = now_seconds + left_seconds - LAPSE_GRACE_SECONDS
        if left_seconds > 0.0:
            self._ended_seconds = max(self._ended_seconds, ended_seconds)

    def grace_left_seconds(self, *, now_seconds: float) -> float:
        """Return for how long endpoints that are missing may still register again."""
        return max(0.0, self._ended_seconds + LAPSE_GRACE_SECONDS - now_seconds)
