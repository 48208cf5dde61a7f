"""Track the zones whose endpoints get no calls because operators evacuate them."""

import math
from collections.abc import Iterable

import msgspec

from egretrouter.core.direct._state_order import StoreRevision
from egretrouter.core.identifiers import ZoneId

# Time within which operators write an evacuation again that a restored store has lost.
REWRITE_SECONDS = 5.0


class Evacuation(msgspec.Struct, frozen=True, kw_only=True):
    """Name a zone whose endpoints must get no new calls."""

    zone: ZoneId
    left_seconds: float = math.inf
    """How long it stays in force unless it is written again; infinite while the store has it."""


class EvacuationChange(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the evacuation of a zone began or ended."""

    zone: ZoneId
    begun: bool


class ZoneEvacuations:
    """Hold the evacuated zones as of one revision of the store.

    When the store comes back from a copy, evacuations that the copy lacks stay in force for a
    while, as they are written again.
    """

    def __init__(self) -> None:
        self.revision = StoreRevision()
        """The revision of the newest content, which is the same in all processes that have it."""
        self._listed: set[ZoneId] = set()
        self._held_until_seconds: dict[ZoneId, float] = {}
        """When evacuations that a copy of the store lacks end, unless written again."""
        self._in_force: frozenset[ZoneId] = frozenset()
        self._changes: list[EvacuationChange] = []

    def replace(
        self,
        zones: Iterable[ZoneId],
        *,
        revision: StoreRevision,
        restored: bool,
        now_seconds: float,
        content_revision: StoreRevision | None = None,
        unreadable: Iterable[ZoneId] = (),
    ) -> None:
        """Replace all zones by those listed at a revision of the store.

        A removal leaves no object with a newer revision, so content_revision, that of the newest
        object, counts only if the zones are the same as before. An entry that has become unreadable
        was not deleted, so its evacuation goes on.
        """
        listed = {*zones, *(zone for zone in unreadable if zone in self._listed)}
        if restored:
            until = now_seconds + REWRITE_SECONDS
            self._held_until_seconds |= dict.fromkeys(self._in_force - listed, until)
        if listed != self._listed:
            self.revision = revision
        else:
            self.revision = max(self.revision, content_revision or revision)
        self._listed = listed
        for zone in listed:
            self._held_until_seconds.pop(zone, None)
        self.expire(now_seconds=now_seconds)

    def put(self, zone: ZoneId) -> None:
        """Add a zone of which a watch reports an evacuation."""
        self._listed.add(zone)
        self._held_until_seconds.pop(zone, None)
        self._record_changes()

    def remove(self, zone: ZoneId) -> None:
        """Remove a zone of which a watch reports that its evacuation was deleted."""
        self._listed.discard(zone)
        self._held_until_seconds.pop(zone, None)
        self._record_changes()

    def hold(self, zone: ZoneId, *, left_seconds: float, now_seconds: float) -> None:
        """Keep an evacuation in force that another process keeps for some time."""
        if zone not in self._listed:
            until = now_seconds + min(left_seconds, REWRITE_SECONDS)
            self._held_until_seconds[zone] = max(until, self._held_until_seconds.get(zone, until))
            self._record_changes()

    def expire(self, *, now_seconds: float) -> None:
        """End the evacuations that were not written again in time."""
        for zone, until in list(self._held_until_seconds.items()):
            if until <= now_seconds:
                del self._held_until_seconds[zone]
        self._record_changes()

    def _record_changes(self) -> None:
        in_force = frozenset(self._listed | self._held_until_seconds.keys())
        changes = sorted(in_force ^ self._in_force)
        self._changes += [EvacuationChange(zone=z, begun=z in in_force) for z in changes]
        self._in_force = in_force

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Return whether the endpoints of a zone get no calls."""
        return zone in self._in_force

    @property
    def zones(self) -> frozenset[ZoneId]:
        """Return the zones whose endpoints get no calls."""
        return self._in_force

    @property
    def awaiting_rewrite(self) -> frozenset[ZoneId]:
        """Return the zones whose evacuations a copy of the store lacks."""
        return frozenset(self._held_until_seconds)

    def export(self, *, now_seconds: float) -> tuple[Evacuation, ...]:
        """Return all evacuations in force, for another process."""
        held = self._held_until_seconds
        return tuple(
            Evacuation(zone=zone, left_seconds=held.get(zone, math.inf) - now_seconds)
            for zone in sorted(self._in_force)
        )

    def take_changes(self) -> list[EvacuationChange]:
        """Return the evacuations that began or ended since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "zones": sorted(self._in_force),
            "awaiting_rewrite": sorted(self._held_until_seconds),
            "revision": {"era": self.revision.era, "revision": self.revision.revision},
        }
