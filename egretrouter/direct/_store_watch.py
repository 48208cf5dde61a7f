"""Watch and list the shared state at the store, in few processes of each zone."""

import asyncio
import math
import random
import time
from collections.abc import Iterable
from typing import Any, Protocol

from mode import Service

from egretrouter.backends import (
    HistoryGoneError,
    StateChanges,
    StateKind,
    StateListing,
    StateStore,
)
from egretrouter.core.direct import (
    ZONE_STEP,
    FleetRole,
    ListingTurns,
    StoreRevision,
    stand_in_seconds,
)
from egretrouter.core.errors import BackendError, BackendUnavailableError
from egretrouter.direct._boot_clock import boot_seconds
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._logs import log_event

# A watch as long as the store's history could end after that history was discarded.
WATCH_HISTORY_SHARE = 0.6
WATCH_LIMIT_SECONDS = 25.0
RETRY_FIRST_SECONDS = 0.1
RETRY_LIMIT_SECONDS = 1.6
SERIES_SECONDS = 0.2
LOST_FAILURES = 2
WATCHERS_PER_ZONE = 1
RANK_SECONDS = 0.3
JOIN_LIMIT_SECONDS = 0.3
FIRST_LISTING_SECONDS = 1.0
FIRST_LISTING_RANK_SECONDS = 0.1
FIRST_LISTING_STEP_SECONDS = 0.05
POLL_SECONDS = 1.0
POLL_STEP_SECONDS = 0.1
NAMES_SECONDS = 0.3
NAMES_STEP_SECONDS = 0.1
# Who stands in for a watcher that lists nothing lists the names too; this is for lost names alone.
NAMES_STAND_IN_SECONDS = 3.0
# Where a listing takes long because the link is narrow, listings may use this share of it.
POLL_LINK_SHARE = 0.1
POLL_LIMIT_SECONDS = 3.0


class StateSink(Protocol):
    """Define the state to which content of the store is applied."""

    listing_turns: ListingTurns

    def names_proven_seconds(self) -> float:
        """Return until when all names of versions are surely known, by the boot clock."""

    def is_loaded(self, kind: StateKind) -> bool:
        """Return whether a kind was loaded from the store or a peer."""

    def record_store_answer(self, *, asked_seconds: float) -> None:
        """Record that the store answered a call of asked_seconds of the boot clock, or later."""

    def record_store_failure(self, *, asked_seconds: float) -> None:
        """Record that a call to the store of asked_seconds of the boot clock failed now."""

    def apply_listing(
        self, kind: StateKind, listing: StateListing, *, asked_seconds: float
    ) -> None:
        """Apply all objects of a kind, as they were at asked_seconds of the boot clock or later."""

    def apply_changes(self, kind: StateKind, changes: StateChanges) -> None:
        """Apply the changes that a watch reported."""


