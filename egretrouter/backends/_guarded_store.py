"""Limit the rate of calls to the object API and handle its outages."""

import asyncio
import random
import time
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Mapping
from enum import Enum
from typing import Any, TypeVar

import msgspec

from egretrouter.backends._ports import ObjectStore, StoredObject
from egretrouter.core.errors import (
    BackendUnavailableError,
    LostAnswerError,
    ObjectMissingError,
    RateLimitedError,
)
from egretrouter.core.limits import CircuitBreaker, TokenBucket

Result = TypeVar("Result")


class StorePurpose(Enum):
    """List the purposes of calls to the store; each purpose has its own budget."""

    CONFIGURATION = "configuration"
    FENCING = "fencing"
    CLAIMS = "claims"
    PUBLISH = "publish"
    STATUS = "status"


class StoreBudget(msgspec.Struct, frozen=True, kw_only=True):
    """Define the rate limit of one process for the calls of one purpose."""

    calls_per_second: float
    burst: float


DEFAULT_BUDGETS: Mapping[StorePurpose, StoreBudget] = {
    StorePurpose.CONFIGURATION: StoreBudget(calls_per_second=1.0, burst=20.0),
    StorePurpose.FENCING: StoreBudget(calls_per_second=1.0, burst=10.0),
    # Upper bound for a router in a small deployment: the write rate of each router decreases with
    # the number of routers, to 20 per second with 15 routers. Conflicts and repeated keys cause
    # reads, at most one per write.
    StorePurpose.CLAIMS: StoreBudget(calls_per_second=120.0, burst=120.0),
    StorePurpose.PUBLISH: StoreBudget(calls_per_second=20.0, burst=100.0),
    StorePurpose.STATUS: StoreBudget(calls_per_second=0.2, burst=2.0),
}


class StorePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Define the timeouts and retries of calls to the store."""

    timeout_seconds: float = 2.0
    attempts: int = 3
    first_backoff_seconds: float = 0.1
    longest_backoff_seconds: float = 5.0
    watch_timeout_seconds: float = 60.0
    """A watch that yields nothing for this long is reopened, since it may be broken."""

    longest_watch_backoff_seconds: float = 15.0


class StoreBudgetError(BackendUnavailableError):
    """The process has used up its budget of calls for a purpose."""


class StoreCircuitOpenError(BackendUnavailableError):
    """Calls are rejected because the store failed several times in a row."""


class StoreBudgets:
    """Share token buckets and a circuit breaker between the GuardedStore objects of a process."""

    def __init__(
        self,
        *,
        rng: random.Random,
        budgets: Mapping[StorePurpose, StoreBudget] = DEFAULT_BUDGETS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with full buckets."""
        self.clock = clock
        self.breaker = CircuitBreaker(rng)
        self.calls = dict.fromkeys(budgets, 0)
        self._buckets = {
            purpose: TokenBucket(
                rate_per_second=budget.calls_per_second, burst=budget.burst, now_seconds=clock()
            )
            for purpose, budget in budgets.items()
        }

    def admit(self, purpose: StorePurpose) -> None:
        """Take one call from the budget and count it.

        Raises StoreCircuitOpenError or StoreBudgetError.
        """
        now = self.clock()
        # The budget is checked first: a trial call that the breaker allows but the budget rejects
        # would leave the breaker half open.
        if not self._buckets[purpose].take(now_seconds=now):
            raise StoreBudgetError(f"the budget of store calls for {purpose.value!r} is used up")
        if not self.breaker.allow(now_seconds=now):
            raise StoreCircuitOpenError(
                "the circuit breaker rejects calls to the store after failures"
            )
        self.calls[purpose] += 1

    def snapshot(self) -> dict[str, Any]:
        """Return the values of the state dump."""
        return {
            "breaker": self.breaker.state.value,
            "calls": {purpose.value: count for purpose, count in self.calls.items()},
        }


