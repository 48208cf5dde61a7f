"""Collect what sources say to a process that has no configuration yet."""

import msgspec

from egretrouter.core.configuration._messages import STORE_SOURCE, IndexReceived
from egretrouter.core.identifiers import InstanceId


class Survey(msgspec.Struct, kw_only=True):
    """Hold the sources asked and the highest generation among their answers."""

    waiting: set[InstanceId]
    deadline_seconds: float
    join_until_seconds: float = float("-inf")
    """Until then a process without peers waits for some, who may know a higher generation."""
    best: IndexReceived | None = None

    def is_over(self, now_seconds: float) -> bool:
        """Tell whether no answer is worth waiting for."""
        answered = not self.waiting and now_seconds >= self.join_until_seconds
        return answered or now_seconds >= self.deadline_seconds

    def add(self, seen: IndexReceived) -> None:
        """Take an answer; of two with one generation the store's counts."""
        self.waiting.discard(seen.source)
        if self.best is None or _rank(seen) > _rank(self.best):
            self.best = seen


def _rank(seen: IndexReceived) -> tuple[int, bool]:
    return seen.index.generation, seen.source == STORE_SOURCE
