"""Limit the calls to cold endpoints, which have just started and crash above a known rate."""

import math
from collections.abc import Collection, Iterable
from enum import Enum

import msgspec

from egretrouter.core.direct._cold_permits import EndpointPermits, RouterShares
from egretrouter.core.direct._endpoint_run import EndpointRun
from egretrouter.core.direct._members import FleetMember
from egretrouter.core.direct._records import Endpoint, Service
from egretrouter.core.identifiers import EndpointId, InstanceId, ServiceName, ZoneId

MAX_COLD_SECONDS = 600.0
"""A longer time is cut to this, as it is more likely a mistake than a property of an endpoint."""
CLOCK_ERROR_SECONDS = 2.0
"""By how much the clock of an endpoint's machine may differ from the router's."""
# Calls per second. A larger allowance limits nothing in practice, and would make the lists of sends
# large.
MAX_PERMITS = 100_000
REMEMBERED_SECONDS = 60.0
"""How long an endpoint that is gone is remembered, to tell its return and its last sends."""
MAX_REMEMBERED = 1024
"""How many such endpoints are remembered."""


class ColdReason(Enum):
    """List why an endpoint is considered cold or warm."""

    NEW = "new"
    RESTARTED = "restarted"
    RETURNED = "returned"
    REGISTERED = "registered"
    """Its registration names a time for which it stays cold."""
    EVACUATION_ENDED = "evacuation_ended"
    TIME_OVER = "time_over"
    GONE = "gone"
    UNLIMITED = "unlimited"
    """The configuration no longer specifies a limit."""


class ColdChange(msgspec.Struct, frozen=True, kw_only=True):
    """Report that an endpoint became cold or warm."""

    run: EndpointRun
    cold: bool
    reason: ColdReason
    left_seconds: float = 0.0
    asked_seconds: float = 0.0
    """The time that the configuration or the registration specifies."""

    @property
    def is_cut(self) -> bool:
        """Return whether more time was asked for than is granted."""
        return self.asked_seconds > MAX_COLD_SECONDS


class _Limit(msgspec.Struct, frozen=True, kw_only=True):
    cold_seconds: float
    permits: int


