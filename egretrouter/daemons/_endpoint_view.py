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

# Load reports travel by gossip, which takes about this long inside a zone.
GOSSIP_AGE_SECONDS = 1.0
# A quiet link of a zone with 67 routers brings a report every 10 s; by gossip, reports are 17.8 s
# old on average at 500 members. After this time gossip may be fresher.
LINK_REPORT_SECONDS = 12.0


class _Known(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what was last told to the selector about an endpoint."""

    seen: EndpointUpdated
    serving_digest: Digest
    adapters: dict[ModelName, Digest]


class EndpointView:
    """Keep a selector's endpoints in step with the members of all zones."""

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
        self._known: dict[EndpointId, _Known] = {}
        self._loads: dict[EndpointId, LoadSample] = {}
        self._by_address: dict[str, EndpointId] = {}
        self._draining: dict[str, float] = {}
        self._linked_until: dict[EndpointId, float] = {}
        self._linked_digests: dict[EndpointId, Digest] = {}

    def set_regions(self, regions: Mapping[ZoneId, RegionId]) -> None:
        """Learn the region of each zone."""
        self._regions = regions

    def find_serving_digest(self, endpoint_id: EndpointId, route: RouteRequest) -> Digest | None:
        """Return the version that an endpoint would answer a call from."""
        known = self._known.get(endpoint_id)
        if known is None:
            return None
        if route.adapter is not None:
            return known.adapters.get(route.adapter)
        if route.version_digest is not None:
            served = route.version_digest in known.seen.version_digests
            return route.version_digest if served else None
        return known.serving_digest

    def services(self) -> frozenset[ServiceName]:
        """Return the services that have an endpoint in view."""
        return frozenset(known.seen.service for known in self._known.values())

    def endpoints(self) -> frozenset[EndpointId]:
        """Return the endpoints that calls may be sent to."""
        return frozenset(self._known)

    def addresses(self) -> frozenset[str]:
        """Return the addresses of the endpoints that calls may be sent to."""
        return frozenset(self._by_address)

    def routers(self) -> tuple[int, int]:
        """Return the live routers of this zone and of all zones."""
        members = self._membership.members()
        near = 1 + sum(member.role is MemberRole.ROUTER for member in members)
        summaries = self._membership.summaries(now_seconds=self._clock())
        return near, near + sum(summary.routers for summary in summaries)

    def refresh(self) -> None:
        """Tell the selector what changed."""
        now = self._clock()
        found = (*self._near(now), *self._far(now))
        self._draining = {a: until for a, until in self._draining.items() if until > now}
        current = {
            known.seen.endpoint_id: self._as_linked(known)
            for known in found
            if known.seen.address not in self._draining
        }
        for endpoint_id in self._known.keys() - current.keys():
            self._selector.handle(EndpointRemoved(endpoint_id=endpoint_id), now_seconds=now)
        for endpoint_id, known in current.items():
            previous = self._known.get(endpoint_id)
            if previous is None or previous.seen != known.seen:
                self._selector.handle(known.seen, now_seconds=now)
        self._known = current
        self._loads = {e: sample for e, sample in self._loads.items() if e in current}
        self._by_address = {known.seen.address: e for e, known in current.items()}
        self._linked_until = {e: t for e, t in self._linked_until.items() if t > now}
        self._linked_digests = {
            e: digest for e, digest in self._linked_digests.items() if e in self._linked_until
        }
        self._refresh_loads(now)
        near, _ = self.routers()
        self._selector.handle(RoutersCounted(routers=near), now_seconds=now)

    def load_arrived(self, address: str, load: pb.EndpointLoad) -> None:
        """Take a load report, or the word that an agent drains, that a link brought."""
        now = self._clock()
        was_draining = address in self._draining
        if load.draining:
            # Summaries tell the routers of other zones of a drain only after seconds. The word
            # expires, since the link may close before the agent takes calls again.
            self._draining[address] = now + LINK_REPORT_SECONDS
        else:
            # A new agent may listen on the address of one that drained.
            self._draining.pop(address, None)
        if load.draining != was_draining:
            self.refresh()
        endpoint_id = self._by_address.get(address)
        if endpoint_id is None:
            return
        self._linked_until[endpoint_id] = now + LINK_REPORT_SECONDS
        digest = Digest(load.version_digest)
        if not load.draining and self._linked_digests.get(endpoint_id) != digest:
            self._linked_digests[endpoint_id] = digest
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

    def _as_linked(self, known: _Known) -> _Known:
        """Prefer the version that the agent's link told last to what gossip says."""
        digest = self._linked_digests.get(known.seen.endpoint_id, known.serving_digest)
        if digest == known.serving_digest:
            return known
        served = (known.seen.version_digests - {known.serving_digest}) | {digest}
        seen = msgspec.structs.replace(known.seen, version_digests=served)
        return msgspec.structs.replace(known, seen=seen, serving_digest=digest)

    def _near(self, now: float) -> list[_Known]:
        members = self._membership.usable_members(now_seconds=now)
        return [
            self._from_member(member)
            for member in members
            if member.role is MemberRole.AGENT and member.facts.ready and not member.facts.drained
        ]

    def _from_member(self, member: Member) -> _Known:
        facts = member.facts
        adapters = {ModelName(model): Digest(digest) for model, digest in facts.adapters}
        seen = EndpointUpdated(
            endpoint_id=EndpointId(member.instance_id),
            address=member.address,
            zone=member.zone,
            region=self._region(member.zone),
            service=facts.service,
            version_digests=frozenset({facts.version_digest, *adapters.values()}),
            adapters=frozenset(adapters),
        )
        return _Known(seen=seen, serving_digest=facts.version_digest, adapters=adapters)

    def _far(self, now: float) -> list[_Known]:
        known = []
        for summary in self._membership.summaries(now_seconds=now):
            for version in summary.versions:
                known += self._from_summary(summary.zone, version)
        return known

    def _from_summary(self, zone: ZoneId, version: VersionSummary) -> list[_Known]:
        return [
            _Known(
                seen=EndpointUpdated(
                    endpoint_id=EndpointId(instance_id),
                    address=address,
                    zone=zone,
                    region=self._region(zone),
                    service=ServiceName(version.service),
                    version_digests=frozenset({version.version_digest}),
                ),
                serving_digest=version.version_digest,
                adapters={},
            )
            for instance_id, address in version.samples
        ]

    def _region(self, zone: ZoneId) -> RegionId:
        return self._regions.get(zone, RegionId(zone))

    def _refresh_loads(self, now: float) -> None:
        for endpoint_id in self._known:
            if endpoint_id in self._linked_until:
                continue
            sample = self._membership.load_sample(InstanceId(endpoint_id))
            # An unchanged load in a newer sample is news too: the endpoint is as it was.
            if sample is None or sample.load is None or self._loads.get(endpoint_id) == sample:
                continue
            self._loads[endpoint_id] = sample
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
