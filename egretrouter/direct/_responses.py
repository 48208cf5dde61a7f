"""Answer callers, with what an endpoint sent or with an error."""

import time
from collections import deque
from functools import partial

from aiohttp import web
from multidict import CIMultiDict

from egretrouter.backends import CallDialect, CallHeaders
from egretrouter.core.direct import NextStep
from egretrouter.core.errors import Outcome
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._answer_memory import SMALL_ANSWER_BYTES, AnswerHold
from egretrouter.direct._logs import log_event
from egretrouter.direct._metrics import CallMetrics
from egretrouter.direct._refusals import Refusal, problem_answer
from egretrouter.direct._sends import MAX_UNREAD_BYTES, CompleteAnswer, OpenAnswer
from egretrouter.direct._shared_state import SharedStateService
from egretrouter.transport import close_when_read, reset_if_unread

# Bytes of a stream that may wait in the connection to its caller before reading from the endpoint
# stops; the default high-water mark of asyncio's transports.
MAX_WAITING_BYTES = 64 * 1024
# Events that wait are in memory as read, as complete events and in the connection's buffer.
COPIES_OF_EVENTS = 3


class LargeResponse(web.StreamResponse):
    """Send a large answer part by part, so that no second copy of it waits for the caller."""

    def __init__(
        self, complete: CompleteAnswer, *, headers: CIMultiDict[str], call_id: str
    ) -> None:
        super().__init__(status=complete.status, headers=headers)
        self.content_length = complete.size_bytes
        self._parts = deque(complete.parts)
        self._call_id = call_id

    async def send(self, request: web.BaseRequest, hold: AnswerHold) -> None:
        """Send the answer as fast as the caller reads it."""
        writer = await self.prepare(request)
        assert writer is not None
        while self._parts:
            with (
                hold.wait_for_caller(0, end_call=partial(_end_slow_reader, request, self._call_id)),
                reset_if_unread(request.transport),
            ):
                await self.write(self._parts.popleft())
                await writer.drain()
        await self.write_eof()


class CallResponder:
    """Build the responses of one router, and record how calls ended."""

    def __init__(
        self, *, state: SharedStateService, dialect: CallDialect, metrics: CallMetrics
    ) -> None:
        self.draining = False
        """Whether connections close after their response."""
        self._state = state
        self._dialect = dialect
        self._metrics = metrics

    def pass_on(self, call: ActiveCall, complete: CompleteAnswer) -> web.StreamResponse:
        """Return an endpoint's complete answer, unless its status would mislead the caller."""
        status = complete.status
        if status in (408, 421, 429, 503):
            # Callers may take these statuses as proof that the call did not run, which the endpoint
            # did not state.
            return self.end_call(call, NextStep.FAIL, 502, f"the endpoint answered {status}")
        self.record_finished(call, str(status))
        headers = self._dialect.response_headers(complete.headers)
        if complete.size_bytes > SMALL_ANSWER_BYTES:
            return LargeResponse(complete, headers=headers, call_id=call.headers.call_id)
        return web.Response(status=status, body=b"".join(complete.parts), headers=headers)

    async def write(self, call: ActiveCall, answer: OpenAnswer, data: bytes) -> None:
        """Send the caller some of an endpoint's stream, and the head of the response before it."""
        if call.response is None:
            headers = self._dialect.response_headers(answer.headers)
            headers.popall("Content-Length", None)
            call.response = web.StreamResponse(status=answer.status, headers=headers)
            if self.draining:
                call.response.force_close()
            call.response.enable_chunked_encoding()
            await call.response.prepare(call.request)
            call.progress.answer_started = True
            self._metrics.record_first_event(time.monotonic() - call.arrived_seconds)
        if data:
            await self._write_events(call, data)

    async def _write_events(self, call: ActiveCall, data: bytes) -> None:
        response, transport = call.response, call.request.transport
        assert response is not None
        waiting_bytes = transport.get_write_buffer_size() if transport is not None else 0
        if waiting_bytes + len(data) <= MAX_WAITING_BYTES:
            await response.write(data)
            return
        held_bytes = waiting_bytes + MAX_UNREAD_BYTES + COPIES_OF_EVENTS * len(data)
        end = partial(_end_slow_reader, call.request, call.headers.call_id)
        with call.hold.wait_for_caller(held_bytes, end_call=end):
            await response.write(data)
            writer = await response.prepare(call.request)
            if writer is not None:
                await writer.drain()

    def end_call(
        self,
        call: ActiveCall,
        step: NextStep,
        status: int,
        reason: str,
        *,
        retry_after_seconds: float | None = None,
    ) -> web.StreamResponse:
        """End a call for which there is no complete answer from an endpoint."""
        if call.response is not None:
            self.record_finished(call, "broken_off", reason=reason)
            if call.request.transport is not None:
                # Without the final chunk the caller can detect that the answer is incomplete.
                close_when_read(call.request.transport)
            return call.response
        if step is NextStep.REFUSE:
            refusal = Refusal(503, reason, retry_after_seconds=retry_after_seconds)
        else:
            refusal = Refusal(status, reason, outcome=Outcome.UNKNOWN)
        self.record_finished(call, str(refusal.status), reason=reason)
        return problem_answer(
            refusal, self._dialect.local_answer_headers(call.headers), call.headers.call_id
        )

    def refuse(
        self, request: web.BaseRequest, headers: CallHeaders, refusal: Refusal
    ) -> web.StreamResponse:
        """Answer a request that did not become a call."""
        log_event(
            "call:refused",
            call=headers.call_id,
            status=refusal.status,
            reason=refusal.reason,
            configuration=self._state.routes.table.version if self._state.routes else None,
        )
        self._metrics.record_call(str(refusal.status), 0.0)
        return problem_answer(refusal, self._dialect.local_answer_headers(headers), headers.call_id)

    def record_finished(self, call: ActiveCall, result: str, *, reason: str = "") -> None:
        """Record the result and the duration of a call."""
        seconds = time.monotonic() - call.arrived_seconds
        self._metrics.record_call(result, seconds)
        log_event(
            "call:finished",
            call=call.headers.call_id,
            route=call.route.name,
            result=result,
            reason=reason,
            sends=call.progress.sends,
            events=call.cutter.events,
            seconds=round(seconds, 3),
        )


def _end_slow_reader(request: web.BaseRequest, call_id: str) -> None:
    """Reset the connection of a caller that reads too slowly, as others need its memory."""
    log_event("call:slow_reader_ended", call=call_id)
    if request.transport is not None:
        request.transport.abort()
