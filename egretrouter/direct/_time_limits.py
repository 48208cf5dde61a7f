"""Bound calls by their deadlines and by the grace period of a router that stops."""

import asyncio
import contextlib
import math
import time
from collections.abc import AsyncIterator

from egretrouter.core.direct import GracePeriod, Placement, longest_call_seconds
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._logs import log_event
from egretrouter.direct._refusals import Refusal
from egretrouter.direct._shared_state import SharedStateService

# An endpoint answers on its own when the deadline passes; its answer may arrive this much later.
ANSWER_SLACK_SECONDS = 0.1
STOPPING_REASON = "this router stops before the call surely ends"


class CallTimeLimits:
    """Decide whether calls may begin, and when they end, on a router that may stop."""

    def __init__(self, *, state: SharedStateService, placement: Placement) -> None:
        self._state = state
        self._placement = placement
        self._grace: GracePeriod | None = None
        self._running: set[asyncio.Timeout] = set()

    def start_draining(self, grace: GracePeriod) -> None:
        """Let no call last beyond the end of the grace period."""
        self._grace = grace
        stop = _loop_seconds(grace.stop_seconds)
        for limit in self._running:
            when = limit.when()
            if when is not None and when > stop and not limit.expired():
                limit.reschedule(stop)

    def check(self, call: ActiveCall) -> None:
        """Check that a new call ends before the router stops.

        Raises Refusal.
        """
        if not self.may_send(call):
            raise Refusal(503, STOPPING_REASON, retry_after_seconds=0.0)

    def may_send(self, call: ActiveCall) -> bool:
        """Return whether a call may be sent; one that may have run goes on in any case."""
        if self._grace is None or call.progress.may_have_run:
            return True
        now = time.monotonic()
        longest = self._longest_seconds(call, now)
        allowed = self._grace.may_send(
            ends_by_seconds=_ends_by_seconds(call),
            longest_seconds=longest,
            repeatable=call.route.repeatable,
            now_seconds=now,
        )
        log_event(
            "call:checked_while_stopping",
            call=call.headers.call_id,
            allowed=allowed,
            longest_seconds=round(longest, 3) if math.isfinite(longest) else None,
            stop_left_seconds=round(self._grace.stop_seconds - now, 3),
            deadline_left_seconds=round(call.deadline_seconds - now, 3),
        )
        return allowed

    def may_queue(self, call: ActiveCall) -> bool:
        """Return whether a call may wait in an endpoint's queue, for which no estimate allows."""
        if self._grace is None or call.progress.may_have_run:
            return True
        return _ends_by_seconds(call) <= self._grace.stop_seconds

    def send_deadline_seconds(self, call: ActiveCall) -> float:
        """Return until when an endpoint may work on a call, or keep it in its queue.

        An endpoint that gives a call up in time says whether it has run; a router that stops can
        only guess.
        """
        if self._grace is None:
            return call.deadline_seconds
        return min(call.deadline_seconds, self._grace.stop_seconds - ANSWER_SLACK_SECONDS)

    @contextlib.asynccontextmanager
    async def limit(self, call: ActiveCall) -> AsyncIterator[None]:
        """Raise TimeoutError in the block when the call's time is up or the router stops."""
        end = _ends_by_seconds(call)
        if self._grace is not None:
            end = min(end, self._grace.stop_seconds)
        limit = asyncio.timeout_at(_loop_seconds(end))
        self._running.add(limit)
        try:
            async with limit:
                yield
        finally:
            self._running.discard(limit)

    def _longest_seconds(self, call: ActiveCall, now: float) -> float:
        profile = call.service.engine
        if profile is None or call.headers.answer_tokens <= 0:
            return math.inf
        endpoints = self._state.directory.ready_endpoints(call.service.name)
        pace = self._placement.slowest_pace(endpoints, now_seconds=now)
        return longest_call_seconds(
            profile,
            prompt_tokens=call.headers.prompt_tokens,
            answer_tokens=call.headers.answer_tokens,
            pace=pace,
        )


def _ends_by_seconds(call: ActiveCall) -> float:
    return call.deadline_seconds + ANSWER_SLACK_SECONDS


def _loop_seconds(monotonic_seconds: float) -> float:
    return asyncio.get_running_loop().time() + (monotonic_seconds - time.monotonic())
