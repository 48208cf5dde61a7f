"""Carry out the copies of weights of one agent."""

import asyncio
import hashlib
import random
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from functools import singledispatchmethod
from typing import Any

import grpc
import msgspec
from eliot import log_message
from mode import Service

from egretrouter.backends import WeightSource
from egretrouter.core.errors import (
    BackendError,
    ManifestMismatchError,
    ObjectMissingError,
    RateLimitedError,
    WeightsError,
)
from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId
from egretrouter.core.membership import rendezvous_weight
from egretrouter.core.rollout import VersionReference
from egretrouter.core.weights import (
    ORIGIN,
    AllowanceAsked,
    AllowanceReceived,
    Announce,
    AnswerOwner,
    AskAllowance,
    AskOwner,
    Busy,
    CancelFetch,
    ChunkArrived,
    ChunkFailed,
    ChunkMemory,
    ChunkRequested,
    CopyCommand,
    CopyCompleted,
    CopyHalted,
    CopyMessage,
    CopySettings,
    FailureReason,
    FetchChunk,
    FetchManifest,
    GiveAllowance,
    LinkShares,
    Loaded,
    Manifest,
    ManifestArrived,
    Missing,
    OriginAllowance,
    OwnerAnswered,
    OwnerAsked,
    Peer,
    PeerAnnounced,
    PeersChanged,
    QuarantineSource,
    RefuseChunk,
    SendChunk,
    Superseded,
    Tick,
    Unavailable,
    UploadEnded,
    VerifyWhole,
    WeightCopy,
    WholeVerified,
)
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.daemons._rpc import ChannelPool
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc

TICK_SECONDS = 0.1
NOTICE_TIMEOUT_SECONDS = 2.0
CHUNK_TIMEOUT_SECONDS = 60.0
MANIFEST_TIMEOUT_SECONDS = 5.0
MANIFEST_RETRY_SECONDS = 0.3
MANIFEST_PEERS = 3
# The best-ranked agent reads the manifest from the origin at once, each later rank after this.
MANIFEST_FALLBACK_SECONDS = 2.0


class CopyPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Name an agent that takes part in copies, and its address."""

    peer: Peer
    address: str


class _RunningCopy:
    """Hold one copy with the tasks of its fetches."""

    def __init__(self, version: VersionReference, manifest: Manifest, copy: WeightCopy) -> None:
        self.version = version
        self.manifest = manifest
        self.copy = copy
        self.fetches: dict[tuple[InstanceId, ChunkIndex], asyncio.Task[None]] = {}
        self.uploads: dict[tuple[InstanceId, ChunkIndex], asyncio.Future[CopyCommand]] = {}
        offsets = [0]
        for chunk in manifest.chunks:
            offsets.append(offsets[-1] + chunk.length_bytes)
        self.offsets = offsets


class CopyService(Service):
    """Own the copies, the chunk memory and the origin allowance of one agent."""

    def __init__(
        self,
        *,
        own: Peer,
        memory: ChunkMemory,
        allowance: OriginAllowance,
        links: LinkShares | None,
        settings: CopySettings,
        origin: WeightSource,
        weight_store: WeightSource | None,
        channels: ChannelPool,
        metrics: AgentMetrics,
        rng: random.Random,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.own = own
        self.memory = memory
        self.allowance = allowance
        self.settings = settings
        self.on_ready: Callable[[Digest], None] = lambda _: None
        self.on_failed: Callable[[Digest, str], None] = lambda _, __: None
        self._links = links
        self._origin = origin
        self._weight_store = weight_store
        self._channels = channels
        self._metrics = metrics
        self._rng = rng
        self._peers: dict[InstanceId, CopyPeer] = {}
        self._copies: dict[Digest, _RunningCopy] = {}
        self._manifests: dict[Digest, bytes] = {}
        self._preparing: dict[Digest, asyncio.Task[None]] = {}
        self._jobs: set[asyncio.Task[Any]] = set()

    def set_peers(self, peers: Iterable[CopyPeer]) -> None:
        """Learn which agents take part in copies."""
        self._peers = {
            p.peer.instance_id: p for p in peers if p.peer.instance_id != self.own.instance_id
        }
        zone = [p.peer.instance_id for p in self._peers.values() if p.peer.zone == self.own.zone]
        self.allowance.set_members(zone, now_seconds=time.monotonic())
        for digest in list(self._copies):
            self._tell(digest, self._peers_message())

    def zone_peers(self) -> int:
        """Return how many other agents of the zone take part in copies."""
        return sum(p.peer.zone == self.own.zone for p in self._peers.values())

    def start_copy(self, version: VersionReference) -> None:
        """Copy a version; on_ready or on_failed tells how it ended."""
        digest = version.manifest_digest
        if digest in self._copies or digest in self._preparing:
            return
        self._preparing[digest] = asyncio.create_task(self._prepare(version))

    def abandon(self, digest: Digest) -> None:
        """Stop copying a version that is no longer wanted."""
        preparing = self._preparing.pop(digest, None)
        if preparing is not None:
            preparing.cancel()
        self._tell(digest, Superseded())
        self._end(digest)

    def loaded(self, digest: Digest) -> None:
        """Learn that the engine runs a version."""
        self._tell(digest, Loaded())

    def manifest(self, digest: Digest) -> Manifest | None:
        """Return the manifest of a copy."""
        running = self._copies.get(digest)
        return running.manifest if running else None

    def manifest_content(self, digest: Digest) -> bytes:
        """Return a manifest for a peer, empty if it is not known."""
        return self._manifests.get(digest, b"")

    async def content(self, digest: Digest) -> AsyncIterator[bytes]:
        """Yield the verified chunks of a version in order, for the engine."""
        for content in self.memory.contents(digest):
            yield content

    async def on_stop(self) -> None:
        """Cancel every fetch."""
        for digest in list(self._copies):
            self._end(digest)
        for task in [*self._preparing.values(), *self._jobs]:
            task.cancel()

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            for digest in list(self._copies):
                self._tell(digest, Tick())
            await self.sleep(TICK_SECONDS)

    async def _prepare(self, version: VersionReference) -> None:
        digest = version.manifest_digest
        try:
            content = await self._find_manifest(version)
            manifest = Manifest.from_json(content, pinned_digest=digest)
            copy = WeightCopy(
                manifest=manifest,
                pinned_digest=digest,
                own=self.own,
                memory=self.memory,
                allowance=self.allowance,
                settings=self.settings,
                random=random.Random(self._rng.random()),
                links=self._links,
            )
        except WeightsError as error:
            log_message("agent:copy_refused", digest=digest, error=str(error))
            self.on_failed(digest, str(error))
            return
        finally:
            self._preparing.pop(digest, None)
        self._manifests[digest] = content
        self._copies[digest] = _RunningCopy(version, manifest, copy)
        log_message("agent:copy_started", digest=digest, weight_bytes=manifest.weight_bytes)
        self._tell(digest, self._peers_message())

    async def _find_manifest(self, version: VersionReference) -> bytes:
        """Read the manifest from a peer, or from the origin when this agent's turn comes."""
        digest = version.manifest_digest
        ranked = self._ranked_peers(digest)
        rank = sum(1 for weight, _ in ranked if weight > self._weight(digest))
        turn_seconds = time.monotonic() + rank * MANIFEST_FALLBACK_SECONDS
        while True:
            for _, peer in ranked[:MANIFEST_PEERS]:
                content = await self._manifest_from_peer(peer, digest)
                if content:
                    return content
            if time.monotonic() >= turn_seconds:
                offered = await self._manifest_from_origin(version)
                if offered is not None:
                    return offered
            await asyncio.sleep(MANIFEST_RETRY_SECONDS * (0.5 + self._rng.random()))
            ranked = self._ranked_peers(digest)

    def _weight(self, digest: Digest) -> int:
        return rendezvous_weight(f"manifest/{digest}", self.own.instance_id)

    def _ranked_peers(self, digest: Digest) -> list[tuple[int, CopyPeer]]:
        near = [p for p in self._peers.values() if p.peer.zone == self.own.zone]
        weighed = [(rendezvous_weight(f"manifest/{digest}", p.peer.instance_id), p) for p in near]
        return sorted(weighed, key=lambda entry: -entry[0])

    async def _manifest_from_peer(self, peer: CopyPeer, digest: Digest) -> bytes:
        stub = pb_grpc.PeersStub(self._channels.channel(peer.address))
        try:
            reply = await stub.FetchManifest(
                pb.ManifestRequest(manifest_digest=digest),
                metadata=self._channels.metadata,
                timeout=MANIFEST_TIMEOUT_SECONDS,
            )
        except grpc.aio.AioRpcError:
            return b""
        content: bytes = reply.manifest
        try:
            Manifest.from_json(content, pinned_digest=digest)
        except ManifestMismatchError:
            return b""
        return content

    async def _manifest_from_origin(self, version: VersionReference) -> bytes | None:
        try:
            content = await self._origin.manifest(version.model, version.version)
        except ObjectMissingError as error:
            raise ManifestMismatchError(str(error)) from error
        except BackendError as error:
            log_message("agent:manifest_failed", error=type(error).__name__)
            return None
        self._metrics.origin_bytes.add({"kind": "manifest"}, len(content))
        return content

    def _peers_message(self) -> PeersChanged:
        return PeersChanged(peers=tuple(p.peer for p in self._peers.values()))

    def _tell(self, digest: Digest, message: CopyMessage) -> None:
        running = self._copies.get(digest)
        if running is None:
            return
        for command in running.copy.handle(message, now_seconds=time.monotonic()):
            self._obey(command, running)

    def _end(self, digest: Digest) -> None:
        running = self._copies.pop(digest, None)
        self._manifests.pop(digest, None)
        if running is not None:
            for task in list(running.fetches.values()):
                task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)
        return task

    def notice_received(self, notice: pb.CopyNotice) -> None:
        """Take a message from another agent's copy."""
        digest = Digest(notice.manifest_digest)
        message = _decode_notice(notice)
        if digest in self._copies and message is not None:
            self._tell(digest, message)
        elif isinstance(message, OwnerAsked):
            # An agent without the copy says so at once, so that the asker need not time out.
            answer = AnswerOwner(peer=message.peer, asked=message.indexes)
            self._notify(digest, answer.peer, _encode_notice(answer))

    async def chunk_requested(self, request: pb.ChunkRequest, context: Any) -> pb.ChunkReply:
        """Send a chunk to a peer, after a delay that keeps to the link's share."""
        digest = Digest(request.manifest_digest)
        peer, index = InstanceId(request.sender), ChunkIndex(request.index)
        running = self._copies.get(digest)
        if running is None or index >= len(running.manifest.chunks):
            return pb.ChunkReply(status=pb.ChunkReply.MISSING)
        decision: asyncio.Future[CopyCommand] = asyncio.get_running_loop().create_future()
        running.uploads[peer, index] = decision
        self._tell(digest, ChunkRequested(peer=peer, index=index))
        running.uploads.pop((peer, index), None)
        command = decision.result() if decision.done() else None
        if not isinstance(command, SendChunk):
            reason = command.reason if isinstance(command, RefuseChunk) else Missing()
            return _refusal(reason)
        ended = UploadEnded(peer=peer, index=index)
        context.add_done_callback(lambda _: self._tell(digest, ended))
        await asyncio.sleep(command.delay_seconds)
        content = self.memory.get(digest, index)
        if content is None:
            return pb.ChunkReply(status=pb.ChunkReply.MISSING)
        return pb.ChunkReply(status=pb.ChunkReply.CONTENT, content=content)

    @singledispatchmethod
    def _obey(self, command: CopyCommand, running: _RunningCopy) -> None:
        raise TypeError(f"agent got unexpected command {command!r}")

    @_obey.register
    def _fetch(self, command: FetchChunk, running: _RunningCopy) -> None:
        key = (command.source, command.index)
        work = self._fetch_chunk(running, command)
        task = running.fetches[key] = self._spawn(work)

        def forget(done: asyncio.Task[None]) -> None:
            if running.fetches.get(key) is done:
                del running.fetches[key]

        task.add_done_callback(forget)

    @_obey.register
    def _cancel(self, command: CancelFetch, running: _RunningCopy) -> None:
        task = running.fetches.pop((command.source, command.index), None)
        if task is not None:
            task.cancel()

    @_obey.register
    def _send(self, command: SendChunk, running: _RunningCopy) -> None:
        decision = running.uploads.get((command.peer, command.index))
        if decision is not None:
            decision.set_result(command)

    @_obey.register
    def _refuse(self, command: RefuseChunk, running: _RunningCopy) -> None:
        decision = running.uploads.get((command.peer, command.index))
        if decision is not None:
            decision.set_result(command)

    @_obey.register
    def _fetch_manifest(self, command: FetchManifest, running: _RunningCopy) -> None:
        self._spawn(self._read_manifest_again(running))

    async def _read_manifest_again(self, running: _RunningCopy) -> None:
        content = await self._manifest_from_origin(running.version)
        if content is not None:
            self._tell(running.version.manifest_digest, ManifestArrived(content=content))

    @_obey.register
    def _announce(self, command: Announce, running: _RunningCopy) -> None:
        notice = _encode_notice(command)
        for peer in command.peers:
            self._notify(running.version.manifest_digest, peer, notice)

    @_obey.register(AskOwner)
    @_obey.register(AnswerOwner)
    @_obey.register(AskAllowance)
    @_obey.register(GiveAllowance)
    def _notify_peer(
        self, command: AskOwner | AnswerOwner | AskAllowance | GiveAllowance, running: _RunningCopy
    ) -> None:
        self._notify(running.version.manifest_digest, command.peer, _encode_notice(command))

    def _notify(self, digest: Digest, peer: InstanceId, notice: pb.CopyNotice) -> None:
        known = self._peers.get(peer)
        if known is not None:
            notice.sender, notice.manifest_digest = self.own.instance_id, digest
            self._spawn(self._send_notice(known.address, notice))

    async def _send_notice(self, address: str, notice: pb.CopyNotice) -> None:
        stub = pb_grpc.PeersStub(self._channels.channel(address))
        try:
            await stub.NotifyCopy(
                notice, metadata=self._channels.metadata, timeout=NOTICE_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError as error:
            log_message("agent:notice_lost", address=address, code=error.code().name)

    @_obey.register
    def _verify(self, command: VerifyWhole, running: _RunningCopy) -> None:
        self._spawn(self._verify_whole(running))

    async def _verify_whole(self, running: _RunningCopy) -> None:
        digest = running.version.manifest_digest
        contents = list(self.memory.contents(digest))
        matches = await asyncio.to_thread(_matches_whole, running.manifest, contents)
        self._tell(digest, WholeVerified(matches=matches))

    @_obey.register
    def _completed(self, command: CopyCompleted, running: _RunningCopy) -> None:
        log_message("agent:copy_completed", digest=running.version.manifest_digest)
        self._metrics.copies.inc({"result": "completed"})
        self.on_ready(running.version.manifest_digest)

    @_obey.register
    def _halted(self, command: CopyHalted, running: _RunningCopy) -> None:
        digest = running.version.manifest_digest
        log_message("agent:copy_halted", digest=digest, error=str(command.error))
        self._metrics.copies.inc({"result": "halted"})
        self.on_failed(digest, str(command.error))

    @_obey.register
    def _quarantined(self, command: QuarantineSource, running: _RunningCopy) -> None:
        log_message(
            "agent:source_quarantined", source=command.source, quarantine_seconds=command.seconds
        )
        self._metrics.corrupted_chunks.inc({"source": "quarantined"})

    async def _fetch_chunk(self, running: _RunningCopy, command: FetchChunk) -> None:
        source, index = command.source, command.index
        fetch = self._from_origin if source == ORIGIN else self._from_peer
        message = await fetch(running, source, index)
        self._tell(running.version.manifest_digest, message)

    async def _from_origin(
        self, running: _RunningCopy, source: InstanceId, index: ChunkIndex
    ) -> CopyMessage:
        version = running.version
        offset, length = running.offsets[index], running.manifest.chunks[index].length_bytes
        for backend in (self._weight_store, self._origin):
            if backend is None:
                continue
            try:
                content = await backend.chunk(
                    version.model, version.version, index, offset=offset, length=length
                )
            except RateLimitedError as error:
                reason: FailureReason = Busy(retry_after_seconds=error.retry_after_seconds)
            except BackendError:
                reason = Unavailable()
            else:
                kind = "weight_store" if backend is self._weight_store else "origin"
                self._metrics.origin_bytes.add({"kind": kind}, len(content))
                return ChunkArrived(source=source, index=index, content=content)
        return ChunkFailed(source=source, index=index, reason=reason)

    async def _from_peer(
        self, running: _RunningCopy, source: InstanceId, index: ChunkIndex
    ) -> CopyMessage:
        known = self._peers.get(source)
        if known is None:
            return ChunkFailed(source=source, index=index, reason=Unavailable())
        stub = pb_grpc.PeersStub(self._channels.channel(known.address))
        request = pb.ChunkRequest(
            sender=self.own.instance_id,
            manifest_digest=running.version.manifest_digest,
            index=index,
        )
        try:
            reply = await stub.FetchChunk(
                request, metadata=self._channels.metadata, timeout=CHUNK_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError:
            return ChunkFailed(source=source, index=index, reason=Unavailable())
        if reply.status == pb.ChunkReply.CONTENT:
            self._metrics.peer_bytes.add({}, len(reply.content))
            return ChunkArrived(source=source, index=index, content=reply.content)
        if reply.status == pb.ChunkReply.BUSY:
            busy = Busy(retry_after_seconds=reply.retry_after_seconds)
            return ChunkFailed(source=source, index=index, reason=busy)
        return ChunkFailed(source=source, index=index, reason=Missing())

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "copies": {digest: r.copy.snapshot() for digest, r in self._copies.items()},
            "preparing": sorted(self._preparing),
            "memory": self.memory.snapshot(),
            "allowance": self.allowance.snapshot(),
            "peers": len(self._peers),
        }


def _matches_whole(manifest: Manifest, contents: list[bytes]) -> bool:
    hasher = hashlib.blake2b(digest_size=32)
    for content in contents:
        hasher.update(content)
    return hasher.hexdigest() == manifest.weights_digest


def _refusal(reason: FailureReason) -> pb.ChunkReply:
    if isinstance(reason, Busy):
        return pb.ChunkReply(
            status=pb.ChunkReply.BUSY, retry_after_seconds=reason.retry_after_seconds
        )
    return pb.ChunkReply(status=pb.ChunkReply.MISSING)


def _encode_notice(
    command: Announce | AskOwner | AnswerOwner | AskAllowance | GiveAllowance,
) -> pb.CopyNotice:
    match command:
        case Announce(held=bytes() as held):
            return pb.CopyNotice(held=pb.HeldChunks(bitmap=held))
        case Announce():
            return pb.CopyNotice(added=pb.AddedChunks(indexes=command.added))
        case AskOwner():
            return pb.CopyNotice(question=pb.OwnerQuestion(indexes=command.indexes))
        case AnswerOwner():
            answer = pb.OwnerAnswer(
                asked=command.asked, held=command.held, fetching=command.fetching
            )
            return pb.CopyNotice(answer=answer)
        case AskAllowance():
            question = pb.AllowanceQuestion(size_bytes=command.size_bytes)
            return pb.CopyNotice(allowance_question=question)
        case GiveAllowance():
            grant = pb.AllowanceGrant(size_bytes=command.size_bytes)
            return pb.CopyNotice(allowance_grant=grant)


def _decode_notice(notice: pb.CopyNotice) -> CopyMessage | None:
    peer = InstanceId(notice.sender)
    match notice.WhichOneof("body"):
        case "held":
            return PeerAnnounced(peer=peer, held=notice.held.bitmap)
        case "added":
            return PeerAnnounced(peer=peer, added=_indexes(notice.added.indexes))
        case "question":
            return OwnerAsked(peer=peer, indexes=_indexes(notice.question.indexes))
        case "answer":
            return OwnerAnswered(
                peer=peer,
                asked=_indexes(notice.answer.asked),
                held=_indexes(notice.answer.held),
                fetching=_indexes(notice.answer.fetching),
            )
        case "allowance_question":
            return AllowanceAsked(peer=peer, size_bytes=notice.allowance_question.size_bytes)
        case "allowance_grant":
            return AllowanceReceived(peer=peer, size_bytes=notice.allowance_grant.size_bytes)
        case _:
            return None


def _indexes(numbers: Iterable[int]) -> tuple[ChunkIndex, ...]:
    return tuple(ChunkIndex(number) for number in numbers)
