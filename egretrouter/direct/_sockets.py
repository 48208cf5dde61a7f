"""Open connections that notice a peer which fell silent."""

import functools
import socket
from typing import Any

import aiohttp
from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

# A partition drops packets without a reset, so silence is detected after about three seconds.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 3_000


def watch_peer(sock: socket.socket) -> None:
    """Let the kernel end a connection whose peer answers nothing."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setblocking(False)
    watch_peer(sock)
    return sock


class _StrictResponseHandler(ResponseHandler):
    """Report a reset connection as an error also for answers that end with their connection.

    aiohttp takes such an answer for whole, whatever ended the connection.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(payload, ClientPayloadError(f"connection lost: {exc}"), exc)
        super().connection_lost(exc)


def open_session(*, reuse_connections: bool, connect_seconds: float) -> aiohttp.ClientSession:
    """Open an HTTP client that passes on what it is given and changes nothing."""
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not reuse_connections,
        use_dns_cache=False,
        socket_factory=_open_socket,
        happy_eyeballs_delay=None,
    )
    connector._factory = functools.partial(  # type: ignore[assignment]
        _StrictResponseHandler, loop=connector._loop
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds),
        requote_redirect_url=False,
    )
