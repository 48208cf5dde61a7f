"""Test what becomes of calls that a stopping router takes late in its grace period."""

from collections.abc import AsyncIterator

import pytest

from tests.late_grace_world import GRACE_SECONDS, LateGraceWorld, SentCall

SENT_SECONDS = [0.2, 0.6, 1.0, 1.4, 1.8, 2.2]
SLOW_PACE = 6.0
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
