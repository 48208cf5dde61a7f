"""Test which endpoints processes use after outages of the store."""

import asyncio
import itertools
import math
import os
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from egretrouter.backends import StateKind
from egretrouter.core.direct import StoreOutages
from egretrouter.core.direct._store_outages import LAPSE_GRACE_SECONDS
from egretrouter.core.identifiers import ServiceName
from tests.shared_state_world import Outage, SharedStateWorld, build_table
from tests.virtual_network import VirtualLoop, run_virtual

FIRST_SEED = int(os.environ.get("STORE_OUTAGES_FIRST_SEED", "1"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("STORE_OUTAGES_SEEDS", "2")))
ENDPOINTS = ("e-1", "e-2", "e-3", "e-4")
RENEWAL_SECONDS = 1.0
SETTLE_SECONDS = 6.0
OUTAGE_SECONDS = 4.5
CALM_SECONDS = 11.0
CUT_SECONDS = 8.0
DRAIN_SECONDS = 2.0
"""An endpoint gets no calls any more this long after its entry was removed."""
STABLE_SECONDS = 3.0
"""A removal this long after an outage is no longer excused by it."""
RENEWED_SECONDS = 1.8
"""An entry that expired in an outage may be back this long after it."""
LOSS_AFTER_FAILURE_SECONDS = 0.5
FETCH_SECONDS = 0.2
STEP_SECONDS = 0.02
LONGEST_USE_STEPS = 1000
# The processes that list stand in for lost ones after up to 2.6 s, of which this part is over.
LEAVES_AFTER_LOSS_SECONDS = 0.8


class EndpointFleet:
    """Run the shared state of a fleet whose endpoints renew their registrations."""

    def __init__(self, loop: VirtualLoop, monkeypatch: pytest.MonkeyPatch, *, seed: int) -> None:
        kinds = (StateKind.CONFIGURATION, StateKind.ENDPOINTS, StateKind.WEIGHTS)
        self.loop = loop
        self.world = SharedStateWorld(loop, monkeypatch, seed=seed, kinds=kinds)
        self.registered = set(ENDPOINTS)
        self.rng = random.Random(seed)

    async def start(self, *, zones: int, routers: int) -> None:
        self.world.store.publish(build_table(1, routes=10))
        self.world.store.name_version(1)
        for name in ENDPOINTS:
            self.world.store.register(name)
        await self.world.start(zones=zones, routers=routers, agents=1)
        self.renewals = asyncio.create_task(self._renew())
        await asyncio.sleep(SETTLE_SECONDS + self.rng.random())

    async def _renew(self) -> None:
        """Renew the entry of one endpoint after the other."""
        for name in itertools.cycle(ENDPOINTS):
            await asyncio.sleep(RENEWAL_SECONDS / len(ENDPOINTS))
            if name in self.registered and self.world.store.outage is None:
                self.world.store.register(name)

    def remove(self, name: str) -> None:
        """Let an endpoint leave, or its entry expire."""
        self.registered.discard(name)
        self.world.store.deregister(name)

    def renew(self, name: str) -> None:
        """Let an endpoint register again whose entry had expired."""
        self.registered.add(name)
        self.world.store.register(name)

    async def fail_store(self, outage: Outage, *, seconds: float = OUTAGE_SECONDS) -> None:
        self.world.store.fail(outage)
        await asyncio.sleep(seconds)
        self.world.store.recover()

    def lose_first(self, zone: int, count: int) -> None:
        """Lose the routers of a zone that rank first."""
        prefix = f"10.{zone}."
        self.world.lose([r for r in self.world.routers if r.startswith(prefix)][:count])

    def users(self, name: str) -> list[str]:
        """Return the routers that send calls to an endpoint."""
        return [
            router
            for router in self.world.routers
            if any(
                endpoint.endpoint_id == name
                for endpoint in self.world.states[router].directory.ready_endpoints(
                    ServiceName("engines")
                )
            )
        ]

    async def seconds_until_unused(self, name: str) -> float:
        """Return how long any router goes on to use an endpoint."""
        began_seconds = self.loop.time()
        for _ in range(LONGEST_USE_STEPS):
            if not self.users(name):
                break
            await asyncio.sleep(STEP_SECONDS)
        return self.loop.time() - began_seconds

    async def fewest_users(self, *, seconds: float) -> int:
        """Return the fewest routers that use any of the endpoints for some time."""
        fewest = len(self.world.routers)
        for _ in range(round(seconds / STEP_SECONDS)):
            fewest = min([fewest, *(len(self.users(name)) for name in ENDPOINTS)])
            await asyncio.sleep(STEP_SECONDS)
        return fewest


