"""Define what the members of a zone know about each other."""

from enum import Enum

import msgspec

from egretrouter.core.identifiers import Digest, Generation, InstanceId, ServiceName, ZoneId


class MemberStatus(Enum):
    """Name what is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class MemberRole(Enum):
    """Name the roles of processes."""

    ROUTER = "router"
    AGENT = "agent"


_PRECEDENCE = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}


class Facts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State what an agent serves; routers leave the defaults."""

    service: ServiceName = ServiceName("")
    version_digest: Digest = Digest("")
    drained: bool = False
    ready: bool = False
    adapters: tuple[tuple[str, Digest], ...] = ()
    """Models and manifest digests of the adapters that are loaded beside the version."""
    phase: str = ""
    """The phase of the agent's rollout."""
    failed_digest: Digest = Digest("")
    """A version that could not be loaded."""
    failed_reason: str = ""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State an endpoint's load as its agent knows it."""

    queued_calls: int = 0
    running_calls: int = 0
    calls_per_second: float = 0.0


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Describe one member; only the member itself raises incarnation and facts_version."""

    instance_id: InstanceId
    zone: ZoneId
    role: MemberRole
    address: str
    incarnation: int = 1
    status: MemberStatus = MemberStatus.ALIVE
    facts: Facts = Facts()
    facts_version: int = 0

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the order in which statements about a member overrule each other."""
        return self.incarnation, _PRECEDENCE[self.status]


class LoadSample(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry what changes often in one member; a higher sequence is newer in an incarnation."""

    instance_id: InstanceId
    incarnation: int
    sequence: int
    load: LoadReport | None = None
    """Routers have none."""
    generation: Generation = Generation(0)
    """The configuration generation in force."""


class Seed(msgspec.Struct, frozen=True, kw_only=True):
    """Name an address where a member may be, from the lagging instance list."""

    instance_id: InstanceId
    zone: ZoneId
    address: str


class VersionSummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Sum up the replicas of one version of a service in one zone."""

    service: ServiceName
    version_digest: Digest
    ready: int
    queued_calls: int
    calls_per_second: float
    samples: tuple[tuple[InstanceId, str], ...]
    """Instance ids and addresses of a few ready replicas."""


class ZoneSummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Sum up one zone for the members of others."""

    zone: ZoneId
    routers: int
    agents: int
    versions: tuple[VersionSummary, ...]
    contacts: tuple[tuple[InstanceId, str], ...]
    """Instance ids and addresses of the zone's gateway members."""
    age_seconds: float = 0.0
    """Time since the summary was made, as its sender counted it; clocks need not agree."""
