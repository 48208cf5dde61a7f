"""Test which version an engine begins a call on, from the router to the engine."""

import asyncio
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web

from egretrouter.core.identifiers import Digest
from egretrouter.daemons import AgentService
from egretrouter.demo import FleetOptions, read_parts
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.standins import EngineStandin
from tests.serving_fleet import EXAMPLES, WAIT_SECONDS, ServingFleet, eventually

OTHER_DIGEST = "other"
PAUSE_SECONDS = 60.0


@pytest.fixture
async def fleet() -> AsyncIterator[ServingFleet]:
    fleet = ServingFleet(
        read_parts(EXAMPLES / "ovo-justo"),
        options=FleetOptions(routers=1, token_interval_seconds=0.001),
    )
    await fleet.serve()
    yield fleet
    await fleet.stop()


def model_agent(fleet: ServingFleet) -> tuple[AgentService, EngineStandin]:
    """Return an agent of a model engine with its engine."""
    name, engine = next(iter(fleet.engines().items()))
    return fleet.agents[name], engine


def open_frame(agent: AgentService, digest: str) -> pb.CallOpen:
    """Return a call for a version, sent to this epoch of the agent."""
    return pb.CallOpen(
        method="POST",
        path="/v1/completions",
        content=b'{"model": "cotacoes", "prompt": "ovos", "max_tokens": 2}',
        version_digest=digest,
        epoch=agent.calls.registry.epoch,
        expires_at_seconds=time.monotonic() + 10 * PAUSE_SECONDS,
    )


def pause(agent: AgentService) -> None:
    """Let the clock of the agent's calls show that the process stood still."""
    resumed_seconds = time.monotonic() + PAUSE_SECONDS
    agent.calls._clock = lambda: max(time.monotonic(), resumed_seconds)


class TestPausedAgent:
    """Guard against calls admitted by what an agent knew of its engine before it stood still."""

    async def test_calls_read_after_a_pause_begin_on_no_version_that_the_engine_left(
        self, fleet: ServingFleet
    ) -> None:
        agent, engine = model_agent(fleet)
        begun: list[str] = []

        def select_other(request: web.Request, model: str) -> str | None:
            # Some engines ignore the version that a call names.
            begun.append(request.headers["X-Call-Id"])
            return OTHER_DIGEST

        engine._select_digest = select_other  # type: ignore[method-assign]
        engine.loaded = {("cotacoes", "other"): OTHER_DIGEST}
        engine.fail_loads = 1000  # The agent would load its own version again.
        engine.latency_seconds = 0.2
        pause(agent)
        for number in range(20):
            frame = open_frame(agent, fleet.manifest.digest)
            agent.calls._open_call(agent.instance_id, f"call-{number}", frame)
            await asyncio.sleep(0.02)
        await eventually(lambda: Digest(fleet.manifest.digest) not in agent.admitted)
        await asyncio.sleep(2 * engine.latency_seconds)
        assert begun == []

    async def test_an_agent_replaced_while_it_stood_still_runs_no_calls(
        self, fleet: ServingFleet
    ) -> None:
        agent, engine = model_agent(fleet)
        engine.fencing_number += 1
        executions = engine.executions.total()
        pause(agent)
        for number in range(20):
            frame = open_frame(agent, fleet.manifest.digest)
            agent.calls._open_call(agent.instance_id, f"call-{number}", frame)
            await asyncio.sleep(0.02)
        async with asyncio.timeout(WAIT_SECONDS):
            while agent.lease is None or not agent.lease.lease.is_lost:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        assert engine.executions.total() == executions


class TestEngineThatLostItsVersion:
    """Guard against a call that gets an engine's refusal of its version as its answer."""

    async def test_a_call_refused_for_its_version_goes_to_another_engine(
        self, fleet: ServingFleet
    ) -> None:
        engines = list(fleet.engines().values())
        for engine in engines[1:]:
            engine.loaded.clear()
        router = next(iter(fleet.routers.values()))
        url = f"http://127.0.0.1:{router.callers_port}/v1/completions"
        body = {"model": "cotacoes", "prompt": "ovos", "max_tokens": 8}
        async with aiohttp.ClientSession() as session:
            answers = [await session.post(url, json=body) for _ in range(8)]
            contents = {answer.status: await answer.read() for answer in answers}
        assert contents.keys() <= {200, 503}
        if 503 in contents:
            assert b'"not_run"' in contents[503]
