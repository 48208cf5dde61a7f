"""Choose the endpoint of a call from what is known of each endpoint's load and health."""

import random
from collections import deque
from collections.abc import Collection

import msgspec

from egretrouter.core.direct._records import Endpoint, EngineProfile
from egretrouter.core.identifiers import EndpointId, ModelName, RegionId, ZoneId

# Reports older than this say nothing about the present batch, which turns over in a second.
REPORT_FRESH_SECONDS = 1.5
# A report of the endpoint's own agent outranks its registration for this long.
AGENT_FRESH_SECONDS = 3.0
# An agent that reported and then fell silent for this long is likely cut off with its endpoint: the
# reports of several intervals are missing.
SILENCE_SECONDS = 0.7
# By then the list of endpoints has dropped an endpoint that is gone, and only its agent is missing.
SILENCE_LIMIT_SECONDS = 10.0
EJECTION_SECONDS = 0.4
EJECTION_LIMIT_SECONDS = 6.0
# In units of a full batch: calls stay in their zone or region unless another is emptier by this.
OTHER_ZONE_PENALTY = 0.1
OTHER_REGION_PENALTY = 0.5
# Routers that see the same reports must not all choose the same endpoint.
SPREAD = 0.05
# An engine reads prompts one after the other between its steps, so a prompt that is being read
# delays the next call's first event like several calls more in the batch.
PREFILL_LOAD_CALLS = 4.0
# A prompt waits for the pass in progress and is read in the next.
PREFILL_PASSES = 2
RECENT_SENDS = 16
# Agents report about this often, and routers act on the same reports until the next.
REPORT_INTERVAL_SECONDS = 0.15
ARRIVAL_WINDOW_SECONDS = 1.0
# A call that is late already gets a place only where none waits.
LATE_SLOT_SHARE = 0.85
# Endpoints that tell no slots are taken to have few.
DEFAULT_SLOTS = 4
# A queue of plain calls is short-lived; it may hold this many times the slots.
PLAIN_QUEUE_FACTOR = 2.0


class LoadReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Hold what an endpoint or its agent told of its load."""

    running: int
    queued: int
    slots: int = 0
    pace: float = 1.0
    """How many times slower than its published figures the endpoint is."""
    loading: bool = False
    """Whether the endpoint takes no new calls until its weights are loaded."""
    versions: dict[ModelName, int] | None = None
    started_ms: int = 0


class _Standing:
    """Hold what this router knows of one endpoint beside its registration."""

    def __init__(self) -> None:
        self.report: LoadReport | None = None
        self.reported_seconds = float("-inf")
        self.agent_report: LoadReport | None = None
        self.agent_seconds = float("-inf")
        self.sent_seconds: list[float] = []
        """The sends that the last report does not count yet."""
        self.recent_seconds: deque[float] = deque(maxlen=RECENT_SENDS)
        self.in_flight = 0
        self.failures = 0
        self.ejected_until_seconds = float("-inf")

    def expected_load(self, now_seconds: float) -> float:
        """Return the calls that the endpoint is likely to hold."""
        if self.report is None or now_seconds - self.reported_seconds > REPORT_FRESH_SECONDS:
            return float(self.in_flight)
        since = sum(1 for sent in self.sent_seconds if sent > self.reported_seconds)
        reported = self.report.running + self.report.queued
        return max(float(self.in_flight), float(reported + since))

    def reading(self, now_seconds: float, *, for_seconds: float) -> int:
        """Return how many of this router's calls the endpoint is likely to be reading."""
        return sum(1 for sent in self.recent_seconds if sent > now_seconds - for_seconds)

    def is_silent(self, now_seconds: float) -> bool:
        """Tell whether the agent ceased to report a short while ago."""
        return SILENCE_SECONDS < now_seconds - self.agent_seconds < SILENCE_LIMIT_SECONDS

    def fresh_agent_report(self, now_seconds: float) -> LoadReport | None:
        """Return the agent's last word while it counts."""
        if now_seconds - self.agent_seconds > AGENT_FRESH_SECONDS:
            return None
        return self.agent_report