class _Entry:
    """Track one endpoint of a service with a limit."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.started_ms = endpoint.started_ms
        self.cold_until_seconds = -math.inf
        self.gone_seconds = 0.0
        self.permits = EndpointPermits()

    @property
    def run(self) -> EndpointRun:
        """Return the newest lifetime that is known of the endpoint."""
        return EndpointRun(endpoint_id=self.endpoint.endpoint_id, started_ms=self.started_ms)


class ColdEndpoints:
    """Decide which endpoints are cold, and when this router may send them calls."""

    def __init__(
        self, *, own: InstanceId, zone: ZoneId, excess: float = 0.0, slack: float = 0.0
    ) -> None:
        """Allow rate x excess + slack calls per second; nothing is limited if both are 0."""
        self._excess = excess
        self._slack = slack
        self._shares = RouterShares(own=own, zone=zone)
        self._limits: dict[ServiceName, _Limit] = {}
        self._entries: dict[EndpointId, _Entry] = {}
        self._gone: dict[EndpointId, _Entry] = {}
        self._cold: dict[EndpointId, int] = {}
        """The endpoints that were reported as cold and not yet as warm, with their start."""
        self._changes: list[ColdChange] = []

    @property
    def active(self) -> bool:
        """Return whether any service has a limit."""
        return bool(self._limits)

    @property
    def cold_count(self) -> int:
        """Return how many endpoints are considered cold."""
        return len(self._cold)

    def set_services(self, services: Iterable[Service]) -> None:
        """Set the services of the configuration."""
        limits = {s.name: limit for s in services if (limit := self._read_limit(s)) is not None}
        if limits == self._limits:
            return
        self._limits = limits
        for endpoint_id, entry in list(self._entries.items()):
            if entry.endpoint.service not in limits:
                self._end(entry, ColdReason.UNLIMITED)
                del self._entries[endpoint_id]

    def _read_limit(self, service: Service) -> _Limit | None:
        rate = service.cold_calls_per_second
        if not (math.isfinite(rate) and rate > 0 and (self._excess > 0 or self._slack > 0)):
            return None
        seconds = service.cold_seconds if service.cold_seconds > 0 else 0.0
        permits = int(min(MAX_PERMITS, rate * self._excess + self._slack))
        return _Limit(cold_seconds=seconds, permits=permits)

    def set_routers(
        self,
        live: Iterable[FleetMember],
        *,
        silent: Iterable[FleetMember] = (),
        unreachable: Collection[ZoneId] = (),
        now_seconds: float,
    ) -> None:
        """Set the routers that answer, others that are known, and the zones that do not answer.

        Not to be called before the list of all processes was read, as a router that knows only some
        would take too large a share.
        """
        self._shares.set_routers(
            live, silent=silent, unreachable=unreachable, now_seconds=now_seconds
        )
        # Computed here, so that choosing an endpoint for a call does not rank the routers.
        for endpoint_id in self._cold:
            self._own_permits(self._entries[endpoint_id], now_seconds)

    def record_resumed(self, *, now_seconds: float) -> None:
        """Record that the machine was suspended, so that other routers may not count this one."""
        self._shares.start_joining(now_seconds=now_seconds)

    def record_listed(
        self, endpoints: Iterable[Endpoint], *, now_seconds: float, unix_ms: float, first: bool
    ) -> None:
        """Record all endpoints that are listed now.

        On the first listing an endpoint is new only if it has just started by the wall clock.
        """
        missing = set(self._entries)
        for endpoint in endpoints:
            limit = self._limits.get(endpoint.service)
            if limit is None:
                continue
            missing.discard(endpoint.endpoint_id)
            age_seconds = (unix_ms - endpoint.started_ms) / 1000
            is_old = first and age_seconds >= limit.cold_seconds + CLOCK_ERROR_SECONDS
            self._record_endpoint(endpoint, limit, now_seconds, is_old=is_old)
        for endpoint_id in missing:
            entry = self._entries.pop(endpoint_id)
            self._end(entry, ColdReason.GONE)
            entry.gone_seconds = now_seconds
            self._gone[endpoint_id] = entry
        self._forget_gone(now_seconds)

    def _record_endpoint(
        self, endpoint: Endpoint, limit: _Limit, now_seconds: float, *, is_old: bool
    ) -> None:
        entry = self._entries.get(endpoint.endpoint_id)
        if entry is None:
            entry, reason = self._add(endpoint)
            seconds = 0.0 if is_old else limit.cold_seconds
        elif endpoint == entry.endpoint:
            return
        elif endpoint.started_ms > entry.started_ms:
            entry.started_ms = endpoint.started_ms
            reason, seconds = ColdReason.RESTARTED, limit.cold_seconds
        else:
            reason, seconds = ColdReason.REGISTERED, 0.0
        entry.endpoint = endpoint
        if endpoint.started_ms >= entry.started_ms and endpoint.cold_seconds > seconds:
            reason, seconds = ColdReason.REGISTERED, endpoint.cold_seconds
        self._begin(entry, seconds, reason, now_seconds)

    def _add(self, endpoint: Endpoint) -> tuple[_Entry, ColdReason]:
        entry = _Entry(endpoint)
        gone = self._gone.pop(endpoint.endpoint_id, None)
        self._entries[endpoint.endpoint_id] = entry
        if gone is None:
            return entry, ColdReason.NEW
        entry.permits = gone.permits
        if endpoint.started_ms > gone.started_ms:
            return entry, ColdReason.RESTARTED
        entry.started_ms = gone.started_ms
        return entry, ColdReason.RETURNED

    def record_start(self, endpoint_id: EndpointId, *, started_ms: int, now_seconds: float) -> None:
        """Record the start time that a load report names, which may precede the registration."""
        entry = self._entries.get(endpoint_id)
        if entry is None or started_ms <= entry.started_ms:
            return
        limit = self._limits[entry.endpoint.service]
        entry.started_ms = started_ms
        self._begin(entry, limit.cold_seconds, ColdReason.RESTARTED, now_seconds)

    def record_evacuation_end(self, zone: ZoneId, *, now_seconds: float) -> None:
        """Record that calls may reach a zone again, whose endpoints may have become cold."""
        for entry in self._entries.values():
            if entry.endpoint.zone == zone:
                seconds = self._limits[entry.endpoint.service].cold_seconds
                self._begin(entry, seconds, ColdReason.EVACUATION_ENDED, now_seconds)

    def _begin(self, entry: _Entry, seconds: float, reason: ColdReason, now_seconds: float) -> None:
        """Consider an endpoint cold for a time, and report that once for each lifetime."""
        until = now_seconds + min(seconds, MAX_COLD_SECONDS)
        if not until > max(now_seconds, entry.cold_until_seconds):
            return
        entry.cold_until_seconds = until
        if self._cold.get(entry.endpoint.endpoint_id) == entry.started_ms:
            return
        self._cold[entry.endpoint.endpoint_id] = entry.started_ms
        self._own_permits(entry, now_seconds)
        change = ColdChange(
            run=entry.run,
            cold=True,
            reason=reason,
            left_seconds=until - now_seconds,
            asked_seconds=seconds,
        )
        self._changes.append(change)

    def _end(self, entry: _Entry, reason: ColdReason) -> None:
        if self._cold.pop(entry.endpoint.endpoint_id, None) is not None:
            self._changes.append(ColdChange(run=entry.run, cold=False, reason=reason))

    def _forget_gone(self, now_seconds: float) -> None:
        oldest = now_seconds - REMEMBERED_SECONDS
        for endpoint_id, entry in list(self._gone.items()):
            if entry.gone_seconds <= oldest or len(self._gone) > MAX_REMEMBERED:
                del self._gone[endpoint_id]

    def expire(self, *, now_seconds: float) -> None:
        """Report the endpoints whose time is over as warm."""
        for endpoint_id in list(self._cold):
            entry = self._entries[endpoint_id]
            if now_seconds >= entry.cold_until_seconds:
                self._end(entry, ColdReason.TIME_OVER)

    def is_cold(self, endpoint: Endpoint, *, now_seconds: float) -> bool:
        """Return whether an endpoint gets only what a cold one tolerates."""
        entry = self._entries.get(endpoint.endpoint_id)
        if entry is None:
            # An endpoint that was never listed is not known to be warm.
            return endpoint.service in self._limits
        return now_seconds < entry.cold_until_seconds

    def may_send(self, endpoint: Endpoint, *, now_seconds: float) -> bool:
        """Return whether this router may send an endpoint a call now."""
        return self.first_permit_seconds(endpoint, now_seconds=now_seconds) == 0.0

    def first_permit_seconds(self, endpoint: Endpoint, *, now_seconds: float) -> float:
        """Return the time until this router may send an endpoint a call; 0 if it may now."""
        entry = self._entries.get(endpoint.endpoint_id)
        if entry is None:
            return math.inf if endpoint.service in self._limits else 0.0
        left_seconds = entry.cold_until_seconds - now_seconds
        if left_seconds <= 0:
            return 0.0
        wait = entry.permits.wait_seconds(
            entry.endpoint,
            self._shares,
            total=self._limits[entry.endpoint.service].permits,
            now_seconds=now_seconds,
        )
        return min(wait, left_seconds)

    def _own_permits(self, entry: _Entry, now_seconds: float) -> int:
        total = self._limits[entry.endpoint.service].permits
        return entry.permits.count(
            entry.endpoint, self._shares, total=total, now_seconds=now_seconds
        )

    def record_send(self, endpoint: Endpoint, *, now_seconds: float) -> None:
        """Record that this router sends an endpoint a call."""
        entry = self._entries.get(endpoint.endpoint_id)
        if entry is not None:
            entry.permits.record_send(now_seconds=now_seconds)

    def take_changes(self) -> list[ColdChange]:
        """Return the endpoints that became cold or warm since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def snapshot(self, *, now_seconds: float) -> dict[str, object]:
        """Return the state for the state dump."""
        cold = [e for e in self._entries.values() if now_seconds < e.cold_until_seconds]
        return {
            "cold": {entry.run.endpoint_id: self._describe(entry, now_seconds) for entry in cold},
            "shares": self._shares.snapshot(now_seconds=now_seconds),
        }

    def _describe(self, entry: _Entry, now_seconds: float) -> dict[str, object]:
        return {
            "started_ms": entry.started_ms,
            "left_seconds": round(entry.cold_until_seconds - now_seconds, 3),
            "own_permits": self._own_permits(entry, now_seconds),
        }
