"""Decide when a router asks for summaries of other zones, and whom."""

import random

PULL_SECONDS = 5.0
EARLY_PULL_SECONDS = 1.0
EARLY_PULLS = 8
"""A router that starts asks gateways this often for the zones it lacks, six in each answer."""

GATEWAY_PULLS = 4.0
"""Routers of a zone that ask a gateway in one period; the others ask each other.

With a fixed share of 1/16, which is 4 of 67 routers, summaries in zones of 3 routers got up to
124 s old, since two other routers know as little as the one that asks.
"""


class PullPace:
    """Pace the pulls of one router and spread them over gateways and routers."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start with a pull due at once."""
        self._rng = rng
        self._next_seconds = 0.0
        self._early_left = EARLY_PULLS

    def is_due(self, now_seconds: float) -> bool:
        """Tell whether a pull may be sent."""
        return now_seconds >= self._next_seconds

    def asks_gateway(self, *, routers: int, lacks_zones: bool) -> bool:
        """Tell whether the next pull goes to a gateway; routers counts this one too."""
        if lacks_zones and self._early_left > 0:
            return True
        return self._rng.random() < GATEWAY_PULLS / routers

    def pulled(self, now_seconds: float, *, sent: bool, lacks_zones: bool) -> None:
        """Plan the next pull; one that found nobody to ask is repeated soon."""
        early = lacks_zones and self._early_left > 0
        self._early_left -= early and sent
        period = EARLY_PULL_SECONDS if early else PULL_SECONDS * (0.5 + self._rng.random())
        self._next_seconds = now_seconds + period
