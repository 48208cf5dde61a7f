"""Open HTTP connections that detect an unresponsive peer."""

import socket
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


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setblocking(False)
    enable_keepalive(sock)
    return sock


def open_session(*, reuse_connections: bool, connect_seconds: float) -> aiohttp.ClientSession:
    """Open an HTTP client that adds no headers, cookies or decompression of its own."""
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not reuse_connections,
        use_dns_cache=False,
        socket_factory=_open_socket,
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
