"""Choose endpoints for calls in progress, waiting for capacity if necessary."""

import asyncio
import random
import time

from egretrouter.core.direct import (
    CallRequirements,
    Choice,
    Endpoint,
    EndpointLimits,
    NoEndpointAvailable,
    Placement,
    queue_lead_seconds,
    start_lead_seconds,
)
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._boot_clock import boot_seconds
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


class EndpointChoices:
    """Choose endpoints by the call, the allowed versions of weights and the endpoints' load."""

    def __init__(
        self,
        *,
        state: SharedStateService,
        placement: Placement,
        guard: PartGuard,
        limits: EndpointLimits,
        time_limits: CallTimeLimits,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._placement = placement
        self._guard = guard
        self._limits = limits
        self._time_limits = time_limits
        self._rng = rng

    async def choose(self, call: ActiveCall) -> Choice | NoEndpointAvailable | PartHeld:
        """Choose an endpoint, waiting for capacity for a share of the latency target."""
        wait_until = call.arrived_seconds + (
            LATE_WAIT_SHARE * (call.deadline_seconds - call.arrived_seconds)
            if call.late
            else WAIT_SHARE * call.route.latency_target_seconds
        )
        while True:
            # A part may become held while the call waits.
            choice = self.choose_now(call)
            poll = CAPACITY_POLL_SECONDS * (0.8 + 0.4 * self._rng.random())
            if not isinstance(choice, NoEndpointAvailable) or time.monotonic() + poll > wait_until:
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
        now = time.monotonic()
        return self._placement.choose(
            self._endpoints(call, now),
            self._requirements(call, now),
            profile=call.service.engine,
            now_seconds=now,
        )

    def _endpoints(self, call: ActiveCall, now: float) -> list[Endpoint]:
        # An endpoint at its limit adds no capacity, so it is not among the candidates at all.
        ready = self._state.directory.ready_endpoints(call.service.name)
        return [e for e in ready if self._limits.may_send(e, now_seconds=now)]

    def _requirements(self, call: ActiveCall, now: float) -> CallRequirements:
        model = call.headers.model if call.service.engine is not None else None
        return CallRequirements(
            model=model,
            oldest_version=self._oldest_allowed(call, queued=False),
            oldest_queued_version=self._oldest_allowed(call, queued=True),
            exact_version=call.version if call.progress.answer_started else None,
            latency_left_seconds=call.arrived_seconds + call.route.latency_target_seconds - now,
            late=call.late,
            may_queue=self._time_limits.may_queue(call),
            tried=call.tried,
        )

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

    def exact_version(self, call: ActiveCall, choice: Choice) -> int | None:
        """Return the version that the call must run on; None for calls that need no model.

        What an endpoint holds may have changed since it was last heard of, so it is always asked
        to check.
        """
        if call.progress.answer_started and call.version is not None:
            return call.version
        return choice.version if call.headers.model is not None else None
