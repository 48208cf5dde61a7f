"""Bound from above how long messages of peers were on their way."""

import math

import msgspec

from egretrouter.core.identifiers import InstanceId

# The shortest of a peer's messages in a row is on its way no longer than this.
SHORTEST_TRANSIT_SECONDS = 0.5
# All messages that waited at this process are read this long after the first of them.
BACKLOG_SECONDS = 1.0
# Seconds that the clocks of two machines may drift apart in each second.
CLOCK_DRIFT = 2e-4
KEPT_PEERS = 4096
# The clocks may have drifted apart by some 0.01 s after this time.
ROUND_TRIP_VALID_SECONDS = 60.0


class _Offset(msgspec.Struct, frozen=True):
    """The smallest difference between this machine's clock and a time that a peer sent."""

    seconds: float
    recorded_seconds: float
    first_seconds: float
    """When the first message of the peer was recorded."""
    least_seconds: float
    """What the difference is at least, as round trips have shown."""
    measured_seconds: float
    """When the last round trip was recorded."""


class TransitTimes:
    """Compare the times at which a peer sent its messages with those at which they arrived.

    The clocks of two machines have no common zero, but the difference between them is constant.
    A message that shows a larger difference than another one was on its way longer by that much:
    it waited for a link, or at this process while it was frozen. An answer was sent after its
    question, which bounds the difference from below.

    Load pattern: a few messages a second from each of a few peers.
    """

    def __init__(self) -> None:
        self._offsets: dict[tuple[InstanceId, int], _Offset] = {}

    def record(
        self,
        peer: InstanceId,
        *,
        started_ms: int,
        sent_seconds: float,
        now_seconds: float,
        answers_seconds: float = -math.inf,
    ) -> float:
        """Record a message, and return how long it was on its way at the most.

        sent_seconds is by the sender's clock, answers_seconds by the own one: when the question
        was sent that the message answers. The result is infinite if it is not known, and without
        a round trip for the first messages of a peer, which may all have waited.
        """
        if not math.isfinite(sent_seconds):
            return math.inf
        difference = now_seconds - sent_seconds
        least = measured = -math.inf
        if -math.inf < answers_seconds <= now_seconds:
            least, measured = answers_seconds - sent_seconds, now_seconds
        known = self._offsets.pop((peer, started_ms), None)
        smallest, first = difference, now_seconds
        if known is not None:
            drift = CLOCK_DRIFT * (now_seconds - known.recorded_seconds)
            smallest, first = min(difference, known.seconds + drift), known.first_seconds
            least = max(least, known.least_seconds - drift)
            measured = max(measured, known.measured_seconds)
        self._offsets[peer, started_ms] = _Offset(smallest, now_seconds, first, least, measured)
        if len(self._offsets) > KEPT_PEERS:
            del self._offsets[next(iter(self._offsets))]
        if now_seconds - first < BACKLOG_SECONDS:
            return difference - least
        return min(difference - least, difference - smallest + SHORTEST_TRANSIT_SECONDS)

    def is_measured(self, peer: InstanceId, *, started_ms: int, now_seconds: float) -> bool:
        """Return whether a round trip to a peer has been recorded lately."""
        known = self._offsets.get((peer, started_ms))
        return known is not None and now_seconds - known.measured_seconds < ROUND_TRIP_VALID_SECONDS
