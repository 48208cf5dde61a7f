"""Track the system's other processes by gossip and probes.

A process counts as live until probes find that it does not answer, not only as long as news of it
arrives: in a large fleet news of one process is too rare for that. What a process greetings grows
with the number of changes, not with the number of processes. Each zone probes its own members;
of another zone a process finds out only whether any of it answers.
"""

import math
import random
from collections.abc import Iterable

import msgspec

from egretrouter.core.direct._members import (
    FleetMember,
    FleetRole,
    Greeting,
    MemberHealth,
    Revisions,
)
from egretrouter.core.direct._probes import ProbeSchedule
from egretrouter.core.identifiers import InstanceId, ZoneId

SUSPICION_SECONDS = 1.2
"""A suspect that has not objected for this long counts as failed."""

REMOVAL_SECONDS = 60.0
RELAYED_MEMBERS = 6
RELAYED_SUSPICIONS = 6
# Each change is relayed this often for each power of ten in the size of the fleet.
RELAYS_PER_DIGIT = 4
FANOUT = 2
UPDATE_FANOUT = 5
VERIFIERS = 3
# Links between regions have little bandwidth, so most greetings stay within the zone.
REMOTE_SHARE = 0.3
# While one of a zone's relays is frozen or gone unnoticed, half of the reports arrive.
RELAYS_PER_ZONE = 2


class SendGreeting(msgspec.Struct, frozen=True, kw_only=True):
    """Request to send a greeting to some members."""

    targets: tuple[FleetMember, ...]
    about: tuple[FleetMember, ...] = ()
    """Records that the greeting must contain."""
    wants_answer: bool = False
    wants_verification: bool = False
    only_news: bool = False
    """Whether to leave out records that did not change lately, to spare links between regions."""
    answers_seconds: float = -math.inf
    """When the target sent the greeting that this answers, by its own clock."""


class _Entry:
    def __init__(self, member: FleetMember, now_seconds: float) -> None:
        self.member = member
        self.changed_seconds = now_seconds
        self.relays_left = 0


