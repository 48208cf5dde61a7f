"""Forward the event streams of endpoints to callers, and leave endpoints that fall silent."""

import time
from collections.abc import Callable

from aiohttp import web

from egretrouter.core.direct import Choice, Placement, Route, SendOutcome
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._choices import EndpointChoices
from egretrouter.direct._part_guard import PartGuard
from egretrouter.direct._responses import CallResponder
from egretrouter.direct._sends import OpenAnswer, SendError, check_stream_end, feed_events
from egretrouter.direct._start_limits import StartLimits, version_expired
from egretrouter.direct._work_prediction import WorkPrediction

# After this many allowed gaps without data, half of what callers wait at least, an event stream may
# go on at another endpoint; sound endpoints may fall silent for a second or so.
STALL_GAPS = 4.0
MIN_STALL_SECONDS = 2.0
# A silent endpoint that the call can't leave yet is checked again at this interval.
STALL_POLL_SECONDS = 0.25


class StreamForwarder:
    """Forward the streams of one router's calls."""

    def __init__(
        self,
        *,
        placement: Placement,
        responder: CallResponder,
        choices: EndpointChoices,
        guard: PartGuard,
        start_limits: StartLimits,
        work: WorkPrediction | None,
        may_move: Callable[[ActiveCall, float], bool],
    ) -> None:
        """Leave a silent endpoint only if may_move allows the call that at a monotonic time."""
        self._placement = placement
        self._responder = responder
        self._choices = choices
        self._guard = guard
        self._start_limits = start_limits
        self._work = work
        self._may_move = may_move

    async def forward(
        self, call: ActiveCall, choice: Choice, answer: OpenAnswer
    ) -> web.StreamResponse:
        """Forward an endpoint's events to the caller until the stream ends.

        Raises SendError.
        """
        call.cutter.discard_partial_event()
        if not call.progress.answer_started:
            call.version = answer.answer.version or choice.version
        elif call.version is not None and answer.answer.version not in (None, call.version):
            raise SendError(SendOutcome.BROKEN, f"resumed on version {answer.answer.version}")
        while data := await self._read(call, choice, answer):
            events = feed_events(call.cutter, data)
            if events:
                self._guard.record_events(call)
                await self._responder.write(call, answer, events)
            await call.hold.resize(call.cutter.partial_bytes)
        check_stream_end(call.cutter)
        await self._responder.write(call, answer, call.cutter.take_trailing_bytes())
        assert call.response is not None
        await call.response.write_eof()
        self._placement.record_success(choice.endpoint.endpoint_id)
        self._guard.record_answer(call)
        if self._work is not None:
            self._work.record_finished(call)
        self._responder.record_finished(call, "200")
        return call.response

    async def _read(self, call: ActiveCall, choice: Choice, answer: OpenAnswer) -> bytes:
        """Return what has arrived; leave a silent endpoint only if the call goes on at another."""
        if not call.events_since_send:
            return await self._read_first(call, choice, answer)
        limit = _stall_seconds(call.route)
        while True:
            try:
                return await answer.read_events(stall_seconds=limit)
            except SendError as error:
                if error.outcome is not SendOutcome.STALLED:
                    raise
                call.next_choice = self._find_other_endpoint(call)
                if call.next_choice is not None:
                    raise
            limit = STALL_POLL_SECONDS

    async def _read_first(self, call: ActiveCall, choice: Choice, answer: OpenAnswer) -> bytes:
        """Return what has arrived; until the first event the call may wait at its endpoint."""
        try:
            async with self._start_limits.limit(call.headers.model, choice.version):
                return await answer.read_events(stall_seconds=None)
        except TimeoutError as error:
            raise version_expired(choice) from error

    def _find_other_endpoint(self, call: ActiveCall) -> Choice | None:
        """Return the endpoint at which a silent stream can go on at once, if there is one."""
        now = time.monotonic()
        if call.deadline_seconds - now < call.route.latency_target_seconds:
            return None
        if not self._may_move(call, now):
            return None
        choice = self._choices.choose_now(call)
        return choice if isinstance(choice, Choice) else None


def _stall_seconds(route: Route) -> float | None:
    if not route.resumable:
        return None
    return max(MIN_STALL_SECONDS, STALL_GAPS * route.max_event_gap_seconds)
