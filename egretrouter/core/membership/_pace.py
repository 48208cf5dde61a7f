"""Schedule the full exchanges of a member and limit their rate."""

import random

EXCHANGE_SECONDS = 30.0
SOON_EXCHANGE_SECONDS = 2.0
JOIN_WINDOW_SECONDS = 15.0
INITIAL_TOKENS = 48.0
MAXIMUM_TOKENS = 8.0
TOKENS_PER_SECOND = 0.3
"""Refill rate of a token bucket in which each exchange round costs one token.

It limits exchanges to about 2 KB/s. The initial tokens let a new member fetch 1,500 members at
once. Without a limit, 425 agents that load a version together cost each node 70 KB/s.
"""


class ExchangeSchedule:
    """Schedule exchanges rarely while views agree and soon while they differ, rate-limited."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start with an exchange due at once and the tokens of a new member."""
        self._rng = rng
        self._next_seconds = 0.0
        self._tokens = INITIAL_TOKENS
        self._refilled_at_seconds = 0.0
        self._started_at_seconds: float | None = None

    def start_if_due(self, now_seconds: float) -> bool:
        """Return whether an exchange starts now; if so, schedule the next one."""
        if now_seconds < self._next_seconds or not self.acquire_round(now_seconds):
            return False
        self._next_seconds = now_seconds + EXCHANGE_SECONDS * (0.5 + self._rng.random())
        return True

    def schedule_now(self) -> None:
        """Make an exchange due at once."""
        self._next_seconds = 0.0

    def schedule_soon(self, now_seconds: float) -> None:
        """Repeat the exchange soon, so that views converge fast after a join or a partition."""
        soon = now_seconds + SOON_EXCHANGE_SECONDS * (0.5 + self._rng.random())
        self._next_seconds = min(self._next_seconds, soon)

    def acquire_round(self, now_seconds: float) -> bool:
        """Consume one token and return True, or return False if none is left."""
        if self._started_at_seconds is None:
            self._started_at_seconds = now_seconds
        elif now_seconds - self._started_at_seconds > JOIN_WINDOW_SECONDS:
            self._tokens = min(self._tokens, MAXIMUM_TOKENS)
        elapsed = now_seconds - self._refilled_at_seconds
        self._refilled_at_seconds = now_seconds
        if self._tokens < MAXIMUM_TOKENS:
            self._tokens = min(MAXIMUM_TOKENS, self._tokens + elapsed * TOKENS_PER_SECOND)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
