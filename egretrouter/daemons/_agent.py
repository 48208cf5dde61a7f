"""Run an agent, the process that serves the calls of one endpoint."""

import asyncio
import contextlib
import random
import time
from collections.abc import Coroutine
from functools import singledispatchmethod
from typing import Any

import aiohttp
from eliot import log_message
from mode import Service

from egretrouter.backends import (
    HttpEngine,
    StorePurpose,
)
from egretrouter.core.calls import CallRegistry, EpochRead, VersionsLoaded
from egretrouter.core.configuration import Configuration, EndpointFile
from egretrouter.core.errors import (
    BackendUnavailableError,
    EgretrouterError,
    OrderError,
)
from egretrouter.core.identifiers import (
    Digest,
    EndpointId,
    Epoch,
    InstanceId,
    ServiceName,
    ZoneId,
)
from egretrouter.core.membership import LoadReport, MemberRole
from egretrouter.core.rollout import (
    AbandonCopy,
    AdmitVersion,
    AssignmentChanged,
    CallsInProgress,
    DrainVersion,
    EngineReported,
    LoadEnded,
    LoadVersion,
    PlacementMember,
    PublishFacts,
    ReadEngine,
    ReplicaFacts,
    ReplicasUpdated,
    ReportHalted,
    Rollout,
    RolloutCommand,
    RolloutMessage,
    StartCopy,
    Tick,
    UnloadVersion,
    WeightsFailed,
    WeightsReady,
    assign_services,
)
from egretrouter.core.settings import AgentSettings
from egretrouter.daemons._admitted_versions import (
    NO_DIGEST,
    AdmittedVersions,
    placement_members,
    replica_facts,
)
from egretrouter.daemons._agent_calls import CallsServicer
from egretrouter.daemons._copies import CopyService
from egretrouter.daemons._endpoint import EndpointClient, endpoint_session
from egretrouter.daemons._lease import OrderLeaseService
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.daemons._orders import EngineOrders, read_engine
from egretrouter.daemons._peers import PeersServicer
from egretrouter.daemons._process import ProcessService
from egretrouter.daemons._zone_copies import (
    build_copy_service,
    copy_limits,
    copy_peers,
)
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc

TICK_SECONDS = 0.5
REPORT_SECONDS = 1.0
MINIMUM_REPORT_SECONDS = 0.1
JOIN_SECONDS = 8.0
# As long as calls go on without a link to their router.
FLUSH_SECONDS = 5.0


