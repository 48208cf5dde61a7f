"""Track the registered endpoints and the target versions of weights."""

from collections.abc import Iterable

from egretrouter.core.direct._departures import Departures
from egretrouter.core.direct._records import Endpoint, EndpointState, WeightVersion
from egretrouter.core.identifiers import EndpointId, ModelName, ServiceName

# Registrations that expired during an outage of the store are renewed within about this time.
LAPSE_GRACE_SECONDS = 2.0
# A call sent this long before an older version expires starts in time on an engine with a free
# slot; a call that has to queue needs SWITCH_QUEUE_SECONDS more.
SWITCH_MARGIN_SECONDS = 0.9
SWITCH_QUEUE_SECONDS = 0.5
# Closing a connection takes this long to reach an endpoint whose link is saturated by a copy: a
# part of a chunk may take 0.25 s there, and the close is queued behind two of them.
CLOSE_DELAY_SECONDS = 0.6


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
        after_outage: bool,
        restored: bool = False,
        now_seconds: float,
    ) -> bool:
        """Replace all entries, and return whether others are registered than before.

        After an outage, missing endpoints are kept for a grace period. If the store was restored
        from a copy, so are those that may have registered since, and those that left since stay so.
        """
        if restored:
            self._departures.hold(self._endpoints.values(), now_seconds=now_seconds)
            self._expires_seconds.clear()
        registered = self._endpoints.keys() - self._expires_seconds.keys()
        found = self._departures.correct(endpoints, now_seconds=now_seconds)
        kept = {}
        for endpoint_id, endpoint in self._endpoints.items():
            if endpoint_id in found:
                continue
            in_grace = after_outage or restored or endpoint_id in self._expires_seconds
            if in_grace and endpoint.state is EndpointState.READY:
                kept[endpoint_id] = endpoint
            else:
                self._departures.record(endpoint, now_seconds=now_seconds)
        self._expires_seconds = {
            endpoint_id: self._expires_seconds.get(endpoint_id, now_seconds + LAPSE_GRACE_SECONDS)
            for endpoint_id in kept
        }
        self._endpoints = {**kept, **found}
        return found.keys() != registered

    def put(self, endpoint: Endpoint) -> None:
        """Add or replace an entry."""
        self._departures.forget(endpoint.endpoint_id)
        self._endpoints[endpoint.endpoint_id] = endpoint
        self._expires_seconds.pop(endpoint.endpoint_id, None)

    def remove(self, endpoint_id: EndpointId, *, now_seconds: float) -> None:
        """Remove an entry, if it exists."""
        endpoint = self._endpoints.pop(endpoint_id, None)
        self._expires_seconds.pop(endpoint_id, None)
        if endpoint is not None:
            self._departures.record(endpoint, now_seconds=now_seconds)

    def expire(self, *, now_seconds: float) -> list[EndpointId]:
        """Remove and return the endpoints that were not re-registered within the grace period."""
        expired = [e for e, until in self._expires_seconds.items() if until <= now_seconds]
        for endpoint_id in expired:
            self.remove(endpoint_id, now_seconds=now_seconds)
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

    def registered_endpoints(self) -> list[Endpoint]:
        """Return the endpoints in the store's list, without those kept for a grace period."""
        return [e for e in self._endpoints.values() if e.endpoint_id not in self._expires_seconds]

    @property
    def in_grace(self) -> bool:
        """Return whether missing endpoints are kept for a grace period."""
        return bool(self._expires_seconds)

    def newest_at(self, address: str) -> Endpoint | None:
        """Return the most recently started endpoint at an address."""
        found = [e for e in self._endpoints.values() if e.address == address]
        return max(found, key=lambda endpoint: endpoint.started_ms, default=None)


class WeightTargets:
    """Track the target version of each model and how long older versions may still be used."""

    def __init__(
        self, *, switch_seconds: float, margin_seconds: float, queue_seconds: float
    ) -> None:
        """Allow an older version for switch_seconds minus a margin for calls in transit.

        For calls that may queue at their endpoint the older version expires queue_seconds sooner.
        """
        self._allowed_seconds = switch_seconds - margin_seconds
        self._margin_seconds = margin_seconds
        self._queue_seconds = queue_seconds
        self._minimum_from: dict[ModelName, dict[int, float]] = {}
        """The target versions of each model, and when versions older than each expire."""

    def set_target(
        self, target: WeightVersion, *, now_seconds: float, at_start: bool = False
    ) -> bool:
        """Set the target version of a model, and return whether it is newer than the last one.

        A process that finds a target when it starts can't know how long ago it was set, so with
        at_start older versions expire immediately.
        """
        versions = self._minimum_from.setdefault(target.model, {})
        if target.version <= max(versions, default=0):
            return False
        versions[target.version] = now_seconds + (0.0 if at_start else self._allowed_seconds)
        return True

    def list_targets(self) -> list[WeightVersion]:
        """Return the target version of each model."""
        return [
            WeightVersion(model=model, version=max(versions))
            for model, versions in self._minimum_from.items()
        ]

    def start_deadline_seconds(self, model: ModelName, version: int) -> float | None:
        """Return the time by which a call queued on this version must start; None if unlimited."""
        ends = [s for v, s in self._minimum_from.get(model, {}).items() if v > version]
        if not ends:
            return None
        return min(ends) + self._margin_seconds - CLOSE_DELAY_SECONDS

    def oldest_allowed(self, model: ModelName, *, now_seconds: float, queued: bool = False) -> int:
        """Return the oldest version that a call may start on, immediately or after queueing."""
        versions = self._minimum_from.get(model, {})
        at = now_seconds + (self._queue_seconds if queued else 0.0)
        return max((v for v, effective in versions.items() if effective <= at), default=0)
