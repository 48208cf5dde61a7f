"""Run the agent of a model engine that routers reach directly."""

import asyncio
import math
import random
import time
from collections.abc import Collection
from typing import Any

import msgspec
from mode import Service

from egretrouter.backends import (
    EngineState,
    StagedEngine,
    StateKind,
    StateStore,
    WeightSource,
)
from egretrouter.core.direct import (
    MIN_START_LEAD_SECONDS,
    FleetRole,
    Replica,
    RoutingTable,
    WeightSwitch,
    WeightVersion,
    service_seconds,
    start_lead_seconds,
)
from egretrouter.core.errors import BackendError, EgretrouterError
from egretrouter.core.identifiers import Digest, ModelName, VersionName
from egretrouter.core.limits import Backoff
from egretrouter.core.weights import ChunkMemory, CopyRestarts, Manifest, Peer, VersionReference
from egretrouter.daemons._copies import CopyService
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.daemons._peers import PeersServicer
from egretrouter.daemons._weight_transfers import CopyPeer, WeightTransfers
from egretrouter.direct._boot_clock import boot_seconds
from egretrouter.direct._copy_limits import copy_limits, copy_seconds, narrow_link
from egretrouter.direct._logs import log_event
from egretrouter.direct._manifests import ManifestFinder
from egretrouter.direct._process import DirectProcess
from egretrouter.direct._settings import DirectSettings
from egretrouter.direct._staging import WeightStaging
from egretrouter.protocol import egretrouter_pb2 as pb

REPORT_SECONDS = 0.1
OTHER_ZONES_REPORT_SECONDS = 0.2
# In zones with many routers an agent reports less often, as each router sends it fewer calls, but
# often enough that one lost report does not make it count as silent.
REPORTS_PER_SECOND = 100
REPORT_LIMIT_SECONDS = 0.3
ANNOUNCED_COPIES = 3
STEP_SECONDS = 0.1
FIRST_VERSION = 1
STOP_MARGIN_SECONDS = 0.7
CHUNK_MEMORY_BYTES = 48 * 1024 * 1024
# A copy that failed starts again within this time, which doubles with each failure in a row.
RESTART_FIRST_SECONDS = 0.3
RESTART_LIMIT_SECONDS = 4.0


def report_interval_seconds(routers: int) -> float:
    """Return the time between two reports to the routers of a zone."""
    return min(REPORT_LIMIT_SECONDS, max(REPORT_SECONDS, routers / REPORTS_PER_SECOND))


class AgentPeersServicer(PeersServicer):
    """Serve state, chunks and dumps to other agents and routers."""

    def __init__(self, agent: "DirectAgent") -> None:
        super().__init__(dump=agent.dump)
        self.copies = agent.copies
        self._agent = agent

    async def FetchState(self, request: pb.StateRequest, context: Any) -> pb.StateReply:  # noqa: N802
        """Return the requested kinds of shared state."""
        return self._agent.state_replies.build(request)


