"""Open HTTP connections that detect an unresponsive peer."""

import socket
from functools import partial
from typing import Any

import aiohttp

from egretrouter.transport import check_answers

# A partition drops packets without a reset, so these detect it within about three seconds.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 3_000


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel close a connection whose peer does not acknowledge packets."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)


def _open_socket(address: Any, *, receive_buffer_bytes: int | None) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    if receive_buffer_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    return sock


def open_session(
    *, reuse_connections: bool, connect_seconds: float, receive_buffer_bytes: int | None = None
) -> aiohttp.ClientSession:
    """Open an HTTP client that adds no headers, cookies or decompression of its own.

    The receive buffer bounds what one read of a socket returns; without one the kernel decides.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not reuse_connections,
        use_dns_cache=False,
        socket_factory=partial(_open_socket, receive_buffer_bytes=receive_buffer_bytes),
        happy_eyeballs_delay=None,
    )
    check_answers(connector)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_seconds),
        requote_redirect_url=False,
    )
