"""Derive the endpoints that a router may use from membership."""

import time
from collections.abc import Callable, Mapping

import msgspec

from egretrouter.core.identifiers import (
    Digest,
    EndpointId,
    InstanceId,
    ModelName,
    RegionId,
    ServiceName,
    ZoneId,
)
from egretrouter.core.membership import LoadSample, Member, MemberRole, Membership, VersionSummary
from egretrouter.core.routing import (
    EndpointRemoved,
    EndpointSelector,
    EndpointUpdated,
    LoadReported,
    RouteRequest,
    RoutersCounted,
)
from egretrouter.protocol import egretrouter_pb2 as pb

# Load reports sent by gossip take about this long to spread inside a zone.
GOSSIP_AGE_SECONDS = 1.0
# In a zone with 67 routers, a link without calls delivers a report every 10 s. Reports by gossip
# are 17.8 s old on average at 500 members. After this time, gossip may be more recent.
LINK_REPORT_SECONDS = 12.0
# After this time, the members of a zone know that an agent drains or is gone. A summary that they
# make later lists it only if it accepts calls again.
ZONE_LEARNS_SECONDS = 5.0


class _KnownEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Record the last update of an endpoint that the selector received."""

    update: EndpointUpdated
    serving_digest: Digest
    adapters: dict[ModelName, Digest]
    as_of_seconds: float
    """When the report was made that lists the endpoint."""


class EndpointView:
    """Update a selector's endpoints from the members of all zones."""

    def __init__(
        self,
        *,
        membership: Membership,
        selector: EndpointSelector,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._membership = membership
        self._selector = selector
        self._clock = clock
        self._regions: Mapping[ZoneId, RegionId] = {}
        self._known_endpoints: dict[EndpointId, _KnownEndpoint] = {}
        self._load_samples: dict[EndpointId, LoadSample] = {}
        self._by_address: dict[str, EndpointId] = {}
        self._drain_noticed_seconds: dict[str, float] = {}
        """When the agent of an address last sent that it drains."""
        self._link_report_until: dict[EndpointId, float] = {}
        self._link_digests: dict[EndpointId, Digest] = {}

    def set_regions(self, regions: Mapping[ZoneId, RegionId]) -> None:
        """Set the region of each zone."""
        self._regions = regions

    def find_serving_digest(self, endpoint_id: EndpointId, route: RouteRequest) -> Digest | None:
        """Return the version from which an endpoint would answer a call, or None."""
        known = self._known_endpoints.get(endpoint_id)
        if known is None:
            return None
        if route.adapter is not None:
            return known.adapters.get(route.adapter)
        if route.version_digest is not None:
            served = route.version_digest in known.update.version_digests
            return route.version_digest if served else None
        return known.serving_digest

    def services(self) -> frozenset[ServiceName]:
        """Return the services that have an endpoint in view."""
        return frozenset(known.update.service for known in self._known_endpoints.values())

    def endpoints(self) -> frozenset[EndpointId]:
        """Return the endpoints that calls may be sent to."""
        return frozenset(self._known_endpoints)

    def addresses(self) -> frozenset[str]:
        """Return the addresses of the endpoints that calls may be sent to."""
        return frozenset(self._by_address)

    def count_routers(self) -> tuple[int, int]:
        """Return the numbers of live routers in this zone and in all zones."""
        members = self._membership.members()
        zone_routers = 1 + sum(member.role is MemberRole.ROUTER for member in members)
        summaries = self._membership.summaries(now_seconds=self._clock())
        return zone_routers, zone_routers + sum(summary.routers for summary in summaries)

    def refresh(self) -> None:
        """Send changed endpoints and loads to the selector."""
        now = self._clock()
        found = (*self._zone_endpoints(now), *self._remote_endpoints(now))
        drained = {k.update.address for k in found if self._is_drained(k, now)}
        self._drain_noticed_seconds = {
            address: noticed
            for address, noticed in self._drain_noticed_seconds.items()
            if address in drained or now < noticed + LINK_REPORT_SECONDS
        }
        current = {
            known.update.endpoint_id: self._apply_link_digest(known)
            for known in found
            if known.update.address not in drained
        }
        for endpoint_id in self._known_endpoints.keys() - current.keys():
            self._selector.handle(EndpointRemoved(endpoint_id=endpoint_id), now_seconds=now)
        for endpoint_id, known in current.items():
            previous = self._known_endpoints.get(endpoint_id)
            if previous is None or previous.update != known.update:
                self._selector.handle(known.update, now_seconds=now)
        self._known_endpoints = current
        self._load_samples = {e: sample for e, sample in self._load_samples.items() if e in current}
        self._by_address = {known.update.address: e for e, known in current.items()}
        self._link_report_until = {e: t for e, t in self._link_report_until.items() if t > now}
        self._link_digests = {
            e: digest for e, digest in self._link_digests.items() if e in self._link_report_until
        }
        self._refresh_loads(now)
        zone_routers, _ = self.count_routers()
        self._selector.handle(RoutersCounted(routers=zone_routers), now_seconds=now)

    def record_load(self, address: str, load: pb.EndpointLoad) -> None:
        """Record a load report or drain notice received over a link."""
        now = self._clock()
        was_draining = address in self._drain_noticed_seconds
        if load.draining:
            # Summaries report a drain to the routers of other zones only after seconds. The notice
            # expires, because the link may close before the agent accepts calls again.
            self._drain_noticed_seconds[address] = now
        else:
            # A new agent may listen on the address of one that was drained.
            self._drain_noticed_seconds.pop(address, None)
        if load.draining != was_draining:
            self.refresh()
        endpoint_id = self._by_address.get(address)
        if endpoint_id is None:
            return
        self._link_report_until[endpoint_id] = now + LINK_REPORT_SECONDS
        digest = Digest(load.version_digest)
        if not load.draining and self._link_digests.get(endpoint_id) != digest:
            self._link_digests[endpoint_id] = digest
            self.refresh()
        self._selector.handle(
            LoadReported(
                endpoint_id=endpoint_id,
                queued_calls=load.queued_calls,
                running_calls=load.running_calls,
                age_seconds=load.age_seconds,
                finished_calls_total=load.finished_calls_total,
            ),
            now_seconds=now,
        )

    def _is_drained(self, known: _KnownEndpoint, now: float) -> bool:
        """Return whether an agent's notice of its drain overrides the report that lists it.

        A summary can be older than the notice when that has expired, as summaries reach routers
        many seconds late.
        """
        noticed = self._drain_noticed_seconds.get(known.update.address)
        if noticed is None:
            return False
        return (
            now < noticed + LINK_REPORT_SECONDS
            or known.as_of_seconds < noticed + ZONE_LEARNS_SECONDS
        )

    def _apply_link_digest(self, known: _KnownEndpoint) -> _KnownEndpoint:
        """Replace the version known by gossip with the one last reported over the link."""
        digest = self._link_digests.get(known.update.endpoint_id, known.serving_digest)
        if digest == known.serving_digest:
            return known
        served = (known.update.version_digests - {known.serving_digest}) | {digest}
        update = msgspec.structs.replace(known.update, version_digests=served)
        return msgspec.structs.replace(known, update=update, serving_digest=digest)

    def _zone_endpoints(self, now: float) -> list[_KnownEndpoint]:
        members = self._membership.usable_members(now_seconds=now)
        return [
            self._from_member(member, now)
            for member in members
            if member.role is MemberRole.AGENT and member.facts.ready and not member.facts.drained
        ]

    def _from_member(self, member: Member, now: float) -> _KnownEndpoint:
        facts = member.facts
        adapters = {ModelName(model): Digest(digest) for model, digest in facts.adapters}
        update = EndpointUpdated(
            endpoint_id=EndpointId(member.instance_id),
            address=member.address,
            zone=member.zone,
            region=self._find_region(member.zone),
            service=facts.service,
            version_digests=frozenset({facts.version_digest, *adapters.values()}),
            adapters=frozenset(adapters),
        )
        return _KnownEndpoint(
            update=update,
            serving_digest=facts.version_digest,
            adapters=adapters,
            as_of_seconds=now,
        )

    def _remote_endpoints(self, now: float) -> list[_KnownEndpoint]:
        known = []
        for summary in self._membership.summaries(now_seconds=now):
            for version in summary.versions:
                made_seconds = now - summary.age_seconds
                known += self._from_summary(summary.zone, version, made_seconds)
        return known

    def _from_summary(
        self, zone: ZoneId, version: VersionSummary, made_seconds: float
    ) -> list[_KnownEndpoint]:
        return [
            _KnownEndpoint(
                update=EndpointUpdated(
                    endpoint_id=EndpointId(instance_id),
                    address=address,
                    zone=zone,
                    region=self._find_region(zone),
                    service=ServiceName(version.service),
                    version_digests=frozenset({version.version_digest}),
                ),
                serving_digest=version.version_digest,
                adapters={},
                as_of_seconds=made_seconds,
            )
            for instance_id, address in version.samples
        ]

    def _find_region(self, zone: ZoneId) -> RegionId:
        return self._regions.get(zone, RegionId(zone))

    def _refresh_loads(self, now: float) -> None:
        for endpoint_id in self._known_endpoints:
            if endpoint_id in self._link_report_until:
                continue
            sample = self._membership.load_sample(InstanceId(endpoint_id))
            # An unchanged load in a newer sample is still a new report: it confirms the load.
            if (
                sample is None
                or sample.load is None
                or self._load_samples.get(endpoint_id) == sample
            ):
                continue
            self._load_samples[endpoint_id] = sample
            load = sample.load
            self._selector.handle(
                LoadReported(
                    endpoint_id=endpoint_id,
                    queued_calls=load.queued_calls,
                    running_calls=load.running_calls,
                    age_seconds=GOSSIP_AGE_SECONDS,
                ),
                now_seconds=now,
            )
