"""Share the budget of repeated sends among all routers."""

from collections import deque

from egretrouter.core.identifiers import ServiceName

# Other routers may hold more than an equal share of the calls for a moment, and the window of the
# bound may begin anywhere, so part of the allowance stays unused.
USED_SHARE = 0.6


class RepeatBudget:
    """Bound this router's repeats to its share of what the services take.

    In any window, a service may get repeats up to a ratio of its calls plus a fixed number, over
    all routers. Each router uses the ratio of its own calls and an equal share of the number.
    """

    def __init__(self, *, ratio: float, extra: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_seconds = window_seconds
        self._routers = 1
        self._calls: dict[ServiceName, deque[float]] = {}
        self._repeats: dict[ServiceName, deque[float]] = {}

    def set_router_count(self, routers: int) -> None:
        """Learn how many routers share the budget."""
        self._routers = max(1, routers)

    def record_call(self, service: ServiceName, *, now_seconds: float) -> None:
        """Count the first send of a call."""
        self._recent(self._calls, service, now_seconds).append(now_seconds)

    def try_repeat(self, service: ServiceName, *, now_seconds: float) -> bool:
        """Take one repeat from the budget, if there is one."""
        repeats = self._recent(self._repeats, service, now_seconds)
        calls = len(self._recent(self._calls, service, now_seconds))
        allowed = USED_SHARE * (self._ratio * calls + self._extra / self._routers)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now_seconds)
        return True

    def _recent(
        self, counts: dict[ServiceName, deque[float]], service: ServiceName, now_seconds: float
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        while times and times[0] < now_seconds - self._window_seconds:
            times.popleft()
        return times

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "routers": self._routers,
            "repeats": {service: len(times) for service, times in self._repeats.items()},
        }
