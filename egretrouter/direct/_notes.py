"""Define the datagrams that processes send each other."""

import msgspec

from egretrouter.core.direct import Greeting, LeavingNews, LimitNews, LoadReport, PartNews


class LoadNote(msgspec.Struct, frozen=True, kw_only=True, tag="load", array_like=True):
    """Carry an agent's load report of its engine to routers."""

    address: str
    report: LoadReport
    relay: bool = False
    """Whether the receiver forwards the note within its zone."""


class GreetingNote(msgspec.Struct, frozen=True, kw_only=True, tag="greeting", array_like=True):
    """Wrap a greeting as a datagram."""

    greeting: Greeting


class NewsNote(msgspec.Struct, frozen=True, kw_only=True, tag="news", array_like=True):
    """Carry what calls have shown about endpoints."""

    sender_address: str
    parts: tuple[PartNews, ...] = ()
    limits: tuple[LimitNews, ...] = ()
    wants_all: bool = False
    """Whether the sender has just started and asks for all that the receiver knows."""
    completes_all: bool = False
    """Whether this is the last note of such an answer, from a process that has learned it all."""
    leaving: tuple[LeavingNews, ...] = ()


Note = LoadNote | GreetingNote | NewsNote
encode_note = msgspec.msgpack.Encoder().encode
decode_note = msgspec.msgpack.Decoder(Note).decode
