"""Define the datagrams that processes send each other."""

from collections.abc import Callable, Iterable, Iterator
from functools import singledispatch
from typing import TypeVar

import msgspec

from egretrouter.core.addresses import check_address, check_host
from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.direct import (
    Greeting,
    LeavingNews,
    LimitNews,
    LoadReport,
    PartNews,
    check_leaving_news,
    check_limit_news,
    check_load,
    check_member,
    check_part_news,
    check_revisions,
)
from egretrouter.core.errors import ValidationError
from egretrouter.direct._logs import log_event


class LoadNote(msgspec.Struct, frozen=True, kw_only=True, tag="load", array_like=True):
    """Carry an agent's load report of its engine to routers."""

    address: str
    report: LoadReport
    relay: bool = False
    """Whether the receiver forwards the note within its zone."""


class LoadsNote(msgspec.Struct, frozen=True, kw_only=True, tag="loads", array_like=True):
    """Carry load reports of several engines of other zones, which a router passes on."""

    loads: tuple[LoadNote, ...]


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


Note = LoadNote | LoadsNote | GreetingNote | NewsNote
encode_note = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Note).decode
_Item = TypeVar("_Item")


class NoteMalformedError(ValidationError):
    """A datagram is not a note that this process can act on."""


def decode_note(content: bytes) -> Note:
    """Decode a datagram, without the items about third parties that have an impossible value.

    Raises NoteMalformedError.
    """
    try:
        return _check(_decode(content))
    except (*DECODE_ERRORS, ValidationError) as error:
        raise NoteMalformedError(f"datagram of {len(content)} bytes: {error}") from error


@singledispatch
def _check(note: Note) -> Note:
    raise TypeError(f"unexpected note {note!r}")


@_check.register
def _check_load_note(note: LoadNote) -> LoadNote:
    check_address(note.address)
    check_load(note.report)
    return note


@_check.register
def _check_loads_note(note: LoadsNote) -> Note:
    return LoadsNote(loads=tuple(_keep_valid(note.loads, _check_load_note)))


@_check.register
def _check_greeting_note(note: GreetingNote) -> Note:
    check_member(note.greeting.sender)
    check_revisions(note.greeting.revisions)
    others = tuple(_keep_valid(note.greeting.others, check_member))
    return GreetingNote(greeting=msgspec.structs.replace(note.greeting, others=others))


@_check.register
def _check_news_note(note: NewsNote) -> Note:
    check_host(note.sender_address)
    return msgspec.structs.replace(
        note,
        parts=tuple(_keep_valid(note.parts, check_part_news)),
        limits=tuple(_keep_valid(note.limits, check_limit_news)),
        leaving=tuple(_keep_valid(note.leaving, check_leaving_news)),
    )


def _keep_valid(items: Iterable[_Item], check: Callable[[_Item], _Item]) -> Iterator[_Item]:
    for item in items:
        try:
            yield check(item)
        except (*DECODE_ERRORS, ValidationError) as error:
            log_event("fleet:item_malformed", error=str(error))
