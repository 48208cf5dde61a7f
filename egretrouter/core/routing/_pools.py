"""Group endpoints by the requests they can serve, and map prefixes to them."""

from bisect import bisect_left
from collections.abc import Iterable

import xxhash

from egretrouter.core.configuration import EngineRole
from egretrouter.core.identifiers import Digest, EndpointId, ModelName, ServiceName, ZoneId
from egretrouter.core.routing._messages import EndpointUpdated, RefusalReason, RouteRequest

POINTS_PER_ENDPOINT = 16
POOL_LIMIT = 256

PoolKey = tuple[ServiceName, Digest | None, ModelName | None, EngineRole]


class Ring:
    """Map keys to endpoints by consistent hashing.

    All routers compute the same mapping, and a change of members moves few keys.
    """

    def __init__(self) -> None:
        """Initialize a ring without endpoints."""
        self._hashes: list[int] = []
        self._members: list[EndpointId] = []
        self._count = 0

    def add(self, member: EndpointId) -> None:
        """Insert an endpoint that is not on the ring."""
        for point in _points(member):
            position = bisect_left(self._hashes, point)
            self._hashes.insert(position, point)
            self._members.insert(position, member)
        self._count += 1

    def remove(self, member: EndpointId) -> None:
        """Remove an endpoint that is on the ring."""
        for point in _points(member):
            position = bisect_left(self._hashes, point)
            while self._members[position] != member:
                position += 1
            del self._hashes[position]
            del self._members[position]
        self._count -= 1

    def find_endpoints(self, key: int, *, limit: int) -> list[EndpointId]:
        """Return the first endpoints at or after the hash of a key."""
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
    """Group the endpoints that can serve one kind of request, by zone."""

    def __init__(self, endpoints: Iterable[EndpointUpdated], *, zone: ZoneId) -> None:
        """Split the endpoints by zone."""
        self._zone = zone
        self.endpoints: dict[EndpointId, EndpointUpdated] = {}
        self.local: list[EndpointId] = []
        self.remote: list[EndpointId] = []
        self.local_ring = Ring()
        self.whole_ring = Ring()
        for endpoint in endpoints:
            self.add(endpoint)

    def add(self, endpoint: EndpointUpdated) -> None:
        """Add or replace an endpoint."""
        self.remove(endpoint.endpoint_id)
        self.endpoints[endpoint.endpoint_id] = endpoint
        self.whole_ring.add(endpoint.endpoint_id)
        if endpoint.zone == self._zone:
            self.local.append(endpoint.endpoint_id)
            self.local_ring.add(endpoint.endpoint_id)
        else:
            self.remote.append(endpoint.endpoint_id)

    def remove(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint, if the pool contains it."""
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is None:
            return
        self.whole_ring.remove(endpoint_id)
        if endpoint.zone == self._zone:
            self.local.remove(endpoint_id)
            self.local_ring.remove(endpoint_id)
        else:
            self.remote.remove(endpoint_id)


class Pools:
    """Manage all endpoints and the cached pools derived from them."""

    def __init__(self, *, zone: ZoneId) -> None:
        """Initialize without endpoints."""
        self._zone = zone
        self.endpoints: dict[EndpointId, EndpointUpdated] = {}
        self._pools: dict[PoolKey, Pool] = {}

    def add_or_replace(self, endpoint: EndpointUpdated) -> None:
        """Add or replace an endpoint."""
        previous = self.endpoints.get(endpoint.endpoint_id)
        self.endpoints[endpoint.endpoint_id] = endpoint
        if previous is not None and _routing_attributes(previous) == _routing_attributes(endpoint):
            return
        # Rebuilding a pool of 400 endpoints takes 4 ms, far more than a decision, so pools are
        # updated in place.
        for key, pool in self._pools.items():
            if _mismatch(endpoint, key) is None:
                pool.add(endpoint)
            else:
                pool.remove(endpoint.endpoint_id)

    def remove(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint from all pools."""
        if self.endpoints.pop(endpoint_id, None) is not None:
            for pool in self._pools.values():
                pool.remove(endpoint_id)

    def active_service_endpoints(self, service: ServiceName) -> list[EndpointId]:
        """Return all endpoints of a service that are not draining."""
        return [
            e.endpoint_id
            for e in self.endpoints.values()
            if e.service == service and not e.draining
        ]

    def pool(self, request: RouteRequest) -> Pool:
        """Return the pool, possibly empty, of endpoints that can serve a request."""
        key = _key(request)
        pool = self._pools.get(key)
        if pool is None:
            if len(self._pools) >= POOL_LIMIT:
                self._pools.clear()
            eligible = (e for e in self.endpoints.values() if _mismatch(e, key) is None)
            pool = self._pools[key] = Pool(eligible, zone=self._zone)
        return pool

    def refusal_reason(self, request: RouteRequest) -> RefusalReason:
        """Return why no endpoint can serve a request.

        The reason is that of the endpoint that meets the most requirements.
        """
        key = _key(request)
        reasons = {_mismatch(e, key) for e in self.endpoints.values()}
        for reason in _REASONS_BY_PRECEDENCE:
            if reason in reasons:
                return reason
        return RefusalReason.NO_ENDPOINT


_REASONS_BY_PRECEDENCE = (
    RefusalReason.DRAINING,
    RefusalReason.ROLE_NOT_SERVED,
    RefusalReason.ADAPTER_NOT_LOADED,
    RefusalReason.VERSION_NOT_LOADED,
)


def _routing_attributes(e: EndpointUpdated) -> tuple[object, ...]:
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


def _key(request: RouteRequest) -> PoolKey:
    return (request.service, request.version_digest, request.adapter, request.role)


def _points(member: EndpointId) -> list[int]:
    return [
        xxhash.xxh3_64_intdigest(f"{member}#{number}".encode())
        for number in range(POINTS_PER_ENDPOINT)
    ]


def _mismatch(endpoint: EndpointUpdated, key: PoolKey) -> RefusalReason | None:
    service, version_digest, adapter, role = key
    if endpoint.service != service:
        return RefusalReason.NO_ENDPOINT
    if version_digest not in (None, *endpoint.version_digests):
        return RefusalReason.VERSION_NOT_LOADED
    if adapter not in (None, *endpoint.adapters):
        return RefusalReason.ADAPTER_NOT_LOADED
    if endpoint.role not in (EngineRole.BOTH, role):
        return RefusalReason.ROLE_NOT_SERVED
    if endpoint.draining:
        return RefusalReason.DRAINING
    return None
