"""Keep configuration and membership of one process."""

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
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport._rpc import ChannelPool

GOSSIP_TIMEOUT_SECONDS = 1.0
FETCH_TIMEOUT_SECONDS = 2.0
CONFIGURATION_TICK_SECONDS = 0.5
LIST_SECONDS = 10.0
FIRST_LIST_SECONDS = 1.0
WATCH_RETRY_SECONDS = 0.5
WATCH_RETRY_LIMIT_SECONDS = 10.0
# The members wait at most this long for the word that a process is leaving.
LEAVE_SECONDS = 1.0


class ControlService(Service):
    """Own the membership and configuration aggregates and carry out their commands."""

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
        self._jobs: set[asyncio.Task[None]] = set()

    def set_facts(self, facts: Facts) -> None:
        """Gossip what this process serves."""
        self._tell_membership(FactsChanged(facts=facts))

    def set_load(self, load: LoadReport) -> None:
        """Gossip the load of this process's endpoint."""
        self._tell_membership(LoadReported(load=load))

    async def leave(self) -> None:
        """Tell the members that this process gets no new work."""
        self._tell_membership(Leave())
        deadline_seconds = time.monotonic() + LEAVE_SECONDS
        while time.monotonic() < deadline_seconds:
            await asyncio.sleep(TICK_SECONDS)
            self._tell_membership(MembershipTick())

    async def on_start(self) -> None:
        """Join by the seeds of the settings before the instance list answers."""
        self._tell_membership(SeedsListed(seeds=self._seeds))
        self._members_changed()

    async def on_stop(self) -> None:
        """End the watch and the requests in progress."""
        if self._watch is not None:
            self._watch.cancel()
        for job in list(self._jobs):
            job.cancel()

    @Service.task
    async def _tick_membership(self) -> None:
        while not self.should_stop:
            self._tell_membership(MembershipTick())
            await self.sleep(TICK_SECONDS)

    @Service.task
    async def _tick_configuration(self) -> None:
        while not self.should_stop:
            self._tell_configuration(ConfigurationTick())
            await self.sleep(CONFIGURATION_TICK_SECONDS)

    @Service.task
    async def _read_list(self) -> None:
        delay_seconds = FIRST_LIST_SECONDS
        while not self.should_stop and self._instance_list is not None:
            try:
                self.listed = tuple(await self._instance_list.instances())
                seeds = [
                    Seed(instance_id=i.instance_id, zone=i.zone, address=i.address)
                    for i in self.listed
                ]
                self._tell_membership(SeedsListed(seeds=(*self._seeds, *seeds)))
            except BackendError as error:
                log_message("control:list_failed", error=type(error).__name__)
            await self.sleep(delay_seconds * (0.5 + self._rng.random()))
            delay_seconds = min(delay_seconds * 2, LIST_SECONDS)

    def gossip_received(self, message: pb.GossipMessage) -> None:
        """Take a gossip message from a peer."""
        try:
            body = decode_gossip(message.payload)
        except GossipMalformedError as error:
            log_message("control:gossip_malformed", sender=message.sender, error=str(error))
            return
        generation = Generation(message.generation)
        self._tell_membership(GossipReceived(body=body, generation=generation))

    def configuration_reply(self, request: pb.ConfigurationRequest) -> pb.ConfigurationReply:
        """Answer a peer that asks for the index or for parts."""
        in_force = self.configuration.configuration
        reply = pb.ConfigurationReply(generation=self.configuration.generation)
        if in_force is not None:
            reply.index = in_force.index.to_json()
        for digest in request.wanted_digests:
            content = self.configuration.get_part(Digest(digest))
            if content is not None:
                reply.parts.add(digest=digest, content=content)
        return reply

    def _tell_membership(self, message: MembershipMessage) -> None:
        for command in self.membership.handle(message, now_seconds=time.monotonic()):
            self._obey_membership(command)

    def _tell_configuration(self, message: ConfigurationMessage) -> None:
        for command in self.configuration.handle(message, now_seconds=time.monotonic()):
            self._obey_configuration(command)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        job = asyncio.create_task(work)
        self._jobs.add(job)
        job.add_done_callback(self._jobs.discard)

    @singledispatchmethod
    def _obey_membership(self, command: MembershipCommand) -> None:
        raise TypeError(f"control got unexpected command {command!r}")

    @_obey_membership.register
    def _send_gossip(self, command: SendGossip) -> None:
        self._spawn(self._gossip(command))

    async def _gossip(self, command: SendGossip) -> None:
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

    @_obey_membership.register
    def _on_members_changed(self, command: MembersChanged) -> None:
        self._members_changed()

    @_obey_membership.register
    def _on_summary(self, command: ZoneSummaryChanged) -> None:
        for listener in self.on_members:
            listener()

    @_obey_membership.register
    def _on_peer_generation(self, command: PeerGenerationReceived) -> None:
        message = PeerGeneration(peer=command.peer, generation=command.generation)
        self._tell_configuration(message)

    @_obey_membership.register
    def _on_paused(self, command: PauseDetected) -> None:
        log_message("control:paused", paused_seconds=command.paused_seconds)
        for listener in self.on_pause:
            listener()

    def _members_changed(self) -> None:
        own = self.membership.own.instance_id
        members = (own, *(member.instance_id for member in self.membership.members()))
        self._tell_configuration(ZoneMembersChanged(members=members))
        for listener in self.on_members:
            listener()

    @singledispatchmethod
    def _obey_configuration(self, command: ConfigurationCommand) -> None:
        raise TypeError(f"control got unexpected command {command!r}")

    @_obey_configuration.register
    def _request_index(self, command: RequestIndex) -> None:
        self._spawn(self._fetch_index(command.source))

    @_obey_configuration.register
    def _request_parts(self, command: RequestParts) -> None:
        self._spawn(self._fetch_parts(command))

    @_obey_configuration.register
    def _apply(self, command: ApplyConfiguration) -> None:
        configuration = command.configuration
        log_message("control:configuration_applied", generation=configuration.generation)
        for listener in self.on_configuration:
            listener(configuration)

    @_obey_configuration.register
    def _report(self, command: AnnounceGeneration) -> None:
        self._tell_membership(GenerationActivated(generation=command.generation))

    @_obey_configuration.register
    def _rejected(self, command: RejectGeneration) -> None:
        log_message("control:generation_rejected", **msgspec.structs.asdict(command))

    @_obey_configuration.register
    def _start_watch(self, command: StartWatch) -> None:
        if self._watch is None:
            self._watch = asyncio.create_task(self._watch_index())

    @_obey_configuration.register
    def _stop_watch(self, command: StopWatch) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def _watch_index(self) -> None:
        delay_seconds = WATCH_RETRY_SECONDS
        seen_version = 0
        while True:
            try:
                async for stored in self._store.watch(INDEX_KEY, after_version=seen_version):
                    seen_version = stored.version
                    delay_seconds = WATCH_RETRY_SECONDS
                    self._index_stored(stored)
            except BackendError as error:
                log_message("control:watch_broken", error=type(error).__name__)
                self._tell_configuration(StoreUnresponsive())
            # Watches of many zones broke together, so they must not come back together.
            await asyncio.sleep(delay_seconds * (0.5 + self._rng.random()))
            delay_seconds = min(delay_seconds * 2, WATCH_RETRY_LIMIT_SECONDS)
            # The store may have been restored to an older version, so the watch starts anew.
            seen_version = 0

    def _index_stored(self, stored: StoredObject) -> None:
        try:
            index = ConfigurationIndex.from_json(stored.content)
        except ConfigurationError as error:
            log_message("control:index_malformed", error=str(error))
            return
        self._tell_configuration(IndexReceived(index=index, source=STORE_SOURCE))

    async def _fetch_index(self, source: InstanceId) -> None:
        try:
            if source == STORE_SOURCE:
                content = (await self._store.get(INDEX_KEY)).content
            else:
                content = (await self._ask_peer(source, ())).index
            index = ConfigurationIndex.from_json(content)
        except (BackendError, ConfigurationError, grpc.aio.AioRpcError):
            self._tell_configuration(IndexFailed(source=source))
            return
        self._tell_configuration(IndexReceived(index=index, source=source))

    async def _fetch_parts(self, command: RequestParts) -> None:
        source = command.source
        missing = set(command.digests)
        try:
            if source == STORE_SOURCE:
                for digest in command.digests:
                    stored = await self._store.get(PART_KEY_PREFIX + digest)
                    self._part_arrived(digest, stored.content, source, missing)
            else:
                reply = await self._ask_peer(source, command.digests)
                for part in reply.parts:
                    self._part_arrived(Digest(part.digest), part.content, source, missing)
        except (BackendError, grpc.aio.AioRpcError) as error:
            log_message("control:parts_failed", source=source, error=type(error).__name__)
        if missing:
            self._tell_configuration(PartsFailed(source=source))

    def _part_arrived(
        self, digest: Digest, content: bytes, source: InstanceId, missing: set[Digest]
    ) -> None:
        missing.discard(digest)
        message = PartReceived(digest=digest, content=content, source=source)
        self._tell_configuration(message)

    async def _ask_peer(
        self, peer: InstanceId, digests: tuple[Digest, ...]
    ) -> pb.ConfigurationReply:
        address = self._address_of(peer)
        stub = pb_grpc.PeersStub(self._channels.channel(address))
        request = pb.ConfigurationRequest(
            known_generation=self.configuration.generation, wanted_digests=digests
        )
        reply: pb.ConfigurationReply = await stub.FetchConfiguration(
            request, metadata=self._channels.metadata, timeout=FETCH_TIMEOUT_SECONDS
        )
        return reply

    def _address_of(self, peer: InstanceId) -> str:
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
    """A peer left the view before it could be asked."""
