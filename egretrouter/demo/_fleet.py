"""Run a complete deployment with stand-ins in one process, on loopback."""

import asyncio
import random
from collections.abc import Callable, Iterable
from pathlib import Path

import aiohttp
import msgspec

from egretrouter.backends import HttpObjectStore, HttpWeightSource
from egretrouter.core.configuration import FILE_ADAPTER as OPERATOR_FILE_ADAPTER
from egretrouter.core.configuration import (
    DeploymentFile,
    ModelServiceFile,
    PlainServiceFile,
    encode_part,
    part_name,
)
from egretrouter.core.settings import AgentSettings, RouterSettings
from egretrouter.daemons import AgentService, RouterService
from egretrouter.publishing import pin_manifests, publish
from egretrouter.standins import (
    EngineStandin,
    InstanceListStandin,
    ObjectApiStandin,
    OriginStandin,
    PlainServiceStandin,
    Standin,
)

MEBIBYTE = 1024 * 1024
POLL_SECONDS = 0.02

Part = DeploymentFile | ModelServiceFile | PlainServiceFile
Endpoint = EngineStandin | PlainServiceStandin


class FleetOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the size, timing and seed of a fleet."""

    routers: int = 15
    token_interval_seconds: float = 0.02
    weight_memory_bytes: int = 256 * MEBIBYTE
    origin_hold_seconds: float = 0.0
    list_lag_seconds: float = 0.0
    seed: int = 0


def read_parts(directory: Path) -> dict[str, Part]:
    """Read the operators' files in a directory and return them by part name."""
    parts = [
        OPERATOR_FILE_ADAPTER.validate_json(path.read_bytes())
        for path in sorted(directory.glob("*.json"))
    ]
    return {part_name(part): part for part in parts}


