"""Send calls and check their outcomes."""

from support.calls import NOT_RUN, WHOLE
from support.steps import given, then, when
from support.world import World


@given("{count:d} callers stream {tokens:d} tokens")
@when("{count:d} callers stream {tokens:d} tokens")
async def _(world: World, count: int, tokens: int) -> None:
    calls = world.start_calls(count, tokens)
    await world.wait_until(
        lambda: all(c.answer_started.is_set() for c in calls), "the first token of every call"
    )


@given("callers keep streaming {tokens:d} tokens")
@when("callers keep streaming {tokens:d} tokens")
async def _(world: World, tokens: int) -> None:
    world.spawn("callers", world.send_calls_continuously(tokens))


@given("{count:d} orders are sent")
@when("{count:d} orders are sent")
async def _(world: World, count: int) -> None:
    world.start_orders(count)


@when("{count:d} orders with idempotency keys are sent")
async def _(world: World, count: int) -> None:
    world.start_orders(count, keyed=True)


@when("every order runs")
async def _(world: World) -> None:
    orders = [call for call in world.calls if call.prompt is None]
    await world.wait_until(
        lambda: all(world.executions(o) for o in orders), "the start of every order"
    )


@when("every caller repeats its order through another router")
async def _(world: World) -> None:
    for order in [call for call in world.calls if call.prompt is None]:
        others = [name for name in world.fleet.routers if name != order.router]
        world.repeat_order(order, router=others[0])


@then("every call gets the whole answer of one version or an explicit outcome")
@then("every call gets its own whole answer or an explicit outcome")
async def _(world: World) -> None:
    await world.wait_for_calls()
    for call in world.calls:
        call.outcome(world.digests)


@then("every call gets its own whole answer")
async def _(world: World) -> None:
    await world.wait_for_calls()
    for call in world.calls:
        outcome = call.outcome(world.digests)
        assert outcome == WHOLE, f"{call.description}: {outcome}: {call.content[-300:]!r}"


@then('{count:d} more calls get the whole answer of version "{version}"')
async def _(world: World, count: int, version: str) -> None:
    calls = world.start_calls(count, 8)
    await world.wait_for_calls()
    for call in calls:
        assert call.outcome(world.digests) == WHOLE, f"{call.description}: {call.content[-300:]!r}"
        answered = call.matching_digest(world.digests)
        assert answered == world.manifests[version].digest, (
            f"{call.description}: answer of another version"
        )


@then("{count:d} more calls get a whole answer")
async def _(world: World, count: int) -> None:
    calls = world.start_calls(count, 8)
    await world.wait_for_calls()
    for call in calls:
        outcome = call.outcome(world.digests)
        assert outcome == WHOLE, f"{call.description}: {outcome}: {call.content[-300:]!r}"


@then("a refused call did not run")
async def _(world: World) -> None:
    await world.wait_for_calls()
    refused = [call for call in world.calls if call.outcome(world.digests) == NOT_RUN]
    for call in refused:
        # A repeated order shares its key with one that may have run.
        same = [c for c in world.calls if c is not call and c.execution_key == call.execution_key]
        ran = world.executions(call)
        assert same or not ran, f"{call.description} was refused as not_run and ran {ran} times"


@then("some calls were refused as not run")
async def _(world: World) -> None:
    await world.wait_for_calls()
    assert any(call.outcome(world.digests) == NOT_RUN for call in world.calls), (
        "no call was refused as not_run"
    )


@then("every order was refused as not run")
async def _(world: World) -> None:
    await world.wait_for_calls()
    for call in world.calls:
        if call.prompt is None:
            assert call.outcome(world.digests) == NOT_RUN, f"{call.description}: {call.content!r}"


@then("no order ran twice")
async def _(world: World) -> None:
    await world.wait_for_calls()
    for call in world.calls:
        if call.prompt is None:
            ran = world.executions(call)
            assert ran <= 1, f"{call.description} ran {ran} times"


@then("every answered order ran once")
async def _(world: World) -> None:
    await world.wait_for_calls()
    for call in world.calls:
        if call.prompt is None and call.outcome(world.digests) == WHOLE:
            assert world.executions(call) == 1, (
                f"{call.description} ran {world.executions(call)} times"
            )


@then("no order got two different answers")
async def _(world: World) -> None:
    await world.wait_for_calls()
    for key in {call.execution_key for call in world.calls if call.prompt is None}:
        answers = {c.content for c in world.calls if c.execution_key == key and c.status == 200}
        assert len(answers) <= 1, f"order {key} got {len(answers)} different answers"


@when('new calls no longer reach "{instance_id}"')
@then('new calls no longer reach "{instance_id}"')
async def _(world: World, instance_id: str) -> None:
    """Wait until 12 calls in a row go elsewhere; a delay of a few seconds is allowed."""
    instance_id = await world.resolve_instance(instance_id)
    for _ in range(100):
        before = world.executions_at(instance_id)
        world.start_calls(12, 2)
        await world.wait_for_calls()
        if world.executions_at(instance_id) == before:
            world.recorded_counts[instance_id] = before
            return
    raise AssertionError(f"{instance_id} still receives calls")


@then('{count:d} further calls don\'t reach "{instance_id}"')
async def _(world: World, count: int, instance_id: str) -> None:
    instance_id = await world.resolve_instance(instance_id)
    calls = world.start_calls(count, 2)
    await world.wait_for_calls()
    assert world.executions_at(instance_id) == world.recorded_counts[instance_id], (
        "a leaving instance ran a further call"
    )
    for call in calls:
        assert call.outcome(world.digests) == WHOLE, f"{call.description}: {call.content!r}"
