"""Test that engines which say that they leave get no new calls, up to their sockets."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from tests.helpers import wait_until
from tests.notice_fleet import EVENTS, AnswerKind, NoticeEngine, NoticeFleet

SPREAD_SECONDS = 1.0
"""Routers that did not get the answer themselves learn of it within this time."""
CALL_INTERVAL_SECONDS = 0.02


@pytest.fixture
async def fleet() -> AsyncIterator[NoticeFleet]:
    opened = NoticeFleet()
    await opened.start_notice()
    yield opened
    await opened.stop()


async def call_all(fleet: NoticeFleet, calls: int, *, path: str = "/read/x") -> list[int]:
    """Make calls through all routers in turn and return their statuses."""
    tasks = []
    for number in range(calls):
        router = number % len(fleet.routers)
        tasks.append(asyncio.create_task(fleet.make_call(router, path=path)))
        await asyncio.sleep(CALL_INTERVAL_SECONDS)
    return [answer.status for answer in await asyncio.gather(*tasks)]


async def check_unused(fleet: NoticeFleet, engine: NoticeEngine) -> None:
    """Check that an engine gets no more calls from any router, and that others serve them."""
    await asyncio.sleep(SPREAD_SECONDS)
    before = len(engine.arrived_seconds)
    assert set(await call_all(fleet, 30)) == {200}
    assert set(await call_all(fleet, 15, path="/text/x")) == {200}
    assert len(engine.arrived_seconds) == before


class TestAnswers:
    """Guard against kinds of answers in which a router does not read that the engine leaves."""

    @pytest.mark.parametrize("kind", AnswerKind)
    @pytest.mark.parametrize("path", ["/read/x", "/text/x"])
    async def test_engine_that_said_it_leaves_gets_calls(
        self, fleet: NoticeFleet, kind: AnswerKind, path: str
    ) -> None:
        engine = fleet.notice_engines[0]
        engine.kind = kind
        engine.leave()
        await fleet.call_until_reached(engine, path=path)
        # The router that got the answer knows it at once.
        before = len(engine.arrived_seconds)
        for _ in range(10):
            await fleet.make_call(0, path=path)
        assert len(engine.arrived_seconds) == before
        await check_unused(fleet, engine)

    async def test_only_one_means_that_an_engine_leaves(self, fleet: NoticeFleet) -> None:
        engine = fleet.notice_engines[0]
        engine.headers = {"Server-Leaving": "0"}
        await fleet.call_until_reached(engine)
        await fleet.call_until_reached(engine)

    async def test_burst_goes_on_at_an_engine_that_leaves(self, fleet: NoticeFleet) -> None:
        engine = fleet.notice_engines[0]
        burst = asyncio.create_task(call_all(fleet, 150))
        await asyncio.sleep(0.5)
        engine.leave()
        left = asyncio.get_running_loop().time()
        assert set(await burst) == {200}
        assert engine.arrivals_between(left + SPREAD_SECONDS, left + 60.0) == 0

    async def test_stream_ends_when_its_engine_says_that_it_leaves(
        self, fleet: NoticeFleet
    ) -> None:
        engine = fleet.notice_engines[0]
        engine.leave()
        answers = [await fleet.make_call(0, path="/text/x") for _ in range(10)]
        assert {answer.content for answer in answers} == {EVENTS}
        assert len(engine.arrived_seconds) == 1

    async def test_agents_report_does_not_keep_calls_away(self, fleet: NoticeFleet) -> None:
        engine = fleet.notice_engines[0]
        fleet.report(engine, leaving=True)
        await check_unused(fleet, engine)


class TestOtherSources:
    """Guard against a store or a peer that takes back what an engine said."""

    async def test_other_routers_learn_of_it_only_from_the_store(self, fleet: NoticeFleet) -> None:
        engine = fleet.notice_engines[0]
        fleet.store.error_status = 503
        engine.leave()
        await fleet.call_until_reached(engine)
        await check_unused(fleet, engine)

    async def test_later_registration_as_ready_brings_calls_back(self, fleet: NoticeFleet) -> None:
        engine = fleet.notice_engines[0]
        engine.leave()
        await fleet.call_until_reached(engine)
        for slots in range(100, 104):
            fleet.list_engine(engine, slots=slots)
        await check_unused(fleet, engine)

    async def test_older_state_of_the_store_brings_calls_back(self, fleet: NoticeFleet) -> None:
        engine = fleet.notice_engines[0]
        fleet.list_engine(engine, state="draining")
        await asyncio.sleep(SPREAD_SECONDS)
        fleet.list_engine(engine)
        await check_unused(fleet, engine)

    async def test_engine_that_started_again_under_its_id_gets_no_calls(
        self, fleet: NoticeFleet
    ) -> None:
        engine = fleet.notice_engines[0]
        engine.leave()
        await fleet.call_until_reached(engine)
        engine.headers = {}
        fleet.list_engine(engine, born=2)
        await fleet.call_until_reached(engine)

    async def test_router_that_starts_later_calls_the_engine(self, fleet: NoticeFleet) -> None:
        engine = fleet.notice_engines[0]
        engine.leave()
        await fleet.call_until_reached(engine)
        await fleet.start_router()
        before = len(engine.arrived_seconds)
        for _ in range(20):
            await fleet.make_call(len(fleet.routers) - 1)
        assert len(engine.arrived_seconds) == before


class TestAddresses:
    """Guard against what an engine said being held against another one at its address."""

    async def test_next_engine_at_the_address_gets_no_calls(self, fleet: NoticeFleet) -> None:
        engine = fleet.notice_engines[0]
        engine.leave()
        await fleet.call_until_reached(engine)
        engine.stop()
        fleet.store.delete("servers", engine.endpoint_id)
        successor = await fleet.add_notice_engine("i-next", port=engine.port)
        await fleet.call_until_reached(successor)

    async def test_engine_that_is_listed_after_it_said_so_gets_calls(
        self, fleet: NoticeFleet
    ) -> None:
        """A call meant for the engine that had the address before got 421."""
        former = fleet.notice_engines[0]
        former.stop()
        engine = NoticeEngine("i-next")
        engine.leave()
        await engine.start(former.port)
        fleet.notice_engines.append(engine)
        await fleet.call_until_reached(engine)
        fleet.list_engine(engine)
        await wait_until(lambda: "i-next" in fleet._known(fleet.routers[0]))
        before = len(engine.arrived_seconds)
        for _ in range(20):
            await fleet.make_call(0)
        assert len(engine.arrived_seconds) == before


class TestWholeService:
    """Guard against calls that wait or fail in vain because all engines leave."""

    async def test_engines_are_asked_again_when_all_leave(self, fleet: NoticeFleet) -> None:
        for engine in fleet.notice_engines:
            engine.leave()
            await fleet.call_until_reached(engine)
        await asyncio.sleep(SPREAD_SECONDS)
        before = [len(engine.arrived_seconds) for engine in fleet.notice_engines]
        answers = [await fleet.make_call(router) for router in (0, 1, 2)]
        assert {answer.status for answer in answers} == {503}
        assert all((answer.retry_after_seconds or 0) > 0 for answer in answers)
        assert [len(engine.arrived_seconds) for engine in fleet.notice_engines] == before

    async def test_new_engine_gets_no_calls_after_all_have_left(self, fleet: NoticeFleet) -> None:
        for engine in fleet.notice_engines:
            engine.leave()
            await fleet.call_until_reached(engine)
        successor = await fleet.add_notice_engine("i-next")
        assert set(await call_all(fleet, 6)) == {200}
        assert successor.arrived_seconds
