"""Decide when a member may begin a round of a full exchange."""

import random

EXCHANGE_SECONDS = 30.0
SOON_EXCHANGE_SECONDS = 2.0
JOIN_WINDOW_SECONDS = 15.0
FIRST_TOKENS = 48.0
TOKENS = 8.0
TOKENS_PER_SECOND = 0.3
"""Rounds of exchange are limited to about 2 KB/s; a new member may learn 1,500 members at once.

Without a limit, 425 agents that load a version together cost each node 70 KB/s.
"""


class ExchangePace:
    """Pace exchanges: rarely while views agree, soon while they differ, never too many."""

    def __init__(self, *, rng: random.Random) -> None:
        """Start with an exchange due at once and the allowance of a new member."""
        self._rng = rng
        self._next_seconds = 0.0
        self._tokens = FIRST_TOKENS
        self._refilled_at_seconds = 0.0
        self._started_at_seconds: float | None = None

    def is_due(self, now_seconds: float) -> bool:
        """Tell whether an exchange may begin now, and plan the next one."""
        if now_seconds < self._next_seconds or not self.take_round(now_seconds):
            return False
        self._next_seconds = now_seconds + EXCHANGE_SECONDS * (0.5 + self._rng.random())
        return True

    def plan_now(self) -> None:
        """Make an exchange due at once."""
        self._next_seconds = 0.0

    def plan_soon(self, now_seconds: float) -> None:
        """Repeat the exchange soon, so that joins and heals settle fast."""
        soon = now_seconds + SOON_EXCHANGE_SECONDS * (0.5 + self._rng.random())
        self._next_seconds = min(self._next_seconds, soon)

    def take_round(self, now_seconds: float) -> bool:
        """Take the allowance for one round if there is any."""
        if self._started_at_seconds is None:
            self._started_at_seconds = now_seconds
        elif now_seconds - self._started_at_seconds > JOIN_WINDOW_SECONDS:
            self._tokens = min(self._tokens, TOKENS)
        elapsed = now_seconds - self._refilled_at_seconds
        self._refilled_at_seconds = now_seconds
        if self._tokens < TOKENS:
            self._tokens = min(TOKENS, self._tokens + elapsed * TOKENS_PER_SECOND)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
