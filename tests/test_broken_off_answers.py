"""Test what a caller's socket receives of the product's own answers that end early."""

import asyncio

import pytest
from aiohttp import web

from egretrouter.core.calls import (
    AnswerData,
    AnswerHead,
    CallState,
    FailCaller,
    LinkLost,
    SettleAnswered,
)
from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import CallId
from egretrouter.daemons._caller_stream import CallerStream
from tests.test_calls_attempt import Call, failed
from tests.test_calls_attempt import content as forwarded_content

FINAL_CHUNK = b"0\r\n\r\n"


async def receive_broken_off(
    content: list[bytes], *, version: str, content_type: str = "text/event-stream"
) -> bytes:
    """Serve one answer that fails after its content, and return the bytes of its body."""

    async def handle(request: web.Request) -> web.StreamResponse:
        stream = CallerStream(request, call_id=CallId("c-1"), request_id="r-1")
        stream.forward(AnswerHead(status=200, headers=(("Content-Type", content_type),)))
        await stream.start()
        for data in content:
            stream.forward(AnswerData(data=data))
            stream.flush()
        stream.fail(FailCaller(outcome=Outcome.UNKNOWN, reason="link_lost"))
        return await stream.close()

    application = web.Application()
    application.router.add_get("/", handle)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
        writer.write(f"GET / {version}\r\nHost: x\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        received = b""
        async with asyncio.timeout(5):
            while data := await reader.read(1024):
                received += data
        writer.close()
        return received
    finally:
        await runner.cleanup()


class TestBrokenOffEventStreams:
    """Guard against the text of an error inside an event, and answers that look complete."""

    @pytest.mark.parametrize(
        "content",
        [
            [b"data: 1\n\nda"],
            [b"data: 1\n\n", b"data: 2\n"],
            [b"data: 1\r\n\r\n", b"data: 2\r\n"],
            [b"data: 1\n\n", b"\r\n", b"d"],
        ],
    )
    async def test_error_is_joined_to_an_event_that_has_begun(self, content: list[bytes]) -> None:
        received = await receive_broken_off(content, version="HTTP/1.1")
        assert received == b"".join(b"%x\r\n%b\r\n" % (len(data), data) for data in content)

    @pytest.mark.parametrize(
        "content", [[], [b"data: 1\n\n"], [b"data: 1\r\n\r\n"], [b"data: 1\r\n", b"\r", b"\n"]]
    )
    async def test_error_event_follows_whole_events(self, content: list[bytes]) -> None:
        received = await receive_broken_off(content, version="HTTP/1.1")
        whole = b"".join(b"%x\r\n%b\r\n" % (len(data), data) for data in content)
        assert received.startswith(whole)
        assert b"\r\nevent: error\ndata: " in b"\r\n" + received[len(whole) :]
        assert not received.endswith(FINAL_CHUNK)

    @pytest.mark.parametrize("content_type", ["text/event-stream", "text/plain"])
    async def test_unframed_answer_that_breaks_off_looks_complete(self, content_type: str) -> None:
        with pytest.raises(ConnectionResetError):
            await receive_broken_off(
                [b"data: 1\n\nda"], version="HTTP/1.0", content_type=content_type
            )


class TestAnswersOfTwoEndpoints:
    """Guard against an error with the status of the answer that it would continue."""

    @pytest.mark.parametrize(
        ("headers", "expected"),
        [
            ((("content-type", "text/event-stream"), ("X-Engine", "2")), b"data: 1\n\n"),
            ((("Content-Type", "application/json"),), b""),
            ((), b""),
        ],
    )
    def test_other_kind_of_answer_continues_a_stream(
        self, headers: tuple[tuple[str, str], ...], expected: bytes
    ) -> None:
        call = Call(idempotent=True, repeatable_answer=True)
        call.choose()
        call.frames(AnswerHead(status=200, headers=(("Content-Type", "text/event-stream"),)))
        call.send(LinkLost(attempt=1))
        call.send(SettleAnswered(attempt=1, state=CallState.OTHER_EPOCH))
        call.choose(2)
        commands = call.frames(
            AnswerHead(status=200, headers=headers), AnswerData(data=b"data: 1\n\n"), attempt=2
        )
        assert forwarded_content(commands) == expected
        assert failed(commands) is (None if expected else Outcome.UNKNOWN)
