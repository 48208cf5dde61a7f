"""Test what becomes of calls that a stopping router takes late in its grace period."""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from egretrouter.core.direct import LoadReport
from egretrouter.core.identifiers import EndpointId
from tests.late_grace_world import GRACE_SECONDS, SLOTS, LateGraceWorld, SentCall

SENT_SECONDS = [0.2, 0.6, 1.0, 1.4, 1.8, 2.2]
SLOW_PACE = 6.0
REPORT_SECONDS = 0.1
LATENCY_SECONDS = 0.4
# The router stops this long before its grace period ends.
STOP_MARGIN_SECONDS = 0.5


@pytest.fixture
async def world() -> AsyncIterator[LateGraceWorld]:
    opened = LateGraceWorld()
    await opened.start()
    yield opened
    await opened.stop()


def show(world: LateGraceWorld) -> None:
    for call in sorted(world.calls, key=lambda call: (call.path, call.sent_seconds)):
        end, status = call.received.end.value, call.received.status
        ran = "ran" if call.call_id in world.began else "not run"
        print(f"{call.path} {call.sent_seconds:.2f}-{call.ended_seconds:.2f} {end} {status} {ran}")


def of_route(world: LateGraceWorld, path: str) -> list[SentCall]:
    return [call for call in world.calls if call.path == path]


class TestSlowEngines:
    """Guard against calls that are cut at the stop since their engine grew slow."""

    async def test_call_that_may_run_only_once_is_cut_at_the_stop(
        self, world: LateGraceWorld
    ) -> None:
        for writer in world.writers:
            writer.pace = SLOW_PACE
        await world.stop_router(sent_seconds=SENT_SECONDS)
        show(world)
        once = of_route(world, "/once/x")
        assert len(once) == len(SENT_SECONDS)
        assert not [call for call in once if call.is_lost or call.received.status == 504]
        assert not [
            call
            for call in world.calls
            if call.received.status == 503 and call.call_id in world.began
        ]


class TestFullEngines:
    """Guard against calls that are given up at the stop while an engine has them in its queue."""

    async def test_queued_call_is_given_up_as_unknown_at_the_stop(
        self, world: LateGraceWorld
    ) -> None:
        for writer in world.writers:
            await writer.occupy()
        await world.stop_router(sent_seconds=SENT_SECONDS)
        show(world)
        assert len(world.calls) == 2 * len(SENT_SECONDS)
        assert not world.began
        assert not [call for call in world.calls if call.is_lost or call.received.status != 503]

    async def test_engine_is_given_more_time_than_the_stop_leaves(
        self, world: LateGraceWorld
    ) -> None:
        await world.stop_router(sent_seconds=SENT_SECONDS)
        assert world.began
        assert world.latest_deadline_seconds() < GRACE_SECONDS - STOP_MARGIN_SECONDS

    async def test_call_is_sent_into_the_queue_of_a_full_engine(
        self, world: LateGraceWorld
    ) -> None:
        for writer in world.writers:
            await writer.occupy()
        reports = asyncio.create_task(report_full_engines(world))
        await world.stop_router(sent_seconds=SENT_SECONDS)
        reports.cancel()
        show(world)
        assert not [writer for writer in world.writers if writer.requests]
        assert {call.received.status for call in world.calls} == {503}
        assert max(call.ended_seconds - call.sent_seconds for call in world.calls) < LATENCY_SECONDS


async def report_full_engines(world: LateGraceWorld) -> None:
    """Tell the router again and again that all engines run as many calls as they have slots."""
    while True:
        for writer in world.writers:
            world.router.placement.record_report(
                EndpointId(writer.endpoint_id),
                LoadReport(running=SLOTS, queued=0, slots=SLOTS),
                by_agent=True,
                now_seconds=time.monotonic(),
            )
        await asyncio.sleep(REPORT_SECONDS)
