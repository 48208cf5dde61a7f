"""Test that chunks of the origin don't wait behind parts from peers."""

import asyncio
import random
import time
from collections.abc import Callable

from egretrouter.core.identifiers import (
    ChunkIndex,
    Digest,
    InstanceId,
    ModelName,
    RegionId,
    VersionName,
    ZoneId,
)
from egretrouter.core.weights import ChunkArrived, PartWindow, Peer, VersionReference
from egretrouter.daemons._copies import link_bucket
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.daemons._weight_transfers import NarrowLink, WeightTransfers
from egretrouter.transport import ChannelPool, PeerSecurity

CHUNK = bytes(32 * 1024)
LINK_BYTES_PER_SECOND = 100_000
VERSION = VersionReference(
    model=ModelName("m"), version=VersionName("2"), manifest_digest=Digest("d" * 64)
)


class Origin:
    """Answer at once with the same chunk."""

    async def manifest(self, model: ModelName, version: VersionName) -> bytes:
        raise NotImplementedError

    async def chunk(
        self,
        model: ModelName,
        version: VersionName,
        index: ChunkIndex,
        *,
        offset: int,
        length: int,
        on_bytes: Callable[[], None] | None = None,
    ) -> bytes:
        return CHUNK


def transfers_over(link: NarrowLink) -> WeightTransfers:
    return WeightTransfers(
        own=Peer(instance_id=InstanceId("side-1"), zone=ZoneId("z"), region=RegionId("r")),
        origin=Origin(),
        weight_store=None,
        channels=ChannelPool(PeerSecurity()),
        metrics=AgentMetrics(),
        rng=random.Random(1),
        link=link,
    )


def narrow_link() -> NarrowLink:
    return NarrowLink(
        downloads=link_bucket(LINK_BYTES_PER_SECOND, len(CHUNK)),
        uploads=link_bucket(LINK_BYTES_PER_SECOND, len(CHUNK)),
        part_bytes=8 * 1024,
        window=PartWindow(slow_seconds=0.25),
    )


async def fetch(transfers: WeightTransfers) -> bool:
    """Return whether a chunk of the origin arrives without waiting for the link."""
    async with asyncio.timeout(0.2):
        message = await transfers.chunk_from_origin(
            VERSION, ChunkIndex(0), offset=0, length=len(CHUNK), on_progress=lambda: None
        )
    return isinstance(message, ChunkArrived)


class TestOriginFirst:
    """Guard against chunks that are not fetched before their origin ends."""

    async def test_chunk_does_not_wait_for_a_place_among_parts_of_peers(self) -> None:
        link = narrow_link()
        while link.window.has_capacity:
            link.window.record_start()
        assert await fetch(transfers_over(link))

    async def test_chunk_does_not_wait_for_chunks_that_peers_will_send(self) -> None:
        link = narrow_link()
        for _ in range(4):
            link.downloads.reserve(len(CHUNK), now_seconds=time.monotonic(), max_delay_seconds=10.0)
        assert await fetch(transfers_over(link))

    async def test_parts_of_peers_wait_for_the_chunks_of_the_origin(self) -> None:
        link = narrow_link()
        transfers = transfers_over(link)
        for _ in range(4):
            assert await fetch(transfers)
        delay_seconds = link.downloads.reserve(
            len(CHUNK), now_seconds=time.monotonic(), max_delay_seconds=10.0
        )
        assert delay_seconds > 0.5
