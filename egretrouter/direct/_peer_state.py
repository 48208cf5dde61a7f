"""Encode the shared state for peers, and fetch it from them."""

import time
from collections.abc import Callable
from typing import Any, Protocol, TypeVar

import grpc
import msgspec

from egretrouter.backends import StateKind
from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.direct import (
    Endpoint,
    Evacuation,
    FleetMember,
    NamedVersion,
    RoutingTable,
    StoreRevision,
    check_endpoint,
    check_evacuation,
    check_named_version,
)
from egretrouter.core.errors import MalformedAnswerError, ValidationError
from egretrouter.direct._logs import log_event
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport import ChannelPool, DeflatedContents, deflate, inflate

PEER_TIMEOUT_SECONDS = 1.5

_Item = TypeVar("_Item")
_ITEM_TYPES: dict[str, type[Any]] = {
    "endpoints": Endpoint,
    "weights": NamedVersion,
    "evacuations": Evacuation,
}


class SharedState(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Represent the shared state that one process sends to another."""

    configuration: RoutingTable | None = None
    endpoints: tuple[Endpoint, ...] | None = None
    endpoints_revision: StoreRevision = StoreRevision()
    endpoints_grace_seconds: float | None = None
    """For how long missing endpoints may still register again; None outside of such a time."""
    weights: tuple[NamedVersion, ...] | None = None
    evacuations: tuple[Evacuation, ...] | None = None
    evacuations_revision: StoreRevision = StoreRevision()


class StateSource(Protocol):
    """Define what a process exports of its shared state."""

    def export_state(self, kinds: set[StateKind]) -> SharedState:
        """Return the given kinds of the state."""


class StateReplies:
    """Build replies to peers."""

    def __init__(self, source: StateSource) -> None:
        self._source = source
        self._configurations = DeflatedContents(max_contents=1)

    def build(self, request: pb.StateRequest) -> pb.StateReply:
        """Build a reply with the requested kinds, compressed if the peer accepts that."""
        state = self._source.export_state({k for k in StateKind if k.value in request.kinds})

        def encode() -> bytes:
            return msgspec.msgpack.encode(state)

        if not request.accepts_deflate:
            return pb.StateReply(state=encode())
        table = state.configuration
        if table is not None and state == SharedState(configuration=table):
            # A version has one content, and many peers ask for a new one within a second.
            data = self._configurations.get(table.version, encode)
        else:
            data = deflate(encode())
        return pb.StateReply(state=data, deflated=True)


def decode_reply(reply: pb.StateReply) -> SharedState:
    """Decode a peer's reply, without the items that have an impossible value.

    Raises MalformedAnswerError.
    """
    data = inflate(reply.state) if reply.deflated else reply.state
    try:
        state = _decode_state(data)
    except DECODE_ERRORS as error:
        raise MalformedAnswerError(f"shared state of a peer: {error}") from error
    return msgspec.structs.replace(
        state,
        endpoints=_keep_valid(state.endpoints, check_endpoint),
        weights=_keep_valid(state.weights, check_named_version),
        evacuations=_keep_valid(state.evacuations, check_evacuation),
    )


def _decode_state(data: bytes) -> SharedState:
    try:
        return msgspec.msgpack.decode(data, type=SharedState)
    except DECODE_ERRORS:
        fields: dict[str, Any] = msgspec.msgpack.decode(data, type=dict[str, msgspec.Raw])
        for name, item_type in _ITEM_TYPES.items():
            if name in fields:
                fields[name] = _keep_decodable(fields[name], item_type)
        return msgspec.msgpack.decode(msgspec.msgpack.encode(fields), type=SharedState)


def _keep_decodable(content: msgspec.Raw, item_type: type[Any]) -> list[msgspec.Raw]:
    kept = []
    for item in msgspec.msgpack.decode(content, type=list[msgspec.Raw]):
        try:
            msgspec.msgpack.decode(item, type=item_type)
        except DECODE_ERRORS as error:
            log_event("state:peer_item_malformed", error=str(error))
        else:
            kept.append(item)
    return kept


def _keep_valid(
    items: tuple[_Item, ...] | None, check: Callable[[_Item], _Item]
) -> tuple[_Item, ...] | None:
    if items is None:
        return None
    kept = []
    for item in items:
        try:
            kept.append(check(item))
        except ValidationError as error:
            log_event("state:peer_item_malformed", error=str(error))
    return tuple(kept)


class PeerStateClient:
    """Fetch shared state from peers."""

    def __init__(self, channels: ChannelPool, *, peer_port: int) -> None:
        self._channels = channels
        self._peer_port = peer_port

    async def fetch(self, kind: StateKind, peer: FleetMember) -> SharedState | None:
        """Return one kind of a peer's state, or None if the peer does not provide it."""
        address = f"{peer.address}:{self._peer_port}"
        stub = pb_grpc.PeersStub(self._channels.channel(address))
        started = time.monotonic()
        try:
            reply = await stub.FetchState(
                pb.StateRequest(kinds=[kind.value], accepts_deflate=True),
                metadata=self._channels.metadata,
                timeout=PEER_TIMEOUT_SECONDS,
            )
            state = decode_reply(reply)
        except grpc.aio.AioRpcError as error:
            log_event(
                "state:peer_silent",
                peer=peer.instance_id,
                kind=kind.value,
                code=error.code().name,
                seconds=round(time.monotonic() - started, 3),
            )
            await self._channels.discard(address)
            return None
        except MalformedAnswerError as error:
            log_event("state:peer_malformed", peer=peer.instance_id, error=str(error))
            return None
        log_event(
            "state:fetched",
            peer=peer.instance_id,
            kind=kind.value,
            state_bytes=len(reply.state),
            seconds=round(time.monotonic() - started, 3),
        )
        return state
