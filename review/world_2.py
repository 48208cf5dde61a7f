"""Run the project's programs as processes between small stand-ins on loopback.

Engines, the store, consumers and the platform are played here, in the process of the script. The
platform starts the programs with the commands of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTER_HOSTS = "127.0.1"
AGENT_HOSTS = "127.0.2"
ENGINE_HOSTS = "127.0.3"
STORE_HOST = "127.0.4.1"
ORIGIN_HOST = "127.0.4.2"
ZONES = {"serra-z1": "serra", "taquari-z1": "taquari", "oeste-sc-z1": "oeste-sc"}
ZONE = "serra-z1"
HEARTBEAT_SECONDS = 1.2
HOST, KEY, TENANT = "jepu9.example", "jnbanfqasnmgkcuyj8pj", "bozi300"
RESTART_SECONDS = 0.3
WINDOW_BYTES = 64 * 1024
BOUNDS = {
    "drain_ms": 2000,
    "config_ms": 2000,
    "version_ms": 8000,
    "grace_s": 8,
    "stable_window_ms": 3000,
    "budget_ratio": 0.2,
    "budget_extra": 219,
    "budget_window_s": 10,
}


class CannotRunError(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Write what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    @property
    def seconds(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._started

    def line(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f"{self.seconds:8.3f} {text}\n")
        self._file.flush()


def find_port(hosts: list[str], *, span: int = 1) -> int:
    """Return the first of some ports in a row that are free at all the hosts."""
    for _ in range(200):
        first = random.randrange(20_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in range(first, first + span):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
                            probe.bind((host, port))
            except OSError:
                continue
            return first
    raise CannotRunError("no free ports")


class Store:
    """Serve the platform's store: objects by kind and name, one revision counter and watches."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server
        self.address = ""
        self._is_up = asyncio.Event()
        self._is_up.set()
        self._is_busy = False
        self._era = 1

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._server = await loop.create_server(server, STORE_HOST, 0)
        self.address = f"{STORE_HOST}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object; nothing happens if it is the same."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return
        self._revision += 1
        meta = {
            "name": name,
            "rev": self._revision,
            "created": known["meta"]["created"] if known else self._revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"meta": meta, "spec": spec, "status": None}
        self._objects[kind][name] = stored
        self._notify(kind, stored, deleted=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._notify(kind, stored, deleted=True)

    def _notify(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        self._history.append((self._revision, kind, deleted, stored))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        # While the store is down, no call has an effect. Its callers give up before it is back.
        if self._is_busy:
            return web.Response(status=503, headers={"Store-Era": str(self._era)})
        await self._is_up.wait()
        answer = await self._answer(request)
        await self._is_up.wait()
        answer.headers["Store-Era"] = str(self._era)
        return answer

    @property
    def is_up(self) -> bool:
        """Return whether the store answers."""
        return self._is_up.is_set()

    def copy(self) -> tuple[int, dict[str, dict[str, dict[str, Any]]]]:
        """Return a copy from which the store can come back."""
        return self._revision, {kind: dict(objects) for kind, objects in self._objects.items()}

    def restore(self, content: tuple[int, dict[str, dict[str, dict[str, Any]]]]) -> None:
        """Go back to a copy: what was written since is gone, and revisions are given out again."""
        self._revision, self._objects = content
        self._history = [change for change in self._history if change[0] <= self._revision]
        self._era += 1
        self._record.line(f"the store has come back from a copy, era {self._era}")

    async def wait_until_up(self) -> None:
        """Wait until the store answers."""
        await self._is_up.wait()

    def go_down(self, *, busy: bool = False) -> None:
        """Answer no call, or each with 503 if the store is busy; watches are cut off."""
        self._is_up.clear()
        self._is_busy = busy
        self._notify_watches()
        self._record.line("the store is down")

    def come_back(self) -> None:
        """Answer again."""
        self._is_busy = False
        self._is_up.set()
        self._record.line("the store is up")

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        parts = request.path.split("/")[3:]
        kind, objects = parts[0], self._objects.setdefault(parts[0], {})
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request)
        if request.method == "GET" and len(parts) > 1:
            found = objects.get(parts[1])
            return web.Response(status=404) if found is None else web.json_response(found)
        if request.method == "GET":
            after = request.query.get("after", "")
            items = [objects[name] for name in sorted(objects) if name > after]
            page = {"items": items, "more": False, "store_revision": self._revision}
            return web.json_response(page)
        body = json.loads(await request.read())
        name = parts[1] if len(parts) > 1 else body["meta"]["name"]
        if request.method == "POST" and name in objects:
            return web.json_response(objects[name], status=409)
        self.put(kind, name, body["spec"])
        return web.json_response(objects[name])

    async def _watch(self, kind: str, request: web.BaseRequest) -> web.StreamResponse:
        after = int(request.query["watch"])
        if after > self._revision:
            return web.Response(status=410)
        until = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            found = [h for h in self._history if h[0] > after and h[1] == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                events = [{"object": h[3], "deleted": h[2]} for h in found]
                return web.json_response({"events": events, "store_revision": self._revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
            if self._is_busy and request.transport is not None:
                request.transport.abort()

    def stop(self) -> None:
        """Close the listener."""
        self._server.close()


class Arrival:
    """Hold what an engine has read of one request."""

    def __init__(self, method: str, target: str, headers: dict[str, str]) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""

    @property
    def call_id(self) -> str:
        """Return the id of the consumer's attempt."""
        return self.headers.get("x-attempt-id", "")


Answerer = Callable[[Arrival, asyncio.StreamWriter], Awaitable[None]]


class Engine:
    """Serve requests as a sound engine of a plain service, and keep its entry in the store."""

    def __init__(
        self, record: Record, store: Store, *, number: int, service: str, slots: int = 6
    ) -> None:
        self.engine_id = f"i-{number:08x}"
        self.service = service
        self.slots = slots
        self.queue = 4 * slots
        self.born = int(time.time() * 1000)
        self.address = ""
        self.leaving = False
        self.work_seconds = 0.02
        self.return_seconds = 0.5
        """When it checks in after the store is back; about two seconds are allowed."""
        self.read_bytes_per_second: float | None = None
        """How fast it reads a body; None if as fast as it arrives."""
        self.extra_headers: dict[str, str] = {}
        self.refuse: Callable[[Arrival], tuple[int, dict[str, str]] | None] = lambda _: None
        self.arrivals: list[tuple[float, Arrival]] = []
        self.runs: list[tuple[float, Arrival]] = []
        self._record = record
        self._store = store
        self._host = f"{ENGINE_HOSTS}.{number}"
        self._places = asyncio.Semaphore(slots)
        self._waiting = 0
        self._seq = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen, register and check in regularly."""
        await self._listen()
        self._tasks.add(asyncio.create_task(self._check_in()))

    async def _listen(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Windows are small on the platform, so a peer that does not read blocks the writer.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listener.bind((self._host, int(self.address.rpartition(":")[2] or 0)))
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=WINDOW_BYTES)
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"
        self._tasks.add(asyncio.create_task(self._check_in()))

    async def restart(self) -> None:
        """Crash, and start again under the same id and address."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.line(f"engine {self.engine_id} crashes")
        await asyncio.sleep(RESTART_SECONDS)
        self.born, self._seq = int(time.time() * 1000), 0
        await self._listen()
        self._store.put("servers", self.engine_id, self.entry())
        self._record.line(f"engine {self.engine_id} starts again, born {self.born}")

    def deregister(self) -> None:
        """Leave without a notice: the entry goes, and the engine serves on for a while."""
        for task in self._tasks:
            task.cancel()
        self._store.remove("servers", self.engine_id)
        self._record.line(f"engine {self.engine_id} leaves, the store has removed its entry")

    def entry(self) -> dict[str, Any]:
        """Return the entry as the engine writes it."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": self.slots,
            "state": "draining" if self.leaving else "ready",
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self.born,
        }

    async def _check_in(self) -> None:
        while True:
            if not self._store.is_up:
                await self._store.wait_until_up()
                await asyncio.sleep(self.return_seconds)
            self._seq += 1
            self._store.put("servers", self.engine_id, self.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        # asyncio cancels this when the case ends, and would print it as an error.
        ended = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                arrival = parse_request(head)
                self.arrivals.append((self._record.seconds, arrival))
                self._record.line(
                    f"engine {self.engine_id} ({self.service}) gets {arrival.method} "
                    f"{arrival.target} {arrival.call_id}"
                )
                arrival.body = await self._read_body(reader, arrival)
                await self._answer(arrival, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _read_body(self, reader: asyncio.StreamReader, arrival: Arrival) -> bytes:
        left, parts = int(arrival.headers.get("content-length", "0")), []
        while left:
            part = await reader.read(min(left, 16 * 1024))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            parts.append(part)
            left -= len(part)
            if self.read_bytes_per_second is not None:
                await asyncio.sleep(len(part) / self.read_bytes_per_second)
        return b"".join(parts)

    async def _answer(self, arrival: Arrival, writer: asyncio.StreamWriter) -> None:
        headers = {"X-Attempt-Id": arrival.call_id, **self.extra_headers}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        expected = arrival.headers.get("x-expect-instance", self.engine_id)
        refusal = (421, {"X-Instance-Id": self.engine_id}) if expected != self.engine_id else None
        refusal = refusal or self.refuse(arrival)
        if refusal is None and self._waiting >= self.queue:
            refusal = (503, {"X-Not-Run": "1"})
        if refusal is not None:
            status, more = refusal
            self._record.line(f"engine {self.engine_id} rejects {arrival.call_id} with {status}")
            write_answer(writer, status, {**headers, **more}, b"")
            return
        self._waiting += 1
        async with self._places:
            self._waiting -= 1
            self.runs.append((self._record.seconds, arrival))
            self._record.line(f"engine {self.engine_id} ({self.service}) runs {arrival.call_id}")
            await asyncio.sleep(self.work_seconds)
        headers["X-Engine-Stamp"] = f"{self.engine_id}.{arrival.call_id}"
        write_answer(writer, 200, headers, b"done by " + self.service.encode())

    def stop(self) -> None:
        """Stop checking in and listening."""
        for task in self._tasks:
            task.cancel()
        self._server.close()


def parse_request(head: bytes) -> Arrival:
    """Return a request's method, target and headers."""
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines if line)
    return Arrival(method, target, {name.lower(): value.strip() for name, _, value in pairs})


def write_answer(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
) -> None:
    """Write an answer with its length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)


class Answer:
    """Hold what a consumer got; the status is 0 if the channel ended without a whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def is_served(self) -> bool:
        """Return whether it is a success with the receipt of an engine."""
        return 200 <= self.status < 300 and "x-engine-stamp" in self.headers


class Consumer:
    """Send requests over one kept channel, and open a new one when it is closed."""

    def __init__(self, world: "World", address: str, name: str) -> None:
        self._world = world
        self._record = world.record
        self._address = address
        self._name = name
        self._sent = 0
        self._channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.last_id = ""

    async def call(
        self, method: str, target: str, *, budget_ms: int, body: bytes = b"", **headers: str
    ) -> Answer:
        """Send one attempt and return its answer."""
        self._sent += 1
        call_id = self.last_id = f"{self._name}-{self._sent}"
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {call_id}",
            f"X-Deadline-Ms: {budget_ms}",
            f"X-Api-Key: {KEY}",
        ]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self._record.line(f"consumer sends {method} {target} {call_id} ({len(body)} bytes)")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        self._world.sent.append((call_id, self._record.seconds))
        try:
            async with asyncio.timeout(budget_ms / 1000 + 1.0):
                answer = await self._exchange(data)
        except (ConnectionError, OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.close()
            answer = Answer(0, {}, type(error).__name__.encode())
        self._record.line(
            f"consumer gets {answer.status or 'no answer'} for {call_id} "
            f"{answer.headers.get('x-engine-stamp', '')} {answer.body[:80].decode('latin-1')}"
        )
        self._world.answers.append((self._record.seconds, call_id, answer))
        return answer

    async def _exchange(self, data: bytes) -> Answer:
        if self._channel is None:
            host, _, port = self._address.rpartition(":")
            async with asyncio.timeout(1.0):
                self._channel = await asyncio.open_connection(host, int(port))
        reader, writer = self._channel
        writer.write(data)
        answer = await read_answer(reader)
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self._channel is not None:
            self._channel[1].close()
            self._channel = None


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; raise IncompleteReadError if it ends early."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while (size := int((await reader.readline()).split(b";")[0], 16)) > 0:
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(first.split(" ")[1]), headers, body)


class Program:
    """Run one program of the deploy file, and start it again when it ends, as the platform does."""

    def __init__(self, record: Record, role: str, command: list[str], settings: Path) -> None:
        self._record = record
        self._role = role
        self._command = command
        self._settings = settings
        self._process: asyncio.subprocess.Process | None = None
        self._keeper: asyncio.Task[None] | None = None
        self.starts = 0
        self.down_seconds = RESTART_SECONDS
        """How long the program is down after it has ended."""
        self.memory_limit_bytes = 0
        """More than this ends the process; 0 for no limit."""
        self.memory_kills = 0
        self.peak_bytes = 0

    @property
    def process_id(self) -> int:
        """Return the id of the process that runs now."""
        if self._process is None:
            raise CannotRunError(f"{self._role} does not run")
        return self._process.pid

    def start(self) -> None:
        """Start the program and keep it running."""
        self._keeper = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        while True:
            log = self._settings.with_suffix(".log").open("ab")
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "EGRETROUTER_CONFIG": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
            log.close()
            self.starts += 1
            self._record.line(f"platform starts {self._role}, start {self.starts}")
            await self._watch(self._process)
            self._record.line(f"{self._role} has ended with {self._process.returncode}")
            await asyncio.sleep(self.down_seconds)

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), 0.01)
                return
            used = resident_bytes(process.pid)
            self.peak_bytes = max(self.peak_bytes, used)
            if self.memory_limit_bytes and used > self.memory_limit_bytes:
                self.memory_kills += 1
                self._record.line(f"platform kills {self._role}: it takes {used / 1e6:.0f} MB")
                process.kill()
                await process.wait()

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self._record.line(f"platform sends {number.name} to {self._role}")
        os.kill(self.process_id, number)

    async def stop(self) -> None:
        """End the process for good."""
        if self._keeper is not None:
            self._keeper.cancel()
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()


