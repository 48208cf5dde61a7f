"""Collect index responses for a process that has no configuration yet."""

import msgspec

from egretrouter.core.configuration._messages import STORE_SOURCE, IndexReceived
from egretrouter.core.identifiers import InstanceId


class Survey(msgspec.Struct, kw_only=True):
    """Track the sources queried and the highest generation among their responses."""

    pending_sources: set[InstanceId]
    deadline_seconds: float
    join_until_seconds: float = float("-inf")
    """Until this time a process without peers waits for some, as they may have a higher
    generation than the store."""
    best: IndexReceived | None = None

    def is_finished(self, now_seconds: float) -> bool:
        """Return whether all sources have responded or the deadline has passed."""
        all_answered = not self.pending_sources and now_seconds >= self.join_until_seconds
        return all_answered or now_seconds >= self.deadline_seconds

    def add(self, received: IndexReceived) -> None:
        """Record a response; for equal generations the one from the store is kept."""
        self.pending_sources.discard(received.source)
        if self.best is None or _rank(received) > _rank(self.best):
            self.best = received


def _rank(received: IndexReceived) -> tuple[int, bool]:
    return received.index.generation, received.source == STORE_SOURCE
