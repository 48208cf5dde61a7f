"""Bound from below when changes were made that a process learned of later."""

import math
from typing import Generic, TypeVar

from egretrouter.core.direct._state_order import StoreRevision

KEPT_STATES = 32

_State = TypeVar("_State", int, StoreRevision)


class NameTimes(Generic[_State]):
    """Remember up to which time no change beyond a state had been made.

    Load pattern: a few records a second, from this process's listings and its peers' greetings; a
    question for each name of a version and each greeting sent.
    """

    def __init__(self) -> None:
        self._seconds_by_state: dict[_State, float] = {}

    def record(self, state: _State, *, at_seconds: float) -> None:
        """Record that no change beyond a state had been made at a time."""
        if not math.isfinite(at_seconds):
            return
        known = self._seconds_by_state.get(state, at_seconds)
        self._seconds_by_state[state] = max(known, at_seconds)
        if len(self._seconds_by_state) > KEPT_STATES:
            earliest = min(self._seconds_by_state, key=self._seconds_by_state.__getitem__)
            del self._seconds_by_state[earliest]

    def unchanged_until(self, state: _State) -> float:
        """Return the last time at which no change beyond a state had surely been made.

        Seconds of the machine's boot clock; minus infinity if nothing is known.
        """
        times = (s for known, s in self._seconds_by_state.items() if known <= state)
        return max(times, default=-math.inf)
