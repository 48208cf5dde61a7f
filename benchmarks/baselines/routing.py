"""Choose endpoints by simple policies, for comparison with EndpointSelector."""

import math
import random
from typing import Protocol

import xxhash

from egretrouter.core.identifiers import CallId, EndpointId
from egretrouter.core.routing import (
    CallEnded,
    CallFailed,
    CallSent,
    EndpointUpdated,
    LoadReported,
    RouteRequest,
    RoutingMessage,
)


class Policy(Protocol):
    """Choose an endpoint; handles the same messages as EndpointSelector."""

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Update the state from one message."""

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return an endpoint, or None to refuse the call."""


class RandomChoice:
    """Choose at random."""

    def __init__(self, random_generator: random.Random) -> None:
        """Start without endpoints."""
        self.random = random_generator
        self.endpoints: list[EndpointId] = []

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Record the endpoints."""
        if isinstance(message, EndpointUpdated) and message.endpoint_id not in self.endpoints:
            self.endpoints.append(message.endpoint_id)
        return None

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return a random endpoint."""
        return self.random.choice([e for e in self.endpoints if e not in request.excluded])


class RoundRobin(RandomChoice):
    """Choose endpoints in turn, from a random start."""

    position: int | None = None

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the next endpoint."""
        candidates = [e for e in self.endpoints if e not in request.excluded]
        self.position = (
            self.random.randrange(len(candidates)) if self.position is None else self.position + 1
        )
        return candidates[self.position % len(candidates)]


class LeastOutstanding(RandomChoice):
    """Choose the endpoint with the fewest of this router's own calls."""

    def __init__(self, random_generator: random.Random) -> None:
        """Start without calls."""
        super().__init__(random_generator)
        self.calls: dict[CallId, EndpointId] = {}
        self.counts: dict[EndpointId, float] = {}

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Count this router's calls per endpoint."""
        super().handle(message, now_seconds=now_seconds)
        if isinstance(message, EndpointUpdated):
            self.counts.setdefault(message.endpoint_id, 0)
        elif isinstance(message, CallSent):
            self.calls[message.call_id] = message.endpoint_id
            self.counts[message.endpoint_id] += 1
        elif isinstance(message, CallEnded | CallFailed):
            endpoint_id = self.calls.pop(message.call_id, None)
            if endpoint_id is not None:
                self.counts[endpoint_id] = max(0, self.counts[endpoint_id] - 1)
        return None

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the endpoint with the fewest calls; ties are broken at random."""
        candidates = [e for e in self.endpoints if e not in request.excluded]
        return min(candidates, key=lambda e: (self.counts[e], self.random.random()))


class LeastReported(LeastOutstanding):
    """Choose the endpoint with the fewest calls by its last report and own calls since then."""

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Replace an endpoint's count by the reported calls."""
        super().handle(message, now_seconds=now_seconds)
        if isinstance(message, LoadReported):
            self.counts[message.endpoint_id] = message.queued_calls + message.running_calls
        return None


class PrefixHash(RandomChoice):
    """Choose by rendezvous hashing of the prompt's first blocks."""

    prefix_blocks = 4

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the endpoint that the prefix hashes to."""
        key = request.prompt_blocks[: self.prefix_blocks][-1]
        candidates = [e for e in self.endpoints if e not in request.excluded]
        return max(candidates, key=lambda e: xxhash.xxh3_64_intdigest(f"{key}/{e}".encode()))


class BoundedPrefixHash(LeastOutstanding):
    """Choose by prefix hash among endpoints within a bound of this router's mean call count."""

    prefix_blocks = 4
    load_bound = 1.25

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the first endpoint by hash that is within the bound."""
        key = request.prompt_blocks[: self.prefix_blocks][-1]
        candidates = [e for e in self.endpoints if e not in request.excluded]
        limit = math.ceil(
            self.load_bound * (sum(self.counts[e] for e in candidates) + 1) / len(candidates)
        )
        within = [e for e in candidates if self.counts[e] + 1 <= limit]
        return max(within, key=lambda e: xxhash.xxh3_64_intdigest(f"{key}/{e}".encode()))
