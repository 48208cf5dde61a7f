"""Serve chunks, answers and announcements to peers."""

from collections import defaultdict
from collections.abc import Callable

from egretrouter.core.identifiers import ChunkIndex, InstanceId
from egretrouter.core.weights._budget import TokenBucket
from egretrouter.core.weights._messages import (
    Announce,
    AnswerOwner,
    Busy,
    ChunkRequested,
    CopyCommand,
    CopySettings,
    Missing,
    OwnerAsked,
    RefuseChunk,
    SendChunk,
)

STALE_UPLOAD_SECONDS = 60.0
"""Time after which the slot of an upload whose end was never reported is freed."""


class LinkShares:
    """Token buckets that limit what copies send over the links of one agent."""

    def __init__(self, *, instance: TokenBucket, between_regions: TokenBucket) -> None:
        self.instance = instance
        self.between_regions = between_regions


class PeerServer:
    """Limit uploads to peers, and batch answers and announcements."""

    def __init__(
        self, *, settings: CopySettings, links: LinkShares | None, chunk_count: int
    ) -> None:
        self._settings = settings
        self._links = links
        self._bitmap_bytes = (chunk_count + 7) // 8
        self._uploads: dict[tuple[InstanceId, ChunkIndex], float] = {}
        self._waiters: dict[ChunkIndex, set[InstanceId]] = defaultdict(set)
        self._added: list[ChunkIndex] = []
        self._next_announce_seconds = 0.0
        self._ramp_until_seconds: float | None = None
        """End of the period after the first chunk with more frequent announcements."""
        self._next_bitmap_seconds = 0.0
        self.bitmap_recipients: set[InstanceId] = set()
        """Peers that were sent a full bitmap."""

    def handle_request(
        self,
        message: ChunkRequested,
        *,
        length_bytes: int | None,
        to_other_region: bool,
        now_seconds: float,
    ) -> CopyCommand:
        """Grant or refuse an upload; length_bytes is None if the chunk is not held."""
        peer, index = message.peer, message.index
        if length_bytes is None:
            return RefuseChunk(peer=peer, index=index, reason=Missing())
        for key, started in list(self._uploads.items()):
            if started < now_seconds - STALE_UPLOAD_SECONDS:
                del self._uploads[key]
        delay = 0.0
        if len(self._uploads) >= self._settings.parallel_uploads:
            delay = -1.0
        elif self._links is not None:
            link = self._links.between_regions if to_other_region else self._links.instance
            delay = link.reserve(
                length_bytes,
                now_seconds=now_seconds,
                max_delay_seconds=self._settings.max_upload_delay_seconds,
            )
        if delay < 0:
            busy = Busy(retry_after_seconds=self._settings.busy_seconds)
            return RefuseChunk(peer=peer, index=index, reason=busy)
        self._uploads[(peer, index)] = now_seconds
        return SendChunk(peer=peer, index=index, delay_seconds=delay)

    def end_upload(self, peer: InstanceId, index: ChunkIndex) -> None:
        """Free the slot of an upload."""
        self._uploads.pop((peer, index), None)

    def answer_owner_question(
        self, message: OwnerAsked, *, held: int, is_fetching: Callable[[ChunkIndex], bool]
    ) -> CopyCommand:
        """Answer a question, and record the peer as a waiter for chunks not held yet."""
        have = tuple(index for index in message.indexes if held >> index & 1)
        rest = [index for index in message.indexes if not held >> index & 1]
        for index in rest:
            self._waiters[index].add(message.peer)
        fetching = tuple(index for index in rest if is_fetching(index))
        return AnswerOwner(peer=message.peer, asked=message.indexes, held=have, fetching=fetching)

    def record_stored(self, index: ChunkIndex) -> None:
        """Queue a stored chunk for the next announcement."""
        self._added.append(index)

    def drop_peer(self, peer: InstanceId) -> None:
        """Remove a departed peer from recipients and waiters."""
        self.bitmap_recipients.discard(peer)
        for waiters in self._waiters.values():
            waiters.discard(peer)

    def send_bitmap(self, peers: tuple[InstanceId, ...], *, held: int) -> list[CopyCommand]:
        """Send the full bitmap to peers that have not received it."""
        new = tuple(peer for peer in peers if peer not in self.bitmap_recipients)
        self.bitmap_recipients.update(new)
        return [Announce(peers=new, held=self._encode_bitmap(held))] if new else []

    def announce(
        self, peers: tuple[InstanceId, ...], *, held: int, now_seconds: float
    ) -> list[CopyCommand]:
        """Return the due answers to waiting peers and the announcement of added chunks."""
        full = bool(peers) and now_seconds >= self._next_bitmap_seconds
        if now_seconds < self._next_announce_seconds or not (self._added or full):
            return []
        settings = self._settings
        if self._ramp_until_seconds is None:
            self._ramp_until_seconds = now_seconds + settings.ramp_seconds
        in_ramp = now_seconds < self._ramp_until_seconds
        interval = settings.ramp_announce_seconds if in_ramp else settings.announce_seconds
        self._next_announce_seconds = now_seconds + interval
        commands: list[CopyCommand] = []
        answers: dict[InstanceId, list[ChunkIndex]] = defaultdict(list)
        for index in self._added:
            for peer in sorted(self._waiters.pop(index, ())):
                answers[peer].append(index)
        for peer, indexes in answers.items():
            commands.append(AnswerOwner(peer=peer, held=tuple(indexes)))
        if full:
            # A periodic full bitmap makes up for lost announcements.
            commands.append(Announce(peers=peers, held=self._encode_bitmap(held)))
            self._next_bitmap_seconds = now_seconds + settings.full_announce_seconds
        elif peers and self._added:
            commands.append(Announce(peers=peers, added=tuple(self._added)))
        self._added.clear()
        return commands

    def _encode_bitmap(self, held: int) -> bytes:
        """Encode a bitmap, least significant bit first."""
        return held.to_bytes(self._bitmap_bytes, "little")

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            "uploads": len(self._uploads),
            "waiters": sum(len(waiters) for waiters in self._waiters.values()),
        }
