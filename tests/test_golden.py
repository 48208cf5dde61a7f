"""Compare complete sessions with golden files; EGRETROUTER_WRITE_GOLDEN=1 rewrites them."""

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
from tests.golden_session import SessionTranscript
from tests.helpers import wait_until

ROOT = Path(__file__).parent.parent
GOLDEN = Path(__file__).parent / "golden"
EXAMPLE = ROOT / "egretrouter" / "examples" / "ovo-justo"
WAIT_SECONDS = 60.0
STREAM_BODY = {"model": "cotacoes", "prompt": "ovos", "max_tokens": 5, "stream": True}
INDEX_LINE = re.compile(r"[0-9a-f]{64}  |generation |object store: |exit code ")
CALLER_HEADERS = {"X-Request-Id": "request-1"}


def assert_matches_golden(name: str, text: str) -> None:
    path = GOLDEN / f"{name}.txt"
    if os.environ.get("EGRETROUTER_WRITE_GOLDEN") == "1":
        path.write_text(text)
    assert text == path.read_text(), f"the session differs from {path.name}"


async def run_command(*arguments: str) -> str:
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


async def published_index_lines(fleet: Fleet) -> str:
    """Return the lines of 'status' about the index; those about zones depend on timing."""
    lines = (await run_command("status", "--store", fleet.object_api.url)).splitlines()
    return "\n".join(line for line in lines if INDEX_LINE.match(line))


def model_service(fleet: Fleet) -> ModelServiceFile:
    return next(s for s in fleet.services() if isinstance(s, ModelServiceFile))


async def publish_and_wait(fleet: Fleet, version: str) -> str:
    """Publish a version, wait until it serves on every engine and return its digest."""
    content = random.Random(version).randbytes(200_000)
    manifest = fleet.origin.add_version("cotacoes", version, content, chunk_bytes=65536)
    fleet.replace_part(model_service(fleet).model_copy(update={"version": version}))
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


def router_url(fleet: Fleet, path: str) -> str:
    return f"http://127.0.0.1:{fleet.routers['entry-serra-z1-0'].callers_port}{path}"


