"""Choose what a process tells others of what it has learned."""

from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Hashable)

RELAYS = 3
"""How often a process passes on one piece of news."""


class RelayQueue(Generic[KeyT]):
    """Hold the keys of news that others are to get."""

    def __init__(self) -> None:
        self._findings: dict[KeyT, None] = {}
        """What this process learned first, in order."""
        self._relays_left: dict[KeyT, int] = {}

    def add_finding(self, key: KeyT) -> None:
        """Add something that this process learned first, which is sent at once."""
        self._findings[key] = None

    def add_relay(self, key: KeyT) -> None:
        """Add something that this process heard from another one."""
        self._relays_left[key] = RELAYS

    def take_findings(self) -> list[KeyT]:
        """Return what this process learned first, which is passed on later as well."""
        findings, self._findings = list(self._findings), {}
        for key in findings:
            self._relays_left.setdefault(key, RELAYS)
        return findings

    def take_relays(
        self, *, limit: int, urgency: Callable[[KeyT], float] = lambda key: 0.0
    ) -> list[KeyT]:
        """Return what is to be passed on now, the most urgent first."""
        keys = sorted(self._relays_left, key=urgency, reverse=True)[:limit]
        for key in keys:
            self._relays_left[key] -= 1
            if not self._relays_left[key]:
                del self._relays_left[key]
        return keys
