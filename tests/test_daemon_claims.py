"""Test idempotency claims of real routers under faults of the object API and endpoints."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest
from helpers import wait_until

from egretrouter.core.calls import ClaimLimits, key_digest, shard_of
from egretrouter.core.identifiers import WorkspaceId
from egretrouter.demo import Fleet, FleetOptions, read_parts
from egretrouter.standins import Outage, PlainServiceStandin

EXAMPLE = Path(__file__).parent.parent / "egretrouter" / "examples" / "sleevehost"
WAIT_SECONDS = 60.0
KEY = "order-1"


@pytest.fixture
async def orders() -> AsyncIterator["Orders"]:
    parts = read_parts(EXAMPLE)
    chosen = {name: part for name, part in parts.items() if part.kind != "model"}
    fleet = Fleet(chosen, options=FleetOptions(routers=3))
    await fleet.start()
    await fleet.publish()
    await fleet.wait_for_routes(["orders"], timeout_seconds=WAIT_SECONDS)
    async with aiohttp.ClientSession() as session:
        yield Orders(fleet, session)
    await fleet.stop()


class Orders:
    """Post orders through the routers of a fleet and count their executions."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.session = session
        self.routers = list(fleet.routers.values())
        self.workspace = fleet.deployment.workspaces[0].name

    async def post(
        self, router: int, body: bytes = b"{}", *, key: str = KEY
    ) -> tuple[int, bytes, str | None]:
        """Post an order; return status, content and Retry-After."""
        headers = {
            "Host": "orders.sleevehost.example",
            "Idempotency-Key": key,
            "X-Workspace": self.workspace,
            "Content-Type": "application/json",
        }
        url = f"http://127.0.0.1:{self.routers[router].callers_port}/print-orders/new"
        async with self.session.post(url, data=body, headers=headers) as response:
            return response.status, await response.read(), response.headers.get("Retry-After")

    async def post_until_settled(self, router: int) -> tuple[int, bytes, str | None]:
        """Repeat an order while the status is 409, waiting for Retry-After each time."""
        while True:
            result = await self.post(router)
            if result[0] != 409:
                return result
            await asyncio.sleep(float(result[2] or 1.0))

    def endpoints(self) -> list[PlainServiceStandin]:
        return [e for e in self.fleet.endpoints.values() if isinstance(e, PlainServiceStandin)]

    def running_endpoints(self) -> list[PlainServiceStandin]:
        return [e for e in self.endpoints() if e.executions[KEY]]

    def executions(self) -> int:
        return sum(endpoint.executions[KEY] for endpoint in self.endpoints())

    def shard(self, key: str = KEY) -> int:
        digest = key_digest(workspace=WorkspaceId(self.workspace), service="orders", key=key)
        return shard_of(digest, shards=ClaimLimits().shards)

    def stored_keys(self) -> list[str]:
        return list(self.fleet.object_api._objects)


def answer(body: bytes = b"{}") -> bytes:
    return PlainServiceStandin.expected_answer(
        KEY, method="POST", path="/print-orders/new", content=body
    )


def problem(content: bytes) -> tuple[str, str]:
    """Return the outcome and the name of a problem document."""
    values = json.loads(content)
    return values["outcome"], values["type"].removeprefix("urn:egretrouter:problem:")


