"""Simulate many copies in one process, over links of limited rate and in virtual time."""

import heapq
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from egretrouter.core.configuration import Objective
from egretrouter.core.errors import CorruptedChunkError
from egretrouter.core.identifiers import (
    ChunkIndex,
    InstanceId,
    ModelName,
    RegionId,
    VersionName,
    ZoneId,
)
from egretrouter.core.weights import (
    ORIGIN,
    AllowanceAsked,
    AllowanceReceived,
    Announce,
    AnswerOwner,
    AskAllowance,
    AskOwner,
    CancelFetch,
    ChunkArrived,
    ChunkFailed,
    ChunkMemory,
    ChunkProgressed,
    ChunkRequested,
    CopyCommand,
    CopyCompleted,
    CopyMessage,
    CopySettings,
    CopyState,
    FailureReason,
    FetchChunk,
    GiveAllowance,
    LinkShares,
    Manifest,
    OriginAllowance,
    OwnerAnswered,
    OwnerAsked,
    Peer,
    PeerAnnounced,
    PeersChanged,
    RefuseChunk,
    SendChunk,
    Tick,
    Unavailable,
    UploadEnded,
    VerifyWeights,
    WeightCopy,
    WeightsVerified,
    build_manifest,
    split_chunks,
)

FRAME_BYTES = 90
"""Assumed overhead of a message beyond its fields: TCP/IP, HTTP/2 and gRPC headers."""
TICK_SECONDS = 0.25


def make_peers(count: int, *, zones: int, regions: int) -> list[Peer]:
    """Return instances spread evenly over zones, and zones over regions."""
    return [
        Peer(
            instance_id=InstanceId(f"i{number:04d}"),
            zone=ZoneId(f"z{number % zones}"),
            region=RegionId(f"r{number % zones % regions}"),
        )
        for number in range(count)
    ]


