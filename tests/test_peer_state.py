"""Test how processes encode shared state for each other."""

import zlib
from typing import Any

import msgspec
import pytest

from egretrouter.backends import StateKind
from egretrouter.core.direct import RoutingTable, StoreRevision
from egretrouter.core.errors import MalformedAnswerError
from egretrouter.direct._peer_state import SharedState, StateReplies, decode_reply
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.transport import _deflate
from tests.shared_state_world import build_table

LINK_BYTES_PER_SECOND = 3.8e6 / 8
"""The narrowest link of an instance."""


class Source:
    """Export a configuration and count how often."""

    def __init__(self, table: RoutingTable) -> None:
        self.table = table

    def export_state(self, kinds: set[StateKind]) -> SharedState:
        return SharedState(configuration=self.table)


def request(*, accepts_deflate: bool) -> pb.StateRequest:
    return pb.StateRequest(kinds=["configuration"], accepts_deflate=accepts_deflate)


class TestStateReplies:
    """Guard against replies that a peer cannot read, or that fill its link."""

    @pytest.mark.parametrize("accepts_deflate", [True, False])
    def test_reply_is_in_the_encoding_that_the_peer_accepts(self, accepts_deflate: bool) -> None:
        source = Source(build_table(7, routes=50))
        reply = StateReplies(source).build(request(accepts_deflate=accepts_deflate))
        assert reply.deflated is accepts_deflate
        assert decode_reply(reply).configuration == source.table

    def test_large_configuration_passes_a_narrow_link_in_a_fraction_of_a_second(self) -> None:
        replies = StateReplies(Source(build_table(7, routes=1650)))
        size = replies.build(request(accepts_deflate=True)).ByteSize()
        assert size / LINK_BYTES_PER_SECOND < 0.1

    def test_kept_reply_is_replaced_with_the_configuration(self) -> None:
        source = Source(build_table(7, routes=5))
        replies = StateReplies(source)
        first = decode_reply(replies.build(request(accepts_deflate=True)))
        assert first.configuration == source.table
        source.table = build_table(8, routes=6)
        second = decode_reply(replies.build(request(accepts_deflate=True)))
        assert second.configuration == source.table

    @pytest.mark.parametrize(
        "state",
        [
            b"not compressed",
            zlib.compress(msgspec.msgpack.encode(SharedState()))[:-1],
            zlib.compress(b"not a state"),
            zlib.compress(bytes(2000)),
        ],
    )
    def test_malformed_reply_is_an_error(
        self, state: bytes, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_deflate, "MESSAGE_LIMIT_BYTES", 1000)
        with pytest.raises(MalformedAnswerError):
            decode_reply(pb.StateReply(state=state, deflated=True))


def endpoint(name: str, **changes: Any) -> dict[str, Any]:
    return {
        "endpoint_id": name,
        "service": "plain",
        "address": "127.0.0.1:7001",
        "zone": "z1",
        "state": "ready",
        "slots": 4,
        **changes,
    }


ODD_ENDPOINTS: list[Any] = [
    7,
    None,
    [],
    {},
    endpoint("i-odd", slots="4"),
    endpoint("i-odd", slots=-1),
    endpoint("i-odd", slots=2**64 - 1),
    endpoint("i-odd", address="127.0.0.1:70000"),
    endpoint("i-odd", address="engine.example:80"),
    endpoint("i-odd", state="sleeping"),
    endpoint("i-odd", cold_seconds=float("nan")),
    endpoint("i-odd", cold_seconds=float("inf")),
    endpoint("i-odd", weights=[{"model": "m", "version": 2**64 - 1}]),
    endpoint("i-odd", zone=msgspec.Raw(b"\xa2\xff\xfe")),
]


class TestOddItems:
    """Guard against one odd item of a peer's reply that costs the rest of the reply."""

    @pytest.mark.parametrize("odd", ODD_ENDPOINTS, ids=range(len(ODD_ENDPOINTS)))
    def test_odd_endpoint_leaves_the_others(self, odd: Any) -> None:
        state = {
            "endpoints": [endpoint("i-1"), odd, endpoint("i-2")],
            "endpoints_revision": [0, 7],
            "a field of a later version": [1],
        }
        decoded = decode_reply(pb.StateReply(state=msgspec.msgpack.encode(state)))
        assert [e.endpoint_id for e in decoded.endpoints or ()] == ["i-1", "i-2"]
        assert decoded.endpoints_revision == StoreRevision(0, 7)

    @pytest.mark.parametrize("version", [-1, 2**64 - 1, "2", 1.5, None])
    def test_odd_version_leaves_the_others(self, version: Any) -> None:
        targets = [{"model": m, "version": v} for m, v in (("a", 1), ("b", version), ("c", 3))]
        state = msgspec.msgpack.encode({"weights": targets, "weights_revision": 7})
        decoded = decode_reply(pb.StateReply(state=state))
        assert [(t.model, t.version) for t in decoded.weights or ()] == [("a", 1), ("c", 3)]

    @pytest.mark.parametrize("levels", [2_000, 100_000])
    @pytest.mark.parametrize("field", ["endpoints", "nobody-reads"])
    def test_reply_that_is_nested_deeply_is_an_error(self, levels: int, field: str) -> None:
        nested = msgspec.Raw(b"\x91" * levels + b"\x01")
        state = msgspec.msgpack.encode({field: nested})
        with pytest.raises(MalformedAnswerError):
            decode_reply(pb.StateReply(state=state))
