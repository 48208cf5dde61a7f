"""Track the fetches in flight and their progress deadlines."""

from collections import Counter
from enum import Enum

from egretrouter.core.identifiers import ChunkIndex, InstanceId
from egretrouter.core.weights._messages import CopySettings

DEADLINE_FACTOR = 4.0
"""Deadline as a multiple of the smoothed duration; queueing alone rarely triples a duration."""
TRICKLE_FACTOR = 4
"""A fetch that makes progress counts as stalled after four deadlines, except from the origin: all
agents share its link, so a second fetch would only add load."""


class SourceKind(Enum):
    """Kinds of links to sources; each has its own fetch durations and limits."""

    ZONE = "zone"
    REMOTE = "remote"
    ORIGIN = "origin"


class Fetch:
    """One fetch in flight, with the times of its start and last progress."""

    def __init__(self, *, kind: SourceKind, started_seconds: float) -> None:
        self.kind = kind
        self.started_seconds = started_seconds
        self.progress_seconds = started_seconds


class Transfers:
    """Track the fetches in flight by chunk and source."""

    def __init__(self, *, settings: CopySettings) -> None:
        self._settings = settings
        self._fetches: dict[ChunkIndex, dict[InstanceId, Fetch]] = {}
        self._smoothed_seconds: dict[SourceKind, float] = {}
        self.in_flight_mask = 0
        self.per_source: Counter[InstanceId] = Counter()
        self.per_kind: Counter[SourceKind] = Counter()

    def start(
        self, index: ChunkIndex, source: InstanceId, kind: SourceKind, *, now_seconds: float
    ) -> None:
        """Record the start of a fetch."""
        self._fetches.setdefault(index, {})[source] = Fetch(kind=kind, started_seconds=now_seconds)
        self.in_flight_mask |= 1 << index
        self.per_source[source] += 1
        self.per_kind[kind] += 1

    def end(self, index: ChunkIndex, source: InstanceId) -> Fetch | None:
        """Remove and return a fetch that ended, or return None if it was not in flight."""
        fetches = self._fetches.get(index)
        fetch = fetches.pop(source, None) if fetches else None
        if fetches is None or fetch is None:
            return None
        if not fetches:
            del self._fetches[index]
            self.in_flight_mask ^= 1 << index
        self.per_source[source] -= 1
        self.per_kind[fetch.kind] -= 1
        return fetch

    def record_progress(self, index: ChunkIndex, source: InstanceId, *, now_seconds: float) -> None:
        """Record that bytes of a chunk arrived."""
        fetch = self._fetches.get(index, {}).get(source)
        if fetch is not None:
            fetch.progress_seconds = now_seconds

    def record_duration(self, fetch: Fetch, *, now_seconds: float) -> None:
        """Adapt the deadline to the duration of a fetch that delivered a verified chunk."""
        duration = now_seconds - fetch.started_seconds
        smoothed = self._smoothed_seconds.get(fetch.kind, duration)
        self._smoothed_seconds[fetch.kind] = smoothed + (duration - smoothed) / 8

    def deadline_seconds(self, kind: SourceKind) -> float:
        """Return the time without progress after which a fetch counts as stalled."""
        smoothed = self._smoothed_seconds.get(kind)
        if smoothed is None:
            return self._settings.deadline_initial_seconds
        longest = self._settings.deadline_max_seconds
        return min(longest, max(self._settings.deadline_min_seconds, DEADLINE_FACTOR * smoothed))

    def sources(self, index: ChunkIndex) -> list[InstanceId]:
        """Return the sources that a chunk is being fetched from."""
        return list(self._fetches.get(index, ()))

    def chunks_from(self, source: InstanceId) -> list[ChunkIndex]:
        """Return the chunks being fetched from a source."""
        return [index for index, fetches in self._fetches.items() if source in fetches]

    def in_flight(self) -> list[tuple[ChunkIndex, InstanceId, Fetch]]:
        """Return every fetch in flight."""
        return [
            (index, source, fetch)
            for index, fetches in self._fetches.items()
            for source, fetch in fetches.items()
        ]

    def stalled(self, *, now_seconds: float) -> list[tuple[ChunkIndex, InstanceId, bool]]:
        """Return the stalled fetches, and whether each has exceeded twice its deadline."""
        stalled = []
        for index, source, fetch in self.in_flight():
            age = now_seconds - fetch.progress_seconds
            if fetch.kind is not SourceKind.ORIGIN:
                age = max(age, (now_seconds - fetch.started_seconds) / TRICKLE_FACTOR)
            deadline = self.deadline_seconds(fetch.kind)
            if age > deadline:
                stalled.append((index, source, age > 2 * deadline))
        return stalled

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "in_flight": {kind.value: count for kind, count in self.per_kind.items()},
            "smoothed_seconds": {k.value: s for k, s in self._smoothed_seconds.items()},
        }
