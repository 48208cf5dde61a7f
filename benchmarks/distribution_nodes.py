"""Run the instances of the distribution benchmark in worker processes."""

import asyncio
import random
import resource
import time
from multiprocessing.connection import Connection
from typing import Any

import aiohttp
import msgspec

from benchmarks.baselines.distribution import PlannedCopy
from benchmarks.shaped_links import Faults, ShapedInstance, ShapedTransfers
from benchmarks.stream_processes import serve_commands
from egretrouter.backends import HttpWeightSource
from egretrouter.core.configuration import Objective
from egretrouter.core.identifiers import Digest, InstanceId, RegionId, ZoneId
from egretrouter.core.weights import ChunkMemory, CopySettings, Manifest, Peer, VersionReference
from egretrouter.daemons._copies import CopyLimits, CopyService
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.daemons._peers import PeersServicer
from egretrouter.daemons._weight_transfers import CopyPeer
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.standins import EngineStandin
from egretrouter.transport._rpc import ChannelPool, PeerSecurity, bind_server, build_server

HOLD_SECONDS = 75.0
UNLIMITED_BYTES_PER_SECOND = 1e12
"""Rate of the copies' own token buckets, so high that only the shaped links limit a copy."""


class RunSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Configure one run of a worker."""

    policy: str
    objective: Objective
    origin_url: str
    link_bytes_per_second: float
    zone_budget_bytes: int
    members_per_zone: int
    weight_bytes: int
    seed: int
    token_interval_seconds: float | None = None
    settings: dict[str, float] = {}


class NodeSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one instance."""

    instance_id: InstanceId
    zone: ZoneId
    parent: InstanceId | None = None
    faults: Faults = Faults()
    established: bool = True


class Contact(msgspec.Struct, frozen=True, kw_only=True):
    """Pair an instance with the address at which it listens."""

    spec: NodeSpec
    address: str


class Node:
    """Run the copy of one instance behind its own server and links."""

    def __init__(
        self, run_settings: RunSettings, spec: NodeSpec, session: aiohttp.ClientSession
    ) -> None:
        """Prepare the instance; start opens its server."""
        rng = random.Random(f"{run_settings.seed}/{spec.instance_id}/{spec.established}")
        own = Peer(instance_id=spec.instance_id, zone=spec.zone, region=RegionId("r"))
        metrics = AgentMetrics()
        self.done_seconds: float | None = None
        self.failure: str | None = None
        self.instance = ShapedInstance(run_settings.link_bytes_per_second, spec.faults, rng)
        self.zones: dict[InstanceId, ZoneId] = {}
        self._spec = spec
        self._channels = ChannelPool(PeerSecurity())
        self.transfers = ShapedTransfers(
            instance=self.instance,
            zone=spec.zone,
            zone_of=self.zones.get,
            own=own,
            origin=HttpWeightSource(session, base_url=run_settings.origin_url),
            weight_store=None,
            channels=self._channels,
            metrics=metrics,
            rng=rng,
        )
        self.planned: PlannedCopy | None = None
        self.service: CopyService | None = None
        if run_settings.policy == "egretrouter":
            self.service = CopyService(
                own=own,
                memory=ChunkMemory(weight_memory_bytes=run_settings.weight_bytes),
                limits=CopyLimits(
                    zone_bytes_per_minute=run_settings.zone_budget_bytes,
                    expected_members=run_settings.members_per_zone,
                    instance_bytes_per_second=UNLIMITED_BYTES_PER_SECOND,
                    regional_bytes_per_second=UNLIMITED_BYTES_PER_SECOND,
                    settings=msgspec.convert(
                        {"objective": run_settings.objective, **run_settings.settings}, CopySettings
                    ),
                ),
                hold_seconds=HOLD_SECONDS,
                transfers=self.transfers,
                metrics=metrics,
                rng=rng,
                joined_seconds=self._joined_seconds(spec),
            )
            self.service.on_ready = self._record_ready
            self.service.on_failed = self._record_failure
        else:
            self.planned = PlannedCopy(transfers=self.transfers, parent=spec.parent)
        self._servicer = PeersServicer(dump=dict)
        self._servicer.copies = self  # type: ignore[assignment]
        self._server = build_server(PeerSecurity())
        pb_grpc.add_PeersServicer_to_server(self._servicer, self._server)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> str:
        """Listen and return the address."""
        port = bind_server(self._server, "127.0.0.1:0", PeerSecurity())
        await self._server.start()
        if self.service is not None:
            await self.service.start()
        return f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop the server and the copy without a drain."""
        await self._server.stop(0)
        if self._task is not None:
            self._task.cancel()
        if self.service is not None:
            await self.service.stop()
        await self._channels.close()

    def set_contacts(self, contacts: list[Contact]) -> None:
        """Update the zones and addresses of the other instances."""
        self.zones.update({c.spec.instance_id: c.spec.zone for c in contacts})
        self._addresses = {c.spec.instance_id: c.address for c in contacts}
        if self.service is not None:
            self.service.set_peers(
                CopyPeer(
                    peer=Peer(
                        instance_id=c.spec.instance_id, zone=c.spec.zone, region=RegionId("r")
                    ),
                    address=c.address,
                    seen_seconds=self._joined_seconds(c.spec),
                )
                for c in contacts
            )

    def begin(self, version: VersionReference, manifest: Manifest) -> None:
        """Start the copy of a version."""
        if self.service is not None:
            self.service.start_copy(version)
        elif self.planned is not None:
            self._task = asyncio.create_task(self._copy(self.planned, version, manifest))

    async def _copy(
        self, planned: PlannedCopy, version: VersionReference, manifest: Manifest
    ) -> None:
        await planned.copy(version, manifest, self._addresses)
        self.done_seconds = time.monotonic()

    @staticmethod
    def _joined_seconds(spec: NodeSpec) -> float | None:
        return time.monotonic() - 2 * HOLD_SECONDS if spec.established else None

    def _record_ready(self, _: Digest) -> None:
        self.done_seconds = time.monotonic()

    def _record_failure(self, _: Digest, reason: str) -> None:
        self.failure = reason

    def manifest_content(self, digest: Digest) -> bytes:
        """Return a manifest for a peer."""
        return self.service.manifest_content(digest) if self.service is not None else b""

    def handle_notice(self, notice: pb.CopyNotice) -> None:
        """Pass a message of a peer's copy to this one."""
        if self.service is not None:
            self.service.handle_notice(notice)

    async def handle_chunk_request(self, request: pb.ChunkRequest, context: Any) -> pb.ChunkReply:
        """Send a chunk over the instance's shaped link."""
        copies = self.service or self.planned
        assert copies is not None
        return await self.instance.send(await copies.handle_chunk_request(request, context))


