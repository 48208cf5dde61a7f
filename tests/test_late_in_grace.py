"""Test what becomes of calls that a stopping router takes late in its grace period."""

from collections.abc import AsyncIterator

import pytest

from tests.late_grace_world import LateGraceWorld, SentCall

SENT_SECONDS = [0.2, 0.6, 1.0, 1.4, 1.8, 2.2]
SLOW_PACE = 6.0


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
