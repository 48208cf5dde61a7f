"""Run the weight copies of one agent."""

import asyncio
import random
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from typing import Any

import msgspec
from eliot import log_message
from mode import Service

from egretrouter.core.errors import (
    WeightMemoryError,
    WeightsError,
)
from egretrouter.core.identifiers import Digest, InstanceId
from egretrouter.core.weights import (
    FETCHING_STATES,
    Announce,
    AnswerOwner,
    ChunkMemory,
    CopyMessage,
    CopySettings,
    CopyState,
    LinkShares,
    Loaded,
    Manifest,
    OriginAllowance,
    OwnerAsked,
    Paused,
    Peer,
    PeerAnnounced,
    PeersChanged,
    Resumed,
    Superseded,
    Tick,
    TokenBucket,
    VersionReference,
    WeightCopy,
)
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.daemons._running_copy import RunningCopy
from egretrouter.daemons._weight_transfers import CopyPeer, WeightTransfers
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol.copies import decode_notice, encode_notice

TICK_SECONDS = 0.25
# Failure reasons of ended copies kept for the state dump; the oldest are dropped first.
KEPT_FAILURES = 16
JOIN_POLL_SECONDS = 0.1
# A burst on a link may be as large as what its share allows in this time.
LINK_BURST_SECONDS = 0.25
MINIMUM_BURST_BYTES = 512 * 1024


class CopyLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the limits that the configuration sets for one agent's copies."""

    zone_bytes_per_minute: int
    expected_members: int
    instance_bytes_per_second: float
    regional_bytes_per_second: float
    settings: CopySettings


