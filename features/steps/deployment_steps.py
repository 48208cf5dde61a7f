"""Start deployments, publish, and check what is in force."""

import asyncio
import json
import time

from support.steps import given, then, when
from support.world import World

from egretrouter.core.errors import PublishConflictError


@given('the deployment "{deployment}" serves version "{version}"')
async def _(world: World, deployment: str, version: str) -> None:
    await world.start_fleet(deployment)
    await _serve(world, version)


async def _serve(world: World, version: str) -> None:
    await world.publish_version(version)
    replicas = len(world.fleet.engines())
    await world.wait(
        lambda: world.fleet.count_replicas(world.manifests[version].digest) >= replicas,
        f"{replicas} replicas of {version}",
    )
    # A service with one replica is in view of the other zones seconds later than these two.
    await world.fleet.wait_for_routes(
        [world.model_service.name, world.order_service.name], timeout_seconds=60
    )
    # A router that just started hears of the other zones by summaries, some seconds later; until
    # then it has no endpoint left when those of its own zone leave.
    engines = world.fleet.engines().keys()
    await world.wait(
        lambda: all(
            any(router.settings.zone not in name for name in router.view.endpoints() & engines)
            for router in world.fleet.routers.values()
        ),
        "engines of other zones in view of every router",
    )


@given("every router knows the replicas of other zones")
async def _(world: World) -> None:
    others = len(world.fleet.deployment.zones) - 1
    await world.wait(
        lambda: all(
            len(router.control.membership.summaries(now_seconds=time.monotonic())) >= others
            for router in world.fleet.routers.values()
        ),
        "summaries of the other zones on every router",
    )


@when('version "{version}" is published')
async def _(world: World, version: str) -> None:
    await world.publish_version(version)


@when('versions "{first}" and "{second}" are published at once')
async def _(world: World, first: str, second: str) -> None:
    world.add_version(first)
    world.add_version(second)
    # Each publication reads the operators' files before it first waits.
    await asyncio.gather(world.publish_version(first), world.publish_version(second))


@when('the origin changes the content of "{version}" under its name')
async def _(world: World, version: str) -> None:
    world.add_version(version)
    world.fleet.origin.change_content(world.model_service.model, version, b"x" * 400_000)
    world.marks["content requests"] = world.fleet.origin.requests["content"]


@then('version "{version}" serves on every live replica')
async def _(world: World, version: str) -> None:
    await world.wait(
        lambda: all(
            world.manifests[version].digest in world.fleet.agents[name].admitted
            for name in world.fleet.engines()
            if name in world.fleet.agents and not world.fleet.agents[name].should_stop
        ),
        f"version {version} on every live replica",
    )


@then("the origin has sent {count:d} pieces of changed content")
async def _(world: World, count: int) -> None:
    wanted = world.marks["content requests"] + count
    await world.wait(
        lambda: world.fleet.origin.requests["content"] >= wanted, f"{count} requests for content"
    )


@then('no engine loaded version "{version}"')
async def _(world: World, version: str) -> None:
    digest = world.manifests[version].digest
    for name, engine in world.fleet.engines().items():
        assert digest not in engine.loaded.values(), f"{name} loaded {version}"


@then("generation {generation:d} is in force everywhere")
async def _(world: World, generation: int) -> None:
    names = list(world.processes())
    await world.wait(
        lambda: all(world.in_force(name) == generation for name in names),
        f"generation {generation} everywhere",
    )


@then("the last accepted publication is in force everywhere")
async def _(world: World) -> None:
    accepted = [p for p in world.publications if isinstance(p, int)]
    names = list(world.processes())
    await world.wait(
        lambda: all(world.in_force(name) == max(accepted) for name in names),
        f"generation {max(accepted)} everywhere",
    )
    indexes = {
        process.control.configuration.configuration.index.to_json()
        for process in world.processes().values()
    }
    assert len(indexes) == 1, "processes apply different contents of one generation"


@then('generation {generation:d} is in force in zone "{zone}"')
async def _(world: World, generation: int, zone: str) -> None:
    names = [n for n, p in world.processes().items() if p.settings.zone == zone]
    assert names
    await world.wait(
        lambda: all(world.in_force(name) == generation for name in names),
        f"generation {generation} in {zone}",
    )


@then("every publication was accepted or named the generation in force")
async def _(world: World) -> None:
    accepted = [p for p in world.publications if isinstance(p, int)]
    assert len(accepted) == len(set(accepted)), f"two publications share one of {accepted}"
    for publication in world.publications:
        if not isinstance(publication, int):
            assert isinstance(publication, PublishConflictError), repr(publication)
            assert str(max(accepted)) in str(publication), str(publication)


@then("the publication was accepted once")
async def _(world: World) -> None:
    last = world.publications[-1]
    assert isinstance(last, int), repr(last)
    index = json.loads(world.fleet.object_api.content("configuration/index") or b"{}")
    assert index["generation"] == last, f"{index['generation']} is published, not {last}"


@then("no process went back to an earlier generation")
async def _(world: World) -> None:
    for name, seen in world.generations.items():
        assert seen == sorted(seen), f"{name} applied {seen}"
