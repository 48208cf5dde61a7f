"""Send a call to an endpoint and classify its answer."""

import asyncio
from collections.abc import Awaitable

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from egretrouter.backends import AnswerHeaders, CallDialect, send_once
from egretrouter.core.direct import EventSplitter, SendOutcome
from egretrouter.core.errors import (
    EgretrouterError,
    EventTooLargeError,
    StreamMismatchError,
)
from egretrouter.core.http_statuses import is_final_status
from egretrouter.direct._answer_memory import MAX_ANSWER_BYTES, AnswerHold

# How much of a stream is read at once.
MAX_STREAM_READ_BYTES = 16 * 1024
# Limit of aiohttp's stream buffer: it stops reading the connection at twice as many bytes.
READ_BUFFER_BYTES = 16 * 1024
# The bandwidth-delay product of a 14 Mbit/s link with a round trip of 37 ms. Without this limit one
# read of a socket returns up to 256 KiB, which stay in the parser while nobody reads on.
RECEIVE_BUFFER_BYTES = 64 * 1024
MAX_UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES + 2 * READ_BUFFER_BYTES
"""Most bytes of an answer that can arrive while nobody reads; kernels double receive buffers."""


class SendError(EgretrouterError):
    """A send ended without an answer that can be forwarded."""

    def __init__(
        self,
        outcome: SendOutcome,
        reason: str,
        *,
        answer: AnswerHeaders | None = None,
        complete: "CompleteAnswer | None" = None,
    ) -> None:
        """Store the outcome and, if available, the endpoint's answer."""
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason
        self.answer = answer
        self.complete = complete
        self.head: AnswerHeaders | None = None
        """What was received instead of an answer to the call, which may be for another one."""


class CompleteAnswer(msgspec.Struct, kw_only=True):
    """Represent an answer that was received completely."""

    status: int
    headers: CIMultiDict[str]
    parts: list[bytes]
    """The content as it arrived; joining a large one would take its memory twice."""
    size_bytes: int


class OutgoingCall(msgspec.Struct, kw_only=True):
    """Represent the request that is sent to an endpoint."""

    method: str
    target: str
    """The path and query exactly as the caller sent them."""
    headers: CIMultiDict[str]
    content: bytes
    call_id: str


class OpenAnswer:
    """Read an endpoint's answer while it arrives."""

    def __init__(self, response: aiohttp.ClientResponse, answer: AnswerHeaders) -> None:
        self.status = response.status
        self.headers = CIMultiDict(response.headers)
        self.answer = answer
        self._response = response

    @property
    def is_event_stream(self) -> bool:
        """Return whether the answer is a stream of server-sent events."""
        return self._response.content_type == "text/event-stream"

    async def read_all(self, hold: AnswerHold) -> CompleteAnswer:
        """Read the complete answer, as fast as there is room for it.

        Raises SendError if it breaks off or is too large.
        """
        parts: list[bytes] = []
        size_bytes = 0
        # The memory of an earlier send of the call is free.
        hold.release()
        while data := await self.read_available(stall_seconds=None):
            size_bytes += len(data)
            if size_bytes > MAX_ANSWER_BYTES:
                raise SendError(SendOutcome.BROKEN, "the answer is too large")
            await hold.grow(len(data))
            parts.append(data)
        hold.end_reading()
        return CompleteAnswer(
            status=self.status, headers=self.headers, parts=parts, size_bytes=size_bytes
        )

    async def read_available(self, *, stall_seconds: float | None) -> bytes:
        """Return the content that has arrived, or no bytes at the end of the answer.

        Raises SendError if the answer breaks off, or if nothing arrives within stall_seconds.
        """
        return await self._read(self._response.content.readany(), stall_seconds)

    async def read_events(self, *, stall_seconds: float | None) -> bytes:
        """Return some of what has arrived, or no bytes at the end of the stream.

        Raises SendError if the stream breaks off, or if nothing arrives within stall_seconds.
        """
        content = self._response.content
        data = await self._read(content.read(MAX_STREAM_READ_BYTES), stall_seconds)
        if len(data) == MAX_STREAM_READ_BYTES:
            # More may have arrived already; the events of other calls come first.
            await asyncio.sleep(0)
        return data

    async def _read(self, reading: Awaitable[bytes], stall_seconds: float | None) -> bytes:
        try:
            async with asyncio.timeout(stall_seconds):
                return await reading
        except TimeoutError as error:
            raise SendError(SendOutcome.STALLED, "the endpoint fell silent") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise SendError(SendOutcome.BROKEN, describe_error(error)) from error

    def close(self) -> None:
        """Close the connection, which makes most endpoints abort the call."""
        self._response.close()


class Sender:
    """Send calls, each over a connection of its own."""

    def __init__(self, session: aiohttp.ClientSession, dialect: CallDialect) -> None:
        self._session = session
        self._dialect = dialect

    async def open(self, address: str, call: OutgoingCall) -> OpenAnswer:
        """Send a call and return its answer once the headers have arrived.

        Raises SendError.
        """
        try:
            response = await self._session.request(
                call.method,
                URL(f"http://{address}{call.target}", encoded=True),
                headers=call.headers,
                data=call.content or None,
                allow_redirects=False,
                read_bufsize=READ_BUFFER_BYTES,
                middlewares=(send_once(),),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise SendError(SendOutcome.NOT_SENT, describe_error(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise SendError(SendOutcome.BROKEN, describe_error(error)) from error
        if not is_final_status(response.status):
            # Nothing that such a head says is believed. After an interim answer, a caller would
            # take the next answer on its connection as the rest of this one.
            response.close()
            raise SendError(SendOutcome.BROKEN, f"the endpoint answered {response.status}")
        answer = self._dialect.read_answer(response.status, response.headers)
        try:
            _check_answer(call, response, answer)
        except SendError as error:
            error.head = answer
            response.close()
            raise
        return OpenAnswer(response, answer)


def _check_answer(
    call: OutgoingCall, response: aiohttp.ClientResponse, answer: AnswerHeaders
) -> None:
    """Check that an answer's head is that of an answer to the call.

    Raises SendError.
    """
    # An answer for another call says nothing about this one or about the endpoint now.
    if answer.call_id is not None and answer.call_id != call.call_id:
        raise SendError(SendOutcome.BROKEN, f"the answer is for call {answer.call_id}")
    if answer.not_run and response.status < 400:
        raise SendError(SendOutcome.BROKEN, f"status {response.status} of a call that did not run")
    if answer.not_run:
        raise SendError(
            SendOutcome.REJECTED, f"the endpoint rejected with {response.status}", answer=answer
        )
    if not answer.has_receipt:
        raise SendError(SendOutcome.BROKEN, f"status {response.status} without a receipt")
    if "Content-Encoding" in response.headers:
        raise SendError(SendOutcome.BROKEN, "the answer has an encoding nobody asked for")


def feed_events(splitter: EventSplitter, data: bytes) -> bytes:
    """Return the events of a stream that are now complete.

    Raises SendError if an event is too large or does not continue the stream.
    """
    try:
        return splitter.feed(data)
    except (EventTooLargeError, StreamMismatchError) as error:
        raise SendError(SendOutcome.BROKEN, str(error)) from error


def check_stream_end(splitter: EventSplitter) -> None:
    """Check that a stream has ended completely.

    Raises SendError if it has not.
    """
    try:
        splitter.check_end()
    except StreamMismatchError as error:
        raise SendError(SendOutcome.BROKEN, str(error)) from error


def describe_error(error: BaseException) -> str:
    """Return the type and message of an error, truncated for log lines."""
    return f"{type(error).__name__}: {error}"[:160]
