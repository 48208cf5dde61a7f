"""Copy weights along fixed paths, for comparison with the copies of egretrouter."""

import asyncio
from typing import Any

from egretrouter.core.identifiers import ChunkIndex, InstanceId
from egretrouter.core.weights import ChunkArrived, CopyMessage, Manifest, VersionReference
from egretrouter.daemons._weight_transfers import WeightTransfers
from egretrouter.protocol import egretrouter_pb2 as pb

PARALLEL_FETCHES = 4
FANOUT = 2


def tree_parent(position: int) -> int | None:
    """Return the parent's position in a tree where each node has two children."""
    return (position - 1) // FANOUT if position else None


class PlannedCopy:
    """Fetch every chunk in order from one source: a parent, or the origin."""

    def __init__(self, *, transfers: WeightTransfers, parent: InstanceId | None) -> None:
        """Start without chunks; without a parent, the origin is the source."""
        self._transfers = transfers
        self._parent = parent
        self._chunks: dict[int, bytes] = {}
        self._arrived: dict[int, asyncio.Event] = {}

    @property
    def held(self) -> int:
        """Return the number of chunks held."""
        return len(self._chunks)

    async def copy(
        self, version: VersionReference, manifest: Manifest, addresses: dict[InstanceId, str]
    ) -> None:
        """Fetch all chunks and verify the complete weights."""
        order = iter(range(len(manifest.chunks)))

        async def fetch() -> None:
            for index in order:
                message = await self._fetch(version, manifest, ChunkIndex(index), addresses)
                assert isinstance(message, ChunkArrived), message
                manifest.verify_chunk(ChunkIndex(index), message.content)
                self._chunks[index] = message.content
                self._arrival_event(index).set()

        await asyncio.gather(*(fetch() for _ in range(PARALLEL_FETCHES)))
        manifest.verify_weights(self._chunks[index] for index in sorted(self._chunks))

    async def _fetch(
        self,
        version: VersionReference,
        manifest: Manifest,
        index: ChunkIndex,
        addresses: dict[InstanceId, str],
    ) -> CopyMessage:
        if self._parent is not None:
            return await self._transfers.chunk_from_peer(
                self._parent, addresses[self._parent], version.manifest_digest, index
            )
        return await self._transfers.chunk_from_origin(
            version,
            index,
            offset=sum(chunk.length_bytes for chunk in manifest.chunks[:index]),
            length=manifest.chunks[index].length_bytes,
            on_progress=lambda: None,
        )

    async def handle_chunk_request(self, request: pb.ChunkRequest, context: Any) -> pb.ChunkReply:
        """Send a chunk to a child as soon as it has arrived."""
        await self._arrival_event(request.index).wait()
        return pb.ChunkReply(status=pb.ChunkReply.CONTENT, content=self._chunks[request.index])

    def _arrival_event(self, index: int) -> asyncio.Event:
        return self._arrived.setdefault(index, asyncio.Event())
