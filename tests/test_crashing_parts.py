"""Test calls with a part in their prompts that crashes every engine that runs them."""

import asyncio
from collections.abc import AsyncIterator, Sequence

import pytest
from aiohttp import web

from egretrouter.core.direct._quarantine import HOLD_CRASHES
from tests.helpers import wait_until
from tests.platform_fleet import PlatformFleet

CRASHING, SHARED, OTHER = "bad0", "c0de", "fee1"
FIRST_PARTS = [f"{number:04x}" for number in range(5)]
MAX_CRASHES = 5
"""After this many crashes the users allow calls with the part only for seconds more."""


@pytest.fixture
async def fleet() -> AsyncIterator[PlatformFleet]:
    opened = PlatformFleet()
    await opened.start()
    opened.let_part_crash(CRASHING)
    yield opened
    await opened.stop()


async def spread_crashing_calls(fleet: PlatformFleet, *, first_parts: Sequence[str]) -> None:
    """Send a call with the crashing part for each first part, and a sound one after it."""
    for number, first in enumerate(first_parts):
        await fleet.call(number % 3, parts=[first, CRASHING])
        await fleet.call(number % 3, parts=[OTHER])
        await fleet.wait_until_recovered()


class TestCrashingPart:
    """Guard against calls that crash engine after engine."""

    async def test_part_crashes_engine_after_engine(self, fleet: PlatformFleet) -> None:
        await spread_crashing_calls(fleet, first_parts=[SHARED] * 9)
        assert fleet.crashed <= MAX_CRASHES

    async def test_held_part_is_refused_at_once_as_not_run(self, fleet: PlatformFleet) -> None:
        await spread_crashing_calls(fleet, first_parts=FIRST_PARTS)
        before = fleet.requests()
        answers = [await fleet.call(number, parts=[CRASHING]) for number in range(3)]
        assert [answer.status for answer in answers] == [503] * 3
        assert all(b'"not_run"' in answer.content for answer in answers)
        assert fleet.requests() == before

    async def test_rejected_call_counts_as_an_answer(self, fleet: PlatformFleet) -> None:
        async def reject(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            return web.Response(status=400, headers=fleet.engines[0].receipt_headers(request))

        await spread_crashing_calls(fleet, first_parts=FIRST_PARTS[:1])
        for engine in fleet.engines:
            engine.respond = reject
        answer = await fleet.call(0, parts=[CRASHING])
        assert answer.status == 400
        for engine in fleet.engines:
            engine.respond = None
        await spread_crashing_calls(fleet, first_parts=FIRST_PARTS[1:])
        assert fleet.crashed <= HOLD_CRASHES

    async def test_calls_with_the_other_parts_are_refused(self, fleet: PlatformFleet) -> None:
        await spread_crashing_calls(fleet, first_parts=[SHARED] * 5)
        answers = [await fleet.call(number, parts=[SHARED]) for number in range(3)]
        assert [answer.status for answer in answers] == [200] * 3

    async def test_sound_parts_are_held_after_a_mass_crash(self, fleet: PlatformFleet) -> None:
        fleet.let_part_crash("")

        async def stay_silent(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            await asyncio.sleep(30)
            return web.Response()

        for _ in range(2):
            engines = fleet.engines[:4]
            for engine in engines:
                engine.respond = stay_silent
            calls = [
                asyncio.create_task(fleet.call(number % 3, parts=[SHARED, FIRST_PARTS[number % 2]]))
                for number in range(12)
            ]
            await wait_until(lambda: sum(len(e.requests) for e in engines) >= 4)  # noqa: B023
            for engine in engines:
                engine.crash()
            await asyncio.gather(*calls)
            await fleet.wait_until_recovered()
        for number in range(3):
            for first in FIRST_PARTS[:2]:
                answer = await fleet.call(number, parts=[SHARED, first])
                assert answer.status == 200

    async def test_started_router_sends_calls_with_a_held_part(self, fleet: PlatformFleet) -> None:
        await spread_crashing_calls(fleet, first_parts=FIRST_PARTS)
        crashed = fleet.crashed
        await fleet.start_router()
        await fleet.call(3, parts=[OTHER])
        answer = await fleet.call(3, parts=[CRASHING])
        assert answer.status == 503
        assert fleet.crashed == crashed
