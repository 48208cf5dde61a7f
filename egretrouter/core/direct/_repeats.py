"""Limit repeated sends to this router's share of a budget common to all routers."""

from collections import deque

from egretrouter.core.identifiers import ServiceName

# Other routers may briefly handle more than an equal share of the calls, and the limit applies to
# windows that start at any time, so part of the allowance is left unused.
USED_SHARE = 0.6


class RepeatBudget:
    """Limit the repeats that this router sends to each service.

    In any window, all routers together may send a service a ratio of its calls plus a fixed number
    of repeats. Each router applies the ratio to its own calls and takes an equal share of the
    fixed number.
    """

    def __init__(self, *, ratio: float, extra: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_seconds = window_seconds
        self._routers = 1
        self._calls: dict[ServiceName, deque[float]] = {}
        self._repeats: dict[ServiceName, deque[float]] = {}

    def set_router_count(self, routers: int) -> None:
        """Set the number of routers that share the fixed number of repeats."""
        self._routers = max(1, routers)

    def record_call(self, service: ServiceName, *, now_seconds: float) -> None:
        """Record the first send of a call."""
        self._recent_times(self._calls, service, now_seconds).append(now_seconds)

    def try_repeat(self, service: ServiceName, *, now_seconds: float) -> bool:
        """Consume one repeat from the budget, and return whether one was available."""
        if not self.may_repeat(service, now_seconds=now_seconds):
            return False
        self._repeats[service].append(now_seconds)
        return True

    def may_repeat(self, service: ServiceName, *, now_seconds: float) -> bool:
        """Return whether the budget has a repeat left."""
        repeats = self._recent_times(self._repeats, service, now_seconds)
        calls = len(self._recent_times(self._calls, service, now_seconds))
        allowed = USED_SHARE * (self._ratio * calls + self._extra / self._routers)
        return len(repeats) + 1 <= allowed

    def _recent_times(
        self,
        times_by_service: dict[ServiceName, deque[float]],
        service: ServiceName,
        now_seconds: float,
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] < now_seconds - self._window_seconds:
            times.popleft()
        return times

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "routers": self._routers,
            "repeats": {service: len(times) for service, times in self._repeats.items()},
        }