class CopyLoop:
    """Run copies on a heap of timed messages; tests inject faults by setting attributes."""

    def __init__(
        self,
        peers: Iterable[Peer],
        *,
        seed: int,
        chunks: int = 32,
        chunk_bytes: int = 64,
        link_bytes_per_second: float = 640.0,
        origin_bytes_per_second: float = 1280.0,
        region_bytes_per_second: float = 1e12,
        zone_budget_bytes: int = 1 << 40,
        latency_seconds: float = 0.001,
        settings: CopySettings | None = None,
        established: bool = True,
    ) -> None:
        """Build the weights; chunks are short and the rates scale with them."""
        self.random = Random(seed)
        self.peers = {peer.instance_id: peer for peer in peers}
        self.settings = settings or CopySettings(objective=Objective.TIME)
        content = self.random.randbytes(chunks * chunk_bytes)
        self.manifest: Manifest = build_manifest(
            model=ModelName("m"), version=VersionName("v"), content=content, chunk_bytes=chunk_bytes
        )
        self.chunk_contents = split_chunks(content, chunk_bytes=chunk_bytes)
        self.now_seconds = 0.0
        self.copies: dict[InstanceId, WeightCopy] = {}
        self.memories: dict[InstanceId, ChunkMemory] = {}
        self.allowances: dict[InstanceId, OriginAllowance] = {}
        self.completed_seconds: dict[InstanceId, float] = {}
        self.commands: dict[InstanceId, list[CopyCommand]] = defaultdict(list)
        self.dead: set[InstanceId] = set()
        self.paused: set[InstanceId] = set()
        self.origin_fetches: list[tuple[float, InstanceId, int]] = []
        self.origin_refusals = 0
        self.crossings: Counter[tuple[RegionId, RegionId, int]] = Counter()
        self.messages: Counter[str] = Counter()
        self.message_bytes = 0
        self.handle_seconds = 0.0
        self.origin_fault: Callable[[float], FailureReason | None] = lambda _: None
        self.is_corrupted: Callable[[InstanceId, int], bool] = lambda _source, _index: False
        self.is_stalled: Callable[[InstanceId, InstanceId], bool] = lambda _source, _target: False
        self.is_partitioned: Callable[[InstanceId, InstanceId], bool] = lambda _sender, _target: (
            False
        )
        self._zone_budget_bytes = zone_budget_bytes
        self._joined_seconds = -1000.0 if established else 0.0
        self._latency_seconds = latency_seconds
        self._rates = {"instance": link_bytes_per_second, "region": region_bytes_per_second}
        self._rates["origin"] = origin_bytes_per_second
        self._free_at_seconds: dict[object, float] = defaultdict(float)
        self._heap: list[tuple[float, int, InstanceId, CopyMessage]] = []
        self._sequence = 0

    def start(self, members: Iterable[InstanceId] | None = None) -> None:
        """Start copies on all instances or on the given ones."""
        started = list(members if members is not None else self.peers)
        for member in started:
            self.restart(member, joined_seconds=self._joined_seconds)
        self.update_peers(started)

    def restart(self, member: InstanceId, *, joined_seconds: float) -> None:
        """Replace an instance's copy by an empty one."""
        self.memories[member] = ChunkMemory(weight_memory_bytes=self.manifest.weight_bytes)
        self.allowances[member] = OriginAllowance(
            zone_bytes_per_minute=self._zone_budget_bytes,
            instance_id=member,
            joined_seconds=joined_seconds,
        )
        self.copies[member] = WeightCopy(
            manifest=self.manifest,
            pinned_digest=self.manifest.digest,
            own=self.peers[member],
            memory=self.memories[member],
            allowance=self.allowances[member],
            settings=self.settings,
            random=Random(self.random.random()),
            links=self.link_shares(member),
        )
        self.post(member, Tick(), self.random.random() * TICK_SECONDS)

    def link_shares(self, member: InstanceId) -> LinkShares | None:
        """Return the link shares of an instance; None, unless a subclass limits them."""
        return None

    def update_peers(self, targets: Iterable[InstanceId] | None = None) -> None:
        """Send the list of live instances that run a copy to the targets, by default to all."""
        live_peers = tuple(self.peers[m] for m in self.copies if m not in self.dead)
        members: dict[ZoneId, list[InstanceId]] = defaultdict(list)
        for peer in live_peers:
            members[peer.zone].append(peer.instance_id)
        for target in targets if targets is not None else self.copies:
            zone = self.peers[target].zone
            self.allowances[target].set_members(members[zone], now_seconds=self.now_seconds)
            self.post(target, PeersChanged(peers=live_peers))

    def post(self, target: InstanceId, message: CopyMessage, delay_seconds: float = 0.0) -> None:
        """Schedule the delivery of a message."""
        self._sequence += 1
        due = self.now_seconds + delay_seconds
        heapq.heappush(self._heap, (due, self._sequence, target, message))

    def run(self, *, until_seconds: float) -> None:
        """Deliver messages until all live copies are complete or the time limit is reached."""
        while self._heap and self._heap[0][0] <= until_seconds:
            self.now_seconds, _, target, message = heapq.heappop(self._heap)
            if target in self.dead or target not in self.copies:
                continue
            if isinstance(message, Tick):
                self.post(target, message, TICK_SECONDS)
            if target in self.paused:
                continue
            self.dispatch(target, message)
            if self.copies.keys() <= self.completed_seconds.keys() | self.dead:
                return
        self.now_seconds = max(self.now_seconds, until_seconds)

    def dispatch(self, target: InstanceId, message: CopyMessage) -> None:
        """Pass a message to a copy and execute the resulting commands."""
        started = time.perf_counter()
        commands = self.copies[target].handle(message, now_seconds=self.now_seconds)
        self.handle_seconds += time.perf_counter() - started
        for command in commands:
            self._execute(target, command)

    def is_complete(self) -> bool:
        """Return whether every live copy is complete."""
        return all(
            copy.state is CopyState.COMPLETED
            for member, copy in self.copies.items()
            if member not in self.dead
        )

    def origin_copies(self) -> float:
        """Return the bytes read from the origin, in multiples of the size of the weights."""
        return sum(size for _, _, size in self.origin_fetches) / self.manifest.weight_bytes

    def _send(self, sender: InstanceId, target: InstanceId, message: CopyMessage) -> None:
        self.messages[type(message).__name__] += 1
        self.message_bytes += len(msgspec.msgpack.encode(message)) + FRAME_BYTES
        if not self.is_partitioned(sender, target):
            self.post(target, message, self._latency_seconds)

    def _execute(self, own: InstanceId, command: CopyCommand) -> None:
        match command:
            case FetchChunk(source=source, index=index):
                if source == ORIGIN:
                    self._fetch_from_origin(own, index)
                elif source in self.dead or self.is_partitioned(own, source):
                    failed = ChunkFailed(source=source, index=index, reason=Unavailable())
                    self.post(own, failed, self._latency_seconds)
                else:
                    self._send(own, source, ChunkRequested(peer=own, index=index))
            case SendChunk(peer=peer, index=index, delay_seconds=delay):
                self._upload(own, peer, index, delay)
            case RefuseChunk(peer=peer, index=index, reason=reason):
                self._send(own, peer, ChunkFailed(source=own, index=index, reason=reason))
            case Announce(peers=peers, held=held, added=added):
                for peer in peers:
                    self._send(own, peer, PeerAnnounced(peer=own, held=held, added=added))
            case AskOwner(peer=peer, indexes=indexes):
                self._send(own, peer, OwnerAsked(peer=own, indexes=indexes))
            case AnswerOwner(peer=peer, asked=asked, held=held, fetching=fetching):
                answer = OwnerAnswered(peer=own, asked=asked, held=held, fetching=fetching)
                self._send(own, peer, answer)
            case AskAllowance(peer=peer, size_bytes=size):
                self._send(own, peer, AllowanceAsked(peer=own, size_bytes=size))
            case GiveAllowance(peer=peer, size_bytes=size):
                self._send(own, peer, AllowanceReceived(peer=own, size_bytes=size))
            case VerifyWeights():
                self.post(own, WeightsVerified(matches=self._weights_match(own)))
            case CopyCompleted():
                self.completed_seconds[own] = self.now_seconds
            case CancelFetch():
                pass
            case _:
                self.commands[own].append(command)

    def _weights_match(self, own: InstanceId) -> bool:
        try:
            self.manifest.verify_weights(self.memories[own].contents(self.manifest.digest))
        except CorruptedChunkError:
            return False
        return True

    def _transmit(self, link: object, kind: str, size: int, ready_seconds: float) -> float:
        """Queue bytes on a link and return the time at which the last one has passed."""
        start = max(ready_seconds, self._free_at_seconds[link])
        self._free_at_seconds[link] = start + size / self._rates[kind]
        return self._free_at_seconds[link]

    def _fetch_from_origin(self, own: InstanceId, index: int) -> None:
        size = len(self.chunk_contents[index])
        reason = self.origin_fault(self.now_seconds)
        if reason is not None:
            self.origin_refusals += 1
            failed = ChunkFailed(source=ORIGIN, index=ChunkIndex(index), reason=reason)
            self.post(own, failed, self._latency_seconds)
            return
        self.origin_fetches.append((self.now_seconds, own, size))
        sent = self._transmit("origin", "origin", size, self.now_seconds)
        self._deliver_chunk(ORIGIN, own, index, sent)

    def _upload(self, own: InstanceId, peer: InstanceId, index: int, delay: float) -> None:
        size = len(self.chunk_contents[index])
        sent = self._transmit(("up", own), "instance", size, self.now_seconds + delay)
        regions = (self.peers[own].region, self.peers[peer].region)
        if regions[0] != regions[1]:
            self.crossings[(*regions, index)] += 1
            sent = self._transmit(regions, "region", size, sent)
        self.post(
            own,
            UploadEnded(peer=peer, index=ChunkIndex(index)),
            max(0.0, sent - self.now_seconds),
        )
        if not self.is_partitioned(own, peer):
            self._deliver_chunk(own, peer, index, sent)

    def _deliver_chunk(self, source: InstanceId, own: InstanceId, index: int, sent: float) -> None:
        """Deliver a chunk; a queued transfer reports progress, as one on a shared link would."""
        if self.is_stalled(source, own):
            return
        content = self.chunk_contents[index]
        if self.is_corrupted(source, index):
            content = bytes(byte ^ 1 for byte in content)
        received = self._transmit(("down", own), "instance", len(content), self.now_seconds)
        arrival = max(sent, received) + self._latency_seconds - self.now_seconds
        for second in range(1, int(arrival) + 1):
            progressed = ChunkProgressed(source=source, index=ChunkIndex(index))
            self.post(own, progressed, float(second))
        message = ChunkArrived(source=source, index=ChunkIndex(index), content=content)
        self.post(own, message, arrival)
