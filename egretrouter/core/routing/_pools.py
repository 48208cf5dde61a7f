"""Group the endpoints that can serve a request, and place prefixes on them."""

from bisect import bisect_left
from collections.abc import Iterable

import xxhash

from egretrouter.core.configuration import EngineRole
from egretrouter.core.identifiers import Digest, EndpointId, ModelName, ServiceName, ZoneId
from egretrouter.core.routing._messages import EndpointSeen, RefusalReason, RouteRequest

POINTS_PER_ENDPOINT = 16
POOL_LIMIT = 256

PoolKey = tuple[ServiceName, Digest | None, ModelName | None, EngineRole]


class Ring:
    """Place keys on endpoints so that all routers agree and few keys move on a change."""

    def __init__(self, members: Iterable[EndpointId]) -> None:
        """Hash every endpoint to several points."""
        points = sorted(
            (xxhash.xxh3_64_intdigest(f"{member}#{number}".encode()), member)
            for member in members
            for number in range(POINTS_PER_ENDPOINT)
        )
        self._hashes = [point for point, _ in points]
        self._members = [member for _, member in points]
        self._count = len(points) // POINTS_PER_ENDPOINT

    def place(self, key: int, *, limit: int) -> list[EndpointId]:
        """Return the first endpoints clockwise from a key."""
        wanted = min(limit, self._count)
        found: dict[EndpointId, None] = {}
        if not wanted:
            return []
        point = xxhash.xxh3_64_intdigest(key.to_bytes(8, "big", signed=key < 0))
        position = bisect_left(self._hashes, point)
        while len(found) < wanted:
            found[self._members[position % len(self._members)]] = None
            position += 1
        return list(found)


class Pool:
    """Hold the endpoints that can serve one kind of request."""

    def __init__(self, endpoints: Iterable[EndpointSeen], *, zone: ZoneId) -> None:
        """Split the endpoints by zone."""
        self.endpoints = {e.endpoint_id: e for e in endpoints}
        self.local = [i for i, e in self.endpoints.items() if e.zone == zone]
        self.remote = [i for i, e in self.endpoints.items() if e.zone != zone]
        self.local_ring = Ring(self.local)
        self.whole_ring = Ring(self.endpoints)


class Pools:
    """Keep the endpoints and the pools derived from them."""

    def __init__(self, *, zone: ZoneId) -> None:
        """Start without endpoints."""
        self._zone = zone
        self.endpoints: dict[EndpointId, EndpointSeen] = {}
        self._pools: dict[PoolKey, Pool] = {}

    def put(self, endpoint: EndpointSeen) -> None:
        """Add or replace an endpoint."""
        known = self.endpoints.get(endpoint.endpoint_id)
        self.endpoints[endpoint.endpoint_id] = endpoint
        if known is None or _routing_facts(known) != _routing_facts(endpoint):
            self._pools.clear()

    def remove(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint."""
        if self.endpoints.pop(endpoint_id, None) is not None:
            self._pools.clear()

    def service_members(self, service: ServiceName) -> list[EndpointId]:
        """Return all endpoints of a service that are not draining."""
        return [
            e.endpoint_id
            for e in self.endpoints.values()
            if e.service == service and not e.draining
        ]

    def pool(self, request: RouteRequest) -> Pool:
        """Return the endpoints that can serve a request, which may be none."""
        key = (request.service, request.version_digest, request.adapter, request.role)
        pool = self._pools.get(key)
        if pool is None:
            if len(self._pools) >= POOL_LIMIT:
                self._pools.clear()
            able = (e for e in self.endpoints.values() if _refusal(e, request) is None)
            pool = self._pools[key] = Pool(able, zone=self._zone)
        return pool

    def explain(self, request: RouteRequest) -> RefusalReason:
        """Return why no endpoint can serve a request: the one nearest to serving decides."""
        reasons = {_refusal(e, request) for e in self.endpoints.values()}
        for reason in _REASONS_NEAREST_FIRST:
            if reason in reasons:
                return reason
        return RefusalReason.NO_ENDPOINT


_REASONS_NEAREST_FIRST = (
    RefusalReason.DRAINING,
    RefusalReason.ROLE_NOT_SERVED,
    RefusalReason.ADAPTER_NOT_LOADED,
    RefusalReason.VERSION_NOT_LOADED,
)


def _routing_facts(e: EndpointSeen) -> tuple[object, ...]:
    return (
        e.address,
        e.zone,
        e.region,
        e.service,
        e.version_digests,
        e.adapters,
        e.role,
        e.draining,
    )


def _refusal(endpoint: EndpointSeen, request: RouteRequest) -> RefusalReason | None:
    if endpoint.service != request.service:
        return RefusalReason.NO_ENDPOINT
    if request.version_digest not in (None, *endpoint.version_digests):
        return RefusalReason.VERSION_NOT_LOADED
    if request.adapter not in (None, *endpoint.adapters):
        return RefusalReason.ADAPTER_NOT_LOADED
    if endpoint.role not in (EngineRole.BOTH, request.role):
        return RefusalReason.ROLE_NOT_SERVED
    if endpoint.draining:
        return RefusalReason.DRAINING
    return None
