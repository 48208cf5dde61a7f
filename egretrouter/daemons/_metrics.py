"""Define the metrics of the processes."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

SECONDS_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.36, 0.6, 1.0, 2.0, 5.0, 15.0, 60.0]


class ProcessMetrics:
    """Register the metrics that routers and agents share."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.generation = Gauge(
            "egretrouter_configuration_generation", "Generation in force", registry=self.registry
        )
        self.members = Gauge(
            "egretrouter_members", "Members of the zone by status", registry=self.registry
        )

    def rendered(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the format that the client accepts."""
        content, headers = render(self.registry, [accept] if accept else [])
        return content, dict(headers)


class RouterMetrics(ProcessMetrics):
    """Register the metrics of a router."""

    def __init__(self) -> None:
        super().__init__()
        self._calls = Counter(
            "egretrouter_calls_total", "Calls by service and outcome", registry=self.registry
        )
        self._refusals = Counter(
            "egretrouter_refusals_total", "Requests refused by reason", registry=self.registry
        )
        self._seconds = Histogram(
            "egretrouter_call_seconds",
            "Time from arrival to the end of the answer",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._first_token = Histogram(
            "egretrouter_first_token_seconds",
            "Time from admission to the first piece of the answer",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )

    def record_refusal(self, reason: str) -> None:
        """Count a refused request by its reason."""
        self._refusals.inc({"reason": reason})

    def record_call(
        self, *, service: str, outcome: str, seconds: float, first_token_seconds: float | None
    ) -> None:
        """Count a call and record its durations."""
        self._calls.inc({"service": service, "outcome": outcome})
        self._seconds.observe({"service": service}, seconds)
        if first_token_seconds is not None:
            self._first_token.observe({"service": service}, first_token_seconds)


class AgentMetrics(ProcessMetrics):
    """Register the metrics of an agent."""

    def __init__(self) -> None:
        super().__init__()
        self.origin_bytes = Counter(
            "egretrouter_origin_bytes_total", "Bytes read from the origin", registry=self.registry
        )
        self.peer_bytes = Counter(
            "egretrouter_peer_bytes_total", "Bytes read from peers", registry=self.registry
        )
        self.copies = Counter(
            "egretrouter_copies_total", "Copies of weights by result", registry=self.registry
        )
        self.corrupted_chunks = Counter(
            "egretrouter_corrupted_chunks_total", "Chunks rejected", registry=self.registry
        )
