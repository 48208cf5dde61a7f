"""Track the system's other processes by gossiping heartbeat counters."""

import random
from enum import Enum

import msgspec

from egretrouter.core.identifiers import Digest, InstanceId, RegionId, ZoneId

EXPIRY_SECONDS = 3.0
"""A member whose heartbeat counter has not advanced for this long is no longer live."""

REMOVAL_SECONDS = 60.0
RELAYED_MEMBERS = 4
FANOUT = 2
UPDATE_FANOUT = 5
# Links between regions have little bandwidth, so most greetings stay within the zone.
REMOTE_SHARE = 0.3


class FleetRole(Enum):
    """List the roles that a process can have."""

    ROUTER = "router"
    AGENT = "agent"


class FleetMember(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Describe one process as it announces itself by gossip."""

    instance_id: InstanceId
    role: FleetRole
    zone: ZoneId
    region: RegionId
    address: str
    """IP address; ports are the same on all instances."""
    started_ms: int
    heartbeat: int = 0
    leaving: bool = False
    copies: tuple[tuple[str, Digest], ...] = ()
    """The versions that an agent holds or copies, as MODEL/VERSION, with their manifest digests."""
    serving: str = ""
    """The model and version that an agent's engine serves, as MODEL/VERSION."""


class Revisions(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry the revision of each kind of shared state that a process has."""

    configuration: int = 0
    endpoints: int = 0
    weights: int = 0


class Greeting(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry the sender's record and revisions and the records of some other members."""

    sender: FleetMember
    revisions: Revisions
    others: tuple[FleetMember, ...] = ()
    wants_answer: bool = False


class _Entry:
    def __init__(self, member: FleetMember, now_seconds: float) -> None:
        self.member = member
        self.advanced_seconds = now_seconds


class Fleet:
    """Maintain the membership table and select the members to send to."""

    def __init__(self, *, own: FleetMember, rng: random.Random) -> None:
        self.own = own
        self._rng = rng
        self._entries: dict[InstanceId, _Entry] = {}

    def advance_heartbeat(self, **changes: object) -> None:
        """Increment this process's heartbeat and apply changes to its own record."""
        self.own = msgspec.structs.replace(self.own, heartbeat=self.own.heartbeat + 1, **changes)

    def record_member(self, member: FleetMember, *, now_seconds: float) -> bool:
        """Store a newer record of a member, and return whether the member was not live before."""
        if member.instance_id == self.own.instance_id:
            return False
        entry = self._entries.get(member.instance_id)
        if entry is None:
            self._entries[member.instance_id] = _Entry(member, now_seconds)
            return True
        if _recency(member) <= _recency(entry.member):
            return False
        was_live = now_seconds - entry.advanced_seconds <= EXPIRY_SECONDS
        entry.member, entry.advanced_seconds = member, now_seconds
        return not was_live

    def add_listed(self, member: FleetMember, *, now_seconds: float) -> None:
        """Add a member from the store's list, unless known; the list doesn't prove it is alive."""
        if member.instance_id != self.own.instance_id:
            self._entries.setdefault(member.instance_id, _Entry(member, now_seconds))

    def live_members(
        self, *, now_seconds: float, role: FleetRole | None = None
    ) -> list[FleetMember]:
        """Return the other processes whose heartbeat has advanced recently."""
        oldest = now_seconds - EXPIRY_SECONDS
        return [
            entry.member
            for entry in self._entries.values()
            if entry.advanced_seconds >= oldest and role in (None, entry.member.role)
        ]

    def remove_expired(self, *, now_seconds: float) -> None:
        """Remove members whose heartbeat has not advanced for REMOVAL_SECONDS."""
        oldest = now_seconds - REMOVAL_SECONDS
        for instance_id in [i for i, e in self._entries.items() if e.advanced_seconds < oldest]:
            del self._entries[instance_id]

    def build_greeting(
        self, revisions: Revisions, *, now_seconds: float, wants_answer: bool = False
    ) -> Greeting:
        """Build a greeting with this process's state and a random sample of live members."""
        live = self.live_members(now_seconds=now_seconds)
        others = self._rng.sample(live, min(RELAYED_MEMBERS, len(live)))
        return Greeting(
            sender=self.own, revisions=revisions, others=tuple(others), wants_answer=wants_answer
        )

    def gossip_targets(self, *, now_seconds: float, has_update: bool = False) -> list[FleetMember]:
        """Return the processes to greet now, more of them if there is an update to share."""
        live = self.live_members(now_seconds=now_seconds)
        same_zone = [member for member in live if member.zone == self.own.zone]
        other_zones = [member for member in live if member.zone != self.own.zone]
        chosen = self._rng.sample(
            same_zone, min(UPDATE_FANOUT if has_update else FANOUT, len(same_zone))
        )
        if other_zones and (has_update or not same_zone or self._rng.random() < REMOTE_SHARE):
            chosen += (
                self._pick_one_per_zone(other_zones)
                if has_update
                else [self._rng.choice(other_zones)]
            )
        oldest = now_seconds - EXPIRY_SECONDS
        unresponsive = [e.member for e in self._entries.values() if e.advanced_seconds < oldest]
        if unresponsive and self._rng.random() < 0.2:
            chosen.append(self._rng.choice(unresponsive))
        return chosen

    def _pick_one_per_zone(self, members: list[FleetMember]) -> list[FleetMember]:
        zones: dict[ZoneId, list[FleetMember]] = {}
        for member in members:
            zones.setdefault(member.zone, []).append(member)
        return [self._rng.choice(candidates) for candidates in zones.values()]

    def report_targets(self, *, now_seconds: float, role: FleetRole) -> list[FleetMember]:
        """Return all live members of a role in this zone and one in each other zone."""
        live = self.live_members(now_seconds=now_seconds, role=role)
        same_zone = [member for member in live if member.zone == self.own.zone]
        return same_zone + self._pick_one_per_zone([m for m in live if m.zone != self.own.zone])

    def watch_rank(self, *, now_seconds: float) -> int:
        """Return this process's rank among those of its zone that may watch the store.

        Routers rank before agents because they need more of the store's state.
        """
        same_zone = [
            member
            for member in self.live_members(now_seconds=now_seconds)
            if member.zone == self.own.zone and not member.leaving
        ]
        own = (self.own.role is FleetRole.AGENT, self.own.instance_id)
        return sum(1 for m in same_zone if (m.role is FleetRole.AGENT, m.instance_id) < own)


def _recency(member: FleetMember) -> tuple[int, int]:
    return member.started_ms, member.heartbeat
