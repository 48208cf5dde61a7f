"""Probe other processes in turn, to find members and zones that no longer answer."""

import random
from collections.abc import Sequence

import msgspec

from egretrouter.core.direct._members import FleetMember
from egretrouter.core.identifiers import InstanceId, ZoneId

PROBE_TIMEOUT_SECONDS = 0.3
PROBE_ATTEMPTS = 2
# Another zone is probed once in so many rounds, because links between regions are narrow.
REMOTE_PROBE_ROUNDS = 2
# After this many failed probes in a row, the fault is not one of single members.
FAILURES_OF_A_ZONE = 3


class _Probe(msgspec.Struct, kw_only=True):
    target: FleetMember
    sent_seconds: float
    attempts: int = 1


class OverdueProbe(msgspec.Struct, frozen=True, kw_only=True):
    """Name a member that did not answer in time, and whether to give it another attempt."""

    target: FleetMember
    repeats: bool


class ProbeSchedule:
    """Choose the members to probe, and decide when a probe has failed."""

    def __init__(self, *, instance_id: InstanceId, zone: ZoneId, rng: random.Random) -> None:
        self._instance_id = instance_id
        self._zone = zone
        self._rng = rng
        self._rounds = 0
        self._zone_turns: list[ZoneId] = []
        """Other zones left to probe before each of them has had its turn."""
        self._open: dict[bool, _Probe] = {}
        """The unanswered probes, of this zone (False) and of another one (True)."""
        self._failures: dict[ZoneId, int] = {}
        """Failed probes of each zone since one of its members last sent a greeting."""
        self._doubted_zone: ZoneId | None = None
        """The other zone of the last failed probe, which is probed again at once."""

    @property
    def isolated(self) -> bool:
        """Return whether this process itself seems to be cut off from its zone."""
        return self._failures.get(self._zone, 0) >= FAILURES_OF_A_ZONE

    @property
    def doubts_a_zone(self) -> bool:
        """Return whether the last probe of another zone failed, and the zone must be probed on."""
        return self._doubted_zone is not None

    def is_reachable(self, zone: ZoneId) -> bool:
        """Return whether members of a zone answer."""
        return zone == self._zone or self._failures.get(zone, 0) < FAILURES_OF_A_ZONE

    def start_round(
        self, members: Sequence[FleetMember], *, now_seconds: float
    ) -> list[FleetMember]:
        """Begin the probes of one round and return their targets."""
        self._rounds += 1
        own = [member for member in members if member.zone == self._zone]
        targets = []
        if own and False not in self._open:
            targets.append(self._begin(self._pick_in_zone(own), now_seconds))
        if self._rounds % REMOTE_PROBE_ROUNDS == 0:
            targets += self._probe_zone(self._next_zone(members), members, now_seconds)
        return targets

    def continue_doubt(
        self, members: Sequence[FleetMember], *, now_seconds: float
    ) -> list[FleetMember]:
        """Begin the next probe of a zone whose last probe failed, without waiting for a round."""
        return self._probe_zone(self._doubted_zone, members, now_seconds)

    def _probe_zone(
        self, zone: ZoneId | None, members: Sequence[FleetMember], now_seconds: float
    ) -> list[FleetMember]:
        candidates = [member for member in members if member.zone == zone]
        if True in self._open or not candidates:
            return []
        return [self._begin(self._rng.choice(candidates), now_seconds)]

    def _pick_in_zone(self, members: list[FleetMember]) -> FleetMember:
        # Each member has one predecessor that probes it regularly, so that a failure is found in
        # time; the random ones find it where the predecessor failed as well.
        if self._rounds % 2 == 0:
            return self._rng.choice(members)
        after = [member for member in members if member.instance_id > self._instance_id]
        return min(after or members, key=lambda member: member.instance_id)

    def _next_zone(self, members: Sequence[FleetMember]) -> ZoneId | None:
        if not self._zone_turns:
            self._zone_turns = sorted({member.zone for member in members} - {self._zone})
            self._rng.shuffle(self._zone_turns)
        return self._zone_turns.pop() if self._zone_turns else None

    def _begin(self, target: FleetMember, now_seconds: float) -> FleetMember:
        self._open[target.zone != self._zone] = _Probe(target=target, sent_seconds=now_seconds)
        return target

    def record_answer(self, sender: FleetMember) -> None:
        """Record that a member sent a greeting."""
        self._failures.pop(sender.zone, None)
        if self._doubted_zone == sender.zone:
            self._doubted_zone = None
        probe = self._open.get(sender.zone != self._zone)
        if probe is not None and probe.target.instance_id == sender.instance_id:
            del self._open[sender.zone != self._zone]

    def take_overdue(self, *, now_seconds: float) -> list[OverdueProbe]:
        """Return the probes that were not answered in time, and end those without attempts left."""
        overdue = []
        for is_remote, probe in list(self._open.items()):
            if now_seconds - probe.sent_seconds < PROBE_TIMEOUT_SECONDS:
                continue
            repeats = probe.attempts < PROBE_ATTEMPTS
            if repeats:
                probe.attempts += 1
                probe.sent_seconds = now_seconds
            else:
                del self._open[is_remote]
                self._record_failure(probe.target.zone)
            overdue.append(OverdueProbe(target=probe.target, repeats=repeats))
        return overdue

    def _record_failure(self, zone: ZoneId) -> None:
        failures = self._failures[zone] = self._failures.get(zone, 0) + 1
        if zone != self._zone:
            self._doubted_zone = zone if failures < FAILURES_OF_A_ZONE else None