class Fleet:
    """Maintain the membership table and decide which greetings to send."""

    def __init__(self, *, own: FleetMember, rng: random.Random) -> None:
        self.own = own
        self._rng = rng
        self._entries: dict[InstanceId, _Entry] = {}
        self._unhealthy: dict[InstanceId, _Entry] = {}
        """The entries of members that are suspected or failed."""
        self._probes = ProbeSchedule(instance_id=own.instance_id, zone=own.zone, rng=rng)
        self._changed: list[FleetMember] = []
        self._has_news = False
        """Whether a change arrived that was not relayed yet."""
        self._has_lost_store = False

    def update_own(self, **changes: object) -> None:
        """Change this process's own record, so that it overrides what others have."""
        self.own = msgspec.structs.replace(self.own, revision=self.own.revision + 1, **changes)

    def add_listed(self, member: FleetMember, *, now_seconds: float) -> None:
        """Add a member from the store's list, unless known; the list doesn't prove it is alive."""
        if member.instance_id != self.own.instance_id:
            self._entries.setdefault(member.instance_id, _Entry(member, now_seconds))

    def live_members(self, *, role: FleetRole | None = None) -> list[FleetMember]:
        """Return the other processes that have not failed, of the zones that answer."""
        return [
            member
            for member in self._members_not_failed()
            if self._probes.is_reachable(member.zone) and role in (None, member.role)
        ]

    def known_members(self) -> list[FleetMember]:
        """Return all other processes, including those that do not answer or have just failed."""
        return [entry.member for entry in self._entries.values()]

    @property
    def isolated(self) -> bool:
        """Return whether no process answers, so that this one itself may be cut off."""
        return self._probes.isolated

    def _members_not_failed(self) -> list[FleetMember]:
        members = [entry.member for entry in self._entries.values()]
        return [member for member in members if member.health is not MemberHealth.FAILED]

    def take_changed(self) -> list[FleetMember]:
        """Return the members that are new or changed their health since the last call."""
        changed, self._changed = self._changed, []
        return changed

    def take_lost_store(self) -> bool:
        """Return whether the store stopped answering a known member since the last call."""
        lost, self._has_lost_store = self._has_lost_store, False
        return lost

    def handle_greeting(self, greeting: Greeting, *, now_seconds: float) -> list[SendGreeting]:
        """Record what a greeting says, and return the greetings to send in response."""
        sender = greeting.sender
        self._merge(sender, now_seconds=now_seconds)
        self._probes.record_greeting(sender, now_seconds=now_seconds)
        greetings = []
        for member in greeting.others:
            if member.instance_id == self.own.instance_id:
                greetings += self._defend(member, sender)
            else:
                self._merge(member, now_seconds=now_seconds)
        if greeting.wants_verification:
            suspects = [m for m in greeting.others if m.health is MemberHealth.SUSPECT]
            greetings += [SendGreeting(targets=(m,), about=(m,)) for m in suspects]
        entry = self._entries.get(sender.instance_id)
        if entry is not None and entry.member.overrides(sender):
            # The sender does not know that it is suspected, or that a former process of its
            # instance had a later clock; its objection ends that everywhere.
            greetings.append(SendGreeting(targets=(sender,), about=(entry.member,)))
        elif greeting.wants_answer:
            greetings.append(
                SendGreeting(
                    targets=(sender,),
                    only_news=sender.zone != self.own.zone,
                    answers_seconds=greeting.revisions.sent_seconds,
                )
            )
        return greetings

    def _defend(self, reported: FleetMember, reporter: FleetMember) -> list[SendGreeting]:
        """Object to a report about this process that is not its own."""
        if not reported.overrides(self.own):
            suspected = reported.health is not MemberHealth.ALIVE
            return [SendGreeting(targets=(reporter,))] if suspected else []
        self.own = msgspec.structs.replace(
            self.own, started_ms=reported.started_ms, revision=reported.revision + 1
        )
        return [SendGreeting(targets=(reporter,)), self.announcement()]

    def _merge(self, member: FleetMember, *, now_seconds: float) -> None:
        """Store a record that overrides the known one, and relay it soon."""
        if member.instance_id == self.own.instance_id:
            return
        entry = self._entries.get(member.instance_id)
        if entry is None:
            entry = self._entries[member.instance_id] = _Entry(member, now_seconds)
            self._changed.append(member)
        elif not member.overrides(entry.member):
            return
        elif member.health is not entry.member.health:
            self._changed.append(member)
            if member.health is not MemberHealth.ALIVE:
                # A report comes without what the member says of itself.
                member = msgspec.structs.replace(entry.member, health=member.health)
        if member.store_lost and not entry.member.store_lost:
            self._has_lost_store = True
        entry.member, entry.changed_seconds = member, now_seconds
        self._has_news = True
        if member.health is MemberHealth.ALIVE:
            self._unhealthy.pop(member.instance_id, None)
        else:
            self._unhealthy[member.instance_id] = entry
        entry.relays_left = math.ceil(RELAYS_PER_DIGIT * math.log10(len(self._entries) + 2))

    def advance(self, *, now_seconds: float) -> list[SendGreeting]:
        """Return what follows from changes, unanswered probes and unrefuted suspicions."""
        self._end_suspicions(now_seconds)
        greetings = self._check_probes(now_seconds)
        if self._has_news:
            # Changes are relayed at once; waiting for the next round would add seconds.
            greetings.append(SendGreeting(targets=self._round_targets(FANOUT)))
            self._has_news = False
        return greetings

    def _end_suspicions(self, now_seconds: float) -> None:
        for instance_id, entry in list(self._unhealthy.items()):
            age = now_seconds - entry.changed_seconds
            if entry.member.health is MemberHealth.SUSPECT and age >= SUSPICION_SECONDS:
                # Every process that knows of the suspicion comes to this on its own.
                entry.member = msgspec.structs.replace(entry.member, health=MemberHealth.FAILED)
                entry.changed_seconds = now_seconds
                self._changed.append(entry.member)
            elif entry.member.health is MemberHealth.FAILED and age >= REMOVAL_SECONDS:
                del self._entries[instance_id]
                del self._unhealthy[instance_id]

    def _check_probes(self, now_seconds: float) -> list[SendGreeting]:
        greetings = []
        for overdue in self._probes.take_overdue(now_seconds=now_seconds):
            if overdue.repeats:
                greetings.append(_probe(*overdue.targets))
            elif overdue.targets[0].zone == self.own.zone and not self._probes.isolated:
                greetings += self._suspect(overdue.targets[0].instance_id, now_seconds)
        return greetings

    def _suspect(self, instance_id: InstanceId, now_seconds: float) -> list[SendGreeting]:
        entry = self._entries.get(instance_id)
        if entry is None or entry.member.health is not MemberHealth.ALIVE:
            return []
        suspect = msgspec.structs.replace(entry.member, health=MemberHealth.SUSPECT)
        self._merge(suspect, now_seconds=now_seconds)
        others = [member for member in self.live_members() if member.instance_id != instance_id]
        verifiers = tuple(self._sample(others, VERIFIERS))
        return [SendGreeting(targets=verifiers, about=(suspect,), wants_verification=True)]

    def gossip(self, *, now_seconds: float) -> list[SendGreeting]:
        """Return the greetings to send in this round, one of them a probe."""
        probed = self._probes.start_round(self._members_not_failed(), now_seconds=now_seconds)
        greetings = [_probe(target) for target in probed]
        greetings.append(SendGreeting(targets=self._round_targets(FANOUT - 1)))
        unhealthy = [entry.member for entry in self._unhealthy.values()]
        failed = [member for member in unhealthy if member.health is MemberHealth.FAILED]
        if failed:
            # A member that has returned, or whose zone is no longer cut off, objects.
            member = self._rng.choice(failed)
            greetings.append(SendGreeting(targets=(member,), about=(member,)))
        return greetings

    def _round_targets(self, count: int) -> tuple[FleetMember, ...]:
        same_zone, other_zones = self._split_by_zone(self.live_members())
        targets = self._sample(same_zone, count)
        if other_zones and (not same_zone or self._rng.random() < REMOTE_SHARE):
            targets.append(self._rng.choice(other_zones))
        return tuple(targets)

    def announcement(self) -> SendGreeting:
        """Return the greeting that spreads a change of this process's state or record."""
        same_zone, other_zones = self._split_by_zone(self.live_members())
        targets = self._sample(same_zone, UPDATE_FANOUT) + self._pick_one_per_zone(other_zones)
        return SendGreeting(targets=tuple(targets))

    def build_greeting(self, command: SendGreeting, revisions: Revisions) -> Greeting:
        """Build a greeting with the newest changes of other members."""
        return Greeting(
            sender=self.own,
            revisions=msgspec.structs.replace(revisions, answers_seconds=command.answers_seconds),
            others=self._pick_others(command),
            wants_answer=command.wants_answer,
            wants_verification=command.wants_verification,
        )

    def _pick_others(self, command: SendGreeting) -> tuple[FleetMember, ...]:
        chosen = {member.instance_id: member for member in command.about}
        # The newest go first, so that a change does not queue behind those of a mass restart.
        news = sorted(
            (entry for entry in self._entries.values() if entry.relays_left > 0),
            key=lambda entry: -entry.changed_seconds,
        )
        reports = [e for e in news if e.member.health is not MemberHealth.ALIVE]
        changes = [e for e in news if e.member.health is MemberHealth.ALIVE]
        for entry in reports[:RELAYED_SUSPICIONS] + changes[:RELAYED_MEMBERS]:
            entry.relays_left -= len(command.targets)
            chosen.setdefault(entry.member.instance_id, _without_details(entry.member))
        if len(chosen) < RELAYED_MEMBERS and not command.only_news:
            # Failed members too, for those that missed the report.
            members = [entry.member for entry in self._entries.values()]
            for member in self._sample(members, RELAYED_MEMBERS - len(chosen)):
                chosen.setdefault(member.instance_id, _without_details(member))
        return tuple(chosen.values())

    def _sample(self, members: Iterable[FleetMember], count: int) -> list[FleetMember]:
        found = list(members)
        return self._rng.sample(found, min(count, len(found)))

    def _split_by_zone(
        self, members: list[FleetMember]
    ) -> tuple[list[FleetMember], list[FleetMember]]:
        same_zone = [member for member in members if member.zone == self.own.zone]
        return same_zone, [member for member in members if member.zone != self.own.zone]

    def _pick_one_per_zone(self, members: list[FleetMember]) -> list[FleetMember]:
        zones: dict[ZoneId, list[FleetMember]] = {}
        for member in members:
            zones.setdefault(member.zone, []).append(member)
        return [self._rng.choice(candidates) for candidates in zones.values()]

    def relay_targets(self) -> tuple[FleetMember, ...]:
        """Return the members to pass something on to that another process found."""
        return self._round_targets(FANOUT)

    def zone_routers(self) -> list[FleetMember]:
        """Return the live routers of this zone."""
        routers = self.live_members(role=FleetRole.ROUTER)
        return [router for router in routers if router.zone == self.own.zone]

    def report_relays(self, *, turn: int) -> list[FleetMember]:
        """Return the router of each other zone that passes reports on, alternating with turn.

        All agents choose the same few routers of a zone, so that these can pass on many reports
        together.
        """
        zones: dict[ZoneId, list[FleetMember]] = {}
        for router in self.live_members(role=FleetRole.ROUTER):
            if router.zone != self.own.zone:
                zones.setdefault(router.zone, []).append(router)
        relays = []
        for routers in zones.values():
            ranked = sorted(routers, key=_relay_order)[:RELAYS_PER_ZONE]
            relays.append(ranked[turn % len(ranked)])
        return relays

    def zone_rank(self) -> int:
        """Return the rank of this process's zone among those that answer."""
        return len({m.zone for m in self.live_members() if m.zone < self.own.zone})

    def zone_members(self) -> list[FleetMember]:
        """Return the live members of this zone."""
        return [member for member in self.live_members() if member.zone == self.own.zone]

    def other_watchers(self) -> list[FleetMember]:
        """Return the process of each other zone that watches the store."""
        watchers: dict[ZoneId, FleetMember] = {}
        for member in self.live_members():
            if member.zone == self.own.zone or not _may_watch(member):
                continue
            first = watchers.setdefault(member.zone, member)
            if _watch_order(member) < _watch_order(first):
                watchers[member.zone] = member
        return list(watchers.values())

    def watch_rank(self) -> int:
        """Return this process's rank among those of its zone that may watch the store.

        A process whose zone does not answer ranks first: it can't tell whether the others watch,
        and nothing of what they learn would reach it.
        """
        if self._probes.alone_in_zone:
            return 0
        own = _watch_order(self.own)
        return sum(
            1
            for member in self.live_members()
            if member.zone == self.own.zone and _may_watch(member) and _watch_order(member) < own
        )


def _without_details(member: FleetMember) -> FleetMember:
    """Return a report about a member without what only the member itself may say."""
    if member.health is MemberHealth.ALIVE:
        return member
    return msgspec.structs.replace(member, copies=(), serving="")


def _probe(*targets: FleetMember) -> SendGreeting:
    return SendGreeting(targets=targets, wants_answer=True, only_news=True)


def _may_watch(member: FleetMember) -> bool:
    return not member.leaving and member.health is MemberHealth.ALIVE


def _relay_order(router: FleetMember) -> tuple[bool, bool, InstanceId]:
    return router.leaving, router.health is not MemberHealth.ALIVE, router.instance_id


def _watch_order(member: FleetMember) -> tuple[bool, bool, InstanceId]:
    # Routers go before agents because they need more of the store's state.
    return member.store_lost, member.role is FleetRole.AGENT, member.instance_id
