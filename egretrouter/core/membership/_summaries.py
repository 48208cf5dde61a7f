"""Store the summaries of other zones and schedule their exchange."""

import random
from collections.abc import Iterable

import msgspec

from egretrouter.core.identifiers import Digest, InstanceId, ServiceName, ZoneId
from egretrouter.core.membership._records import (
    Member,
    MemberRole,
    MemberStatus,
    Seed,
    VersionSummary,
    ZoneSummary,
)
from egretrouter.core.membership._table import MemberTable
from egretrouter.core.rendezvous import highest_ranked

GATEWAYS_PER_ZONE = 2
CONTACTS_PER_ZONE = 4
SAMPLES_PER_VERSION = 4
SUMMARY_SECONDS = 6.0
SUMMARY_SECONDS_PER_ZONE = 0.6
"""The push period grows with the number of zones to bound the traffic of a gateway.

With 26 other zones and pushes of 2.4 KB, a period of 6 s would cost a gateway 21 KB/s; 15.6 s cost
8 KB/s.
"""

SUMMARY_GAIN_SECONDS = 5.0
"""Minimum age difference for sending a summary within a zone, to bound the traffic."""

SUMMARIES_PER_ANSWER = 6
MAXIMUM_ZONES = 64


class _Held(msgspec.Struct, kw_only=True):
    summary: ZoneSummary
    made_at_seconds: float


class SummaryTable:
    """Store the newest summary and the contact addresses of each other zone."""

    def __init__(self, *, zone: ZoneId, rng: random.Random) -> None:
        """Start without summaries."""
        self._zone = zone
        self._rng = rng
        self._held: dict[ZoneId, _Held] = {}
        self._seeds: dict[ZoneId, tuple[tuple[InstanceId, str], ...]] = {}
        self._next_push_seconds: dict[ZoneId, float] = {}
        self._contact_positions: dict[ZoneId, int] = {}

    @property
    def lacks_zones(self) -> bool:
        """Return whether there is no summary yet, or none for a zone of the instance list."""
        return not self._held or not self._seeds.keys() <= self._held.keys()

    def set_seeds(self, seeds: Iterable[Seed]) -> None:
        """Replace the contact addresses that come from the instance list."""
        by_zone: dict[ZoneId, list[tuple[InstanceId, str]]] = {}
        for seed in seeds:
            if seed.zone != self._zone:
                by_zone.setdefault(seed.zone, []).append((seed.instance_id, seed.address))
        self._seeds = {
            zone: tuple(self._rng.sample(found, min(CONTACTS_PER_ZONE, len(found))))
            for zone, found in by_zone.items()
        }

    def accept(self, summary: ZoneSummary, *, now_seconds: float) -> bool:
        """Store a summary and return True if it is newer than the stored one."""
        made_at_seconds = now_seconds - summary.age_seconds
        held = self._held.get(summary.zone)
        if summary.zone == self._zone or (held is None and len(self._held) >= MAXIMUM_ZONES):
            return False
        if held is not None and made_at_seconds <= held.made_at_seconds:
            return False
        self._held[summary.zone] = _Held(summary=summary, made_at_seconds=made_at_seconds)
        return True

    def take_due_contacts(self, now_seconds: float) -> list[tuple[InstanceId, str]]:
        """Return one contact of each zone that is due for a push, and schedule its next push.

        A zone that does not answer is contacted at the same rate, so that the end of a partition
        causes no burst.
        """
        due: list[tuple[InstanceId, str]] = []
        zones = sorted(self._held.keys() | self._seeds.keys())
        period = max(SUMMARY_SECONDS, SUMMARY_SECONDS_PER_ZONE * len(zones))
        for zone in zones:
            next_seconds = self._next_push_seconds.get(zone)
            if next_seconds is None:
                next_seconds = now_seconds + self._rng.random() * period
            if now_seconds >= next_seconds:
                contacts = self._contacts(zone, stale_seconds=3 * period)
                position = self._contact_positions.get(zone, self._rng.randrange(GATEWAYS_PER_ZONE))
                self._contact_positions[zone] = position + 1
                due.append(contacts[position % len(contacts)])
                next_seconds = now_seconds + period
            self._next_push_seconds[zone] = next_seconds
        return due

    def _contacts(self, zone: ZoneId, *, stale_seconds: float) -> list[tuple[InstanceId, str]]:
        """Return the gateways while the zone's summary is fresh, else all known addresses."""
        held = self._held.get(zone)
        known = list(held.summary.contacts) if held else []
        if held is not None and known:
            age_seconds = self._next_push_seconds.get(zone, 0.0) - held.made_at_seconds
            if age_seconds < stale_seconds:
                return known[:GATEWAYS_PER_ZONE]
        return list(dict.fromkeys((*known, *self._seeds.get(zone, ()))))

    def ages(self, now_seconds: float) -> dict[ZoneId, float]:
        """Return the age of the stored summary of each zone."""
        return {z: round(now_seconds - h.made_at_seconds, 1) for z, h in self._held.items()}

    def newer_than(
        self, ages_seconds: dict[ZoneId, float], *, now_seconds: float
    ) -> tuple[ZoneSummary, ...]:
        """Return the summaries much newer than the given ages, largest difference first."""
        found: list[tuple[float, ZoneId]] = []
        for zone, held in self._held.items():
            age = now_seconds - held.made_at_seconds
            gain = ages_seconds.get(zone, float("inf")) - age
            if gain >= SUMMARY_GAIN_SECONDS:
                found.append((gain, zone))
        found.sort(reverse=True)
        return tuple(self._aged(zone, now_seconds) for _, zone in found[:SUMMARIES_PER_ANSWER])

    def summaries(self, now_seconds: float) -> tuple[ZoneSummary, ...]:
        """Return all summaries with their current ages."""
        return tuple(self._aged(zone, now_seconds) for zone in sorted(self._held))

    def _aged(self, zone: ZoneId, now_seconds: float) -> ZoneSummary:
        held = self._held[zone]
        age = now_seconds - held.made_at_seconds
        return msgspec.structs.replace(held.summary, age_seconds=age)


