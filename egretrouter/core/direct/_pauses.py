"""Keep calls away from endpoints that have asked this router for a pause."""

import random
from collections.abc import Iterable

import msgspec

from egretrouter.core.direct._endpoint_run import EndpointRun

MAX_PAUSE_SECONDS = 120.0
"""A longer pause is cut to this."""
# An endpoint's clock may run a little slower than the router's.
MARGIN_SECONDS = 0.05
JITTER_SHARE = 0.25
"""By how much of its length, at most, each router lengthens a pause on its own."""
MAX_JITTER_SECONDS = 0.5
# After a pause, the calls that an endpoint has got in all may double in each such time, so that
# not all that waited come at once.
DOUBLING_SECONDS = 0.1
MIN_CHANGE_SECONDS = 1.0
"""Answers to calls sent at once ask for almost the same pause, which is reported only once."""
RAMP_SECONDS = 1.0
"""How long after a pause the number of calls is limited."""


class PauseStarted(msgspec.Struct, frozen=True, kw_only=True):
    """Report that an endpoint gets no calls for some time."""

    run: EndpointRun
    asked_seconds: float
    left_seconds: float
    """Time until this router sends the endpoint a call again."""

    @property
    def is_cut(self) -> bool:
        """Return whether the endpoint asked for more than it gets."""
        return self.asked_seconds > MAX_PAUSE_SECONDS


class _Pause:
    def __init__(self, until_seconds: float) -> None:
        self.until_seconds = until_seconds
        self.sends = 0
        """How many calls the endpoint has got since the pause ended."""

    def is_in_force(self, now_seconds: float, until_seconds: float) -> bool:
        """Return whether the pause lasts now, and until a time at least."""
        return self.until_seconds > max(now_seconds, until_seconds)

    def has_room(self, now_seconds: float) -> bool:
        """Return whether the endpoint may get one more call."""
        since = now_seconds - self.until_seconds
        if since < 0:
            return False
        return since >= RAMP_SECONDS or self.sends + 1 <= 2.0 ** (since / DOUBLING_SECONDS)


class EndpointPauses:
    """Track the pauses that endpoints have asked this router for."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._pauses: dict[EndpointRun, _Pause] = {}

    def record(
        self, run: EndpointRun, asked_seconds: float, *, now_seconds: float
    ) -> PauseStarted | None:
        """Record that an endpoint asks for a pause; return None if that changes little."""
        if asked_seconds <= 0:
            return None
        self._forget_ended(now_seconds)
        seconds = min(asked_seconds, MAX_PAUSE_SECONDS)
        end = now_seconds + seconds + MARGIN_SECONDS
        known = self._pauses.get(run)
        if known is not None and known.until_seconds >= end:
            return None
        until = end + self._rng.random() * min(JITTER_SHARE * seconds, MAX_JITTER_SECONDS)
        self._pauses[run] = _Pause(until)
        if known is not None and known.is_in_force(now_seconds, until - MIN_CHANGE_SECONDS):
            return None
        return PauseStarted(run=run, asked_seconds=asked_seconds, left_seconds=until - now_seconds)

    def _forget_ended(self, now_seconds: float) -> None:
        for run, pause in list(self._pauses.items()):
            if now_seconds >= pause.until_seconds + RAMP_SECONDS:
                del self._pauses[run]

    def may_send(self, run: EndpointRun, *, now_seconds: float) -> bool:
        """Return whether an endpoint may get a call now."""
        pause = self._pauses.get(run)
        return pause is None or pause.has_room(now_seconds)

    def record_send(self, run: EndpointRun) -> None:
        """Record that an endpoint is sent a call."""
        pause = self._pauses.get(run)
        if pause is not None:
            pause.sends += 1

    def first_end_seconds(self, runs: Iterable[EndpointRun], *, now_seconds: float) -> float:
        """Return the time until the first of some endpoints' pauses ends; 0 if one has none."""
        ends = [self._pauses[run].until_seconds if run in self._pauses else 0.0 for run in runs]
        return max(0.0, min(ends, default=0.0) - now_seconds)

    def snapshot(self, *, now_seconds: float) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            run.endpoint_id: {
                "started_ms": run.started_ms,
                "left_seconds": round(max(0.0, pause.until_seconds - now_seconds), 3),
            }
            for run, pause in self._pauses.items()
        }
