"""Compare whole sessions with golden files; EGRETROUTER_WRITE_GOLDEN=1 writes them anew."""

import asyncio
import os
import random
import re
import sys
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from egretrouter.backends import HttpObjectStore, HttpWeightSource
from egretrouter.core.configuration import INDEX_KEY, ModelServiceFile, encode_part
from egretrouter.core.errors import PublishConflictError
from egretrouter.daemons import AgentService
from egretrouter.demo import Fleet, FleetOptions, read_parts
from egretrouter.publishing import pin_manifests, publish
from egretrouter.standins import Outage
from tests.golden_session import Session
from tests.helpers import wait_until

ROOT = Path(__file__).parent.parent
GOLDEN = Path(__file__).parent / "golden"
EXAMPLE = ROOT / "egretrouter" / "examples" / "ovo-justo"
WAIT_SECONDS = 60.0
STREAM = {"model": "cotacoes", "prompt": "ovos", "max_tokens": 5, "stream": True}
PUBLISHED_LINE = re.compile(r"[0-9a-f]{64}  |generation |object store: |exit code ")
CALLER = {"X-Request-Id": "request-1"}


def compare(name: str, text: str) -> None:
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("EGRETROUTER_WRITE_GOLDEN") == "1":
        path.write_text(text)
    assert text == path.read_text(), f"the session differs from {path.name}"


