"""Choose endpoints for calls in progress, waiting for capacity if necessary."""

import asyncio
import math
import random
import time
from collections.abc import Collection

from egretrouter.core.direct import (
    CallRequirements,
    Choice,
    ColdEndpoints,
    Endpoint,
    EndpointExclusions,
    EndpointPauses,
    EndpointRun,
    EndpointSurvey,
    ExcludedEndpoints,
    Exclusion,
    ExplainedEndpoint,
    NoEndpointAvailable,
    Placement,
    queue_lead_seconds,
    start_lead_seconds,
)
from egretrouter.core.identifiers import EndpointId
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._admission_queue import AdmissionQueue
from egretrouter.direct._boot_clock import boot_seconds
from egretrouter.direct._home_regions import HomeRegions
from egretrouter.direct._part_guard import PartGuard, PartHeld
from egretrouter.direct._shared_state import SharedStateService
from egretrouter.direct._time_limits import CallTimeLimits

# Agents report their engines' load at about this interval.
CAPACITY_POLL_SECONDS = 0.1
# Share of its latency target that a call may wait for capacity before it is refused.
WAIT_SHARE = 0.5
# A call that is already late may wait this share of its total time, as it is not likely to be
# retried again.
LATE_WAIT_SHARE = 0.25
# A service whose endpoints all leave can serve again once another one registers.
NEW_ENDPOINT_SECONDS = 1.0
# Callers that are refused because all endpoints pause return within this time after the first end.
PAUSE_SPREAD_SECONDS = 0.5
# Callers that are refused because only cold endpoints could serve return within this time after
# this router may send such an endpoint a call again.
PERMIT_SPREAD_SECONDS = 0.5