class CallRequirements(msgspec.Struct, frozen=True, kw_only=True):
    """State what a call needs of its endpoint."""

    model: ModelName | None = None
    oldest_version: int = 0
    oldest_queued_version: int = 0
    """The oldest version for a call that may queue at its endpoint."""
    exact_version: int | None = None
    """Set to go on with a stream whose beginning came from this version."""
    latency_left_seconds: float = 0.4
    """How soon an answer must begin to be in time."""
    late: bool = False
    """Whether the call can no longer be answered within its target."""
    tried: Collection[EndpointId] = ()


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Name the endpoint that a call goes to."""

    endpoint: Endpoint
    version: int | None = None
    """The version of the weights that the endpoint is believed to hold."""


class NoEndpointAvailable(msgspec.Struct, frozen=True, kw_only=True):
    """State why no endpoint can take a call now."""

    endpoints: int
    """How many endpoints could take it if they had room."""
    retry_after_seconds: float


class Placement:
    """Choose endpoints for one router."""

    def __init__(
        self, *, zone: ZoneId, regions: dict[ZoneId, RegionId], rng: random.Random
    ) -> None:
        self._zone = zone
        self._regions = regions
        self._rng = rng
        self._standings: dict[EndpointId, _Standing] = {}
        self._arrivals: deque[float] = deque()
        self._waiting = 0
        self._routers = 1

    def set_router_count(self, routers: int) -> None:
        """Learn how many routers place calls on the same endpoints."""
        self._routers = max(1, routers)

    def record_arrival(self, *, now_seconds: float) -> None:
        """Learn that a call for a model engine came."""
        self._arrivals.append(now_seconds)

    def adjust_waiting(self, change: int) -> None:
        """Learn that calls began or ceased to wait for room."""
        self._waiting += change

    def _standing(self, endpoint_id: EndpointId) -> _Standing:
        standing = self._standings.get(endpoint_id)
        if standing is None:
            standing = self._standings[endpoint_id] = _Standing()
        return standing

    def retain_only(self, known: Collection[EndpointId]) -> None:
        """Drop what is known of endpoints that are gone and hold no calls."""
        for endpoint_id in [e for e in self._standings if e not in known]:
            if not self._standings[endpoint_id].in_flight:
                del self._standings[endpoint_id]

    def record_report(
        self,
        endpoint_id: EndpointId,
        report: LoadReport,
        *,
        by_agent: bool,
        now_seconds: float,
    ) -> None:
        """Take over a report of an endpoint's load."""
        standing = self._standing(endpoint_id)
        standing.report, standing.reported_seconds = report, now_seconds
        if by_agent:
            standing.agent_report, standing.agent_seconds = report, now_seconds
        standing.sent_seconds.clear()

    def record_send(self, endpoint_id: EndpointId, *, now_seconds: float) -> None:
        """Learn that a call goes to an endpoint."""
        standing = self._standing(endpoint_id)
        standing.in_flight += 1
        standing.sent_seconds.append(now_seconds)
        standing.recent_seconds.append(now_seconds)

    def record_release(self, endpoint_id: EndpointId) -> None:
        """Learn that a call left an endpoint."""
        self._standing(endpoint_id).in_flight -= 1

    def record_success(self, endpoint_id: EndpointId) -> None:
        """Learn that an endpoint answered well."""
        self._standing(endpoint_id).failures = 0

    def record_failure(self, endpoint_id: EndpointId, *, now_seconds: float) -> None:
        """Leave an endpoint alone for a time that doubles with each failure in a row."""
        standing = self._standing(endpoint_id)
        seconds = min(EJECTION_SECONDS * 2.0**standing.failures, EJECTION_LIMIT_SECONDS)
        standing.failures = min(standing.failures + 1, 8)
        standing.ejected_until_seconds = now_seconds + seconds * (0.75 + self._rng.random() / 2)

    def choose(
        self,
        endpoints: Collection[Endpoint],
        need: CallRequirements,
        *,
        profile: EngineProfile | None,
        now_seconds: float,
    ) -> Choice | NoEndpointAvailable:
        """Choose the endpoint that is likely to answer first."""
        able = [
            (endpoint, version)
            for endpoint in endpoints
            if endpoint.endpoint_id not in need.tried
            for version in [self._version(endpoint, need, now_seconds)]
            if version is not None
        ]
        sound = [e for e in able if not self._ejected(e[0], now_seconds)] or able
        sound = [e for e in sound if not self._silent(e[0], now_seconds)] or sound
        free = [e for e in sound if not self._is_full(*e, need, profile, now_seconds)]
        if not free:
            return NoEndpointAvailable(
                endpoints=len(sound), retry_after_seconds=self._retry_after(profile)
            )
        if profile is not None and not self._has_turn(free, need, profile, now_seconds):
            return NoEndpointAvailable(
                endpoints=len(free), retry_after_seconds=self._retry_after(profile)
            )
        endpoint, version = min(free, key=lambda e: self._score(e[0], profile, now_seconds))
        return Choice(endpoint=endpoint, version=version or None)

    def _has_turn(
        self,
        free: Collection[tuple[Endpoint, int]],
        need: CallRequirements,
        profile: EngineProfile,
        now_seconds: float,
    ) -> bool:
        """Share scarce room among routers that act on the same reports, by chance."""
        while self._arrivals and self._arrivals[0] < now_seconds - ARRIVAL_WINDOW_SECONDS:
            self._arrivals.popleft()
        rate = len(self._arrivals) / ARRIVAL_WINDOW_SECONDS
        demand = self._routers * (rate * REPORT_INTERVAL_SECONDS + self._waiting)
        room = sum(
            self._limit(endpoint, version, need, profile) - self._load(endpoint, now_seconds)
            for endpoint, version in free
        )
        return room >= demand or self._rng.random() * demand < room

    def _load(self, endpoint: Endpoint, now_seconds: float) -> float:
        standing = self._standings.get(endpoint.endpoint_id)
        return standing.expected_load(now_seconds) if standing is not None else 0.0

    def _ejected(self, endpoint: Endpoint, now_seconds: float) -> bool:
        standing = self._standings.get(endpoint.endpoint_id)
        return standing is not None and standing.ejected_until_seconds > now_seconds

    def _silent(self, endpoint: Endpoint, now_seconds: float) -> bool:
        standing = self._standings.get(endpoint.endpoint_id)
        return standing is not None and standing.is_silent(now_seconds)

    def _version(
        self, endpoint: Endpoint, need: CallRequirements, now_seconds: float
    ) -> int | None:
        """Return the version that the endpoint holds if the call may run there; 0 if none."""
        if need.model is None or endpoint.weights is None:
            return 0
        held = {weights.model: weights.version for weights in endpoint.weights}.get(need.model, 0)
        standing = self._standings.get(endpoint.endpoint_id)
        report = standing.fresh_agent_report(now_seconds) if standing is not None else None
        if report is not None and report.started_ms >= endpoint.started_ms:
            if report.loading:
                return None
            if report.versions is not None:
                held = report.versions.get(need.model, 0)
        if held == 0 or held < need.oldest_version:
            return None
        if need.exact_version is not None and held != need.exact_version:
            return None
        return held

    def _slots(self, endpoint: Endpoint) -> int:
        return endpoint.slots or DEFAULT_SLOTS

    def _limit(
        self,
        endpoint: Endpoint,
        version: int,
        need: CallRequirements,
        profile: EngineProfile | None,
    ) -> float:
        """Return the calls that an endpoint may hold so that another is answered in time."""
        slots = self._slots(endpoint)
        if need.late or version < need.oldest_queued_version:
            return LATE_SLOT_SHARE * slots
        if profile is None:
            return slots + PLAIN_QUEUE_FACTOR * slots
        spare = max(0.0, need.latency_left_seconds - first_event_seconds(profile))
        return slots + spare * slots / service_seconds(profile)

    def _is_full(
        self,
        endpoint: Endpoint,
        version: int,
        need: CallRequirements,
        profile: EngineProfile | None,
        now_seconds: float,
    ) -> bool:
        return self._load(endpoint, now_seconds) >= self._limit(endpoint, version, need, profile)

    def _score(
        self, endpoint: Endpoint, profile: EngineProfile | None, now_seconds: float
    ) -> float:
        standing = self._standings.get(endpoint.endpoint_id)
        report = standing.report if standing is not None else None
        pace = report.pace if report is not None else 1.0
        calls = self._load(endpoint, now_seconds) + 1
        if standing is not None and profile is not None:
            calls += PREFILL_LOAD_CALLS * standing.reading(
                now_seconds, for_seconds=prefill_finish_seconds(profile)
            )
        score = pace * calls / self._slots(endpoint) + SPREAD * self._rng.random()
        if endpoint.zone == self._zone:
            return score
        same_region = self._regions.get(endpoint.zone) == self._regions.get(self._zone)
        return score + (OTHER_ZONE_PENALTY if same_region else OTHER_REGION_PENALTY)

    def _retry_after(self, profile: EngineProfile | None) -> float:
        """Return when room is likely, spread so that callers do not return together."""
        turnover = service_seconds(profile) if profile is not None else 0.2
        return turnover * (1.0 + self._rng.random())

    def snapshot(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            endpoint_id: {
                "in_flight": standing.in_flight,
                "failures": standing.failures,
                "report": msgspec.to_builtins(standing.report),
            }
            for endpoint_id, standing in self._standings.items()
        }


def _step_seconds(profile: EngineProfile) -> float:
    context = profile.slots * (profile.usual_prompt_tokens + profile.usual_answer_tokens / 2)
    return (
        profile.step_seconds
        + profile.slots * profile.step_per_sequence_seconds
        + context * profile.step_per_context_token_seconds
    )


def _prefill_seconds(profile: EngineProfile) -> float:
    return profile.usual_prompt_tokens / profile.prefill_tokens_per_second


def prefill_finish_seconds(profile: EngineProfile) -> float:
    """Return how long a full engine usually takes until a prompt is read."""
    seconds = profile.steps_per_pass * _step_seconds(profile) + _prefill_seconds(profile)
    return PREFILL_PASSES * seconds


def first_event_seconds(profile: EngineProfile) -> float:
    """Return the usual time to a first event on a full engine without a queue."""
    return 2 * profile.steps_per_pass * _step_seconds(profile) + 2 * _prefill_seconds(profile)


def service_seconds(profile: EngineProfile) -> float:
    """Return the usual time for which a call holds a slot on a full engine."""
    # Every call that enters makes the others wait while its prompt is read.
    return profile.usual_answer_tokens * _step_seconds(profile) + (
        profile.slots * _prefill_seconds(profile)
    )
