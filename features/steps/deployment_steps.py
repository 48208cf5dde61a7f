"""Start deployments, publish versions and check the generations that processes apply."""

import asyncio
import json
import time

from support.steps import given, then, when
from support.world import World

from egretrouter.core.errors import PublishConflictError


@given('the deployment "{deployment}" serves version "{version}"')
async def _(world: World, deployment: str, version: str) -> None:
    await world.start_fleet(deployment)
    await _publish_and_wait(world, version)


async def _publish_and_wait(world: World, version: str) -> None:
    await world.publish_version(version)
    replicas = len(world.fleet.engines())
    await world.wait_until(
        lambda: world.fleet.count_replicas(world.manifests[version].digest) >= replicas,
        f"{replicas} replicas of {version}",
    )
    # Other zones receive the endpoint of a service with a single replica seconds later, so only
    # these two services are awaited.
    await world.fleet.wait_for_routes(
        [world.model_service.name, world.order_service.name], timeout_seconds=60
    )
    # A router that just started receives the summaries of other zones some seconds later. Until
    # then it has no endpoint left when those of its own zone leave.
    engines = world.fleet.engines().keys()
    await world.wait_until(
        lambda: all(
            any(router.settings.zone not in name for name in router.view.endpoints() & engines)
            for router in world.fleet.routers.values()
        ),
        "engines of other zones at every router",
    )


@given("every router knows the replicas of other zones")
async def _(world: World) -> None:
    others = len(world.fleet.deployment.zones) - 1
    await world.wait_until(
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
    # Each publication reads the operators' files before its first await, so the second version
    # doesn't get into the first publication.
    await asyncio.gather(world.publish_version(first), world.publish_version(second))


@when('the origin serves other content for version "{version}"')
async def _(world: World, version: str) -> None:
    world.add_version(version)
    world.fleet.origin.change_content(world.model_service.model, version, b"x" * 400_000)
    world.recorded_counts["content requests"] = world.fleet.origin.requests["content"]


@then('version "{version}" serves on every live replica')
async def _(world: World, version: str) -> None:
    await world.wait_until(
        lambda: all(
            world.manifests[version].digest in world.fleet.agents[name].admitted
            for name in world.fleet.engines()
            if name in world.fleet.agents and not world.fleet.agents[name].should_stop
        ),
        f"version {version} on every live replica",
    )


@then("the origin has received {count:d} requests for the changed content")
async def _(world: World, count: int) -> None:
    expected = world.recorded_counts["content requests"] + count
    await world.wait_until(
        lambda: world.fleet.origin.requests["content"] >= expected, f"{count} requests for content"
    )


@then('no engine loaded version "{version}"')
async def _(world: World, version: str) -> None:
    digest = world.manifests[version].digest
    for name, engine in world.fleet.engines().items():
        assert digest not in engine.loaded.values(), f"{name} loaded {version}"


@then("every process applies generation {generation:d}")
async def _(world: World, generation: int) -> None:
    names = list(world.processes())
    await world.wait_until(
        lambda: all(world.applied_generation(name) == generation for name in names),
        f"generation {generation} on every process",
    )


@then("every process applies the last accepted publication")
async def _(world: World) -> None:
    accepted = [p for p in world.publications if isinstance(p, int)]
    names = list(world.processes())
    await world.wait_until(
        lambda: all(world.applied_generation(name) == max(accepted) for name in names),
        f"generation {max(accepted)} on every process",
    )
    indexes = {
        process.control.configuration.configuration.index.to_json()
        for process in world.processes().values()
    }
    assert len(indexes) == 1, "processes apply different contents of one generation"


@then('every process of zone "{zone}" applies generation {generation:d}')
async def _(world: World, generation: int, zone: str) -> None:
    names = [n for n, p in world.processes().items() if p.settings.zone == zone]
    assert names
    await world.wait_until(
        lambda: all(world.applied_generation(name) == generation for name in names),
        f"generation {generation} in {zone}",
    )


@then("every publication was accepted or failed with an error that names the latest generation")
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
    for name, seen in world.applied_generations.items():
        assert seen == sorted(seen), f"{name} applied {seen}"
