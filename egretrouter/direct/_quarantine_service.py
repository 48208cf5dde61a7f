"""Share with the other processes which parts of prompts crash endpoints."""

import random
import time
from collections.abc import Collection, Iterable
from typing import Any

from mode import Service

from egretrouter.core.direct import (
    EndpointRun,
    FleetMember,
    FleetRole,
    PartNews,
    PartQuarantine,
    PartStanding,
)
from egretrouter.core.identifiers import PromptPartId
from egretrouter.core.membership import highest_ranked
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._logs import log_event
from egretrouter.direct._notes import PartNote

SPREAD_SECONDS = 0.05
REPAIR_SECONDS = 1.0
"""How often a process sends some of what it knows to a few others, which may have missed it."""
# A datagram of this many parts fits into a few packets.
PARTS_PER_NOTE = 8
JOIN_SECONDS = 0.8
JOIN_POLL_SECONDS = 0.1
JOIN_PEERS = 3


class QuarantineService(Service):
    """Keep this process's quarantine in step with those of the others."""

    def __init__(self, *, fleet: FleetService, rng: random.Random, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.settled = False
        """Whether this process knows what the others knew when it started."""
        self._quarantine = PartQuarantine()
        self._fleet = fleet
        self._rng = rng
        fleet.on_parts.append(self._handle_note)

    def standing(self, parts: Collection[PromptPartId]) -> PartStanding:
        """Return how to treat a call with these parts."""
        return self._quarantine.standing(parts)

    def hold_seconds(self, parts: Collection[PromptPartId]) -> float:
        """Return how long a call with these parts is held; 0 if it may be sent now."""
        return self._quarantine.hold_seconds(
            parts, is_owner=self._is_owner, now_seconds=time.monotonic()
        )

    def _is_owner(self, part: PromptPartId) -> bool:
        own = self._fleet.fleet.own
        routers = [own, *self._fleet.live_members(FleetRole.ROUTER)]
        staying = [member.instance_id for member in routers if not member.leaving]
        return highest_ranked(f"part/{part}", staying, 1) == [own.instance_id]

    def record_send(self, parts: Collection[PromptPartId]) -> None:
        """Record that a call with these parts is sent."""
        self._quarantine.record_send(parts, now_seconds=time.monotonic())

    def record_crash(self, parts: Collection[PromptPartId], run: EndpointRun) -> None:
        """Record that an endpoint ended before it had written on a call with these parts."""
        log_event("parts:endpoint_ended", parts=parts, endpoint=run.endpoint_id)
        self._quarantine.record_crash(parts, run, now_seconds=time.monotonic())
        self._spread_findings()

    def record_progress(self, parts: Collection[PromptPartId]) -> None:
        """Record that an endpoint writes on a call with these parts."""
        self._quarantine.record_progress(parts, now_seconds=time.monotonic())
        self._spread_findings()

    def _spread_findings(self) -> None:
        findings = self._quarantine.take_findings(now_seconds=time.monotonic())
        if findings:
            self._send(findings, self._fleet.fleet.announcement().targets)
        self._log_changes()

    def _send(self, news: Collection[PartNews], targets: Iterable[FleetMember]) -> None:
        note = PartNote(sender_address=self._fleet.fleet.own.address, news=tuple(news))
        self._fleet.send_note(note, [member.address for member in targets])

    def _handle_note(self, note: PartNote) -> None:
        self._quarantine.merge(note.news, now_seconds=time.monotonic())
        self._log_changes()
        if note.wants_all:
            self._answer(note.sender_address)
        if note.completes_all and not self.settled:
            self._settle("peer")

    def _answer(self, address: str) -> None:
        news = self._quarantine.all_news(now_seconds=time.monotonic())
        starts = range(0, max(1, len(news)), PARTS_PER_NOTE)
        for start in starts:
            note = PartNote(
                sender_address=self._fleet.fleet.own.address,
                news=tuple(news[start : start + PARTS_PER_NOTE]),
                completes_all=self.settled and start == starts[-1],
            )
            self._fleet.send_note(note, [address])

    def _log_changes(self) -> None:
        for change in self._quarantine.take_changes():
            log_event("parts:held" if change.held else "parts:released", part=change.part)

    @Service.task
    async def _join(self) -> None:
        """Ask other processes for what they know, as they may have held parts long ago."""
        question = PartNote(sender_address=self._fleet.fleet.own.address, wants_all=True)
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
        log_event("parts:settled", source=source)

    @Service.task
    async def _spread(self) -> None:
        """Pass on what others found, and repair what lost datagrams left out."""
        repaired = time.monotonic()
        while not self.should_stop:
            await self.sleep(SPREAD_SECONDS)
            now = time.monotonic()
            self._quarantine.expire(now_seconds=now)
            relays = self._quarantine.take_relays(limit=PARTS_PER_NOTE, now_seconds=now)
            if now - repaired >= REPAIR_SECONDS:
                repaired = now
                known = self._quarantine.all_news(now_seconds=now)
                relays += self._rng.sample(known, min(PARTS_PER_NOTE, len(known)))
            if relays:
                self._send(relays, self._fleet.fleet.relay_targets())

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {"settled": self.settled, "parts": self._quarantine.snapshot()}