class TestDaemonClaims:
    """Guard against a keyed call that runs twice, or gets a wrong answer or outcome."""

    async def test_a_repeat_through_another_router_gets_the_same_answer(
        self, orders: Orders
    ) -> None:
        """Guard against a finished claim that is not replayed, or not found by other routers."""
        for router in (0, 1, 2):
            assert (await orders.post(router))[:2] == (200, answer())
        assert orders.executions() == 1

    async def test_concurrent_repeats_run_once(self, orders: Orders) -> None:
        """Guard against two routers that race for a key and both send the call."""
        results = await asyncio.gather(*(orders.post(number % 3) for number in range(12)))
        assert {status for status, _, _ in results} <= {200, 409}
        assert all(content == answer() for status, content, _ in results if status == 200)
        assert orders.executions() == 1

    async def test_another_body_under_the_key_is_refused(self, orders: Orders) -> None:
        """Guard against a caller that gets the answer to another request."""
        assert (await orders.post(0))[:2] == (200, answer())
        status, content, _ = await orders.post(1, b'{"item": 2}')
        assert (status, problem(content)) == (422, ("not_run", "idempotency-key-reused"))
        assert orders.executions() == 1

    async def test_a_repeat_in_progress_is_refused(self, orders: Orders) -> None:
        """Guard against a repeat that runs during the first request or is reported as not_run."""
        for endpoint in orders.endpoints():
            endpoint.execution_seconds = 0.5
        first = asyncio.create_task(orders.post(0))
        await wait_until(lambda: orders.executions() == 1)
        status, content, retry_after = await orders.post(1)
        assert (status, retry_after) == (409, "1")
        assert problem(content) == ("unknown", "idempotency-key-in-progress")
        assert (await first)[:2] == (200, answer())
        assert orders.executions() == 1

    @pytest.mark.parametrize("outage", list(Outage))
    async def test_keyed_calls_are_refused_during_a_store_outage(
        self, orders: Orders, outage: Outage
    ) -> None:
        """Guard against a call that is sent without a claim or reported as unknown."""
        orders.fleet.object_api.outage = outage
        status, content, _ = await orders.post(0)
        assert (status, problem(content)) == (503, ("not_run", "claim-not-recorded"))
        assert orders.executions() == 0

    async def test_a_claim_is_read_back_after_a_lost_reply_of_the_store(
        self, orders: Orders
    ) -> None:
        """Guard against a stored claim whose lost reply makes its own call fail or run twice."""
        orders.fleet.object_api.lose_answers = 1
        assert (await orders.post(0))[:2] == (200, answer())
        assert orders.fleet.object_api.lose_answers == 0
        assert orders.executions() == 1

    async def test_a_call_whose_agent_died_does_not_run_again(self, orders: Orders) -> None:
        """Guard against a call that may have run being sent to another agent."""
        for endpoint in orders.endpoints():
            endpoint.execution_seconds = 30.0
        first = asyncio.create_task(orders.post(0))
        await wait_until(lambda: orders.executions() == 1)
        (ran_on,) = [
            n for n, e in orders.fleet.endpoints.items() if e in orders.running_endpoints()
        ]
        await orders.fleet.agents[ran_on].stop()
        status, content, _ = await first
        assert (status, problem(content)[0]) == (502, "unknown")
        status, content, _ = await orders.post(1)
        assert (status, problem(content)) == (502, ("unknown", "claim-unsettled"))
        assert orders.executions() == 1

    async def test_a_repeat_gets_the_answer_after_its_router_died(self, orders: Orders) -> None:
        """Guard against losing an answer that the agent keeps after the claiming router dies."""
        for endpoint in orders.endpoints():
            endpoint.execution_seconds = 0.5
        first = asyncio.create_task(orders.post(0))
        await wait_until(lambda: orders.executions() == 1)
        # A killed process writes nothing more, so its claim stays pending.
        await orders.routers[0].claims.stop()
        first.cancel()
        await orders.routers[0].stop()
        orders.fleet.instance_list.remove(orders.routers[0].settings.instance_id)
        status, content, _ = await orders.post_until_settled(1)
        assert (status, content) == (200, answer())
        assert orders.executions() == 1

    async def test_a_reset_after_the_run_is_unknown(self, orders: Orders) -> None:
        """Guard against running a call again after the endpoint resets the connection."""
        for endpoint in orders.endpoints():
            endpoint.reset_after = 1
        for router in (0, 1):
            status, content, _ = await orders.post(router)
            assert (status, problem(content)[0]) == (502, "unknown")
        assert orders.executions() == 1

    async def test_a_large_answer_gets_an_object(self, orders: Orders) -> None:
        """Guard against an answer too large for its shard that is lost or replaced by another."""
        large = b"x" * 5000
        for endpoint in orders.endpoints():
            endpoint.expected_answer = lambda *_, **__: large  # type: ignore[method-assign]
        assert (await orders.post(0))[:2] == (200, large)
        assert (await orders.post_until_settled(1))[:2] == (200, large)
        assert orders.executions() == 1
        (key,) = [k for k in orders.stored_keys() if k.startswith("claims/answers/")]
        await orders.fleet.object_api.write(key, b"other")
        status, content, _ = await orders.post(2)
        assert (status, problem(content)) == (502, ("unknown", "answer-not-kept"))

    async def test_the_answer_of_an_expired_claim_is_deleted(self, orders: Orders) -> None:
        """Guard against objects of large answers that accumulate in the store."""
        for endpoint in orders.endpoints():
            endpoint.expected_answer = lambda *_, **__: b"x" * 5000  # type: ignore[method-assign]
        await orders.post(0)
        await wait_until(lambda: any("answers" in key for key in orders.stored_keys()))
        names = (f"other-{number}" for number in range(10_000))
        other = next(name for name in names if orders.shard(name) == orders.shard())
        for router in orders.routers:
            router.claims._clock = lambda: time.time() + 3600.0
        for endpoint in orders.endpoints():
            endpoint.expected_answer = lambda *_, **__: b"x"  # type: ignore[method-assign]
        assert (await orders.post(1, key=other))[0] == 200
        await wait_until(lambda: not any("answers" in key for key in orders.stored_keys()))

    async def test_a_malformed_shard_is_not_overwritten(self, orders: Orders) -> None:
        """Guard against overwriting unreadable claims, which lets their calls run again."""
        name = f"claims/{orders.shard()}"
        await orders.fleet.object_api.write(name, b"malformed")
        for _ in range(2):
            status, content, _ = await orders.post(0)
            assert (status, problem(content)) == (503, ("not_run", "claim-not-recorded"))
        assert orders.fleet.object_api.content(name) == b"malformed"
        assert orders.executions() == 0

    async def test_a_write_above_the_rate_is_retried(self, orders: Orders) -> None:
        """Guard against refusing a burst of keys above the store's write rate."""
        store = orders.fleet.object_api
        store.write_rate.per_second = 1.0
        before = store.calls["put"]
        burst = asyncio.gather(
            *(orders.post(number % 3, key=f"burst-{number}") for number in range(10))
        )
        # The store accepts one write, so it refused at least two of these three.
        await wait_until(lambda: store.calls["put"] >= before + 3)
        store.write_rate.per_second = None
        results = await burst
        assert {status for status, _, _ in results} == {200}
        assert sum(e.executions.total() for e in orders.endpoints()) == 10

    async def test_a_stopped_owner_is_skipped(self, orders: Orders) -> None:
        """Guard against keyed calls that depend on the router that owns the key's shard."""
        claims = [router.claims for router in orders.routers]
        shard = orders.shard()
        await wait_until(lambda: sum(c.routers.find_owner(shard) is None for c in claims) == 1)
        (owner,) = [n for n, c in enumerate(claims) if c.routers.find_owner(shard) is None]
        await orders.routers[owner].stop()
        others = [number for number in range(3) if number != owner]
        for number in others:
            assert (await orders.post(number))[:2] == (200, answer())
        assert orders.executions() == 1
        assert all(claims[number].forwarded_total for number in others)


