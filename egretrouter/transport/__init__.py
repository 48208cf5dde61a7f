"""Provide gRPC between processes, and connections and problem documents for callers."""

from egretrouter.transport._answer_checks import check_answers
from egretrouter.transport._caller_connections import (
    CallerConnection,
    CallerServer,
    close_when_read,
    reset_if_unread,
)
from egretrouter.transport._deflate import DeflatedContents, deflate, inflate
from egretrouter.transport._expectations import answer_expectation
from egretrouter.transport._headers import HOP_BY_HOP_HEADERS
from egretrouter.transport._problems import problem_body, problem_response
from egretrouter.transport._rpc import ChannelPool, PeerSecurity, build_server

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "CallerConnection",
    "CallerServer",
    "ChannelPool",
    "DeflatedContents",
    "PeerSecurity",
    "answer_expectation",
    "build_server",
    "check_answers",
    "close_when_read",
    "deflate",
    "inflate",
    "problem_body",
    "problem_response",
    "reset_if_unread",
]
