"""Feed the limit for cold endpoints from the process's state, and log and count its changes."""

import time

from egretrouter.backends import StateKind
from egretrouter.core.direct import (
    ColdEndpoints,
    Endpoint,
    FleetRole,
    LoadReport,
    RoutingTable,
)
from egretrouter.core.identifiers import ZoneId
from egretrouter.direct._fleet_service import FleetService
from egretrouter.direct._logs import log_event
from egretrouter.direct._metrics import CallMetrics
from egretrouter.direct._shared_state import SharedStateService


class ColdTracking:
    """Feed the limit for cold endpoints from the shared state, load reports and membership."""

    def __init__(
        self,
        cold: ColdEndpoints,
        *,
        state: SharedStateService,
        fleet: FleetService,
        metrics: CallMetrics,
    ) -> None:
        self._cold = cold
        self._state = state
        self._fleet = fleet
        self._metrics = metrics
        state.on_configuration.append(self._apply_configuration)
        state.on_endpoints.append(self._record_listed)
        state.on_resumed.append(self._record_resumed)

    def _apply_configuration(self, table: RoutingTable) -> None:
        self._cold.set_services(table.services)
        # Endpoints of a service that gets a limit now may have started long ago.
        self._record_all(first=True)

    def _record_listed(self) -> None:
        self._record_all(first=not self._state.is_loaded(StateKind.ENDPOINTS))

    def _record_all(self, *, first: bool) -> None:
        if self._cold.active:
            self._cold.record_listed(
                self._state.directory.all_endpoints(),
                now_seconds=time.monotonic(),
                unix_ms=time.time() * 1000,
                first=first,
            )
        self.report_changes()

    def _record_resumed(self) -> None:
        self._cold.record_resumed(now_seconds=time.monotonic())

    def record_report(self, endpoint: Endpoint, report: LoadReport) -> None:
        """Record what a load report says of an endpoint's start."""
        if report.started_ms > endpoint.started_ms:
            self._cold.record_start(
                endpoint.endpoint_id,
                started_ms=report.started_ms,
                now_seconds=time.monotonic(),
            )
            self.report_changes()

    def record_evacuation_end(self, zone: ZoneId) -> None:
        """Record that calls may reach a zone again."""
        self._cold.record_evacuation_end(zone, now_seconds=time.monotonic())
        self.report_changes()

    def update(self) -> None:
        """Pass on the routers that are known now, and report the endpoints that became warm."""
        if not self._cold.active:
            return
        now = time.monotonic()
        self._set_routers(now)
        self._cold.expire(now_seconds=now)
        self.report_changes()

    def _set_routers(self, now: float) -> None:
        fleet = self._fleet.fleet
        # A router that knows only some of the others, or hears none, may not send as if it were
        # counted by all.
        if not self._fleet.joined or fleet.isolated:
            return
        live = fleet.live_members()
        live_ids = {member.instance_id for member in live}
        known = fleet.known_members()
        routers = [member for member in known if member.role is FleetRole.ROUTER]
        answering_zones = {fleet.own.zone, *(member.zone for member in live)}
        self._cold.set_routers(
            [router for router in routers if router.instance_id in live_ids],
            silent=[router for router in routers if router.instance_id not in live_ids],
            unreachable={member.zone for member in known} - answering_zones,
            now_seconds=now,
        )

    def report_changes(self) -> None:
        """Log the endpoints that became cold or warm, and set the metrics."""
        for change in self._cold.take_changes():
            log_event(
                "cold:begun" if change.cold else "cold:ended",
                endpoint=change.run.endpoint_id,
                started_ms=change.run.started_ms,
                reason=change.reason.value,
                seconds=round(change.left_seconds, 3) if change.cold else None,
                # Only where the configuration or the registration asks for more than is valid.
                asked_seconds=change.asked_seconds if change.is_cut else None,
            )
        self._metrics.set_cold_endpoints(self._cold.cold_count)
