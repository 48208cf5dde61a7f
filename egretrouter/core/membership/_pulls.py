"""Schedule when a router requests summaries of other zones, and choose whom it asks."""

import random

PULL_SECONDS = 5.0
EARLY_PULL_SECONDS = 1.0
EARLY_PULLS = 8
"""Number of pulls that a starting router sends to gateways for missing zones.

Each answer holds at most six summaries.
"""

GATEWAY_PULLS = 4.0
"""Expected number of routers per zone that ask a gateway in one period; the rest ask each other.

With a fixed share of 1/16, which is 4 of 67 routers, summaries in zones of 3 routers reached an
age of 124 s, because the two other routers had no newer summaries than the one that asked.
"""


class PullSchedule:
    """Schedule the pulls of one router and distribute them over gateways and routers."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start with a pull due at once."""
        self._rng = rng
        self._next_seconds = 0.0
        self._early_left = EARLY_PULLS

    def is_due(self, now_seconds: float) -> bool:
        """Return whether the next pull may be sent."""
        return now_seconds >= self._next_seconds

    def should_ask_gateway(self, *, routers: int, lacks_zones: bool) -> bool:
        """Return whether the next pull goes to a gateway; `routers` includes this router."""
        if lacks_zones and self._early_left > 0:
            return True
        return self._rng.random() < GATEWAY_PULLS / routers

    def schedule_next(self, now_seconds: float, *, sent: bool, lacks_zones: bool) -> None:
        """Schedule the next pull; early pulls that found no target do not count."""
        early = lacks_zones and self._early_left > 0
        self._early_left -= early and sent
        period = EARLY_PULL_SECONDS if early else PULL_SECONDS * (0.5 + self._rng.random())
        self._next_seconds = now_seconds + period
