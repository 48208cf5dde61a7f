"""Write one answer to the caller that waits for it."""

import asyncio
from enum import Enum

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from egretrouter.core.calls import AnswerData, AnswerHead, FailCaller
from egretrouter.core.identifiers import CallId
from egretrouter.transport._problems import problem_body, problem_response

# Answers that are no event streams are held up to this size, so that a failure can still be
# reported with a status of its own.
HELD_ANSWER_BYTES = 1024 * 1024
# A caller that is slower than its answer gets no more from the agent above this backlog.
BACKLOG_LIMIT_BYTES = 64 * 1024
CLOSE_TIMEOUT_SECONDS = 10.0

_EVENT_STREAM = "text/event-stream"
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 502
_STATUS_OF_REASON = {
    "deadline": 504,
    "idempotency_key_in_progress": 409,
    "idempotency_key_reused": 422,
}


class CallerState(Enum):
    """Name the states of the response to a caller."""

    WAITING = "waiting"
    STREAMING = "streaming"
    FINISHED = "finished"
    FAILED = "failed"


class CallerStream:
    """Hold an answer back until its head may be sent, then pass pieces on at once."""

    def __init__(self, request: web.Request, *, call_id: CallId, request_id: str) -> None:
        self.state = CallerState.WAITING
        self.changed = asyncio.Event()
        self.failure: FailCaller | None = None
        self._request = request
        self._call_id = call_id
        self._request_id = request_id
        self._head: AnswerHead | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._response: web.StreamResponse | None = None
        # Set once the response's headers are sent; pieces then go straight to the transport,
        # which saves a task switch and a flow-control check for every event.
        self._transport: asyncio.Transport | None = None
        self._chunked = request.version >= HttpVersion11

    @property
    def is_event_stream(self) -> bool:
        """Tell whether the answer is a stream of server-sent events."""
        return self._head is not None and any(
            name.lower() == "content-type" and value.startswith(_EVENT_STREAM)
            for name, value in self._head.headers
        )

    @property
    def ended(self) -> bool:
        """Tell whether the answer is whole or has failed."""
        return self.state in (CallerState.FINISHED, CallerState.FAILED)

    @property
    def backlogged(self) -> bool:
        """Tell whether the caller takes the answer too slowly to be sent more."""
        if self._transport is None:
            # A lower limit would withhold the credit for an answer that must be held whole.
            return self._held_bytes > HELD_ANSWER_BYTES
        return self._transport.get_write_buffer_size() > BACKLOG_LIMIT_BYTES

    @property
    def ready_to_stream(self) -> bool:
        """Tell whether the head should be sent before the answer is whole."""
        return self._head is not None and (
            self.is_event_stream or self._held_bytes > HELD_ANSWER_BYTES
        )

    def forward(self, body: AnswerHead | AnswerData) -> None:
        """Take the next piece of the answer."""
        if isinstance(body, AnswerHead):
            self._head = body
            self.changed.set()
        else:
            self.forward_data(body.data)

    def forward_data(self, data: bytes) -> None:
        """Take the next bytes of the answer; flush writes them."""
        self._held.append(data)
        if self._transport is None:
            self._held_bytes += len(data)
            if self._response is None and self._held_bytes > HELD_ANSWER_BYTES:
                self.changed.set()

    def flush(self) -> None:
        """Write what was taken, once the head is sent."""
        transport, held = self._transport, self._held
        if transport is None or not held:
            return
        data = held[0] if len(held) == 1 else b"".join(held)
        held.clear()
        transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """Learn that the answer is whole."""
        self.state = CallerState.FINISHED
        self.changed.set()

    def fail(self, failure: FailCaller) -> None:
        """Learn that there will be no whole answer."""
        self.state = CallerState.FAILED
        self.failure = failure
        self.changed.set()

    async def start(self) -> None:
        """Send the head and what is held, and pass later pieces straight on."""
        response = web.StreamResponse(status=self._status(), headers=self._headers())
        self._response = response
        # An HTTP/1.0 caller knows no chunks: its answer ends with the connection.
        if self._chunked:
            response.enable_chunked_encoding()
        await response.prepare(self._request)
        if self.state is CallerState.WAITING:
            self.state = CallerState.STREAMING
        self._transport = self._request.transport
        self._held_bytes = 0
        self.flush()

    async def close(self) -> web.StreamResponse:
        """End the response cleanly if the answer is whole, and visibly broken if not."""
        if self._response is None:
            return self._whole_response()
        self.flush()
        self._transport = None
        try:
            # A caller that reads nothing must not keep its place among the open calls.
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self._end(self._response)
        except TimeoutError:
            self._abort()
        return self._response

    async def _end(self, response: web.StreamResponse) -> None:
        if self.state is CallerState.FINISHED:
            await response.write_eof()
        elif self.is_event_stream:
            await response.write(b"event: error\ndata: " + self._problem() + b"\n\n")
            # Without the last chunk of the encoding the caller's library reports the cut.
            if self._request.transport is not None:
                self._request.transport.close()
        else:
            # An HTTP/1.0 caller takes a closed connection for the end; a reset one is an error.
            self._abort()

    def _abort(self) -> None:
        if self._request.transport is not None:
            self._request.transport.abort()

    def _status(self) -> int:
        return self._head.status if self._head is not None else _STATUS_UNKNOWN

    def _headers(self) -> CIMultiDict[str]:
        headers = CIMultiDict(self._head.headers if self._head is not None else ())
        headers["X-Request-Id"] = self._request_id
        return headers

    def _whole_response(self) -> web.Response:
        if self.state is CallerState.FINISHED:
            return web.Response(
                status=self._status(), body=b"".join(self._held), headers=self._headers()
            )
        failure = self.failure
        assert failure is not None
        return problem_response(
            status=failure_status(failure),
            name=failure.reason.replace("_", "-"),
            detail=self._detail(),
            outcome=failure.outcome,
            request_id=self._request_id,
            retry_after_seconds=failure.retry_after_seconds,
        )

    def _detail(self) -> str:
        assert self.failure is not None
        return f"call {self._call_id} ended without a whole answer: {self.failure.reason}"

    def _problem(self) -> bytes:
        assert self.failure is not None
        return problem_body(
            status=failure_status(self.failure),
            name=self.failure.reason.replace("_", "-"),
            detail=self._detail(),
            outcome=self.failure.outcome,
            request_id=self._request_id,
        )


def failure_status(failure: FailCaller) -> int:
    """Return the HTTP status that fits a failure."""
    if failure.reason in _STATUS_OF_REASON:
        return _STATUS_OF_REASON[failure.reason]
    return _STATUS_NOT_RUN if failure.outcome.value == "not_run" else _STATUS_UNKNOWN
