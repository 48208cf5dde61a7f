"""Remember the endpoints that left, for a store that comes back from a copy that lists them."""

from collections.abc import Iterable

import msgspec

from egretrouter.core.direct._records import Endpoint, EndpointState
from egretrouter.core.identifiers import EndpointId

# A copy of the store is at most this old.
MEMORY_SECONDS = 60.0
# The store removes an entry whose endpoint has not renewed it for this many intervals. An entry of
# a copy that is listed for longer was renewed.
SILENT_INTERVALS = 3
RENEWAL_SECONDS = 2.0
"""Endpoints renew their entries within about this time after the store is back."""


class _Departure(msgspec.Struct, frozen=True, kw_only=True):
    endpoint: Endpoint
    at_seconds: float


class _Hold(msgspec.Struct, frozen=True, kw_only=True):
    """Keep an endpoint as it was known before the store came back."""

    endpoint: Endpoint
    gone: bool
    until_seconds: float

    def covers(self, listed: Endpoint, now_seconds: float) -> bool:
        """Return whether a listed entry may only show what the endpoint was in the copy."""
        return (
            now_seconds < self.until_seconds
            and listed.state is EndpointState.READY
            and listed.started_ms <= self.endpoint.started_ms
        )


class Departures:
    """Keep endpoints that left from coming back with an older copy of the store."""

    def __init__(self, *, renewal_interval_seconds: float) -> None:
        """Expect endpoints to renew their entries in the given interval."""
        self._hold_seconds = SILENT_INTERVALS * renewal_interval_seconds + RENEWAL_SECONDS
        self._left: dict[EndpointId, _Departure] = {}
        self._holds: dict[EndpointId, _Hold] = {}

    def record(self, endpoint: Endpoint, *, now_seconds: float) -> None:
        """Record that an endpoint is gone."""
        oldest = now_seconds - MEMORY_SECONDS
        self._left = {i: left for i, left in self._left.items() if left.at_seconds > oldest}
        self._left[endpoint.endpoint_id] = _Departure(endpoint=endpoint, at_seconds=now_seconds)

    def forget(self, endpoint_id: EndpointId) -> None:
        """Forget what was known of an endpoint that has registered again."""
        self._left.pop(endpoint_id, None)
        self._holds.pop(endpoint_id, None)

    def hold(self, known: Iterable[Endpoint], *, now_seconds: float) -> None:
        """Hold the endpoints that left or are draining when the store comes back from a copy."""
        until = now_seconds + self._hold_seconds
        oldest = now_seconds - MEMORY_SECONDS
        for left in self._left.values():
            if left.at_seconds > oldest:
                self._holds[left.endpoint.endpoint_id] = _Hold(
                    endpoint=left.endpoint, gone=True, until_seconds=until
                )
        for endpoint in known:
            if endpoint.state is EndpointState.DRAINING:
                self._holds[endpoint.endpoint_id] = _Hold(
                    endpoint=endpoint, gone=False, until_seconds=until
                )

    def correct(
        self, listed: Iterable[Endpoint], *, now_seconds: float
    ) -> dict[EndpointId, Endpoint]:
        """Return the listed endpoints without those that left, and with those that drain."""
        found = {}
        for endpoint in listed:
            hold = self._holds.get(endpoint.endpoint_id)
            if hold is None or not hold.covers(endpoint, now_seconds):
                self.forget(endpoint.endpoint_id)
                found[endpoint.endpoint_id] = endpoint
            elif not hold.gone:
                found[endpoint.endpoint_id] = hold.endpoint
        return found
