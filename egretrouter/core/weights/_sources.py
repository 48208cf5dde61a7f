"""Track the chunks, failures and quarantine of each source."""

from collections.abc import Iterator
from random import Random

from egretrouter.core.identifiers import ChunkIndex, InstanceId
from egretrouter.core.weights._messages import ORIGIN, CopySettings


def bit_positions(mask: int) -> Iterator[ChunkIndex]:
    """Yield the positions of the bits set in a mask, lowest first."""
    while mask:
        low = mask & -mask
        yield ChunkIndex(low.bit_length() - 1)
        mask ^= low


def random_bit_position(mask: int, random: Random) -> ChunkIndex:
    """Return the position of a random bit set in a nonzero mask."""
    start = random.randrange(mask.bit_length())
    high = mask >> start
    low = high & -high if high else mask & -mask
    return ChunkIndex(low.bit_length() - 1 + (start if high else 0))


class _SourceRecord:
    """Track the chunks held, backoff and quarantine of one source."""

    def __init__(self) -> None:
        self.held = 0
        self.blocked_until_seconds = 0.0
        self.failures = 0
        self.strikes = 0
        self.quarantines = 0
        self.quarantined_until_seconds = 0.0


class Sources:
    """Track chunks held, rarity, backoff and quarantine of neighbours, owners and the origin."""

    def __init__(self, *, settings: CopySettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._sources: dict[InstanceId, _SourceRecord] = {}
        self._chunks_by_count: list[int] = [0]
        """Bitmap at each count: the chunks held by exactly that many sources; index 0 is unused."""

    def held(self, source: InstanceId) -> int:
        """Return the bitmap of the chunks that a source announced."""
        known = self._sources.get(source)
        return known.held if known else 0

    def set_held(self, source: InstanceId, held: int) -> None:
        """Replace the bitmap of the chunks that a source holds."""
        known = self._sources.setdefault(source, _SourceRecord())
        removed, added_mask = known.held & ~held, held & ~known.held
        known.held = held
        for count in range(len(self._chunks_by_count) - 1, 0, -1):
            moved = self._chunks_by_count[count] & added_mask
            if moved:
                if count + 1 == len(self._chunks_by_count):
                    self._chunks_by_count.append(0)
                self._chunks_by_count[count] ^= moved
                self._chunks_by_count[count + 1] |= moved
                added_mask ^= moved
        if added_mask:
            if len(self._chunks_by_count) == 1:
                self._chunks_by_count.append(0)
            self._chunks_by_count[1] |= added_mask
        for count in range(1, len(self._chunks_by_count)):
            moved = self._chunks_by_count[count] & removed
            if moved:
                self._chunks_by_count[count] ^= moved
                if count > 1:
                    self._chunks_by_count[count - 1] |= moved
                removed ^= moved

    def add_held(self, source: InstanceId, added: int) -> None:
        """Add chunks to the bitmap of a source."""
        self.set_held(source, self.held(source) | added)

    def clear_held(self, source: InstanceId) -> None:
        """Clear the bitmap of a departed source, but keep its strikes."""
        if source in self._sources:
            self.set_held(source, 0)

    def replicas(self) -> dict[ChunkIndex, int]:
        """Return the number of sources for each chunk that any source holds."""
        return {
            index: count
            for count, mask in enumerate(self._chunks_by_count)
            for index in bit_positions(mask)
        }

    def is_usable(self, source: InstanceId, *, now_seconds: float) -> bool:
        """Return whether a source is neither in backoff nor in quarantine."""
        known = self._sources.get(source)
        return known is None or (
            known.blocked_until_seconds <= now_seconds
            and known.quarantined_until_seconds <= now_seconds
        )

    def is_reliable(self, source: InstanceId, *, now_seconds: float) -> bool:
        """Return whether a source has no failures or quarantine, even if it is busy now."""
        known = self._sources.get(source)
        return known is None or (
            known.failures == 0 and known.quarantined_until_seconds <= now_seconds
        )

    def with_chunks(self) -> list[tuple[InstanceId, int]]:
        """Return the sources that announced chunks, with their bitmaps."""
        return [(name, source.held) for name, source in self._sources.items() if source.held]

    def rarest(self, candidates: int) -> ChunkIndex | None:
        """Return a random candidate among those held by the fewest sources."""
        for mask in self._chunks_by_count:
            rare = mask & candidates
            if rare:
                return random_bit_position(rare, self._random)
        return None

    def record_success(self, source: InstanceId) -> None:
        """Shorten the next backoff of a source, and take back a strike for a sound chunk."""
        known = self._sources.setdefault(source, _SourceRecord())
        known.failures = 0
        if known.strikes:
            known.strikes -= 1
        else:
            known.quarantines = 0

    def record_busy(self, source: InstanceId, seconds: float, *, now_seconds: float) -> None:
        """Block a busy source for a jittered time."""
        known = self._sources.setdefault(source, _SourceRecord())
        until = now_seconds + seconds * (0.5 + self._random.random())
        known.blocked_until_seconds = max(known.blocked_until_seconds, until)

    def back_off(
        self, source: InstanceId, *, now_seconds: float, at_least_seconds: float = 0.0
    ) -> None:
        """Block a failing source for a time that doubles with each failure."""
        known = self._sources.setdefault(source, _SourceRecord())
        known.failures += 1
        exponent = min(known.failures - 1, 16)
        limit = self._settings.backoff_max_seconds
        if source == ORIGIN:
            limit = min(limit, self._settings.origin_backoff_max_seconds)
        longest = min(limit, self._settings.backoff_min_seconds * (1 << exponent))
        seconds = at_least_seconds + longest * (0.5 + 0.5 * self._random.random())
        known.blocked_until_seconds = max(known.blocked_until_seconds, now_seconds + seconds)

    def record_corruption(self, source: InstanceId, *, now_seconds: float) -> float | None:
        """Record a corrupted chunk; return the quarantine in seconds if one starts now."""
        known = self._sources.setdefault(source, _SourceRecord())
        known.strikes += 1
        if known.strikes < self._settings.strikes:
            return None
        known.strikes = 0
        seconds = self._settings.quarantine_seconds * float(1 << min(known.quarantines, 6))
        if source == ORIGIN:
            # It may be the only source, and sound again soon.
            longest = max(self._settings.quarantine_seconds, self._settings.backoff_max_seconds)
            seconds = min(seconds, longest)
        known.quarantines += 1
        known.quarantined_until_seconds = now_seconds + seconds
        return seconds

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            name: {
                "held": source.held.bit_count(),
                "failures": source.failures,
                "strikes": source.strikes,
                "blocked_until_seconds": source.blocked_until_seconds,
                "quarantined_until_seconds": source.quarantined_until_seconds,
            }
            for name, source in self._sources.items()
        }
