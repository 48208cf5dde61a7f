"""Fetch manifests and chunks of weights for one agent from its peers and the origin."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable, Iterable, Iterator

import grpc
import msgspec
from eliot import log_message

from egretrouter.backends import WeightSource
from egretrouter.core.errors import (
    BackendError,
    ManifestMismatchError,
    ObjectMissingError,
    RateLimitedError,
)
from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId
from egretrouter.core.rendezvous import rendezvous_weight
from egretrouter.core.weights import (
    ORIGIN,
    Busy,
    ChunkArrived,
    ChunkFailed,
    CopyMessage,
    FailureReason,
    Manifest,
    PartWindow,
    Peer,
    TokenBucket,
    Unavailable,
    VersionReference,
)
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.protocol.copies import decode_chunk
from egretrouter.transport._rpc import ChannelPool

NOTICE_TIMEOUT_SECONDS = 2.0
CHUNK_TIMEOUT_SECONDS = 60.0
MANIFEST_TIMEOUT_SECONDS = 5.0
# By the first retry the best-ranked agent has usually read the manifest.
MANIFEST_RETRY_SECONDS = 0.05
MANIFEST_RETRY_LIMIT_SECONDS = 0.8
MANIFEST_PEERS = 3
# The best-ranked agent reads the manifest from the origin at once, each later rank waits this
# much longer.
MANIFEST_FALLBACK_SECONDS = 2.0
PROGRESS_SECONDS = 1.0
RATE_DELAY_LIMIT_SECONDS = 10.0
WINDOW_POLL_SECONDS = 0.01


class CopyPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an agent that takes part in copies.

    Without seen_seconds it counts as first seen when it is first passed to set_peers.
    """

    peer: Peer
    address: str
    seen_seconds: float | None = None


class NarrowLink(msgspec.Struct, frozen=True, kw_only=True):
    """Limit transfers on a link so narrow that copies would delay live calls."""

    downloads: TokenBucket
    uploads: TokenBucket
    part_bytes: int
    """Size of the parts of a chunk; data queued behind a part waits until the part is sent."""
    window: PartWindow


