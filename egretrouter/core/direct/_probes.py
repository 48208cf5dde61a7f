"""Probe other processes, to find members and zones that no longer answer."""

import random
from collections.abc import Sequence

import msgspec

from egretrouter.core.direct._members import FleetMember
from egretrouter.core.identifiers import InstanceId, ZoneId

PROBE_TIMEOUT_SECONDS = 0.3
PROBE_ATTEMPTS = 2
# A zone that has not been heard for this long is probed, through several of its members.
QUIET_ZONE_SECONDS = 1.0
ZONE_PROBES = 2
# After this many failed probes in a row, the own zone does not answer this process.
SILENT_ZONE_FAILURES = 3


class _Probe(msgspec.Struct, kw_only=True):
    zone: ZoneId
    targets: tuple[FleetMember, ...]
    sent_seconds: float
    attempts: int = 1


class OverdueProbe(msgspec.Struct, frozen=True, kw_only=True):
    """Name members that did not answer in time, and whether to give them another attempt."""

    targets: tuple[FleetMember, ...]
    repeats: bool


class ProbeSchedule:
    """Choose the members to probe, and decide when a probe has failed.

    A member of the own zone is probed for itself; members of another zone are probed only to find
    out whether any of them answers.
    """

    def __init__(self, *, instance_id: InstanceId, zone: ZoneId, rng: random.Random) -> None:
        self._instance_id = instance_id
        self._zone = zone
        self._rng = rng
        self._rounds = 0
        self._open: dict[ZoneId, _Probe] = {}
        """The unanswered probe of each zone."""
        self._heard_seconds: dict[ZoneId, float] = {}
        """When a member of each other zone last sent a greeting, or the zone became known."""
        self._unreachable: set[ZoneId] = set()
        self._zone_failures = 0
        """Failed probes of the own zone since a member of it last sent a greeting."""
        self._fleet_failures = 0
        """Failed probes of the own zone since any process last sent a greeting."""

    @property
    def isolated(self) -> bool:
        """Return whether no process at all answers, so that this one itself may be cut off."""
        return self._fleet_failures >= SILENT_ZONE_FAILURES

    @property
    def alone_in_zone(self) -> bool:
        """Return whether no other process of the own zone answers, lost or cut off."""
        return self._zone_failures >= SILENT_ZONE_FAILURES

    def is_reachable(self, zone: ZoneId) -> bool:
        """Return whether members of a zone answer."""
        return zone not in self._unreachable

    def start_round(
        self, members: Sequence[FleetMember], *, now_seconds: float
    ) -> list[FleetMember]:
        """Begin the probes of one round and return their targets."""
        self._rounds += 1
        own = [member for member in members if member.zone == self._zone]
        targets: list[FleetMember] = []
        if own and self._zone not in self._open:
            targets += self._begin(self._zone, [self._pick_in_zone(own)], now_seconds)
        zone = self._quietest_zone(members, now_seconds)
        if zone is not None:
            candidates = [member for member in members if member.zone == zone]
            chosen = self._rng.sample(candidates, min(ZONE_PROBES, len(candidates)))
            targets += self._begin(zone, chosen, now_seconds)
        return targets

    def _pick_in_zone(self, members: list[FleetMember]) -> FleetMember:
        # Each member has one predecessor that probes it regularly, so that a failure is found in
        # time; the random ones find it where the predecessor failed as well.
        if self._rounds % 2 == 0:
            return self._rng.choice(members)
        after = [member for member in members if member.instance_id > self._instance_id]
        return min(after or members, key=lambda member: member.instance_id)

    def _quietest_zone(self, members: Sequence[FleetMember], now_seconds: float) -> ZoneId | None:
        zones = {member.zone for member in members} - {self._zone}
        quiet = [
            (heard, zone)
            for zone in zones
            if now_seconds - (heard := self._heard_seconds.setdefault(zone, now_seconds))
            >= QUIET_ZONE_SECONDS
            and zone not in self._open
        ]
        return min(quiet)[1] if quiet else None

    def _begin(
        self, zone: ZoneId, targets: list[FleetMember], now_seconds: float
    ) -> list[FleetMember]:
        self._open[zone] = _Probe(zone=zone, targets=tuple(targets), sent_seconds=now_seconds)
        return targets

    def record_greeting(self, sender: FleetMember, *, now_seconds: float) -> None:
        """Record that a member sent a greeting."""
        self._fleet_failures = 0
        if sender.zone != self._zone:
            self._heard_seconds[sender.zone] = now_seconds
            self._unreachable.discard(sender.zone)
            self._open.pop(sender.zone, None)
            return
        self._zone_failures = 0
        probe = self._open.get(self._zone)
        if probe is not None and probe.targets[0].instance_id == sender.instance_id:
            del self._open[self._zone]

    def take_overdue(self, *, now_seconds: float) -> list[OverdueProbe]:
        """Return the probes that were not answered in time, and end those without attempts left."""
        overdue = []
        for zone, probe in list(self._open.items()):
            if now_seconds - probe.sent_seconds < PROBE_TIMEOUT_SECONDS:
                continue
            repeats = probe.attempts < PROBE_ATTEMPTS
            if repeats:
                probe.attempts += 1
                probe.sent_seconds = now_seconds
            else:
                del self._open[zone]
                self._record_failure(zone)
            overdue.append(OverdueProbe(targets=probe.targets, repeats=repeats))
        return overdue

    def _record_failure(self, zone: ZoneId) -> None:
        if zone == self._zone:
            self._zone_failures += 1
            self._fleet_failures += 1
        else:
            self._unreachable.add(zone)
            # The other quiet zones get their turn before this one is probed again.
            self._heard_seconds[zone] += QUIET_ZONE_SECONDS
