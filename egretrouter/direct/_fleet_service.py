"""Exchange heartbeats, revisions and load reports with the other processes by datagrams."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
from mode import Service

from egretrouter.backends import StateStore
from egretrouter.core.direct import (
    Fleet,
    FleetMember,
    FleetRole,
    Greeting,
    LoadReport,
    Revisions,
)
from egretrouter.core.errors import BackendError
from egretrouter.core.identifiers import InstanceId
from egretrouter.direct._logs import log_event
from egretrouter.direct._settings import DirectSettings

GREETING_SECONDS = 0.7
JOIN_GREETING_SECONDS = 0.1
JOIN_SECONDS = 1.0
REGISTER_RETRY_SECONDS = 2.0


class LoadNote(msgspec.Struct, frozen=True, kw_only=True, tag="load", array_like=True):
    """Carry an agent's report of its engine."""

    address: str
    report: LoadReport
    relay: bool = False
    """Whether the receiver passes the note on within its zone."""


class GreetingNote(msgspec.Struct, frozen=True, kw_only=True, tag="greeting", array_like=True):
    """Carry a greeting."""

    greeting: Greeting


_Note = LoadNote | GreetingNote
_DECODER = msgspec.msgpack.Decoder(_Note)
_encode = msgspec.msgpack.Encoder().encode


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, received: Callable[[bytes], None]) -> None:
        self._received = received

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._received(data)

    def error_received(self, exc: Exception) -> None:
        # A peer that is gone refuses datagrams; its silence shows in the table.
        return


class FleetService(Service):
    """Own the datagram socket and the table of processes."""

    def __init__(
        self,
        settings: DirectSettings,
        *,
        role: FleetRole,
        store: StateStore,
        rng: random.Random,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.fleet = Fleet(
            own=FleetMember(
                instance_id=InstanceId(settings.instance_id),
                role=role,
                zone=settings.zone,
                region=settings.region,
                address=settings.address,
                started_ms=int(time.time() * 1000),
            ),
            rng=rng,
        )
        self.revisions: Callable[[], Revisions] = Revisions
        self.on_revisions: list[Callable[[FleetMember, Revisions], None]] = []
        self.on_load: list[Callable[[str, LoadReport], None]] = []
        self._settings = settings
        self._store = store
        self._rng = rng
        self._transport: asyncio.DatagramTransport

    async def on_start(self) -> None:
        """Open the socket and greet the seeds."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._received),
            local_addr=(self._settings.address, self._settings.gossip_port),
        )
        self._greet_seeds()

    async def on_stop(self) -> None:
        """Close the socket."""
        self._transport.close()

    def live(self, role: FleetRole | None = None) -> list[FleetMember]:
        """Return the other processes that are alive."""
        return self.fleet.live(now_seconds=time.monotonic(), role=role)

    def spread_news(self) -> None:
        """Tell other processes at once that this one learned something."""
        self._greet(news=True)

    def announce(self, **changes: object) -> None:
        """Change the own record and spread it."""
        self.fleet.advance_heartbeat(**changes)
        self.spread_news()

    def send_load(self, address: str, report: LoadReport, *, far: bool) -> None:
        """Send a report of the own engine's load to routers, outside the zone through one each."""
        near_data = _encode(LoadNote(address=address, report=report))
        far_data = _encode(LoadNote(address=address, report=report, relay=True))
        for member in self.fleet.report_targets(
            now_seconds=time.monotonic(), role=FleetRole.ROUTER
        ):
            if member.zone == self.fleet.own.zone:
                self._send(near_data, member.address)
            elif far:
                self._send(far_data, member.address)

    def _relay(self, note: LoadNote) -> None:
        data = _encode(msgspec.structs.replace(note, relay=False))
        for member in self.live(FleetRole.ROUTER):
            if member.zone == self.fleet.own.zone:
                self._send(data, member.address)

    def _send(self, data: bytes, address: str) -> None:
        self._transport.sendto(data, (address, self._settings.gossip_port))

    def _greet(self, *, news: bool = False, wants_answer: bool = False) -> None:
        now = time.monotonic()
        data = self._greeting(wants_answer=wants_answer)
        for member in self.fleet.gossip_targets(now_seconds=now, has_update=news):
            self._send(data, member.address)

    def _greet_seeds(self) -> None:
        data = self._greeting(wants_answer=True)
        for seed in self._settings.seed_addresses:
            if seed != self._settings.address:
                self._send(data, seed)

    def _greeting(self, *, wants_answer: bool = False) -> bytes:
        greeting = self.fleet.build_greeting(
            self.revisions(), now_seconds=time.monotonic(), wants_answer=wants_answer
        )
        return _encode(GreetingNote(greeting=greeting))

    def _received(self, data: bytes) -> None:
        try:
            note = _DECODER.decode(data)
        except msgspec.MsgspecError as error:
            log_event("fleet:datagram_malformed", error=str(error))
            return
        if isinstance(note, LoadNote):
            for on_load in self.on_load:
                on_load(note.address, note.report)
            if note.relay:
                self._relay(note)
        else:
            self._greeted(note.greeting)

    def _greeted(self, greeting: Greeting) -> None:
        now = time.monotonic()
        sender = greeting.sender
        if self.fleet.record_member(sender, now_seconds=now):
            log_event("fleet:member_seen", member=sender.instance_id, zone=sender.zone)
        for member in greeting.others:
            self.fleet.record_member(member, now_seconds=now)
        if greeting.wants_answer:
            self._send(self._greeting(), sender.address)
        for on_revisions in self.on_revisions:
            on_revisions(sender, greeting.revisions)

    @Service.task
    async def _heartbeat(self) -> None:
        started = time.monotonic()
        while not self.should_stop:
            now = time.monotonic()
            joining = now - started < JOIN_SECONDS
            self.fleet.advance_heartbeat()
            self.fleet.remove_expired(now_seconds=now)
            if not self.fleet.live(now_seconds=now):
                self._greet_seeds()
            self._greet()
            period = JOIN_GREETING_SECONDS if joining else GREETING_SECONDS
            await self.sleep(period * (0.8 + 0.4 * self._rng.random()))

    @Service.task
    async def _register(self) -> None:
        """Enter the list of processes once, and read those that the seeds may not know."""
        while not self.should_stop:
            try:
                await self._store.register(self.fleet.own)
                for member in await self._store.list_members():
                    self.fleet.add_listed(member, now_seconds=time.monotonic())
                self._greet(wants_answer=True)
            except BackendError as error:
                log_event("fleet:registration_failed", error=str(error))
                await self.sleep(REGISTER_RETRY_SECONDS * (0.5 + self._rng.random()))
            else:
                return

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "own": msgspec.to_builtins(self.fleet.own),
            "live": [member.instance_id for member in self.live()],
        }