class CopyService(Service):
    """Run the copies of one agent and manage its chunk memory and origin allowance."""

    def __init__(
        self,
        *,
        own: Peer,
        memory: ChunkMemory,
        limits: CopyLimits,
        hold_seconds: float,
        transfers: WeightTransfers,
        metrics: AgentMetrics,
        rng: random.Random,
        joined_seconds: float | None = None,
        **kwargs: Any,
    ) -> None:
        """Read nothing from the origin for hold_seconds; new peers are newcomers for that time.

        joined_seconds is the time when the agent joined its zone; None means now.
        """
        super().__init__(**kwargs)
        now = time.monotonic() if joined_seconds is None else joined_seconds
        self.own = own
        self.memory = memory
        self.limits = limits
        self.allowance = OriginAllowance(
            zone_bytes_per_minute=limits.zone_bytes_per_minute,
            instance_id=own.instance_id,
            joined_seconds=now,
            hold_seconds=hold_seconds,
            expected_members=limits.expected_members,
        )
        self.on_ready: Callable[[Digest], None] = lambda _: None
        self.on_failed: Callable[[Digest, str], None] = lambda _, __: None
        self._link_shares = LinkShares(
            instance=link_bucket(limits.instance_bytes_per_second),
            between_regions=link_bucket(limits.regional_bytes_per_second),
        )
        self._transfers = transfers
        self._metrics = metrics
        self._rng = rng
        self._hold_seconds = hold_seconds
        self._peers: dict[InstanceId, CopyPeer] = {}
        self._marked_peers: tuple[Peer, ...] = ()
        self._first_seen_seconds: dict[tuple[InstanceId, str], float] = {}
        """When each agent was first seen; a restarted agent has another address."""
        self._joined_seconds = now
        self._copies: dict[Digest, RunningCopy] = {}
        self._idle_agents: dict[Digest, frozenset[InstanceId]] = {}
        """The agents that do not fetch a version, for versions that have any."""
        self._manifests: dict[Digest, bytes] = {}
        self._preparations: dict[Digest, asyncio.Task[None]] = {}
        self._failures: dict[Digest, str] = {}
        self._completion_futures: dict[Digest, list[asyncio.Future[Manifest]]] = {}
        self._background_tasks: set[asyncio.Task[Any]] = set()

    def configure(self, limits: CopyLimits) -> None:
        """Apply changed limits; the copy settings affect only copies that start later."""
        self.limits = limits
        self.allowance.set_zone_share(
            limits.zone_bytes_per_minute, expected_members=limits.expected_members
        )
        for bucket, rate in (
            (self._link_shares.instance, limits.instance_bytes_per_second),
            (self._link_shares.between_regions, limits.regional_bytes_per_second),
        ):
            bucket.set_rate(rate, burst_bytes=link_burst_bytes(rate))

    def set_peers(
        self, peers: Iterable[CopyPeer], *, zone_agents: Iterable[InstanceId] = ()
    ) -> None:
        """Update the agents that take part in copies, and all agents of the zone.

        Agents of every service share the zone's origin budget.
        """
        now = time.monotonic()
        self._peers = {
            p.peer.instance_id: p for p in peers if p.peer.instance_id != self.own.instance_id
        }
        self._first_seen_seconds = {
            (instance_id, p.address): (
                self._first_seen_seconds.get((instance_id, p.address), now)
                if p.seen_seconds is None
                else p.seen_seconds
            )
            for instance_id, p in self._peers.items()
        }
        zone = [p.peer.instance_id for p in self._peers.values() if p.peer.zone == self.own.zone]
        self.allowance.set_members({*zone, *zone_agents}, now_seconds=now)
        self._update_peers()

    def start_copy(
        self, version: VersionReference, *, zone_peers: int = 0, until_seconds: float = 0.0
    ) -> None:
        """Copy a version; on_ready or on_failed is called with the result.

        Waits until zone_peers other agents of the zone are known, or until until_seconds.
        """
        digest = version.manifest_digest
        running = self._copies.get(digest)
        if running is not None and running.state is CopyState.COMPLETED:
            self._report_ready(running)
        elif running is not None:
            self._dispatch(digest, Resumed())
        elif digest not in self._preparations:
            self._failures.pop(digest, None)
            self._preparations[digest] = asyncio.create_task(
                self._prepare_copy(version, zone_peers, until_seconds)
            )

    def add_manifest(self, manifest: Manifest) -> Digest:
        """Store a manifest that was checked elsewhere, and return its digest."""
        digest = manifest.digest
        self._manifests.setdefault(digest, manifest.to_json())
        return digest

    def held_share(self, manifest: Manifest) -> float:
        """Return the share of a version's chunks that memory holds."""
        return self.memory.held(manifest.digest).bit_count() / max(1, len(manifest.chunks))

    async def ensure_copied(self, version: VersionReference) -> Manifest:
        """Return the manifest of a version once memory holds all its chunks.

        Raises WeightsError.
        """
        future: asyncio.Future[Manifest] = asyncio.get_running_loop().create_future()
        self._completion_futures.setdefault(version.manifest_digest, []).append(future)
        self.start_copy(version)
        return await future

    def set_idle_agents(self, digest: Digest, idle: frozenset[InstanceId]) -> None:
        """Set the agents that do not fetch a version for now and so own none of its chunks."""
        if self._idle_agents.get(digest, frozenset()) != idle:
            self._idle_agents[digest] = idle
            self._dispatch(digest, PeersChanged(peers=self._participants(digest)))

    def pause(self, digest: Digest) -> None:
        """Stop fetching for now, to leave the link to other copies, but keep serving chunks."""
        self._cancel_preparation(digest)
        self._dispatch(digest, Paused())

    def abandon(self, digest: Digest) -> None:
        """Stop copying a version that is no longer wanted."""
        self._cancel_preparation(digest)
        self._dispatch(digest, Superseded())
        self._fail_copy(digest, "the version was superseded", report=False)

    def _cancel_preparation(self, digest: Digest) -> None:
        preparing = self._preparations.pop(digest, None)
        if preparing is not None:
            preparing.cancel()

    def record_loaded(self, digest: Digest) -> None:
        """Record that the engine runs a version."""
        running = self._copies.get(digest)
        if running is not None:
            running.loaded = True
        self._dispatch(digest, Loaded())

    def handle_process_pause(self) -> None:
        """Hold back from the origin after a process pause; fetching copies do so themselves."""
        if not any(r.state in FETCHING_STATES for r in self._copies.values()):
            self.allowance.resume(now_seconds=time.monotonic())

    async def manifest_from_peer(self, address: str, digest: Digest) -> bytes:
        """Read a manifest from another agent, empty if it has none."""
        return await self._transfers.manifest_from_peer(address, digest)

    def manifest_content(self, digest: Digest) -> bytes:
        """Return a manifest for a peer, empty if it is not known."""
        return self._manifests.get(digest, b"")

    async def content(self, digest: Digest) -> AsyncIterator[bytes]:
        """Yield the verified chunks of a version in order, for the engine."""
        for content in self.memory.contents(digest):
            yield content

    async def on_stop(self) -> None:
        """Cancel every fetch."""
        for running in self._copies.values():
            running.close()
        for task in [*self._preparations.values(), *self._background_tasks]:
            task.cancel()
        for futures in self._completion_futures.values():
            for future in futures:
                future.cancel()

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            if self._mark_newcomers() != self._marked_peers:
                self._update_peers()
            for digest in list(self._copies):
                self._dispatch(digest, Tick())
            for digest in [d for d in self._manifests if d not in self._copies]:
                if not self.memory.held(digest):
                    del self._manifests[digest]
                    self._idle_agents.pop(digest, None)
            await self.sleep(TICK_SECONDS)

    async def _prepare_copy(
        self, version: VersionReference, zone_peers: int, until_seconds: float
    ) -> None:
        digest = version.manifest_digest
        try:
            while time.monotonic() < until_seconds:
                if sum(p.peer.zone == self.own.zone for p in self._peers.values()) >= zone_peers:
                    break
                await asyncio.sleep(JOIN_POLL_SECONDS)
            # The chunks of an ended copy may still be in memory while the origin is unavailable.
            content = self._manifests.get(digest) or await self._transfers.find_manifest(
                version, lambda: self._peers.values()
            )
            manifest = Manifest.from_json(content, pinned_digest=digest)
            copy = self._build_copy(manifest, digest)
        except WeightsError as error:
            log_message("agent:copy_refused", digest=digest, error=str(error))
            self._fail_copy(digest, str(error))
            return
        finally:
            if self._preparations.get(digest) is asyncio.current_task():
                del self._preparations[digest]
        self._manifests[digest] = content
        running = self._copies[digest] = RunningCopy(
            version,
            manifest,
            copy,
            memory=self.memory,
            transfers=self._transfers,
            metrics=self._metrics,
            find_address=self._find_address,
            on_ready=lambda: self._report_ready(running),
            on_failed=lambda reason: self._fail_copy(digest, reason),
            on_stopped=lambda: self._remove_copy(running),
        )
        log_message("agent:copy_started", digest=digest, weight_bytes=manifest.weight_bytes)
        self._dispatch(digest, PeersChanged(peers=self._participants(digest)))

    def _build_copy(self, manifest: Manifest, digest: Digest) -> WeightCopy:
        def build() -> WeightCopy:
            return WeightCopy(
                manifest=manifest,
                pinned_digest=digest,
                own=self.own,
                memory=self.memory,
                allowance=self.allowance,
                settings=self.limits.settings,
                random=random.Random(self._rng.random()),
                links=self._link_shares,
            )

        try:
            return build()
        except WeightMemoryError:
            # Versions that an engine runs are kept only for peers, so their memory may be freed.
            for other in [d for d, running in self._copies.items() if running.loaded]:
                self._dispatch(other, Superseded())
            return build()

    def _mark_newcomers(self) -> tuple[Peer, ...]:
        """Return all known agents; those first seen within hold_seconds are marked as newcomers."""
        horizon = time.monotonic() - self._hold_seconds
        own = msgspec.structs.replace(self.own, is_newcomer=self._joined_seconds > horizon)
        peers = [
            msgspec.structs.replace(
                p.peer,
                is_newcomer=p.peer.is_newcomer
                or self._first_seen_seconds[instance, p.address] > horizon,
            )
            for instance, p in self._peers.items()
        ]
        return (own, *peers)

    def _participants(self, digest: Digest) -> tuple[Peer, ...]:
        """Return all known agents; those that do not fetch the version are marked as newcomers."""
        idle = self._idle_agents.get(digest, frozenset())
        return tuple(
            msgspec.structs.replace(peer, is_newcomer=True) if peer.instance_id in idle else peer
            for peer in self._mark_newcomers()
        )

    def _update_peers(self) -> None:
        self._marked_peers = self._mark_newcomers()
        for digest in list(self._copies):
            self._dispatch(digest, PeersChanged(peers=self._participants(digest)))

    def _dispatch(self, digest: Digest, message: CopyMessage) -> None:
        running = self._copies.get(digest)
        if running is not None:
            running.dispatch(message)

    def _remove_copy(self, running: RunningCopy) -> None:
        """Remove an ended copy; its chunks stay in memory until other versions need the space."""
        log_message("agent:copy_ended", digest=running.digest, state=running.state.value)
        if self._copies.get(running.digest) is running:
            del self._copies[running.digest]

    def _report_ready(self, running: RunningCopy) -> None:
        digest = running.digest
        for future in self._completion_futures.pop(digest, ()):
            if not future.done():
                future.set_result(running.manifest)
        self.on_ready(digest)

    def _fail_copy(self, digest: Digest, reason: str, *, report: bool = True) -> None:
        for future in self._completion_futures.pop(digest, ()):
            if not future.done():
                future.set_exception(WeightsError(reason))
        if report:
            self._failures[digest] = reason
            while len(self._failures) > KEPT_FAILURES:
                del self._failures[next(iter(self._failures))]
            self.on_failed(digest, reason)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    def handle_notice(self, notice: pb.CopyNotice) -> None:
        """Process a message from another agent's copy."""
        digest = Digest(notice.manifest_digest)
        message = decode_notice(notice)
        if digest in self._copies and message is not None:
            self._dispatch(digest, message)
        # An agent without the copy answers at once, so that the sender need not time out.
        elif isinstance(message, OwnerAsked):
            answer = AnswerOwner(peer=message.peer, asked=message.indexes)
            self._send_reply(digest, message.peer, answer)
        elif isinstance(message, PeerAnnounced) and message.held:
            # Empty bitmaps are never answered, so two agents without the copy stop sending them.
            empty_bitmap = Announce(peers=(message.peer,), held=b"")
            self._send_reply(digest, message.peer, empty_bitmap)

    def _send_reply(
        self, digest: Digest, peer: InstanceId, command: Announce | AnswerOwner
    ) -> None:
        address = self._find_address(peer)
        if address is not None:
            self._spawn(self._transfers.send_notice(address, digest, encode_notice(command)))

    def _find_address(self, peer: InstanceId) -> str | None:
        known = self._peers.get(peer)
        return known.address if known else None

    async def handle_chunk_request(self, request: pb.ChunkRequest, context: Any) -> pb.ChunkReply:
        """Send a chunk to a peer, after a delay that keeps uploads within the link's share."""
        running = self._copies.get(Digest(request.manifest_digest))
        if running is None:
            return pb.ChunkReply(status=pb.ChunkReply.MISSING)
        return await running.handle_chunk_request(request, context)

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "copies": {digest: r.snapshot() for digest, r in self._copies.items()},
            "preparing": sorted(self._preparations),
            "failures": dict(self._failures),
            "memory": self.memory.snapshot(),
            "allowance": self.allowance.snapshot(),
            "peers": len(self._peers),
        }


def link_burst_bytes(bytes_per_second: float) -> int:
    """Return the burst size of a link's share."""
    return max(MINIMUM_BURST_BYTES, int(bytes_per_second * LINK_BURST_SECONDS))


def link_bucket(bytes_per_second: float, burst_bytes: int | None = None) -> TokenBucket:
    """Build the token bucket for a share of a link."""
    burst_bytes = burst_bytes or link_burst_bytes(bytes_per_second)
    return TokenBucket(bytes_per_second=bytes_per_second, burst_bytes=burst_bytes)
