"""Test that orders to an engine are retried after transient failures."""

import asyncio
import random
from collections.abc import AsyncIterator
from typing import Any

import pytest

from egretrouter.backends import EngineReport, LoadedVersion, StoredObject
from egretrouter.core.errors import (
    BackendUnavailableError,
    EgretrouterError,
    LostAnswerError,
    ObjectMissingError,
    OrderError,
    StaleFencingNumberError,
    VersionConflictError,
)
from egretrouter.core.identifiers import Digest, EndpointId, InstanceId, ModelName, VersionName
from egretrouter.core.rollout import LoadVersion, UnloadVersion
from egretrouter.core.weights import VersionReference, build_manifest
from egretrouter.daemons._lease import OrderLeaseService
from egretrouter.daemons._orders import ATTEMPTS, EngineOrders

MANIFEST = build_manifest(
    model=ModelName("m"), version=VersionName("v"), content=b"weights", chunk_bytes=4
)
VERSION = VersionReference(
    model=ModelName("m"), version=VersionName("v"), manifest_digest=MANIFEST.digest
)


class FakeEngine:
    """Fail the first orders with given errors; with loads_anyway they still take effect."""

    endpoint_id = EndpointId("e")

    def __init__(self, *errors: EgretrouterError, loads_anyway: bool = False) -> None:
        self.errors = list(errors)
        self.loads_anyway = loads_anyway
        self.loads = 0
        self.loaded: tuple[LoadedVersion, ...] = ()

    async def report(self) -> EngineReport:
        return EngineReport(loaded=self.loaded)

    async def load(self, *, manifest_digest: Digest, **_: Any) -> None:
        self.loads += 1
        error = self.errors.pop(0) if self.errors else None
        if error is None or self.loads_anyway:
            loaded = LoadedVersion(
                model=VERSION.model, version=VERSION.version, manifest_digest=manifest_digest
            )
            self.loaded = (loaded,)
        if error is not None:
            raise error

    async def unload(self, **_: Any) -> None:
        raise BackendUnavailableError("the engine is out")


class FakeLease:
    """Grant permission, and count the reported refusals."""

    def __init__(self) -> None:
        self.stale = 0

    async def wait_for_permission(self) -> int:
        return 1 + self.stale

    async def renew_permission(self) -> None:
        """Do nothing, because this permission does not lapse."""

    def report_stale_number(self) -> None:
        self.stale += 1


class FakeCopies:
    """Return fixed weights."""

    async def ensure_copied(self, _: VersionReference) -> Any:
        return MANIFEST

    async def content(self, _: Digest) -> AsyncIterator[bytes]:
        yield b"weights"


def orders(engine: FakeEngine, lease: FakeLease) -> EngineOrders:
    copies: Any = FakeCopies()
    any_lease: Any = lease
    return EngineOrders(
        engine=engine, lease=any_lease, copies=copies, rng=random.Random(1), retry_seconds=0.001
    )


