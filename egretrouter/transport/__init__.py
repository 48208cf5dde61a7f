"""Provide gRPC between processes, and problem documents for callers."""

from egretrouter.transport._headers import HOP_BY_HOP_HEADERS
from egretrouter.transport._problems import problem_body, problem_response
from egretrouter.transport._rpc import MESSAGE_LIMIT_BYTES, ChannelPool, PeerSecurity, build_server

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "MESSAGE_LIMIT_BYTES",
    "ChannelPool",
    "PeerSecurity",
    "build_server",
    "problem_body",
    "problem_response",
]
