"""Send one call to one endpoint and classify what comes back."""

import asyncio

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from egretrouter.backends import AnswerHeaders, CallDialect, send_once
from egretrouter.core.direct import SendOutcome
from egretrouter.core.errors import EgretrouterError

MAX_WHOLE_ANSWER_BYTES = 16 * 1024 * 1024


class SendError(EgretrouterError):
    """A send ended without an answer to pass on."""

    def __init__(
        self,
        outcome: SendOutcome,
        reason: str,
        *,
        answer: AnswerHeaders | None = None,
        whole: "WholeAnswer | None" = None,
    ) -> None:
        """Keep the endpoint's answer where there is one."""
        super().__init__(reason)
        self.outcome = outcome
        self.reason = reason
        self.answer = answer
        self.whole = whole


class WholeAnswer(msgspec.Struct, kw_only=True):
    """Hold an answer that arrived whole."""

    status: int
    headers: CIMultiDict[str]
    content: bytes


class OutgoingCall(msgspec.Struct, kw_only=True):
    """Hold what is sent to an endpoint."""

    method: str
    target: str
    """The path and query exactly as the caller sent them."""
    headers: CIMultiDict[str]
    content: bytes
    call_id: str


class OpenAnswer:
    """Read the answer of one endpoint."""

    def __init__(self, response: aiohttp.ClientResponse, answer: AnswerHeaders) -> None:
        self.status = response.status
        self.headers = CIMultiDict(response.headers)
        self.answer = answer
        self._response = response

    @property
    def is_event_stream(self) -> bool:
        """Tell whether the answer is a stream of server-sent events."""
        return self._response.content_type == "text/event-stream"

    async def whole(self) -> WholeAnswer:
        """Read the answer to its end.

        Raises SendError.
        """
        content = bytearray()
        while piece := await self.piece(stall_seconds=None):
            content += piece
            if len(content) > MAX_WHOLE_ANSWER_BYTES:
                raise SendError(SendOutcome.BROKEN, "the answer is too large")
        return WholeAnswer(status=self.status, headers=self.headers, content=bytes(content))

    async def piece(self, *, stall_seconds: float | None) -> bytes:
        """Read what has arrived of the content; nothing at its end.

        Raises SendError if the answer breaks off, or is silent for stall_seconds.
        """
        try:
            async with asyncio.timeout(stall_seconds):
                return await self._response.content.readany()
        except TimeoutError as error:
            raise SendError(SendOutcome.STALLED, "the endpoint fell silent") from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise SendError(SendOutcome.BROKEN, describe(error)) from error

    def close(self) -> None:
        """Close the connection, which ends the work of most endpoints."""
        self._response.close()


class Sender:
    """Send calls over connections of their own."""

    def __init__(self, session: aiohttp.ClientSession, dialect: CallDialect) -> None:
        self._session = session
        self._dialect = dialect

    async def open(self, address: str, call: OutgoingCall) -> OpenAnswer:
        """Send a call and return its answer once the headers are there.

        Raises SendError.
        """
        try:
            response = await self._session.request(
                call.method,
                URL(f"http://{address}{call.target}", encoded=True),
                headers=call.headers,
                data=call.content or None,
                allow_redirects=False,
                middlewares=(send_once(),),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise SendError(SendOutcome.NOT_SENT, describe(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise SendError(SendOutcome.BROKEN, describe(error)) from error
        try:
            return OpenAnswer(response, self._check(call, response))
        except SendError:
            response.close()
            raise

    def _check(self, call: OutgoingCall, response: aiohttp.ClientResponse) -> AnswerHeaders:
        answer = self._dialect.read_answer(response.status, response.headers)
        if answer.not_run:
            raise SendError(
                SendOutcome.REJECTED, f"the endpoint rejected with {response.status}", answer=answer
            )
        if answer.call_id is not None and answer.call_id != call.call_id:
            raise SendError(SendOutcome.BROKEN, f"the answer is for call {answer.call_id}")
        if not answer.has_receipt:
            raise SendError(SendOutcome.BROKEN, f"status {response.status} without a receipt")
        if "Content-Encoding" in response.headers:
            raise SendError(SendOutcome.BROKEN, "the answer has an encoding nobody asked for")
        return answer


def describe(error: BaseException) -> str:
    """Return a short text for a log line."""
    return f"{type(error).__name__}: {error}"[:160]
