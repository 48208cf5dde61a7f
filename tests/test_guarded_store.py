"""Test the wrapper that limits store calls and handles the store's outages."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import aclosing

import pytest

from egretrouter.backends import StoredObject
from egretrouter.backends._guarded_store import (
    GuardedStore,
    StoreBudget,
    StoreBudgetError,
    StoreBudgets,
    StoreCircuitOpenError,
    StorePolicy,
    StorePurpose,
)
from egretrouter.core.errors import (
    BackendUnavailableError,
    LostAnswerError,
    ObjectMissingError,
    RateLimitedError,
    VersionConflictError,
)
from egretrouter.core.limits import CircuitBreaker, CircuitState, TokenBucket

KEY = "configuration/index"
HANG = object()


def stored_object(version: int) -> StoredObject:
    return StoredObject(key=KEY, content=str(version).encode(), version=version)


class FakeStore:
    """Answer from a script: raise its exceptions, and never answer for HANG."""

    def __init__(self, *script: object) -> None:
        self.script = list(script)
        self.calls: list[str] = []

    async def _next(self, call: str) -> object:
        self.calls.append(call)
        step = self.script.pop(0) if self.script else HANG
        if step is HANG:
            await asyncio.Event().wait()
        if isinstance(step, Exception):
            raise step
        return step

    async def get(self, key: str) -> StoredObject:
        return await self._next("get")  # type: ignore[return-value]

    async def put(self, key: str, content: bytes, *, expected_version: int | None = None) -> int:
        return await self._next("put")  # type: ignore[return-value]

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        await self._next("delete")

    async def list(self, prefix: str) -> list[StoredObject]:
        return await self._next("list")  # type: ignore[return-value]

    async def watch(self, key: str, *, after_version: int) -> AsyncIterator[StoredObject]:
        while True:
            yield await self._next(f"watch>{after_version}")  # type: ignore[misc]


class Harness:
    """Provide a guarded store with a clock that advances only when it sleeps."""

    def __init__(self, *script: object, burst: float = 100.0) -> None:
        self.now = 0.0
        self.sleeps: list[float] = []
        self.store = FakeStore(*script)
        budget = StoreBudget(calls_per_second=1.0, burst=burst)
        self.budgets = StoreBudgets(
            budgets=dict.fromkeys(StorePurpose, budget),
            clock=lambda: self.now,
            rng=random.Random(0),
        )
        self.guarded = GuardedStore(
            self.store,
            purpose=StorePurpose.CONFIGURATION,
            budgets=self.budgets,
            rng=random.Random(0),
            policy=StorePolicy(timeout_seconds=0.01, watch_timeout_seconds=0.01),
            sleep=self.sleep,
        )

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        self.sleeps.append(seconds)

    async def versions(self, count: int, *, after: int = 0) -> list[int]:
        received: list[int] = []
        async with aclosing(self.guarded.watch(KEY, after_version=after)) as watch:  # type: ignore[type-var]
            async for value in watch:
                received.append(value.version)
                if len(received) == count:
                    break
        return received


class TestGuardedStore:
    """Guard against bursts of calls, duplicate writes and missed versions."""

    async def test_retries_reads_after_outages_with_growing_waits(self) -> None:
        harness = Harness(BackendUnavailableError("down"), HANG, stored_object(3))
        assert (await harness.guarded.get(KEY)).version == 3
        assert harness.sleeps[0] < harness.sleeps[1]

    async def test_waits_for_the_delay_of_a_rate_limit(self) -> None:
        harness = Harness(RateLimitedError("429", retry_after_seconds=7.0), stored_object(1))
        await harness.guarded.get(KEY)
        assert harness.sleeps == [7.0]

    async def test_a_write_without_an_answer_is_lost_and_not_repeated(self) -> None:
        harness = Harness(HANG)
        with pytest.raises(LostAnswerError):
            await harness.guarded.put(KEY, b"x", expected_version=1)
        assert harness.store.calls == ["put"]

    async def test_a_refused_write_is_not_lost(self) -> None:
        conflict = VersionConflictError(KEY, expected_version=1, actual_version=2)
        harness = Harness(conflict, BackendUnavailableError("refused"))
        with pytest.raises(VersionConflictError):
            await harness.guarded.put(KEY, b"x", expected_version=1)
        with pytest.raises(BackendUnavailableError, match="refused"):
            await harness.guarded.put(KEY, b"x", expected_version=1)

    async def test_spends_no_more_than_the_budget(self) -> None:
        harness = Harness(stored_object(1), stored_object(1), stored_object(1), burst=2.0)
        await harness.guarded.get(KEY)
        await harness.guarded.get(KEY)
        with pytest.raises(StoreBudgetError, match="'configuration'"):
            await harness.guarded.get(KEY)
        harness.now += 1.0
        await harness.guarded.get(KEY)
        assert harness.budgets.snapshot()["calls"]["configuration"] == 3

    async def test_breaker_opens_after_failures_and_closes_after_one_trial(self) -> None:
        harness = Harness(*[BackendUnavailableError("down")] * 5, stored_object(1))
        for _ in range(2):
            with pytest.raises(BackendUnavailableError):
                await harness.guarded.get(KEY)
        with pytest.raises(StoreCircuitOpenError):
            await harness.guarded.get(KEY)
        assert len(harness.store.calls) == 5
        harness.now += 10.0
        await harness.guarded.get(KEY)
        assert harness.budgets.breaker.state is CircuitState.CLOSED

    async def test_a_missing_object_is_an_answer(self) -> None:
        harness = Harness(*[ObjectMissingError("no index")] * 9)
        for _ in range(9):
            with pytest.raises(ObjectMissingError):
                await harness.guarded.get(KEY)
        assert harness.sleeps == []

    async def test_a_watch_reads_missed_versions_after_a_break(self) -> None:
        broken = BackendUnavailableError("watch broken")
        harness = Harness(
            stored_object(1), stored_object(2), broken, stored_object(5), stored_object(6)
        )
        assert await harness.versions(4) == [1, 2, 5, 6]
        assert harness.store.calls == ["get", "watch>1", "watch>1", "get", "watch>5"]

    async def test_a_watch_without_values_is_reopened(self) -> None:
        harness = Harness(ObjectMissingError("none"), HANG, stored_object(2))
        assert await harness.versions(1) == [2]
        assert harness.store.calls == ["get", "watch>0", "get"]

    async def test_a_watch_never_yields_older_versions(self) -> None:
        harness = Harness(stored_object(4), stored_object(3), stored_object(4), stored_object(5))
        assert await harness.versions(1, after=4) == [5]

    async def test_a_watch_backs_off_through_a_long_outage(self) -> None:
        harness = Harness(*[BackendUnavailableError("down")] * 12, stored_object(1))
        assert await harness.versions(1) == [1]
        assert len(harness.store.calls) == 13
        assert harness.now > 60


class TestRateLimit:
    """Guard against treating a rate limit as an outage."""

    async def test_many_refusals_do_not_open_the_breaker(self) -> None:
        refusals = [RateLimitedError("slow down", retry_after_seconds=0.1) for _ in range(20)]
        harness = Harness(*refusals, 7)
        for _ in refusals:
            with pytest.raises(RateLimitedError):
                await harness.guarded.put(KEY, b"", expected_version=6)
        assert await harness.guarded.put(KEY, b"", expected_version=6) == 7


class TestLimits:
    """Guard against limits that admit too many calls or never recover."""

    def test_token_bucket_refills_up_to_its_burst(self) -> None:
        bucket = TokenBucket(rate_per_second=2.0, burst=4.0, now_seconds=0.0)
        assert [bucket.take(now_seconds=0.0) for _ in range(5)] == [True] * 4 + [False]
        assert bucket.wait_seconds(now_seconds=0.0) == 0.5
        assert bucket.take(now_seconds=0.5)
        assert not bucket.take(5.0, now_seconds=1000.0)
        assert bucket.take(4.0, now_seconds=1000.0)

    def test_breaker_allows_trials_at_growing_intervals(self) -> None:
        for seed in range(20):
            breaker = CircuitBreaker(random.Random(seed), failures_to_open=1, open_seconds=1.0)
            breaker.record_failure(now_seconds=0.0)
            assert not breaker.allow(now_seconds=0.49)
            assert breaker.allow(now_seconds=1.0)
            assert not breaker.allow(now_seconds=1.0)
            breaker.record_failure(now_seconds=1.0)
            assert not breaker.allow(now_seconds=1.99)
            assert breaker.allow(now_seconds=3.0)
