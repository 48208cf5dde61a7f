"""Test the command line."""

import asyncio
import json
import re
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from aiohttp import web

from egretrouter.cli import main
from egretrouter.core.identifiers import Digest, Generation, InstanceId, ServiceName, ZoneId
from egretrouter.core.status import VersionStatus, ZoneStatus
from egretrouter.standins import ObjectApiStandin, OriginStandin, Outage

EXAMPLES = Path(__file__).parent.parent / "egretrouter" / "examples"
OVO_JUSTO = str(EXAMPLES / "ovo-justo")


def run(*argv: str) -> int:
    """Run one command and return its exit code."""
    try:
        main(list(argv))
    except SystemExit as exit_request:
        return int(exit_request.code or 0)
    return 0


async def run_in_thread(*argv: str) -> int:
    """Run a command in a thread, so that this event loop can serve the stand-ins."""
    return await asyncio.to_thread(run, *argv)


class TestCheck:
    """Guard against mistakes in files that are only found after they are published."""

    @pytest.mark.parametrize("deployment", ["ovo-justo", "sleevehost"])
    def test_accepts_the_examples(self, deployment: str) -> None:
        assert run("check", str(EXAMPLES / deployment)) == 0

    def test_lists_mistakes_of_all_files_at_once(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        (tmp_path / "a.json").write_text('{"kind": "agent"}')
        (tmp_path / "b.json").write_text("[")
        (tmp_path / "c.json").write_text('{"kind": "agnet"}')
        service = json.loads((EXAMPLES / "ovo-justo" / "portal-socio.json").read_text())
        service["placement"][0]["zone"] = "serra"
        (tmp_path / "d.json").write_text(json.dumps(service))
        assert run("check", OVO_JUSTO, str(tmp_path), str(tmp_path / "e.json")) == 1
        lines = capsys.readouterr().err
        for expected in (
            "a.json: $.instance_id: required field",
            "b.json: $: not valid JSON",
            "c.json: $.kind: \"agnet\": unknown kind of file; accepted: 'agent'",
            "d.json: $.placement[0].zone: \"serra\": accepted values are 'oeste-sc-z1'",
            "e.json: $: the file can't be read",
        ):
            assert expected in lines

    def test_accepts_the_settings_of_the_documentation(self, tmp_path: Path) -> None:
        page = (EXAMPLES.parent.parent / "docs" / "operations" / "deploying.md").read_text()
        blocks = re.findall(r"^    {$.*?^    }$", page, re.MULTILINE | re.DOTALL)
        assert len(blocks) == 2
        for number, block in enumerate(blocks):
            (tmp_path / f"{number}.json").write_text(block)
        assert run("check", str(tmp_path)) == 0

    def test_checks_one_service_alone(self) -> None:
        assert run("check", str(EXAMPLES / "sleevehost" / "orders.json")) == 0


class TestUsage:
    """Guard against wrong exit codes, and tracebacks instead of error messages."""

    @pytest.mark.parametrize(
        ("argv", "code"),
        [
            (["--help"], 0),
            (["schema"], 0),
            (["schema", "--kind", "agent"], 0),
            (["schema", "--kind", "x"], 2),
            (["check"], 2),
            (["publish", OVO_JUSTO, "--store", "ftp://x"], 2),
            (["status", "--store", "http://127.0.0.1:1", "--timeout-seconds", "0"], 2),
            (["status", "--store", "http://127.0.0.1:1"], 3),
            (["dump", "127.0.0.1:1"], 3),
            (["dump", "[x"], 2),
            (["router", "--settings", "missing.json"], 1),
            (["agent", "--settings", str(EXAMPLES / "ovo-justo" / "deployment.json")], 1),
        ],
    )
    def test_exit_codes(
        self, argv: list[str], code: int, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(*argv) == code
        captured = capsys.readouterr()
        assert "Traceback" not in captured.err
        assert captured.err if code else captured.out

    def test_help_documents_exit_codes(self, capsys: pytest.CaptureFixture[str]) -> None:
        assert run("publish", "--help") == 0
        assert "Exit codes: 0 success" in capsys.readouterr().out


class TestPublish:
    """Guard against publications without pinned digests, duplicates and wrong reports."""

    @pytest.fixture
    async def store(self) -> AsyncIterator[ObjectApiStandin]:
        store = ObjectApiStandin()
        await store.start()
        yield store
        await store.stop()

    @pytest.fixture
    async def origin(self) -> AsyncIterator[OriginStandin]:
        origin = OriginStandin()
        await origin.start()
        origin.add_version("cotacoes", "2026-11", b"weights" * 1000)
        yield origin
        await origin.stop()

    def arguments(self, store: ObjectApiStandin, origin: OriginStandin) -> list[str]:
        return ["publish", OVO_JUSTO, "--store", store.url, "--origin", origin.url]

    async def test_pins_versions_and_is_idempotent(
        self,
        store: ObjectApiStandin,
        origin: OriginStandin,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        arguments = self.arguments(store, origin)
        assert await run_in_thread(*arguments, "--dry-run") == 0
        assert "origin: 21000 bytes" in capsys.readouterr().out
        assert store.version("configuration/index") == 0
        assert await run_in_thread(*arguments) == 0
        writes = store.calls["put"]
        assert await run_in_thread(*arguments) == 0
        assert "in force already" in capsys.readouterr().out
        assert store.calls["put"] == writes
        assert await run_in_thread(*arguments, "--dry-run") == 0
        assert "no change" in capsys.readouterr().out
        assert await run_in_thread("status", "--store", store.url) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines[0].startswith("generation 1, ")
        assert len(lines) == 5
        content = store.content("configuration/parts/" + lines[2].split()[0])
        assert content is not None
        manifest = origin.add_version("cotacoes", "2026-11", b"weights" * 1000)
        assert json.loads(content)["manifest_digest"] == manifest.digest

    async def test_recovers_from_lost_answers(
        self, store: ObjectApiStandin, origin: OriginStandin, capsys: pytest.CaptureFixture[str]
    ) -> None:
        store.lose_answers = 5
        assert await run_in_thread(*self.arguments(store, origin)) == 0
        assert "generation 1 is published" in capsys.readouterr().out
        assert store.lose_answers == 0

    async def test_reports_a_lost_race(
        self, origin: OriginStandin, capsys: pytest.CaptureFixture[str]
    ) -> None:
        class RacingStore(ObjectApiStandin):
            """Publish another generation just before the index is updated."""

            async def _put(self, request: web.Request) -> web.StreamResponse:
                if request.path.endswith("index") and not self.version("configuration/index"):
                    other_index = {"generation": 7, "publication_id": "other", "parts": {}}
                    await self.write("configuration/index", json.dumps(other_index).encode())
                return await super()._put(request)

        store = RacingStore()
        await store.start()
        assert await run_in_thread(*self.arguments(store, origin)) == 4
        assert "generation 7" in capsys.readouterr().err
        assert await run_in_thread(*self.arguments(store, origin)) == 0
        assert "generation 8" in capsys.readouterr().out
        await store.stop()

    async def test_reports_a_version_missing_at_the_origin(
        self, store: ObjectApiStandin, capsys: pytest.CaptureFixture[str]
    ) -> None:
        empty = OriginStandin()
        await empty.start()
        assert await run_in_thread(*self.arguments(store, empty)) == 1
        assert '$.version: "2026-11"' in capsys.readouterr().err
        await empty.stop()
        assert await run_in_thread("publish", OVO_JUSTO, "--store", store.url) == 1
        assert "--origin looks it up" in capsys.readouterr().err
        assert store.calls["put"] == 0

    async def test_malformed_configuration_in_the_store(self, store: ObjectApiStandin) -> None:
        store.outage = Outage.REFUSE
        assert await run_in_thread("status", "--store", store.url) == 3
        store.outage = None
        await store.write("configuration/index", b"[]")
        assert await run_in_thread("status", "--store", store.url) == 3


class TestStatus:
    """Guard against a status that omits outdated processes or why a version is halted."""

    async def test_lists_outdated_processes(self, capsys: pytest.CaptureFixture[str]) -> None:
        store = ObjectApiStandin()
        await store.start()
        index = {"generation": 7, "publication_id": "p", "parts": {}}
        await store.write("configuration/index", json.dumps(index).encode())
        halted = VersionStatus(failed={InstanceId("e-2"): "out of memory"}, halted=True)
        zone = ZoneStatus(
            zone=ZoneId("serra-z1"),
            processes={InstanceId("e-1"): Generation(7), InstanceId("e-2"): Generation(6)},
            services={
                ServiceName("llm"): {
                    Digest("a" * 64): VersionStatus(serving=(InstanceId("e-1"),)),
                    Digest("b" * 64): halted,
                }
            },
            written_at_seconds=time.time() - 3600,
        )
        await store.write("status/serra-z1", zone.to_json())
        await store.write("status/other", b"[]")
        assert await run_in_thread("status", "--store", store.url) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines[1].startswith("zone serra-z1: 1 of 2 processes have generation 7 in force, 36")
        assert lines[2:] == [
            "  lacking: e-2 (generation 6)",
            "  llm aaaaaaaaaaaa serves on e-1",
            "  llm bbbbbbbbbbbb halted on e-2: out of memory",
            "status/other: not a zone's status",
        ]
        assert await run_in_thread("status", "--store", store.url, "--json") == 0
        value = json.loads(capsys.readouterr().out)
        assert value["zones"][0]["lacking"] == {"e-2": 6}
        assert value["zones"][0]["age_seconds"] >= 3600
        await store.stop()


class TestDump:
    """Guard against a dump without the bearer token or with other content than the state."""

    async def test_sends_the_token_and_prints_json(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async def state(request: web.Request) -> web.Response:
            is_known = request.headers.get("Authorization") == "Bearer secret"
            return web.json_response({"b": 1, "a": 2}, status=200 if is_known else 401)

        application = web.Application()
        application.router.add_get("/debug/state", state)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        (tmp_path / "token").write_text("secret\n")
        assert await run_in_thread("dump", address) == 3
        assert "401" in capsys.readouterr().err
        assert await run_in_thread("dump", address, "--token-file", str(tmp_path / "token")) == 0
        assert json.loads(capsys.readouterr().out) == {"a": 2, "b": 1}
        await runner.cleanup()
