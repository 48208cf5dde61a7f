"""Choose endpoints by simple rules, for comparison."""

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
    """Choose an endpoint, and take in the same messages as EndpointSelector."""

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Take in one message."""

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return an endpoint, or None to refuse the call."""


class RandomChoice:
    """Choose at random."""

    def __init__(self, random_generator: random.Random) -> None:
        """Start without endpoints."""
        self.random = random_generator
        self.endpoints: list[EndpointId] = []

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Learn the endpoints."""
        if isinstance(message, EndpointUpdated) and message.endpoint_id not in self.endpoints:
            self.endpoints.append(message.endpoint_id)
        return None

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return any endpoint."""
        return self.random.choice([e for e in self.endpoints if e not in request.excluded])


class RoundRobin(RandomChoice):
    """Choose in turn, from a random start."""

    turn: int | None = None

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the next endpoint."""
        left = [e for e in self.endpoints if e not in request.excluded]
        self.turn = self.random.randrange(len(left)) if self.turn is None else self.turn + 1
        return left[self.turn % len(left)]


class LeastOutstanding(RandomChoice):
    """Choose the endpoint with the fewest of this router's own calls."""

    def __init__(self, random_generator: random.Random) -> None:
        """Start without calls."""
        super().__init__(random_generator)
        self.calls: dict[CallId, EndpointId] = {}
        self.counts: dict[EndpointId, float] = {}

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Count own calls."""
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
        """Return the least used endpoint, ties at random."""
        left = [e for e in self.endpoints if e not in request.excluded]
        return min(left, key=lambda e: (self.counts[e], self.random.random()))


class LeastReported(LeastOutstanding):
    """Choose the endpoint with the fewest calls by its last report and own calls since."""

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Take the reported calls as they are."""
        super().handle(message, now_seconds=now_seconds)
        if isinstance(message, LoadReported):
            self.counts[message.endpoint_id] = message.queued_calls + message.running_calls
        return None


class PrefixHash(RandomChoice):
    """Choose by rendezvous hashing of the prompt's first blocks."""

    blocks = 4

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the endpoint that the prefix hashes to."""
        key = request.prompt_blocks[: self.blocks][-1]
        left = [e for e in self.endpoints if e not in request.excluded]
        return max(left, key=lambda e: xxhash.xxh3_64_intdigest(f"{key}/{e}".encode()))


class BoundedPrefixHash(LeastOutstanding):
    """Choose by prefix hash among endpoints within a bound of the mean of own calls."""

    blocks = 4
    bound = 1.25

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the first endpoint by hash that is within the bound."""
        key = request.prompt_blocks[: self.blocks][-1]
        left = [e for e in self.endpoints if e not in request.excluded]
        limit = math.ceil(self.bound * (sum(self.counts[e] for e in left) + 1) / len(left))
        within = [e for e in left if self.counts[e] + 1 <= limit]
        return max(within, key=lambda e: xxhash.xxh3_64_intdigest(f"{key}/{e}".encode()))
