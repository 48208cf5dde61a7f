"""Choose the endpoint of a call by the load and health of each endpoint."""

import random
from collections import deque
from collections.abc import Collection, Sequence
from typing import NamedTuple

from egretrouter.core.direct._capacity_shares import (
    ARRIVAL_WINDOW_SECONDS,
    REPORT_INTERVAL_SECONDS,
    CapacityShares,
)
from egretrouter.core.direct._choice import CallRequirements, Choice, NoEndpointAvailable
from egretrouter.core.direct._endpoint_stats import EndpointStats
from egretrouter.core.direct._engine_times import (
    first_event_seconds,
    prefill_finish_seconds,
    prompt_prefill_seconds,
    service_seconds,
)
from egretrouter.core.direct._exclusions import Exclusion
from egretrouter.core.direct._explanation import EndpointLoad
from egretrouter.core.direct._load_report import LoadReport
from egretrouter.core.direct._load_spread import spread_weights
from egretrouter.core.direct._momentary_load import MomentaryLoad
from egretrouter.core.direct._records import Endpoint, EngineProfile
from egretrouter.core.identifiers import EndpointId, ModelName, RegionId, ZoneId

# In units of a full batch: calls stay in their zone or region unless an endpoint outside is less
# loaded by more than this.
OTHER_ZONE_PENALTY = 0.1
OTHER_REGION_PENALTY = 0.5
# Random score range that keeps routers with the same reports from all choosing the same endpoint.
SCORE_JITTER = 0.05
# An engine prefills prompts one after the other between its decode steps, so a prompt in prefill
# delays the next call's first event as much as this many additional calls in the batch.
PREFILL_LOAD_CALLS = 4.0
# Reports of other zones are this old before the next ones replace them.
SPREAD_SECONDS = 0.2
# Share of the time that a call has to spare which it may spend in an endpoint's queue, where calls
# are spread; the rest covers what other routers have sent since the last report.
QUEUE_TIME_SHARE = 0.5
# A call that must not queue, or is already late, is sent only to an endpoint below this share of
# its slots, where no call is queued.
UNQUEUED_SLOT_SHARE = 0.85
# Endpoints that register no number of slots are assumed to have few.
DEFAULT_SLOTS = 4
# Queues of plain calls drain quickly, so a queue may hold this many times the slots.
PLAIN_QUEUE_FACTOR = 2.0


class _Filtered(NamedTuple):
    """Carry the endpoints that are left after each step of a choice, with their versions."""

    eligible: list[tuple[Endpoint, int]]
    responsive: list[tuple[Endpoint, int]]
    healthy: list[tuple[Endpoint, int]]
    available: list[tuple[Endpoint, int]]


