"""Serve callers over connections that close only when no request on them is unanswered."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

# A caller that pauses for longer within the head of a request is not waited for.
HEAD_PAUSE_SECONDS = 1.0
# Callers send their first request as soon as the connection is open.
FIRST_REQUEST_SECONDS = 0.2
CLOSE_POLL_SECONDS = 0.05
# A connection whose caller does not read what one write sends within this time is reset.
UNREAD_SECONDS = 10.0
# Time to send the rest of an answer whose deadline has passed, as its caller no longer needs it.
CLOSE_SECONDS = 1.0
DEFAULT_MAX_BODY_BYTES = 1024**2


class CallerConnection(web.RequestHandler):
    """Serve one connection, and track whether a request on it is unanswered."""

    def __init__(
        self, server: web.Server, *, loop: asyncio.AbstractEventLoop, **options: Any
    ) -> None:
        super().__init__(server, loop=loop, **options)
        self._event_loop = loop
        self._first_request_timer: asyncio.TimerHandle | None = None
        self._answers = 0
        self._request_body: StreamReader | None = None
        self._unanswered_since_seconds: float | None = None
        """When the last bytes arrived that no response has answered."""
        self._next_since_seconds: float | None = None
        """When bytes arrived behind the request in progress."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Expect the first request for a while."""
        super().connection_made(transport)
        # A timer, as the event loop reads what has arrived before it runs one, however slow it is.
        self._first_request_timer = self._event_loop.call_later(
            FIRST_REQUEST_SECONDS, self._end_first_request_timer
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note that the caller is gone."""
        self._end_first_request_timer()
        super().connection_lost(exc)

    def _end_first_request_timer(self) -> None:
        if self._first_request_timer is not None:
            self._first_request_timer.cancel()
            self._first_request_timer = None

    def data_received(self, data: bytes) -> None:
        """Note that bytes arrived, and parse them."""
        if data:
            self._end_first_request_timer()
            now = self._event_loop.time()
            self._unanswered_since_seconds = now
            if self._request_body is not None and self._request_body.is_eof():
                self._next_since_seconds = now
        super().data_received(data)

    def begin_request(self, body: StreamReader) -> None:
        """Note that the handler gets a request."""
        self._request_body = body
        self._unanswered_since_seconds = self._event_loop.time()

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send the rest of a response, and note that its request is answered."""
        try:
            with reset_if_unread(request.transport):
                return await super().finish_response(request, resp, start_time)
        finally:
            self._answers += 1
            self._request_body = None
            self._unanswered_since_seconds = self._next_since_seconds
            self._next_since_seconds = None

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open, or closing until all is sent."""
        return self.transport is not None

    @property
    def is_unanswered(self) -> bool:
        """Return whether a request is in progress or about to be read completely."""
        if not self.is_open or self._unanswered_since_seconds is None:
            return False
        if self._request_body is not None:
            return True
        return self._event_loop.time() - self._unanswered_since_seconds < HEAD_PAUSE_SECONDS

    @property
    def is_kept(self) -> bool:
        """Return whether the connection only waits for another request."""
        return self._answers > 0 and self._unanswered_since_seconds is None

    @property
    def expects_request(self) -> bool:
        """Return whether the connection is so new that its first request is on its way."""
        return self.is_open and self._first_request_timer is not None

    def close_when_sent(self) -> None:
        """Close the connection once what was written is sent."""
        if self.transport is not None:
            close_when_read(self.transport, seconds=UNREAD_SECONDS)


@contextmanager
def reset_if_unread(transport: asyncio.Transport | None) -> Iterator[None]:
    """Reset a connection if its caller takes too long to read what the block sends.

    Otherwise a caller that reads nothing would keep its answer in memory for any time.
    """
    if transport is None:
        yield
        return
    timer = asyncio.get_running_loop().call_later(UNREAD_SECONDS, transport.abort)
    try:
        yield
    finally:
        timer.cancel()


def close_when_read(transport: asyncio.Transport, *, seconds: float = CLOSE_SECONDS) -> None:
    """Close a connection once what was written is sent, or reset it after the given seconds."""
    transport.close()
    if transport.get_write_buffer_size():
        asyncio.get_running_loop().call_later(seconds, transport.abort)


class CallerServer(web.Server):
    """Serve callers, and close their connections without losing a request that was read."""

    def __init__(
        self, handler: Any, *, max_body_bytes: int = DEFAULT_MAX_BODY_BYTES, **options: Any
    ) -> None:
        super().__init__(
            handler,
            request_factory=partial(_make_request, max_body_bytes=max_body_bytes),
            handler_cancellation=True,
        )
        self._connection_options = options

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=asyncio.get_running_loop(), **self._connection_options)

    @property
    def callers(self) -> list[CallerConnection]:
        """Return the connections."""
        return [c for c in self.connections if isinstance(c, CallerConnection)]

    def count_unanswered(self) -> int:
        """Return the number of connections with a request that is not answered yet."""
        return sum(connection.is_unanswered for connection in self.callers)

    def close_kept(self) -> None:
        """Close the connections that only wait for another request."""
        for connection in self.callers:
            if connection.is_kept:
                connection.close_when_sent()

    async def close_answered(self, *, until_seconds: float) -> int:
        """Close each connection once its requests are answered, and all at a time of the loop.

        Return the number of requests that were not answered by then. New connections must no
        longer be accepted.
        """
        # Connections that were just accepted get their protocol in one of the next turns.
        await asyncio.sleep(CLOSE_POLL_SECONDS)
        await _wait_until(self._are_all_answered, until_seconds=until_seconds)
        unanswered = self.count_unanswered()
        for connection in self.callers:
            connection.close_when_sent()
        # What callers have not received yet would be lost with the process.
        await _wait_until(self._are_all_closed, until_seconds=until_seconds)
        return unanswered

    def _are_all_answered(self) -> bool:
        self.close_kept()
        return not any(c.is_unanswered or c.expects_request for c in self.callers)

    def _are_all_closed(self) -> bool:
        return not any(connection.is_open for connection in self.callers)


async def _wait_until(condition: Callable[[], bool], *, until_seconds: float) -> None:
    loop = asyncio.get_running_loop()
    while not condition():
        if loop.time() >= until_seconds:
            return
        await asyncio.sleep(CLOSE_POLL_SECONDS)


def _make_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: web.RequestHandler,
    writer: AbstractStreamWriter,
    task: "asyncio.Task[None]",
    *,
    max_body_bytes: int,
) -> web.BaseRequest:
    if isinstance(protocol, CallerConnection):
        protocol.begin_request(payload)
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=max_body_bytes,
    )
