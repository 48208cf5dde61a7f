"""Track the registered endpoints."""

from collections.abc import Iterable

from egretrouter.core.direct._records import Endpoint, EndpointState
from egretrouter.core.identifiers import EndpointId, ServiceName

# Registrations that expired during an outage of the store are renewed within about this time.
LAPSE_GRACE_SECONDS = 2.0


class EndpointDirectory:
    """Store the registered endpoints, with a grace period after an outage of the store."""

    def __init__(self) -> None:
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._expires_seconds: dict[EndpointId, float] = {}
        """When to drop each endpoint that was missing from the list after an outage."""

    def replace(
        self,
        endpoints: Iterable[Endpoint],
        *,
        after_outage: bool,
        now_seconds: float,
    ) -> None:
        """Replace all entries; after an outage, keep missing endpoints for a grace period."""
        found = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        kept = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in self._endpoints.items()
            if after_outage and endpoint_id not in found and endpoint.state is EndpointState.READY
        }
        self._expires_seconds = {
            endpoint_id: self._expires_seconds.get(endpoint_id, now_seconds + LAPSE_GRACE_SECONDS)
            for endpoint_id in kept
        }
        self._endpoints = {**kept, **found}

    def put(self, endpoint: Endpoint) -> None:
        """Add or replace an entry."""
        self._endpoints[endpoint.endpoint_id] = endpoint
        self._expires_seconds.pop(endpoint.endpoint_id, None)

    def remove(self, endpoint_id: EndpointId) -> None:
        """Remove an entry, if it exists."""
        self._endpoints.pop(endpoint_id, None)
        self._expires_seconds.pop(endpoint_id, None)

    def expire(self, *, now_seconds: float) -> list[EndpointId]:
        """Remove and return the endpoints that were not re-registered within the grace period."""
        expired = [e for e, until in self._expires_seconds.items() if until <= now_seconds]
        for endpoint_id in expired:
            self._endpoints.pop(endpoint_id, None)
            del self._expires_seconds[endpoint_id]
        return expired

    def ready_endpoints(self, service: ServiceName) -> list[Endpoint]:
        """Return the endpoints of a service that are not draining."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service and endpoint.state is EndpointState.READY
        ]

    def all_endpoints(self) -> list[Endpoint]:
        """Return all endpoints, including draining ones."""
        return list(self._endpoints.values())

    def newest_at(self, address: str) -> Endpoint | None:
        """Return the most recently started endpoint at an address."""
        found = [e for e in self._endpoints.values() if e.address == address]
        return max(found, key=lambda endpoint: endpoint.started_ms, default=None)
