"""Estimate how much longer work takes at an endpoint right now than usually."""

from collections.abc import Collection

import msgspec

from egretrouter.core.identifiers import EndpointId, ServiceName

MIN_SLOWDOWN = 0.01
"""The smallest valid reading; at 1 work takes as long as usual."""
MAX_SLOWDOWN = 100.0
"""The largest valid reading; an endpoint that is even slower answers no call in time anyway."""
# Readings that differ by less than this share of the smaller one belong to the same episode.
CHANGE_SHARE = 0.25
# A longer time between two readings may hide a whole episode.
MAX_READING_GAP_SECONDS = 0.5
# The mean duration that is assumed before any episode was observed, and the bounds of the learned
# one.
INITIAL_EPISODE_SECONDS = 0.5
MIN_EPISODE_SECONDS = 0.1
MAX_EPISODE_SECONDS = 2.0
# The initial duration counts as much as this many observed ends of episodes.
INITIAL_EPISODE_ENDS = 4.0
# At this many observed ends the sums are halved, so that older episodes lose weight.
MAX_EPISODE_ENDS = 64.0


class _Episodes:
    """Learn the mean duration of the episodes in which a service's endpoints are not as usual."""

    def __init__(self) -> None:
        self.observed_seconds = INITIAL_EPISODE_SECONDS * INITIAL_EPISODE_ENDS
        self.ends = INITIAL_EPISODE_ENDS

    @property
    def mean_seconds(self) -> float:
        mean = self.observed_seconds / self.ends
        return min(MAX_EPISODE_SECONDS, max(MIN_EPISODE_SECONDS, mean))

    def record(self, gap_seconds: float, *, ended: bool) -> None:
        """Record the time between two readings, the first of which was within an episode."""
        self.observed_seconds += gap_seconds
        self.ends += ended
        if self.ends >= MAX_EPISODE_ENDS:
            self.observed_seconds /= 2
            self.ends /= 2


class _Reading(msgspec.Struct, frozen=True, kw_only=True):
    slowdown: float
    read_seconds: float
    episodes: _Episodes


class MomentaryLoad:
    """Hold the last reading of each endpoint, whose weight falls with its age.

    Load pattern: a reading with each answer, and some endpoints that are slow for less than a
    second at a time, which a count of their calls does not show.
    """

    def __init__(self) -> None:
        self._readings: dict[EndpointId, _Reading] = {}
        self._episodes: dict[ServiceName, _Episodes] = {}

    def record(
        self,
        endpoint_id: EndpointId,
        slowdown: float,
        *,
        service: ServiceName,
        now_seconds: float,
    ) -> None:
        """Record how many times longer than usual work takes at an endpoint now."""
        episodes = self._episodes.get(service)
        if episodes is None:
            episodes = self._episodes[service] = _Episodes()
        last = self._readings.get(endpoint_id)
        if last is not None and _differ(last.slowdown, 1.0):
            gap_seconds = now_seconds - last.read_seconds
            if 0 < gap_seconds <= MAX_READING_GAP_SECONDS:
                episodes.record(gap_seconds, ended=_differ(last.slowdown, slowdown))
        self._readings[endpoint_id] = _Reading(
            slowdown=min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown)),
            read_seconds=now_seconds,
            episodes=episodes,
        )

    def factor(self, endpoint_id: EndpointId, *, now_seconds: float) -> float:
        """Return how many times longer than usual work is expected to take; 1 if not known."""
        reading = self._readings.get(endpoint_id)
        if reading is None:
            return 1.0
        age_seconds = max(0.0, now_seconds - reading.read_seconds)
        validity = max(0.0, 1.0 - age_seconds / reading.episodes.mean_seconds)
        return 1.0 + (reading.slowdown - 1.0) * validity

    def retain_only(self, known: Collection[EndpointId]) -> None:
        """Remove the readings of unlisted endpoints, and what no reading refers to."""
        self._readings = {e: r for e, r in self._readings.items() if e in known}
        used = {id(reading.episodes) for reading in self._readings.values()}
        self._episodes = {s: e for s, e in self._episodes.items() if id(e) in used}

    def snapshot(self, *, now_seconds: float) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "episode_seconds": {
                service: round(episodes.mean_seconds, 3)
                for service, episodes in self._episodes.items()
            },
            "endpoints": {
                endpoint_id: {
                    "slowdown": round(reading.slowdown, 3),
                    "age_seconds": round(now_seconds - reading.read_seconds, 3),
                }
                for endpoint_id, reading in self._readings.items()
            },
        }


def _differ(first: float, second: float) -> bool:
    return max(first, second) > (1.0 + CHANGE_SHARE) * min(first, second)
