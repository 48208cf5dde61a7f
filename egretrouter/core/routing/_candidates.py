"""Hold what the selector keeps about candidates and open calls."""

import msgspec

from egretrouter.core.routing._messages import CallSent, EndpointUpdated


class OpenCall:
    """Hold a call that was sent and has not ended."""

    __slots__ = (
        "by_prefix_affinity",
        "endpoint_id",
        "prompt_tokens",
        "sent_at_seconds",
        "uncached_tokens",
        "waiting",
    )

    def __init__(self, sent: CallSent, *, uncached_tokens: int, now_seconds: float) -> None:
        """Start waiting for the first token."""
        self.endpoint_id = sent.endpoint_id
        self.by_prefix_affinity = sent.by_prefix_affinity
        self.prompt_tokens = sent.prompt_tokens
        self.sent_at_seconds = now_seconds
        self.uncached_tokens = uncached_tokens
        self.waiting = True


class Scored(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a candidate with its estimates."""

    endpoint: EndpointUpdated
    cost_seconds: float
    wait_seconds: float
    cached_tokens: int
    by_prefix_affinity: bool
