"""Hold what one member believes of its zone."""

import random
from typing import Any, TypeVar

import msgspec

from egretrouter.core.identifiers import Generation, InstanceId
from egretrouter.core.membership._detection import FailureDetector
from egretrouter.core.membership._gossip import GossipBody, Probe, ProbeAnswer
from egretrouter.core.membership._records import LoadReport, LoadSample, Member, MemberStatus
from egretrouter.core.membership._table import MemberTable, Merge

SILENCE_SECONDS = 3.0
SILENCE_MEMBERS = 4
"""A member that hears nobody of at least this many others takes itself for cut off."""

_Piggybacking = TypeVar("_Piggybacking", Probe, ProbeAnswer)


class ZoneView:
    """Merge what others say with what this member finds out itself."""

    def __init__(self, *, own: Member, rng: random.Random) -> None:
        """Start with no other member."""
        self.own = own
        self.table = MemberTable(rng=rng)
        self.detector = FailureDetector(table=self.table, rng=rng)
        self.load: LoadSample | None = None
        self.silent = False
        self._changed: dict[InstanceId, Member] = {}
        self._last_heard_seconds = float("-inf")

    def renew_load(self, load: LoadReport | None, generation: Generation) -> None:
        """Replace the load and generation that every probe carries."""
        self.load = LoadSample(
            instance_id=self.own.instance_id,
            incarnation=self.own.incarnation,
            sequence=self.load.sequence + 1 if self.load else 1,
            load=load,
            generation=generation,
        )

    def take_changed(self) -> tuple[Member, ...]:
        """Return the members that changed since the last call."""
        changed, self._changed = self._changed, {}
        return tuple(changed.values())

    def hear(self, body: GossipBody, now_seconds: float) -> bool:
        """Take in what every message of the zone carries; tell whether it ended a silence."""
        ended_silence = self.silent
        if ended_silence:
            self.silent = False
            self.distrust()
        self._last_heard_seconds = now_seconds
        self._merge(body.sender, now_seconds)
        self.table.confirm(body.sender.instance_id)
        for update in body.updates:
            self._merge(update, now_seconds)
        for sample in body.loads:
            if sample.instance_id != self.own.instance_id:
                self.table.merge_load(sample)
        return ended_silence

    def _merge(self, member: Member, now_seconds: float) -> None:
        if member.zone != self.own.zone:
            return
        if member.instance_id == self.own.instance_id:
            self._refute(member)
            return
        result = self.table.merge(member, now_seconds=now_seconds)
        if result is Merge.VERIFY:
            self.detector.verify(member.instance_id)
        if result is Merge.APPLIED:
            self._note_change(member.instance_id, now_seconds)

    def _note_change(self, instance_id: InstanceId, now_seconds: float) -> None:
        member = self.table.entries[instance_id].member
        self._changed[instance_id] = member
        self.detector.note_status(member, now_seconds=now_seconds)

    def _refute(self, claim: Member) -> None:
        """Overrule a claim about this member that it did not make itself in this life."""
        own = self.own
        same_version = claim.facts_version == own.facts_version
        if (
            claim.precedence > own.precedence
            or (claim.incarnation == own.incarnation and claim.address != own.address)
            or claim.facts_version > own.facts_version
            or (same_version and claim.facts != own.facts)
        ):
            self.own = msgspec.structs.replace(
                own,
                incarnation=max(claim.incarnation, own.incarnation) + 1,
                facts_version=max(claim.facts_version, own.facts_version) + 1,
            )
            self.table.queue(self.own, urgent=True)

    def distrust(self) -> None:
        """Act on nothing held before until it is confirmed."""
        self.detector.forget()
        for member in self.table.doubt_everything():
            self._changed[member.instance_id] = member
        self.table.queue(self.own, urgent=True)

    def resume(self, now_seconds: float) -> None:
        """Raise the incarnation after a pause, in which others may have taken this one for dead."""
        self.own = msgspec.structs.replace(self.own, incarnation=self.own.incarnation + 1)
        self.silent = False
        self._last_heard_seconds = now_seconds
        self.distrust()

    def drop_unconfirmed(self) -> None:
        """Believe a member that trusts its own view that the rest is gone; tell nobody."""
        for instance_id in self.table.unconfirmed():
            self._changed[instance_id] = self.table.drop(instance_id)

    def note_silence(self, now_seconds: float) -> None:
        """Notice that nobody was heard for long."""
        if self.table.live_count < SILENCE_MEMBERS:
            self.silent = False
        elif now_seconds - self._last_heard_seconds > SILENCE_SECONDS:
            self.silent = True

    def probe_failed(self, instance_id: InstanceId, now_seconds: float) -> None:
        """Doubt a member that answered neither a probe nor an indirect one."""
        entry = self.table.entries.get(instance_id)
        status = entry.member.status if entry else MemberStatus.DEAD
        if status is MemberStatus.ALIVE:
            self.set_status(instance_id, MemberStatus.SUSPECT, now_seconds)
        elif status is MemberStatus.LEAVING:
            self.set_status(instance_id, MemberStatus.DEAD, now_seconds)

    def set_status(self, instance_id: InstanceId, status: MemberStatus, now_seconds: float) -> None:
        """Overrule a member's status and pass it on."""
        entry = self.table.entries.get(instance_id)
        if entry is None:
            return
        member = msgspec.structs.replace(entry.member, status=status)
        urgent = status is MemberStatus.DEAD
        self.table.replace(member, now_seconds=now_seconds, urgent=urgent)
        self._note_change(instance_id, now_seconds)

    def body(self, kind: type[_Piggybacking], target: Member, **values: Any) -> _Piggybacking:
        """Build a message that carries updates; a doubted target hears of it first."""
        updates: tuple[Member, ...] = self.table.take_updates()
        entry = self.table.entries.get(target.instance_id)
        if entry is not None and entry.member.status is not MemberStatus.ALIVE:
            updates = (entry.member, *updates)
        loads: tuple[LoadSample, ...] = self.table.take_loads()
        if self.load is not None:
            loads = (self.load, *loads)
        return kind(sender=self.own, updates=updates, loads=loads, **values)
