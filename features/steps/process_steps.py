"""Run the system as separate processes and send them signals."""

import asyncio
import json
import signal

from support.calls import WHOLE, Call
from support.processes import ProcessFleet
from support.steps import given, then, when
from support.world import World


@given('processes of {routers:d} routers and 2 agents serve version "{version}"')
async def _(world: World, routers: int, version: str) -> None:
    world.process_fleet = fleet = ProcessFleet()
    await world.open_session()
    world.cleanups.append(fleet.stop)
    await fleet.start_platform()
    await asyncio.gather(
        *(fleet.start_agent(f"agent-{number}") for number in range(2)),
        *(fleet.start_router(f"router-{number}") for number in range(routers)),
    )
    code, output = await fleet.publish(version)
    assert code == 0, output
    await _wait_until_loaded(world, version)
    for name in [name for name in fleet.processes if name.startswith("router")]:
        await _wait_until_answering(world, name)


async def _wait_until_loaded(world: World, version: str) -> None:
    fleet = world.process_fleet
    digest = fleet.manifests[version].digest
    await world.wait_until(
        lambda: all(digest in engine.loaded.values() for engine in fleet.engines.values()),
        f"version {version} on every engine",
    )


async def _wait_until_answering(world: World, router: str) -> None:
    for _ in range(200):
        call = _start_call(world, router, 2)
        await call.finished.wait()
        if call.status == 200:
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"{router} answers no call: {call.content!r}")


def _start_call(world: World, router: str, tokens: int) -> Call:
    number = next(world._numbers)
    prompt = f"ovos {number}"
    body = {"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": True}
    call = Call(
        request_id=f"request-{number}",
        router=router,
        url=f"http://127.0.0.1:{world.process_fleet.ports[router]}/v1/completions",
        body=json.dumps(body).encode(),
        prompt=prompt,
        tokens=tokens,
    )
    world.spawn(call.request_id, call.send(world.session))
    return call


@when('{count:d} callers stream {tokens:d} tokens through "{router}"')
async def _(world: World, count: int, tokens: int, router: str) -> None:
    calls = [_start_call(world, router, tokens) for _ in range(count)]
    world.calls += calls
    await world.wait_until(
        lambda: all(c.answer_started.is_set() for c in calls), "the first token of every call"
    )


@when('"{name}" receives {number}')
async def _(world: World, name: str, number: str) -> None:
    world.process_fleet.signal(name, signal.Signals[number])


@when('"{router}" refuses new calls')
async def _(world: World, router: str) -> None:
    """Wait until the first signal has taken effect; two pending signals would merge into one."""
    for _ in range(200):
        call = _start_call(world, router, 2)
        await call.finished.wait()
        if call.status == 503:
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"{router} still accepts calls")


@when('"{name}" is paused for {seconds:d} seconds')
async def _(world: World, name: str, seconds: int) -> None:
    world.process_fleet.signal(name, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    world.process_fleet.signal(name, signal.SIGCONT)


@when('version "{version}" is published with the command line')
async def _(world: World, version: str) -> None:
    code, output = await world.process_fleet.publish(version)
    assert code == 0, output


@then('"{name}" exits with code {code:d}')
async def _(world: World, name: str, code: int) -> None:
    exit_code = await world.process_fleet.wait_for_exit(name)
    assert exit_code == code, f"{name} exited with {exit_code}"


@then('every engine loads version "{version}"')
async def _(world: World, version: str) -> None:
    await _wait_until_loaded(world, version)


@then("every stream is whole")
async def _(world: World) -> None:
    await _check_streams(world, only_whole=True)


@then("every stream is whole or has an explicit outcome")
async def _(world: World) -> None:
    await _check_streams(world, only_whole=False)


async def _check_streams(world: World, *, only_whole: bool) -> None:
    await world.wait_for_calls()
    digests = [manifest.digest for manifest in world.process_fleet.manifests.values()]
    for call in world.calls:
        outcome = call.outcome(digests)
        assert outcome == WHOLE or not only_whole, f"{call.description}: {call.content[-300:]!r}"


@then('a new call through "{router}" gets a whole answer')
async def _(world: World, router: str) -> None:
    await _wait_until_answering(world, router)
