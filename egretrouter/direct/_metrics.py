"""Define the metrics of processes that reach endpoints directly."""

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from egretrouter.core.direct import Exclusion, LeavingSource
from egretrouter.direct._evacuation_state import EvacuationSource

SECONDS_BUCKETS = [0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0]

RATIO_BUCKETS = [0.125, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 4.0, 8.0]
TOKENS_BUCKETS = [8, 16, 32, 64, 128, 256, 512, 1024]


class PauseResult(Enum):
    """List what can become of an endpoint's request for a pause."""

    TAKEN = "taken"
    CUT = "cut"
    """The endpoint asked for more than it gets."""
    MALFORMED = "malformed"


class RenderedMetrics(Protocol):
    """Define the interface through which a process exposes its metrics."""

    def rendered(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the format that the client accepts."""


class Metrics:
    """Provide the metrics registry of one process."""

    def __init__(self) -> None:
        self.registry = Registry()

    def rendered(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the format that the client accepts."""
        content, headers = render(self.registry, [accept] if accept else [])
        return content, dict(headers)


class CallMetrics(Metrics):
    """Count a router's calls and measure their durations."""

    def __init__(self) -> None:
        super().__init__()
        self._calls = Counter("egretrouter_calls_total", "Calls by result", registry=self.registry)
        self._seconds = Histogram(
            "egretrouter_call_seconds",
            "Time from arrival to the end of the answer",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._first_event = Histogram(
            "egretrouter_first_event_seconds",
            "Time from arrival to the first event of a stream",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._leaving = Counter(
            "egretrouter_leaving_endpoints_total",
            "Endpoints of which this process learned that they leave, by source",
            registry=self.registry,
        )
        self._pauses = Counter(
            "egretrouter_endpoint_pauses_total",
            "Pauses that endpoints asked this router for, by result",
            registry=self.registry,
        )
        self._cold = Gauge(
            "egretrouter_cold_endpoints",
            "Endpoints that get only the calls that a cold one tolerates",
            registry=self.registry,
        )
        self._held_by_cold = Counter(
            "egretrouter_calls_held_by_cold_total",
            "Calls that waited or were refused because only cold endpoints could take them",
            registry=self.registry,
        )
        self._zones = Gauge(
            "egretrouter_evacuated_zones",
            "Zones whose endpoints get no calls because they are evacuated",
            registry=self.registry,
        )
        self._zones.set({}, 0)
        self._evacuations = Counter(
            "egretrouter_evacuation_changes_total",
            "Evacuations of which this process learned that they began or ended, by source",
            registry=self.registry,
        )
        self._unplaced = Counter(
            "egretrouter_calls_without_endpoint_total",
            "Calls that no endpoint could take, by the exclusion of most endpoints",
            registry=self.registry,
        )
        self._excluded = Counter(
            "egretrouter_excluded_endpoints_total",
            "Endpoints that could not take such a call, by exclusion",
            registry=self.registry,
        )
        self._waiting = Gauge(
            "egretrouter_waiting_calls",
            "Calls that wait for capacity, by rank",
            registry=self.registry,
        )
        self._wait_seconds = Histogram(
            "egretrouter_wait_seconds",
            "Time for which calls waited for capacity, by how the wait ended",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._queue_refusals = Counter(
            "egretrouter_queue_refusals_total",
            "Calls refused because there was no capacity in time, by rank and reason",
            registry=self.registry,
        )

    def set_cold_endpoints(self, count: int) -> None:
        """Set how many endpoints are considered cold."""
        self._cold.set({}, count)

    def record_held_by_cold(self) -> None:
        """Record that a call was held back because only cold endpoints could take it."""
        self._held_by_cold.inc({})

    def record_evacuation(self, source: EvacuationSource, *, begun: bool, zones: int) -> None:
        """Record that an evacuation began or ended, and how many zones are evacuated now."""
        self._zones.set({}, zones)
        self._evacuations.inc({"source": source.value, "change": "begun" if begun else "ended"})

    def record_unplaced(self, exclusions: Mapping[Exclusion, int]) -> None:
        """Record that no endpoint can take a call, and how many each exclusion excludes."""
        most = max(exclusions, key=exclusions.__getitem__, default=None)
        self._unplaced.inc({"exclusion": "no_endpoints" if most is None else most.value})
        for exclusion, endpoints in exclusions.items():
            self._excluded.add({"exclusion": exclusion.value}, endpoints)

    def adjust_waiting(self, rank: int, change: int) -> None:
        """Add a change to the number of calls of a rank that wait for capacity."""
        self._waiting.add({"rank": str(rank)}, change)

    def record_wait(self, result: str, seconds: float) -> None:
        """Record how long a call waited for capacity, and how that ended."""
        self._wait_seconds.observe({"result": result}, seconds)

    def record_queue_refusal(self, rank: int, reason: str) -> None:
        """Record that a call was refused for lack of capacity."""
        self._queue_refusals.inc({"rank": str(rank), "reason": reason})

    def record_pause(self, result: PauseResult) -> None:
        """Record that an endpoint asked for a pause."""
        self._pauses.inc({"result": result.value})

    def record_leaving(self, source: LeavingSource) -> None:
        """Record that the process learned of an endpoint that leaves."""
        self._leaving.inc({"source": source.value})

    def record_call(self, result: str, seconds: float) -> None:
        """Record the result and the duration of a call."""
        self._calls.inc({"result": result})
        self._seconds.observe({}, seconds)

    def record_first_event(self, seconds: float) -> None:
        """Record the time from a call's arrival to its first event."""
        self._first_event.observe({}, seconds)


class AnswerLengthMetrics:
    """Measure how well a router predicts the lengths of answers."""

    def __init__(self, registry: Registry) -> None:
        self._ratio = Histogram(
            "egretrouter_answer_length_ratio",
            "Observed length of a finished answer relative to the predicted one",
            buckets=RATIO_BUCKETS,
            registry=registry,
        )
        self._error = Histogram(
            "egretrouter_answer_length_error_tokens",
            "Difference between the predicted and the observed length of a finished answer",
            buckets=TOKENS_BUCKETS,
            registry=registry,
        )

    def record(self, *, predicted_tokens: float, observed_tokens: int) -> None:
        """Record the predicted and the observed length of an answer."""
        if predicted_tokens > 0:
            self._ratio.observe({}, observed_tokens / predicted_tokens)
        self._error.observe({}, abs(predicted_tokens - observed_tokens))
