"""Run one call at the endpoint and yield its answer in parts."""

from collections.abc import AsyncIterator

import aiohttp
import msgspec
from yarl import URL

from egretrouter.core.errors import CallNotRunError, CallUnknownError
from egretrouter.protocol import egretrouter_pb2 as pb

CONNECT_TIMEOUT_SECONDS = 2.0
EVENT_STREAM = "text/event-stream"
STREAM_END = b"data: [DONE]"

_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class EndpointUnreachableError(CallNotRunError):
    """No connection to the endpoint could be made, so nothing was sent."""


class EndpointFailedError(CallUnknownError):
    """The endpoint failed after the call was sent."""


class TruncatedAnswerError(CallUnknownError):
    """The endpoint ended its answer before the whole was there."""


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Hold status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...]

    @property
    def is_event_stream(self) -> bool:
        """Tell whether the answer is a stream of server-sent events."""
        return any(
            name.lower() == "content-type" and value.startswith(EVENT_STREAM)
            for name, value in self.headers
        )


def forwarded_headers(headers: object) -> list[tuple[str, str]]:
    """Drop the headers that concern one connection only."""
    items = headers.items() if hasattr(headers, "items") else headers
    return [(name, value) for name, value in items if name.lower() not in _HOP_HEADERS]  # type: ignore[attr-defined]


class EndpointClient:
    """Send calls to the one endpoint behind this agent."""

    def __init__(self, *, base_url: str, session: aiohttp.ClientSession) -> None:
        self._base_url = base_url.rstrip("/")
        self._session = session

    async def run(
        self, call: pb.CallOpen, *, call_id: str, timeout_seconds: float
    ) -> AsyncIterator[AnswerHead | bytes]:
        """Yield the head and then the content of the answer.

        Raises EndpointUnreachableError, EndpointFailedError or TruncatedAnswerError.
        """
        sent = False
        timeout = aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
        headers = forwarded_headers([(h.name, h.value) for h in call.headers])
        headers.append(("X-Call-Id", call_id))
        url = URL(self._base_url + call.path, encoded=True)
        try:
            async with self._session.request(
                call.method,
                url,
                headers=headers,
                data=call.content or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                sent = True
                head = AnswerHead(
                    status=response.status, headers=tuple(forwarded_headers(response.headers))
                )
                yield head
                tail = b""
                async for content in response.content.iter_any():
                    tail = (tail + content)[-64:]
                    yield content
                if head.is_event_stream and STREAM_END not in tail:
                    raise TruncatedAnswerError("the endpoint's stream ended without [DONE]")
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise EndpointUnreachableError(f"endpoint {self._base_url} refused: {error}") from error
        except aiohttp.ClientPayloadError as error:
            raise TruncatedAnswerError(f"the endpoint's answer was cut: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            step = "while answering" if sent else "before answering"
            raise EndpointFailedError(
                f"endpoint {self._base_url} failed {step}: {type(error).__name__}"
            ) from error
