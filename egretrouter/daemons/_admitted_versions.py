"""Track the versions of an endpoint that calls may use, and build the facts gossiped about it."""

from collections.abc import Iterable

from egretrouter.core.identifiers import Digest, ServiceName
from egretrouter.core.membership import Facts, Member, MemberRole
from egretrouter.core.rollout import Phase, PlacementMember, ReplicaFacts
from egretrouter.core.weights import VersionReference

# Calls of a version that is drained are still admitted for this time, until gossip has informed
# the routers of the zone; otherwise calls in transit would be refused.
GOSSIP_SPREAD_SECONDS = 1.5
NO_DIGEST = Digest("")


class AdmittedVersions:
    """Track the versions that calls may use."""

    def __init__(self) -> None:
        self.loaded: dict[Digest, VersionReference] = {}
        """The versions in the engine's last report."""
        self._admitted: set[Digest] = set()
        self._draining: dict[Digest, float] = {}

    @property
    def admitted(self) -> frozenset[Digest]:
        """Return the versions that calls may use."""
        return frozenset(self._admitted)

    @property
    def draining_versions(self) -> frozenset[Digest]:
        """Return the versions that calls may use only until routers are informed of the drain."""
        return frozenset(self._draining)

    def admit(self, digest: Digest) -> None:
        """Let calls use a version."""
        self._draining.pop(digest, None)
        self._admitted.add(digest)

    def drain(self, digest: Digest, *, now_seconds: float) -> bool:
        """Start to drain a version; return whether its calls are refused at once."""
        if digest not in self.loaded:
            # The engine no longer has the version, so a call that is admitted now can only fail.
            self._admitted.discard(digest)
            return True
        if digest in self._admitted:
            self._draining[digest] = now_seconds + GOSSIP_SPREAD_SECONDS
        return False

    def remove_drained(self, *, now_seconds: float) -> bool:
        """Stop admitting versions whose drain time has passed; return whether there were any."""
        ended = [digest for digest, until in self._draining.items() if now_seconds >= until]
        for digest in ended:
            del self._draining[digest]
            self._admitted.discard(digest)
        return bool(ended)

    def build_facts(self, facts: ReplicaFacts, *, service: ServiceName, draining: bool) -> Facts:
        """Return the facts that are gossiped about the endpoint."""
        serving = facts.serving_digest or NO_DIGEST
        adapters = tuple(
            (version.model, digest)
            for digest in sorted(self._admitted - self._draining.keys() - {serving})
            if (version := self.loaded.get(digest)) is not None
        )
        return Facts(
            service=service,
            version_digest=serving,
            adapters=adapters,
            drained=facts.drained or draining,
            ready=serving in self._admitted and serving not in self._draining,
            phase=facts.phase.value,
            failed_digest=facts.failed_digest or NO_DIGEST,
            failed_reason=facts.failed_reason,
        )


def replica_facts(member: Member) -> ReplicaFacts:
    """Convert the facts that a member gossips about its endpoint."""
    facts = member.facts
    return ReplicaFacts(
        instance_id=member.instance_id,
        zone=member.zone,
        service=facts.service,
        serving_digest=(facts.version_digest or None) if facts.ready else None,
        drained=facts.drained,
        phase=Phase(facts.phase or Phase.IDLE.value),
        failed_digest=facts.failed_digest or None,
        failed_reason=facts.failed_reason,
    )


def placement_members(members: Iterable[Member]) -> list[PlacementMember]:
    """Return the known agents that have announced their service."""
    return [
        PlacementMember(
            instance_id=member.instance_id, zone=member.zone, only_service=member.facts.service
        )
        for member in members
        if member.role is MemberRole.AGENT and member.facts.service
    ]