class DirectAgent(DirectProcess):
    """Copy and load the weights of one engine and report its load to routers."""

    role = FleetRole.AGENT
    kinds = (StateKind.CONFIGURATION, StateKind.WEIGHTS)
    # A copy takes most of the time allowed for a switch; receiving the target from a peer would add
    # 0.3 s.
    watched_kinds = (StateKind.WEIGHTS,)

    def __init__(
        self,
        settings: DirectSettings,
        *,
        store: StateStore,
        engine: StagedEngine,
        origin: WeightSource,
        rng: random.Random,
        **kwargs: Any,
    ) -> None:
        super().__init__(settings, store=store, rng=rng, **kwargs)
        self.metrics = AgentMetrics()
        own = Peer(instance_id=settings.instance_id, zone=settings.zone, region=settings.region)
        self.copies = CopyService(
            own=own,
            memory=ChunkMemory(weight_memory_bytes=CHUNK_MEMORY_BYTES),
            limits=copy_limits(settings),
            hold_seconds=0.0,
            transfers=WeightTransfers(
                own=own,
                origin=origin,
                weight_store=None,
                channels=self.channels,
                metrics=self.metrics,
                rng=rng,
                link=narrow_link(settings),
            ),
            metrics=self.metrics,
            rng=rng,
        )
        self.copies.on_ready = self._record_complete
        self.copies.on_failed = self._handle_failed_copy
        self._engine = engine
        self._staging = WeightStaging(engine, memory=self.copies.memory)
        self._manifest_finder = ManifestFinder(
            origin=origin,
            fleet=self.fleet,
            copies=self.copies,
            peer_port=settings.peer_port,
            rng=rng,
        )
        self._switches: dict[ModelName, WeightSwitch] = {}
        self._manifests: dict[tuple[ModelName, int], Manifest] = {}
        self._complete: set[Digest] = set()
        self._active_copies: set[tuple[ModelName, int]] = set()
        self._restarts: CopyRestarts[tuple[ModelName, int]] = CopyRestarts(
            Backoff(rng, base_seconds=RESTART_FIRST_SECONDS, limit_seconds=RESTART_LIMIT_SECONDS)
        )
        self._paused: set[tuple[ModelName, int]] = set()
        """Paused incomplete copies, whose chunks other agents may still fetch."""
        self._engine_state: EngineState | None = None
        self._draining = False
        """Whether the engine accepts no new calls, to be empty when it loads."""
        self._start_lead_seconds = MIN_START_LEAD_SECONDS
        self._drain_seconds = 0.0
        """How long a call on a full engine usually takes."""
        self.shared_state.on_weights.append(self._set_target)
        self.shared_state.on_configuration.append(self._apply_configuration)

    async def on_start(self) -> None:
        """Start the peer server, the shared state and the copy service."""
        await self.start_process(AgentPeersServicer(self), self.metrics)
        await self.add_runtime_dependency(self.copies)

    async def drain(self) -> None:
        """Announce the stop, and leave peers time to fetch chunks that only this agent has."""
        self.fleet.announce(leaving=True)
        if self._is_target_being_copied():
            await asyncio.sleep(self.settings.bounds.grace_seconds - STOP_MARGIN_SECONDS)

    def _is_target_being_copied(self) -> bool:
        """Return whether another live agent may still be copying a target version."""
        for switch in self._switches.values():
            manifest = self._manifests.get((switch.model, switch.target))
            name = f"{switch.model}/{switch.target}"
            others = [member.serving for member in self.fleet.live_members(FleetRole.AGENT)]
            if manifest is not None and any(serving != name for serving in others):
                return True
        return False

    async def on_stop(self) -> None:
        """Stop the copies, then close the sockets that they use."""
        await self.copies.stop()
        await super().on_stop()

    @Service.task
    async def _report(self) -> None:
        """Report the engine's load to routers periodically."""
        other_zones_due = time.monotonic()
        while not self.should_stop:
            try:
                self._engine_state = await self._engine.state()
            except BackendError as error:
                if self._engine_state is not None:
                    log_event("engine:lost", error=str(error))
                self._engine_state = None
            else:
                now = time.monotonic()
                to_other_zones = now >= other_zones_due
                if to_other_zones:
                    other_zones_due = now + OTHER_ZONES_REPORT_SECONDS - REPORT_SECONDS / 2
                self._send_report(self._engine_state, to_other_zones=to_other_zones)
            routers = len(self.fleet.fleet.zone_routers())
            await self.sleep(report_interval_seconds(routers))

    def _send_report(self, state: EngineState, *, to_other_zones: bool) -> None:
        report = state.load
        if self._draining and not report.loading:
            report = msgspec.structs.replace(report, loading=True)
        self.fleet.send_load(self.settings.engine, report, to_other_zones=to_other_zones)

    @Service.task
    async def _update_peers(self) -> None:
        while not self.should_stop:
            self.copies.set_peers(
                CopyPeer(
                    peer=Peer(
                        instance_id=member.instance_id,
                        zone=member.zone,
                        region=member.region,
                        # An agent that is leaving still serves its chunks, but owns none.
                        is_newcomer=member.leaving,
                    ),
                    address=f"{member.address}:{self.settings.peer_port}",
                )
                for member in self.fleet.live_members(FleetRole.AGENT)
            )
            await self.sleep(0.5)

    def _apply_configuration(self, table: RoutingTable) -> None:
        """Set the first version as the target of each model that has no target yet."""
        for service in table.services:
            if service.name == self.settings.engine_service and service.engine is not None:
                self._drain_seconds = service_seconds(service.engine)
                self._start_lead_seconds = start_lead_seconds(service.engine)
                for model in service.engine.models:
                    self._set_target(WeightVersion(model=model, version=FIRST_VERSION))

    def _set_target(self, target: WeightVersion) -> None:
        switch = self._switches.get(target.model)
        if switch is None:
            switch = self._switches[target.model] = WeightSwitch(
                own=self.settings.instance_id,
                zone=self.settings.zone,
                model=target.model,
                switch_seconds=self.settings.bounds.weights_ms / 1000,
            )
        named = self.shared_state.weights.named_seconds(target)
        # Where it is not known when the version was named, the agent acts as if it were now.
        now = boot_seconds()
        switch.set_target(target.version, now_seconds=named if math.isfinite(named) else now)

    @Service.task
    async def _run_switches(self) -> None:
        while not self.should_stop:
            for switch in list(self._switches.values()):
                try:
                    await self._advance_switch(switch)
                except BackendError as error:
                    log_event("weights:step_failed", model=switch.model, error=str(error))
            await self.sleep(STEP_SECONDS)

    async def _advance_switch(self, switch: WeightSwitch) -> None:
        state = self._engine_state
        if state is None:
            return
        serving = (state.load.versions or {}).get(switch.model, 0)
        switch.start_lead_seconds = self._start_lead_seconds
        # Others must not wait until an engine that leaves has switched.
        self._announce_serving("" if state.leaving else f"{switch.model}/{serving}")
        now = boot_seconds()
        shares = {
            version: self.copies.held_share(manifest)
            for (model, version), manifest in self._manifests.items()
            if model == switch.model
        }
        replicas = self._replicas(switch.model)
        to_copy = switch.versions_to_copy(
            serving=serving, shares=shares, replicas=replicas, now_seconds=now
        )
        self._pause_other_copies(switch, to_copy, now_seconds=now)
        for known in shares:
            idle = switch.idle_agents(known, replicas, serving=serving)
            self.copies.set_idle_agents(self._manifests[switch.model, known].digest, idle)
        for version_to_copy in to_copy:
            self._ensure_copy(switch.model, version_to_copy)
        if state.leaving:
            # Its copies still serve other agents.
            self._draining = False
            return
        self._draining = switch.should_drain(
            serving=serving,
            shares=shares,
            replicas=replicas,
            drain_seconds=self._drain_seconds,
            now_seconds=now,
        )
        version = switch.version_to_load(
            serving=serving,
            busy=state.busy,
            shares=shares,
            replicas=replicas,
            now_seconds=now,
        )
        if version is not None:
            await self._load_version(switch.model, version, state)

    def _pause_other_copies(
        self, switch: WeightSwitch, to_copy: Collection[int], *, now_seconds: float
    ) -> None:
        """Pause incomplete copies of other versions, which would use the link's bandwidth.

        Their chunks are kept while calls may use the version, as other agents may still copy it.
        """
        for key in [k for k in self._active_copies if k[0] == switch.model and k[1] not in to_copy]:
            manifest = self._manifests.get(key)
            if manifest is not None and manifest.digest not in self._complete:
                log_event("weights:paused", model=key[0], version=key[1], copied=sorted(to_copy))
                self.copies.pause(manifest.digest)
                self._active_copies.discard(key)
                self._paused.add(key)
        for key in [k for k in self._paused if k[0] == switch.model]:
            if not switch.may_serve(key[1], now_seconds=now_seconds):
                self.copies.abandon(self._manifests[key].digest)
                self._paused.discard(key)

    def _replicas(self, model: ModelName) -> list[Replica]:
        replicas = []
        for member in self.fleet.live_members(FleetRole.AGENT):
            name, _, version = member.serving.rpartition("/")
            if name == model:
                replicas.append(
                    Replica(instance_id=member.instance_id, zone=member.zone, version=int(version))
                )
        return replicas

    def _announce_serving(self, serving: str) -> None:
        if self.fleet.fleet.own.serving != serving:
            self.fleet.announce(serving=serving)

    def _ensure_copy(self, model: ModelName, version: int) -> None:
        key = (model, version)
        may_start = self._restarts.may_start(key, now_seconds=time.monotonic())
        if key in self._active_copies or not may_start:
            return
        self._active_copies.add(key)
        self._paused.discard(key)
        self.add_future(self._run_copy(model, version))

    async def _run_copy(self, model: ModelName, version: int) -> None:
        """Start a copy, and let it start again later if that fails."""
        try:
            await self._copy(model, version)
        except EgretrouterError as error:
            log_event("weights:copy_failed", model=model, version=version, error=str(error))
            self._end_copy((model, version))

    def _handle_failed_copy(self, digest: Digest, reason: str) -> None:
        """Forget a version's manifest, which may be wrong, and copy the version again later."""
        for key in self._copies_of(digest):
            log_event("weights:copy_failed", model=key[0], version=key[1], error=reason)
            del self._manifests[key]
            self._paused.discard(key)
            self._end_copy(key)
        self._complete.discard(digest)
        self._announce_copies()

    def _end_copy(self, key: tuple[ModelName, int]) -> None:
        self._active_copies.discard(key)
        self._restarts.record_failure(key, now_seconds=time.monotonic())

    async def _copy(self, model: ModelName, version: int) -> None:
        """Obtain the manifest, reuse chunks that are already staged, and copy the rest."""
        manifest = self._manifests.get((model, version))
        known = manifest is not None
        if manifest is None:
            manifest = await self._manifest_finder.find(
                model,
                version,
                is_wanted=lambda: not self.should_stop and (model, version) in self._active_copies,
            )
        if manifest is None:
            self._active_copies.discard((model, version))
            return
        digest = self.copies.add_manifest(manifest)
        if not known:
            self._manifests[model, version] = manifest
            self._switches[model].copy_seconds = copy_seconds(self.settings, manifest)
            self._announce_copies()
            await self._staging.reuse_staged(model, manifest, digest)
        if (model, version) not in self._active_copies:
            # The copy was paused while the manifest was obtained.
            return
        log_event("weights:copying", model=model, version=version)
        self.copies.start_copy(
            VersionReference(model=model, version=VersionName(str(version)), manifest_digest=digest)
        )

    def _announce_copies(self) -> None:
        newest = sorted(self._manifests, key=lambda key: key[1])[-ANNOUNCED_COPIES:]
        self.fleet.announce(
            copies=tuple(
                (f"{model}/{version}", self._manifests[model, version].digest)
                for model, version in newest
            )
        )

    def _record_complete(self, digest: Digest) -> None:
        self._complete.add(digest)
        for key in self._copies_of(digest):
            self._restarts.record_success(key)

    def _copies_of(self, digest: Digest) -> list[tuple[ModelName, int]]:
        """Return the models and versions whose manifest has a digest."""
        return [key for key, manifest in self._manifests.items() if manifest.digest == digest]

    async def _load_version(self, model: ModelName, version: int, state: EngineState) -> None:
        manifest = self._manifests[model, version]
        if manifest.digest not in self._complete:
            return
        if await self._staging.load(model, version, manifest, state):
            self._engine_state = msgspec.structs.replace(state, busy=True)

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for the state dump."""
        return {
            **super().dump(),
            "engine": msgspec.to_builtins(self._engine_state),
            "copies": self.copies.snapshot(),
        }
