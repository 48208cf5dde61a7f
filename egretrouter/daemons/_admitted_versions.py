"""Keep which versions of an endpoint calls may use, and what the zone is told of it."""

from collections.abc import Iterable

from egretrouter.core.identifiers import Digest, ServiceName
from egretrouter.core.membership import Facts, Member, MemberRole
from egretrouter.core.rollout import Phase, PlacementMember, ReplicaFacts, VersionReference

# Calls of a version that is drained are still admitted for this time, until the routers of the
# zone have heard of it; otherwise calls on their way would be refused.
SPREAD_SECONDS = 1.5
NO_DIGEST = Digest("")


class AdmittedVersions:
    """Hold the versions that calls may use."""

    def __init__(self) -> None:
        self.loaded: dict[Digest, VersionReference] = {}
        """What the engine reported last."""
        self._admitted: set[Digest] = set()
        self._leaving: dict[Digest, float] = {}

    @property
    def admitted(self) -> frozenset[Digest]:
        """Return the versions that calls may use."""
        return frozenset(self._admitted)

    @property
    def leaving(self) -> frozenset[Digest]:
        """Return the versions that calls may use only until the routers know better."""
        return frozenset(self._leaving)

    def admit(self, digest: Digest) -> None:
        """Let calls use a version."""
        self._leaving.pop(digest, None)
        self._admitted.add(digest)

    def drain(self, digest: Digest, *, now_seconds: float) -> bool:
        """Begin to refuse calls of a version; return whether they are refused at once."""
        if digest not in self.loaded:
            # The engine lost the version, so a call that is admitted now can only fail.
            self._admitted.discard(digest)
            return True
        if digest in self._admitted:
            self._leaving[digest] = now_seconds + SPREAD_SECONDS
        return False

    def end_leaving(self, *, now_seconds: float) -> bool:
        """Refuse the versions whose time is up; return whether there were any."""
        ended = [digest for digest, until in self._leaving.items() if now_seconds >= until]
        for digest in ended:
            del self._leaving[digest]
            self._admitted.discard(digest)
        return bool(ended)

    def facts(self, facts: ReplicaFacts, *, service: ServiceName, draining: bool) -> Facts:
        """Return what is gossiped about the endpoint."""
        serving = facts.serving_digest or NO_DIGEST
        adapters = tuple(
            (version.model, digest)
            for digest in sorted(self._admitted - self._leaving.keys() - {serving})
            if (version := self.loaded.get(digest)) is not None
        )
        return Facts(
            service=service,
            version_digest=serving,
            adapters=adapters,
            drained=facts.drained or draining,
            ready=serving in self._admitted and serving not in self._leaving,
            phase=facts.phase.value,
            failed_digest=facts.failed_digest or NO_DIGEST,
            failed_reason=facts.failed_reason,
        )


def replica_facts(member: Member) -> ReplicaFacts:
    """Return what a member gossips about its endpoint."""
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
    """Return the agents in view that have told their service."""
    return [
        PlacementMember(
            instance_id=member.instance_id, zone=member.zone, only_service=member.facts.service
        )
        for member in members
        if member.role is MemberRole.AGENT and member.facts.service
    ]
