"""Tell when versions of weights were named at the earliest."""

import math

from egretrouter.backends import StateKind
from egretrouter.core.direct import (
    FleetMember,
    NamedVersion,
    NameTimes,
    Revisions,
    StoreRevision,
    TransitTimes,
    WeightTargets,
)
from egretrouter.direct._boot_clock import boot_seconds

# Larger integers can't be encoded in a greeting.
LARGEST_SUM = 2**63 - 1
# A smaller gain is not worth a round trip.
WORTH_ASKING_SECONDS = 0.2
# A peer of a former release answers without the time of the question, so it may be asked again.
REQUEST_SECONDS = 0.2


class NameAges:
    """Bound the ages of versions' names by what listings, watches and peers prove."""

    def __init__(self, targets: WeightTargets) -> None:
        self._targets = targets
        self._sum_times: NameTimes[int] = NameTimes()
        self._revision_times: NameTimes[StoreRevision] = NameTimes()
        self._transit_times = TransitTimes()
        self._next_request_seconds = -math.inf

    @property
    def versions_sum(self) -> int:
        """Return the sum of the target versions, which grows with each version that is named."""
        return min(LARGEST_SUM, sum(t.version for t in self._targets.list_targets()))

    def newest_seconds(self) -> float:
        """Return the last time at which this process surely knew the newest of all versions."""
        return self._sum_times.unchanged_until(self.versions_sum)

    def change_seconds(self, revision: StoreRevision) -> float:
        """Return the last time at which a change that a watch reported had surely not been made.

        A watch reports every change, so nothing was named between this and the one before.
        """
        return max(self.newest_seconds(), self.unchanged_before_seconds(revision))

    def unchanged_before_seconds(self, revision: StoreRevision) -> float:
        """Return the last time at which the store had surely not reached a revision."""
        before = StoreRevision(revision.era, revision.revision - 1)
        return self._revision_times.unchanged_until(before)

    def record_listing(
        self, kind: StateKind, revision: StoreRevision, *, asked_seconds: float
    ) -> None:
        """Record what a listing proves once it was applied: it was complete when it was asked."""
        self._revision_times.record(revision, at_seconds=asked_seconds)
        if kind is StateKind.WEIGHTS:
            self._sum_times.record(self.versions_sum, at_seconds=asked_seconds)

    def record_greeting(self, peer: FleetMember, revisions: Revisions) -> float:
        """Record until when a peer surely knew the newest of all versions.

        Returns when the greeting was sent at the earliest, in seconds of the boot clock.
        """
        now = boot_seconds()
        transit = self._transit_times.record(
            peer.instance_id,
            started_ms=peer.started_ms,
            sent_seconds=revisions.sent_seconds,
            now_seconds=now,
            answers_seconds=revisions.answers_seconds,
        )
        self._sum_times.record(
            revisions.weights, at_seconds=now - transit - revisions.weights_age_seconds
        )
        return now - transit

    def needs_round_trip(self, peer: FleetMember, revisions: Revisions) -> bool:
        """Return whether to ask a peer, which would prove more once a round trip was measured."""
        now = boot_seconds()
        if now < self._next_request_seconds:
            return False
        may_prove = now - revisions.weights_age_seconds
        needs = (
            revisions.weights == self.versions_sum
            and may_prove > self.newest_seconds() + WORTH_ASKING_SECONDS
            and not self._transit_times.is_measured(
                peer.instance_id, started_ms=peer.started_ms, now_seconds=now
            )
        )
        if needs:
            self._next_request_seconds = now + REQUEST_SECONDS
        return needs

    def export_names(self) -> tuple[NamedVersion, ...]:
        """Return all names with their ages, for a peer."""
        now = boot_seconds()
        return tuple(
            NamedVersion(
                model=target.model, version=target.version, age_seconds=now - named_seconds
            )
            for target, named_seconds in self._targets.list_names()
        )
