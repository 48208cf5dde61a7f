"""Send calls to the endpoint and yield their answers in parts."""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Iterable
from types import SimpleNamespace

import aiohttp
from yarl import URL

from egretrouter.backends import send_once
from egretrouter.core.calls import AnswerData, AnswerHead
from egretrouter.core.errors import CallNotRunError, CallUnknownError
from egretrouter.core.http_statuses import is_final_status
from egretrouter.core.identifiers import CallId, Digest
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.transport import HOP_BY_HOP_HEADERS, check_answers

CONNECT_TIMEOUT_SECONDS = 2.0
READ_BUFFER_BYTES = 256 * 1024
DIGEST_HEADER = "X-Manifest-Digest"
PRIORITY_HEADER = "X-Request-Priority"

_EVENT_STREAM = "text/event-stream"
_STREAM_END = b"data: [DONE]"
_HOP_HEADERS = HOP_BY_HOP_HEADERS | {"content-length", "host"}


class EndpointUnreachableError(CallNotRunError):
    """No connection to the endpoint could be made, so nothing was sent."""


class EndpointFailedError(CallUnknownError):
    """The endpoint failed after the call was sent."""


class TruncatedAnswerError(CallUnknownError):
    """The endpoint ended its answer before it was complete."""


class OtherVersionError(CallUnknownError):
    """The endpoint answered from another version than the call requests."""


class VersionNotHeldError(CallNotRunError):
    """The endpoint refused the call because it no longer has the requested version."""


def forwarded_headers(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the headers without those that apply to a single connection."""
    return tuple((name, value) for name, value in headers if name.lower() not in _HOP_HEADERS)


def endpoint_session() -> aiohttp.ClientSession:
    """Create the session for calls to an endpoint."""

    async def connected(_: object, context: SimpleNamespace, __: object) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx()

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(connected)
    # A request on a connection that the endpoint is closing may be lost without an error, so each
    # call opens its own connection.
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    check_answers(connector)
    return aiohttp.ClientSession(
        connector=connector,
        trace_configs=[trace],
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
    )


class EndpointClient:
    """Send calls to the endpoint of this agent."""

    def __init__(
        self,
        *,
        base_url: str,
        session: aiohttp.ClientSession,
        holds_version: Callable[[Digest], Awaitable[bool]] | None = None,
    ) -> None:
        """Create a client; holds_version reads whether the endpoint has a version now."""
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._holds_version = holds_version

    async def run(
        self,
        call: pb.CallOpen,
        *,
        call_id: CallId,
        timeout_seconds: float,
        on_connected: Callable[[], None],
    ) -> AsyncGenerator[AnswerHead | AnswerData, None]:
        """Yield the head and then the content of the answer.

        Calls on_connected before the first byte is sent. Raises EndpointUnreachableError,
        EndpointFailedError, OtherVersionError, VersionNotHeldError or TruncatedAnswerError.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
        try:
            async with self._session.request(
                call.method,
                URL(self._base_url + call.path, encoded=True),
                headers=self._build_headers(call, call_id),
                data=call.content or None,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=on_connected,
                middlewares=(send_once(),),
            ) as response:
                if not is_final_status(response.status):
                    raise EndpointFailedError(f"the endpoint answered {response.status}")
                await self._raise_if_not_held(response, Digest(call.version_digest))
                async for part in _read_answer(response, call.version_digest):
                    yield part
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise EndpointUnreachableError(f"{self._base_url} refused: {error}") from error
        except aiohttp.ClientPayloadError as error:
            raise TruncatedAnswerError(f"the endpoint's answer was cut: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise EndpointFailedError(
                f"endpoint {self._base_url} failed: {type(error).__name__}"
            ) from error

    async def _raise_if_not_held(
        self, response: aiohttp.ClientResponse, version_digest: Digest
    ) -> None:
        """Raise VersionNotHeldError if the endpoint refuses a version that it no longer has.

        A 404 may also be the answer to the call itself, for a model that the caller misnamed.
        """
        if response.status != 404 or not version_digest or self._holds_version is None:
            return
        if DIGEST_HEADER not in response.headers and not await self._holds_version(version_digest):
            raise VersionNotHeldError(f"{self._base_url} does not have {version_digest}")

    @staticmethod
    def _build_headers(call: pb.CallOpen, call_id: CallId) -> list[tuple[str, str]]:
        headers = [(h.name, h.value) for h in call.headers]
        headers.append(("X-Call-Id", call_id))
        if call.priority:
            headers.append((PRIORITY_HEADER, str(call.priority)))
        if call.version_digest:
            headers.append((DIGEST_HEADER, call.version_digest))
        return headers


async def _read_answer(
    response: aiohttp.ClientResponse, version_digest: str
) -> AsyncIterator[AnswerHead | AnswerData]:
    answered_digest = response.headers.get(DIGEST_HEADER)
    if version_digest and answered_digest is not None and answered_digest != version_digest:
        raise OtherVersionError(
            f"the endpoint answered from {answered_digest}, not {version_digest}"
        )
    yield AnswerHead(status=response.status, headers=forwarded_headers(response.headers.items()))
    tail = b""
    async for content in response.content.iter_any():
        tail = (tail + content)[-64:]
        yield AnswerData(data=content)
    is_stream = response.content_type == _EVENT_STREAM
    if version_digest and is_stream and response.status == 200 and _STREAM_END not in tail:
        raise TruncatedAnswerError("the endpoint's stream ended without [DONE]")