@asynccontextmanager
async def running_fleet(
    loop: VirtualLoop,
    monkeypatch: pytest.MonkeyPatch,
    *,
    seed: int,
    zones: int = 1,
    routers: int = 9,
) -> AsyncIterator[EndpointFleet]:
    fleet = EndpointFleet(loop, monkeypatch, seed=seed)
    await fleet.start(zones=zones, routers=routers)
    yield fleet
    fleet.renewals.cancel()


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("outage", Outage)
class TestEndpointsAfterOutages:
    """Guard against endpoints that are kept long after an outage, or dropped just after it."""

    @pytest.mark.parametrize("lost", [0, 1, 4])
    def test_endpoint_that_leaves_is_kept_for_an_outage_long_ago(
        self, monkeypatch: pytest.MonkeyPatch, outage: Outage, seed: int, lost: int
    ) -> None:
        """Routers that failed to list in an outage kept an endpoint that left 11 s after it."""

        async def main(loop: VirtualLoop) -> float:
            async with running_fleet(loop, monkeypatch, seed=seed) as fleet:
                await fleet.fail_store(outage)
                await asyncio.sleep(CALM_SECONDS)
                fleet.lose_first(0, lost)
                await asyncio.sleep(LEAVES_AFTER_LOSS_SECONDS)
                fleet.remove("e-4")
                return await fleet.seconds_until_unused("e-4")

        assert run_virtual(main) <= DRAIN_SECONDS

    @pytest.mark.parametrize("lost", [0, 4, 8])
    def test_endpoint_that_renews_after_an_outage_is_dropped(
        self, monkeypatch: pytest.MonkeyPatch, outage: Outage, seed: int, lost: int
    ) -> None:
        """Also if the process that lists first after the outage met no failure in it."""

        async def main(loop: VirtualLoop) -> tuple[int, int]:
            async with running_fleet(loop, monkeypatch, seed=seed, zones=2, routers=12) as fleet:
                fleet.world.store.fail(outage)
                await asyncio.sleep(LOSS_AFTER_FAILURE_SECONDS)
                fleet.lose_first(0, lost)
                await asyncio.sleep(OUTAGE_SECONDS - LOSS_AFTER_FAILURE_SECONDS)
                for name in ENDPOINTS:
                    fleet.remove(name)
                fleet.world.store.recover()
                expired = await fleet.fewest_users(seconds=RENEWED_SECONDS)
                for name in ENDPOINTS:
                    fleet.renew(name)
                renewed = await fleet.fewest_users(seconds=4.0)
                return min(expired, renewed), len(fleet.world.routers)

        users, routers = run_virtual(main)
        assert users == routers

    def test_endpoint_that_never_renews_is_kept(
        self, monkeypatch: pytest.MonkeyPatch, outage: Outage, seed: int
    ) -> None:
        """Each process that heard of the grace from another one began a grace of its own."""

        async def main(loop: VirtualLoop) -> float:
            async with running_fleet(loop, monkeypatch, seed=seed, zones=3, routers=6) as fleet:
                fleet.world.store.fail(outage)
                await asyncio.sleep(OUTAGE_SECONDS)
                fleet.remove("e-4")
                fleet.world.store.recover()
                return await fleet.seconds_until_unused("e-4")

        assert run_virtual(main) <= STABLE_SECONDS + DRAIN_SECONDS


@pytest.mark.parametrize("seed", SEEDS)
class TestEndpointsAfterCuts:
    """Guard against processes that take a cut of their own for an outage of the store."""

    def test_endpoint_that_left_is_kept_after_a_cut_of_one_router(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ) -> None:
        async def main(loop: VirtualLoop) -> float:
            async with running_fleet(loop, monkeypatch, seed=seed, zones=2, routers=6) as fleet:
                router = fleet.world.routers[seed % 6]
                fleet.world.network.lost.add(router)
                await asyncio.sleep(CUT_SECONDS / 2)
                fleet.remove("e-4")
                await asyncio.sleep(CUT_SECONDS / 2)
                fleet.world.network.lost.remove(router)
                return await fleet.seconds_until_unused("e-4")

        assert run_virtual(main) <= STABLE_SECONDS

    def test_endpoint_that_left_is_kept_after_a_cut_of_a_zone(
        self, monkeypatch: pytest.MonkeyPatch, seed: int
    ) -> None:
        async def main(loop: VirtualLoop) -> float:
            async with running_fleet(loop, monkeypatch, seed=seed, zones=3, routers=6) as fleet:
                fleet.world.network.cut_regions.add("r1")
                await asyncio.sleep(CUT_SECONDS / 2)
                fleet.remove("e-4")
                await asyncio.sleep(CUT_SECONDS / 2)
                fleet.world.network.cut_regions.clear()
                return await fleet.seconds_until_unused("e-4")

        assert run_virtual(main) <= STABLE_SECONDS


def outages(*, answered: float = 0.0) -> StoreOutages:
    """Return what a process knows that heard of an answer of the store at some time."""
    known = StoreOutages(renewal_interval_seconds=RENEWAL_SECONDS)
    known.record_answer(asked_seconds=answered, heard_seconds=answered)
    return known


