"""Run routers and agents as separate processes with settings files."""

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp

from egretrouter.core.weights import Manifest
from egretrouter.standins import EngineStandin, InstanceListStandin, ObjectApiStandin, OriginStandin
from tests.helpers import free_ports

ROOT = Path(__file__).parent.parent.parent
EXIT_SECONDS = 30.0
POLL_SECONDS = 0.05
WAIT_SECONDS = 60.0
LEASE_SECONDS = 1.0


class ProcessFleet:
    """Start and stop router and agent processes, their engines and a stand-in platform."""

    def __init__(self) -> None:
        """Create the fleet without starting anything."""
        self.directory = tempfile.TemporaryDirectory()
        self.path = Path(self.directory.name)
        self.object_api, self.origin = ObjectApiStandin(), OriginStandin()
        self.instance_list = InstanceListStandin()
        self.engines: dict[str, EngineStandin] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ports: dict[str, int] = {}
        """Callers' port of a router, or operators' port of an agent."""
        self.exit_codes: dict[str, int] = {}
        self.manifests: dict[str, Manifest] = {}

    async def start_platform(self) -> None:
        """Start the stand-ins of the platform in this process."""
        for standin in (self.object_api, self.origin, self.instance_list):
            await standin.start()

    async def stop(self) -> None:
        """Kill every process and stop the stand-ins."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for standin in (*self.engines.values(), self.object_api, self.origin, self.instance_list):
            await standin.stop()
        self.directory.cleanup()

    async def start_agent(self, name: str) -> None:
        """Start an engine and its agent."""
        if name not in self.engines:
            self.engines[name] = EngineStandin(checks_fencing=True, token_interval_seconds=0.02)
            await self.engines[name].start()
        endpoint = {"endpoint_id": name, "service": "llm", "url": self.engines[name].url}
        settings = {
            "kind": "agent",
            "endpoint": endpoint,
            "origin_hold_seconds": 0,
            "lease_seconds": LEASE_SECONDS,
            "weight_memory_bytes": 8 * 1024 * 1024,
        }
        await self._start(name, "agent", settings)

    async def start_router(self, name: str) -> None:
        """Start a router."""
        await self._start(name, "router", {"kind": "router", "callers": {"port": 0}})

    async def _start(self, name: str, command: str, settings: dict[str, Any]) -> None:
        settings |= {
            "instance_id": name,
            "zone": "z1",
            "region": "r1",
            # Only the operators' port is chosen in advance; the process reports its others there.
            "operators": {"port": free_ports(1)[0]},
            "platform": {
                "object_store_url": self.object_api.url,
                "origin_url": self.origin.url,
                "instance_list_url": self.instance_list.url,
            },
            "log_file": str(self.path / f"{name}.log"),
        }
        file = self.path / f"{name}.json"
        file.write_text(json.dumps(settings))
        self.processes[name] = await self._spawn(command, "--settings", str(file))
        state = await self._wait_for_state(name, settings["operators"]["port"])
        role = "router" if command == "router" else "agent:llm"
        self.instance_list.add(name, zone="z1", role=role, address=state["peer_address"])
        self.ports[name] = state.get("callers_port", settings["operators"]["port"])

    async def _spawn(self, *arguments: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "egretrouter",
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def _wait_for_state(self, name: str, port: int) -> dict[str, Any]:
        async with asyncio.timeout(WAIT_SECONDS), aiohttp.ClientSession() as session:
            while self.processes[name].returncode is None:
                try:
                    async with session.get(f"http://127.0.0.1:{port}/debug/state") as response:
                        state: dict[str, Any] = await response.json()
                        if state.get("callers_port", 1):
                            return state
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_SECONDS)
        raise AssertionError(f"{name} exited with {self.processes[name].returncode}")

    async def publish(self, version: str) -> tuple[int | None, str]:
        """Publish a version with the command line and return the exit code and output."""
        self.manifests[version] = self.origin.add_version(
            "m", version, version.encode() * 20_000, chunk_bytes=65_536
        )
        files = self.path / "files"
        files.mkdir(exist_ok=True)
        deployment = {
            "kind": "deployment",
            "name": "small",
            "zones": [{"name": "z1", "region": "r1"}],
            "workspaces": [{"name": "w"}],
        }
        service = {
            "kind": "model",
            "name": "llm",
            "model": "m",
            "version": version,
            "placement": [{"zone": "z1", "replicas": 2}],
            "prefixes": ["/v1"],
            "min_ready": 1,
            "deadline_seconds": 300,
            "endpoint": {"checks_fencing": True, "resumes_streams": True},
        }
        (files / "deployment.json").write_text(json.dumps(deployment))
        (files / "llm.json").write_text(json.dumps(service))
        process = await self._spawn(
            "publish", str(files), "--store", self.object_api.url, "--origin", self.origin.url
        )
        output, errors = await process.communicate()
        return process.returncode, (output + errors).decode()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        self.processes[name].send_signal(number)

    async def wait_for_exit(self, name: str) -> int:
        """Wait until a process exits and return its exit code."""
        async with asyncio.timeout(EXIT_SECONDS):
            await self.processes[name].communicate()
        return int(self.processes[name].returncode or 0)
