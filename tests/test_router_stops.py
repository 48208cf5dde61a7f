"""Test that routers that stop while the load balancer still uses them lose no request."""

import asyncio
import os
import random
import socket
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.caller_connections import CallerConnection, RequestEnd
from tests.platform_world import PlatformWorld
from tests.stopping_fleet import ROUTERS, StoppingFleet

FIRST_SEED = int(os.environ.get("ROUTER_STOPS_FIRST_SEED", "1"))
SEEDS = int(os.environ.get("ROUTER_STOPS_SEEDS", "1"))
GAP_SECONDS = 0.5
ALLOWED_STATUSES = {0, 200, 401, 404, 503}
"""What whole requests may be answered with here; 0 stands for no answer."""
ANSWER_SECONDS = 3.0
TURNS = 8
CALL = (
    b"POST /read/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: c-1\r\nX-Api-Key: key-1\r\n"
    b"Content-Length: 7\r\n\r\ncontent"
)


@pytest.fixture(params=range(FIRST_SEED, FIRST_SEED + SEEDS))
async def stopping(request: pytest.FixtureRequest, tmp_path: Path) -> AsyncIterator[StoppingFleet]:
    opened = StoppingFleet(tmp_path, seed=request.param)
    try:
        await opened.start()
        yield opened
    finally:
        await opened.stop()


class TestRoutersStopInARow:
    """Guard against requests taken by a router that stops before it has answered them."""

    async def test_routers_that_stop_in_a_row_lose_no_request(
        self, stopping: StoppingFleet, request: pytest.FixtureRequest
    ) -> None:
        stopping.start_callers(busy=6, patient=8, uploading=4, streams=16)
        changes = asyncio.create_task(_change_configuration(stopping))
        order = random.Random(request.node.callspec.params["stopping"]).sample(
            range(1, ROUTERS + 1), ROUTERS
        )
        await asyncio.sleep(0.5)
        stops = []
        for number in order:
            stops.append(asyncio.create_task(stopping.stop_router(number)))
            await asyncio.sleep(GAP_SECONDS)
        stopping.routers.reload(order[-1])
        await asyncio.gather(*stops, changes)
        await stopping.finish_callers()

        ends = Counter(sent.received.end.value for sent in stopping.sent)
        statuses = Counter(sent.received.status for sent in stopping.sent)
        lost = stopping.lost()
        print(f"ends={dict(ends)} statuses={dict(statuses)}", *lost, sep="\n")
        print(f"stops={[round(seconds, 2) for seconds in stopping.stop_seconds]}")
        assert not lost
        assert stopping.balancer.fell_back
        assert statuses[200] > 0
        assert set(statuses) <= ALLOWED_STATUSES
        assert stopping.most_runs("/sale/x") == 1


async def _change_configuration(stopping: StoppingFleet) -> None:
    for with_extra, with_second_key in [(False, True), (True, False), (False, False), (True, True)]:
        await asyncio.sleep(1.5)
        stopping.publish(with_extra=with_extra, with_second_key=with_second_key)


class TestConnectionsOfAStoppingRouter:
    """Guard against calls that are lost when a router that is told to stop closes connections."""

    @pytest.mark.parametrize("kept", [True, False])
    async def test_call_sent_just_before_the_stop_is_answered(self, kept: bool) -> None:
        # Which turn of the event loop reads the call depends on the version of Python.
        ends = [await self._send_and_stop(turns, kept=kept) for turns in range(TURNS)]
        assert set(ends) <= {RequestEnd.ANSWERED, RequestEnd.UNREAD}, ends

    async def _send_and_stop(self, turns: int, *, kept: bool) -> RequestEnd:
        """Stop a router some turns of the event loop after a call was sent to it."""
        world, caller = PlatformWorld(), CallerConnection()
        await world.start()
        await caller.open(world.address)
        if kept:
            assert (await caller.send([CALL])).status == 200
        answer = asyncio.create_task(caller.send([CALL]))
        for _ in range(turns):
            await asyncio.sleep(0)
        drain = asyncio.create_task(world.router.drain())
        async with asyncio.timeout(ANSWER_SECONDS):
            end = (await answer).end
        drain.cancel()
        caller.close()
        await world.stop()
        return end

    async def test_call_whose_content_arrives_after_the_stop_is_answered(self) -> None:
        world, caller = PlatformWorld(), CallerConnection()
        await world.start()
        await caller.open(world.address)
        answer = asyncio.create_task(caller.send([CALL[:-4], CALL[-4:]], pause_seconds=0.2))
        await world.wait_until(lambda: world.router.call_handler.in_progress == 1)
        drain = asyncio.create_task(world.router.drain())
        async with asyncio.timeout(ANSWER_SECONDS):
            assert (await answer).status == 200
        drain.cancel()
        caller.close()
        await world.stop()


class TestCallerConnection:
    """Check that the end of a connection tells whether its request was read."""

    @pytest.mark.parametrize(
        ("reads", "answer", "expected"),
        [
            (False, b"", RequestEnd.UNREAD),
            (True, b"", RequestEnd.DROPPED),
            (True, b"HTTP/1.1 200", RequestEnd.CUT),
            (True, b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", RequestEnd.CUT),
            (True, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", RequestEnd.ANSWERED),
            (
                True,
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                RequestEnd.CUT,
            ),
        ],
    )
    async def test_end_tells_whether_the_request_was_read(
        self, reads: bool, answer: bytes, expected: RequestEnd
    ) -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            caller = CallerConnection()
            await caller.open(f"127.0.0.1:{server.getsockname()[1]}")
            accepted, _ = await loop.sock_accept(server)
            ended = asyncio.create_task(caller.send([CALL]))
            await asyncio.sleep(0.05)
            if reads:
                assert accepted.recv(len(CALL)) == CALL
            accepted.sendall(answer)
            accepted.close()
            assert (await ended).end is expected
            if expected is RequestEnd.ANSWERED:
                assert (await caller.send([CALL])).end is RequestEnd.NOT_SENT
            caller.close()