def gateways(zone: ZoneId, members: Iterable[InstanceId]) -> list[InstanceId]:
    """Return the members that exchange summaries with other zones."""
    return highest_ranked(f"gateway/{zone}", members, GATEWAYS_PER_ZONE)


def summarize(*, own: Member, table: MemberTable, rng: random.Random) -> ZoneSummary:
    """Build the summary of a zone from the view of one of its members."""
    members = [own, *(table.entries[i].member for i in table.live_ids())]
    active = [m for m in members if m.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)]
    ready: dict[tuple[ServiceName, Digest], list[Member]] = {}
    for member in active:
        facts = member.facts
        if member.role is MemberRole.AGENT and facts.ready and not facts.drained:
            ready.setdefault((facts.service, facts.version_digest), []).append(member)
    addresses = {m.instance_id: m.address for m in active}
    chosen = gateways(own.zone, addresses)
    others = rng.sample(sorted(addresses), min(CONTACTS_PER_ZONE, len(addresses)))
    contacts = list(dict.fromkeys((*chosen, *others)))[:CONTACTS_PER_ZONE]
    routers = sum(m.role is MemberRole.ROUTER for m in active)
    return ZoneSummary(
        zone=own.zone,
        routers=routers,
        agents=len(active) - routers,
        versions=tuple(
            _version_summary(key, found, table, rng) for key, found in sorted(ready.items())
        ),
        contacts=tuple((i, addresses[i]) for i in contacts),
    )


def _version_summary(
    key: tuple[ServiceName, Digest], found: list[Member], table: MemberTable, rng: random.Random
) -> VersionSummary:
    samples_held = [table.loads[m.instance_id] for m in found if m.instance_id in table.loads]
    loads = [sample.load for sample in samples_held if sample.load is not None]
    samples = rng.sample(found, min(SAMPLES_PER_VERSION, len(found)))
    return VersionSummary(
        service=key[0],
        version_digest=key[1],
        ready=len(found),
        queued_calls=sum(load.queued_calls for load in loads),
        calls_per_second=sum(load.calls_per_second for load in loads),
        samples=tuple((m.instance_id, m.address) for m in samples),
    )
