"""Run the copies of several agents over loopback, with one origin."""

import asyncio
import random
from typing import Any

import aiohttp

from egretrouter.backends import HttpWeightSource
from egretrouter.core.identifiers import (
    Digest,
    InstanceId,
    ModelName,
    RegionId,
    VersionName,
    ZoneId,
)
from egretrouter.core.weights import ChunkMemory, CopySettings, Manifest, Peer, VersionReference
from egretrouter.daemons._copies import CopyLimits, CopyService
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.daemons._peers import PeersServicer
from egretrouter.daemons._weight_transfers import CopyPeer, WeightTransfers
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.standins import OriginStandin
from egretrouter.transport._rpc import ChannelPool, PeerSecurity, bind_server, build_server

CHUNK_BYTES = 4096
WEIGHT_BYTES = 24 * CHUNK_BYTES
SETTINGS = CopySettings(
    discovery_seconds=0.3,
    fallback_seconds=0.4,
    ask_timeout_seconds=0.3,
    backoff_min_seconds=0.05,
    backoff_max_seconds=0.5,
    quarantine_seconds=0.5,
    deadline_initial_seconds=1.0,
    serve_after_load_seconds=0.0,
)


class CopyAgent(PeersServicer):
    """Serve the chunks of one agent's copies to the other agents."""

    def __init__(
        self,
        world: "CopyWorld",
        name: str,
        *,
        memory_bytes: int = 4 * WEIGHT_BYTES,
        hold_seconds: float = 0.0,
        corrupts: bool = False,
    ) -> None:
        super().__init__(dump=dict)
        self.peer = Peer(instance_id=InstanceId(name), zone=ZoneId("z"), region=RegionId("r"))
        self.corrupts = corrupts
        self.address = ""
        self.ready: list[Digest] = []
        self.failed: dict[Digest, str] = {}
        self.memory = ChunkMemory(weight_memory_bytes=memory_bytes)
        self._channels = ChannelPool(PeerSecurity())
        metrics = AgentMetrics()
        self.service = self.copies = CopyService(
            own=self.peer,
            memory=self.memory,
            limits=CopyLimits(
                zone_bytes_per_minute=100 * WEIGHT_BYTES,
                expected_members=1,
                instance_bytes_per_second=1e9,
                regional_bytes_per_second=1e9,
                settings=SETTINGS,
            ),
            hold_seconds=hold_seconds,
            transfers=WeightTransfers(
                own=self.peer,
                origin=HttpWeightSource(world.session, base_url=world.origin.url),
                weight_store=None,
                channels=self._channels,
                metrics=metrics,
                rng=random.Random(name),
            ),
            metrics=metrics,
            rng=random.Random(name),
        )
        self.service.on_ready = self.ready.append
        self.service.on_failed = self.failed.__setitem__
        self._server = build_server(PeerSecurity())
        pb_grpc.add_PeersServicer_to_server(self, self._server)

    async def start(self) -> None:
        self.address = f"127.0.0.1:{bind_server(self._server, '127.0.0.1:0', PeerSecurity())}"
        await self._server.start()
        await self.service.start()

    async def stop(self) -> None:
        await self._server.stop(0)
        await self.service.stop()
        await self._channels.close()

    async def FetchChunk(self, request: pb.ChunkRequest, context: Any) -> pb.ChunkReply:  # noqa: N802
        reply = await super().FetchChunk(request, context)
        if self.corrupts and reply.content:
            reply.content = bytes(len(reply.content))
        return reply

    def held(self, version: VersionReference) -> int:
        return self.memory.held(version.manifest_digest).bit_count()

    def content(self, version: VersionReference) -> bytes:
        return b"".join(self.memory.contents(version.manifest_digest))

    def state(self, version: VersionReference) -> dict[str, Any]:
        copies: dict[str, Any] = self.service.snapshot()["copies"]
        found: dict[str, Any] = copies.get(version.manifest_digest, {})
        return found


class CopyWorld:
    """Run the origin and the agents of one zone."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.origin = OriginStandin()
        self.agents: dict[str, CopyAgent] = {}

    def add_version(self, name: str) -> tuple[VersionReference, bytes]:
        content = random.Random(name).randbytes(WEIGHT_BYTES)
        manifest: Manifest = self.origin.add_version("m", name, content, chunk_bytes=CHUNK_BYTES)
        version = VersionReference(
            model=ModelName("m"), version=VersionName(name), manifest_digest=manifest.digest
        )
        return version, content

    async def add(self, *names: str, **options: Any) -> list[CopyAgent]:
        added = [CopyAgent(self, name, **options) for name in names]
        for agent in added:
            await agent.start()
            self.agents[agent.peer.instance_id] = agent
        self.update_peers()
        return added

    def update_peers(self) -> None:
        peers = [CopyPeer(peer=a.peer, address=a.address) for a in self.agents.values()]
        for agent in self.agents.values():
            agent.service.set_peers(peers)

    async def kill(self, name: str) -> None:
        await self.agents.pop(name).stop()
        self.update_peers()

    async def stop(self) -> None:
        await asyncio.gather(*(agent.stop() for agent in self.agents.values()))
        await self.origin.stop()
