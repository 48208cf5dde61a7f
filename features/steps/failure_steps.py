"""Make processes, endpoints, links and the platform fail."""

import asyncio

from support.steps import given, when
from support.world import World

from egretrouter.standins import EngineStandin, Outage, PlainServiceStandin


@when("the object API is unavailable")
async def _(world: World) -> None:
    world.fleet.object_api.outage = Outage.DROP


@when("the object API hangs")
async def _(world: World) -> None:
    world.fleet.object_api.outage = Outage.HANG


@when("the object API answers again")
async def _(world: World) -> None:
    world.fleet.object_api.outage = None


@given("the object API loses its next {count:d} answers to writes")
@when("the object API loses its next {count:d} answers to writes")
async def _(world: World, count: int) -> None:
    world.fleet.object_api.lose_answers = count


@when("the object API is restored to the first index")
async def _(world: World) -> None:
    history = world.fleet.object_api._history["configuration/index"]
    first = next(entry for _, entry in history if entry is not None)
    await world.fleet.object_api.write("configuration/index", first[1])


@when("the origin is unavailable")
async def _(world: World) -> None:
    world.fleet.origin.outage = Outage.DROP


@when("the origin answers again")
async def _(world: World) -> None:
    world.fleet.origin.outage = None


@when("the origin corrupts its next {corrupted:d} answers and stalls {stalled:d}")
async def _(world: World, corrupted: int, stalled: int) -> None:
    world.fleet.origin.corrupt_next = corrupted
    world.fleet.origin.stall_next = stalled


@when('the engine "{instance_id}" crashes after {tokens:d} tokens')
async def _(world: World, instance_id: str, tokens: int) -> None:
    instance_id = await world.resolve_instance(instance_id)
    engine = _engine(world, instance_id)
    await world.wait_until(
        lambda: any(sequence.position >= tokens for sequence in engine.batch.running),
        f"{tokens} tokens of one call at {instance_id}",
    )
    await engine.crash()


@when('the engine "{instance_id}" crashes')
async def _(world: World, instance_id: str) -> None:
    instance_id = await world.resolve_instance(instance_id)
    await _engine(world, instance_id).crash()


@when('the engine "{instance_id}" starts again')
async def _(world: World, instance_id: str) -> None:
    instance_id = await world.resolve_instance(instance_id)
    engine = _engine(world, instance_id)
    await engine.start(port=int(engine.url.rpartition(":")[2]))


@when('the engine "{instance_id}" truncates its next {count:d} answers')
async def _(world: World, instance_id: str, count: int) -> None:
    instance_id = await world.resolve_instance(instance_id)
    _engine(world, instance_id).truncate_streams = count


@when("every engine truncates its next answer")
async def _(world: World) -> None:
    for engine in world.fleet.engines().values():
        engine.truncate_streams = 1


@when('the agent "{instance_id}" is killed')
async def _(world: World, instance_id: str) -> None:
    instance_id = await world.resolve_instance(instance_id)
    await world.fleet.kill_agent(instance_id)


@when('the agent "{instance_id}" starts again')
async def _(world: World, instance_id: str) -> None:
    instance_id = await world.resolve_instance(instance_id)
    service, zone = next(
        (service.name, placement.zone)
        for service in world.fleet.services()
        for placement in service.placement
        if instance_id.startswith(f"{service.name}-{placement.zone}-")
    )
    await world.fleet.start_agent(instance_id, service, zone=zone)


@when('the router "{instance_id}" is killed')
async def _(world: World, instance_id: str) -> None:
    instance_id = await world.resolve_instance(instance_id)
    await world.fleet.kill_router(instance_id)


@when('the agent "{instance_id}" leaves')
async def _(world: World, instance_id: str) -> None:
    instance_id = await world.resolve_instance(instance_id)
    await _start_agent_drain(world, instance_id)


async def _start_agent_drain(world: World, instance_id: str) -> None:
    agent = world.fleet.agents[instance_id]

    async def drain_and_stop() -> None:
        await agent.drain()
        await agent.stop()

    world.spawn(f"drain of {instance_id}", drain_and_stop())
    # Let the drain start before the next step runs.
    await asyncio.sleep(0)


@when("every order agent leaves")
async def _(world: World) -> None:
    for instance_id in _order_services(world):
        await _start_agent_drain(world, instance_id)


@when('the router "{instance_id}" leaves')
async def _(world: World, instance_id: str) -> None:
    instance_id = await world.resolve_instance(instance_id)
    router = world.fleet.routers[instance_id]

    async def drain_and_stop() -> None:
        await router.drain()
        await router.stop()

    world.spawn(f"drain of {instance_id}", drain_and_stop())
    await asyncio.sleep(0)


@when('the drain of "{instance_id}" has ended')
async def _(world: World, instance_id: str) -> None:
    instance_id = await world.resolve_instance(instance_id)
    task = world.tasks[f"drain of {instance_id}"]
    await world.wait_until(task.done, f"the end of the drain of {instance_id}")
    task.result()
    world.fleet.agents.pop(instance_id, None)
    world.fleet.routers.pop(instance_id, None)


@when('zone "{zone}" is cut off from the other zones')
async def _(world: World, zone: str) -> None:
    world.fleet.cut_off_from_zones(zone)


@when('zone "{zone}" is cut off from the platform')
async def _(world: World, zone: str) -> None:
    world.fleet.cut_off_from_platform(zone)


@when('zone "{zone}" is reconnected')
async def _(world: World, zone: str) -> None:
    world.fleet.reconnect(zone)


@when("the instance list lags by {seconds:d} seconds")
async def _(world: World, seconds: int) -> None:
    world.fleet.instance_list.lag_seconds = seconds


@when("{seconds:d} seconds pass")
async def _(world: World, seconds: int) -> None:
    await asyncio.sleep(seconds)


@given("orders take {seconds:g} seconds")
async def _(world: World, seconds: float) -> None:
    for service in _order_services(world).values():
        service.execution_seconds = seconds


@when("every order service resets {before:d} requests before and {after:d} after they run")
async def _(world: World, before: int, after: int) -> None:
    for service in _order_services(world).values():
        service.reset_before, service.reset_after = before, after


@when("every order service sends its next {count:d} answers twice")
async def _(world: World, count: int) -> None:
    for service in _order_services(world).values():
        service.answer_twice = count


def _engine(world: World, instance_id: str) -> EngineStandin:
    engine = world.fleet.endpoints[instance_id]
    assert isinstance(engine, EngineStandin)
    return engine


def _order_services(world: World) -> dict[str, PlainServiceStandin]:
    name = world.order_service.name
    return {
        instance_id: endpoint
        for instance_id, endpoint in world.fleet.endpoints.items()
        if instance_id.startswith(f"{name}-") and isinstance(endpoint, PlainServiceStandin)
    }