class AgentService(ProcessService):
    """Manage the orders, calls, copies and rollout of one endpoint."""

    role = MemberRole.AGENT

    def __init__(self, settings: AgentSettings, *, rng: random.Random, **kwargs: Any) -> None:
        self.metrics = AgentMetrics()
        super().__init__(settings, metrics=self.metrics, rng=rng, **kwargs)
        self.agent_settings = settings
        self.zone = ZoneId(settings.zone)
        self.instance_id = InstanceId(settings.instance_id)
        self.service = ServiceName(settings.endpoint.service)
        self.rollout = Rollout(instance_id=self.instance_id, zone=self.zone)
        self.calls: CallsServicer
        self.copies: CopyService | None = None
        self.engine: HttpEngine | None = None
        self.lease: OrderLeaseService | None = None
        self.orders: EngineOrders | None = None
        self._endpoint_session: aiohttp.ClientSession
        self._facts = ReplicaFacts(instance_id=self.instance_id, zone=self.zone)
        self.versions = AdmittedVersions()
        self._draining = False
        self._expected_zone_agents = 1
        self._started_seconds = time.monotonic()
        self._report_requested_at_seconds = float("-inf")

    async def on_start(self) -> None:
        """Join the zone and start to serve the endpoint's calls."""
        await self.open_platform()
        self._endpoint_session = endpoint_session()
        endpoint = self.agent_settings.endpoint
        self.calls = CallsServicer(
            registry=CallRegistry(
                # A new epoch at each start; calls sent to an earlier process are refused.
                epoch=Epoch(time.time_ns()),
                version_digests=frozenset(),
                now_seconds=time.monotonic(),
            ),
            endpoint=EndpointClient(
                base_url=endpoint.url,
                session=self._endpoint_session,
                holds_version=self._holds_version,
            ),
            confirm_epoch=self._schedule_epoch_confirmation,
            coalesce_events=self.agent_settings.coalesce_events,
        )
        peers = PeersServicer(dump=self.dump)
        await self.start_process(
            servicers=lambda server: pb_grpc.add_AgentCallsServicer_to_server(self.calls, server),
            peers=peers,
        )
        self.control.on_configuration.append(self._configure)
        self.control.on_members.append(self._handle_members_changed)
        self.control.on_pause.append(self._handle_pause)
        active_configuration = self.control.configuration.configuration
        if active_configuration is not None:
            self._configure(active_configuration)
        peers.copies = self.copies
        self._peers_servicer = peers

    async def drain(self) -> None:
        """Refuse new calls and wait until routers have the ends of the calls in progress."""
        self._draining = True
        self._publish_facts()
        self.calls.announce_drain()
        await self.control.leave()
        self.calls.drain()
        await self.calls.drained.wait()
        await self.calls.flush_links(timeout_seconds=FLUSH_SECONDS)

    async def on_stop(self) -> None:
        """Stop the calls, the copies and the lease, and close the connections to the endpoint."""
        await self.calls.close()
        for service in (self.copies, self.lease):
            if service is not None:
                await service.stop()
        await self._endpoint_session.close()
        await super().on_stop()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        self.add_future(work)

    def _configure(self, configuration: Configuration) -> None:
        self.process_metrics.generation.set({}, configuration.generation)
        service = configuration.services.get(self.service)
        if service is None:
            log_message("agent:service_unknown", service=self.service)
            return
        if service.kind == "plain":
            self.versions.admit(NO_DIGEST)
            self._publish_versions()
            return
        self._expected_zone_agents = sum(
            placement.replicas for placement in service.placement if placement.zone == self.zone
        )
        if self.copies is None:
            self._start_engine(configuration, service.endpoint)
        else:
            self.copies.configure(copy_limits(configuration, zone=self.zone))
            self._handle_members_changed()
        self._update_assignment(configuration)

    def _start_engine(self, configuration: Configuration, checks: EndpointFile) -> None:
        settings = self.agent_settings
        self.engine = HttpEngine(
            self.session,
            base_url=settings.endpoint.url,
            endpoint_id=EndpointId(settings.endpoint.endpoint_id),
            order_giver=settings.instance_id if checks.checks_order_giver else None,
            load_timeout_seconds=settings.load_timeout_seconds,
        )
        self.lease = OrderLeaseService(
            engine=self.engine,
            endpoint_id=EndpointId(settings.endpoint.endpoint_id),
            instance_id=self.instance_id,
            checks_fencing=checks.checks_fencing,
            checks_order_giver=checks.checks_order_giver,
            lease_seconds=settings.lease_seconds,
            store=self.guarded_store(StorePurpose.FENCING),
            rng=random.Random(self.rng.random()),
            beacon=self.beacon,
        )
        self._spawn(self.add_runtime_dependency(self.lease))
        self.copies = build_copy_service(
            configuration,
            settings,
            session=self.session,
            channels=self.channels,
            metrics=self.metrics,
            rng=random.Random(self.rng.random()),
            beacon=self.beacon,
        )
        self.orders = EngineOrders(
            engine=self.engine,
            lease=self.lease,
            copies=self.copies,
            rng=random.Random(self.rng.random()),
        )
        self.copies.on_ready = lambda digest: self._dispatch(WeightsReady(manifest_digest=digest))
        self.copies.on_failed = lambda digest, reason: self._dispatch(
            WeightsFailed(manifest_digest=digest, reason=reason)
        )
        self._peers_servicer.copies = self.copies
        self._spawn(self.add_runtime_dependency(self.copies))
        self._handle_members_changed()

    def _handle_pause(self) -> None:
        if self.copies is not None:
            self.copies.handle_process_pause()

    def _update_assignment(self, configuration: Configuration) -> None:
        own = PlacementMember(
            instance_id=self.instance_id, zone=self.zone, only_service=self.service
        )
        members = [own, *placement_members(self.control.membership.members())]
        assignment = assign_services(configuration, members).get(self.instance_id)
        self._dispatch(AssignmentChanged(assignment=assignment))

    def _handle_members_changed(self) -> None:
        configuration = self.control.configuration.configuration
        if configuration is None or self.copies is None:
            return
        members = self.control.membership.members()
        agents = [member for member in members if member.role is MemberRole.AGENT]
        peers = copy_peers(
            configuration,
            service=self.service,
            zone=self.zone,
            agents=agents,
            listed=self.control.listed,
        )
        self.copies.set_peers(peers, zone_agents=[member.instance_id for member in agents])
        self._dispatch(ReplicasUpdated(replicas=tuple(replica_facts(member) for member in agents)))
        self._update_assignment(configuration)

    def _dispatch(self, message: RolloutMessage) -> None:
        for command in self.rollout.handle(message, now_seconds=time.monotonic()):
            self._execute(command)

    @singledispatchmethod
    def _execute(self, command: RolloutCommand) -> None:
        raise TypeError(f"agent got unexpected command {command!r}")

    @_execute.register
    def _start_copy(self, command: StartCopy) -> None:
        if self.copies is not None:
            # Without the wait for the zone's other agents, agents that start together would each
            # read all weights from the origin.
            self.copies.start_copy(
                command.version,
                zone_peers=self._expected_zone_agents - 1,
                until_seconds=self._started_seconds + JOIN_SECONDS,
            )

    @_execute.register
    def _abandon_copy(self, command: AbandonCopy) -> None:
        if self.copies is not None:
            self.copies.abandon(command.manifest_digest)

    @_execute.register
    def _drain_version(self, command: DrainVersion) -> None:
        if self.versions.drain(command.manifest_digest, now_seconds=time.monotonic()):
            self._publish_versions()
        else:
            self._publish_facts()

    @_execute.register
    def _admit_version(self, command: AdmitVersion) -> None:
        self.versions.admit(command.manifest_digest)
        self._publish_versions()
        if self.copies is not None:
            self.copies.record_loaded(command.manifest_digest)

    @_execute.register
    def _start_load(self, command: LoadVersion) -> None:
        self._spawn(self._load_version(command))

    @_execute.register
    def _start_unload(self, command: UnloadVersion) -> None:
        if self.orders is not None:
            self._spawn(self.orders.unload(command))

    @_execute.register
    def _read_engine(self, command: ReadEngine) -> None:
        self._spawn(self._read_report())

    @_execute.register
    def _update_facts(self, command: PublishFacts) -> None:
        self._facts = command.facts
        self._publish_facts()

    @_execute.register
    def _report_halted(self, command: ReportHalted) -> None:
        log_message(
            "agent:version_halted",
            digest=command.version.manifest_digest,
            failed_on=list(command.failed_on),
        )

    def _publish_versions(self) -> None:
        self.calls.dispatch(VersionsLoaded(version_digests=self.versions.admitted))
        self._publish_facts()

    def _publish_facts(self) -> None:
        facts = self.versions.build_facts(
            self._facts, service=self.service, draining=self._draining
        )
        accepts_calls = facts.ready and not facts.drained
        self.calls.announce_version(facts.version_digest if accepts_calls else None)
        self.control.set_facts(facts)

    async def _load_version(self, command: LoadVersion) -> None:
        digest, reason, unreachable = command.version.manifest_digest, None, False
        try:
            if self.orders is None:
                raise OrderError("no engine stands behind this agent")
            await self.orders.load(command)
        except EgretrouterError as error:
            reason, unreachable = str(error), isinstance(error, BackendUnavailableError)
        log_message("agent:load_ended", digest=digest, error=reason)
        self._dispatch(
            LoadEnded(manifest_digest=digest, reason=reason, engine_unreachable=unreachable)
        )

    def _schedule_epoch_confirmation(self, pause: int) -> None:
        # The registry requests this while it processes a message, so the reply is sent after that.
        self._spawn(self._confirm_epoch(pause))

    async def _confirm_epoch(self, pause: int) -> None:
        """Admit calls again after a pause, unless another agent has acquired the endpoint's lease.

        Another agent may have loaded another version meanwhile, so the engine is read first. This
        needs no reply from the store: each call names this process's epoch, so one that was sent
        to another process can't run here.
        """
        await self._read_report()
        lost = self.lease is not None and self.lease.lease.is_lost
        epoch = Epoch(0) if lost else self.calls.registry.epoch
        self.calls.dispatch(EpochRead(epoch=epoch, pause=pause))

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            await self.sleep(TICK_SECONDS)
            self.calls.tick()
            if self.copies is not None:
                if self.versions.remove_drained(now_seconds=time.monotonic()):
                    self._publish_versions()
                # The rollout treats a count of 0 as the end of the last call.
                if not self.versions.draining_versions:
                    self._dispatch(CallsInProgress(counts=dict(self.calls.calls_per_version)))
                self._dispatch(Tick())
            elif self.versions.admitted:
                running = self.calls.registry.in_progress
                self._report_load(LoadReport(running_calls=running))

    @Service.task
    async def _poll_engine(self) -> None:
        while not self.should_stop:
            # A failed call may be the first sign that the engine has stopped; the sooner routers
            # are informed, the fewer calls are refused.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPORT_SECONDS):
                    await self.calls.endpoint_failed.wait()
            self.calls.endpoint_failed.clear()
            if self.engine is not None:
                await self._read_report()
            await asyncio.sleep(MINIMUM_REPORT_SECONDS)

    async def _read_report(self) -> None:
        if self.engine is None:
            return
        requested_at_seconds = time.monotonic()
        state = await read_engine(self.engine)
        if requested_at_seconds < self._report_requested_at_seconds:
            return  # The answer to a later request has arrived first.
        self._report_requested_at_seconds = requested_at_seconds
        self.versions.loaded = {version.manifest_digest: version for version in state.loaded}
        self._report_load(state.load)
        if self.lease is not None:
            self.lease.record_endpoint_number(state.fencing_number)
        self._dispatch(
            EngineReported(loaded=state.loaded, requested_at_seconds=requested_at_seconds)
        )

    async def _holds_version(self, digest: Digest) -> bool:
        """Read from the engine whether it has a version now."""
        if self.engine is None:
            return True
        await self._read_report()
        return digest in self.versions.loaded

    def _report_load(self, load: LoadReport) -> None:
        self.control.set_load(load)
        self.calls.report_load(load)

    @property
    def admitted(self) -> frozenset[Digest]:
        """Return the versions that calls may use."""
        return self.versions.admitted

    @property
    def ready(self) -> bool:
        """Return whether the endpoint accepts calls."""
        return super().ready and bool(self.versions.admitted) and not self._draining

    def dump(self) -> dict[str, Any]:
        """Return the state of the agent for the state dump."""
        return {
            **super().dump(),
            "service": self.service,
            "lease": self.lease.lease.snapshot() if self.lease is not None else None,
            "admitted": sorted(self.versions.admitted),
            "draining": self._draining,
            "calls": self.calls.snapshot(),
            "rollout": self.rollout.snapshot(),
            "weights": self.copies.snapshot() if self.copies is not None else None,
        }