class TestSessions:
    """Guard against unintended changes of what callers and operators see."""

    async def test_stream(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        await publish_and_wait(fleet, "2026-11")
        transcript = SessionTranscript()
        await transcript.add_call(
            session,
            "POST",
            router_url(fleet, "/v1/completions"),
            body=STREAM_BODY,
            headers=CALLER_HEADERS,
        )
        chat = {"model": "cotacoes", "messages": [{"role": "user", "content": "ovos"}]}
        body = {**chat, "max_tokens": 3}
        await transcript.add_call(
            session,
            "POST",
            router_url(fleet, "/v1/chat/completions"),
            body=body,
            headers=CALLER_HEADERS,
        )
        await transcript.add_call(session, "GET", router_url(fleet, "/v1/models"))
        assert_matches_golden("stream", transcript.render())

    async def test_refusals(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        await publish_and_wait(fleet, "2026-11")
        transcript = SessionTranscript()
        completions = router_url(fleet, "/v1/completions")
        for comment, body, headers in (
            ("unknown model", {**STREAM_BODY, "model": "other"}, {}),
            ("no JSON", "{", {}),
            ("unknown workspace", STREAM_BODY, {"X-Workspace": "nobody"}),
            ("a deadline that is no number", STREAM_BODY, {"X-Request-Timeout-Seconds": "soon"}),
        ):
            transcript.add_comment(comment)
            await transcript.add_call(
                session, "POST", completions, body=body, headers={**CALLER_HEADERS, **headers}
            )
        transcript.add_comment("a service of another workspace")
        headers = {
            **CALLER_HEADERS,
            "Host": "portal.ovo-justo.example",
            "X-Workspace": "granja-aurora",
        }
        await transcript.add_call(session, "GET", router_url(fleet, "/socio/7"), headers=headers)
        assert_matches_golden("refusals", transcript.render())

    async def test_publish_and_conflict(
        self, fleet: Fleet, session: aiohttp.ClientSession, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        fleet.origin.add_version("cotacoes", "2026-11", b"w" * 100_000)
        store_url, origin_url = fleet.object_api.url, fleet.origin.url
        arguments = [str(EXAMPLE), "--store", store_url, "--origin", origin_url]
        transcript = SessionTranscript()
        for options in (["--dry-run"], [], []):
            transcript.add_lines(f"$ egretrouter publish {' '.join(options)}".rstrip())
            transcript.add_lines(await run_command("publish", *arguments, *options))
        transcript.add_lines("$ egretrouter status")
        transcript.add_lines(await published_index_lines(fleet))
        transcript.add_comment("another operator publishes between the read and the switch")
        store = HttpObjectStore(session, base_url=store_url)
        put = store.put

        async def put_after_competing_publication(key: str, content: bytes, **options: Any) -> int:
            if key == INDEX_KEY:
                monkeypatch.setattr(store, "put", put)
                edited = fleet.deployment.model_copy(update={"name": "ovo-justo-2"})
                fleet.replace_part(edited)
                await fleet.publish()
            return await put(key, content, **options)

        monkeypatch.setattr(store, "put", put_after_competing_publication)
        fleet.replace_part(model_service(fleet).model_copy(update={"deadline_seconds": 20.0}))
        transcript.add_lines(await self._publish_with_conflict(fleet, store))
        assert_matches_golden("publish", transcript.render())

    @staticmethod
    async def _publish_with_conflict(fleet: Fleet, store: HttpObjectStore) -> str:
        files = {f"{name}.json": encode_part(part) for name, part in fleet.parts.items()}
        async with aiohttp.ClientSession() as session:
            origin = HttpWeightSource(session, base_url=fleet.origin.url)
            collection, _ = await pin_manifests(files, origin)
        with pytest.raises(PublishConflictError) as conflict:
            await publish(store, collection)
        return str(conflict.value)

    async def test_rollout(self, fleet: Fleet) -> None:
        transcript = SessionTranscript()
        names: dict[str, str] = {}
        for version in ("2026-11", "2026-12"):
            names[await publish_and_wait(fleet, version)] = version
            agents = [fleet.agents[name] for name in sorted(fleet.engines())]
            for agent in agents:
                await wait_until(partial(admits_one_version, agent))
            transcript.add_comment(f"{version} is published and serves")
            for agent in agents:
                state = agent.dump()
                rollout = state["rollout"]
                transcript.add_state(
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
        assert_matches_golden("rollout", transcript.render())

    async def test_drain(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        await publish_and_wait(fleet, "2026-11")
        transcript = SessionTranscript()
        await transcript.add_call(session, "GET", router_url(fleet, "/readyz"))
        body = {**STREAM_BODY, "max_tokens": 300}
        async with session.post(router_url(fleet, "/v1/completions"), json=body) as response:
            await response.content.readany()
            drained = asyncio.create_task(fleet.routers["entry-serra-z1-0"].drain())
            await asyncio.sleep(0)
            transcript.add_comment("the router drains while a stream is open")
            await transcript.add_call(session, "GET", router_url(fleet, "/readyz"))
            await transcript.add_call(
                session,
                "POST",
                router_url(fleet, "/v1/completions"),
                body=STREAM_BODY,
                headers=CALLER_HEADERS,
            )
            transcript.add_lines(f"drained: {drained.done()}")
            content = await response.read()
        await drained
        transcript.add_comment("the stream ends whole, and the router is idle")
        transcript.add_lines(
            f"ends with [DONE]: {content.endswith(b'data: [DONE]' + 2 * bytes([10]))}"
        )
        transcript.add_lines(f"open calls: {fleet.routers['entry-serra-z1-0'].handler.open_calls}")
        assert_matches_golden("drain", transcript.render())

    async def test_store_outage(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        await publish_and_wait(fleet, "2026-11")
        transcript = SessionTranscript()
        fleet.object_api.outage = Outage.REFUSE
        transcript.add_comment("the store is out: the configuration in force stays")
        await transcript.add_call(session, "GET", router_url(fleet, "/readyz"))
        await transcript.add_call(
            session,
            "POST",
            router_url(fleet, "/v1/completions"),
            body=STREAM_BODY,
            headers=CALLER_HEADERS,
        )
        order = {**CALLER_HEADERS, "Host": "vendas.ovo-justo.example"}
        await transcript.add_call(
            session, "POST", router_url(fleet, "/contratos/7"), body="10 duzias", headers=order
        )
        transcript.add_lines("$ egretrouter status")
        transcript.add_lines(await published_index_lines(fleet))
        fleet.object_api.outage = None
        transcript.add_comment("the store answers again")
        transcript.add_lines(await published_index_lines(fleet))
        assert_matches_golden("store_outage", transcript.render())
