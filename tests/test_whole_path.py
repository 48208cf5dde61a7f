"""Test the whole path from published files to answers."""

import asyncio
import random
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from egretrouter.demo import Fleet, FleetOptions, read_parts
from egretrouter.standins import EngineStandin, expected_answer
from tests.helpers import wait_until

EXAMPLES = Path(__file__).parent.parent / "egretrouter" / "examples"
WAIT_SECONDS = 60.0


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet(
        read_parts(EXAMPLES / "ovo-justo"),
        options=FleetOptions(routers=3, token_interval_seconds=0.001),
    )
    await fleet.start()
    yield fleet
    await fleet.stop()


class TestWholePath:
    """Guard against a broken step anywhere between publishing and an answer."""

    async def test_serves_published_weights_and_plain_services(self, fleet: Fleet) -> None:
        manifest = fleet.origin.add_version(
            "cotacoes", "2026-11", random.Random(1).randbytes(600_000), chunk_bytes=65536
        )
        await fleet.publish()
        await fleet.wait_for_replicas(manifest.digest, 6, timeout_seconds=WAIT_SECONDS)
        await fleet.wait_for_routes(
            ["llm-cotacoes", "razao-vendas", "portal-socio"], timeout_seconds=WAIT_SECONDS
        )
        assert fleet.origin.sent_bytes < 3.2 * manifest.weight_bytes
        async with aiohttp.ClientSession() as session:
            for router in fleet.routers.values():
                url = f"http://127.0.0.1:{router.callers_port}"
                body = {"model": "cotacoes", "prompt": "ovos", "max_tokens": 8}
                text = expected_answer(manifest.digest, "ovos", count=8)
                for name in ("cotacoes", "cotacoes@2026-11", "llm-cotacoes"):
                    named = {**body, "model": name}
                    async with session.post(f"{url}/v1/completions", json=named) as response:
                        answer = await response.json()
                    assert answer["choices"][0]["text"] == text
                async with session.post(
                    f"{url}/v1/completions", json={**body, "stream": True}
                ) as response:
                    content = await response.read()
                assert content.endswith(b"data: [DONE]\n\n")
                host = {"Host": "portal.ovo-justo.example", "X-Workspace": "socios"}
                async with session.get(f"{url}/socio/7", headers=host) as response:
                    assert response.status == 200

    async def test_another_engine_continues_an_answer(self, fleet: Fleet) -> None:
        """Guard against a lost or repeated token when a second engine continues the answer."""
        manifest = fleet.origin.add_version(
            "cotacoes", "2026-11", random.Random(1).randbytes(200_000), chunk_bytes=65536
        )
        await fleet.publish()
        await fleet.wait_for_replicas(manifest.digest, 6, timeout_seconds=WAIT_SECONDS)
        await fleet.wait_for_routes(["llm-cotacoes"], timeout_seconds=WAIT_SECONDS)
        router = next(iter(fleet.routers.values()))
        engines = fleet.engines().values()
        await wait_until(lambda: len(router.view.endpoints() & fleet.engines().keys()) > 1)
        body = {"model": "cotacoes", "prompt": "ovos", "max_tokens": 8, "stream": True}
        headers = {"X-Request-Id": "continued"}
        url = f"http://127.0.0.1:{router.callers_port}/v1/completions"
        async with aiohttp.ClientSession() as session:
            # Each call adds to the retry budget, which the second engine's answer needs.
            for _ in range(12):
                async with session.post(url, json=body, headers=headers) as response:
                    expected = await response.read()
            for engine in engines:
                engine.truncate_streams = 1
            truncation = asyncio.create_task(truncate_once(list(engines)))
            async with session.post(url, json=body, headers=headers) as response:
                assert await response.read() == expected
            await truncation


async def truncate_once(engines: list[EngineStandin]) -> None:
    """Truncate only the answer of the first engine that gets a call."""
    while all(engine.truncate_streams for engine in engines):  # noqa: ASYNC110
        # The second engine may get the call within a millisecond.
        await asyncio.sleep(0)
    for engine in engines:
        engine.truncate_streams = 0