class Fleet:
    """Start and stop the stand-ins, routers and agents of one deployment."""

    def __init__(self, parts: dict[str, Part], *, options: FleetOptions | None = None) -> None:
        """Configure the fleet with operators' files, which take effect when published."""
        self.parts = parts
        self.options = options or FleetOptions()
        self.object_api = ObjectApiStandin()
        self.origin = OriginStandin(seed=self.options.seed)
        self.instance_list = InstanceListStandin(lag_seconds=self.options.list_lag_seconds)
        self.endpoints: dict[str, Endpoint] = {}
        self.agents: dict[str, AgentService] = {}
        self.routers: dict[str, RouterService] = {}
        self._rng = random.Random(self.options.seed)
        self._session: aiohttp.ClientSession
        self._zones: dict[str, str] = {}
        """Zone by peer address."""
        self._platform_urls: dict[str, dict[str, str]] = {}
        self._isolated_zones: set[str] = set()

    @property
    def deployment(self) -> DeploymentFile:
        """Return the deployment file."""
        return next(part for part in self.parts.values() if isinstance(part, DeploymentFile))

    def services(self) -> list[ModelServiceFile | PlainServiceFile]:
        """Return the service files."""
        return [part for part in self.parts.values() if not isinstance(part, DeploymentFile)]

    def engines(self) -> dict[str, EngineStandin]:
        """Return the model engines by instance id."""
        return {
            name: engine
            for name, engine in self.endpoints.items()
            if isinstance(engine, EngineStandin)
        }

    async def start(self) -> None:
        """Start the platform, then the endpoints with their agents, then the routers."""
        self._session = aiohttp.ClientSession()
        for standin in self._platform_standins():
            await standin.start()
        for zone_file in self.deployment.zones:
            self._platform_urls[zone_file.name] = {
                "object_store_url": await self.object_api.listen_for(zone_file.name),
                "origin_url": await self.origin.listen_for(zone_file.name),
                "instance_list_url": await self.instance_list.listen_for(zone_file.name),
            }
        for service in self.services():
            for placement in service.placement:
                for number in range(placement.replicas):
                    instance_id = f"{service.name}-{placement.zone}-{number}"
                    await self.start_endpoint(instance_id, service, zone=placement.zone)
        zones = [zone.name for zone in self.deployment.zones]
        for number in range(self.options.routers):
            zone = zones[number % len(zones)]
            await self.start_router(f"entry-{zone}-{number // len(zones)}", zone=zone)

    async def start_endpoint(
        self, instance_id: str, service: ModelServiceFile | PlainServiceFile, *, zone: str
    ) -> None:
        """Start an endpoint and its agent."""
        endpoint: Endpoint
        if isinstance(service, ModelServiceFile):
            endpoint = EngineStandin(
                checks_fencing=service.endpoint.checks_fencing,
                token_interval_seconds=self.options.token_interval_seconds,
            )
        else:
            endpoint = PlainServiceStandin()
        await endpoint.start()
        self.endpoints[instance_id] = endpoint
        await self.start_agent(instance_id, service.name, zone=zone)

    async def start_agent(self, instance_id: str, service: str, *, zone: str) -> AgentService:
        """Start an agent for an endpoint that is already running."""
        settings = AgentSettings.model_validate(
            {
                **self._process_settings(instance_id, zone),
                "kind": "agent",
                "endpoint": {
                    "endpoint_id": instance_id,
                    "service": service,
                    "url": self.endpoints[instance_id].url,
                },
                "weight_memory_bytes": self.options.weight_memory_bytes,
                "origin_hold_seconds": self.options.origin_hold_seconds,
            }
        )
        agent = AgentService(
            settings, rng=random.Random(self._rng.random()), reachable=self._reachable_from(zone)
        )
        await agent.start()
        self._zones[agent.peer_address] = zone
        self.agents[instance_id] = agent
        self.instance_list.add(
            instance_id, zone=zone, role=f"agent:{service}", address=agent.peer_address
        )
        return agent

    async def start_router(self, instance_id: str, *, zone: str) -> RouterService:
        """Start a router."""
        settings = RouterSettings.model_validate(
            {
                **self._process_settings(instance_id, zone),
                "kind": "router",
                "callers": {"port": 0},
            }
        )
        router = RouterService(
            settings, rng=random.Random(self._rng.random()), reachable=self._reachable_from(zone)
        )
        await router.start()
        self._zones[router.peer_address] = zone
        self.routers[instance_id] = router
        self.instance_list.add(instance_id, zone=zone, role="router", address=router.peer_address)
        return router

    def processes(self, zone: str) -> list[AgentService | RouterService]:
        """Return the agents and routers of a zone."""
        agents = [a for a in self.agents.values() if a.settings.zone == zone]
        routers = [r for r in self.routers.values() if r.settings.zone == zone]
        return [*agents, *routers]

    def _process_settings(self, instance_id: str, zone: str) -> dict[str, object]:
        region = next(z.region for z in self.deployment.zones if z.name == zone)
        return {
            "instance_id": instance_id,
            "zone": zone,
            "region": region,
            "platform": self._platform_urls[zone],
        }

    def _platform_standins(self) -> tuple[Standin, ...]:
        return (self.object_api, self.origin, self.instance_list)

    def _reachable_from(self, zone: str) -> Callable[[str], bool]:
        def is_reachable(address: str) -> bool:
            other = self._zones.get(address, zone)
            return other == zone or not self._isolated_zones & {zone, other}

        return is_reachable

    async def cut_off(self, *zones: str) -> None:
        """Isolate exactly these zones from the others and the platform; none ends all isolation."""
        for zone in {z.name for z in self.deployment.zones} - set(zones):
            self.reconnect(zone)
        for zone in zones:
            self.cut_off_from_zones(zone)
            self.cut_off_from_platform(zone)
        for process in (*self.agents.values(), *self.routers.values()):
            is_reachable = self._reachable_from(process.settings.zone)
            for address in self._zones:
                if not is_reachable(address):
                    await process.channels.discard(address)

    def cut_off_from_zones(self, zone: str) -> None:
        """Cut a zone off from the other zones."""
        self._isolated_zones.add(zone)
        routers = self.routers.values()
        for agent in self.agents.values():
            is_reachable = self._reachable_from(agent.zone)
            lost = {r.settings.instance_id for r in routers if not is_reachable(r.peer_address)}
            agent.calls.break_links(lost)

    def cut_off_from_platform(self, zone: str) -> None:
        """Cut a zone off from the object API, the origin and the instance list."""
        for standin in self._platform_standins():
            standin.cut_off(zone)

    def reconnect(self, zone: str) -> None:
        """Reconnect a zone to the other zones and the platform."""
        self._isolated_zones.discard(zone)
        for standin in self._platform_standins():
            standin.reconnect(zone)

    async def kill_agent(self, instance_id: str) -> None:
        """Stop an agent without draining or notifying its peers; its endpoint keeps running."""
        await self.agents.pop(instance_id).stop()

    async def kill_router(self, instance_id: str) -> None:
        """Stop a router without draining or notifying its peers and callers."""
        router = self.routers.pop(instance_id)
        router.force_stop = True
        await router.stop()

    async def publish(self) -> int:
        """Publish the operators' files and return the generation."""
        files = {f"{name}.json": encode_part(part) for name, part in self.parts.items()}
        origin = HttpWeightSource(self._session, base_url=self.origin.url)
        store = HttpObjectStore(self._session, base_url=self.object_api.url)
        collection, _ = await pin_manifests(files, origin)
        return (await publish(store, collection)).generation

    def replace_part(self, part: Part) -> None:
        """Replace one operators' file; it takes effect when published."""
        self.parts[part_name(part)] = part

    def count_replicas(self, manifest_digest: str) -> int:
        """Return the number of agents that admit calls for a loaded version."""
        return sum(
            manifest_digest in agent.admitted for agent in self.agents.values() if agent.started
        )

    async def wait_for_replicas(
        self, manifest_digest: str, count: int, *, timeout_seconds: float
    ) -> None:
        """Wait until enough endpoints serve a version.

        Raises TimeoutError.
        """
        async with asyncio.timeout(timeout_seconds):
            while self.count_replicas(manifest_digest) < count:  # noqa: ASYNC110
                await asyncio.sleep(POLL_SECONDS)

    async def wait_for_routes(self, services: Iterable[str], *, timeout_seconds: float) -> None:
        """Wait until every router knows an endpoint of each service.

        Raises TimeoutError.
        """
        required = set(services)
        async with asyncio.timeout(timeout_seconds):
            while not all(  # noqa: ASYNC110
                required <= router.served_services() for router in self.routers.values()
            ):
                await asyncio.sleep(POLL_SECONDS)

    async def stop(self) -> None:
        """Stop everything: routers, then agents, endpoints and the platform."""
        await asyncio.gather(*(router.stop() for router in self.routers.values()))
        await asyncio.gather(*(agent.stop() for agent in self.agents.values()))
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        for standin in self._platform_standins():
            await standin.stop()
        await self._session.close()
