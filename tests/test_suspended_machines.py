"""Test that time in which a machine was suspended counts for the versions of weights."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable

import pytest

from egretrouter.backends import StateKind, StateListing
from egretrouter.core.direct import StoreRevision
from egretrouter.direct._boot_clock import boot_seconds
from tests.version_world import VERSION_MS, VersionWorld

Suspend = Callable[[float], None]


@pytest.fixture
async def world() -> AsyncIterator[VersionWorld]:
    opened = VersionWorld()
    yield opened
    await opened.stop()


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Suspend:
    """Suspend the machine: the monotonic clock stands still, and the boot clock goes on."""
    suspended_seconds = 0.0
    read_clock = time.clock_gettime

    def read_with_suspensions(clock: int) -> float:
        return read_clock(clock) + (suspended_seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    def suspend(seconds: float) -> None:
        nonlocal suspended_seconds
        suspended_seconds += seconds

    monkeypatch.setattr(time, "clock_gettime", read_with_suspensions)
    return suspend


class TestSuspendedRouter:
    """Guard against a version's age that does not grow while the machine is suspended."""

    async def test_older_version_expires_while_the_machine_is_suspended(
        self, world: VersionWorld, suspend: Suspend
    ) -> None:
        await world.start_versions(1)
        world.name_version(2)
        await world.wait_until(lambda: world.knows(2))
        assert await world.write() == 200
        suspend(VERSION_MS / 1000)
        assert await world.write() == 503
        assert len(world.model_engines[0].begun) == 1

    async def test_waiting_call_ends_once_the_machine_goes_on(
        self, world: VersionWorld, suspend: Suspend
    ) -> None:
        """The timer that ends the wait stood still, and the engine began the call too late."""
        await world.start_versions(1, timeout_ms=8000)
        engine = world.model_engines[0]
        engine.queue_seconds = 1.5
        call = asyncio.create_task(world.write())
        await world.wait_until(lambda: engine.named)
        world.name_version(2)
        await world.wait_until(lambda: world.knows(2))
        suspend(VERSION_MS / 1000)
        assert await call == 502
        assert engine.begun == []


class TestSuspendedListing:
    """Guard against a router that takes its suspension for an outage of the store."""

    async def test_endpoint_that_left_is_kept_after_a_suspension(
        self, world: VersionWorld, suspend: Suspend
    ) -> None:
        await world.start_versions(1)
        state = world.router.shared_state
        suspend(30.0)
        state.record_store_failure(asked_seconds=boot_seconds())
        state.record_store_answer(asked_seconds=boot_seconds())
        revision = StoreRevision(1, 10**6)
        listing = StateListing(items=(), revision=revision, content_revision=revision)
        state.apply_listing(StateKind.ENDPOINTS, listing, asked_seconds=boot_seconds())
        assert state.directory.all_endpoints() == []