class TestLoad:
    """Guard against reporting a version as failed although the engine could load it."""

    async def test_retries_when_the_engine_is_unavailable_for_a_moment(self) -> None:
        engine = FakeEngine(BackendUnavailableError("out"), BackendUnavailableError("out"))
        await orders(engine, FakeLease()).load(LoadVersion(version=VERSION))
        assert engine.loads == 3

    async def test_resolves_a_lost_answer_by_the_report(self) -> None:
        engine = FakeEngine(LostAnswerError("lost"), loads_anyway=True)
        await orders(engine, FakeLease()).load(LoadVersion(version=VERSION))
        assert engine.loads == 1

    async def test_repeats_an_order_that_took_no_effect_after_a_lost_answer(self) -> None:
        engine = FakeEngine(LostAnswerError("lost"))
        await orders(engine, FakeLease()).load(LoadVersion(version=VERSION))
        assert engine.loads == 2

    async def test_requests_a_new_number_after_a_stale_one(self) -> None:
        engine, lease = FakeEngine(StaleFencingNumberError("stale")), FakeLease()
        await orders(engine, lease).load(LoadVersion(version=VERSION))
        assert (engine.loads, lease.stale) == (2, 1)

    async def test_does_not_repeat_an_order_that_the_engine_refuses(self) -> None:
        engine = FakeEngine(OrderError("the digest does not match"))
        with pytest.raises(OrderError, match="digest"):
            await orders(engine, FakeLease()).load(LoadVersion(version=VERSION))
        assert engine.loads == 1

    async def test_fails_after_all_attempts_on_an_unavailable_engine(self) -> None:
        engine = FakeEngine(*(BackendUnavailableError("out") for _ in range(ATTEMPTS)))
        with pytest.raises(BackendUnavailableError):
            await orders(engine, FakeLease()).load(LoadVersion(version=VERSION))
        assert engine.loads == ATTEMPTS

    async def test_a_failed_unload_does_not_stop_the_agent(self) -> None:
        await orders(FakeEngine(), FakeLease()).unload(UnloadVersion(version=VERSION))


LEASE_SECONDS = 0.3
RNG = random.Random(1)


class MemoryStore:
    """Keep one object with its version."""

    def __init__(self) -> None:
        self.content, self.version, self.era = b"", 0, 0

    async def get(self, key: str) -> StoredObject:
        if not self.version:
            raise ObjectMissingError(key)
        return StoredObject(key=key, content=self.content, version=self.version)

    async def put(self, key: str, content: bytes, *, expected_version: int) -> int:
        if expected_version != self.version:
            raise VersionConflictError(
                key, expected_version=expected_version, actual_version=self.version
            )
        self.content, self.version = content, self.version + 1
        return self.version


class LoadingEngine(FakeEngine):
    """Read the whole content of each load, and ignore fencing numbers."""

    def __init__(self) -> None:
        super().__init__()
        self.begun = asyncio.Event()
        self.completed: list[int] = []

    async def load(self, *, content: AsyncIterator[bytes], fencing_number: int, **_: Any) -> None:
        async for _part in content:
            self.begun.set()
        self.completed.append(fencing_number)


class SlowCopies(FakeCopies):
    """Yield the second part of the weights when told to."""

    def __init__(self) -> None:
        self.second_part = asyncio.Event()

    async def content(self, _: Digest) -> AsyncIterator[bytes]:
        yield b"wei"
        await self.second_part.wait()
        yield b"ghts"


def order_lease(engine: FakeEngine, store: MemoryStore, name: str) -> OrderLeaseService:
    any_store: Any = store
    return OrderLeaseService(
        engine=engine,
        endpoint_id=EndpointId("e"),
        instance_id=InstanceId(name),
        checks_fencing=False,
        checks_order_giver=False,
        lease_seconds=LEASE_SECONDS,
        store=any_store,
        rng=random.Random(name),
    )


class TestLongLoad:
    """Guard against a load that ends after another agent took over the engine."""

    async def test_a_load_of_a_replaced_agent_does_not_take_effect_after_its_successors(
        self,
    ) -> None:
        engine, store, slow = LoadingEngine(), MemoryStore(), SlowCopies()
        old_lease, new_lease = (order_lease(engine, store, name) for name in ("old", "new"))
        slow_copies: Any = slow
        fast_copies: Any = FakeCopies()
        old = EngineOrders(
            engine=engine, lease=old_lease, copies=slow_copies, rng=RNG, retry_seconds=0.001
        )
        new = EngineOrders(engine=engine, lease=new_lease, copies=fast_copies, rng=RNG)
        async with old_lease:
            load = asyncio.create_task(old.load(LoadVersion(version=VERSION)))
            await engine.begun.wait()
            async with new_lease:
                await new.load(LoadVersion(version=VERSION))
                slow.second_part.set()
                with pytest.raises(StaleFencingNumberError):
                    await load
        assert engine.completed == [2]
