"""Keep what is known of each source of chunks."""

from collections.abc import Iterator
from random import Random

from egretrouter.core.identifiers import ChunkIndex, InstanceId
from egretrouter.core.weights._messages import CopySettings


def bits(mask: int) -> Iterator[ChunkIndex]:
    """Yield the positions of the bits set, lowest first."""
    while mask:
        low = mask & -mask
        yield ChunkIndex(low.bit_length() - 1)
        mask ^= low


def random_bit(mask: int, random: Random) -> ChunkIndex:
    """Return the position of a random bit set in a mask other than 0."""
    start = random.randrange(mask.bit_length())
    high = mask >> start
    low = high & -high if high else mask & -mask
    return ChunkIndex(low.bit_length() - 1 + (start if high else 0))


class _Source:
    """Hold the standing of one source."""

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
        self._sources: dict[InstanceId, _Source] = {}
        self._buckets: list[int] = [0]
        """Bitmap per count: the chunks that exactly so many sources hold; index 0 is unused."""

    def held(self, source: InstanceId) -> int:
        """Return the bitmap of the chunks that a source announced."""
        known = self._sources.get(source)
        return known.held if known else 0

    def set_held(self, source: InstanceId, held: int) -> None:
        """Replace what a source holds."""
        known = self._sources.setdefault(source, _Source())
        lost, gained = known.held & ~held, held & ~known.held
        known.held = held
        for count in range(len(self._buckets) - 1, 0, -1):
            moved = self._buckets[count] & gained
            if moved:
                if count + 1 == len(self._buckets):
                    self._buckets.append(0)
                self._buckets[count] ^= moved
                self._buckets[count + 1] |= moved
                gained ^= moved
        if gained:
            if len(self._buckets) == 1:
                self._buckets.append(0)
            self._buckets[1] |= gained
        for count in range(1, len(self._buckets)):
            moved = self._buckets[count] & lost
            if moved:
                self._buckets[count] ^= moved
                if count > 1:
                    self._buckets[count - 1] |= moved
                lost ^= moved

    def add_held(self, source: InstanceId, added: int) -> None:
        """Add chunks to what a source holds."""
        self.set_held(source, self.held(source) | added)

    def forget(self, source: InstanceId) -> None:
        """Drop what a departed source holds; its strikes stay."""
        if source in self._sources:
            self.set_held(source, 0)

    def replicas(self) -> dict[ChunkIndex, int]:
        """Return how many sources hold each chunk that any holds."""
        return {index: count for count, mask in enumerate(self._buckets) for index in bits(mask)}

    def usable(self, source: InstanceId, *, now_seconds: float) -> bool:
        """Tell whether a source is neither backing off nor in quarantine."""
        known = self._sources.get(source)
        return known is None or (
            known.blocked_until_seconds <= now_seconds
            and known.quarantined_until_seconds <= now_seconds
        )

    def reliable(self, source: InstanceId, *, now_seconds: float) -> bool:
        """Tell whether a source delivers, though it may be busy at the moment."""
        known = self._sources.get(source)
        return known is None or (
            known.failures == 0 and known.quarantined_until_seconds <= now_seconds
        )

    def holding(self) -> list[tuple[InstanceId, int]]:
        """Return the sources that announced chunks, with their bitmaps."""
        return [(name, source.held) for name, source in self._sources.items() if source.held]

    def rarest(self, candidates: int) -> ChunkIndex | None:
        """Return a random one of the candidates that fewest sources hold."""
        for mask in self._buckets:
            rare = mask & candidates
            if rare:
                return random_bit(rare, self._random)
        return None

    def succeed(self, source: InstanceId) -> None:
        """End the backoff of a source."""
        known = self._sources.setdefault(source, _Source())
        known.failures = 0

    def delay(self, source: InstanceId, seconds: float, *, now_seconds: float) -> None:
        """Leave a busy source alone for a jittered time."""
        known = self._sources.setdefault(source, _Source())
        until = now_seconds + seconds * (0.5 + self._random.random())
        known.blocked_until_seconds = max(known.blocked_until_seconds, until)

    def back_off(
        self, source: InstanceId, *, now_seconds: float, at_least_seconds: float = 0.0
    ) -> None:
        """Leave a failing source alone, each time twice as long."""
        known = self._sources.setdefault(source, _Source())
        known.failures += 1
        exponent = min(known.failures - 1, 16)
        longest = min(
            self._settings.backoff_max_seconds, self._settings.backoff_min_seconds * (1 << exponent)
        )
        seconds = at_least_seconds + longest * (0.5 + 0.5 * self._random.random())
        known.blocked_until_seconds = max(known.blocked_until_seconds, now_seconds + seconds)

    def charge_corruption(self, source: InstanceId, *, now_seconds: float) -> float | None:
        """Count a corrupted chunk; return the quarantine in seconds if it starts now."""
        known = self._sources.setdefault(source, _Source())
        known.strikes += 1
        if known.strikes < self._settings.strikes:
            return None
        known.strikes = 0
        seconds = self._settings.quarantine_seconds * float(1 << min(known.quarantines, 6))
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
