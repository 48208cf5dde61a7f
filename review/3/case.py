"""Lose three of each zone's four routers at once, then change the configuration several times.

Each new version moves one route to the other of two services. The rule is broken if a router that
is left lets the old service run a request that was sent later than config_ms after the store
acknowledged the version.
"""

import asyncio
import itertools
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    PlainEngine,
    Processes,
    Record,
    Store,
    call,
    is_ready,
    plain_configuration,
    run_case,
    wait_until,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"z1": 4, "z2": 4, "z3": 4}
SERVICES = ["old", "new"]
CONFIG_SECONDS = 2.0
STABLE_SECONDS = 3.0
SETTLE_SECONDS = 6.0
CHANGES = 6
CHANGE_SECONDS = 6.0
CALL_SECONDS = 0.1


class Case:
    """Run twelve routers in three zones, and two engines of each of two plain services."""

    def __init__(self) -> None:
        self.record = Record(FOLDER / "record.txt")
        self.store = Store()
        self.engines = [
            PlainEngine(
                f"i-{service}-{number}",
                service,
                f"z{number + 1}",
                store=self.store,
                record=self.record,
            )
            for service in SERVICES
            for number in range(2)
        ]
        self.processes = Processes(zones=list(ZONES), link_mbps=350, record=self.record)
        self.routers: dict[str, str] = {}
        """Addresses of the routers by their names."""
        self.acknowledged: list[tuple[float, str]] = []
        """When each version was acknowledged, and the service that its route goes to."""
        self.late: list[str] = []
        self.counted = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> bool:
        """Start everything, and return whether all routers are ready."""
        await self.store.start()
        for engine in self.engines:
            await engine.start()
        self._configure()
        self.processes.store = self.store.address
        hosts = itertools.count(11)
        for zone, count in ZONES.items():
            for number in range(1, count + 1):
                name, host = f"front-{zone}-{number}", f"127.0.0.{next(hosts)}"
                self.routers[name] = host
                await self.processes.run("router", name, host, zone)
        ready = [
            await wait_until(lambda h=host: is_ready(self.processes.readiness(h)), seconds=15)
            for host in self.routers.values()
        ]
        return all(ready)

    def _configure(self) -> None:
        number = len(self.acknowledged)
        service = SERVICES[number % 2]
        self.store.put("config", "main", plain_configuration(7 + 3 * number, service, SERVICES))
        self.acknowledged.append((time.monotonic(), service))
        self.record("acknowledged", version=7 + 3 * number, service=service)

    async def send_calls(self, name: str) -> None:
        """Send calls to one router at a steady rate."""
        for number in itertools.count():
            task = asyncio.create_task(self._call(name, f"{name}-{number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(CALL_SECONDS)

    async def _call(self, name: str, call_id: str) -> None:
        sent = time.monotonic()
        address = self.processes.callers(self.routers[name])
        answer = await call(address, "/orders/x", call_id=call_id, deadline_ms=1000)
        run_by = answer.content.decode(errors="replace") if answer.status == 200 else ""
        self.record("answered", call=call_id, status=answer.status, service=run_by)
        acknowledged, service = self.acknowledged[-1]
        self.counted += 1
        # Each version has one route, so the other service is one that only older versions allow.
        if answer.status == 200 and run_by != service and sent > acknowledged + CONFIG_SECONDS:
            late = f"{call_id} sent {sent - acknowledged:.2f} s after the ack ran at {run_by!r}"
            self.late.append(late)
            self.record("late", call=call_id, seconds=round(sent - acknowledged, 3))

    async def run(self) -> int:
        """Return the exit code."""
        if not await self.start():
            self.record("not-ready")
            return 2
        await asyncio.sleep(STABLE_SECONDS)
        survivors = [f"front-{zone}-{count}" for zone, count in ZONES.items()]
        if TROUBLE:
            for name in self.routers.keys() - set(survivors):
                self.processes.send(name, signal.SIGKILL)
        await asyncio.sleep(SETTLE_SECONDS)
        callers = [asyncio.create_task(self.send_calls(name)) for name in survivors]
        await asyncio.sleep(1)
        for _ in range(CHANGES):
            self._configure()
            await asyncio.sleep(CHANGE_SECONDS)
        for caller in callers:
            caller.cancel()
        await asyncio.sleep(1)
        calls = {late.split()[0] for late in self.late}
        result = f"{len(calls)} of {self.counted} calls ran at the old service too late"
        self.record("end", result=result)
        print(result, *self.late[-3:], sep="\n  ")
        return 1 if self.late else 0


CASE = Case()
sys.exit(run_case(CASE.run, CASE.processes.end))