class TestStoreOutages:
    """Guard against a grace that a process gives itself, and one that ends before the renewals."""

    def test_failure_of_long_ago_gives_grace_when_the_process_lists_again(self) -> None:
        known = outages()
        known.record_failure(asked_seconds=1.0, failed_seconds=1.0)
        for second in range(5, 16):
            # Another process lists since the outage is over.
            known.record_answer(asked_seconds=second, heard_seconds=second + 0.1)
        known.record_answer(asked_seconds=18.5, heard_seconds=18.5)
        assert known.grace_left_seconds(now_seconds=18.5) == 0.0

    def test_grace_is_counted_from_when_a_process_lists(self) -> None:
        known = outages()
        known.record_failure(asked_seconds=1.0, failed_seconds=1.0)
        known.record_answer(asked_seconds=5.0, heard_seconds=5.5)
        known.record_answer(asked_seconds=6.5, heard_seconds=6.5)
        assert known.grace_left_seconds(now_seconds=6.5) == 5.5 + LAPSE_GRACE_SECONDS - 6.5

    def test_news_that_comes_late_moves_the_end_of_the_outage(self) -> None:
        known = outages()
        known.record_failure(asked_seconds=1.0, failed_seconds=1.0)
        known.record_answer(asked_seconds=5.0, heard_seconds=11.0)
        assert known.grace_left_seconds(now_seconds=11.0) == 0.0

    def test_loss_of_the_processes_that_list_counts_as_an_outage(self) -> None:
        known = outages()
        known.record_answer(asked_seconds=4.0, heard_seconds=4.0)
        assert known.grace_left_seconds(now_seconds=4.0) == 0.0

    def test_store_that_rejects_one_process_counts_as_an_outage(self) -> None:
        known = outages()
        for second in range(1, 12):
            known.record_failure(asked_seconds=second, failed_seconds=second + 0.1)
            known.record_answer(asked_seconds=second + 0.5, heard_seconds=second + 0.6)
        assert known.grace_left_seconds(now_seconds=11.6) == 0.0

    def test_failure_that_is_known_after_the_outage_is_no_evidence(self) -> None:
        known = outages()
        known.record_answer(asked_seconds=5.0, heard_seconds=5.1)
        known.record_failure(asked_seconds=4.0, failed_seconds=5.5)
        left_seconds = known.grace_left_seconds(now_seconds=5.5)
        assert left_seconds == pytest.approx(LAPSE_GRACE_SECONDS - 0.4)

    def test_failure_after_a_loss_of_processes_is_evidence(self) -> None:
        known = outages()
        known.record_answer(asked_seconds=4.0, heard_seconds=4.0)
        known.record_failure(asked_seconds=4.5, failed_seconds=4.6)
        known.record_answer(asked_seconds=5.0, heard_seconds=5.0)
        assert known.grace_left_seconds(now_seconds=5.0) == 0.0

    def test_peer_that_knows_no_answer_ends_an_outage(self) -> None:
        known = StoreOutages(renewal_interval_seconds=RENEWAL_SECONDS)
        known.record_failure(asked_seconds=1.0, failed_seconds=1.0)
        assert not known.record_answer(asked_seconds=-math.inf, heard_seconds=2.0)

    def test_grace_that_is_passed_on_begins_anew(self) -> None:
        """Each process that fetched the state of one in its grace began a grace of its own."""
        now, left = 100.0, LAPSE_GRACE_SECONDS
        for _ in range(20):
            peer = outages(answered=now)
            now += FETCH_SECONDS
            peer.extend_grace(left - FETCH_SECONDS, now_seconds=now)
            left = peer.grace_left_seconds(now_seconds=now)
        assert left == 0.0

    @pytest.mark.parametrize("left", [math.nan, math.inf, -math.inf, -1.0, 1e300])
    def test_impossible_grace_of_a_peer_is_taken(self, left: float) -> None:
        known = outages()
        known.extend_grace(left, now_seconds=5.0)
        assert 0.0 <= known.grace_left_seconds(now_seconds=5.0) <= LAPSE_GRACE_SECONDS
        assert known.grace_left_seconds(now_seconds=5.0 + LAPSE_GRACE_SECONDS) == 0.0

    def test_grace_depends_on_the_order_of_the_news(self) -> None:
        """In each order of one outage's news the same is known of its end, as soon as all came."""
        answers = [(0.5, 0.6), (5.0, 5.2), (5.6, 5.7)]
        failures = [(1.0, 2.5), (4.8, 6.0)]
        ends = set()
        for first in range(2):
            known = outages()
            news = [(heard, True, asked) for asked, heard in answers]
            news += [(failed, False, asked) for asked, failed in failures[first:]]
            for at, is_answer, asked in sorted(news):
                if is_answer:
                    known.record_answer(asked_seconds=asked, heard_seconds=at)
                else:
                    known.record_failure(asked_seconds=asked, failed_seconds=at)
            ends.add(round(6.0 + known.grace_left_seconds(now_seconds=6.0), 6))
        assert ends == {round(5.2 + LAPSE_GRACE_SECONDS, 6)}
