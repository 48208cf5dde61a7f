"""Keep calls away from endpoints that a part of their prompts would crash."""

import asyncio
import time

import msgspec

from egretrouter.core.direct import (
    Endpoint,
    EndpointRun,
    FleetRole,
    PartStanding,
    SendOutcome,
)
from egretrouter.core.identifiers import PromptPartId
from egretrouter.core.rendezvous import highest_ranked
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._logs import log_event
from egretrouter.direct._news_service import NewsService

PROOF_EVENTS = 2
"""Events after which an endpoint has survived the beginning of an answer."""
# An endpoint that ended refuses connections at once; anything later says nothing about it.
CHECK_SECONDS = 0.15


class PartHeld(msgspec.Struct, frozen=True, kw_only=True):
    """Represent that a call is not sent because of a part of its prompt."""

    retry_after_seconds: float


class PartGuard:
    """Report crashes and answers of one router's calls, and apply what all routers know."""

    def __init__(self, *, news: NewsService, fleet: FleetService) -> None:
        self._news = news
        self._quarantine = news.quarantine
        self._fleet = fleet
        self._checks: dict[EndpointRun, asyncio.Task[bool]] = {}

    def find_hold(self, call: ActiveCall) -> PartHeld | None:
        """Return why the call must not be sent now, or None if it may."""
        if self._quarantine.standing(call.prompt) is not PartStanding.HELD:
            return None
        seconds = self._quarantine.hold_seconds(
            call.prompt, is_owner=self._is_owner, now_seconds=time.monotonic()
        )
        return PartHeld(retry_after_seconds=seconds) if seconds > 0 else None

    def _is_owner(self, part: PromptPartId) -> bool:
        own = self._fleet.fleet.own
        routers = [own, *self._fleet.live_members(FleetRole.ROUTER)]
        staying = [member.instance_id for member in routers if not member.leaving]
        return highest_ranked(f"part/{part}", staying, 1) == [own.instance_id]

    def may_repeat(self, call: ActiveCall, outcome: SendOutcome) -> bool:
        """Return whether another endpoint may get the call after a send with this outcome."""
        if outcome is not SendOutcome.BROKEN:
            return True
        return self._quarantine.standing(call.prompt) is PartStanding.CLEAR

    def record_send(self, call: ActiveCall) -> None:
        """Record that the call is sent to an endpoint."""
        call.endpoint_wrote = False
        self._quarantine.record_send(call.prompt, now_seconds=time.monotonic())

    def record_events(self, call: ActiveCall) -> None:
        """Record that the endpoint writes on the call, once it has sent enough events."""
        if not call.endpoint_wrote and call.events_since_send >= PROOF_EVENTS:
            self.record_answer(call)

    def record_answer(self, call: ActiveCall) -> None:
        """Record that the endpoint wrote on the call."""
        call.endpoint_wrote = True
        self._quarantine.record_progress(call.prompt, now_seconds=time.monotonic())
        self._news.spread_findings()

    async def record_broken(self, call: ActiveCall, endpoint: Endpoint) -> None:
        """Find out whether the endpoint ended in a call on which it had not written."""
        parts = call.headers.shared_parts
        if call.endpoint_wrote or not parts:
            return
        run = EndpointRun.of(endpoint)
        if await self._has_ended(run, endpoint.address):
            log_event("parts:endpoint_ended", parts=parts, endpoint=run.endpoint_id)
            self._quarantine.record_crash(call.prompt, run, now_seconds=time.monotonic())
            self._news.spread_findings()

    async def _has_ended(self, run: EndpointRun, address: str) -> bool:
        """Return whether an endpoint refuses connections; calls that broke together ask once."""
        check = self._checks.get(run)
        if check is None:
            check = self._checks[run] = asyncio.create_task(_refuses_connections(address))
            check.add_done_callback(lambda _: self._checks.pop(run, None))
        return await asyncio.shield(check)


async def _refuses_connections(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
