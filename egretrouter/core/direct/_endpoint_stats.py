"""Track what one router knows of the load and health of an endpoint."""

import random
from collections import deque
from typing import NamedTuple

import msgspec

from egretrouter.core.direct._load_report import LoadReport

# An engine's batch turns over within about a second, so older reports are ignored.
REPORT_MAX_AGE_SECONDS = 1.5
# A report of the endpoint's own agent takes precedence over its registration for this long.
AGENT_REPORT_MAX_AGE_SECONDS = 3.0
# An agent whose last report is older than this has missed several report intervals and is probably
# unreachable together with its endpoint.
STALE_REPORT_SECONDS = 0.7
# After this long an endpoint that is gone has been removed from the list of endpoints, so if it is
# still listed only its agent is missing.
STALE_REPORT_LIMIT_SECONDS = 10.0
# An endpoint that has restarted, or has loaded another version, reports or registers within this
# time.
MISMATCH_SECONDS = 1.0
EJECTION_SECONDS = 0.4
EJECTION_LIMIT_SECONDS = 6.0
RECENT_SENDS = 16


class RecentSend(NamedTuple):
    """Represent a call that this router has sent to an endpoint."""

    sent_seconds: float
    prompts: float
    """How many usual prompts take as long to prefill as that of the call."""


class EndpointStats:
    """Track one endpoint's reported load, this router's calls to it and its recent failures."""

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.reported_seconds = float("-inf")
        self.agent_report: LoadReport | None = None
        self.agent_seconds = float("-inf")
        self.sent_seconds: list[float] = []
        """When calls were sent since the last report, which does not include them."""
        self.recent_sends: deque[RecentSend] = deque(maxlen=RECENT_SENDS)
        self.in_flight = 0
        self.failures = 0
        self.ejected_until_seconds = float("-inf")
        self.mismatched_seconds = float("-inf")
        """When the endpoint last refused a call as meant for another one, or another version."""

    def record_report(self, report: LoadReport, *, by_agent: bool, now_seconds: float) -> None:
        """Store a load report of the endpoint or its agent."""
        self.report, self.reported_seconds = report, now_seconds
        if by_agent:
            self.agent_report, self.agent_seconds = report, now_seconds
        self.sent_seconds.clear()

    def record_send(self, *, now_seconds: float, prompts: float) -> None:
        """Record that a call is sent, and how many usual prompts take as long as its prompt."""
        self.in_flight += 1
        self.sent_seconds.append(now_seconds)
        self.recent_sends.append(RecentSend(now_seconds, prompts))

    def record_failure(self, *, rng: random.Random, now_seconds: float) -> None:
        """Eject the endpoint for a time that doubles with each consecutive failure."""
        seconds = min(EJECTION_SECONDS * 2.0**self.failures, EJECTION_LIMIT_SECONDS)
        self.failures = min(self.failures + 1, 8)
        self.ejected_until_seconds = now_seconds + seconds * (0.75 + rng.random() / 2)

    def expected_load(self, now_seconds: float) -> float:
        """Return the estimated number of running and queued calls at the endpoint."""
        if self.report is None or now_seconds - self.reported_seconds > REPORT_MAX_AGE_SECONDS:
            return float(self.in_flight)
        since = sum(1 for sent in self.sent_seconds if sent > self.reported_seconds)
        reported = self.report.running + self.report.queued
        return max(float(self.in_flight), float(reported + since))

    def count_in_prefill(self, now_seconds: float, *, prefill_seconds: float) -> float:
        """Return how many usual prompts of this router are probably in prefill at the endpoint."""
        since = now_seconds - prefill_seconds
        return sum(send.prompts for send in self.recent_sends if send.sent_seconds > since)

    def is_ejected(self, now_seconds: float) -> bool:
        """Return whether calls to the endpoint have just failed."""
        return self.ejected_until_seconds > now_seconds

    def is_mismatched(self, now_seconds: float) -> bool:
        """Return whether it is not known what is at the endpoint's address now."""
        if self.agent_seconds > self.mismatched_seconds:
            return False
        return now_seconds - self.mismatched_seconds < MISMATCH_SECONDS

    def has_stale_agent(self, now_seconds: float) -> bool:
        """Return whether the agent has recently stopped reporting."""
        return STALE_REPORT_SECONDS < now_seconds - self.agent_seconds < STALE_REPORT_LIMIT_SECONDS

    def fresh_report(self, now_seconds: float) -> LoadReport | None:
        """Return the last report of any source, or None if it is too old."""
        if now_seconds - self.reported_seconds > AGENT_REPORT_MAX_AGE_SECONDS:
            return None
        return self.report

    def fresh_agent_report(self, now_seconds: float) -> LoadReport | None:
        """Return the agent's last report, or None if it is too old."""
        if now_seconds - self.agent_seconds > AGENT_REPORT_MAX_AGE_SECONDS:
            return None
        return self.agent_report

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "in_flight": self.in_flight,
            "failures": self.failures,
            "report": msgspec.to_builtins(self.report),
        }