class EndpointChoices:
    """Choose endpoints by the call, the allowed versions of weights and the endpoints' load."""

    def __init__(
        self,
        *,
        state: SharedStateService,
        placement: Placement,
        guard: PartGuard,
        exclusions: EndpointExclusions,
        home_regions: HomeRegions,
        time_limits: CallTimeLimits,
        pauses: EndpointPauses,
        cold: ColdEndpoints,
        queue: AdmissionQueue | None,
        rng: random.Random,
    ) -> None:
        """Queue calls that find no endpoint; without a queue they are tried again at intervals."""
        self._state = state
        self._placement = placement
        self._guard = guard
        self._exclusions = exclusions
        self._home_regions = home_regions
        self._time_limits = time_limits
        self._pauses = pauses
        self._cold = cold
        self._queue = queue
        self._rng = rng

    async def choose(self, call: ActiveCall) -> Choice | NoEndpointAvailable | PartHeld:
        """Choose an endpoint, waiting for capacity for a share of the latency target."""
        wait_until = call.arrived_seconds + (
            LATE_WAIT_SHARE * (call.deadline_seconds - call.arrived_seconds)
            if call.late
            else WAIT_SHARE * call.route.latency_target_seconds
        )
        if self._queue is not None:
            return await self._queue.wait(call, self.choose_now, leave_by_seconds=wait_until)
        while True:
            # A part may become held while the call waits.
            choice = self.choose_now(call)
            poll = CAPACITY_POLL_SECONDS * (0.8 + 0.4 * self._rng.random())
            if not isinstance(choice, NoEndpointAvailable):
                return choice
            if time.monotonic() + max(poll, choice.wait_seconds) > wait_until:
                return choice
            self._placement.adjust_waiting(1)
            try:
                await asyncio.sleep(poll)
            finally:
                self._placement.adjust_waiting(-1)

    def choose_now(self, call: ActiveCall) -> Choice | NoEndpointAvailable | PartHeld:
        """Choose an endpoint that can take the call at once."""
        held = self._guard.find_hold(call)
        if held is not None:
            return held
        return self._choose(call, call.tried)

    def unavailable_seconds(self, call: ActiveCall) -> float | None:
        """Return the time until the call's service takes calls; None if it takes them now."""
        choice = self._choose(call, tried=(), dry_run=True)
        if isinstance(choice, Choice) or choice.endpoints:
            return None
        return choice.retry_after_seconds

    def _choose(
        self, call: ActiveCall, tried: Collection[EndpointId], *, dry_run: bool = False
    ) -> Choice | NoEndpointAvailable:
        now = time.monotonic()
        survey = self._exclusions.survey(
            self._state.directory.endpoints_of(call.service.name),
            home_regions=self._home_regions.find(call),
            now_seconds=now,
        )
        choice = self._place(call, survey.candidates, tried, now, dry_run=dry_run)
        if isinstance(choice, NoEndpointAvailable):
            return self._describe_refusal(choice, call, survey, tried, now)
        return choice

    def _place(
        self,
        call: ActiveCall,
        endpoints: list[Endpoint],
        tried: Collection[EndpointId],
        now: float,
        *,
        dry_run: bool,
    ) -> Choice | NoEndpointAvailable:
        return self._placement.choose(
            endpoints,
            self._requirements(call, tried, now, dry_run=dry_run),
            profile=call.service.engine,
            now_seconds=now,
        )

    def _describe_refusal(
        self,
        choice: NoEndpointAvailable,
        call: ActiveCall,
        survey: EndpointSurvey,
        tried: Collection[EndpointId],
        now: float,
    ) -> ExcludedEndpoints:
        """Return a refusal with what excludes the endpoints, and when one is expected again."""
        exclusions = _count_exclusions(choice, survey, tried)
        if not choice.endpoints:
            choice = self._estimate_availability(choice, call, survey, tried, now)
        return ExcludedEndpoints(
            endpoints=choice.endpoints,
            retry_after_seconds=choice.retry_after_seconds,
            wait_seconds=choice.wait_seconds,
            exclusions=exclusions,
        )

    def _estimate_availability(
        self,
        choice: NoEndpointAvailable,
        call: ActiveCall,
        survey: EndpointSurvey,
        tried: Collection[EndpointId],
        now: float,
    ) -> NoEndpointAvailable:
        """Return a refusal that says when an endpoint is expected to take the call again."""
        staying = survey.staying
        is_confined = Exclusion.EVACUATED in survey.excluded or self._is_confined(call)
        if is_confined and all(endpoint.endpoint_id in tried for endpoint in staying):
            # No endpoint in another zone or region may take the call, so waiting is of no use.
            return self._expect_new_endpoint(wait_seconds=math.inf)
        if not staying and survey.excluded:
            return self._expect_new_endpoint()
        held = survey.excluded.get(Exclusion.COLD, [])
        if held and self._could_take(call, held, tried, now):
            call.held_by_cold = True
            wait = min(self._cold.first_permit_seconds(e, now_seconds=now) for e in held)
            return NoEndpointAvailable(
                endpoints=0,
                retry_after_seconds=wait + PERMIT_SPREAD_SECONDS * self._rng.random(),
                # Other endpoints may soon hold what the call needs.
                wait_seconds=wait if len(held) == len(staying) else 0.0,
            )
        pausing = survey.excluded.get(Exclusion.PAUSED, [])
        if not self._could_take(call, pausing, (), now):
            return choice
        end = self._pauses.first_end_seconds(map(EndpointRun.of, pausing), now_seconds=now)
        # Each caller returns at another time, and not before an endpoint takes calls.
        return NoEndpointAvailable(
            endpoints=0,
            retry_after_seconds=end + PAUSE_SPREAD_SECONDS * self._rng.random(),
            # Other endpoints may soon hold what the call needs.
            wait_seconds=end if len(pausing) == len(staying) else 0.0,
        )

    def _could_take(
        self,
        call: ActiveCall,
        endpoints: list[Endpoint],
        tried: Collection[EndpointId],
        now: float,
    ) -> bool:
        """Return whether some of the endpoints hold what a call needs."""
        choice = self._place(call, endpoints, tried, now, dry_run=True)
        return isinstance(choice, Choice) or choice.endpoints > 0

    def _is_confined(self, call: ActiveCall) -> bool:
        return self._home_regions.find(call) is not None

    def _expect_new_endpoint(self, *, wait_seconds: float = 0.0) -> NoEndpointAvailable:
        """Return the refusal of a call that only an endpoint that is not listed yet could take."""
        return NoEndpointAvailable(
            endpoints=0,
            retry_after_seconds=NEW_ENDPOINT_SECONDS * (0.5 + self._rng.random()),
            wait_seconds=wait_seconds,
        )

    def _requirements(
        self,
        call: ActiveCall,
        tried: Collection[EndpointId],
        now: float,
        *,
        dry_run: bool = False,
    ) -> CallRequirements:
        model = call.headers.model if call.service.engine is not None else None
        return CallRequirements(
            model=model,
            oldest_version=self._oldest_allowed(call, queued=False),
            oldest_queued_version=self._oldest_allowed(call, queued=True),
            exact_version=call.version if call.progress.answer_started else None,
            latency_left_seconds=call.arrived_seconds + self._target_seconds(call) - now,
            late=call.late,
            rank=call.admission_rank,
            cost=call.cost,
            may_queue=self._time_limits.may_queue(call),
            tried=tried,
            dry_run=dry_run or call.dry_run,
        )

    def _target_seconds(self, call: ActiveCall) -> float:
        """Return the latency target, or a shorter one of more urgent routes of the service.

        With a longer target, less urgent calls would fill the queues of the endpoints so far that
        more urgent calls are late.
        """
        target = call.route.latency_target_seconds
        routes = self._state.routes
        if self._queue is None or routes is None:
            return target
        return min(target, routes.urgent_target_seconds(call.service.name, rank=call.rank))

    def _oldest_allowed(self, call: ActiveCall, *, queued: bool) -> int:
        profile, model = call.service.engine, call.headers.model
        if profile is None or model is None:
            return 0
        target_seconds = call.route.latency_target_seconds
        lead = (
            queue_lead_seconds(profile, latency_target_seconds=target_seconds)
            if queued
            else start_lead_seconds(profile)
        )
        return self._state.weights.oldest_allowed(
            model, now_seconds=boot_seconds(), lead_seconds=lead
        )

    def choose_dry_run(self, call: ActiveCall) -> Choice | NoEndpointAvailable | PartHeld:
        """Return the choice for a call that is only explained, and record nothing."""
        choice = self.choose_now(call)
        if self._queue is None or not isinstance(choice, NoEndpointAvailable):
            return choice
        return self._queue.set_retry_after(call, choice)

    def count_before(self, call: ActiveCall) -> int | None:
        """Return how many calls a call has to wait behind; None if it competes with none."""
        return None if self._queue is None else self._queue.count_before(call)

    def examine(self, call: ActiveCall) -> list[ExplainedEndpoint]:
        """Return the load and any exclusion of each endpoint of the service, and record nothing."""
        now = time.monotonic()
        requirements = self._requirements(call, call.tried, now)
        endpoints = self._state.directory.endpoints_of(call.service.name)
        survey = self._exclusions.survey(
            endpoints, home_regions=self._home_regions.find(call), now_seconds=now
        )
        obstacles = self._placement.find_obstacles(
            survey.candidates, requirements, profile=call.service.engine, now_seconds=now
        )
        reasons = {endpoint_id: obstacle.value for endpoint_id, obstacle in obstacles.items()}
        for exclusion, excluded in survey.excluded.items():
            reasons |= {endpoint.endpoint_id: exclusion.value for endpoint in excluded}
        return [
            ExplainedEndpoint(
                endpoint_id=endpoint.endpoint_id,
                zone=endpoint.zone,
                address=endpoint.address,
                load=self._placement.load_of(endpoint, now_seconds=now),
                version=self._placement.held_version(endpoint, requirements.model, now_seconds=now),
                exclusion=reasons.get(endpoint.endpoint_id),
            )
            for endpoint in endpoints
        ]

    def exact_version(self, call: ActiveCall, choice: Choice) -> int | None:
        """Return the version that the call must run on; None for calls that need no model.

        What an endpoint holds may have changed since it was last heard of, so it is always asked
        to check.
        """
        if call.progress.answer_started and call.version is not None:
            return call.version
        return choice.version if call.headers.model is not None else None


def _count_exclusions(
    choice: NoEndpointAvailable, survey: EndpointSurvey, tried: Collection[EndpointId]
) -> dict[Exclusion, int]:
    """Return how many endpoints each exclusion excludes, those found by their load included."""
    tried_candidates = sum(endpoint.endpoint_id in tried for endpoint in survey.candidates)
    untried = len(survey.candidates) - tried_candidates
    counts = {
        **survey.counts,
        Exclusion.TRIED: tried_candidates,
        Exclusion.FULL: choice.endpoints,
        Exclusion.VERSION: 0 if choice.endpoints else untried,
    }
    return {exclusion: count for exclusion, count in counts.items() if count}