def is_being_cancelled() -> bool:
    """Return whether the current task was cancelled, and not a call because its channel closed."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def _wait_for_tokens(bucket: TokenBucket, length: int) -> None:
    delay_seconds = bucket.reserve(
        length, now_seconds=time.monotonic(), max_delay_seconds=RATE_DELAY_LIMIT_SECONDS
    )
    await asyncio.sleep(max(0.0, delay_seconds))


class WeightTransfers:
    """Send the requests of one agent's copies to other agents, the weight store and the origin."""

    def __init__(
        self,
        *,
        own: Peer,
        origin: WeightSource,
        weight_store: WeightSource | None,
        channels: ChannelPool,
        metrics: AgentMetrics,
        rng: random.Random,
        link: NarrowLink | None = None,
    ) -> None:
        """Create the transfers; link limits them to the shares of a narrow link."""
        self._link = link
        self._own = own
        self._origin = origin
        self._weight_store = weight_store
        self._channels = channels
        self._metrics = metrics
        self._rng = rng

    async def chunk_from_origin(
        self,
        version: VersionReference,
        index: ChunkIndex,
        *,
        offset: int,
        length: int,
        on_progress: Callable[[], None],
    ) -> CopyMessage:
        """Read a chunk from the weight store, or else from the origin.

        Calls on_progress about once a second while bytes arrive.
        """
        last_seconds = time.monotonic()

        def on_bytes() -> None:
            nonlocal last_seconds
            now = time.monotonic()
            if now - last_seconds >= PROGRESS_SECONDS:
                last_seconds = now
                on_progress()

        reason: FailureReason = Unavailable()
        # The origin may be gone soon, so parts from peers wait for its chunks and not the reverse.
        self._reserve_download(length)
        for backend in (self._weight_store, self._origin):
            if backend is None:
                continue
            try:
                with self._record_transfer(length=length):
                    content = await backend.chunk(
                        version.model,
                        version.version,
                        index,
                        offset=offset,
                        length=length,
                        on_bytes=on_bytes,
                    )
            except RateLimitedError as error:
                reason = Busy(retry_after_seconds=error.retry_after_seconds)
            except BackendError:
                reason = Unavailable()
            else:
                kind = "weight_store" if backend is self._weight_store else "origin"
                self._metrics.origin_bytes.add({"kind": kind}, len(content))
                return ChunkArrived(source=ORIGIN, index=index, content=content)
        return ChunkFailed(source=ORIGIN, index=index, reason=reason)

    async def chunk_from_peer(
        self,
        source: InstanceId,
        address: str,
        digest: Digest,
        index: ChunkIndex,
        *,
        length: int = 0,
    ) -> CopyMessage:
        """Request a chunk from a peer, on a narrow link part by part."""
        await self._wait_to_receive(length)
        part_bytes = self._link.part_bytes if self._link is not None else 0
        request = pb.ChunkRequest(
            sender=self._own.instance_id,
            manifest_digest=digest,
            index=index,
            part_bytes=part_bytes,
        )
        try:
            reply = await self._request_chunk(address, request)
            while part_bytes and reply.status == pb.ChunkReply.CONTENT:
                request.offset = len(reply.content)
                if request.offset >= length:
                    break
                part = await self._request_chunk(address, request)
                if part.status != pb.ChunkReply.CONTENT or not part.content:
                    return ChunkFailed(source=source, index=index, reason=Unavailable())
                reply.content += part.content
        except grpc.aio.AioRpcError:
            return ChunkFailed(source=source, index=index, reason=Unavailable())
        except asyncio.CancelledError:
            if is_being_cancelled():
                raise
            return ChunkFailed(source=source, index=index, reason=Unavailable())
        if reply.status == pb.ChunkReply.CONTENT:
            self._metrics.peer_bytes.add({}, len(reply.content))
        return decode_chunk(reply, source=source, index=index)

    async def _request_chunk(self, address: str, request: pb.ChunkRequest) -> pb.ChunkReply:
        stub = pb_grpc.PeersStub(self._channels.channel(address))
        async with self._reserve_link(length=request.part_bytes):
            reply: pb.ChunkReply = await stub.FetchChunk(
                request, metadata=self._channels.metadata, timeout=CHUNK_TIMEOUT_SECONDS
            )
        return reply

    @contextlib.asynccontextmanager
    async def _reserve_link(self, *, length: int) -> AsyncIterator[None]:
        """Wait until the window has capacity, and record how long a part of the transfer takes."""
        if self._link is not None:
            while not self._link.window.has_capacity:  # noqa: ASYNC110
                await asyncio.sleep(WINDOW_POLL_SECONDS)
        with self._record_transfer(length=length):
            yield

    @contextlib.contextmanager
    def _record_transfer(self, *, length: int) -> Iterator[None]:
        """Take a place in the window, and record how long a part of the transfer takes."""
        if self._link is None:
            yield
            return
        window = self._link.window
        window.record_start()
        start_seconds = time.monotonic()
        try:
            yield
        finally:
            now = time.monotonic()
            parts = max(1.0, length / self._link.part_bytes)
            window.record_end(seconds=(now - start_seconds) / parts, now_seconds=now)

    def _reserve_download(self, length: int) -> None:
        """Count a transfer against the link's rate without waiting for it."""
        if self._link is not None:
            self._link.downloads.reserve(
                length, now_seconds=time.monotonic(), max_delay_seconds=RATE_DELAY_LIMIT_SECONDS
            )

    async def _wait_to_receive(self, length: int) -> None:
        if self._link is not None:
            await _wait_for_tokens(self._link.downloads, length)

    async def wait_to_send(self, length: int) -> None:
        """Wait until the rate limit of this agent's link allows an upload of so many bytes."""
        if self._link is not None:
            await _wait_for_tokens(self._link.uploads, length)

    async def send_notice(self, address: str, digest: Digest, notice: pb.CopyNotice) -> None:
        """Send a message to another agent's copy; later messages make up for a lost one."""
        notice.sender, notice.manifest_digest = self._own.instance_id, digest
        stub = pb_grpc.PeersStub(self._channels.channel(address))
        try:
            await stub.NotifyCopy(
                notice, metadata=self._channels.metadata, timeout=NOTICE_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError as error:
            log_message("agent:notice_lost", address=address, code=error.code().name)

    async def find_manifest(
        self, version: VersionReference, peers: Callable[[], Iterable[CopyPeer]]
    ) -> bytes:
        """Read the manifest from a peer, or from the origin after a delay that grows with the rank.

        Raises ManifestMismatchError if the origin has none, or gives the same other one twice.
        """
        digest = version.manifest_digest
        ranked = self._rank_peers(peers(), digest)
        own_weight = rendezvous_weight(f"manifest/{digest}", self._own.instance_id)
        rank = sum(1 for weight, _ in ranked if weight > own_weight)
        origin_read_seconds = time.monotonic() + rank * MANIFEST_FALLBACK_SECONDS
        delay_seconds = MANIFEST_RETRY_SECONDS
        mismatched: bytes | None = None
        while True:
            for _, peer in ranked[:MANIFEST_PEERS]:
                content = await self.manifest_from_peer(peer.address, digest)
                if content:
                    return content
            if time.monotonic() >= origin_read_seconds:
                origin_content = await self.manifest_from_origin(version)
                if origin_content is not None:
                    try:
                        Manifest.from_json(origin_content, pinned_digest=digest)
                    except ManifestMismatchError as error:
                        # One answer may be spoilt.
                        if origin_content == mismatched:
                            raise
                        log_message("agent:manifest_mismatched", error=str(error))
                        mismatched = origin_content
                    else:
                        return origin_content
            await asyncio.sleep(delay_seconds * (0.5 + self._rng.random()))
            delay_seconds = min(2 * delay_seconds, MANIFEST_RETRY_LIMIT_SECONDS)
            ranked = self._rank_peers(peers(), digest)

    async def manifest_from_origin(self, version: VersionReference) -> bytes | None:
        """Read the current manifest from the origin; None if the origin is unavailable."""
        try:
            content = await self._origin.manifest(version.model, version.version)
        except ObjectMissingError as error:
            raise ManifestMismatchError(str(error)) from error
        except BackendError as error:
            log_message("agent:manifest_failed", error=type(error).__name__)
            return None
        self._metrics.origin_bytes.add({"kind": "manifest"}, len(content))
        return content

    def _rank_peers(self, peers: Iterable[CopyPeer], digest: Digest) -> list[tuple[int, CopyPeer]]:
        weighted = [
            (rendezvous_weight(f"manifest/{digest}", p.peer.instance_id), p)
            for p in peers
            if p.peer.zone == self._own.zone
        ]
        return sorted(weighted, key=lambda entry: -entry[0])

    async def manifest_from_peer(self, address: str, digest: Digest) -> bytes:
        """Read a manifest from another agent, empty if it has none."""
        stub = pb_grpc.PeersStub(self._channels.channel(address))
        try:
            reply = await stub.FetchManifest(
                pb.ManifestRequest(manifest_digest=digest),
                metadata=self._channels.metadata,
                timeout=MANIFEST_TIMEOUT_SECONDS,
            )
        except grpc.aio.AioRpcError:
            return b""
        except asyncio.CancelledError:
            if is_being_cancelled():
                raise
            return b""
        content: bytes = reply.manifest
        try:
            Manifest.from_json(content, pinned_digest=digest)
        except ManifestMismatchError:
            return b""
        return content
