"""Track the registered endpoints."""

import math
from collections.abc import Iterable

from egretrouter.core.direct._departures import RENEWAL_SECONDS, Departures
from egretrouter.core.direct._records import Endpoint, EndpointState
from egretrouter.core.identifiers import EndpointId, ServiceName


class EndpointDirectory:
    """Store the registered endpoints, with a grace period after an outage of the store."""

    def __init__(self, *, renewal_interval_seconds: float = 1.0) -> None:
        """Expect endpoints to renew their registrations in the given interval."""
        self._departures = Departures(renewal_interval_seconds=renewal_interval_seconds)
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._expires_seconds: dict[EndpointId, float] = {}
        """When to drop each endpoint that was missing from the list after an outage."""

    def replace(
        self,
        endpoints: Iterable[Endpoint],
        *,
        grace_seconds: float = 0.0,
        restored: bool = False,
        now_seconds: float,
    ) -> bool:
        """Replace all entries, and return whether others are registered than before.

        After an outage, missing endpoints are kept for the grace period that is left. If the store
        was restored from a copy, so are those that may have registered since, and those that left
        since stay so.
        """
        if restored:
            self._departures.hold(self._endpoints.values(), now_seconds=now_seconds)
            self._expires_seconds.clear()
            grace_seconds = RENEWAL_SECONDS
        registered = self._endpoints.keys() - self._expires_seconds.keys()
        found = self._departures.correct(endpoints, now_seconds=now_seconds)
        kept = {}
        for endpoint_id, endpoint in self._endpoints.items():
            if endpoint_id in found:
                continue
            in_grace = grace_seconds > 0.0 or endpoint_id in self._expires_seconds
            if in_grace and endpoint.state is EndpointState.READY:
                kept[endpoint_id] = endpoint
            else:
                self._departures.record(endpoint, now_seconds=now_seconds)
        self._expires_seconds = {
            endpoint_id: self._expires_seconds.get(endpoint_id, now_seconds + grace_seconds)
            for endpoint_id in kept
        }
        self._endpoints = {**kept, **found}
        return found.keys() != registered

    def put(self, endpoint: Endpoint) -> None:
        """Add or replace an entry."""
        self._departures.forget(endpoint.endpoint_id)
        self._endpoints[endpoint.endpoint_id] = endpoint
        self._expires_seconds.pop(endpoint.endpoint_id, None)

    def remove(
        self, endpoint_id: EndpointId, *, grace_seconds: float = 0.0, now_seconds: float
    ) -> None:
        """Remove an entry, if it exists, once a grace period is over in which it may come back."""
        endpoint = self._endpoints.get(endpoint_id)
        is_ready = endpoint is not None and endpoint.state is EndpointState.READY
        if is_ready and grace_seconds > 0.0:
            self._expires_seconds.setdefault(endpoint_id, now_seconds + grace_seconds)
            return
        self._endpoints.pop(endpoint_id, None)
        self._expires_seconds.pop(endpoint_id, None)
        if endpoint is not None:
            self._departures.record(endpoint, now_seconds=now_seconds)

    def expire(self, *, now_seconds: float) -> list[EndpointId]:
        """Remove and return the endpoints that were not re-registered within the grace period."""
        expired = [e for e, until in self._expires_seconds.items() if until <= now_seconds]
        for endpoint_id in expired:
            self.remove(endpoint_id, now_seconds=now_seconds)
        return expired

    @property
    def next_expiry_seconds(self) -> float:
        """Return when the first grace period of an endpoint ends; infinite if there is none."""
        return min(self._expires_seconds.values(), default=math.inf)

    def ready_endpoints(self, service: ServiceName) -> list[Endpoint]:
        """Return the endpoints of a service that are not draining."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service and endpoint.state is EndpointState.READY
        ]

    def endpoints_of(self, service: ServiceName) -> list[Endpoint]:
        """Return all endpoints of a service, including draining ones."""
        return [e for e in self._endpoints.values() if e.service == service]

    def all_endpoints(self) -> list[Endpoint]:
        """Return all endpoints, including draining ones."""
        return list(self._endpoints.values())

    def registered_endpoints(self) -> list[Endpoint]:
        """Return the endpoints in the store's list, without those kept for a grace period."""
        return [e for e in self._endpoints.values() if e.endpoint_id not in self._expires_seconds]

    def grace_left_seconds(self, *, now_seconds: float) -> float:
        """Return for how long missing endpoints are still kept."""
        return max(0.0, max(self._expires_seconds.values(), default=now_seconds) - now_seconds)

    def newest_at(self, address: str) -> Endpoint | None:
        """Return the most recently started endpoint at an address."""
        found = [e for e in self._endpoints.values() if e.address == address]
        return max(found, key=lambda endpoint: endpoint.started_ms, default=None)
