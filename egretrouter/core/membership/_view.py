"""Combine received gossip and local failure detection into a view of the zone."""

import random
from typing import Any, TypeVar

import msgspec

from egretrouter.core.identifiers import Generation, InstanceId
from egretrouter.core.membership._detection import FailureDetector
from egretrouter.core.membership._gossip import GossipBody, Probe, ProbeAnswer
from egretrouter.core.membership._records import LoadReport, LoadSample, Member, MemberStatus
from egretrouter.core.membership._table import MemberTable, Merge

ISOLATION_SECONDS = 3.0
ISOLATION_MINIMUM_MEMBERS = 4
"""A member that receives nothing from at least this many others treats itself as isolated."""

_Piggybacking = TypeVar("_Piggybacking", Probe, ProbeAnswer)


class ZoneView:
    """Merge gossip of other members with this member's own probes into a view of the zone."""

    def __init__(self, *, own: Member, rng: random.Random) -> None:
        """Start with no other member."""
        self.own = own
        self.table = MemberTable(rng=rng)
        self.detector = FailureDetector(table=self.table, rng=rng)
        self.load: LoadSample | None = None
        self.is_isolated = False
        self._changed: dict[InstanceId, Member] = {}
        self._last_received_seconds = float("-inf")

    def update_own_load(self, load: LoadReport | None, generation: Generation) -> None:
        """Replace the load sample of this member, which every probe carries."""
        self.load = LoadSample(
            instance_id=self.own.instance_id,
            incarnation=self.own.incarnation,
            sequence=self.load.sequence + 1 if self.load else 1,
            load=load,
            generation=generation,
        )

    def take_changed(self) -> tuple[Member, ...]:
        """Take the members that changed since the last call."""
        changed, self._changed = self._changed, {}
        return tuple(changed.values())

    def receive(self, body: GossipBody, now_seconds: float) -> bool:
        """Merge the updates and loads of a message; return whether it ended an isolation."""
        ended_isolation = self.is_isolated
        if ended_isolation:
            self.is_isolated = False
            self.require_confirmation()
        self._last_received_seconds = now_seconds
        self._merge(body.sender, now_seconds)
        self.table.confirm(body.sender.instance_id)
        for update in body.updates:
            self._merge(update, now_seconds)
        for sample in body.loads:
            if sample.instance_id != self.own.instance_id:
                self.table.merge_load(sample)
        return ended_isolation

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
            self._record_change(member.instance_id, now_seconds)

    def _record_change(self, instance_id: InstanceId, now_seconds: float) -> None:
        member = self.table.entries[instance_id].member
        self._changed[instance_id] = member
        self.detector.update_suspicion(member, now_seconds=now_seconds)

    def _refute(self, claim: Member) -> None:
        """Override an update about this member that its current incarnation did not send."""
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

    def require_confirmation(self) -> None:
        """Reset failure detection and exclude each record from gossip until it is confirmed."""
        self.detector.reset()
        for member in self.table.mark_all_unconfirmed():
            self._changed[member.instance_id] = member
        self.table.queue(self.own, urgent=True)

    def resume(self, now_seconds: float) -> None:
        """Increase the incarnation after a pause, since others may have declared it dead."""
        self.own = msgspec.structs.replace(self.own, incarnation=self.own.incarnation + 1)
        self.is_isolated = False
        self._last_received_seconds = now_seconds
        self.require_confirmation()

    def drop_unconfirmed(self) -> None:
        """Remove the unconfirmed members after a reply from a trusted view, without gossip."""
        for instance_id in self.table.unconfirmed():
            self._changed[instance_id] = self.table.drop(instance_id)

    def update_isolation(self, now_seconds: float) -> None:
        """Set is_isolated if no message of the zone arrived for ISOLATION_SECONDS."""
        if self.table.live_count < ISOLATION_MINIMUM_MEMBERS:
            self.is_isolated = False
        elif now_seconds - self._last_received_seconds > ISOLATION_SECONDS:
            self.is_isolated = True

    def probe_failed(self, instance_id: InstanceId, now_seconds: float) -> None:
        """Suspect a member that answered neither a direct nor an indirect probe."""
        entry = self.table.entries.get(instance_id)
        status = entry.member.status if entry else MemberStatus.DEAD
        if status is MemberStatus.ALIVE:
            self.set_status(instance_id, MemberStatus.SUSPECT, now_seconds)
        elif status is MemberStatus.LEAVING:
            self.set_status(instance_id, MemberStatus.DEAD, now_seconds)

    def set_status(self, instance_id: InstanceId, status: MemberStatus, now_seconds: float) -> None:
        """Set a member's status and queue the update."""
        entry = self.table.entries.get(instance_id)
        if entry is None:
            return
        member = msgspec.structs.replace(entry.member, status=status)
        urgent = status is MemberStatus.DEAD
        self.table.replace(member, now_seconds=now_seconds, urgent=urgent)
        self._record_change(instance_id, now_seconds)

    def build_message(
        self, body_type: type[_Piggybacking], target: Member, **values: Any
    ) -> _Piggybacking:
        """Build a message with piggybacked updates, first the target's own record if not ALIVE."""
        updates: tuple[Member, ...] = self.table.take_updates()
        entry = self.table.entries.get(target.instance_id)
        if entry is not None and entry.member.status is not MemberStatus.ALIVE:
            updates = (entry.member, *updates)
        loads: tuple[LoadSample, ...] = self.table.take_loads()
        if self.load is not None:
            loads = (self.load, *loads)
        return body_type(sender=self.own, updates=updates, loads=loads, **values)
