"""Run the membership and the configuration of one process."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Any

import grpc
import msgspec
from eliot import log_message
from mode import Service

from egretrouter.backends import InstanceList, ListedInstance, ObjectStore, StoredObject
from egretrouter.core.configuration import (
    INDEX_KEY,
    PART_KEY_PREFIX,
    STORE_SOURCE,
    AnnounceGeneration,
    ApplyConfiguration,
    Configuration,
    ConfigurationCommand,
    ConfigurationError,
    ConfigurationIndex,
    ConfigurationMessage,
    ConfigurationState,
    IndexFailed,
    IndexReceived,
    PartReceived,
    PartsFailed,
    PeerGeneration,
    RejectGeneration,
    RequestIndex,
    RequestParts,
    StartWatch,
    StopWatch,
    StoreUnresponsive,
    ZoneMembersChanged,
)
from egretrouter.core.configuration import Tick as ConfigurationTick
from egretrouter.core.eras import FIRST_ERA
from egretrouter.core.errors import BackendError
from egretrouter.core.identifiers import Digest, Generation, InstanceId
from egretrouter.core.membership import (
    TICK_SECONDS,
    Facts,
    FactsChanged,
    GenerationActivated,
    GossipMalformedError,
    GossipReceived,
    Leave,
    LoadReport,
    LoadReported,
    Member,
    MembersChanged,
    Membership,
    MembershipCommand,
    MembershipMessage,
    PauseDetected,
    PeerGenerationReceived,
    Seed,
    SeedsListed,
    SendGossip,
    ZoneSummaryChanged,
    decode_gossip,
    encode_gossip,
)
from egretrouter.core.membership import Tick as MembershipTick
from egretrouter.daemons._write_back import write_back
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport import ChannelPool, DeflatedContents, inflate

GOSSIP_TIMEOUT_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 2.0
MAX_DEFLATED_PARTS = 32
CONFIGURATION_TICK_SECONDS = 0.5
LIST_SECONDS = 10.0
FIRST_LIST_SECONDS = 1.0
WATCH_RETRY_SECONDS = 0.5
WATCH_RETRY_LIMIT_SECONDS = 10.0
# A leaving process gossips for this time before it stops, so that the members receive the update.
LEAVE_SECONDS = 1.0


class ControlService(Service):
    """Run the membership and configuration state machines and execute their commands."""

    def __init__(
        self,
        *,
        own: Member,
        store: ObjectStore,
        instance_list: InstanceList | None,
        seeds: tuple[Seed, ...],
        channels: ChannelPool,
        rng: random.Random,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.membership = Membership(own=own, rng=rng)
        self.configuration = ConfigurationState(instance_id=own.instance_id, zone=own.zone, rng=rng)
        self.listed: tuple[ListedInstance, ...] = ()
        self.on_configuration: list[Callable[[Configuration], None]] = []
        self.on_members: list[Callable[[], None]] = []
        self.on_pause: list[Callable[[], None]] = []
        self._store = store
        self._instance_list = instance_list
        self._seeds = seeds
        self._channels = channels
        self._rng = rng
        self._watch: asyncio.Task[None] | None = None
        self._deflated_parts = DeflatedContents(max_contents=MAX_DEFLATED_PARTS)
        self._background_tasks: set[asyncio.Task[None]] = set()

    def set_facts(self, facts: Facts) -> None:
        """Gossip what this process serves."""
        self._dispatch_to_membership(FactsChanged(facts=facts))

    def set_load(self, load: LoadReport) -> None:
        """Gossip the load of this process's endpoint."""
        self._dispatch_to_membership(LoadReported(load=load))

    async def leave(self) -> None:
        """Announce to the members that this process accepts no new work."""
        self._dispatch_to_membership(Leave())
        deadline_seconds = time.monotonic() + LEAVE_SECONDS
        while time.monotonic() < deadline_seconds:
            await asyncio.sleep(TICK_SECONDS)
            self._dispatch_to_membership(MembershipTick())

    async def on_start(self) -> None:
        """Join through the seeds of the settings, before the instance list answers."""
        self._dispatch_to_membership(SeedsListed(seeds=self._seeds))
        self._publish_members()

    async def on_stop(self) -> None:
        """End the watch and the requests in progress."""
        if self._watch is not None:
            self._watch.cancel()
        for task in list(self._background_tasks):
            task.cancel()

    @Service.task
    async def _tick_membership(self) -> None:
        while not self.should_stop:
            self._dispatch_to_membership(MembershipTick())
            await self.sleep(TICK_SECONDS)

    @Service.task
    async def _tick_configuration(self) -> None:
        while not self.should_stop:
            self._dispatch_to_configuration(ConfigurationTick())
            await self.sleep(CONFIGURATION_TICK_SECONDS)

    @Service.task
    async def _read_instance_list(self) -> None:
        delay_seconds = FIRST_LIST_SECONDS
        while not self.should_stop and self._instance_list is not None:
            try:
                self.listed = tuple(await self._instance_list.instances())
                seeds = [
                    Seed(instance_id=i.instance_id, zone=i.zone, address=i.address)
                    for i in self.listed
                ]
                self._dispatch_to_membership(SeedsListed(seeds=(*self._seeds, *seeds)))
            except BackendError as error:
                log_message("control:list_failed", error=type(error).__name__)
            await self.sleep(delay_seconds * (0.5 + self._rng.random()))
            delay_seconds = min(delay_seconds * 2, LIST_SECONDS)

    def handle_gossip(self, message: pb.GossipMessage) -> None:
        """Process a gossip message from a peer."""
        try:
            body = decode_gossip(message.payload)
        except GossipMalformedError as error:
            log_message("control:gossip_malformed", sender=message.sender, error=str(error))
            return
        generation = Generation(message.generation)
        self._dispatch_to_membership(GossipReceived(body=body, generation=generation))

    def build_configuration_reply(self, request: pb.ConfigurationRequest) -> pb.ConfigurationReply:
        """Return the index and the requested parts to a peer."""
        active_configuration = self.configuration.configuration
        reply = pb.ConfigurationReply(generation=self.configuration.generation)
        if active_configuration is not None:
            reply.index = active_configuration.index.to_json()
        for digest in request.wanted_digests:
            content = self.configuration.get_part(Digest(digest))
            if content is not None:
                reply.parts.append(self._build_part(digest, content, request.accepts_deflate))
        return reply

    def _build_part(self, digest: str, content: bytes, deflated: bool) -> pb.ConfigurationPart:
        if deflated:
            content = self._deflated_parts.get(digest, lambda: content)
        return pb.ConfigurationPart(digest=digest, content=content, deflated=deflated)

    def _dispatch_to_membership(self, message: MembershipMessage) -> None:
        for command in self.membership.handle(message, now_seconds=time.monotonic()):
            self._execute_membership_command(command)

    def _dispatch_to_configuration(self, message: ConfigurationMessage) -> None:
        for command in self.configuration.handle(message, now_seconds=time.monotonic()):
            self._execute_configuration_command(command)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    @singledispatchmethod
    def _execute_membership_command(self, command: MembershipCommand) -> None:
        raise TypeError(f"control got unexpected command {command!r}")

    @_execute_membership_command.register
    def _send_gossip(self, command: SendGossip) -> None:
        self._spawn(self._deliver_gossip(command))

    async def _deliver_gossip(self, command: SendGossip) -> None:
        stub = pb_grpc.PeersStub(self._channels.channel(command.address))
        message = pb.GossipMessage(
            sender=self.membership.own.instance_id,
            payload=encode_gossip(command.body),
            generation=command.generation,
        )
        with contextlib.suppress(grpc.aio.AioRpcError):
            await stub.Gossip(
                message, metadata=self._channels.metadata, timeout=GOSSIP_TIMEOUT_SECONDS
            )

    @_execute_membership_command.register
    def _handle_members_changed(self, command: MembersChanged) -> None:
        self._publish_members()

    @_execute_membership_command.register
    def _handle_summary_changed(self, command: ZoneSummaryChanged) -> None:
        for listener in self.on_members:
            listener()

    @_execute_membership_command.register
    def _handle_peer_generation(self, command: PeerGenerationReceived) -> None:
        message = PeerGeneration(peer=command.peer, generation=command.generation)
        self._dispatch_to_configuration(message)

    @_execute_membership_command.register
    def _handle_pause_detected(self, command: PauseDetected) -> None:
        log_message("control:paused", paused_seconds=command.paused_seconds)
        for listener in self.on_pause:
            listener()

    def _publish_members(self) -> None:
        own = self.membership.own.instance_id
        members = (own, *(member.instance_id for member in self.membership.members()))
        self._dispatch_to_configuration(
            ZoneMembersChanged(members=members, is_isolated=self.membership.is_isolated)
        )
        for listener in self.on_members:
            listener()

    @singledispatchmethod
    def _execute_configuration_command(self, command: ConfigurationCommand) -> None:
        raise TypeError(f"control got unexpected command {command!r}")

    @_execute_configuration_command.register
    def _request_index(self, command: RequestIndex) -> None:
        self._spawn(self._fetch_index(command.source))

    @_execute_configuration_command.register
    def _request_parts(self, command: RequestParts) -> None:
        self._spawn(self._fetch_parts(command))

    @_execute_configuration_command.register
    def _apply_configuration(self, command: ApplyConfiguration) -> None:
        configuration = command.configuration
        log_message("control:configuration_applied", generation=configuration.generation)
        for listener in self.on_configuration:
            listener(configuration)

    @_execute_configuration_command.register
    def _announce_generation(self, command: AnnounceGeneration) -> None:
        self._dispatch_to_membership(GenerationActivated(generation=command.generation))

    @_execute_configuration_command.register
    def _log_rejection(self, command: RejectGeneration) -> None:
        log_message("control:generation_rejected", **msgspec.structs.asdict(command))

    @_execute_configuration_command.register
    def _start_watch(self, command: StartWatch) -> None:
        if self._watch is None:
            self._watch = asyncio.create_task(self._watch_index())

    @_execute_configuration_command.register
    def _stop_watch(self, command: StopWatch) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def _watch_index(self) -> None:
        delay_seconds = WATCH_RETRY_SECONDS
        last_version = 0
        while True:
            try:
                async for stored in self._store.watch(INDEX_KEY, after_version=last_version):
                    last_version = stored.version
                    delay_seconds = WATCH_RETRY_SECONDS
                    self._handle_stored_index(stored)
            except BackendError as error:
                log_message("control:watch_broken", error=type(error).__name__)
                self._dispatch_to_configuration(StoreUnresponsive())
            # The watches of many zones break at the same time, so their retries are spread out.
            await asyncio.sleep(delay_seconds * (0.5 + self._rng.random()))
            delay_seconds = min(delay_seconds * 2, WATCH_RETRY_LIMIT_SECONDS)
            # The store may have been restored to an older version, so the watch starts over.
            last_version = 0

    def _handle_stored_index(self, stored: StoredObject) -> None:
        try:
            index = ConfigurationIndex.from_json(stored.content)
        except ConfigurationError as error:
            log_message("control:index_malformed", error=str(error))
            return
        self._dispatch_to_configuration(IndexReceived(index=index, source=STORE_SOURCE))
        applied = self.configuration.configuration
        was_restored = self._store.era > FIRST_ERA
        if was_restored and applied is not None and index.generation < applied.generation:
            get_part = self.configuration.get_part
            self._spawn(write_back(self._store, applied.index, get_part=get_part, rng=self._rng))

    async def _fetch_index(self, source: InstanceId) -> None:
        try:
            if source == STORE_SOURCE:
                content = (await self._store.get(INDEX_KEY)).content
            else:
                content = (await self._request_from_peer(source, ())).index
            index = ConfigurationIndex.from_json(content)
        except (BackendError, ConfigurationError, grpc.aio.AioRpcError):
            self._dispatch_to_configuration(IndexFailed(source=source))
            return
        self._dispatch_to_configuration(IndexReceived(index=index, source=source))

    async def _fetch_parts(self, command: RequestParts) -> None:
        source = command.source
        missing = set(command.digests)
        try:
            if source == STORE_SOURCE:
                for digest in command.digests:
                    stored = await self._store.get(PART_KEY_PREFIX + digest)
                    self._dispatch_part(digest, stored.content, source, missing)
            else:
                reply = await self._request_from_peer(source, command.digests)
                for part in reply.parts:
                    content = inflate(part.content) if part.deflated else part.content
                    self._dispatch_part(Digest(part.digest), content, source, missing)
        except (BackendError, grpc.aio.AioRpcError) as error:
            log_message("control:parts_failed", source=source, error=type(error).__name__)
        if missing:
            self._dispatch_to_configuration(PartsFailed(source=source))

    def _dispatch_part(
        self, digest: Digest, content: bytes, source: InstanceId, missing: set[Digest]
    ) -> None:
        missing.discard(digest)
        message = PartReceived(digest=digest, content=content, source=source)
        self._dispatch_to_configuration(message)

    async def _request_from_peer(
        self, peer: InstanceId, digests: tuple[Digest, ...]
    ) -> pb.ConfigurationReply:
        address = self._find_address(peer)
        stub = pb_grpc.PeersStub(self._channels.channel(address))
        request = pb.ConfigurationRequest(
            known_generation=self.configuration.generation,
            wanted_digests=digests,
            accepts_deflate=True,
        )
        reply: pb.ConfigurationReply = await stub.FetchConfiguration(
            request, metadata=self._channels.metadata, timeout=FETCH_TIMEOUT_SECONDS
        )
        return reply

    def _find_address(self, peer: InstanceId) -> str:
        for member in self.membership.members():
            if member.instance_id == peer:
                return member.address
        for summary in self.membership.summaries(now_seconds=time.monotonic()):
            for instance_id, address in summary.contacts:
                if instance_id == peer:
                    return address
        for listed in self.listed:
            if listed.instance_id == peer:
                return listed.address
        raise PeerAddressUnknownError(f"the address of peer {peer!r} is unknown")

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "membership": self.membership.snapshot(),
            "configuration": self.configuration.snapshot(),
            "listed_instances": len(self.listed),
        }


class PeerAddressUnknownError(BackendError):
    """A peer left the membership before a request could be sent to it."""
