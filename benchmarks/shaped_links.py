"""Simulate links of limited rate between instances in one process."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec

from egretrouter.core.identifiers import ChunkIndex, Digest, InstanceId, ZoneId
from egretrouter.core.weights import ChunkArrived, CopyMessage, VersionReference
from egretrouter.daemons._weight_transfers import WeightTransfers
from egretrouter.protocol import egretrouter_pb2 as pb

TIMER_SLACK_SECONDS = 0.02
"""Idle time of a link that may be used later, to compensate for sleeps that overrun."""


class Link:
    """Limit the rate of one direction of a link, first come first served."""

    def __init__(self, bytes_per_second: float) -> None:
        """Start idle."""
        self._bytes_per_second = bytes_per_second
        self._free_at_seconds = 0.0
        self.stalled = False
        self.passed_bytes = 0

    async def send(self, size: int) -> None:
        """Wait until the last byte is sent; a stalled link never sends."""
        if self.stalled:
            await asyncio.Event().wait()
        await self._transmit(size, time.monotonic() - TIMER_SLACK_SECONDS)

    async def receive(self, size: int) -> None:
        """Wait until the last byte is received; the first ones arrive during the sending."""
        await self._transmit(size, time.monotonic() - size / self._bytes_per_second)

    async def _transmit(self, size: int, earliest_seconds: float) -> None:
        start = max(earliest_seconds, self._free_at_seconds)
        self._free_at_seconds = start + size / self._bytes_per_second
        await asyncio.sleep(max(0.0, self._free_at_seconds - time.monotonic()))
        self.passed_bytes += size


class Faults(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the faults of the chunks that one instance sends."""

    corrupted_share: float = 0.0
    stalled: bool = False


class ShapedInstance:
    """Simulate the uplink, the downlink and the faults of one instance."""

    def __init__(self, bytes_per_second: float, faults: Faults, rng: random.Random) -> None:
        """Start idle."""
        self.uplink = Link(bytes_per_second)
        self.downlink = Link(bytes_per_second)
        self.uplink.stalled = faults.stalled
        self._corrupted_share = faults.corrupted_share
        self._rng = rng

    async def send(self, reply: pb.ChunkReply) -> pb.ChunkReply:
        """Send a reply over the uplink; a share of the chunks is corrupted."""
        if reply.status == pb.ChunkReply.CONTENT:
            if self._rng.random() < self._corrupted_share:
                reply.content = bytes([reply.content[0] ^ 0xFF]) + reply.content[1:]
            await self.uplink.send(len(reply.content))
        return reply


class ShapedTransfers(WeightTransfers):
    """Receive chunks over the instance's downlink and count the bytes that cross zones."""

    def __init__(
        self,
        *,
        instance: ShapedInstance,
        zone: ZoneId,
        zone_of: Callable[[InstanceId], ZoneId | None],
        **kwargs: Any,
    ) -> None:
        """Start without bytes; zone_of maps a peer to its zone."""
        super().__init__(**kwargs)
        self._instance = instance
        self._zone = zone
        self._zone_of = zone_of
        self.crossed_bytes = 0

    async def chunk_from_origin(
        self, version: VersionReference, index: ChunkIndex, **options: Any
    ) -> CopyMessage:
        """Read a chunk from the origin over the downlink."""
        return await self._receive(await super().chunk_from_origin(version, index, **options))

    async def chunk_from_peer(
        self, source: InstanceId, address: str, digest: Digest, index: ChunkIndex
    ) -> CopyMessage:
        """Request a chunk from a peer and receive it over the downlink."""
        message = await super().chunk_from_peer(source, address, digest, index)
        if isinstance(message, ChunkArrived) and self._zone_of(source) != self._zone:
            self.crossed_bytes += len(message.content)
        return await self._receive(message)

    async def _receive(self, message: CopyMessage) -> CopyMessage:
        if isinstance(message, ChunkArrived):
            await self._instance.downlink.receive(len(message.content))
        return message
