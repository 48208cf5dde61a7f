"""Track the fetches in flight and their progress deadlines."""

from collections import Counter
from enum import Enum

from egretrouter.core.identifiers import ChunkIndex, InstanceId
from egretrouter.core.weights._messages import CopySettings

DEADLINE_FACTOR = 4.0
"""A fetch is late after four times the smoothed duration; queueing alone rarely triples it."""
TRICKLE_FACTOR = 4
"""A fetch that goes on moving is late after four deadlines, but from the origin never: its link
is shared by all, and a second fetch would only add to the load."""


class SourceKind(Enum):
    """Name the links that chunks come over; each has its own durations and limits."""

    ZONE = "zone"
    REMOTE = "remote"
    ORIGIN = "origin"


class Fetch:
    """Hold one fetch in flight."""

    def __init__(self, *, kind: SourceKind, started_seconds: float) -> None:
        self.kind = kind
        self.started_seconds = started_seconds
        self.progress_seconds = started_seconds


class Transfers:
    """Hold every fetch in flight by chunk and source."""

    def __init__(self, *, settings: CopySettings) -> None:
        self._settings = settings
        self._fetches: dict[ChunkIndex, dict[InstanceId, Fetch]] = {}
        self._smoothed_seconds: dict[SourceKind, float] = {}
        self.mask = 0
        self.per_source: Counter[InstanceId] = Counter()
        self.per_kind: Counter[SourceKind] = Counter()

    def start(
        self, index: ChunkIndex, source: InstanceId, kind: SourceKind, *, now_seconds: float
    ) -> None:
        """Note a fetch that starts."""
        self._fetches.setdefault(index, {})[source] = Fetch(kind=kind, started_seconds=now_seconds)
        self.mask |= 1 << index
        self.per_source[source] += 1
        self.per_kind[kind] += 1

    def end(self, index: ChunkIndex, source: InstanceId) -> Fetch | None:
        """Note a fetch that ended; return None if it was not in flight."""
        fetches = self._fetches.get(index)
        fetch = fetches.pop(source, None) if fetches else None
        if fetches is None or fetch is None:
            return None
        if not fetches:
            del self._fetches[index]
            self.mask ^= 1 << index
        self.per_source[source] -= 1
        self.per_kind[fetch.kind] -= 1
        return fetch

    def progress(self, index: ChunkIndex, source: InstanceId, *, now_seconds: float) -> None:
        """Note that bytes of a chunk arrived."""
        fetch = self._fetches.get(index, {}).get(source)
        if fetch is not None:
            fetch.progress_seconds = now_seconds

    def note_duration(self, fetch: Fetch, *, now_seconds: float) -> None:
        """Adapt the deadline to a fetch that brought a verified chunk."""
        taken = now_seconds - fetch.started_seconds
        smoothed = self._smoothed_seconds.get(fetch.kind, taken)
        self._smoothed_seconds[fetch.kind] = smoothed + (taken - smoothed) / 8

    def deadline_seconds(self, kind: SourceKind) -> float:
        """Return after how long a fetch counts as stalled."""
        smoothed = self._smoothed_seconds.get(kind)
        if smoothed is None:
            return self._settings.deadline_initial_seconds
        longest = self._settings.deadline_max_seconds
        return min(longest, max(self._settings.deadline_min_seconds, DEADLINE_FACTOR * smoothed))

    def sources(self, index: ChunkIndex) -> list[InstanceId]:
        """Return the sources that a chunk is being fetched from."""
        return list(self._fetches.get(index, ()))

    def from_source(self, source: InstanceId) -> list[ChunkIndex]:
        """Return the chunks being fetched from a source."""
        return [index for index, fetches in self._fetches.items() if source in fetches]

    def all(self) -> list[tuple[ChunkIndex, InstanceId, Fetch]]:
        """Return every fetch in flight."""
        return [
            (index, source, fetch)
            for index, fetches in self._fetches.items()
            for source, fetch in fetches.items()
        ]

    def late(self, *, now_seconds: float) -> list[tuple[ChunkIndex, InstanceId, bool]]:
        """Return the stalled fetches, and whether each is to be given up at twice its deadline."""
        stalled = []
        for index, source, fetch in self.all():
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
