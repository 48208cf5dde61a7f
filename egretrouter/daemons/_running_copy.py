"""Run one copy of weights."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Any

from eliot import log_message

from egretrouter.core.errors import CorruptedChunkError, ManifestMismatchError
from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId
from egretrouter.core.weights import (
    ORIGIN,
    STOPPED_STATES,
    Announce,
    AnswerOwner,
    AskAllowance,
    AskOwner,
    CancelFetch,
    ChunkFailed,
    ChunkMemory,
    ChunkProgressed,
    ChunkRequested,
    CopyCommand,
    CopyCompleted,
    CopyHalted,
    CopyMessage,
    CopyState,
    FetchChunk,
    FetchManifest,
    GiveAllowance,
    Manifest,
    ManifestArrived,
    Missing,
    QuarantineSource,
    RefuseChunk,
    SendChunk,
    Unavailable,
    UploadEnded,
    VerifyWeights,
    VersionReference,
    WeightCopy,
    WeightsVerified,
)
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.daemons._weight_transfers import WeightTransfers
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol.copies import encode_notice, encode_refusal


class RunningCopy:
    """Run the commands of one copy as asyncio tasks."""

    def __init__(
        self,
        version: VersionReference,
        manifest: Manifest,
        copy: WeightCopy,
        *,
        memory: ChunkMemory,
        transfers: WeightTransfers,
        metrics: AgentMetrics,
        find_address: Callable[[InstanceId], str | None],
        on_ready: Callable[[], None],
        on_failed: Callable[[str], None],
        on_stopped: Callable[[], None],
    ) -> None:
        self.version = version
        self.manifest = manifest
        self.loaded = False
        """Whether an engine runs the version, so that memory keeps it for peers only."""
        self._copy = copy
        self._memory = memory
        self._transfers = transfers
        self._metrics = metrics
        self._find_address = find_address
        self._on_ready = on_ready
        self._on_failed = on_failed
        self._on_stopped = on_stopped
        self._closed = False
        self._started_seconds = time.monotonic()
        self._fetches: dict[tuple[InstanceId, ChunkIndex], asyncio.Task[None]] = {}
        self._upload_decisions: dict[
            tuple[InstanceId, ChunkIndex], asyncio.Future[CopyCommand]
        ] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._offsets = [0]
        for chunk in manifest.chunks:
            self._offsets.append(self._offsets[-1] + chunk.length_bytes)

    @property
    def digest(self) -> Digest:
        """Return the digest of the manifest."""
        return self.version.manifest_digest

    @property
    def state(self) -> CopyState:
        """Return the state of the copy."""
        return self._copy.state

    def dispatch(self, message: CopyMessage) -> None:
        """Pass a message to the copy and execute its commands."""
        if self._closed:
            return
        for command in self._copy.handle(message, now_seconds=time.monotonic()):
            self._execute(command)
        if self.state in STOPPED_STATES and not self._closed:
            self.close()
            self._on_stopped()

    def close(self) -> None:
        """Cancel every fetch; later messages are ignored."""
        self._closed = True
        for task in [*self._fetches.values(), *self._background_tasks]:
            if task is not asyncio.current_task():
                task.cancel()

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {**self._copy.snapshot(), "loaded": self.loaded}

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    async def handle_chunk_request(self, request: pb.ChunkRequest, context: Any) -> pb.ChunkReply:
        """Send a chunk to a peer, after a delay that keeps uploads within the link's share."""
        peer, index = InstanceId(request.sender), ChunkIndex(request.index)
        if index >= len(self.manifest.chunks):
            return pb.ChunkReply(status=pb.ChunkReply.MISSING)
        if request.offset:
            # The first part was accepted, so the later ones are not refused.
            return await self._read_part(request)
        decision: asyncio.Future[CopyCommand] = asyncio.get_running_loop().create_future()
        self._upload_decisions[peer, index] = decision
        self.dispatch(ChunkRequested(peer=peer, index=index))
        self._upload_decisions.pop((peer, index), None)
        command = decision.result() if decision.done() else None
        if not isinstance(command, SendChunk):
            reason = command.reason if isinstance(command, RefuseChunk) else Missing()
            return encode_refusal(reason)
        ended = UploadEnded(peer=peer, index=index)
        context.add_done_callback(lambda _: self.dispatch(ended))
        await asyncio.sleep(command.delay_seconds)
        return await self._read_part(request)

    async def _read_part(self, request: pb.ChunkRequest) -> pb.ChunkReply:
        content = self._memory.get(self.digest, ChunkIndex(request.index))
        if content is None:
            return pb.ChunkReply(status=pb.ChunkReply.MISSING)
        if request.part_bytes:
            content = content[request.offset : request.offset + request.part_bytes]
        await self._transfers.wait_to_send(len(content))
        return pb.ChunkReply(status=pb.ChunkReply.CONTENT, content=content)

    @singledispatchmethod
    def _execute(self, command: CopyCommand) -> None:
        raise TypeError(f"agent got unexpected command {command!r}")

    @_execute.register
    def _start_fetch(self, command: FetchChunk) -> None:
        key = (command.source, command.index)
        work = self._fetch_chunk(command)
        task = self._fetches[key] = self._spawn(work)

        def remove_task(done: asyncio.Task[None]) -> None:
            if self._fetches.get(key) is done:
                del self._fetches[key]

        task.add_done_callback(remove_task)

    @_execute.register
    def _cancel_fetch(self, command: CancelFetch) -> None:
        task = self._fetches.pop((command.source, command.index), None)
        if task is not None:
            task.cancel()

    @_execute.register
    def _accept_upload(self, command: SendChunk) -> None:
        decision = self._upload_decisions.get((command.peer, command.index))
        if decision is not None:
            decision.set_result(command)

    @_execute.register
    def _refuse_upload(self, command: RefuseChunk) -> None:
        decision = self._upload_decisions.get((command.peer, command.index))
        if decision is not None:
            decision.set_result(command)

    @_execute.register
    def _fetch_manifest(self, command: FetchManifest) -> None:
        self._spawn(self._read_manifest_again())

    async def _read_manifest_again(self) -> None:
        try:
            content = await self._transfers.manifest_from_origin(self.version)
        except ManifestMismatchError as error:
            # Peers can still complete a version that the origin no longer has.
            log_message("agent:manifest_missing", error=str(error))
            return
        if content is not None:
            self.dispatch(ManifestArrived(content=content))

    @_execute.register
    def _announce(self, command: Announce) -> None:
        notice = encode_notice(command)
        for peer in command.peers:
            self._send_notice(peer, notice)

    @_execute.register(AskOwner)
    @_execute.register(AnswerOwner)
    @_execute.register(AskAllowance)
    @_execute.register(GiveAllowance)
    def _notify_peer(self, command: AskOwner | AnswerOwner | AskAllowance | GiveAllowance) -> None:
        self._send_notice(command.peer, encode_notice(command))

    def _send_notice(self, peer: InstanceId, notice: pb.CopyNotice) -> None:
        address = self._find_address(peer)
        if address is not None:
            self._spawn(self._transfers.send_notice(address, self.digest, notice))

    @_execute.register
    def _start_verification(self, command: VerifyWeights) -> None:
        self._spawn(self._verify_weights())

    async def _verify_weights(self) -> None:
        contents = list(self._memory.contents(self.digest))
        try:
            await asyncio.to_thread(self.manifest.verify_weights, contents)
        except CorruptedChunkError:
            self.dispatch(WeightsVerified(matches=False))
        else:
            self.dispatch(WeightsVerified(matches=True))

    @_execute.register
    def _report_completed(self, command: CopyCompleted) -> None:
        log_message(
            "agent:copy_completed",
            digest=self.digest,
            seconds=round(time.monotonic() - self._started_seconds, 2),
            **self._copy.counts,
        )
        self._metrics.copies.inc({"result": "completed"})
        self._on_ready()

    @_execute.register
    def _report_halted(self, command: CopyHalted) -> None:
        log_message("agent:copy_halted", digest=self.digest, error=str(command.error))
        self._metrics.copies.inc({"result": "halted"})
        self._on_failed(str(command.error))

    @_execute.register
    def _report_quarantined(self, command: QuarantineSource) -> None:
        log_message(
            "agent:source_quarantined", source=command.source, quarantine_seconds=command.seconds
        )
        self._metrics.corrupted_chunks.inc({"source": "quarantined"})

    async def _fetch_chunk(self, command: FetchChunk) -> None:
        source, index = command.source, command.index
        address = self._find_address(source)
        message: CopyMessage
        if source == ORIGIN:
            message = await self._transfers.chunk_from_origin(
                self.version,
                index,
                offset=self._offsets[index],
                length=self.manifest.chunks[index].length_bytes,
                on_progress=lambda: self.dispatch(ChunkProgressed(source=source, index=index)),
            )
        elif address is not None:
            message = await self._transfers.chunk_from_peer(
                source,
                address,
                self.digest,
                index,
                length=self.manifest.chunks[index].length_bytes,
            )
        else:
            message = ChunkFailed(source=source, index=index, reason=Unavailable())
        self.dispatch(message)
