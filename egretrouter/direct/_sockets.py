"""Open HTTP connections that detect an unresponsive peer."""

import functools
import socket
from typing import Any

import aiohttp
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

# A partition drops packets without a reset, so these detect it within about three seconds.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 3_000
MAX_FRAMING_BYTES = 256 * 1024
# A chunk of one byte comes with five bytes of framing.
MAX_FRAMING_RATIO = 16


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel close a connection whose peer does not acknowledge packets."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


class _StrictResponseHandler(ResponseHandler):
    """Report a lost connection as an error for answers that end when the connection closes.

    aiohttp treats such an answer as complete, no matter how the connection was closed.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(payload, ClientPayloadError(f"connection lost: {exc}"), exc)
        super().connection_lost(exc)


class _SingleResponseHandler(_StrictResponseHandler):
    """Close the connection of an answer that consists of little but framing.

    aiohttp bounds the lines of a head, but neither interim answers nor the extension of a chunk.
    """

    _received_bytes = 0

    def data_received(self, data: bytes) -> None:
        self._received_bytes += len(data)
        super().data_received(data)
        content_bytes = self._payload.total_bytes if self._payload is not None else 0
        if self._received_bytes <= MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * content_bytes:
            return
        error = ClientPayloadError(
            f"{self._received_bytes} bytes hold {content_bytes} bytes of content"
        )
        self.set_exception(error)
        if self._payload is not None:
            set_exception(self._payload, error)
        if self.transport is not None:
            self.transport.abort()


def open_session(*, reuse_connections: bool, connect_seconds: float) -> aiohttp.ClientSession:
    """Open an HTTP client that adds no headers, cookies or decompression of its own."""
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not reuse_connections,
        use_dns_cache=False,
        socket_factory=_open_socket,
        happy_eyeballs_delay=None,
    )
    handler = _StrictResponseHandler if reuse_connections else _SingleResponseHandler
    connector._factory = functools.partial(handler, loop=connector._loop)  # type: ignore[assignment]
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds),
        requote_redirect_url=False,
    )
