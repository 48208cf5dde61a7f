"""Run a deployment whose engines serve one version of the model in every zone."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path

from egretrouter.core.configuration import FileCollection, collect, encode_part
from egretrouter.core.weights import Manifest
from egretrouter.daemons import AgentService
from egretrouter.demo import Fleet

EXAMPLES = Path(__file__).parent.parent / "egretrouter" / "examples"
WAIT_SECONDS = 30.0
SERVICES = ["llm-cotacoes", "razao-vendas", "portal-socio"]


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; raises TimeoutError."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.02)


class ServingFleet(Fleet):
    """Serve one version of the model in every zone."""

    manifest: Manifest

    async def serve(self) -> None:
        """Start, publish and wait until all services are routed."""
        await self.start()
        content = random.Random(1).randbytes(300_000)
        self.manifest = self.origin.add_version("cotacoes", "2026-11", content, chunk_bytes=65536)
        await self.publish()
        await self.wait_for_replicas(self.manifest.digest, 6, timeout_seconds=WAIT_SECONDS)
        await self.wait_for_routes(SERVICES, timeout_seconds=WAIT_SECONDS)

    def orders(self) -> int:
        """Return the number of orders that all engines have accepted."""
        return sum(len(engine.orders) for engine in self.engines().values())

    async def replace_agent(self, instance_id: str) -> AgentService:
        """Start a new agent for an endpoint whose agent has stopped."""
        old = self.agents[instance_id].agent_settings
        return await self.start_agent(instance_id, old.endpoint.service, zone=old.zone)

    def collection(self) -> FileCollection:
        """Return the operators' files with pinned digests."""
        pinned = {"manifest_digest": self.manifest.digest}
        return collect(
            {
                f"{name}.json": encode_part(
                    part.model_copy(update=pinned) if part.kind == "model" else part
                )
                for name, part in self.parts.items()
            }
        )
