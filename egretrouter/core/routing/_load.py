"""Estimate an endpoint's backlog from delayed load reports and this router's own calls."""

import math
from collections import deque

from egretrouter.core.identifiers import CallId
from egretrouter.core.routing._messages import SelectorSettings

RECENT_CALLS_LIMIT = 64
SMOOTHING_FACTOR = 0.1
FAST_SMOOTHING_FACTOR = 0.35


class LoadEstimate:
    """Estimate the wait before a new call's prefill starts, in seconds.

    The level is the last observed backlog. It comes from load reports and from the wait of this
    router's own calls, whichever is newer, and decays with age towards the long-run mean.
    """

    def __init__(self, settings: SelectorSettings) -> None:
        """Start with an empty backlog and initial service times."""
        self._settings = settings
        self.service_seconds = settings.initial_service_seconds
        self.token_seconds = settings.initial_token_seconds
        self.mean_seconds = 0.0
        self.level_seconds = 0.0
        self.level_at_seconds = -math.inf
        self.report_at_seconds: float | None = None
        self._last_counts: tuple[float, int, int] | None = None
        self._waiting: dict[CallId, float] = {}
        self._recent: deque[tuple[float, float]] = deque(maxlen=RECENT_CALLS_LIMIT)

    def record_report(
        self, *, queued_calls: int, finished_calls_total: int | None, measured_at_seconds: float
    ) -> None:
        """Record a load report; one that is older than the last is ignored."""
        if self.report_at_seconds is not None and measured_at_seconds <= self.report_at_seconds:
            return
        self.report_at_seconds = measured_at_seconds
        if finished_calls_total is not None:
            self._update_service_seconds(queued_calls, finished_calls_total, measured_at_seconds)
        self._observe(queued_calls * self.service_seconds, measured_at_seconds, weight=1.0)

    def record_call_sent(self, call_id: CallId, *, work_seconds: float, now_seconds: float) -> None:
        """Record a call sent by this router with its estimated prefill work."""
        self._waiting[call_id] = now_seconds + work_seconds
        self._recent.append((now_seconds, work_seconds))

    def record_wait_ended(self, call_id: CallId) -> None:
        """Record that a call of this router got its first token or ended."""
        self._waiting.pop(call_id, None)

    def record_first_token(
        self, *, wait_seconds: float, uncached_tokens: int, sent_at_seconds: float
    ) -> None:
        """Update the estimates from the time between sending a call and its first token."""
        if uncached_tokens > 0:
            sample = wait_seconds / uncached_tokens
            # A wait includes queueing, so low samples change the estimate faster than high ones.
            share = FAST_SMOOTHING_FACTOR if sample < self.token_seconds else 0.01
            self.token_seconds += share * (sample - self.token_seconds)
            work = uncached_tokens * self.token_seconds
            self.service_seconds += SMOOTHING_FACTOR * 0.2 * (work - self.service_seconds)
        queueing = max(0.0, wait_seconds - uncached_tokens * self.token_seconds)
        self._observe(queueing, sent_at_seconds, weight=0.7)

    def backlog_seconds(self, *, routers: int, now_seconds: float) -> float:
        """Return the estimated wait before the prefill of a call sent now."""
        settings = self._settings
        level = self._aged_level(now_seconds)
        own_work_seconds = 0.0
        for sent_at, work in self._recent:
            age = now_seconds - sent_at
            if sent_at > self.level_at_seconds:
                own_work_seconds += work * math.exp(-age / settings.own_memory_seconds)
        estimate = level + own_work_seconds * (1.0 + settings.others_weight * (routers - 1))
        # A new call is not served before this router's calls that still wait. Without this an
        # endpoint that hangs and sends no reports would look idle.
        oldest_due_seconds = next(iter(self._waiting.values()), now_seconds)
        return max(estimate, now_seconds - oldest_due_seconds)

    def _aged_level(self, now_seconds: float) -> float:
        if self.level_at_seconds == -math.inf:
            return self.mean_seconds
        age = max(0.0, now_seconds - self.level_at_seconds)
        share = math.exp(-age / self._settings.report_memory_seconds)
        return self.mean_seconds + (self.level_seconds - self.mean_seconds) * share

    def _observe(self, level_seconds: float, at_seconds: float, *, weight: float) -> None:
        self.mean_seconds += SMOOTHING_FACTOR * (level_seconds - self.mean_seconds)
        if at_seconds < self.level_at_seconds:
            return
        predicted = self._aged_level(at_seconds)
        self.level_seconds = predicted + weight * (level_seconds - predicted)
        self.level_at_seconds = at_seconds

    def _update_service_seconds(self, queued_calls: int, finished: int, at_seconds: float) -> None:
        last = self._last_counts
        self._last_counts = (at_seconds, queued_calls, finished)
        if last is None or finished <= last[2] or min(queued_calls, last[1]) < 1:
            return
        # The queue was not empty in either report, so the endpoint was busy and its rate between
        # the reports is its capacity.
        sample = (at_seconds - last[0]) / (finished - last[2])
        self.service_seconds += FAST_SMOOTHING_FACTOR * (sample - self.service_seconds)