class Worker:
    """Run a share of the instances and execute the commands of the benchmark."""

    def __init__(self) -> None:
        """Start without instances."""
        self._nodes: dict[InstanceId, Node] = {}
        self._engines: list[EngineStandin] = []
        self._run_settings: RunSettings
        self._session: aiohttp.ClientSession
        self._version: VersionReference
        self._manifest: Manifest
        self._crossed_bytes = 0

    async def open(self, run_settings: RunSettings) -> None:
        """Store the settings of a run and open its HTTP session."""
        self._run_settings = run_settings
        self._crossed_bytes = 0
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def add(self, specs: list[NodeSpec]) -> list[Contact]:
        """Start instances and return their addresses."""
        contacts = []
        for spec in specs:
            node = self._nodes[spec.instance_id] = Node(self._run_settings, spec, self._session)
            contacts.append(Contact(spec=spec, address=await node.start()))
        return contacts

    async def engines(self, count: int) -> list[str]:
        """Start engines in this process and return their URLs."""
        interval = self._run_settings.token_interval_seconds
        assert interval is not None
        for _ in range(count):
            engine = EngineStandin(token_interval_seconds=interval)
            engine.loaded["m", "old"] = Digest("0" * 64)
            await engine.start()
            self._engines.append(engine)
        return [engine.url for engine in self._engines]

    async def contacts(self, contacts: list[Contact]) -> None:
        """Pass the addresses of all instances to each of them."""
        for node in self._nodes.values():
            node.set_contacts(contacts)

    async def begin(
        self, argument: tuple[VersionReference, bytes, list[InstanceId] | None]
    ) -> None:
        """Start the copies on all instances or on the given ones."""
        self._version, manifest, members = argument
        self._manifest = Manifest.from_json(manifest)
        for instance_id in members if members is not None else self._nodes:
            if instance_id in self._nodes:
                self._nodes[instance_id].begin(self._version, self._manifest)

    async def kill(self, instance_id: InstanceId) -> None:
        """Stop an instance without a drain."""
        node = self._nodes.pop(instance_id, None)
        if node is not None:
            self._crossed_bytes += node.transfers.crossed_bytes
            await node.stop()

    async def status(self, _: Any) -> dict[str, Any]:
        """Return the progress and the resource use so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        nodes = self._nodes.values()
        crossed_bytes = sum(node.transfers.crossed_bytes for node in nodes)
        return {
            "done": {i: n.done_seconds for i, n in self._nodes.items()},
            "failed": {i: n.failure for i, n in self._nodes.items() if n.failure},
            "received_bytes": {i: n.instance.downlink.passed_bytes for i, n in self._nodes.items()},
            "crossed_bytes": self._crossed_bytes + crossed_bytes,
            "processor_seconds": usage.ru_utime + usage.ru_stime,
        }

    async def dump(self, _: Any) -> dict[str, Any]:
        """Return the snapshots of all copies."""
        return {i: n.service.snapshot() for i, n in self._nodes.items() if n.service is not None}

    async def close(self, _: Any) -> None:
        """Stop all instances and engines."""
        await asyncio.gather(*(node.stop() for node in self._nodes.values()))
        await asyncio.gather(*(engine.stop() for engine in self._engines))
        self._nodes.clear()
        self._engines.clear()
        await self._session.close()


def worker_main(pipe: Connection) -> None:
    """Run the event loop of a worker process."""
    worker = Worker()
    names = ("open", "add", "engines", "contacts", "begin", "kill", "status", "dump", "close")
    asyncio.run(serve_commands(pipe, {name: getattr(worker, name) for name in names}))