class GuardedStore:
    """Wrap an ObjectStore for one purpose, with a budget, timeouts, retries and a breaker."""

    def __init__(
        self,
        store: ObjectStore,
        *,
        purpose: StorePurpose,
        budgets: StoreBudgets,
        rng: random.Random,
        policy: StorePolicy | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Wrap a store; sleep is replaced in tests."""
        self._store = store
        self._purpose = purpose
        self._budgets = budgets
        self._rng = rng
        self._policy = policy or StorePolicy()
        self._sleep = sleep

    @property
    def era(self) -> int:
        """Return the latest era that the store told, 0 if it told none."""
        return self._store.era

    async def get(self, key: str) -> StoredObject:
        """Read one object, with retries within the budget.

        Raises ObjectMissingError or BackendUnavailableError.
        """
        return await self._call_with_retries(lambda: self._store.get(key))

    async def list(self, prefix: str) -> "list[StoredObject]":
        """Read all objects whose keys start with a prefix, with retries within the budget.

        Raises BackendUnavailableError.
        """
        return await self._call_with_retries(lambda: self._store.list(prefix))

    async def put(self, key: str, content: bytes, *, expected_version: int | None = None) -> int:
        """Write one object without retries.

        Raises VersionConflictError, RateLimitedError or BackendUnavailableError, and
        LostAnswerError if the write may have taken effect. Only the caller can find out, by
        reading the object, so the write is never repeated here.
        """
        return await self._write_once(
            lambda: self._store.put(key, content, expected_version=expected_version)
        )

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete one object without retries.

        Raises the errors of put.
        """
        await self._write_once(lambda: self._store.delete(key, expected_version=expected_version))

    async def watch(self, key: str, *, after_version: int) -> AsyncIterator[StoredObject]:
        """Yield each newer version indefinitely.

        An outage raises no error: the watch backs off, and reads the object before it resumes.
        """
        last_version = after_version
        failures = 0
        while True:
            try:
                current = await self._read_or_none(key)
                if current is not None and current.version > last_version:
                    last_version = current.version
                    yield current
                self._budgets.admit(self._purpose)
                watch = self._store.watch(key, after_version=last_version)
                try:
                    while (value := await self._next_or_none(watch)) is not None:
                        failures = 0
                        self._budgets.breaker.record_success()
                        if value.version > last_version:
                            last_version = value.version
                            yield value
                finally:
                    # A waiting watch counts as a call, so it is closed together with its reader.
                    if isinstance(watch, AsyncGenerator):
                        await watch.aclose()
            except BackendUnavailableError as error:
                failures += 1
                wait = self._backoff(failures, self._policy.longest_watch_backoff_seconds)
                if isinstance(error, RateLimitedError):
                    wait = max(wait, error.retry_after_seconds)
                await self._sleep(wait)

    async def _next_or_none(self, watch: AsyncIterator[StoredObject]) -> StoredObject | None:
        """Return the next value, or None if there is none within watch_timeout_seconds."""
        try:
            async with asyncio.timeout(self._policy.watch_timeout_seconds):
                return await anext(watch)
        except TimeoutError:
            return None
        except StopAsyncIteration:
            raise BackendUnavailableError("the store ended the watch") from None
        except BackendUnavailableError:
            self._budgets.breaker.record_failure(now_seconds=self._budgets.clock())
            raise

    async def _read_or_none(self, key: str) -> StoredObject | None:
        try:
            return await self._call_once(lambda: self._store.get(key))
        except ObjectMissingError:
            return None

    async def _call_with_retries(self, call: Callable[[], Awaitable[Result]]) -> Result:
        for attempt in range(1, self._policy.attempts + 1):
            try:
                return await self._call_once(call)
            except (StoreBudgetError, StoreCircuitOpenError):
                raise
            except BackendUnavailableError as error:
                if attempt == self._policy.attempts:
                    raise
                wait = self._backoff(attempt, self._policy.longest_backoff_seconds)
                if isinstance(error, RateLimitedError):
                    wait = max(wait, error.retry_after_seconds)
                await self._sleep(wait)
        raise AssertionError("unreachable: the last attempt returns or raises")

    async def _write_once(self, call: Callable[[], Awaitable[Result]]) -> Result:
        try:
            return await self._call_once(call)
        except _AnswerTimeoutError as error:
            raise LostAnswerError(str(error)) from error

    async def _call_once(self, call: Callable[[], Awaitable[Result]]) -> Result:
        """Make one call and record in the breaker whether the store answered."""
        self._budgets.admit(self._purpose)
        breaker = self._budgets.breaker
        try:
            async with asyncio.timeout(self._policy.timeout_seconds):
                result = await call()
        except TimeoutError:
            breaker.record_failure(now_seconds=self._budgets.clock())
            seconds = self._policy.timeout_seconds
            raise _AnswerTimeoutError(f"the store did not answer within {seconds} s") from None
        except RateLimitedError:
            # A store that limits its rate is available. An open breaker would reject all calls, and
            # with them every call that has an idempotency key.
            breaker.record_success()
            raise
        except (BackendUnavailableError, LostAnswerError):
            breaker.record_failure(now_seconds=self._budgets.clock())
            raise
        except Exception:
            # A conflict or a missing object is an answer, so the store is available.
            breaker.record_success()
            raise
        breaker.record_success()
        return result

    def _backoff(self, attempt: int, longest_seconds: float) -> float:
        delay = min(self._policy.first_backoff_seconds * 2.0 ** min(attempt, 20), longest_seconds)
        return delay * (0.5 + self._rng.random() / 2)


class _AnswerTimeoutError(BackendUnavailableError):
    """The store did not answer in time."""