def resident_bytes(process_id: int) -> int:
    """Return the memory of a process, 0 if it has ended."""
    try:
        pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def render_settings(fields: dict[str, Any]) -> str:
    """Fill in the template of the deploy file as far as it is used there."""
    text = (ROOT / "deploy" / "settings.json.template").read_text()

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        return match[2] if find(match[1]) not in (None, False, "", [], {}) else ""

    def place(match: re.Match[str]) -> str:
        value = find(match[1])
        if match[2]:
            return json.dumps(value if value is not None else "")
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class World:
    """Run a small deployment: routers, agents, engines, the store and an operator."""

    def __init__(self, folder: Path, *, memory_mb: int = 222) -> None:
        self.record = Record(folder)
        self.store = Store(self.record)
        self.engines: list[Engine] = []
        self.sent: list[tuple[str, float]] = []
        """The id of each attempt, and when it was sent."""
        self.answers: list[tuple[float, str, Answer]] = []
        self.routers: list[Program] = []
        self.agents: list[Program] = []
        self.consumer_addresses: list[str] = []
        self._memory_mb = memory_mb
        self._directory = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._commands = {role: spec["run"].split() for role, spec in deploy["roles"].items()}
        hosts = [f"{net}.{n}" for net in (ROUTER_HOSTS, AGENT_HOSTS) for n in range(1, 25)]
        self._peer_port = find_port(hosts, span=16)
        self._front_port = find_port(hosts)
        self._ready_port = find_port(hosts)

    @property
    def memory_bytes(self) -> int:
        """Return what a router's process may take."""
        return self._memory_mb * 1_000_000

    def configure(self, version: int, **parts: Any) -> None:
        """Write a configuration as the operator does."""
        limits = {
            "header_bytes": 16_384,
            "body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        }
        tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1}]
        config = {"version": version, "limits": limits, "tenants": tenants, **parts}
        self.store.put("config", "main", config)

    def _fields(self, name: str, role: str, address: str, **more: Any) -> dict[str, Any]:
        return {
            "node": name,
            "role": role,
            "ip": address,
            "zone": ZONE,
            "zones": ZONES,
            "listen": {
                "front": f"{address}:{self._front_port}",
                "ready": f"{address}:{self._ready_port}",
            },
            "port_range": [self._peer_port, self._peer_port + 15],
            "seeds": [f"{ROUTER_HOSTS}.{n}:{self._front_port}" for n in (1, 2, 3)],
            "provider": {"addr": self.store.address, "history_s": 20},
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "limits": {"link_mbps": 350.0, "memory_mb": self._memory_mb},
            "bounds": BOUNDS,
            **more,
        }

    def _program(self, role: str, name: str, fields: dict[str, Any]) -> Program:
        path = self._directory / f"{name}.json"
        path.write_text(render_settings(fields))
        return Program(self.record, name, self._commands[role], path)

    async def start_routers(self, count: int, *, zones: tuple[str, ...] = (ZONE,)) -> None:
        """Start routers, whose zones take turns, and wait until they are ready."""
        for number in range(1, count + 1):
            address = f"{ROUTER_HOSTS}.{number}"
            fields = self._fields(f"front-{number:02}", "router", address)
            fields["zone"] = zones[(number - 1) % len(zones)]
            router = self._program("router", fields["node"], fields)
            self.routers.append(router)
            self.consumer_addresses.append(fields["listen"]["front"])
            router.start()
        for number in range(1, count + 1):
            await self.wait_until_ready(number)

    def start_agent(self, number: int, *, engine: str, service: str) -> Program:
        """Start the agent beside an engine, on the engine's host."""
        address = engine.partition(":")[0]
        fields = self._fields(f"side-{number}", "agent", address, app=engine, service=service)
        fields["limits"] = {"link_mbps": 100.0, "memory_mb": 168}
        agent = self._program("agent", f"side-{number}", fields)
        self.agents.append(agent)
        agent.start()
        return agent

    async def wait_until_ready(self, number: int, *, seconds: float = 15.0) -> None:
        """Wait until a router answers its readiness check with 200."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready(number):
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"front-{number} is not ready after {seconds} s")

    async def is_ready(self, number: int) -> bool:
        """Ask a router whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    f"{ROUTER_HOSTS}.{number}", self._ready_port
                )
                writer.write(b"GET /egretrouter/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def stop(self) -> None:
        """End everything that was started."""
        for program in [*self.routers, *self.agents]:
            await program.stop()
        for engine in self.engines:
            engine.stop()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self._directory)
        else:
            shutil.rmtree(self._directory, ignore_errors=True)


def run_case(
    folder: Path,
    play: Callable[[World], Awaitable[bool]],
    *,
    limit_s: float,
    memory_mb: int = 222,
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def run() -> bool:
        world = World(folder, memory_mb=memory_mb)
        task = asyncio.current_task()
        assert task is not None
        # A case that is told to stop ends its processes too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                await world.store.start()
                return await play(world)
        except TimeoutError as error:
            raise CannotRunError(f"the case took more than {limit_s} s") from error
        finally:
            await world.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRunError, OSError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