class TestRestoredStore:
    """Guard against an order that runs twice because the store lost its claim."""

    async def test_an_order_whose_claim_the_store_lost_runs_once(self, orders: Orders) -> None:
        await asyncio.sleep(1.0)
        started_seconds = time.monotonic()
        assert (await orders.post(0))[:2] == (200, answer())
        await orders.fleet.object_api.restore(seconds=time.monotonic() - started_seconds)
        assert not any(key.startswith("claims/") for key in orders.stored_keys())
        results = [(await orders.post(router))[:2] for router in (1, 2, 0)]
        assert orders.executions() == 1
        assert (200, answer()) in results
        assert {status for status, _ in results} <= {200, 409, 503}

    async def test_a_router_learns_when_a_restore_was_noticed(self, orders: Orders) -> None:
        """Guard against keyed calls refused by each router that starts, long after a restore."""
        api = orders.fleet.object_api
        await api.restore(seconds=0.0)
        noticed_at_seconds = time.time() - 1000.0
        await api.write("claims/eras/2", json.dumps(noticed_at_seconds).encode())
        assert (await orders.post(0))[0] == 503
        async with asyncio.timeout(WAIT_SECONDS):
            while (await orders.post(0))[0] == 503:  # noqa: ASYNC110
                await asyncio.sleep(0.5)
        held_seconds = orders.routers[0].claims.limits.restore_hold_seconds
        assert time.time() - noticed_at_seconds < 1000.0 + held_seconds
        assert orders.executions() == 1

    @pytest.mark.known_red
    async def test_an_order_whose_claim_nobody_knows_any_more_does_not_run_again(
        self, orders: Orders
    ) -> None:
        """Guard against a claim that was lost with the store and with all routers that knew it."""
        api = orders.fleet.object_api
        await asyncio.sleep(1.0)
        started_seconds = time.monotonic()
        assert (await orders.post(0))[:2] == (200, answer())
        for name in list(orders.fleet.routers):
            await orders.fleet.kill_router(name)
        await api.restore(seconds=time.monotonic() - started_seconds)
        # As if the repeat came after the time in which no claim is granted.
        await api.write("claims/eras/2", json.dumps(time.time() - 1000.0).encode())
        zone = orders.fleet.deployment.zones[0].name
        orders.routers = [await orders.fleet.start_router("entry-new", zone=zone)]
        await orders.fleet.wait_for_routes(["orders"], timeout_seconds=WAIT_SECONDS)
        async with asyncio.timeout(WAIT_SECONDS):
            while (await orders.post(0))[0] == 503:  # noqa: ASYNC110
                await asyncio.sleep(0.5)
        assert orders.executions() == 1