async def command(*arguments: str) -> str:
    """Run the command line and return its output and exit code."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "egretrouter",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return f"{output.decode()}exit code {process.returncode}"


def admits_one_version(agent: AgentService) -> bool:
    return len(agent.admitted) == 1


async def published(fleet: Fleet) -> str:
    """Return what 'status' prints of the index; what zones report depends on the moment."""
    lines = (await command("status", "--store", fleet.object_api.url)).splitlines()
    return "\n".join(line for line in lines if PUBLISHED_LINE.match(line))


def service_of(fleet: Fleet) -> ModelServiceFile:
    return next(s for s in fleet.services() if isinstance(s, ModelServiceFile))


async def serve(fleet: Fleet, version: str) -> str:
    """Publish a version and wait until it serves; return its digest."""
    content = random.Random(version).randbytes(200_000)
    manifest = fleet.origin.add_version("cotacoes", version, content, chunk_bytes=65536)
    fleet.replace(service_of(fleet).model_copy(update={"version": version}))
    await fleet.publish()
    replicas = len(fleet.engines())
    await fleet.wait_for_replicas(manifest.digest, replicas, timeout_seconds=WAIT_SECONDS)
    await fleet.wait_for_routes(["llm-cotacoes", "razao-vendas"], timeout_seconds=WAIT_SECONDS)
    return manifest.digest


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    options = FleetOptions(routers=3, token_interval_seconds=0.005, seed=3)
    fleet = Fleet(read_parts(EXAMPLE), options=options)
    await fleet.start()
    yield fleet
    await fleet.stop()


def url_of(fleet: Fleet, path: str) -> str:
    return f"http://127.0.0.1:{fleet.routers['entry-serra-z1-0'].callers_port}{path}"


class TestSessions:
    """Guard what callers and operators see against changes nobody intended."""

    async def test_stream(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        await serve(fleet, "2026-11")
        text = Session()
        await text.call(
            session, "POST", url_of(fleet, "/v1/completions"), body=STREAM, headers=CALLER
        )
        chat = {"model": "cotacoes", "messages": [{"role": "user", "content": "ovos"}]}
        body = {**chat, "max_tokens": 3}
        await text.call(
            session, "POST", url_of(fleet, "/v1/chat/completions"), body=body, headers=CALLER
        )
        await text.call(session, "GET", url_of(fleet, "/v1/models"))
        compare("stream", text.text())

    async def test_refusals(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        await serve(fleet, "2026-11")
        text = Session()
        completions = url_of(fleet, "/v1/completions")
        for note, body, headers in (
            ("unknown model", {**STREAM, "model": "other"}, {}),
            ("no JSON", "{", {}),
            ("unknown workspace", STREAM, {"X-Workspace": "nobody"}),
            ("a deadline that is no number", STREAM, {"X-Request-Timeout-Seconds": "soon"}),
        ):
            text.note(note)
            await text.call(session, "POST", completions, body=body, headers={**CALLER, **headers})
        text.note("a service of another workspace")
        headers = {**CALLER, "Host": "portal.ovo-justo.example", "X-Workspace": "granja-aurora"}
        await text.call(session, "GET", url_of(fleet, "/socio/7"), headers=headers)
        compare("refusals", text.text())

    async def test_publish_and_conflict(
        self, fleet: Fleet, session: aiohttp.ClientSession, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fleet.origin.add_version("cotacoes", "2026-11", b"w" * 100_000)
        store_url, origin_url = fleet.object_api.url, fleet.origin.url
        arguments = [str(EXAMPLE), "--store", store_url, "--origin", origin_url]
        text = Session()
        for options in (["--dry-run"], [], []):
            text.add(f"$ egretrouter publish {' '.join(options)}".rstrip())
            text.add(await command("publish", *arguments, *options))
        text.add("$ egretrouter status")
        text.add(await published(fleet))
        text.note("another operator publishes between the read and the switch")
        store = HttpObjectStore(session, base_url=store_url)
        put = store.put

        async def late_put(key: str, content: bytes, **options: Any) -> int:
            if key == INDEX_KEY:
                monkeypatch.setattr(store, "put", put)
                edited = fleet.deployment.model_copy(update={"name": "ovo-justo-2"})
                fleet.replace(edited)
                await fleet.publish()
            return await put(key, content, **options)

        monkeypatch.setattr(store, "put", late_put)
        fleet.replace(service_of(fleet).model_copy(update={"deadline_seconds": 20.0}))
        text.add(await self._conflict(fleet, store))
        compare("publish", text.text())

    @staticmethod
    async def _conflict(fleet: Fleet, store: HttpObjectStore) -> str:
        files = {f"{name}.json": encode_part(part) for name, part in fleet.parts.items()}
        async with aiohttp.ClientSession() as session:
            origin = HttpWeightSource(session, base_url=fleet.origin.url)
            collection, _ = await pin_manifests(files, origin)
        with pytest.raises(PublishConflictError) as caught:
            await publish(store, collection)
        return str(caught.value)

    async def test_rollout(self, fleet: Fleet) -> None:
        text = Session()
        names: dict[str, str] = {}
        for version in ("2026-11", "2026-12"):
            names[await serve(fleet, version)] = version
            agents = [fleet.agents[name] for name in sorted(fleet.engines())]
            for agent in agents:
                await wait_until(partial(admits_one_version, agent))
            text.note(f"{version} is published and serves")
            for agent in agents:
                state = agent.dump()
                rollout = state["rollout"]
                text.state(
                    {
                        "instance_id": state["instance_id"],
                        "ready": state["ready"],
                        "generation": state["control"]["configuration"]["generation"],
                        "phase": rollout["phase"],
                        "target": names[rollout["target"]],
                        "serving": names[rollout["serving"]],
                        "halted": rollout["halted"],
                        "admitted": [names[digest] for digest in state["admitted"]],
                        "fencing_number": state["lease"]["number"],
                    }
                )
        compare("rollout", text.text())

    async def test_drain(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        await serve(fleet, "2026-11")
        text = Session()
        await text.call(session, "GET", url_of(fleet, "/readyz"))
        body = {**STREAM, "max_tokens": 300}
        async with session.post(url_of(fleet, "/v1/completions"), json=body) as response:
            await response.content.readany()
            drained = asyncio.create_task(fleet.routers["entry-serra-z1-0"].drain())
            await asyncio.sleep(0)
            text.note("the router drains while a stream is open")
            await text.call(session, "GET", url_of(fleet, "/readyz"))
            await text.call(
                session, "POST", url_of(fleet, "/v1/completions"), body=STREAM, headers=CALLER
            )
            text.add(f"drained: {drained.done()}")
            content = await response.read()
        await drained
        text.note("the stream ends whole, and the router is idle")
        text.add(f"ends with [DONE]: {content.endswith(b'data: [DONE]' + 2 * bytes([10]))}")
        text.add(f"open calls: {fleet.routers['entry-serra-z1-0'].handler.open_calls}")
        compare("drain", text.text())

    async def test_store_outage(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        await serve(fleet, "2026-11")
        text = Session()
        fleet.object_api.outage = Outage.REFUSE
        text.note("the store is out: the configuration in force stays")
        await text.call(session, "GET", url_of(fleet, "/readyz"))
        await text.call(
            session, "POST", url_of(fleet, "/v1/completions"), body=STREAM, headers=CALLER
        )
        order = {**CALLER, "Host": "vendas.ovo-justo.example"}
        await text.call(
            session, "POST", url_of(fleet, "/contratos/7"), body="10 duzias", headers=order
        )
        text.add("$ egretrouter status")
        text.add(await published(fleet))
        fleet.object_api.outage = None
        text.note("the store answers again")
        text.add(await published(fleet))
        compare("store_outage", text.text())
