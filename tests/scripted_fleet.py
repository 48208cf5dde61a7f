"""Run a fleet whose endpoints are scripted services."""

import asyncio
from typing import Any

from egretrouter.core.configuration import FILE_ADAPTER, part_name
from egretrouter.daemons import RouterService
from egretrouter.demo import Fleet, FleetOptions
from tests.helpers import wait_until
from tests.scripted_service import ScriptedService

WAIT_SECONDS = 30.0
PARTS: list[dict[str, Any]] = [
    {
        "kind": "deployment",
        "name": "test",
        "zones": [{"name": "z1", "region": "r1"}],
        "workspaces": [{"name": "w1", "requests_per_second": 10_000}],
    },
    {
        "kind": "plain",
        "name": "scripted",
        "prefixes": ["/"],
        "placement": [{"zone": "z1", "replicas": 2}],
        "idempotency": [{"method": "GET", "idempotent": True}],
    },
]


class ScriptedFleet(Fleet):
    """Run a fleet whose agents have scripted services as endpoints."""

    async def start_agent(self, instance_id: str, service: str, *, zone: str) -> Any:
        await self.endpoints[instance_id].stop()
        scripted = self.endpoints[instance_id] = ScriptedService()
        await scripted.start()
        return await super().start_agent(instance_id, service, zone=zone)

    @property
    def router(self) -> RouterService:
        return next(iter(self.routers.values()))

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.router.callers_port}"

    def services_by_name(self) -> dict[str, ScriptedService]:
        return {n: e for n, e in self.endpoints.items() if isinstance(e, ScriptedService)}

    def total(self, name: str) -> int:
        return sum(int(getattr(s, name)) for s in self.services_by_name().values())

    async def wait_for_request(self) -> str:
        """Wait for the first call and return the instance that runs it."""
        await wait_until(lambda: self.total("requests") > 0)
        return next(name for name, s in self.services_by_name().items() if s.requests)


async def start_scripted_fleet() -> ScriptedFleet:
    """Start a fleet of one router and two agents, and wait until the router knows both."""
    parts = [FILE_ADAPTER.validate_python(part) for part in PARTS]
    fleet = ScriptedFleet(
        {part_name(part): part for part in parts}, options=FleetOptions(routers=1)
    )
    await fleet.start()
    await fleet.publish()
    async with asyncio.timeout(WAIT_SECONDS):
        while not fleet.router.ready or len(fleet.router.view._known_endpoints) < 2:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    return fleet


async def read_raw(fleet: ScriptedFleet, request: bytes) -> bytes:
    """Send bytes to the router and return all that it answers until it closes the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.router.callers_port)
    writer.write(request)
    content = await reader.read()
    writer.close()
    return content
