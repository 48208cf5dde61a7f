"""Run a router that sends calls directly to endpoints."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from egretrouter.backends import CallDialect, StateKind, StateStore
from egretrouter.core.direct import (
    FleetRole,
    LoadReport,
    Placement,
    RepeatBudget,
)
from egretrouter.direct._callers import Callers
from egretrouter.direct._logs import log_event
from egretrouter.direct._metrics import CallMetrics
from egretrouter.direct._process import DirectProcess, StatePeers
from egretrouter.direct._sends import Sender
from egretrouter.direct._settings import DirectSettings, SettingsError
from egretrouter.direct._sockets import open_session

CONNECT_SECONDS = 0.4
# Callers may reuse connections that were idle for most of the operator's limit, which may grow.
CALLER_IDLE_SECONDS = 75.0
MAX_HEADER_FIELD_BYTES = 64 * 1024
# The load balancer takes a router out after two failed checks, one a second.
LEAVE_ROTATION_SECONDS = 2.6
STOP_MARGIN_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.05
ROUTER_COUNT_SECONDS = 0.5


class DirectRouter(DirectProcess):
    """Own the callers' sockets and the choice of endpoints."""

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
        self.placement = Placement(zone=settings.zone, regions=settings.regions, rng=rng)
        self.budget = RepeatBudget(
            ratio=bounds.repeat_ratio,
            extra=bounds.repeat_extra,
            window_seconds=bounds.repeat_window_seconds,
        )
        self._session = open_session(reuse_connections=False, connect_seconds=CONNECT_SECONDS)
        self.callers = Callers(
            state=self.shared_state,
            placement=self.placement,
            budget=self.budget,
            sender=Sender(self._session, dialect),
            dialect=dialect,
            metrics=self.metrics,
            rng=rng,
        )
        self._callers_server: web.Server
        self.callers_port = 0
        self.readiness_port = 0
        self._readiness_path = readiness_path
        self._read_settings = read_settings
        self.fleet.on_load.append(self._load_told)
        self.shared_state.on_endpoints.append(self._endpoints_changed)

    async def on_start(self) -> None:
        """Listen for callers, and for the load balancer's checks."""
        await self.start_process(StatePeers(self.shared_state), self.metrics)
        self._callers_server = web.Server(
            self.callers.handle,
            handler_cancellation=True,
            keepalive_timeout=CALLER_IDLE_SECONDS,
            access_log=None,
            max_line_size=MAX_HEADER_FIELD_BYTES,
            max_field_size=MAX_HEADER_FIELD_BYTES,
            auto_decompress=False,
        )
        self.callers_port = await self.listen(self._callers_server, self.settings.callers)
        self.readiness_port = await self.listen(
            web.Server(self._check, access_log=None), self.settings.readiness
        )
        self.add_future(self._count_routers())

    @property
    def ready(self) -> bool:
        """Tell whether this router should get new callers."""
        return self.shared_state.complete and not self.callers.draining

    async def _check(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._readiness_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.ready else 503)

    def _load_told(self, address: str, report: LoadReport) -> None:
        endpoint = self.shared_state.directory.newest_at(address)
        if endpoint is not None:
            self.placement.record_report(
                endpoint.endpoint_id, report, by_agent=True, now_seconds=time.monotonic()
            )

    def _endpoints_changed(self) -> None:
        self.placement.retain_only({e.endpoint_id for e in self.shared_state.directory.all()})

    async def _count_routers(self) -> None:
        while not self.should_stop:
            routers = 1 + len(self.fleet.live(FleetRole.ROUTER))
            self.budget.set_router_count(routers)
            self.placement.set_router_count(routers)
            await self.sleep(ROUTER_COUNT_SECONDS)

    def reload(self) -> None:
        """Check changed settings; listeners and identity stay as they are until a restart."""
        try:
            settings = self._read_settings() if self._read_settings is not None else self.settings
        except SettingsError as error:
            log_event("process:reload_failed", error=str(error))
            return
        log_event("process:reloaded", changed=settings != self.settings)

    async def drain(self) -> None:
        """Leave the rotation, and stop when no call is in progress."""
        started = time.monotonic()
        self.callers.draining = True
        self.fleet.announce(leaving=True)
        # Idle connections are closed now and the others after their answer, or callers would go on
        # to use them until the process ends.
        self._close_callers_connections()
        await asyncio.sleep(LEAVE_ROTATION_SECONDS)
        self._close_callers_connections()
        last = started + self.settings.bounds.grace_seconds - STOP_MARGIN_SECONDS
        while time.monotonic() < last:
            if self.callers.in_progress == 0:
                return
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        log_event("process:drain_cut_short", calls=self.callers.in_progress)

    def _close_callers_connections(self) -> None:
        for connection in self._callers_server.connections:
            # aiohttp has no public word for a connection that waits for its next request; its
            # close() leaves such a connection open.
            if connection._waiter is not None:
                connection.force_close()
            else:
                connection.close()

    async def on_stop(self) -> None:
        """Close the client and the sockets."""
        await super().on_stop()
        await self._session.close()

    def dump(self) -> dict[str, Any]:
        """Return the whole state of the process."""
        return {
            **super().dump(),
            "ready": self.ready,
            "calls_in_progress": self.callers.in_progress,
            "placement": self.placement.snapshot(),
            "repeats": self.budget.snapshot(),
        }
