"""Give instances in one process links of limited rate in both directions."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec

from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId, ZoneId
from egretrouter.core.rollout import VersionReference
from egretrouter.core.weights import ChunkArrived, CopyMessage
from egretrouter.daemons._weight_transfers import WeightTransfers
from egretrouter.protocol import egretrouter_pb2 as pb

TIMER_SLACK_SECONDS = 0.02
"""Idle time of a link that may be used later; makes up for sleeps that last too long."""


class Link:
    """Let bytes through at a rate, first come first served."""

    def __init__(self, bytes_per_second: float) -> None:
        """Start idle."""
        self._bytes_per_second = bytes_per_second
        self._free_seconds = 0.0
        self.stalled = False
        self.passed_bytes = 0

    async def send(self, size: int) -> None:
        """Wait until the last byte has left."""
        if self.stalled:
            await asyncio.Event().wait()
        await self._occupy(size, time.monotonic() - TIMER_SLACK_SECONDS)

    async def receive(self, size: int) -> None:
        """Wait until the last byte is in; the first ones came while the sender sent the rest."""
        await self._occupy(size, time.monotonic() - size / self._bytes_per_second)

    async def _occupy(self, size: int, earliest_seconds: float) -> None:
        start = max(earliest_seconds, self._free_seconds)
        self._free_seconds = start + size / self._bytes_per_second
        await asyncio.sleep(max(0.0, self._free_seconds - time.monotonic()))
        self.passed_bytes += size


class Faults(msgspec.Struct, frozen=True, kw_only=True):
    """Set what goes wrong with the chunks that one instance sends."""

    corrupted_share: float = 0.0
    stalled: bool = False


class ShapedInstance:
    """Hold the links and the faults of one instance."""

    def __init__(self, bytes_per_second: float, faults: Faults, rng: random.Random) -> None:
        """Start idle."""
        self.up = Link(bytes_per_second)
        self.down = Link(bytes_per_second)
        self.up.stalled = faults.stalled
        self._corrupted_share = faults.corrupted_share
        self._rng = rng

    async def send(self, reply: pb.ChunkReply) -> pb.ChunkReply:
        """Pass a reply through the link out, perhaps damaged."""
        if reply.status == pb.ChunkReply.CONTENT:
            if self._rng.random() < self._corrupted_share:
                reply.content = bytes([reply.content[0] ^ 0xFF]) + reply.content[1:]
            await self.up.send(len(reply.content))
        return reply


class ShapedTransfers(WeightTransfers):
    """Pass what arrives through the instance's link in, and count what crosses zones."""

    def __init__(
        self,
        *,
        instance: ShapedInstance,
        zone: ZoneId,
        zone_of: Callable[[InstanceId], ZoneId | None],
        **kwargs: Any,
    ) -> None:
        """Take the instance and how to find a peer's zone."""
        super().__init__(**kwargs)
        self._instance = instance
        self._zone = zone
        self._zone_of = zone_of
        self.crossed_bytes = 0

    async def chunk_from_origin(
        self, version: VersionReference, index: ChunkIndex, **options: Any
    ) -> CopyMessage:
        """Read a chunk from the origin."""
        return await self._receive(await super().chunk_from_origin(version, index, **options))

    async def chunk_from_peer(
        self, source: InstanceId, address: str, digest: Digest, index: ChunkIndex
    ) -> CopyMessage:
        """Ask a peer for a chunk."""
        message = await super().chunk_from_peer(source, address, digest, index)
        if isinstance(message, ChunkArrived) and self._zone_of(source) != self._zone:
            self.crossed_bytes += len(message.content)
        return await self._receive(message)

    async def _receive(self, message: CopyMessage) -> CopyMessage:
        if isinstance(message, ChunkArrived):
            await self._instance.down.receive(len(message.content))
        return message
