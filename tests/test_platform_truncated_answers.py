"""Test what callers receive when an endpoint's answer ends anywhere."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest

from tests.answer_forms import Form, after_interim, in_chunks, until_close, with_length
from tests.framed_answers import FramedAnswer, read_framed
from tests.platform_standins import configuration
from tests.raw_endpoint import RawAnswer, RawRequest
from tests.raw_world import RawWorld

CONCURRENT_CALLS = 32
# Odd, because half of the repeated calls get a complete answer.
REPEATED_STEP = 3
TIMES = {"timeout_ms": 10_000, "target_latency_ms": 5_000}
"""Long enough that no call ends for lack of time, however busy the machine is."""
ID = "c-00000"
"""An id as long as those of all calls, so that the cuts of all answers are the same."""
RECEIPT = f"X-Engine-Stamp: s\r\nX-Attempt-Id: {ID}\r\n"
EVENTS = "Content-Type: text/event-stream\r\n"
NEXT_CALL = (
    b"GET /none/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: next\r\n"
    b"X-Api-Key: key-1\r\nConnection: close\r\n\r\n"
)
WHOLE = b"the whole answer of the endpoint"
STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"


FORMS = {
    "with a length": with_length(WHOLE, headers=RECEIPT),
    "with a long length": with_length(WHOLE * 4, headers=RECEIPT),
    "in chunks": in_chunks(WHOLE, headers=RECEIPT),
    "in chunks with a trailer": in_chunks(WHOLE, headers=RECEIPT, trailer=b"X-Trailer: x\r\n"),
    "until the connection closes": until_close(WHOLE, headers=RECEIPT),
    "of HTTP/1.0": until_close(WHOLE, version="1.0", headers=RECEIPT),
    "without content": Form(head=f"HTTP/1.1 204 No Content\r\n{RECEIPT}\r\n", status=204),
    "after an interim answer": after_interim(with_length(WHOLE, headers=RECEIPT)),
    "after an interim refusal": after_interim(
        with_length(WHOLE, headers=RECEIPT), RECEIPT + "X-Not-Run: 1\r\n"
    ),
    "of a failure": with_length(WHOLE, line="500 Internal Server Error", headers=RECEIPT),
    "of a refusal": msgspec.structs.replace(
        with_length(WHOLE, line="503 Full", headers=f"X-Not-Run: 1\r\nX-Attempt-Id: {ID}\r\n"),
        states_not_run=True,
    ),
}
STREAM_FORMS = {
    "with a length": with_length(STREAM, headers=RECEIPT + EVENTS),
    "in chunks": in_chunks(STREAM, headers=RECEIPT + EVENTS),
    "until the connection closes": until_close(STREAM, headers=RECEIPT + EVENTS),
    "after an interim answer": after_interim(in_chunks(STREAM, headers=RECEIPT + EVENTS)),
}


class Cut(msgspec.Struct, frozen=True, kw_only=True):
    """Tell where and how the answers to a call end."""

    form: Form
    at: int
    reset: bool

    def answer(self, call_id: str, *, send: int) -> RawAnswer:
        # Half of the calls that are sent again get a complete answer then.
        at = len(self.form.data) if send > 0 and self.at % 2 else self.at
        data = self.form.data.replace(ID.encode(), call_id.encode())[:at]
        return RawAnswer(data=data, reset=self.reset and at == self.at)

    def indistinct_contents(self, *, streams: bool) -> list[bytes]:
        """Return the content that looks complete because only the connection ends it."""
        sent = self.form.content[: max(0, self.at - len(self.form.head))]
        is_partial = streams and sent and not sent.endswith(b"\n\n")
        return [] if is_partial or self.at < len(self.form.head) else [sent]


class TruncatingWorld(RawWorld):
    """Run a router whose endpoints cut off their answers."""

    def __init__(self) -> None:
        super().__init__()
        self._cuts: dict[str, Cut] = {}
        self._sends: dict[str, int] = {}

    async def start(self, *, engines: int = 2, **changes: Any) -> None:
        routes = [{**route, **TIMES} for route in configuration()["routes"]]
        stream = next(route for route in routes if route["name"] == "text")
        routes.append({**stream, "name": "talk", "path_prefix": "/talk/", "resumable": False})
        await super().start(engines=engines, routes=routes, **changes)

    def respond(self, request: RawRequest) -> RawAnswer:
        send = self._sends.get(request.call_id, 0)
        self._sends[request.call_id] = send + 1
        return self._cuts[request.call_id].answer(request.call_id, send=send)

    async def find_misread(self, path: str, form: Form, *, step: int = 1) -> list[str]:
        """Return the cuts of an answer that a caller would misread, of every step-th byte."""
        cuts = [
            Cut(form=form, at=at, reset=reset)
            for at in range(len(form.data), -1, -step)
            for reset in (False, True)
        ]
        running = asyncio.Semaphore(CONCURRENT_CALLS)

        async def check(cut: Cut) -> str:
            async with running:
                found = await self.receive(path, f"c-{len(self._cuts):05}", cut)
            reason = describe_misread(cut, found, streams=path in ("/text/x", "/talk/x"))
            return f"cut at {cut.at}, reset {cut.reset}: {reason}" if reason else ""

        return [r for r in await asyncio.gather(*map(check, cuts)) if r]

    async def receive(self, path: str, call_id: str, cut: Cut) -> FramedAnswer | None:
        """Make a call and one to no route, and read until the router closes the connection."""
        self._cuts[call_id] = cut
        reader, writer = await asyncio.open_connection("127.0.0.1", self.router.callers_port)
        writer.write(
            f"POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {call_id}\r\n"
            "X-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n".encode()
            + NEXT_CALL
        )
        data = await reader.read(-1)
        writer.close()
        return read_framed(data)


def describe_misread(cut: Cut, found: FramedAnswer | None, *, streams: bool) -> str:
    """Return what the caller would misread in its answer, if anything."""
    form = cut.form
    if found is None:
        return "no answer at all"
    if found.is_whole and not is_answer_to_next_call(found.excess):
        return f"{found.excess!r} after the answer"
    if found.status in (502, 504):
        return "failed" if cut.at == len(form.data) and not cut.reset else ""
    if found.status == 503:
        stated = form.states_not_run and cut.at >= len(form.head)
        return "" if stated else "refused as not run"
    if found.status != form.status or b"X-Engine-Stamp: s" not in found.head:
        return f"status {found.status}: {found.head!r}"
    if not found.is_whole:
        begins = streams and form.content.startswith(found.body)
        return "" if begins else f"{found.body!r} and no more"
    whole = [form.content]
    if form.ends_with_connection and not cut.reset:
        whole += cut.indistinct_contents(streams=streams)
    return "" if found.body in whole else f"{found.body!r} as a whole"


def is_answer_to_next_call(data: bytes) -> bool:
    """Return whether the answer to the next call follows on the connection, and nothing else."""
    found = read_framed(data)
    return (
        found is not None
        and found.status == 404
        and b"X-Attempt-Id: next" in found.head
        and found.is_whole
        and not found.excess
    )


@pytest.fixture
async def world() -> AsyncIterator[TruncatingWorld]:
    opened = TruncatingWorld()
    await opened.start()
    yield opened
    await opened.stop()


class TestTruncatedAnswers:
    """Guard against truncated answers that reach callers as complete ones."""

    @pytest.mark.parametrize("form", FORMS)
    async def test_truncated_answer_looks_complete(self, world: TruncatingWorld, form: str) -> None:
        assert await world.find_misread("/sale/x", FORMS[form]) == []
        assert await world.find_misread("/read/x", FORMS[form], step=REPEATED_STEP) == []

    @pytest.mark.parametrize("form", STREAM_FORMS)
    async def test_truncated_stream_looks_complete(self, world: TruncatingWorld, form: str) -> None:
        assert await world.find_misread("/text/x", STREAM_FORMS[form], step=REPEATED_STEP) == []
        assert await world.find_misread("/talk/x", STREAM_FORMS[form]) == []
