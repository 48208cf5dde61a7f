"""Send HTTP requests to the platform's systems, and map failures to the product's exceptions."""

import asyncio
from collections.abc import AsyncIterable, Callable, Mapping
from email.utils import parsedate_to_datetime
from functools import partial
from time import time

import aiohttp
import msgspec
from yarl import URL

from egretrouter.core.errors import (
    BackendError,
    BackendUnavailableError,
    LostAnswerError,
    MalformedAnswerError,
    RateLimitedError,
    ValidationError,
)

DEFAULT_RETRY_AFTER_SECONDS = 1.0
MAX_DETAIL_CHARACTERS = 200


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Carry a complete HTTP answer."""

    status: int
    headers: Mapping[str, str]
    content: bytes

    @property
    def detail(self) -> str:
        """Return the start of the content for an error message."""
        return self.content[:MAX_DETAIL_CHARACTERS].decode(errors="replace")


class _ResentError(aiohttp.ClientConnectionError):
    """The HTTP session tried to send a write a second time."""


def send_once() -> aiohttp.ClientMiddlewareType:
    """Return a middleware for one request that raises if the request is sent a second time.

    aiohttp resends PUT and DELETE automatically when a connection breaks before the answer, even if
    the first request took effect. That would run a call twice, or turn a lost answer into a
    version conflict.
    """
    sent = False

    async def middleware(
        request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        nonlocal sent
        if sent:
            raise _ResentError("the connection broke before the answer")
        sent = True
        return await handler(request)

    return middleware


class HttpCaller:
    """Send requests to one HTTP server over a shared session."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        name: str,
        base_url: str,
        timeout_seconds: float,
        reachable: Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Use base_url for every path, and the name in error messages.

        Tests simulate a network partition by `reachable`, which is called with base_url.
        """
        self._session = session
        self._name = name
        self._base_url = URL(base_url)
        self._is_reachable = partial(reachable, base_url)
        self._timeout_seconds = timeout_seconds

    def url(self, *segments: str) -> URL:
        """Return the URL of a path below base_url.

        Raises ValidationError if a segment is empty or relative.
        """
        for segment in "/".join(segments).split("/"):
            if segment in ("", ".", ".."):
                raise ValidationError(f"path {'/'.join(segments)!r} has the segment {segment!r}")
        return self._base_url.joinpath(*segments)

    async def read(
        self,
        url: URL,
        *,
        headers: Mapping[str, str] | None = None,
        timeout: aiohttp.ClientTimeout | None = None,
        max_bytes: int,
        on_bytes: Callable[[], None] | None = None,
    ) -> Answer:
        """Send a GET request and call on_bytes each time a part of the content arrives.

        Raises RateLimitedError, MalformedAnswerError or BackendUnavailableError.
        """
        try:
            answer = await self._send(
                "GET", url, headers=headers, timeout=timeout, max=max_bytes, on_bytes=on_bytes
            )
        except (aiohttp.ClientError, TimeoutError) as error:
            raise BackendUnavailableError(self._error_message("GET", url, error)) from error
        self._raise_if_rate_limited(answer, url)
        if answer.status >= 500:
            raise BackendUnavailableError(self._status_message("GET", url, answer))
        return answer

    async def write(
        self,
        method: str,
        url: URL,
        *,
        headers: Mapping[str, str] | None = None,
        data: bytes | AsyncIterable[bytes] | None = None,
        timeout: aiohttp.ClientTimeout | None = None,
    ) -> Answer:
        """Send a request that changes state, at most once.

        Raises RateLimitedError, BackendUnavailableError if the request had no effect, and
        LostAnswerError if that is unknown.
        """
        try:
            answer = await self._send(
                method,
                url,
                headers=headers,
                data=data,
                timeout=timeout,
                max=64 * 1024,
                middlewares=(send_once(),),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise BackendUnavailableError(self._error_message(method, url, error)) from error
        except (aiohttp.ClientError, TimeoutError, MalformedAnswerError) as error:
            raise LostAnswerError(self._error_message(method, url, error)) from error
        self._raise_if_rate_limited(answer, url)
        if answer.status == 503:
            raise BackendUnavailableError(self._status_message(method, url, answer))
        return answer

    def unexpected_answer(self, method: str, url: URL, answer: Answer) -> BackendError:
        """Return the error for an answer with an unexpected status.

        After a write, a 5xx status does not show whether the write took effect.
        """
        message = self._status_message(method, url, answer)
        if method == "GET":
            return MalformedAnswerError(message)
        return LostAnswerError(message) if answer.status >= 500 else BackendError(message)

    async def _send(
        self,
        method: str,
        url: URL,
        *,
        headers: Mapping[str, str] | None,
        timeout: aiohttp.ClientTimeout | None,
        max: int,
        data: bytes | AsyncIterable[bytes] | None = None,
        middlewares: tuple[aiohttp.ClientMiddlewareType, ...] = (),
        on_bytes: Callable[[], None] | None = None,
    ) -> Answer:
        self._raise_if_unreachable()
        async with self._session.request(
            method,
            url,
            headers=headers,
            data=data,
            timeout=timeout or aiohttp.ClientTimeout(total=self._timeout_seconds),
            allow_redirects=False,
            middlewares=middlewares,
        ) as response:
            content = bytearray()
            async for part in response.content.iter_any():
                content += part
                if on_bytes is not None:
                    on_bytes()
                if len(content) > max:
                    raise MalformedAnswerError(
                        f"{self._name}: {method} {url.path} answered more than {max} bytes"
                    )
            # A partition also drops the answers to requests that were sent before it.
            self._raise_if_unreachable()
            return Answer(status=response.status, headers=response.headers, content=bytes(content))

    def _raise_if_unreachable(self) -> None:
        if not self._is_reachable():
            raise aiohttp.ClientConnectionError("the network is cut")

    def _raise_if_rate_limited(self, answer: Answer, url: URL) -> None:
        if answer.status == 429:
            raise RateLimitedError(
                f"{self._name}: {url.path} is rate-limited",
                retry_after_seconds=parse_retry_after(answer.headers.get("Retry-After")),
            )

    def _error_message(self, method: str, url: URL, error: BaseException) -> str:
        reason = "no answer in time" if isinstance(error, asyncio.TimeoutError) else str(error)
        return f"{self._name}: {method} {url.path}: {reason or type(error).__name__}"

    def _status_message(self, method: str, url: URL, answer: Answer) -> str:
        return f"{self._name}: {method} {url.path} answered {answer.status}: {answer.detail}"


def parse_retry_after(value: str | None) -> float:
    """Return the delay in seconds of a Retry-After header, which may contain a date."""
    if value is None:
        return DEFAULT_RETRY_AFTER_SECONDS
    try:
        seconds = float(value)
    except ValueError:
        try:
            seconds = parsedate_to_datetime(value).timestamp() - time()
        except (ValueError, OverflowError):
            return DEFAULT_RETRY_AFTER_SECONDS
    # float also accepts "inf", which min bounds, and "nan", which differs from itself and gives the
    # default.
    return min(max(0.0, seconds), 3600.0) if seconds == seconds else DEFAULT_RETRY_AFTER_SECONDS
