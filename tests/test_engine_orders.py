"""Test that orders to an engine are retried after transient failures."""

import random
from collections.abc import AsyncIterator
from typing import Any

import pytest

from egretrouter.backends import EngineReport, LoadedVersion
from egretrouter.core.errors import (
    BackendUnavailableError,
    EgretrouterError,
    LostAnswerError,
    OrderError,
    StaleFencingNumberError,
)
from egretrouter.core.identifiers import Digest, EndpointId, ModelName, VersionName
from egretrouter.core.rollout import LoadVersion, UnloadVersion, VersionReference
from egretrouter.core.weights import build_manifest
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
