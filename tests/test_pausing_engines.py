"""Test that engines which ask a router for a pause get one, up to their sockets."""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from tests.notice_fleet import AnswerKind, NoticeFleet
from tests.platform_fleet import Answer

ALLOWED_IN_A_PAUSE = 2
CALL_INTERVAL_SECONDS = 0.015


@pytest.fixture
async def fleet() -> AsyncIterator[NoticeFleet]:
    opened = NoticeFleet()
    await opened.start_notice(engines=3)
    yield opened
    await opened.stop()


async def call_for(fleet: NoticeFleet, seconds: float, *, path: str = "/read/x") -> list[Answer]:
    """Make calls through all routers in turn for some time and return their answers."""
    tasks = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        router = len(tasks) % len(fleet.routers)
        tasks.append(asyncio.create_task(fleet.make_call(router, path=path)))
        await asyncio.sleep(CALL_INTERVAL_SECONDS)
    return await asyncio.gather(*tasks)


class TestPause:
    """Guard against engines that get calls although they asked for none."""

    @pytest.mark.parametrize("seconds", [0.7, 2.0, 30.0])
    @pytest.mark.parametrize("path", ["/read/x", "/text/x"])
    async def test_engine_gets_calls_in_its_pause(
        self, fleet: NoticeFleet, seconds: float, path: str
    ) -> None:
        pausing = fleet.notice_engines[0]
        await call_for(fleet, 0.3, path=path)
        pausing.refuse(seconds)
        answers = await call_for(fleet, 3.0, path=path)
        assert {answer.status for answer in answers} == {200}
        assert pausing.most_in_a_pause() <= ALLOWED_IN_A_PAUSE

    @pytest.mark.parametrize("seconds", [0.0, 0.2])
    async def test_engine_is_left_alone_after_a_short_pause(
        self, fleet: NoticeFleet, seconds: float
    ) -> None:
        pausing = fleet.notice_engines[0]
        pausing.refuse(seconds)
        await call_for(fleet, 0.3)
        pausing.serve()
        before = len(pausing.arrivals)
        await call_for(fleet, 1.5)
        assert len(pausing.arrivals) - before > 10

    async def test_calls_come_all_at_once_after_a_pause(self, fleet: NoticeFleet) -> None:
        pausing = fleet.notice_engines[0]
        pausing.refuse(1.0)
        await call_for(fleet, 0.2)
        pausing.serve()
        before = len(pausing.arrivals)
        await call_for(fleet, 2.0)
        arrived = pausing.arrived_seconds[before:]
        assert arrived
        for router in {arrival.router for arrival in pausing.arrivals}:
            own = [a.at_seconds for a in pausing.arrivals[before:] if a.router == router]
            assert sum(1 for at in own if at - own[0] < 0.09) <= 2

    async def test_other_routers_stay_away(self, fleet: NoticeFleet) -> None:
        """An engine asks each router by itself."""
        pausing = fleet.notice_engines[0]
        pausing.refuse(30.0)
        await fleet.call_until_reached(pausing)
        pausing.serve()
        await asyncio.sleep(1.0)
        while not [arrival for arrival in pausing.arrivals if arrival.router == "1"]:
            await fleet.make_call(1)
        assert len([arrival for arrival in pausing.arrivals if arrival.router == "0"]) == 1


class TestWholeService:
    """Guard against calls that are sent, or wait in vain, while all engines pause."""

    async def test_engines_are_asked_while_all_pause(self, fleet: NoticeFleet) -> None:
        for engine in fleet.notice_engines:
            engine.refuse(3.0)
        await call_for(fleet, 0.6)
        started = time.monotonic()
        answers = await call_for(fleet, 1.5)
        assert {answer.status for answer in answers} == {503}
        pause_end = max(max(e.arrived_seconds) + e.pause_seconds for e in fleet.notice_engines)
        first_end = min(min(e.arrived_seconds) + e.pause_seconds for e in fleet.notice_engines)
        for answer in answers:
            assert answer.retry_after_seconds is not None
            assert answer.retry_after_seconds > first_end - started - 1.6
            assert answer.retry_after_seconds < pause_end - started + 2.0
        for engine in fleet.notice_engines:
            assert engine.most_in_a_pause() <= ALLOWED_IN_A_PAUSE

    async def test_call_waits_although_all_engines_pause_for_longer(
        self, fleet: NoticeFleet
    ) -> None:
        await fleet.set_latency_target(milliseconds=4000)
        for engine in fleet.notice_engines:
            engine.refuse(30.0)
            await fleet.call_until_reached(engine)
        started = time.monotonic()
        answer = await fleet.make_call(0)
        assert answer.status == 503
        # A call may wait for half of its latency target.
        assert time.monotonic() - started < 1.0

    async def test_refusal_names_the_pause_of_one_engine(self, fleet: NoticeFleet) -> None:
        """Other engines take the calls at once."""
        fleet.notice_engines[0].refuse(30.0)
        answers = [await fleet.make_call(0, path="/sale/x") for _ in range(20)]
        refused = [answer for answer in answers if answer.status == 503]
        assert len(refused) <= 1
        assert all((answer.retry_after_seconds or 0.0) < 1.0 for answer in refused)


class TestMalformedValues:
    """Guard against values that end the use of an engine, or of the router."""

    @pytest.mark.parametrize(
        "value",
        ["soon", "", "-5", "nan", "inf", "1e9", "9" * 4000, "Sat, 05 Dec 2026 09:00:00 GMT", "1_0"],
    )
    async def test_value_that_is_no_time_keeps_calls_away(
        self, fleet: NoticeFleet, value: str
    ) -> None:
        pausing = fleet.notice_engines[0]
        pausing.refuse(0.0)
        pausing.headers = {"Retry-After": value}
        await fleet.call_until_reached(pausing)
        pausing.serve()
        await fleet.call_until_reached(pausing)

    @pytest.mark.parametrize("kind", [AnswerKind.SERVED, AnswerKind.FAILED])
    async def test_value_in_another_answer_keeps_calls_away(
        self, fleet: NoticeFleet, kind: AnswerKind
    ) -> None:
        pausing = fleet.notice_engines[0]
        pausing.kind, pausing.headers = kind, {"Retry-After": "30"}
        await fleet.call_until_reached(pausing)
        await fleet.call_until_reached(pausing)
