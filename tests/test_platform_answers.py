"""Test which answers of endpoints a platform router forwards, with scripted endpoints."""

import json
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web

from tests.platform_standins import raw_answer
from tests.platform_world import PlatformWorld

UNFRAMED_STREAM = (
    b"HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\nX-Attempt-Id: c-1\r\n"
    b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
)
"""The head and the first event of an answer without length or chunks."""


@pytest.fixture
async def world() -> AsyncIterator[PlatformWorld]:
    opened = PlatformWorld()
    await opened.start()
    yield opened
    await opened.stop()


class TestCompleteAnswers:
    """Guard against forwarding answers that are truncated or not the endpoint's own."""

    async def test_answer_is_forwarded_unchanged(self, world: PlatformWorld) -> None:
        status, body, headers = await world.call("/sale/x?a=%2f&b", data=b"contract")
        assert (status, body) == (200, b"done contract")
        assert headers["X-Engine-Stamp"].startswith("stamp-i-")
        request, _ = next(r for e in world.engines for r in e.requests)
        assert request.raw_path == "/sale/x?a=%2f&b"

    async def test_unframed_answer_that_is_reset_is_incomplete(self, world: PlatformWorld) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            head = "HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\nX-Attempt-Id: c-1\r\n\r\npart"
            return await raw_answer(request, head.encode(), reset=True)

        for engine in world.engines:
            engine.respond = respond
        status, _, headers = await world.call("/sale/x")
        assert status == 502
        assert "X-Engine-Stamp" not in headers

    @pytest.mark.parametrize(
        ("status", "headers"),
        [
            (200, {"X-Engine-Stamp": "s", "X-Attempt-Id": "another"}),
            (200, {"X-Attempt-Id": "c-1"}),
            (200, {"X-Engine-Stamp": "s", "X-Attempt-Id": "c-1", "Content-Encoding": "gzip"}),
        ],
        ids=["another call's", "without receipt", "encoded"],
    )
    async def test_answer_that_is_not_the_endpoints_own_is_not_forwarded(
        self, world: PlatformWorld, status: int, headers: dict[str, str]
    ) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            return web.Response(status=status, body=b"x", headers=headers)

        for engine in world.engines:
            engine.respond = respond
        found, body, answered = await world.call("/sale/x")
        assert found == 502
        assert json.loads(body)["outcome"] == "unknown"
        assert "X-Engine-Stamp" not in answered

    async def test_endpoints_failure_is_forwarded_with_its_receipt_headers(
        self, world: PlatformWorld
    ) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            headers = {"X-Engine-Stamp": "s", "X-Attempt-Id": "c-1"}
            return web.Response(status=500, body=b"no", headers=headers)

        for engine in world.engines:
            engine.respond = respond
        status, body, headers = await world.call("/sale/x")
        assert (status, body, headers["X-Engine-Stamp"]) == (500, b"no", "s")


class TestStreams:
    """Guard against streams with missing, duplicate or merged events."""

    async def test_broken_stream_resumes_at_the_next_event(self, world: PlatformWorld) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            engine = next(e for e in world.engines if any(r is request for r, _ in e.requests))
            last = request.headers.get("Last-Event-Id")
            if last is None:
                return await engine.send_events(request, range(1, 4), complete=False)
            # The last event is repeated, as by an engine that resumes one event too early.
            return await engine.send_events(request, range(int(last), 6))

        for engine in world.engines:
            engine.respond = respond
        status, body, headers = await world.call("/text/x")
        assert status == 200
        assert body == b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 6))
        first = next(e for e in world.engines if "Last-Event-Id" not in e.requests[0][0].headers)
        assert headers["X-Engine-Stamp"] == f"stamp-{first.endpoint_id}"

    async def test_unframed_stream_ends_with_its_connection(self, world: PlatformWorld) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            return await raw_answer(request, UNFRAMED_STREAM + b"id: 2\ndata: b\n\n", reset=False)

        for engine in world.engines:
            engine.respond = respond
        status, body, _ = await world.call("/text/x")
        assert (status, body) == (200, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")

    async def test_unframed_stream_that_ends_inside_an_event_is_complete(
        self, world: PlatformWorld
    ) -> None:
        sent = []

        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse | None:
            sent.append(request.headers.get("Last-Event-Id"))
            if len(sent) == 1:
                return await raw_answer(request, UNFRAMED_STREAM + b"id: 2\nda", reset=False)
            return await world.engines[0].send_events(request, range(2, 4))

        for engine in world.engines:
            engine.respond = respond
        status, body, _ = await world.call("/text/x")
        assert status == 200
        assert body == b"id: 1\ndata: a\n\n" + b"".join(
            b"id: %d\ndata: event %d\n\n" % (n, n) for n in (2, 3)
        )
        assert sent == [None, "1"]

    async def test_stream_that_cannot_resume_ends_with_an_error(self, world: PlatformWorld) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            engine = next(e for e in world.engines if any(r is request for r, _ in e.requests))
            last = int(request.headers.get("Last-Event-Id", "0"))
            return await engine.send_events(request, range(last + 1, last + 3), complete=False)

        for engine in world.engines:
            engine.respond = respond
        with pytest.raises(aiohttp.ClientPayloadError):
            await world.call("/text/x")
        assert sum(len(e.requests) for e in world.engines) == 2
