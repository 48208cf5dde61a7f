"""Choose endpoints for calls in progress, waiting for capacity if necessary."""

import asyncio
import random
import time

from egretrouter.core.direct import (
    CallRequirements,
    Choice,
    Endpoint,
    EndpointLimits,
    LeavingEndpoints,
    NoEndpointAvailable,
    Placement,
)
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._part_guard import PartGuard, PartHeld
from egretrouter.direct._shared_state import SharedStateService

# Agents report their engines' load at about this interval.
CAPACITY_POLL_SECONDS = 0.1
# Share of its latency target that a call may wait for capacity before it is refused.
WAIT_SHARE = 0.5
# A call that is already late may wait this share of its total time, as it is not likely to be
# retried again.
LATE_WAIT_SHARE = 0.25
# A service whose endpoints all leave can serve again once another one registers.
NEW_ENDPOINT_SECONDS = 1.0


class EndpointChoices:
    """Choose endpoints by the call, the allowed versions of weights and the endpoints' load."""

    def __init__(
        self,
        *,
        state: SharedStateService,
        placement: Placement,
        guard: PartGuard,
        limits: EndpointLimits,
        leaving: LeavingEndpoints,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._placement = placement
        self._guard = guard
        self._limits = limits
        self._leaving = leaving
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
        staying = self._staying_endpoints(call, now)
        if not staying and self._has_endpoints(call):
            seconds = NEW_ENDPOINT_SECONDS * (0.5 + self._rng.random())
            return NoEndpointAvailable(endpoints=0, retry_after_seconds=seconds)
        return self._placement.choose(
            # An endpoint at its limit adds no capacity, so it is not among the candidates at all.
            [e for e in staying if self._limits.may_send(e, now_seconds=now)],
            self._requirements(call, now),
            profile=call.service.engine,
            now_seconds=now,
        )

    def _has_endpoints(self, call: ActiveCall) -> bool:
        """Return whether any endpoint of the call's service is listed, leaving or not."""
        listed = self._state.directory.all_endpoints()
        return any(endpoint.service == call.service.name for endpoint in listed)

    def _staying_endpoints(self, call: ActiveCall, now: float) -> list[Endpoint]:
        """Return the endpoints that are not about to end, whatever the store says of them."""
        ready = self._state.directory.ready_endpoints(call.service.name)
        return [e for e in ready if not self._leaving.is_leaving(e, now_seconds=now)]

    def _requirements(self, call: ActiveCall, now: float) -> CallRequirements:
        model = call.headers.model if call.service.engine is not None else None
        weights = self._state.weights
        return CallRequirements(
            model=model,
            oldest_version=weights.oldest_allowed(model, now_seconds=now) if model else 0,
            oldest_queued_version=(
                weights.oldest_allowed(model, now_seconds=now, queued=True) if model else 0
            ),
            exact_version=call.version if call.progress.answer_started else None,
            latency_left_seconds=call.arrived_seconds + call.route.latency_target_seconds - now,
            late=call.late,
            tried=call.tried,
        )

    def exact_version(self, call: ActiveCall, choice: Choice) -> int | None:
        """Return the version that the call must run on, or None if the endpoint may choose."""
        if call.progress.answer_started and call.version is not None:
            return call.version
        if choice.version is None or call.headers.model is None:
            return None
        oldest = self._state.weights.oldest_allowed(
            call.headers.model, now_seconds=time.monotonic()
        )
        # Older versions have expired, so the endpoint must check that it still holds this one.
        return choice.version if oldest == choice.version else None

    def start_timeout_seconds(self, call: ActiveCall, choice: Choice) -> float | None:
        """Return how long the call may queue at its endpoint, or None if there is no limit."""
        model = call.headers.model
        if model is None or choice.version is None:
            return None
        deadline = self._state.weights.start_deadline_seconds(model, choice.version)
        return None if deadline is None else max(0.0, deadline - time.monotonic())
