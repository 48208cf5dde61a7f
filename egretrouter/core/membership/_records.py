"""Define the records that the members of a zone exchange about each other."""

from enum import Enum
from typing import Annotated

import msgspec

from egretrouter.core.identifiers import Digest, Generation, InstanceId, ServiceName, ZoneId

# A counter of this size can still be increased and sent; NaN and infinity can't be computed with.
_Counter = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class MemberStatus(Enum):
    """List the statuses of a member in the view of one process."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class MemberRole(Enum):
    """List the roles of a process in its zone."""

    ROUTER = "router"
    AGENT = "agent"


_PRECEDENCE = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}


class Facts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Describe what an agent serves; routers keep the defaults."""

    service: ServiceName = ServiceName("")
    version_digest: Digest = Digest("")
    drained: bool = False
    ready: bool = False
    adapters: tuple[tuple[str, Digest], ...] = ()
    """Models and manifest digests of the adapters that are loaded alongside the version."""
    phase: str = ""
    """Phase of the agent's rollout."""
    failed_digest: Digest = Digest("")
    """A version that could not be loaded."""
    failed_reason: str = ""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry the load of an endpoint as reported by its agent."""

    queued_calls: _Count = 0
    running_calls: _Count = 0
    calls_per_second: _Amount = 0.0


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Describe one member; only the member itself increases incarnation and facts_version."""

    instance_id: InstanceId
    zone: ZoneId
    role: MemberRole
    address: str
    incarnation: _Counter = 1
    status: MemberStatus = MemberStatus.ALIVE
    facts: Facts = Facts()
    facts_version: _Counter = 0

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the sort key by which one update about a member overrides another."""
        return self.incarnation, _PRECEDENCE[self.status]


class LoadSample(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry a member's changing state; a higher sequence is newer within an incarnation."""

    instance_id: InstanceId
    incarnation: _Counter
    sequence: _Counter
    load: LoadReport | None = None
    """None for routers."""
    generation: Generation = Generation(0)
    """The active configuration generation."""


class Seed(msgspec.Struct, frozen=True, kw_only=True):
    """Name a possible member's address, from the instance list, which lags behind."""

    instance_id: InstanceId
    zone: ZoneId
    address: str


class VersionSummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Summarize the replicas of one version of a service in one zone."""

    service: ServiceName
    version_digest: Digest
    ready: _Count
    queued_calls: _Count
    calls_per_second: _Amount
    samples: tuple[tuple[InstanceId, str], ...]
    """Instance ids and addresses of a few ready replicas."""


class ZoneSummary(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Summarize one zone for the members of other zones."""

    zone: ZoneId
    routers: _Count
    agents: _Count
    versions: tuple[VersionSummary, ...]
    contacts: tuple[tuple[InstanceId, str], ...]
    """Instance ids and addresses of the zone's gateway members."""
    age_seconds: Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)] = 0.0
    """Time since the summary was made, measured by its sender, so that clocks need not agree."""