class Placement:
    """Choose the endpoint of each call of one router."""

    def __init__(
        self,
        *,
        zone: ZoneId,
        regions: dict[ZoneId, RegionId],
        rng: random.Random,
        shares: CapacityShares | None = None,
        momentary_load: MomentaryLoad | None = None,
    ) -> None:
        """Spread calls over the endpoints, and share scarce capacity by rank, if there are shares.

        Otherwise calls go to the least loaded endpoint, and share scarce capacity at random.
        """
        self._zone = zone
        self._regions = regions
        self._rng = rng
        self._stats_by_endpoint: dict[EndpointId, EndpointStats] = {}
        self._arrivals: deque[float] = deque()
        self._waiting = 0
        self._routers = 1
        self._zone_routers = 1
        self._shares = shares
        self._momentary_load = momentary_load

    def set_router_count(self, routers: int, *, in_zone: int = 1) -> None:
        """Set the number of routers that send calls to the same endpoints, and that of the zone."""
        self._routers = max(1, routers)
        self._zone_routers = max(1, in_zone)
        if self._shares is not None:
            self._shares.set_router_count(self._routers)

    def record_arrival(self, *, now_seconds: float, rank: int = 0) -> None:
        """Record the arrival of a call for a model engine."""
        self._arrivals.append(now_seconds)
        if self._shares is not None:
            self._shares.record_arrival(rank, now_seconds)

    def adjust_waiting(self, change: int, *, rank: int = 0) -> None:
        """Add a change to the number of calls that wait for capacity."""
        self._waiting += change
        if self._shares is not None:
            self._shares.adjust_waiting(rank, change)

    def _get_or_create_stats(self, endpoint_id: EndpointId) -> EndpointStats:
        stats = self._stats_by_endpoint.get(endpoint_id)
        if stats is None:
            stats = self._stats_by_endpoint[endpoint_id] = EndpointStats()
        return stats

    def retain_only(self, known: Collection[EndpointId]) -> None:
        """Remove the stats of unlisted endpoints, except those with calls in flight."""
        for endpoint_id in [e for e in self._stats_by_endpoint if e not in known]:
            if not self._stats_by_endpoint[endpoint_id].in_flight:
                del self._stats_by_endpoint[endpoint_id]

    def record_report(
        self,
        endpoint_id: EndpointId,
        report: LoadReport,
        *,
        by_agent: bool,
        now_seconds: float,
    ) -> None:
        """Store a load report of an endpoint or its agent."""
        stats = self._get_or_create_stats(endpoint_id)
        stats.record_report(report, by_agent=by_agent, now_seconds=now_seconds)

    def record_send(
        self, endpoint_id: EndpointId, *, now_seconds: float, prompts: float = 1.0
    ) -> None:
        """Record that a call is sent, and how many usual prompts take as long as its prompt."""
        stats = self._get_or_create_stats(endpoint_id)
        stats.record_send(now_seconds=now_seconds, prompts=prompts)

    def record_release(self, endpoint_id: EndpointId) -> None:
        """Record that a call is no longer in flight at an endpoint."""
        self._get_or_create_stats(endpoint_id).in_flight -= 1

    def record_success(self, endpoint_id: EndpointId) -> None:
        """Reset the count of consecutive failures of an endpoint."""
        self._get_or_create_stats(endpoint_id).failures = 0

    def record_failure(self, endpoint_id: EndpointId, *, now_seconds: float) -> None:
        """Eject an endpoint for a time that doubles with each consecutive failure."""
        stats = self._get_or_create_stats(endpoint_id)
        stats.record_failure(rng=self._rng, now_seconds=now_seconds)

    def record_mismatch(self, endpoint_id: EndpointId, *, now_seconds: float) -> None:
        """Record that an endpoint is another one than expected, or holds another version."""
        self._get_or_create_stats(endpoint_id).mismatched_seconds = now_seconds

    def choose(
        self,
        endpoints: Collection[Endpoint],
        requirements: CallRequirements,
        *,
        profile: EngineProfile | None,
        now_seconds: float,
    ) -> Choice | NoEndpointAvailable:
        """Choose the endpoint that is expected to answer first."""
        filtered, capacity = self._filter(endpoints, requirements, profile, now_seconds)
        healthy, available = filtered.healthy, filtered.available
        if not available:
            return NoEndpointAvailable(
                endpoints=len(healthy), retry_after_seconds=self._retry_after(profile)
            )
        if profile is not None and not self._may_use_capacity(capacity, requirements, now_seconds):
            return NoEndpointAvailable(
                endpoints=len(available), retry_after_seconds=self._retry_after(profile)
            )
        endpoint, version = self._select(available, profile, now_seconds)
        return Choice(endpoint=endpoint, version=version or None)

    def _select(
        self,
        available: Sequence[tuple[Endpoint, int]],
        profile: EngineProfile | None,
        now_seconds: float,
    ) -> tuple[Endpoint, int]:
        prefill_seconds = 0.0 if profile is None else prefill_finish_seconds(profile)
        levels = [self._level(endpoint, prefill_seconds, now_seconds) for endpoint, _ in available]
        if self._shares is not None and profile is not None:
            # Routers prefer the endpoints of their zone, so those of other zones fill others.
            calls = self._zone_routers * self._arrival_rate(now_seconds) * SPREAD_SECONDS
            slots = [self._slots(endpoint) for endpoint, _ in available]
            weights = spread_weights(levels, slots, calls=max(1.0, calls))
            return self._rng.choices(available, weights=weights)[0]
        jittered = [level + SCORE_JITTER * self._rng.random() for level in levels]
        return available[min(range(len(available)), key=jittered.__getitem__)]

    def _arrival_rate(self, now_seconds: float) -> float:
        """Return how many calls for model engines arrive at this router a second."""
        while self._arrivals and self._arrivals[0] < now_seconds - ARRIVAL_WINDOW_SECONDS:
            self._arrivals.popleft()
        return len(self._arrivals) / ARRIVAL_WINDOW_SECONDS

    def _filter(
        self,
        endpoints: Collection[Endpoint],
        requirements: CallRequirements,
        profile: EngineProfile | None,
        now_seconds: float,
    ) -> tuple[_Filtered, float]:
        """Return what is left of the endpoints after each step, and how many calls fit there."""
        eligible = [
            (endpoint, version)
            for endpoint in endpoints
            if endpoint.endpoint_id not in requirements.tried
            and not self._is_mismatched(endpoint, now_seconds)
            for version in [self._usable_version(endpoint, requirements, now_seconds)]
            if version is not None
        ]
        responsive = [e for e in eligible if not self._is_ejected(e[0], now_seconds)] or eligible
        healthy = [e for e in responsive if not self._has_stale_agent(e[0], now_seconds)]
        healthy = healthy or responsive
        queued = self._queued_per_slot(requirements, profile)
        free = [self._free_calls(*e, requirements, queued, now_seconds) for e in healthy]
        available = [e for e, calls in zip(healthy, free, strict=True) if calls > 0]
        return _Filtered(eligible, responsive, healthy, available), sum(c for c in free if c > 0)

    def find_obstacles(
        self,
        endpoints: Collection[Endpoint],
        requirements: CallRequirements,
        *,
        profile: EngineProfile | None,
        now_seconds: float,
    ) -> dict[EndpointId, Exclusion]:
        """Return why a choice among some endpoints passes over those that it does."""
        filtered, _ = self._filter(endpoints, requirements, profile, now_seconds)
        obstacles = {e.endpoint_id: Exclusion.VERSION for e in endpoints}
        obstacles |= dict.fromkeys(requirements.tried, Exclusion.TRIED)
        for step, obstacle in zip(
            filtered, (Exclusion.FAILING, Exclusion.SILENT, Exclusion.FULL, None), strict=True
        ):
            for endpoint, _ in step:
                if obstacle is None:
                    del obstacles[endpoint.endpoint_id]
                else:
                    obstacles[endpoint.endpoint_id] = obstacle
        return obstacles

    def load_of(self, endpoint: Endpoint, *, now_seconds: float) -> EndpointLoad:
        """Return what is known of an endpoint's load."""
        stats = self._stats_by_endpoint.get(endpoint.endpoint_id)
        reported = stats is not None and stats.report is not None
        return EndpointLoad(
            expected_calls=self._expected_load(endpoint, now_seconds),
            slots=self._slots(endpoint),
            in_flight=stats.in_flight if stats is not None else 0,
            age_seconds=now_seconds - stats.reported_seconds if stats and reported else None,
        )

    def held_version(
        self, endpoint: Endpoint, model: ModelName | None, *, now_seconds: float
    ) -> int | None:
        """Return the version of a model that an endpoint holds; None if none or while it loads."""
        if model is None:
            return None
        return self._usable_version(endpoint, CallRequirements(model=model), now_seconds)

    def _may_use_capacity(
        self, capacity: float, requirements: CallRequirements, now_seconds: float
    ) -> bool:
        """Return whether to use the capacity, which routers share if it is scarce."""
        if self._shares is not None:
            decide = self._shares.could_use if requirements.dry_run else self._shares.may_use
            return decide(rank=requirements.rank, capacity_calls=capacity, now_seconds=now_seconds)
        rate = self._arrival_rate(now_seconds)
        demand = self._routers * (rate * REPORT_INTERVAL_SECONDS + self._waiting)
        return capacity >= demand or self._rng.random() * demand < capacity

    def _expected_load(self, endpoint: Endpoint, now_seconds: float) -> float:
        stats = self._stats_by_endpoint.get(endpoint.endpoint_id)
        return stats.expected_load(now_seconds) if stats is not None else 0.0

    def _is_ejected(self, endpoint: Endpoint, now_seconds: float) -> bool:
        stats = self._stats_by_endpoint.get(endpoint.endpoint_id)
        return stats is not None and stats.is_ejected(now_seconds)

    def _is_mismatched(self, endpoint: Endpoint, now_seconds: float) -> bool:
        stats = self._stats_by_endpoint.get(endpoint.endpoint_id)
        return stats is not None and stats.is_mismatched(now_seconds)

    def _has_stale_agent(self, endpoint: Endpoint, now_seconds: float) -> bool:
        stats = self._stats_by_endpoint.get(endpoint.endpoint_id)
        return stats is not None and stats.has_stale_agent(now_seconds)

    def _usable_version(
        self, endpoint: Endpoint, requirements: CallRequirements, now_seconds: float
    ) -> int | None:
        """Return the version that the call would run on, 0 if it needs none, None if not usable."""
        if requirements.model is None:
            return 0
        held = {weights.model: weights.version for weights in endpoint.weights or ()}.get(
            requirements.model, 0
        )
        stats = self._stats_by_endpoint.get(endpoint.endpoint_id)
        report = stats.fresh_agent_report(now_seconds) if stats is not None else None
        if report is not None and report.started_ms >= endpoint.started_ms:
            if report.loading:
                return None
            if report.versions is not None:
                held = report.versions.get(requirements.model, 0)
        if held == 0 or held < requirements.oldest_version:
            return None
        if requirements.exact_version is not None and held != requirements.exact_version:
            return None
        return held

    def _slots(self, endpoint: Endpoint) -> int:
        return endpoint.slots or DEFAULT_SLOTS

    def _queued_per_slot(
        self, requirements: CallRequirements, profile: EngineProfile | None
    ) -> float:
        """Return how many calls may wait for each slot where another one still starts in time."""
        if profile is None:
            return PLAIN_QUEUE_FACTOR
        start = first_event_seconds(profile)
        if requirements.cost is not None:
            usual_seconds = prompt_prefill_seconds(profile, profile.usual_prompt_tokens)
            start += requirements.cost.prefill_seconds - usual_seconds
        spare = max(0.0, requirements.latency_left_seconds - start)
        if self._shares is not None:
            spare *= QUEUE_TIME_SHARE
        return spare / service_seconds(profile)

    def _free_calls(
        self,
        endpoint: Endpoint,
        version: int,
        requirements: CallRequirements,
        queued_per_slot: float,
        now_seconds: float,
    ) -> float:
        """Return how many more calls an endpoint can answer in time."""
        slots = self._slots(endpoint)
        queues = requirements.may_queue and version >= requirements.oldest_queued_version
        if requirements.late or not queues:
            limit = UNQUEUED_SLOT_SHARE * slots
        else:
            limit = slots + queued_per_slot * slots
        return limit - self._expected_load(endpoint, now_seconds)

    def _level(self, endpoint: Endpoint, prefill_seconds: float, now_seconds: float) -> float:
        """Return an endpoint's load with one more call, in batches, and its distance."""
        stats = self._stats_by_endpoint.get(endpoint.endpoint_id)
        report = stats.report if stats is not None else None
        pace = report.pace if report is not None else 1.0
        calls = self._expected_load(endpoint, now_seconds) + 1
        if stats is not None and prefill_seconds > 0:
            calls += PREFILL_LOAD_CALLS * stats.count_in_prefill(
                now_seconds, prefill_seconds=prefill_seconds
            )
        if self._momentary_load is not None:
            pace *= self._momentary_load.factor(endpoint.endpoint_id, now_seconds=now_seconds)
        level = pace * calls / self._slots(endpoint)
        if endpoint.zone == self._zone:
            return level
        same_region = self._regions.get(endpoint.zone) == self._regions.get(self._zone)
        return level + (OTHER_ZONE_PENALTY if same_region else OTHER_REGION_PENALTY)

    def slowest_pace(self, endpoints: Collection[Endpoint], *, now_seconds: float) -> float:
        """Return the highest pace that endpoints have lately reported, at least 1."""
        known = (self._stats_by_endpoint.get(e.endpoint_id) for e in endpoints)
        reports = (stats.fresh_report(now_seconds) for stats in known if stats is not None)
        return max((report.pace for report in reports if report is not None), default=1.0)

    def _retry_after(self, profile: EngineProfile | None) -> float:
        """Return when capacity is likely, randomized so that callers do not retry all at once."""
        turnover = service_seconds(profile) if profile is not None else 0.2
        return turnover * (1.0 + self._rng.random())

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            endpoint_id: stats.snapshot() for endpoint_id, stats in self._stats_by_endpoint.items()
        }