class StoreWatchService(Service):
    """Keep a process's state up to date with the store while it is a watcher of its zone."""

    def __init__(
        self,
        sink: StateSink,
        *,
        store: StateStore,
        fleet: FleetService,
        kinds: tuple[StateKind, ...],
        watched_kinds: tuple[StateKind, ...],
        history_seconds: float,
        rng: random.Random,
        **kwargs: Any,
    ) -> None:
        """Watch watched_kinds whatever the process's rank, and the other kinds by rank."""
        super().__init__(**kwargs)
        self._sink = sink
        self._store = store
        self._fleet = fleet
        self._kinds = kinds
        self._watched_kinds = watched_kinds
        self._rng = rng
        self._watch_seconds = min(WATCH_LIMIT_SECONDS, WATCH_HISTORY_SHARE * history_seconds)
        self._elected = False
        """Whether this process was among its zone's watchers when that was last checked."""
        self._watches: dict[StateKind, asyncio.Timeout] = {}
        fleet.eras.on_restored.append(self._end_watches)
        self._failures = 0
        """Calls to the store that failed in a row, of any kind."""
        self._evacuations_listed: StoreRevision | None = None
        """The store's revision when evacuations were last listed; None after a failed call."""

    async def on_start(self) -> None:
        """Start to watch and poll each kind."""
        for kind in self._kinds:
            self.add_future(self._watch(kind))
        self.add_future(self._poll())
        if StateKind.WEIGHTS in self._kinds:
            self.add_future(self._poll_names())
        self.add_future(self._try_lost_store())

    def is_watcher(self, kind: StateKind) -> bool:
        """Return whether this process watches a kind at the store."""
        elected = self.rank() < WATCHERS_PER_ZONE
        if elected != self._elected:
            self._elected = elected
            members = len(self._fleet.live_members())
            log_event("state:watcher_changed", elected=elected, live_members=members)
        return kind in self._watched_kinds or elected

    def rank(self) -> int:
        """Return this process's rank among those of its zone that may watch."""
        return self._fleet.fleet.watch_rank()

    def lists_for_zone(self) -> bool:
        """Return whether this process is the one whose listings its zone relies on."""
        return self.rank() == 0 or self._sink.listing_turns.newest_is_own

    async def _watch(self, kind: StateKind) -> None:
        """Watch a kind at the store while this process is one of its watchers."""
        await self._wait_for_peers(kind)
        failures = 0
        revision: StoreRevision | None = None
        while not self.should_stop:
            if self._sink.is_loaded(kind) and not self.is_watcher(kind):
                revision = None
                await self.sleep(RANK_SECONDS)
                continue
            try:
                if revision is None:
                    revision = await self._list(kind)
                changes = await self._watch_from(kind, revision)
            except HistoryGoneError as error:
                log_event("store:history_gone", kind=kind.value, error=str(error))
                revision = None
            except BackendError as error:
                failures += 1
                self._sink.record_store_failure(asked_seconds=boot_seconds())
                self._record_failure()
                log_event("store:lost", kind=kind.value, failures=failures, error=str(error))
                # After one failure the watch continues from its last revision. After more, the
                # changes since then may be too many to be watched.
                if failures > 1:
                    revision = None
                delay = min(RETRY_FIRST_SECONDS * 2.0 ** (failures - 1), RETRY_LIMIT_SECONDS)
                await self.sleep(delay * (0.5 + self._rng.random()))
            else:
                self._record_success()
                if failures:
                    log_event("store:regained", kind=kind.value, failures=failures)
                failures = 0
                self._sink.apply_changes(kind, changes)
                revision = changes.revision
                if changes.events and kind is not StateKind.WEIGHTS:
                    # The next changes of a series are answered together.
                    await self.sleep(SERIES_SECONDS)
                if _is_behind(changes):
                    log_event("store:watch_behind", kind=kind.value, events=len(changes.events))
                    revision = None

    async def _watch_from(self, kind: StateKind, revision: StoreRevision) -> StateChanges:
        """Return the changes since a revision.

        Raises HistoryGoneError also if the store comes back from a copy, since the revision then
        names another state there, and the watch could wait while it misses changes.
        """
        try:
            async with asyncio.timeout(None) as self._watches[kind]:
                changes = await self._store.watch_state(
                    kind, after_revision=revision, wait_seconds=self._watch_seconds
                )
        except TimeoutError as error:
            raise HistoryGoneError(f"the store left the era of {revision}") from error
        finally:
            del self._watches[kind]
        self._fleet.eras.hear(changes.revision.era, source="store")
        if changes.revision.era != revision.era:
            raise HistoryGoneError(f"a watch from {revision} was answered at {changes.revision}")
        return changes

    def _end_watches(self) -> None:
        now = asyncio.get_running_loop().time()
        for watch in self._watches.values():
            watch.reschedule(now)

    async def _wait_for_peers(self, kind: StateKind) -> None:
        """Give the process that ranks first the time to load a kind and pass it on.

        If all processes start together and each lists everything, the listings fill the links.
        """
        await self._fleet.wait_until_joined(JOIN_LIMIT_SECONDS)
        left_seconds = FIRST_LISTING_SECONDS + FIRST_LISTING_RANK_SECONDS * self.rank()
        while left_seconds > 0 and not self._sink.is_loaded(kind) and not self.is_watcher(kind):
            await self.sleep(FIRST_LISTING_STEP_SECONDS)
            left_seconds -= FIRST_LISTING_STEP_SECONDS

    async def _poll(self) -> None:
        """List all kinds but names periodically in one process of the fleet.

        A watch can miss changes without an error, and ends only long after them. A watcher can
        stop to watch and still answer probes. A process with a narrow link to the store lists less
        often.
        """
        period = POLL_SECONDS
        # Names are listed more often, by _poll_names.
        kinds = [kind for kind in self._kinds if kind is not StateKind.WEIGHTS]
        while not self.should_stop:
            await self.sleep(max(POLL_STEP_SECONDS, self._seconds_until_due(period, rank=0)))
            is_loaded = all(self._sink.is_loaded(kind) for kind in self._kinds)
            rank = self.rank()
            if not is_loaded or self._seconds_until_due(period, rank=rank) > 0:
                continue
            asked = boot_seconds()
            turns = self._sink.listing_turns
            # Who listed meanwhile goes on with it until it hears of this listing.
            must_tell_zone = rank > 0 or turns.is_overtaken
            if rank > 0 and not turns.newest_is_own:
                self._log_stand_in(rank, now_seconds=asked)
            started = time.monotonic()
            if not await self._poll_kinds(kinds):
                await self.sleep(_retry_limit_seconds(rank) * self._rng.random())
                continue
            listing_seconds = time.monotonic() - started
            period = max(POLL_SECONDS, min(POLL_LIMIT_SECONDS, listing_seconds / POLL_LINK_SHARE))
            # An agent lists only a part of the state.
            is_whole = self._fleet.fleet.own.role is FleetRole.ROUTER
            turns.record_own(listed_seconds=asked, is_whole=is_whole)
            self._fleet.greet_watchers()
            if must_tell_zone:
                self._fleet.gossip_update()

    def _log_stand_in(self, rank: int, *, now_seconds: float) -> None:
        age = self._sink.listing_turns.age_seconds(now_seconds=now_seconds)
        log_event(
            "state:stands_in",
            rank=rank,
            listing_age_seconds=round(age, 3) if math.isfinite(age) else None,
        )

    async def _poll_kinds(self, kinds: Iterable[StateKind]) -> bool:
        """List kinds, and return whether the store answered for all of them.

        Evacuations are not listed while a listing of another kind proves that the store still has
        the revision at which they were last listed.
        """
        failures = 0
        newest: StoreRevision | None = None
        for kind in kinds:
            unchanged = newest is not None and newest == self._evacuations_listed
            if kind is StateKind.EVACUATIONS and unchanged:
                continue
            try:
                revision = await self._list(kind)
            except BackendError as error:
                failures += 1
                self._record_failure()
                log_event("store:poll_failed", kind=kind.value, error=str(error))
            else:
                newest = revision if newest is None else max(newest, revision)
        return not failures

    async def _poll_names(self) -> None:
        """List the names of versions often in one process of the fleet.

        Until which time no newer version had been named decides how long an older one may be used.
        """
        while not self.should_stop:
            await self.sleep(NAMES_STEP_SECONDS)
            age = self._names_age()
            if age < NAMES_SECONDS or not self._sink.is_loaded(StateKind.WEIGHTS):
                continue
            if self._fleet.fleet.own.store_lost:
                continue
            rank = self.rank()
            patience = NAMES_SECONDS * (1 + ZONE_STEP * self._fleet.fleet.zone_rank())
            if rank > 0 and not self._sink.listing_turns.newest_is_own:
                patience += stand_in_seconds(rank=rank, period_seconds=NAMES_STAND_IN_SECONDS)
            if age < patience:
                continue
            try:
                await self._list(StateKind.WEIGHTS)
            except BackendError as error:
                log_event("store:poll_failed", kind=StateKind.WEIGHTS.value, error=str(error))
                await self.sleep(_retry_limit_seconds(rank) * (0.5 + self._rng.random()))
            else:
                self._fleet.greet_watchers()

    async def _list_names_after_outage(self) -> None:
        """List the names of versions as soon as the store answers again.

        Versions are often named shortly after an outage. Without a listing in between, such a name
        could be as old as the outage, and calls could no longer begin on the older version.
        """
        if self._names_age() < NAMES_SECONDS:
            return
        try:
            await self._list(StateKind.WEIGHTS)
        except BackendError as error:
            log_event("store:poll_failed", kind=StateKind.WEIGHTS.value, error=str(error))

    def _names_age(self) -> float:
        return boot_seconds() - self._sink.names_proven_seconds()

    def _seconds_until_due(self, period_seconds: float, *, rank: int) -> float:
        return self._sink.listing_turns.wait_seconds(
            rank=rank,
            zone_rank=self._fleet.fleet.zone_rank(),
            period_seconds=period_seconds * (0.9 + 0.2 * self._rng.random()),
            now_seconds=boot_seconds(),
        )

    async def _list(self, kind: StateKind) -> StoreRevision:
        asked = boot_seconds()
        try:
            listing = await self._store.list_state(kind)
        except BackendError:
            self._sink.record_store_failure(asked_seconds=asked)
            raise
        eras = self._fleet.eras
        eras.hear(listing.revision.era, source="store")
        if eras.is_past(listing.revision.era):
            raise BackendUnavailableError(
                f"the listing at {listing.revision} is older than era {eras.newest}"
            )
        self._record_success()
        self._sink.apply_listing(kind, listing, asked_seconds=asked)
        if kind is StateKind.EVACUATIONS:
            self._evacuations_listed = listing.revision
        return listing.revision

    def _record_failure(self) -> None:
        """Leave the watch to another process of the zone if the store may answer that one."""
        self._failures += 1
        self._evacuations_listed = None
        if self._failures >= LOST_FAILURES and self.rank() == 0:
            self._set_store_lost(True)

    def _record_success(self) -> None:
        # This call may be the process's first since the outage began, without a failure before it.
        if self._sink.is_loaded(StateKind.WEIGHTS) and self._names_age() >= NAMES_STAND_IN_SECONDS:
            self.add_future(self._list_names_after_outage())
        self._sink.record_store_answer(asked_seconds=boot_seconds())
        self._failures = 0
        self._set_store_lost(False)

    def _set_store_lost(self, lost: bool) -> None:
        if self._fleet.fleet.own.store_lost is not lost:
            log_event("state:watch_handed_over" if lost else "state:watch_possible")
            self._fleet.announce(store_lost=lost)

    async def _try_lost_store(self) -> None:
        """Find out when the store answers again, while other processes watch."""
        while not self.should_stop:
            await self.sleep(RETRY_LIMIT_SECONDS * (0.5 + self._rng.random()))
            if not self._fleet.fleet.own.store_lost:
                continue
            try:
                await self._list(StateKind.WEIGHTS)
            except BackendError as error:
                log_event("store:poll_failed", kind=StateKind.WEIGHTS.value, error=str(error))


def _retry_limit_seconds(rank: int) -> float:
    """Return the longest wait after a failed listing, so that calls do not grow with the zone."""
    return RETRY_LIMIT_SECONDS * (1 + rank)


def _is_behind(changes: StateChanges) -> bool:
    """Return whether most of the changes were superseded by others before they arrived.

    A watch answers with every version of an object since its last answer. If objects change faster
    than they arrive, each answer is larger than the one before, while a listing has one version.
    """
    names = {event.name for event in changes.events}
    return len(changes.events) > 1 and 2 * len(names) <= len(changes.events)
