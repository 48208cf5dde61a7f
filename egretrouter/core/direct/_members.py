"""Define the records that processes gossip about themselves and each other."""

from enum import Enum

import msgspec

from egretrouter.core.direct._state_order import StoreRevision
from egretrouter.core.identifiers import Digest, InstanceId, RegionId, ZoneId


class FleetRole(Enum):
    """List the roles that a process can have."""

    ROUTER = "router"
    AGENT = "agent"


class MemberHealth(Enum):
    """List what other processes know of a process: whether it answers their probes."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"


class FleetMember(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Describe one process as it announces itself, or as others found it."""

    instance_id: InstanceId
    role: FleetRole
    zone: ZoneId
    region: RegionId
    address: str
    """IP address; ports are the same on all instances."""
    started_ms: int
    revision: int = 0
    """Incremented by the process itself when its record changes or is to override a suspicion."""
    leaving: bool = False
    copies: tuple[tuple[str, Digest], ...] = ()
    """The versions that an agent holds or copies, as MODEL/VERSION, with their manifest digests."""
    serving: str = ""
    """The model and version that an agent's engine serves, as MODEL/VERSION."""
    health: MemberHealth = MemberHealth.ALIVE
    store_lost: bool = False
    """Whether the store does not answer this process."""

    def overrides(self, other: "FleetMember") -> bool:
        """Return whether this record is to replace another one of the same process."""
        return _precedence(self) > _precedence(other)


_HEALTH_ORDER = {MemberHealth.ALIVE: 0, MemberHealth.SUSPECT: 1, MemberHealth.FAILED: 2}


def _precedence(member: FleetMember) -> tuple[int, int, int]:
    return member.started_ms, member.revision, _HEALTH_ORDER[member.health]


class Revisions(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry how new the shared state is that a process has."""

    configuration: int = 0
    """The configuration's own version, which the store keeps when it comes back from a copy."""
    endpoints: StoreRevision = StoreRevision()
    weights: int = 0
    """The sum of the target versions of all models, of which none is ever taken back."""
    era: int | None = None
    """The newest era of the store that the process has heard of."""
    weights_age_seconds: float = float("inf")
    """How long ago the weights were certainly the newest; infinite if that is not known."""
    sent_seconds: float = float("-inf")
    """When this was sent, by the boot clock of the sender's machine."""
    listed_age_seconds: float = float("inf")
    """How long ago any process that the sender heard of listed the store's whole state."""
    answers_seconds: float = float("-inf")
    """When the receiver, by its own clock, sent the greeting that this answers."""
    evacuations: StoreRevision = StoreRevision()


class Greeting(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry the sender's record and revisions and the records of some other members."""

    sender: FleetMember
    revisions: Revisions
    others: tuple[FleetMember, ...] = ()
    wants_answer: bool = False
    wants_verification: bool = False
    """Whether the receiver is to tell the suspects among the others about their suspicion."""
