"""Know the system's other processes by gossip of heartbeat counters."""

import random
from enum import Enum

import msgspec

from egretrouter.core.identifiers import Digest, InstanceId, RegionId, ZoneId

EXPIRY_SECONDS = 3.0
"""A member whose counter stands still this long is left out."""

FORGET_SECONDS = 60.0
RELAYED_MEMBERS = 4
FANOUT = 2
NEWS_FANOUT = 5
# Links between regions are narrow, so most greetings stay in the zone.
REMOTE_SHARE = 0.3


class FleetRole(Enum):
    """Name the roles of processes."""

    ROUTER = "router"
    AGENT = "agent"


class FleetMember(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Describe one process."""

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
    """The versions that an agent has or copies, as MODEL/VERSION, and their manifests' digests."""
    serving: str = ""
    """The model and version that an agent's engine serves, as MODEL/VERSION."""


class Revisions(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State how new a process's view of each kind of shared state is."""

    configuration: int = 0
    endpoints: int = 0
    weights: int = 0


class Greeting(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry a process's heartbeat, some others' and its revisions."""

    sender: FleetMember
    revisions: Revisions
    others: tuple[FleetMember, ...] = ()
    wants_answer: bool = False


class _Entry:
    def __init__(self, member: FleetMember, now_seconds: float) -> None:
        self.member = member
        self.advanced_seconds = now_seconds


class Fleet:
    """Hold the table of processes."""

    def __init__(self, *, own: FleetMember, rng: random.Random) -> None:
        self.own = own
        self._rng = rng
        self._entries: dict[InstanceId, _Entry] = {}

    def advance_heartbeat(self, **changes: object) -> None:
        """Advance the own heartbeat, with changes of the own record."""
        self.own = msgspec.structs.replace(self.own, heartbeat=self.own.heartbeat + 1, **changes)

    def record_member(self, member: FleetMember, *, now_seconds: float) -> bool:
        """Take over a record, and tell whether the member was not live before."""
        if member.instance_id == self.own.instance_id:
            return False
        entry = self._entries.get(member.instance_id)
        if entry is None:
            self._entries[member.instance_id] = _Entry(member, now_seconds)
            return True
        if _age(member) <= _age(entry.member):
            return False
        was_live = now_seconds - entry.advanced_seconds <= EXPIRY_SECONDS
        entry.member, entry.advanced_seconds = member, now_seconds
        return not was_live

    def add_listed(self, member: FleetMember, *, now_seconds: float) -> None:
        """Learn of a member from a list, which does not tell whether it is alive."""
        if member.instance_id != self.own.instance_id:
            self._entries.setdefault(member.instance_id, _Entry(member, now_seconds))

    def live(self, *, now_seconds: float, role: FleetRole | None = None) -> list[FleetMember]:
        """Return the other processes that are alive."""
        oldest = now_seconds - EXPIRY_SECONDS
        return [
            entry.member
            for entry in self._entries.values()
            if entry.advanced_seconds >= oldest and role in (None, entry.member.role)
        ]

    def remove_expired(self, *, now_seconds: float) -> None:
        """Drop processes that were silent for long."""
        oldest = now_seconds - FORGET_SECONDS
        for instance_id in [i for i, e in self._entries.items() if e.advanced_seconds < oldest]:
            del self._entries[instance_id]

    def build_greeting(
        self, revisions: Revisions, *, now_seconds: float, wants_answer: bool = False
    ) -> Greeting:
        """Build the message that spreads this process's state."""
        live = self.live(now_seconds=now_seconds)
        others = self._rng.sample(live, min(RELAYED_MEMBERS, len(live)))
        return Greeting(
            sender=self.own, revisions=revisions, others=tuple(others), wants_answer=wants_answer
        )

    def gossip_targets(self, *, now_seconds: float, news: bool = False) -> list[FleetMember]:
        """Return the processes to greet now; news goes to more of them."""
        live = self.live(now_seconds=now_seconds)
        near = [member for member in live if member.zone == self.own.zone]
        far = [member for member in live if member.zone != self.own.zone]
        chosen = self._rng.sample(near, min(NEWS_FANOUT if news else FANOUT, len(near)))
        if far and (news or not near or self._rng.random() < REMOTE_SHARE):
            chosen += self._one_of_each_zone(far) if news else [self._rng.choice(far)]
        oldest = now_seconds - EXPIRY_SECONDS
        silent = [e.member for e in self._entries.values() if e.advanced_seconds < oldest]
        if silent and self._rng.random() < 0.2:
            chosen.append(self._rng.choice(silent))
        return chosen

    def _one_of_each_zone(self, members: list[FleetMember]) -> list[FleetMember]:
        zones: dict[ZoneId, list[FleetMember]] = {}
        for member in members:
            zones.setdefault(member.zone, []).append(member)
        return [self._rng.choice(found) for found in zones.values()]

    def report_targets(self, *, now_seconds: float, role: FleetRole) -> list[FleetMember]:
        """Return every member of a role in the own zone and one in each other zone."""
        live = self.live(now_seconds=now_seconds, role=role)
        near = [member for member in live if member.zone == self.own.zone]
        return near + self._one_of_each_zone([m for m in live if m.zone != self.own.zone])

    def watch_rank(self, *, now_seconds: float) -> int:
        """Return this process's place among those of its zone that may watch the store.

        Agents leave the store to routers, which need more of it.
        """
        near = [
            member
            for member in self.live(now_seconds=now_seconds)
            if member.zone == self.own.zone and not member.leaving
        ]
        own = (self.own.role is FleetRole.AGENT, self.own.instance_id)
        return sum(1 for m in near if (m.role is FleetRole.AGENT, m.instance_id) < own)


def _age(member: FleetMember) -> tuple[int, int]:
    return member.started_ms, member.heartbeat
