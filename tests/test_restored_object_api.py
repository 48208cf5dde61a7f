"""Test what processes do when the object API comes back from an older copy of itself."""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest

from egretrouter.core.configuration import (
    INDEX_KEY,
    PART_KEY_PREFIX,
    ConfigurationIndex,
    DeploymentFile,
)
from egretrouter.core.errors import PublishConflictError
from tests.helpers import wait_until
from tests.scripted_fleet import ScriptedFleet, start_scripted_fleet

COPY_SECONDS = 0.5
"""Time between the copy and what the store then loses."""


@pytest.fixture
async def fleet() -> AsyncIterator[ScriptedFleet]:
    fleet = await start_scripted_fleet()
    yield fleet
    await fleet.stop()


def stored_index(fleet: ScriptedFleet) -> ConfigurationIndex:
    """Return the index that the store shows."""
    content = fleet.object_api.content(INDEX_KEY)
    assert content is not None
    return ConfigurationIndex.from_json(content)


async def publish_and_lose(fleet: ScriptedFleet) -> int:
    """Publish a change, let all processes apply it, and let the store lose it."""
    await asyncio.sleep(COPY_SECONDS)
    copied_seconds = time.monotonic()
    deployment = fleet.deployment
    assert isinstance(deployment, DeploymentFile)
    workspaces = tuple(
        workspace.model_copy(update={"requests_per_second": 5000.0})
        for workspace in deployment.workspaces
    )
    fleet.replace_part(deployment.model_copy(update={"workspaces": workspaces}))
    generation = await fleet.publish()
    await wait_until(lambda: generations(fleet) == {generation})
    await fleet.object_api.restore(seconds=time.monotonic() - copied_seconds)
    assert stored_index(fleet).generation < generation
    return generation


def generations(fleet: ScriptedFleet) -> set[int]:
    """Return the generations that processes apply."""
    processes = (*fleet.routers.values(), *fleet.agents.values())
    return {process.control.configuration.generation for process in processes}


class TestConfiguration:
    """Guard against an applied configuration that is lost with the processes that apply it."""

    async def test_a_configuration_that_the_store_lost_is_written_back(
        self, fleet: ScriptedFleet
    ) -> None:
        generation = await publish_and_lose(fleet)
        await wait_until(lambda: stored_index(fleet).generation == generation)
        for digest in stored_index(fleet).parts.values():
            assert fleet.object_api.content(PART_KEY_PREFIX + digest) is not None
        assert generations(fleet) == {generation}

    async def test_a_publication_after_a_restore_is_in_force(self, fleet: ScriptedFleet) -> None:
        lost = await publish_and_lose(fleet)
        try:
            generation = await fleet.publish()
        except PublishConflictError:
            # The lost configuration was written back meanwhile.
            generation = await fleet.publish()
        assert generation >= lost
        await wait_until(lambda: generations(fleet) == {generation})
