"""Test routers as processes of their own, started as the platform starts them."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

import aiohttp
import msgspec
import pytest

from tests.helpers import free_ports
from tests.platform_fleet import PlatformFleet

ROOT = Path(__file__).parent.parent
ROUTERS = 3
CRASHING, SHARED, OTHER = "bad0", "c0de", "fee1"
MAX_CRASHES = 5
LIMIT_PER_SECOND = 1.0
WINDOW_SECONDS = 4.0


class RouterProcesses:
    """Run routers as processes before the stand-ins of a fleet."""

    def __init__(self, fleet: PlatformFleet, directory: Path) -> None:
        self.fleet = fleet
        self._directory = directory
        self._ports = free_ports(2)
        self._running: dict[int, asyncio.subprocess.Process] = {}

    async def start(self, number: int) -> None:
        """Start a router and wait until it is ready."""
        callers, readiness = self._ports
        own = self.fleet.router_settings(number, callers_port=callers, readiness_port=readiness)
        path = self._directory / f"front-{number}.json"
        path.write_bytes(msgspec.json.encode(own))
        self._running[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "run.py"),
            "router",
            env={**os.environ, "EGRETROUTER_CONFIG": str(path)},
            stdout=(self._directory / f"front-{number}.log").open("ab"),
        )
        await self._wait_until_ready(own.readiness)

    async def _wait_until_ready(self, address: str) -> None:
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(f"http://{address}/egretrouter/readyz") as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def kill(self, number: int) -> None:
        process = self._running.pop(number)
        process.send_signal(signal.SIGKILL)
        await process.wait()

    async def stop(self) -> None:
        for number in list(self._running):
            await self.kill(number)

    async def call(self, number: int, *, parts: Sequence[str]) -> int:
        """Make a call through a router and return its status."""
        address = f"127.0.0.{number}:{self._ports[0]}"
        return (await self.fleet.call_at(address, parts=parts)).status


@pytest.fixture
async def routers(tmp_path: Path) -> AsyncIterator[RouterProcesses]:
    fleet = PlatformFleet()
    await fleet.start(routers=0)
    opened = RouterProcesses(fleet, tmp_path)
    await asyncio.gather(*(opened.start(number) for number in range(1, ROUTERS + 1)))
    yield opened
    await opened.stop()
    await fleet.stop()


class TestRouterProcesses:
    """Guard against what only shows between processes, and when one of them starts again."""

    async def test_restarted_router_forgets_held_parts(self, routers: RouterProcesses) -> None:
        fleet = routers.fleet
        fleet.let_part_crash(CRASHING)
        for call in range(6):
            await routers.call(call % ROUTERS + 1, parts=[f"{call:04x}", CRASHING])
            await routers.call(call % ROUTERS + 1, parts=[OTHER])
        assert fleet.crashed <= MAX_CRASHES
        crashed = fleet.crashed
        for number in (1, 2):
            await routers.kill(number)
        await asyncio.gather(routers.start(1), routers.start(2))
        for number in range(1, ROUTERS + 1):
            await routers.call(number, parts=[OTHER])
            assert await routers.call(number, parts=[SHARED, CRASHING]) == 503
        assert fleet.crashed == crashed

    async def test_restarted_router_exceeds_a_named_limit(self, routers: RouterProcesses) -> None:
        limited = routers.fleet.engines[0]
        limited.limit_per_second = LIMIT_PER_SECOND
        for round_number in range(3):
            for call in range(120):
                await routers.call(call % ROUTERS + 1, parts=[])
            if round_number < 2:
                await routers.kill(round_number + 1)
                await routers.start(round_number + 1)
        allowed = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
        assert limited.most_in_window(WINDOW_SECONDS) <= allowed
