"""Run a router that sends calls directly to endpoints."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

from aiohttp import web

from egretrouter.backends import CallDialect, StateKind, StateStore
from egretrouter.core.direct import (
    CapacityShares,
    ColdEndpoints,
    EndpointRun,
    EvacuationChange,
    FleetMember,
    FleetRole,
    GracePeriod,
    LeavingSource,
    LoadReport,
    MomentaryLoad,
    Placement,
    RepeatBudget,
)
from egretrouter.core.identifiers import InstanceId, ZoneId
from egretrouter.direct._answer_memory import AnswerMemory, answers_limit_bytes
from egretrouter.direct._callers import CallerHandler
from egretrouter.direct._cold_tracking import ColdTracking
from egretrouter.direct._evacuation_state import EvacuationSource
from egretrouter.direct._explainer import EXPLAIN_PATH
from egretrouter.direct._logs import log_event
from egretrouter.direct._metrics import AnswerLengthMetrics, CallMetrics
from egretrouter.direct._part_guard import PartGuard
from egretrouter.direct._process import DirectProcess, StatePeersServicer, bound_port
from egretrouter.direct._sends import RECEIVE_BUFFER_BYTES, Sender
from egretrouter.direct._settings import DirectSettings, Scheduling, SettingsError
from egretrouter.direct._sockets import open_session
from egretrouter.direct._work_prediction import WorkPrediction
from egretrouter.transport import CallerServer

CONNECT_SECONDS = 0.4
# Callers may reuse connections after being idle for most of the operator's limit, which may be
# raised.
CALLER_IDLE_SECONDS = 75.0
MAX_HEADER_FIELD_BYTES = 64 * 1024
# The load balancer stops sending to a router after two failed checks, made once a second.
LEAVE_ROTATION_SECONDS = 2.6
STOP_MARGIN_SECONDS = 0.5
# Calls that are ended at the stop are answered within this time.
LAST_ANSWERS_SECONDS = 0.2
DRAIN_POLL_SECONDS = 0.05
ROUTERS_UPDATE_SECONDS = 0.5


class DirectRouter(DirectProcess):
    """Accept calls and send them directly to endpoints."""

    role = FleetRole.ROUTER
    kinds = (StateKind.CONFIGURATION, StateKind.ENDPOINTS, StateKind.WEIGHTS)

    def __init__(
        self,
        settings: DirectSettings,
        *,
        store: StateStore,
        dialect: CallDialect,
        rng: random.Random,
        readiness_path: str = "/ready",
        read_settings: Callable[[], DirectSettings] | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(settings, store=store, rng=rng, **kwargs)
        bounds = settings.bounds
        self.metrics = CallMetrics()
        ranked = settings.scheduling is Scheduling.RANKED
        self.momentary_load = MomentaryLoad() if ranked else None
        self.placement = Placement(
            zone=settings.zone,
            regions=settings.regions,
            rng=rng,
            shares=CapacityShares(rng=rng) if ranked else None,
            momentary_load=self.momentary_load,
        )
        self.budget = RepeatBudget(
            ratio=bounds.repeat_ratio,
            extra=bounds.repeat_extra,
            window_seconds=bounds.repeat_window_seconds,
        )
        self.cold = ColdEndpoints(
            own=settings.instance_id,
            zone=settings.zone,
            excess=bounds.cold_excess,
            slack=bounds.cold_slack,
        )
        self._cold_tracking = ColdTracking(
            self.cold, state=self.shared_state, fleet=self.fleet, metrics=self.metrics
        )
        self._session = open_session(
            reuse_connections=False,
            connect_seconds=CONNECT_SECONDS,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
        )
        self.call_handler = CallerHandler(
            state=self.shared_state,
            placement=self.placement,
            budget=self.budget,
            sender=Sender(self._session, dialect),
            answer_memory=AnswerMemory(limit_bytes=answers_limit_bytes(settings.memory_bytes)),
            dialect=dialect,
            metrics=self.metrics,
            news=self.news,
            cold=self.cold,
            guard=PartGuard(news=self.news, fleet=self.fleet),
            regions=settings.regions,
            momentary_load=self.momentary_load,
            work=WorkPrediction(AnswerLengthMetrics(self.metrics.registry)) if ranked else None,
            scheduling=settings.scheduling,
            rng=rng,
        )
        self._callers_server: CallerServer
        self._callers_listener: asyncio.Server
        self.callers_port = 0
        self.readiness_port = 0
        self._readiness_path = readiness_path
        self._read_settings = read_settings
        self.fleet.on_load.append(self._record_load)
        self.shared_state.on_endpoints.append(self._remove_stale_stats)
        self.shared_state.on_endpoints.append(self._record_draining)
        self.shared_state.evacuations.on_changed.append(self._record_evacuation)
        self.shared_state.on_endpoints.append(self.call_handler.queue.wake)
        self.news.on_leaving.append(lambda change: self.metrics.record_leaving(change.source))

    def kept_kinds(self, settings: DirectSettings) -> tuple[StateKind, ...]:
        """Return the kinds of shared state; evacuations only where zones can be evacuated."""
        if settings.bounds.evacuation_ms > 0:
            return (*self.kinds, StateKind.EVACUATIONS)
        return self.kinds

    async def on_start(self) -> None:
        """Start the servers for callers and for the load balancer's readiness checks."""
        await self.start_process(StatePeersServicer(self.state_replies), self.metrics)
        self._callers_server = CallerServer(
            self.call_handler.handle,
            keepalive_timeout=CALLER_IDLE_SECONDS,
            access_log=None,
            max_line_size=MAX_HEADER_FIELD_BYTES,
            max_field_size=MAX_HEADER_FIELD_BYTES,
            auto_decompress=False,
        )
        self._callers_listener = await self.listen(self._callers_server, self.settings.callers)
        self.callers_port = bound_port(self._callers_listener)
        readiness = await self.listen(
            web.Server(self._handle_readiness_check, access_log=None), self.settings.readiness
        )
        self.readiness_port = bound_port(readiness)
        self.add_future(self._update_routers())

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send calls to this router."""
        return self.shared_state.complete and self.news.settled and not self.call_handler.draining

    async def _handle_readiness_check(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._readiness_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.ready else 503)

    def _record_load(self, address: str, report: LoadReport) -> None:
        endpoint = self.shared_state.directory.newest_at(address)
        if endpoint is None:
            return
        now = time.monotonic()
        self._cold_tracking.record_report(endpoint, report)
        self.placement.record_report(endpoint.endpoint_id, report, by_agent=True, now_seconds=now)
        self.call_handler.queue.wake()
        if report.leaving and report.started_ms >= endpoint.started_ms:
            # The endpoint may have started again under its id since it was listed.
            run = EndpointRun(endpoint_id=endpoint.endpoint_id, started_ms=report.started_ms)
            self.news.leaving.record(run, LeavingSource.AGENT, now_seconds=now)
            self.news.spread_findings()

    def _record_draining(self) -> None:
        self.news.leaving.record_registrations(
            self.shared_state.directory.all_endpoints(), now_seconds=time.monotonic()
        )
        self.news.spread_findings()

    def _record_evacuation(self, change: EvacuationChange, source: EvacuationSource) -> None:
        if not change.begun:
            self._cold_tracking.record_evacuation_end(change.zone)
        self.call_handler.queue.wake()
        zones = len(self.shared_state.evacuations.evacuations.zones)
        self.metrics.record_evacuation(source, begun=change.begun, zones=zones)

    def _remove_stale_stats(self) -> None:
        known = {e.endpoint_id for e in self.shared_state.directory.all_endpoints()}
        self.placement.retain_only(known)
        if self.momentary_load is not None:
            self.momentary_load.retain_only(known)

    async def _update_routers(self) -> None:
        while not self.should_stop:
            routers = [self.fleet.fleet.own, *self.fleet.live_members(FleetRole.ROUTER)]
            self.budget.set_router_count(len(routers))
            in_zone = sum(member.zone == self.settings.zone for member in routers)
            self.placement.set_router_count(len(routers), in_zone=in_zone)
            self.news.limits.set_routers(_staying_by_zone(routers))
            self._cold_tracking.update()
            await self.sleep(ROUTERS_UPDATE_SECONDS)

    def reload(self) -> None:
        """Read and validate changed settings; they take effect only after a restart."""
        try:
            settings = self._read_settings() if self._read_settings is not None else self.settings
        except SettingsError as error:
            log_event("process:reload_failed", error=str(error))
            return
        log_event("process:reloaded", changed=settings != self.settings)

    async def drain(self) -> None:
        """Fail the readiness checks, then answer every request that was read, and close."""
        started = time.monotonic()
        stop = started + self.settings.bounds.grace_seconds - STOP_MARGIN_SECONDS
        rotation_end = min(started + LEAVE_ROTATION_SECONDS, stop)
        self.call_handler.start_draining(
            GracePeriod(rotation_end_seconds=rotation_end, stop_seconds=stop)
        )
        self.fleet.announce(leaving=True)
        # Kept connections are closed now and the others after their answer; otherwise callers would
        # keep using them until the process stops.
        self._callers_server.close_kept()
        await asyncio.sleep(rotation_end - started)
        while self._callers_server.count_unanswered() and time.monotonic() < stop:
            self._callers_server.close_kept()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._callers_listener.close()
        unanswered = await self._callers_server.close_answered(
            until_seconds=stop + LAST_ANSWERS_SECONDS
        )
        log_event(
            "process:drained",
            seconds=round(time.monotonic() - started, 3),
            unanswered=unanswered,
        )

    async def on_stop(self) -> None:
        """Stop the services, then close the HTTP client session."""
        await super().on_stop()
        await self._session.close()

    def answer_operator(self, request: web.BaseRequest) -> web.Response | None:
        """Explain where a call would be sent."""
        if request.path != EXPLAIN_PATH:
            return None
        routes = self.shared_state.routes
        return self.call_handler.explainer.answer(
            request,
            settings=self.settings,
            configuration=routes.table.version if routes is not None else 0,
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for the state dump."""
        now = time.monotonic()
        momentary, work = self.momentary_load, self.call_handler.work
        return {
            **super().dump(),
            "ready": self.ready,
            "calls_in_progress": self.call_handler.in_progress,
            "placement": self.placement.snapshot(),
            "cold": self.cold.snapshot(now_seconds=now),
            "momentary_load": momentary.snapshot(now_seconds=now) if momentary else None,
            "answer_lengths": work.lengths.snapshot() if work else None,
            "pauses": self.call_handler.pauses.snapshot(now_seconds=now),
            "queue": self.call_handler.queue.snapshot(),
            "repeats": self.budget.snapshot(),
        }


def _staying_by_zone(routers: Iterable[FleetMember]) -> dict[ZoneId, list[InstanceId]]:
    by_zone: dict[ZoneId, list[InstanceId]] = {}
    for router in sorted(routers, key=lambda member: member.instance_id):
        if not router.leaving:
            by_zone.setdefault(router.zone, []).append(router.instance_id)
    return by_zone
