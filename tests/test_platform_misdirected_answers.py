"""Test answers of endpoints that belong to another call than the one they arrive for."""

import json
from collections.abc import AsyncIterator
from typing import Any

import pytest

from tests.platform_standins import configuration
from tests.raw_endpoint import RawAnswer, RawRequest
from tests.raw_world import RawWorld

OTHER_CALL = "X-Attempt-Id: another\r\n"
REFUSAL = "HTTP/1.1 {status} Refused\r\nX-Not-Run: 1\r\n{headers}Content-Length: 0\r\n\r\n"
LIMIT_AND_LOAD = "Server-Limit: 0.5\r\nX-Engine-Load: 400,0,400\r\n"
COMPLETE = (
    "HTTP/1.1 200 OK\r\nX-Engine-Stamp: s\r\nX-Attempt-Id: {call_id}\r\n"
    "Content-Length: 5\r\n\r\nwhole"
)
LONG_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: c-1\r\nX-Engine-Stamp: s\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 5\r\n\r\n"
)


def refusal(headers: str, *, status: int = 503) -> bytes:
    return REFUSAL.format(status=status, headers=headers).encode()


class MisdirectingWorld(RawWorld):
    """Run a router whose endpoints run each call and put another answer before its own."""

    def __init__(self) -> None:
        super().__init__()
        self.first_answer = b""
        self.times = 1000
        """How often the other answer comes first."""
        self.executed: list[str] = []

    async def start(self, *, engines: int = 2, **changes: Any) -> None:
        routes = [{**route, "attempts": 2} for route in configuration()["routes"]]
        await super().start(engines=engines, routes=routes, **changes)

    def respond(self, request: RawRequest) -> RawAnswer:
        self.executed.append(request.call_id)
        first = self.first_answer if self.times > 0 else b""
        self.times -= 1
        return RawAnswer(data=first + COMPLETE.format(call_id=request.call_id).encode())


@pytest.fixture
async def world() -> AsyncIterator[MisdirectingWorld]:
    opened = MisdirectingWorld()
    await opened.start()
    yield opened
    await opened.stop()


class TestMisdirectedRefusals:
    """Guard against refusals of another call that are believed for this one."""

    @pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
    async def test_refusal_of_another_call_does_not_refuse_or_repeat_a_call(
        self, world: MisdirectingWorld, status: int
    ) -> None:
        world.first_answer = refusal(OTHER_CALL, status=status)
        found, body, headers = await world.call("/sale/x")
        assert (found, json.loads(body)["outcome"]) == (502, "unknown")
        assert headers["X-Attempt-Id"] == "c-1"
        assert world.executed == ["c-1"]

    async def test_refusal_of_another_call_may_repeat_an_idempotent_call(
        self, world: MisdirectingWorld
    ) -> None:
        world.first_answer, world.times = refusal(OTHER_CALL), 1
        status, body, _ = await world.call("/read/x", method="GET")
        assert (status, body) == (200, b"whole")
        assert world.executed == ["c-1", "c-1"]

    async def test_idempotent_call_that_may_have_run_is_not_refused(
        self, world: MisdirectingWorld
    ) -> None:
        world.first_answer = refusal(OTHER_CALL)
        status, body, _ = await world.call("/read/x", method="GET")
        assert (status, json.loads(body)["outcome"]) == (502, "unknown")

    async def test_limit_and_load_of_another_calls_answer_are_not_used(
        self, world: MisdirectingWorld
    ) -> None:
        world.first_answer = refusal(OTHER_CALL + LIMIT_AND_LOAD)
        await world.call("/sale/x")
        assert not world.router.news.limits.snapshot()
        reports = [stats["report"] for stats in world.router.placement.snapshot().values()]
        assert reports == [None]

    @pytest.mark.parametrize("headers", ["", "X-Attempt-Id: c-1\r\n"], ids=["no id", "own id"])
    @pytest.mark.parametrize("status", [400, 429, 503])
    async def test_refusal_with_the_calls_own_id_or_none_is_believed(
        self, world: MisdirectingWorld, headers: str, status: int
    ) -> None:
        world.first_answer = refusal(headers + LIMIT_AND_LOAD, status=status)
        found, body, _ = await world.call("/sale/x")
        assert (found, json.loads(body)["outcome"]) == (503, "not_run")
        assert world.router.news.limits.snapshot()


class TestJoinedAnswers:
    """Guard against the beginning of an answer and another call's answer read as one."""

    @pytest.mark.parametrize(
        "other",
        [refusal(OTHER_CALL), refusal(""), COMPLETE.format(call_id="another").encode()],
        ids=["refusal", "refusal without id", "complete answer"],
    )
    async def test_head_that_is_continued_by_another_calls_head_is_believed(
        self, world: MisdirectingWorld, other: bytes
    ) -> None:
        misread = []
        for cut in range(1, len(LONG_HEAD)):
            world.first_answer = LONG_HEAD[:cut] + other
            status, body, _ = await world.call("/sale/x")
            if status != 502:
                misread.append((LONG_HEAD[:cut], status, body))
        assert misread == []
        assert len(world.executed) == len(LONG_HEAD) - 1
