"""Test copies of weights between agents over loopback, with failures of agents and origin."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from typing import Any

import aiohttp
import pytest
from copies_world import WEIGHT_BYTES, CopyAgent, CopyWorld
from helpers import wait_until

from egretrouter.core.identifiers import Digest
from egretrouter.core.weights import VersionReference
from egretrouter.standins import Outage

SLOW = WEIGHT_BYTES / 1.5
"""Bytes per second of an origin's link, slow enough for a test to interrupt a copy."""


@pytest.fixture
async def world(session: aiohttp.ClientSession) -> AsyncIterator[CopyWorld]:
    world = CopyWorld(session)
    await world.origin.start()
    yield world
    await world.stop()


def start(agents: Iterable[CopyAgent], version: VersionReference) -> None:
    for agent in agents:
        agent.service.start_copy(version)


async def wait_for_copies(
    agents: Iterable[CopyAgent], version: VersionReference, content: bytes
) -> None:
    agents = list(agents)
    await wait_until(lambda: all(version.manifest_digest in agent.ready for agent in agents))
    assert all(agent.content(version) == content for agent in agents)


class TestAgents:
    """Guard against copies that depend on one agent, or on more origin reads than needed."""

    async def test_continues_when_an_agent_dies_mid_copy(self, world: CopyWorld) -> None:
        world.origin.link_bytes_per_second = SLOW
        version, content = world.add_version("v1")
        agents = await world.add("a", "b", "c", "d")
        start(agents, version)
        await wait_until(lambda: agents[1].held(version) >= 4)
        await world.kill("b")
        assert not agents[0].ready
        survivors = [agents[0], agents[2], agents[3]]
        await wait_for_copies(survivors, version, content)
        sent_bytes = world.origin.sent_bytes
        (fresh,) = await world.add("b", hold_seconds=60.0)
        start([fresh], version)
        await wait_for_copies([fresh], version, content)
        assert world.origin.sent_bytes == sent_bytes

    async def test_a_burst_of_joining_agents_reads_nothing_from_the_origin(
        self, world: CopyWorld
    ) -> None:
        version, content = world.add_version("v1")
        old = await world.add("a", "b")
        start(old, version)
        await wait_for_copies(old, version, content)
        sent_bytes = world.origin.sent_bytes
        joined = await world.add(*(f"j{number}" for number in range(8)), hold_seconds=60.0)
        start(joined, version)
        await wait_for_copies(joined, version, content)
        assert world.origin.sent_bytes == sent_bytes

    async def test_marks_agents_as_newcomers_while_they_hold_back(self, world: CopyWorld) -> None:
        (agent,) = await world.add("a", hold_seconds=60.0)
        await world.add("b")
        assert [peer.is_newcomer for peer in agent.service._mark_newcomers()] == [True, True]

    async def test_counts_agents_of_other_services_in_the_budget(self, world: CopyWorld) -> None:
        (agent,) = await world.add("a")
        agent.service.set_peers([], zone_agents=["plain-1", "plain-2"])
        assert agent.service.allowance.snapshot()["members"] == 3


class TestCorruption:
    """Guard against damaged chunks that are stored or passed on."""

    async def test_rejects_corrupted_chunks_of_a_peer(self, world: CopyWorld) -> None:
        version, content = world.add_version("v1")
        (bad,) = await world.add("bad", corrupts=True)
        start([bad], version)
        await wait_for_copies([bad], version, content)
        agents = await world.add("a", "b")
        start(agents, version)
        await wait_for_copies(agents, version, content)
        assert any(agent.state(version)["counts"].get("corrupted") for agent in agents)

    async def test_rejects_corrupted_chunks_of_the_origin(self, world: CopyWorld) -> None:
        version, content = world.add_version("v1")
        world.origin.corrupt_next = 2
        (agent,) = await world.add("a")
        start([agent], version)
        await wait_for_copies([agent], version, content)
        assert agent.state(version)["counts"]["corrupted"] == 2

    async def test_starts_although_the_first_manifest_is_spoilt(self, world: CopyWorld) -> None:
        """One spoilt answer ended the copy of a version for good."""
        version, content = world.add_version("v1")
        world.origin.corrupt_manifests_next = 1
        (agent,) = await world.add("a")
        start([agent], version)
        await wait_for_copies([agent], version, content)
        assert not agent.failed

    async def test_ends_if_the_origin_has_another_manifest(self, world: CopyWorld) -> None:
        version, _ = world.add_version("v1")
        world.origin.corrupt_manifests_next = 1_000
        (agent,) = await world.add("a")
        start([agent], version)
        await wait_until(lambda: version.manifest_digest in agent.failed)

    async def test_halts_when_the_version_changed_at_the_origin(self, world: CopyWorld) -> None:
        old, old_content = world.add_version("v1")
        agent, other = await world.add("a", "b")
        start([agent], old)
        await wait_for_copies([agent], old, old_content)
        version, _ = world.add_version("v2")
        world.origin.link_bytes_per_second = SLOW
        start([agent], version)
        await wait_until(lambda: agent.held(version) >= 2)
        world.origin.add_version("m", "v2", bytes(WEIGHT_BYTES), chunk_bytes=4096)
        await wait_until(lambda: version.manifest_digest in agent.failed)
        assert "pins" in agent.failed[version.manifest_digest]
        assert version.manifest_digest in agent.service.snapshot()["failures"]
        world.origin.outage = Outage.REFUSE
        start([other], old)
        await wait_for_copies([other], old, old_content)

    async def test_never_completes_with_content_that_changed_below_its_manifest(
        self, world: CopyWorld
    ) -> None:
        version, _ = world.add_version("v1")
        world.origin.change_content("m", "v1", bytes(WEIGHT_BYTES))
        (agent,) = await world.add("a")
        start([agent], version)
        await wait_until(lambda: world.origin.requests["manifest"] >= 2)
        assert not agent.ready
        assert agent.held(version) == 0


