"""Share scarce capacity between routers that do not see each other's calls, by rank."""

import random
from collections import deque

from egretrouter.core.direct._ranks import is_late_rank

# Agents report at about this interval, and until the next report all routers use the same one.
REPORT_INTERVAL_SECONDS = 0.15
ARRIVAL_WINDOW_SECONDS = 1.0
# Each rank gets at least this share of what it would get without ranks, so that more urgent ones
# do not starve it. Late calls have no such share: others would become late in their place.
RESERVED_SHARE = 0.25


class _RankDemand:
    """Count the calls of one rank at this router and the capacity that they have earned."""

    def __init__(self, *, credit_calls: float) -> None:
        self.waiting = 0
        self._credit_calls = credit_calls
        self._arrivals: deque[float] = deque()
        self._new_arrivals = 0
        """Arrivals for which no capacity has been earned yet."""
        self._earned_seconds = float("-inf")

    def record_arrival(self, now_seconds: float) -> None:
        self._arrivals.append(now_seconds)
        self._new_arrivals += 1

    def calls(self, now_seconds: float) -> float:
        """Return how many calls want capacity until the next report."""
        while self._arrivals and self._arrivals[0] < now_seconds - ARRIVAL_WINDOW_SECONDS:
            self._arrivals.popleft()
        rate = len(self._arrivals) / ARRIVAL_WINDOW_SECONDS
        return rate * REPORT_INTERVAL_SECONDS + self.waiting

    def earn(self, share: float, now_seconds: float) -> None:
        """Add the share for each new call, and for each waiting one once in a report interval."""
        self._credit_calls = self._credit_with(share, self._new_arrivals, now_seconds)
        self._new_arrivals = 0
        self._earned_seconds = now_seconds

    def could_spend(self, share: float, now_seconds: float) -> bool:
        """Return whether a call that arrived now would have earned its capacity."""
        return self._credit_with(share, self._new_arrivals + 1, now_seconds) >= 1.0

    def _credit_with(self, share: float, new_arrivals: int, now_seconds: float) -> float:
        elapsed = min(1.0, (now_seconds - self._earned_seconds) / REPORT_INTERVAL_SECONDS)
        # A call that asks again without being counted as waiting counts as one.
        waiting = self.waiting if self.waiting or new_arrivals else 1
        most = max(1.0, self.calls(now_seconds))
        earned = share * min(most, new_arrivals + waiting * elapsed)
        # One more than that, so that the fractions beyond a whole call are kept.
        return min(most + 1.0, self._credit_calls + earned)

    def try_spend(self) -> bool:
        """Use the capacity of one call, if that much has been earned."""
        if self._credit_calls < 1.0:
            return False
        self._credit_calls -= 1.0
        return True


class CapacityShares:
    """Decide which calls of one router may use scarce capacity.

    All routers see the same capacity until the next report. Each assumes that the others have as
    many calls as itself; a rank gets what the more urgent ranks leave, but at least its reserve.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._routers = 1
        self._ranks: dict[int, _RankDemand] = {}

    def set_router_count(self, routers: int) -> None:
        """Set the number of routers that send calls to the same endpoints."""
        self._routers = max(1, routers)

    def record_arrival(self, rank: int, now_seconds: float) -> None:
        """Record the arrival of a call."""
        self._get_or_create(rank).record_arrival(now_seconds)

    def adjust_waiting(self, rank: int, change: int) -> None:
        """Add a change to the number of calls that wait for capacity."""
        self._get_or_create(rank).waiting += change

    def may_use(self, *, rank: int, capacity_calls: float, now_seconds: float) -> bool:
        """Return whether a call may be sent now, which uses some of its rank's share."""
        share = self.share(rank, capacity_calls=capacity_calls, now_seconds=now_seconds)
        demand = self._get_or_create(rank)
        demand.earn(share, now_seconds)
        return share >= 1.0 or demand.try_spend()

    def could_use(self, *, rank: int, capacity_calls: float, now_seconds: float) -> bool:
        """Return whether a call that arrived now might be sent, and use nothing."""
        share = self.share(rank, capacity_calls=capacity_calls, now_seconds=now_seconds)
        demand = self._ranks.get(rank) or _RankDemand(credit_calls=self._rng.random())
        return share >= 1.0 or demand.could_spend(share, now_seconds)

    def share(self, rank: int, *, capacity_calls: float, now_seconds: float) -> float:
        """Return the share of a rank's calls that may use the capacity, 0 to 1."""
        demands = {r: self._demand_calls(r, now_seconds) for r in {*self._ranks, rank}}
        # The call that asks is one even where none was counted.
        demands[rank] = max(1.0, demands[rank])
        total = sum(demands.values())
        reserved = RESERVED_SHARE * min(1.0, max(0.0, capacity_calls) / total)
        reserves = {r: 0.0 if is_late_rank(r) else reserved * c for r, c in demands.items()}
        left = capacity_calls
        for other in sorted(demands):
            usable = left - sum(calls for r, calls in reserves.items() if r > other)
            used = min(demands[other], max(reserves[other], usable))
            if other == rank:
                return used / demands[rank]
            left -= used
        return 0.0

    def _demand_calls(self, rank: int, now_seconds: float) -> float:
        demand = self._ranks.get(rank)
        return self._routers * demand.calls(now_seconds) if demand is not None else 0.0

    def _get_or_create(self, rank: int) -> _RankDemand:
        demand = self._ranks.get(rank)
        if demand is None:
            # Routers that begin with the same credit would all send at the same moment.
            demand = self._ranks[rank] = _RankDemand(credit_calls=self._rng.random())
        return demand
