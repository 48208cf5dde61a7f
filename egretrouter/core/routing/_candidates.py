"""Define the selector's records of open calls and scored candidates."""

import msgspec

from egretrouter.core.routing._messages import CallSent, EndpointUpdated


class OpenCall:
    """Track a call that was sent and has not ended."""

    __slots__ = (
        "endpoint_id",
        "placed",
        "prompt_tokens",
        "sent_at_seconds",
        "uncached_tokens",
        "waiting",
    )

    def __init__(self, sent: CallSent, *, uncached_tokens: int, now_seconds: float) -> None:
        """Record the call as sent now and waiting for its first token."""
        self.endpoint_id = sent.endpoint_id
        self.placed = sent.by_prefix_affinity
        self.prompt_tokens = sent.prompt_tokens
        self.sent_at_seconds = now_seconds
        self.uncached_tokens = uncached_tokens
        self.waiting = True


class Scored(msgspec.Struct, frozen=True, kw_only=True):
    """Pair a candidate endpoint with its estimated cost and wait."""

    endpoint: EndpointUpdated
    cost_seconds: float
    wait_seconds: float
    cached_tokens: int
    by_prefix_affinity: bool
