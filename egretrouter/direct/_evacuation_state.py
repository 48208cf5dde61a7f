"""Apply what the store and peers say of evacuated zones."""

import math
import time
from collections.abc import Callable, Collection, Iterable
from enum import Enum
from typing import Any

from egretrouter.backends import StateChanges, StateListing
from egretrouter.core.direct import (
    REWRITE_SECONDS,
    Evacuation,
    EvacuationChange,
    StoreRevision,
    ZoneEvacuations,
)
from egretrouter.core.identifiers import ZoneId
from egretrouter.direct._boot_clock import boot_seconds
from egretrouter.direct._logs import log_event
from egretrouter.direct._peer_state import SharedState

MAX_LOGGED_ZONES = 1000
MAX_QUOTED_CHARACTERS = 80


class EvacuationSource(Enum):
    """List how a process can learn that the evacuation of a zone began or ended."""

    LISTING = "listing"
    WATCH = "watch"
    PEER = "peer"
    EXPIRY = "expiry"
    """The evacuation was not written again after the store came back from a copy without it."""


class EvacuationState:
    """Keep the evacuated zones of one process, and report what it learns."""

    def __init__(
        self,
        *,
        zones: Collection[ZoneId],
        unchanged_before_seconds: Callable[[StoreRevision], float],
    ) -> None:
        """Expect evacuations of the given zones.

        unchanged_before_seconds returns the last time of the boot clock at which the store had
        surely not reached a revision.
        """
        self.evacuations = ZoneEvacuations()
        self.on_changed: list[Callable[[EvacuationChange, EvacuationSource], None]] = []
        self._zones = zones
        self._unchanged_before_seconds = unchanged_before_seconds
        self._unknown_zones: set[ZoneId] = set()
        """Evacuated zones that the settings don't have, of which each was logged."""

    @property
    def revision(self) -> StoreRevision:
        """Return the revision of the newest content."""
        return self.evacuations.revision

    def apply_listing(self, listing: StateListing, *, restored: bool) -> None:
        """Apply a listing, the first one of a restored store if restored is set."""
        # Peers take a state with a revision above 0, also if the store has no evacuations.
        first = StoreRevision(listing.revision.era, 1)
        self.evacuations.replace(
            (item.zone for item in listing.items if isinstance(item, Evacuation)),
            revision=listing.revision,
            content_revision=max(first, listing.content_revision),
            unreadable=map(ZoneId, listing.malformed),
            restored=restored,
            now_seconds=time.monotonic(),
        )
        self._report(EvacuationSource.LISTING, restored=restored)

    def apply_changes(self, changes: StateChanges) -> None:
        """Apply the changes that a watch reported."""
        for event in changes.events:
            if isinstance(event.item, Evacuation):
                self.evacuations.put(event.item.zone)
            elif not event.malformed:
                self.evacuations.remove(ZoneId(event.name))
        self.evacuations.revision = changes.revision
        self._report(EvacuationSource.WATCH)

    def apply_peer_state(
        self, evacuations: Iterable[Evacuation], state: SharedState, *, restored: bool, peer: str
    ) -> None:
        """Apply a peer's evacuations, the first ones of a restored store if restored is set."""
        now = time.monotonic()
        lasting = [e.zone for e in evacuations if math.isinf(e.left_seconds)]
        self.evacuations.replace(
            lasting, revision=state.evacuations_revision, restored=restored, now_seconds=now
        )
        for evacuation in evacuations:
            if math.isfinite(evacuation.left_seconds):
                self.evacuations.hold(
                    evacuation.zone, left_seconds=evacuation.left_seconds, now_seconds=now
                )
        self._report(EvacuationSource.PEER, peer=peer, restored=restored)

    def expire(self) -> None:
        """End the evacuations that were not written again in time."""
        self.evacuations.expire(now_seconds=time.monotonic())
        self._report(EvacuationSource.EXPIRY)

    def _report(
        self, source: EvacuationSource, *, peer: str | None = None, restored: bool = False
    ) -> None:
        held = self.evacuations.awaiting_rewrite
        if restored and held:
            log_event("zones:restored", zones=sorted(held), rewrite_seconds=REWRITE_SECONDS)
        for change in self.evacuations.take_changes():
            age = boot_seconds() - self._unchanged_before_seconds(self.revision)
            log_event(
                "zones:evacuated" if change.begun else "zones:returned",
                zone=change.zone,
                source=source.value,
                peer=peer,
                # The store's answers bound the age from above; a peer's state has no such bound.
                max_age_seconds=round(age, 3) if math.isfinite(age) else None,
                revision=self.revision,
            )
            self._log_unknown(change)
            for listener in self.on_changed:
                listener(change, source)

    def _log_unknown(self, change: EvacuationChange) -> None:
        is_known = change.zone in self._zones or change.zone in self._unknown_zones
        if change.begun and not is_known and len(self._unknown_zones) < MAX_LOGGED_ZONES:
            self._unknown_zones.add(change.zone)
            log_event(
                "zones:unknown",
                zone=change.zone[:MAX_QUOTED_CHARACTERS],
                valid=sorted(self._zones),
            )

    def export(self) -> tuple[Evacuation, ...]:
        """Return all evacuations in force, for a peer."""
        return self.evacuations.export(now_seconds=time.monotonic())

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return self.evacuations.snapshot()