class TestOrigin:
    """Guard against copies that fail while the origin refuses or does not answer."""

    async def test_waits_when_the_origin_answers_429(self, world: CopyWorld) -> None:
        version, content = world.add_version("v1")
        world.origin.refuse_next, world.origin.retry_after_seconds = 4, 0.1
        (agent,) = await world.add("a")
        start([agent], version)
        await wait_for_copies([agent], version, content)
        assert world.origin.requests["content"] + world.origin.requests["manifest"] == 24 + 1 + 4

    async def test_copies_from_peers_while_the_origin_is_out(self, world: CopyWorld) -> None:
        version, content = world.add_version("v1")
        (first,) = await world.add("a")
        start([first], version)
        await wait_for_copies([first], version, content)
        world.origin.outage = Outage.HANG
        others = await world.add("b", "c")
        start(others, version)
        await wait_for_copies(others, version, content)


class TestVersions:
    """Guard against copies that run on for an unwanted version, or stop for a wanted one."""

    async def test_stops_the_copy_of_an_older_version(self, world: CopyWorld) -> None:
        world.origin.link_bytes_per_second = SLOW
        old, _ = world.add_version("v1")
        new, content = world.add_version("v2")
        (agent,) = await world.add("a", memory_bytes=WEIGHT_BYTES)
        start([agent], old)
        await wait_until(lambda: agent.held(old) >= 2)
        agent.service.abandon(old.manifest_digest)
        start([agent], new)
        await wait_for_copies([agent], new, content)
        assert old.manifest_digest not in {*agent.ready, *agent.failed}
        assert not agent.state(old)

    async def test_paused_copy_still_serves_and_resumes_when_started_again(
        self, world: CopyWorld
    ) -> None:
        """Chunks of the older version became unavailable when agents switched to a newer one."""
        world.origin.link_bytes_per_second = SLOW
        old, content = world.add_version("v1")
        first, second = await world.add("a", "b")
        start([first], old)
        await wait_until(lambda: first.held(old) >= 4)
        first.service.pause(old.manifest_digest)
        held = first.held(old)
        sent_bytes = world.origin.sent_bytes
        start([second], old)
        await wait_until(lambda: second.held(old) >= held)
        assert first.held(old) <= held + 1
        await wait_for_copies([second], old, content)
        assert world.origin.sent_bytes - sent_bytes < WEIGHT_BYTES
        start([first], old)
        await wait_for_copies([first], old, content)

    async def test_reports_weights_that_do_not_fit(self, world: CopyWorld) -> None:
        version, _ = world.add_version("v1")
        (agent,) = await world.add("a", memory_bytes=WEIGHT_BYTES - 1)
        start([agent], version)
        await wait_until(lambda: bool(agent.failed))
        reason = agent.service.snapshot()["failures"][version.manifest_digest]
        assert f"take {WEIGHT_BYTES} bytes, but only {WEIGHT_BYTES - 1}" in reason

    async def test_a_loaded_version_is_evicted_for_the_next(self, world: CopyWorld) -> None:
        old, old_content = world.add_version("v1")
        new, content = world.add_version("v2")
        (agent,) = await world.add("a", memory_bytes=WEIGHT_BYTES)
        start([agent], old)
        await wait_for_copies([agent], old, old_content)
        agent.service.record_loaded(old.manifest_digest)
        start([agent], new)
        await wait_for_copies([agent], new, content)

    async def test_answers_a_repeated_start_from_memory(self, world: CopyWorld) -> None:
        version, content = world.add_version("v1")
        (agent,) = await world.add("a")
        start([agent], version)
        await wait_for_copies([agent], version, content)
        start([agent], version)
        assert agent.ready == [version.manifest_digest] * 2
        # The tests set the serving time to zero, so the copy ends and only its chunks remain.
        agent.service.record_loaded(version.manifest_digest)
        await wait_until(lambda: not agent.state(version))
        world.origin.outage = Outage.REFUSE
        manifest = await agent.service.ensure_copied(version)
        assert manifest.digest == version.manifest_digest
        assert len(agent.ready) == 3

    async def test_frees_the_manifest_of_a_version_that_left_memory(self, world: CopyWorld) -> None:
        version, content = world.add_version("v1")
        (agent,) = await world.add("a")
        start([agent], version)
        await wait_for_copies([agent], version, content)
        agent.service.record_loaded(version.manifest_digest)
        await wait_until(lambda: not agent.state(version))
        assert agent.service.manifest_content(version.manifest_digest)
        agent.memory.drop(version.manifest_digest)
        await wait_until(lambda: not agent.service.manifest_content(version.manifest_digest))


class TestClosedChannels:
    """Guard against a copy that ends without a word as the channel to a peer is closed."""

    async def test_manifest_of_a_peer_is_missing_then(
        self, world: CopyWorld, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        asked = asyncio.Event()

        async def hang(*_: Any) -> None:
            asked.set()
            await asyncio.Event().wait()

        monkeypatch.setattr(CopyAgent, "FetchManifest", hang)
        agent, peer = await world.add("a", "b")
        transfers = agent.service._transfers
        reading = asyncio.create_task(transfers.manifest_from_peer(peer.address, Digest("0" * 64)))
        await asked.wait()
        await agent._channels.discard(peer.address)
        assert await reading == b""
