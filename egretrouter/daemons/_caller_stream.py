"""Stream one answer to its caller."""

import asyncio
import socket
import struct
from collections.abc import Callable
from enum import Enum

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from egretrouter.core.calls import AnswerData, AnswerHead, FailCaller
from egretrouter.core.identifiers import CallId
from egretrouter.transport._problems import problem_body, problem_response

# An answer that is not an event stream is buffered up to this size, so that a failure can still be
# reported with its own HTTP status.
MAX_BUFFERED_ANSWER_BYTES = 1024 * 1024
# Above this backlog of unsent bytes, the agent gets no more credit for a slow caller's answer.
BACKLOG_LIMIT_BYTES = 64 * 1024
CLOSE_TIMEOUT_SECONDS = 10.0

_EVENT_STREAM = "text/event-stream"
_EVENT_ENDS = (b"\n\n", b"\n\r\n")
_EVENT_END_BYTES = 3
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""A linger time of 0, with which closing a socket resets its connection."""
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 502
_STATUS_BY_REASON = {
    "deadline": 504,
    "idempotency_key_in_progress": 409,
    "idempotency_key_reused": 422,
}


class CallerState(Enum):
    """Enumerate the states of the response to a caller."""

    WAITING = "waiting"
    STREAMING = "streaming"
    FINISHED = "finished"
    FAILED = "failed"


class CallerStream:
    """Buffer an answer until its head may be sent, then write data as it arrives."""

    def __init__(
        self,
        request: web.BaseRequest,
        *,
        call_id: CallId,
        request_id: str,
        is_draining: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create the stream; an answer that starts during a drain closes its connection."""
        self.state = CallerState.WAITING
        self.changed = asyncio.Event()
        self.failure: FailCaller | None = None
        self._request = request
        self._call_id = call_id
        self._request_id = request_id
        self._is_draining = is_draining
        self._head: AnswerHead | None = None
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._response: web.StreamResponse | None = None
        # Set once the response's headers are sent; data then goes straight to the transport,
        # which saves a task switch and a flow-control check for every event.
        self._transport: asyncio.Transport | None = None
        self._chunked = request.version >= HttpVersion11
        self._tail = b""
        """The last bytes that were written, enough to find the end of an event in them."""

    @property
    def is_event_stream(self) -> bool:
        """Return whether the answer is a stream of server-sent events."""
        return self._head is not None and any(
            name.lower() == "content-type" and value.startswith(_EVENT_STREAM)
            for name, value in self._head.headers
        )

    @property
    def ended(self) -> bool:
        """Return whether the answer is complete or has failed."""
        return self.state in (CallerState.FINISHED, CallerState.FAILED)

    @property
    def backlogged(self) -> bool:
        """Return whether the caller reads too slowly to be sent more of the answer."""
        if self._transport is None:
            # A lower limit would withhold credit from an answer that must be buffered in full.
            return self._buffered_bytes > MAX_BUFFERED_ANSWER_BYTES
        return self._transport.get_write_buffer_size() > BACKLOG_LIMIT_BYTES

    @property
    def ready_to_stream(self) -> bool:
        """Return whether to send the head before the answer is complete."""
        return self._head is not None and (
            self.is_event_stream or self._buffered_bytes > MAX_BUFFERED_ANSWER_BYTES
        )

    def forward(self, body: AnswerHead | AnswerData) -> None:
        """Append the head or the next data of the answer."""
        if isinstance(body, AnswerHead):
            self._head = body
            self.changed.set()
        else:
            self.forward_data(body.data)

    def forward_data(self, data: bytes) -> None:
        """Append data of the answer; flush writes it."""
        self._buffered.append(data)
        if self._transport is None:
            self._buffered_bytes += len(data)
            if self._response is None and self._buffered_bytes > MAX_BUFFERED_ANSWER_BYTES:
                self.changed.set()

    def flush(self) -> None:
        """Write the buffered data if the head has been sent."""
        transport, buffered = self._transport, self._buffered
        if transport is None or not buffered:
            return
        data = buffered[0] if len(buffered) == 1 else b"".join(buffered)
        buffered.clear()
        self._tail = (self._tail + data[-_EVENT_END_BYTES:])[-_EVENT_END_BYTES:]
        transport.write(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.state = CallerState.FINISHED
        self.changed.set()

    def fail(self, failure: FailCaller) -> None:
        """Mark the answer as failed."""
        self.state = CallerState.FAILED
        self.failure = failure
        self.changed.set()

    async def start(self) -> None:
        """Send the head and the buffered data; later data is written as it arrives."""
        response = web.StreamResponse(
            status=self._response_status(), headers=self._response_headers()
        )
        self._response = response
        # HTTP/1.0 has no chunked encoding: the answer ends when the connection closes.
        if self._chunked:
            response.enable_chunked_encoding()
        if self._is_draining():
            response.force_close()
        await response.prepare(self._request)
        if self.state is CallerState.WAITING:
            self.state = CallerState.STREAMING
        self._transport = self._request.transport
        self._buffered_bytes = 0
        self.flush()

    async def close(self) -> web.StreamResponse:
        """End the response, so that the caller can detect an incomplete answer."""
        if self._response is None:
            return self._complete_response()
        self.flush()
        self._transport = None
        try:
            # A caller that reads nothing must not count against the limit of open calls.
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self._write_end(self._response)
        except TimeoutError:
            self._abort()
        return self._response

    async def _write_end(self, response: web.StreamResponse) -> None:
        if self.state is CallerState.FINISHED:
            await response.write_eof()
        elif self.is_event_stream and (self._chunked or self._is_between_events):
            # Inside an event, the caller would take the error for the rest of the event.
            if self._is_between_events:
                await response.write(b"event: error\ndata: " + self._problem_document() + b"\n\n")
            # Without the final chunk, the caller's HTTP library reports a truncated answer.
            if self._request.transport is not None:
                self._request.transport.close()
        else:
            # To an HTTP/1.0 caller a closed connection ends the answer, but a reset is an error.
            self._abort()

    @property
    def _is_between_events(self) -> bool:
        return not self._tail or self._tail.endswith(_EVENT_ENDS)

    def _abort(self) -> None:
        transport = self._request.transport
        if transport is None:
            return
        if not self._chunked:
            # abort() alone closes the connection, which ends an answer without chunks cleanly.
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        transport.abort()

    def _response_status(self) -> int:
        return self._head.status if self._head is not None else _STATUS_UNKNOWN

    def _response_headers(self) -> CIMultiDict[str]:
        headers = CIMultiDict(self._head.headers if self._head is not None else ())
        headers["X-Request-Id"] = self._request_id
        return headers

    def _complete_response(self) -> web.Response:
        if self.state is CallerState.FINISHED:
            return web.Response(
                status=self._response_status(),
                body=b"".join(self._buffered),
                headers=self._response_headers(),
            )
        failure = self.failure
        assert failure is not None
        return problem_response(
            status=failure_status(failure),
            name=failure.reason.replace("_", "-"),
            detail=self._failure_detail(),
            outcome=failure.outcome,
            request_id=self._request_id,
            retry_after_seconds=failure.retry_after_seconds,
        )

    def _failure_detail(self) -> str:
        assert self.failure is not None
        return f"call {self._call_id} ended without a whole answer: {self.failure.reason}"

    def _problem_document(self) -> bytes:
        assert self.failure is not None
        return problem_body(
            status=failure_status(self.failure),
            name=self.failure.reason.replace("_", "-"),
            detail=self._failure_detail(),
            outcome=self.failure.outcome,
            request_id=self._request_id,
        )


def failure_status(failure: FailCaller) -> int:
    """Return the HTTP status for a failure."""
    if failure.reason in _STATUS_BY_REASON:
        return _STATUS_BY_REASON[failure.reason]
    return _STATUS_NOT_RUN if failure.outcome.value == "not_run" else _STATUS_UNKNOWN
