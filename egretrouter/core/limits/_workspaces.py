"""Enforce this router's share of each workspace's limits."""

import math

from egretrouter.core.identifiers import WorkspaceId
from egretrouter.core.limits._messages import LimitReason, WorkspaceLimits
from egretrouter.core.limits._token_bucket import TokenBucket

BURST_SECONDS = 5.0
# A small workspace's share of one router can be less than one call. By chance a router receives
# two or three of its calls at once, which must not be refused far below the workspace's limit.
MINIMUM_BURST_CALLS = 3.0
MINIMUM_CONCURRENT_CALLS = 3


class _Usage:
    def __init__(self, limits: WorkspaceLimits, *, routers: int, now_seconds: float) -> None:
        self.concurrent_calls = 0
        self.requests = TokenBucket(rate_per_second=1.0, burst=1.0, now_seconds=now_seconds)
        self.tokens = TokenBucket(rate_per_second=1.0, burst=1.0, now_seconds=now_seconds)
        self.change(limits, routers=routers, now_seconds=now_seconds)
        self.requests.charge(-self.requests.burst)
        self.tokens.charge(-self.tokens.burst)

    def change(self, limits: WorkspaceLimits, *, routers: int, now_seconds: float) -> None:
        self.limits = limits
        requests = limits.requests_per_second / routers
        tokens = limits.tokens_per_second / routers
        self.requests.change(
            rate_per_second=requests,
            burst=max(MINIMUM_BURST_CALLS, requests * BURST_SECONDS),
            now_seconds=now_seconds,
        )
        self.tokens.change(
            rate_per_second=tokens, burst=tokens * BURST_SECONDS, now_seconds=now_seconds
        )
        share = math.ceil(limits.concurrent_calls / routers)
        minimum = min(MINIMUM_CONCURRENT_CALLS, limits.concurrent_calls)
        self.concurrency_share = max(share, minimum)


class WorkspaceLimiter:
    """Enforce 1/n of each limit, where n is the last reported number of live routers.

    Error bound, with R routers running, each of which counts at least m routers, a limit L and
    a burst of BURST_SECONDS: in any period of T seconds all routers together admit at most
    (R / m) x L x (T + BURST_SECONDS) calls, plus 3 R calls because a burst is at least three.
    Tokens have the same bound, plus one call's tokens per router, because a call larger than
    the burst is admitted from a full bucket. Concurrency is at most (R / m) x L + R, because
    shares round up, or 3 R for a workspace with a smaller limit. During a partition the counts do
    not change, so R / m is 1 unless routers join undetected. A workspace whose calls are spread
    unevenly over the routers gets less than its limit, because no router admits more than L / n,
    whatever share of the calls it receives.
    """

    def __init__(self) -> None:
        """Start without workspaces and with one router."""
        self._usage: dict[WorkspaceId, _Usage] = {}
        self._routers = 1

    def change_limits(self, workspaces: tuple[WorkspaceLimits, ...], *, now_seconds: float) -> None:
        """Replace the limits; workspaces that remain keep their usage."""
        usage: dict[WorkspaceId, _Usage] = {}
        for limits in workspaces:
            workspace_usage = self._usage.get(limits.workspace_id)
            if workspace_usage is None:
                workspace_usage = _Usage(limits, routers=self._routers, now_seconds=now_seconds)
            else:
                workspace_usage.change(limits, routers=self._routers, now_seconds=now_seconds)
            usage[limits.workspace_id] = workspace_usage
        self._usage = usage

    def set_router_count(self, routers: int, *, now_seconds: float) -> None:
        """Set the number of live routers, which determines this router's share."""
        self._routers = max(1, routers)
        for usage in self._usage.values():
            usage.change(usage.limits, routers=self._routers, now_seconds=now_seconds)

    def weight(self, workspace_id: WorkspaceId) -> int:
        """Return a workspace's weight, 1 if it has no limits."""
        usage = self._usage.get(workspace_id)
        return usage.limits.weight if usage else 1

    def admit(
        self, workspace_id: WorkspaceId, *, tokens: int, now_seconds: float
    ) -> tuple[LimitReason, float] | None:
        """Charge a call, or return the reason for refusing it and the time to retry after."""
        usage = self._usage.get(workspace_id)
        if usage is None:
            return LimitReason.UNKNOWN_WORKSPACE, 60.0
        if usage.concurrent_calls >= usage.concurrency_share:
            return LimitReason.CONCURRENCY, 1.0
        wait = usage.requests.wait_seconds(1.0, now_seconds=now_seconds)
        if wait > 0.0:
            return LimitReason.RATE, wait
        wait = usage.tokens.wait_seconds(tokens, now_seconds=now_seconds)
        if wait > 0.0:
            return LimitReason.TOKENS, wait
        usage.requests.charge(1.0)
        usage.tokens.charge(tokens)
        usage.concurrent_calls += 1
        return None

    def release(self, workspace_id: WorkspaceId, *, unused_tokens: int) -> None:
        """Release an ended call and return its unused tokens."""
        usage = self._usage.get(workspace_id)
        if usage is not None:
            usage.concurrent_calls = max(0, usage.concurrent_calls - 1)
            usage.tokens.charge(-unused_tokens)

    def snapshot(self) -> dict[str, object]:
        """Return the usage for the state dump."""
        return {
            "routers": self._routers,
            "workspaces": {
                name: {
                    "concurrent_calls": usage.concurrent_calls,
                    "concurrency_share": usage.concurrency_share,
                    "requests_per_second": usage.requests.rate_per_second,
                    "tokens_per_second": usage.tokens.rate_per_second,
                }
                for name, usage in self._usage.items()
            },
        }
