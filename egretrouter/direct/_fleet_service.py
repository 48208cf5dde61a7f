"""Exchange membership, revisions and load reports with the other processes by datagrams."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import Any

import msgspec
from mode import Service

from egretrouter.backends import StateStore
from egretrouter.core.direct import (
    Fleet,
    FleetMember,
    FleetRole,
    LoadReport,
    MemberHealth,
    Revisions,
    SendGreeting,
)
from egretrouter.core.errors import BackendError
from egretrouter.core.identifiers import InstanceId
from egretrouter.direct._load_relay import LoadRelay
from egretrouter.direct._logs import log_event
from egretrouter.direct._notes import (
    GreetingNote,
    LoadNote,
    LoadsNote,
    NewsNote,
    Note,
    NoteMalformedError,
    decode_note,
    encode_note,
)
from egretrouter.direct._settings import DirectSettings
from egretrouter.direct._store_eras import StoreEras

GREETING_SECONDS = 0.7
TICK_SECONDS = 0.15
JOIN_GREETING_SECONDS = 0.1
JOIN_SECONDS = 1.0
REGISTER_RETRY_SECONDS = 2.0
# All processes renew their entries after the store comes back from a copy, spread over this time.
RENEWAL_SPREAD_SECONDS = 2.0

_HEALTH_EVENTS = {
    MemberHealth.ALIVE: "fleet:member_seen",
    MemberHealth.SUSPECT: "fleet:member_suspected",
    MemberHealth.FAILED: "fleet:member_failed",
}


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._on_datagram(data)

    def error_received(self, exc: Exception) -> None:
        # A stopped peer refuses datagrams; probes that it does not answer detect it.
        return


class FleetService(Service):
    """Run the gossip protocol over a datagram socket and maintain the membership table."""

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
        self.on_store_lost: list[Callable[[], None]] = []
        """Called when another process announces that the store stopped answering it."""
        self.on_load: list[Callable[[str, LoadReport], None]] = []
        self.on_news: list[Callable[[NewsNote], None]] = []
        self._settings = settings
        self._store = store
        self._rng = rng
        self.eras = StoreEras()
        self.eras.on_restored.append(self._handle_restored_store)
        self._entry_lost = asyncio.Event()
        """Set when the store may no longer have this process in its list."""
        self._joined = asyncio.Event()
        self._load_relay = LoadRelay(targets=self.fleet.zone_routers, send_note=self.send_note)
        self._reports_relayed = 0
        self._transport: asyncio.DatagramTransport

    async def on_start(self) -> None:
        """Open the socket and send greetings to the seeds."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._handle_datagram),
            local_addr=(self._settings.address, self._settings.gossip_port),
        )
        self._greet_seeds()

    async def on_stop(self) -> None:
        """Close the datagram socket."""
        self._load_relay.close()
        self._transport.close()

    async def wait_until_joined(self, limit_seconds: float) -> None:
        """Wait until the members of the store's list are known, or until the limit."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_seconds):
                await self._joined.wait()

    @property
    def joined(self) -> bool:
        """Return whether the store's list of processes was read since the start."""
        return self._joined.is_set()

    def live_members(self, role: FleetRole | None = None) -> list[FleetMember]:
        """Return the other processes that have not failed."""
        return self.fleet.live_members(role=role)

    def gossip_update(self) -> None:
        """Send greetings immediately after this process's state or record has changed."""
        self._greet([self.fleet.announcement()])

    def greet_watchers(self) -> None:
        """Send greetings to the processes of other zones that watch the store."""
        self._send_brief_greeting(self.fleet.other_watchers())

    def greet_zone(self) -> int:
        """Send greetings to all processes of this zone, and return how many these are."""
        members = self.fleet.zone_members()
        self._send_brief_greeting(members)
        return len(members)

    def request_greeting(self, member: FleetMember) -> None:
        """Send a greeting that a member answers, to learn how long its messages take."""
        self._send_brief_greeting([member], wants_answer=True)

    def _send_brief_greeting(
        self, members: list[FleetMember], *, wants_answer: bool = False
    ) -> None:
        if members:
            greeting = SendGreeting(
                targets=tuple(members), wants_answer=wants_answer, only_news=True
            )
            self._greet([greeting])

    def announce(self, **changes: object) -> None:
        """Change this process's record and send it immediately."""
        self.fleet.update_own(**changes)
        self.gossip_update()

    def send_load(self, address: str, report: LoadReport, *, to_other_zones: bool) -> None:
        """Send a load report to the zone's routers, and through one router to each other zone."""
        routers = self.fleet.zone_routers()
        self.send_note(LoadNote(address=address, report=report), [r.address for r in routers])
        if to_other_zones:
            self._reports_relayed += 1
            relays = self.fleet.report_relays(turn=self._reports_relayed)
            note = LoadNote(address=address, report=report, relay=True)
            self.send_note(note, [r.address for r in relays])

    def send_note(self, note: Note, addresses: Iterable[str]) -> None:
        """Send a note to processes at some addresses."""
        data = encode_note(note)
        for address in addresses:
            self._send(data, address)

    def _send(self, data: bytes, address: str) -> None:
        self._transport.sendto(data, (address, self._settings.gossip_port))

    def _greet(self, commands: Iterable[SendGreeting]) -> None:
        for command in commands:
            greeting = self.fleet.build_greeting(command, self.revisions())
            data = encode_note(GreetingNote(greeting=greeting))
            for member in command.targets:
                self._send(data, member.address)

    def _greet_seeds(self) -> None:
        greeting = self.fleet.build_greeting(
            SendGreeting(targets=(), wants_answer=True), self.revisions()
        )
        data = encode_note(GreetingNote(greeting=greeting))
        for seed in self._settings.seed_addresses:
            if seed != self._settings.address:
                self._send(data, seed)

    def _handle_datagram(self, data: bytes) -> None:
        try:
            note = decode_note(data)
        except NoteMalformedError as error:
            log_event("fleet:datagram_malformed", error=str(error))
            return
        self._handle_note(note)

    @singledispatchmethod
    def _handle_note(self, note: Note) -> None:
        raise TypeError(f"fleet got unexpected note {note!r}")

    @_handle_note.register
    def _handle_load(self, note: LoadNote) -> None:
        for on_load in self.on_load:
            on_load(note.address, note.report)
        if note.relay:
            self._load_relay.add(LoadNote(address=note.address, report=note.report))

    @_handle_note.register
    def _handle_loads(self, note: LoadsNote) -> None:
        for load in note.loads:
            for on_load in self.on_load:
                on_load(load.address, load.report)

    @_handle_note.register
    def _handle_news(self, note: NewsNote) -> None:
        for on_news in self.on_news:
            on_news(note)

    @_handle_note.register
    def _handle_greeting(self, note: GreetingNote) -> None:
        greeting = note.greeting
        self._greet(self.fleet.handle_greeting(greeting, now_seconds=time.monotonic()))
        self._log_changes()
        if self.fleet.take_lost_store():
            for on_store_lost in self.on_store_lost:
                on_store_lost()
        self.eras.hear(greeting.revisions.era, source=greeting.sender.instance_id)
        for on_revisions in self.on_revisions:
            on_revisions(greeting.sender, greeting.revisions)

    def _log_changes(self) -> None:
        for member in self.fleet.take_changed():
            log_event(_HEALTH_EVENTS[member.health], member=member.instance_id, zone=member.zone)

    @Service.task
    async def _gossip(self) -> None:
        started = gossiped = time.monotonic()
        period = 0.0
        while not self.should_stop:
            now = time.monotonic()
            self._greet(self.fleet.advance(now_seconds=now))
            self._log_changes()
            joining = now - started < JOIN_SECONDS
            if joining or now - gossiped >= period:
                gossiped = now
                period = GREETING_SECONDS * (0.8 + 0.4 * self._rng.random())
                if not self.fleet.live_members():
                    self._greet_seeds()
                self._greet(self.fleet.gossip(now_seconds=now))
            await self.sleep(JOIN_GREETING_SECONDS if joining else TICK_SECONDS)

    @Service.task
    async def _register(self) -> None:
        """Register with the store, again after each restore, and add the listed members."""
        while not self.should_stop:
            self._entry_lost.clear()
            try:
                self.eras.hear(await self._store.register(self.fleet.own), source="store")
                for member in await self._store.list_members():
                    self.fleet.add_listed(member, now_seconds=time.monotonic())
                self._greet([msgspec.structs.replace(self.fleet.announcement(), wants_answer=True)])
            except BackendError as error:
                log_event("fleet:registration_failed", error=str(error))
                await self.sleep(REGISTER_RETRY_SECONDS * (0.5 + self._rng.random()))
            else:
                self._joined.set()
                await self._entry_lost.wait()
                await self.sleep(RENEWAL_SPREAD_SECONDS * self._rng.random())

    def _handle_restored_store(self) -> None:
        """Tell the others that the store came back from a copy, and register again."""
        self._entry_lost.set()
        self.gossip_update()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "own": msgspec.to_builtins(self.fleet.own),
            "live": [member.instance_id for member in self.live_members()],
        }
