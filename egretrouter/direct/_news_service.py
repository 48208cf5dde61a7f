"""Share with the other processes what calls have shown about endpoints."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from mode import Service

from egretrouter.core.direct import (
    EndpointLimits,
    FleetMember,
    LeavingChange,
    LeavingEndpoints,
    LeavingNews,
    LimitNews,
    PartNews,
    PartQuarantine,
)
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._logs import log_event
from egretrouter.direct._notes import NewsNote

_NewsT = TypeVar("_NewsT", PartNews, LimitNews, LeavingNews)

SPREAD_SECONDS = 0.05
REPAIR_SECONDS = 1.0
"""How often a process sends some of what it knows to a few others, which may have missed it."""
# A datagram of this many items fits into a few packets.
ITEMS_PER_NOTE = 8
JOIN_SECONDS = 0.8
JOIN_POLL_SECONDS = 0.1
JOIN_PEERS = 3


class NewsService(Service):
    """Keep what this process knows in step with what the others know."""

    def __init__(self, *, fleet: FleetService, rng: random.Random, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.quarantine = PartQuarantine()
        self.limits = EndpointLimits(own=fleet.fleet.own.instance_id)
        self.leaving = LeavingEndpoints()
        self.on_leaving: list[Callable[[LeavingChange], None]] = []
        self.settled = False
        """Whether this process knows what the others knew when it started."""
        self._has_news = asyncio.Event()
        self._fleet = fleet
        self._rng = rng
        fleet.on_news.append(self._handle_note)

    def spread_findings(self) -> None:
        """Send at once what this process has learned first."""
        now = time.monotonic()
        parts = self.quarantine.take_findings(now_seconds=now)
        limits = self.limits.take_findings(now_seconds=now)
        leaving = self.leaving.take_findings(now_seconds=now)
        if parts or limits or leaving:
            targets = self._fleet.fleet.announcement().targets
            self._send(targets, parts=parts, limits=limits, leaving=leaving)
            self._has_news.set()
        self._log_changes()

    def _send(
        self,
        targets: Iterable[FleetMember],
        *,
        parts: Iterable[PartNews],
        limits: Iterable[LimitNews],
        leaving: Iterable[LeavingNews],
    ) -> None:
        note = NewsNote(
            sender_address=self._fleet.fleet.own.address,
            parts=tuple(parts),
            limits=tuple(limits),
            leaving=tuple(leaving),
        )
        self._fleet.send_note(note, [member.address for member in targets])

    def _handle_note(self, note: NewsNote) -> None:
        now = time.monotonic()
        self.quarantine.merge(note.parts, now_seconds=now)
        self.limits.merge(note.limits, now_seconds=now)
        self.leaving.merge(note.leaving, now_seconds=now)
        self._log_changes()
        self._has_news.set()
        if note.wants_all:
            self._answer(note.sender_address)
        if note.completes_all and not self.settled:
            self._settle("peer")

    def _answer(self, address: str) -> None:
        now = time.monotonic()
        parts = self.quarantine.all_news(now_seconds=now)
        limits = self.limits.all_news(now_seconds=now)
        leaving = self.leaving.all_news(now_seconds=now)
        starts = range(0, max(1, len(parts), len(limits), len(leaving)), ITEMS_PER_NOTE)
        for start in starts:
            note = NewsNote(
                sender_address=self._fleet.fleet.own.address,
                parts=tuple(parts[start : start + ITEMS_PER_NOTE]),
                limits=tuple(limits[start : start + ITEMS_PER_NOTE]),
                completes_all=self.settled and start == starts[-1],
                leaving=tuple(leaving[start : start + ITEMS_PER_NOTE]),
            )
            self._fleet.send_note(note, [address])

    def _log_changes(self) -> None:
        for change in self.quarantine.take_changes():
            log_event("parts:held" if change.held else "parts:released", part=change.part)
        for limited in self.limits.take_changes():
            log_event(
                "limits:changed",
                endpoint=limited.run.endpoint_id,
                limit_per_second=limited.limit_per_second,
            )
        for departure in self.leaving.take_changes():
            log_event(
                "endpoints:leaving",
                endpoint=departure.run.endpoint_id,
                started_ms=departure.run.started_ms,
                source=departure.source.value,
                remembered_seconds=round(departure.remembered_seconds),
            )
            for listener in self.on_leaving:
                listener(departure)

    @Service.task
    async def _join(self) -> None:
        """Ask other processes for what they know, as they may have learned it long ago."""
        question = NewsNote(sender_address=self._fleet.fleet.own.address, wants_all=True)
        deadline = time.monotonic() + JOIN_SECONDS
        while not self.settled and time.monotonic() < deadline:
            members = self._fleet.live_members()
            chosen = self._rng.sample(members, min(JOIN_PEERS, len(members)))
            self._fleet.send_note(question, [member.address for member in chosen])
            await self.sleep(JOIN_POLL_SECONDS)
        if not self.settled:
            self._settle("alone")

    def _settle(self, source: str) -> None:
        self.settled = True
        log_event("news:settled", source=source)

    @Service.task
    async def _spread(self) -> None:
        """Pass on what others found, and repair what lost datagrams left out."""
        repaired = time.monotonic()
        while not self.should_stop:
            await self._wait_for_news(repaired + REPAIR_SECONDS - time.monotonic())
            now = time.monotonic()
            parts = self.quarantine.take_relays(limit=ITEMS_PER_NOTE, now_seconds=now)
            limits = self.limits.take_relays(limit=ITEMS_PER_NOTE, now_seconds=now)
            leaving = self.leaving.take_relays(limit=ITEMS_PER_NOTE, now_seconds=now)
            if parts or limits or leaving:
                # The same news is passed on more than once.
                self._has_news.set()
            if now - repaired >= REPAIR_SECONDS:
                repaired = now
                self.quarantine.expire(now_seconds=now)
                self.limits.expire(now_seconds=now)
                self.leaving.expire(now_seconds=now)
                parts += self._choose_repairs(self.quarantine.all_news(now_seconds=now))
                limits += self._choose_repairs(self.limits.all_news(now_seconds=now))
                leaving += self._choose_repairs(self.leaving.all_news(now_seconds=now))
            if parts or limits or leaving:
                targets = self._fleet.fleet.relay_targets()
                self._send(targets, parts=parts, limits=limits, leaving=leaving)

    def _choose_repairs(self, known: list[_NewsT]) -> list[_NewsT]:
        """Choose the most important half of a note's items, and the other half at random."""
        first, rest = known[: ITEMS_PER_NOTE // 2], known[ITEMS_PER_NOTE // 2 :]
        return first + self._rng.sample(rest, min(ITEMS_PER_NOTE - len(first), len(rest)))

    async def _wait_for_news(self, limit_seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_seconds):
                await self._has_news.wait()
        self._has_news.clear()
        # What arrives at about the same time goes out together.
        await self.sleep(SPREAD_SECONDS)

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "settled": self.settled,
            "parts": self.quarantine.snapshot(),
            "limits": self.limits.snapshot(),
            "leaving": self.leaving.snapshot(),
        }
