"""Answer callers, with what an endpoint sent or with an error."""

import time
from collections import deque

from aiohttp import web
from multidict import CIMultiDict

from egretrouter.backends import CallDialect, CallHeaders
from egretrouter.core.direct import NextStep
from egretrouter.core.errors import Outcome
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._answer_memory import SMALL_ANSWER_BYTES
from egretrouter.direct._logs import log_event
from egretrouter.direct._metrics import CallMetrics
from egretrouter.direct._refusals import Refusal, problem_answer
from egretrouter.direct._sends import CompleteAnswer, OpenAnswer
from egretrouter.direct._shared_state import SharedStateService


class LargeResponse(web.StreamResponse):
    """Send a large answer part by part, so that no second copy of it waits for the caller."""

    def __init__(self, complete: CompleteAnswer, *, headers: CIMultiDict[str]) -> None:
        super().__init__(status=complete.status, headers=headers)
        self.content_length = complete.size_bytes
        self._parts = deque(complete.parts)

    async def send(self, request: web.BaseRequest) -> None:
        """Send the answer as fast as the caller reads it."""
        await self.prepare(request)
        while self._parts:
            await self.write(self._parts.popleft())
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
            return LargeResponse(complete, headers=headers)
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
            await call.response.write(data)

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
                call.request.transport.close()
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
