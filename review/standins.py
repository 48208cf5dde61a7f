"""Stand-ins of the platform for the cases of the review: store, model engine, origin, caller.

They follow PROTOCOL.md, and behave like sound servers where that page is silent.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Self

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HOST = "a.example"
KEY = "key-1"
MODEL = "m0"
HEARTBEAT_SECONDS = 1.2
SILENT_HEARTBEATS = 3
SLOTS = 8
LIMITS = {
    "header_bytes": 16384,
    "body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
CASE_SECONDS = 117.0
CANNOT_RUN = 2

BOUNDS = {
    "drain_ms": 2000,
    "configuration_ms": 2000,
    "weights_ms": 8000,
    "grace_seconds": 8,
    "touch_ms": 3000,
    "repeat_ratio": 0.2,
    "repeat_extra": 219,
    "repeat_window_seconds": 10,
}


class Record:
    """Write what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one line."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._started:8.3f} {event} {words}\n")
        self._file.flush()


def free_ports(count: int) -> list[int]:
    """Return consecutive ports that are free."""
    rng = random.Random()
    while True:
        first = rng.randrange(20000, 31000)
        ports = list(range(first, first + count))
        if all(_is_free(port) for port in ports):
            return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class HttpStandin:
    """Serve HTTP on a loopback address."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.host = host
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> Self:
        """Listen on a port that the system assigns."""
        handler = web.Server(self.handle, access_log=None, handler_cancellation=True)
        self._server = await asyncio.get_running_loop().create_server(handler, self.host, 0)
        self.address = f"{self.host}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        raise NotImplementedError


class Store(HttpStandin):
    """The platform's store: objects by kind and name, revisions and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 100
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object; an equal one changes nothing."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        meta = {
            "name": name,
            "rev": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"meta": meta, "spec": spec, "status": None}
        self.objects[kind][name] = stored
        self._note(kind, stored, deleted=False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._note(kind, stored, deleted=True)

    def _note(self, kind: str, stored: dict[str, Any], *, deleted: bool) -> None:
        self._history.append((self.revision, kind, deleted, stored))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call to the store."""
        kind, *rest = request.path.split("/")[3:]
        name = rest[0] if rest else ""
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(request, kind)
        if request.method == "GET" and not name:
            after = request.query.get("after", "")
            found = self.objects.get(kind, {})
            items = [found[n] for n in sorted(found) if n > after]
            page = {"items": items[:500], "more": len(items) > 500}
            return web.json_response({**page, "store_revision": self.revision})
        if request.method == "GET":
            stored = self.objects.get(kind, {}).get(name)
            return web.json_response(stored, status=404 if stored is None else 200)
        body = json.loads(await request.read())
        name = name or body["meta"]["name"]
        if request.method == "POST" and name in self.objects.get(kind, {}):
            return web.json_response(self.objects[kind][name], status=409)
        self.put(kind, name, body["spec"])
        return web.json_response(self.objects[kind][name])

    async def _watch(self, request: web.BaseRequest, kind: str) -> web.StreamResponse:
        after = int(request.query["watch"])
        until = time.monotonic() + int(request.query["wait_ms"]) / 1000
        while True:
            changed = self._changed
            found = [h for h in self._history if h[0] > after and h[1] == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                events = [{"object": stored, "deleted": gone} for _, _, gone, stored in found]
                return web.json_response({"events": events, "store_revision": self.revision})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


def chunk_content(version: int, number: int, size: int) -> bytes:
    """Return the bytes of one piece of weights."""
    return random.Random(f"{version}/{number}").randbytes(size)


class Origin(HttpStandin):
    """The service that sends pieces of weights."""

    def __init__(self, *, chunks: int, chunk_bytes: int) -> None:
        super().__init__()
        self.chunks, self.chunk_bytes = chunks, chunk_bytes
        self._content: dict[int, list[bytes]] = {}

    def content(self, version: int) -> list[bytes]:
        """Return all pieces of a version."""
        if version not in self._content:
            numbers = range(self.chunks)
            self._content[version] = [chunk_content(version, n, self.chunk_bytes) for n in numbers]
        return self._content[version]

    def digests(self, version: int) -> list[str]:
        """Return the digests of all pieces of a version."""
        return [hashlib.sha256(piece).hexdigest() for piece in self.content(version)]

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send a manifest or a piece."""
        _, _, resource, model = request.path.split("/")
        version = int(request.query["version"])
        if resource == "manifest":
            return web.json_response(
                {
                    "model": model,
                    "version": version,
                    "chunk_bytes": self.chunk_bytes,
                    "layers": 16,
                    "digests": self.digests(version),
                }
            )
        return web.Response(body=self.content(version)[int(request.query["num"])])


class ModelEngine(HttpStandin):
    """A model engine, which loads staged weights by order and answers streams."""

    def __init__(
        self, engine_id: str, zone: str, *, store: Store, origin: Origin, record: Record, host: str
    ) -> None:
        super().__init__(host)
        self.engine_id, self.zone = engine_id, zone
        self.version = 1
        self.staged: dict[int, bytes] = dict(enumerate(origin.content(1)))
        self.seq = 0
        self.busy = False
        self.running = 0
        self.born = int(time.time() * 1000)
        self._store, self._origin, self._record = store, origin, record
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Self:
        """Listen, and register with the store at each heartbeat."""
        await super().start()
        task = asyncio.create_task(self._register())
        self._tasks.add(task)
        return self

    async def _register(self) -> None:
        while True:
            self._store.put("servers", self.engine_id, self._entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": MODEL, "version": self.version, "adapters": []}] if self.version else []

    def _entry(self) -> dict[str, Any]:
        return {
            "service": "llm",
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "seq": self.seq,
            "cold_left_ms": 0,
            "born": self.born,
            "stage": "both",
            "models": self._models(),
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the agent beside the engine, or a call."""
        parts = request.path.split("/")
        if parts[1] != "egretrouter":
            return await self._call(request)
        if parts[2] == "report":
            return web.json_response(
                {
                    "stage": "both",
                    "models": self._models(),
                    "busy": self.busy,
                    "seq": self.seq,
                    "queued": 0,
                    "running": self.running,
                    "kv_used": 0,
                    "kv_total": 90000,
                    "handles": 0,
                    "born": self.born,
                    "pace": 1.0,
                }
            )
        if parts[2] == "stage-put":
            self.staged[int(request.query["num"])] = await request.read()
            return web.json_response({})
        if parts[2] == "stage-get":
            content = self.staged.get(int(request.query["num"]))
            return web.Response(status=404) if content is None else web.Response(body=content)
        if parts[2] == "order":
            return self._order(json.loads(await request.read()))
        return web.Response(status=400)

    def _order(self, body: dict[str, Any]) -> web.Response:
        version = body["version"]
        if body.get("expected", self.seq) != self.seq or self.busy:
            return web.json_response({}, status=409)
        if version == self.version:
            return web.json_response({}, status=200)
        digests = [hashlib.sha256(self.staged[n]).hexdigest() for n in sorted(self.staged)]
        sound = digests == self._origin.digests(version)
        self._record("engine-order", engine=self.engine_id, version=version, sound=sound)
        self.seq += 1
        self.busy = True
        task = asyncio.create_task(self._load(version))
        self._tasks.add(task)
        return web.json_response({}, status=202)

    async def _load(self, version: int) -> None:
        while self.running:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        self.version = version
        self.busy = False
        self._store.put("servers", self.engine_id, self._entry())

    async def _call(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        call = request.headers.get("X-Attempt-Id", "")
        head = {"X-Attempt-Id": call, "X-Instance-Id": self.engine_id}
        if request.headers.get("X-Expect-Instance") not in (None, self.engine_id):
            return web.Response(status=421, headers=head)
        if request.headers.get("X-Expect-Version") not in (None, str(self.version)):
            return web.Response(status=421, headers={**head, "At-Server": self.engine_id})
        if self.busy or not self.version or self.running >= SLOTS:
            return web.Response(status=503, headers={**head, "X-Not-Run": "1"})
        self.running += 1
        self._record("engine-run", engine=self.engine_id, call=call, version=self.version)
        try:
            response = web.StreamResponse(
                headers={
                    **head,
                    "X-Engine-Stamp": f"{self.engine_id}.{call}",
                    "X-Weight-Versions": str(self.version),
                    "X-Engine-Load": f"{self.running},0,{SLOTS}",
                    "Content-Type": "text/event-stream",
                }
            )
            response.enable_chunked_encoding()
            await response.prepare(request)
            for number in range(1, 4):
                await asyncio.sleep(0.02)
                await response.write(b"id: %d\ndata: text %d\n\n" % (number, number))
            await response.write_eof()
        finally:
            self.running -= 1
        return response


def model_configuration(*, origin: str) -> dict[str, Any]:
    """Return a configuration like those of the users, with one service of model engines."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "draft",
                "host": HOST,
                "path_prefix": "/draft/",
                "kind": "stream",
                "service": "llm",
                "attempts": 2,
                "timeout_ms": 6000,
                "target_latency_ms": 400,
                "max_gap_ms": 300,
                "priority": 1,
                "resumable": True,
                "sticky": True,
            }
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_conns": 600,
                "engine": {
                    "slots": SLOTS,
                    "step_ms": 6.73,
                    "read_per_s": 30600,
                    "stride": 6,
                    "per_seq_ms": 0.0219,
                    "context_per_k": 0.0068,
                    "pairs_per_m": 0.647,
                    "chunk": 2048,
                    "kv_cap_tokens": 1640000,
                    "report_lag_ms": 200,
                    "usual": {"prompt": 1000, "answer": 100},
                    "models": [{"name": MODEL}],
                },
            },
            {
                "name": "weights",
                "health_path": "/healthz",
                "origin": origin,
                "zone": "z1",
                "link_mbps": 100,
                "max_conns": 100,
            },
        ],
        "limits": LIMITS,
        "tenants": [{"name": "coop", "api_keys": [KEY]}],
    }


class PlainEngine(HttpStandin):
    """An engine of a plain service, which answers at once with the name of its service."""

    def __init__(
        self, engine_id: str, service: str, zone: str, *, store: Store, record: Record
    ) -> None:
        super().__init__()
        self.engine_id, self.service, self.zone = engine_id, service, zone
        self.born = int(time.time() * 1000)
        self._store, self._record = store, record
        self._check_ins: asyncio.Task[None] | None = None

    async def start(self) -> Self:
        """Listen, and register with the store at each heartbeat."""
        await super().start()
        self._check_ins = asyncio.create_task(self._register())
        return self

    async def _register(self) -> None:
        while True:
            self._store.put("servers", self.engine_id, self._entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _entry(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "seq": 0,
            "cold_left_ms": 0,
            "born": self.born,
        }

    async def lose_power(self) -> None:
        """End at once; the store removes the entry after some silent heartbeats."""
        if self._check_ins is not None:
            self._check_ins.cancel()
        if self._server is not None:
            self._server.close()
        await asyncio.sleep(SILENT_HEARTBEATS * HEARTBEAT_SECONDS)
        self._store.delete("servers", self.engine_id)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run a call."""
        await request.read()
        call_id = request.headers.get("X-Attempt-Id", "")
        head = {"X-Attempt-Id": call_id, "X-Instance-Id": self.engine_id}
        if request.headers.get("X-Expect-Instance") not in (None, self.engine_id):
            return web.Response(status=421, headers=head)
        self._record("engine-run", engine=self.engine_id, service=self.service, call=call_id)
        stamp = {"X-Engine-Stamp": f"{self.engine_id}.{call_id}", "Connection": "close"}
        return web.Response(body=self.service.encode(), headers={**head, **stamp})


def plain_configuration(version: int, service: str, services: list[str]) -> dict[str, Any]:
    """Return a configuration with one route of plain calls that may run only once."""
    return {
        "version": version,
        "routes": [
            {
                "name": "orders",
                "host": HOST,
                "path_prefix": "/orders/",
                "kind": "non_idempotent",
                "service": service,
                "attempts": 1,
                "timeout_ms": 1000,
                "target_latency_ms": 150,
                "priority": 2,
            }
        ],
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 100} for name in services
        ],
        "limits": LIMITS,
        "tenants": [{"name": "coop", "api_keys": [KEY]}],
    }


class Processes:
    """Run the project's programs with the commands of the deploy file."""

    def __init__(self, *, zones: list[str], link_mbps: float, record: Record) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._zones, self._record = zones, record
        self.store = ""
        """Address of the store, once it has started."""
        self._link_mbps = link_mbps
        self._ports = free_ports(4)
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._logs: list[Any] = []
        self._seeds: list[str] = []

    def log_path(self, name: str) -> Path:
        """Return where the output of a process is written."""
        return self._folder / f"{name}.log"

    def callers(self, host: str) -> str:
        """Return where the router at a host listens for callers."""
        return f"{host}:{self._ports[2]}"

    def readiness(self, host: str) -> str:
        """Return where the router at a host listens for readiness checks."""
        return f"{host}:{self._ports[3]}"

    async def run(self, role: str, name: str, host: str, zone: str, *, engine: str = "") -> None:
        """Start a process; it has a loopback address of its own, as all share the ports."""
        settings = {
            "instance_id": name,
            "zone": zone,
            "regions": {z: f"region-{z}" for z in self._zones},
            "address": host,
            "callers": self.callers(host) if role == "router" else "",
            "readiness": self.readiness(host) if role == "router" else "",
            "peer_ports": self._ports[:2],
            "seeds": [f"{seed}:1" for seed in self._seeds[:3]],
            "store": self.store,
            "store_history_seconds": 20,
            "engine": engine,
            "engine_service": "llm" if engine else "",
            "heartbeat_ms": 1200,
            "link_bits_per_second": self._link_mbps * 1e6,
            "bounds": BOUNDS,
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        log = self.log_path(name).open("ab")
        self._logs.append(log)
        self._running[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/run.py",
            role,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", ""),
                "EGRETROUTER_CONFIG": str(path),
                "PYTHONPATH": "target/deps",
            },
            stdout=log,
            stderr=log,
        )
        self._seeds.append(host)
        self._record("process-started", name=name, pid=self._running[name].pid)

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        self._record("signal", name=name, signal=number.name)
        self._running[name].send_signal(number)

    def memory_mb(self, name: str) -> float:
        """Return the resident memory of a process that this case started; 0 once it has ended."""
        try:
            status = Path(f"/proc/{self._running[name].pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0.0
        used = [line.split()[1] for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(used[0]) / 1024 if used else 0.0

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self._running[name].returncode is None

    async def end(self) -> None:
        """Kill all processes that this case started; KEEP_LOGS names a folder for their logs."""
        keep_logs = os.environ.get("KEEP_LOGS")
        for process in self._running.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()
        for log in self._logs:
            log.close()
        if keep_logs is not None:
            shutil.copytree(self._folder, keep_logs, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


class Answer:
    """Hold what a caller received; the status is 0 where the connection ended without a head."""

    def __init__(self, status: int, content: bytes, headers: dict[str, str]) -> None:
        self.status, self.content, self.headers = status, content, headers


async def call(
    address: str,
    path: str,
    *,
    call_id: str,
    method: str = "POST",
    deadline_ms: int = 6000,
    headers: dict[str, str] | None = None,
    content: bytes = b"",
) -> Answer:
    """Make one call over a connection of its own."""
    sent = {
        "Host": HOST,
        "X-Attempt-Id": call_id,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Api-Key": KEY,
        **(headers or {}),
    }
    timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 2)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        try:
            async with session.request(
                method, f"http://{address}{path}", headers=sent, data=content
            ) as response:
                return Answer(response.status, await response.read(), dict(response.headers))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Answer(0, str(error).encode(), {})


async def is_ready(address: str) -> bool:
    """Return whether a router answers the load balancer's readiness check with 200."""
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:
        try:
            async with session.get(f"http://{address}/egretrouter/readyz") as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


def run_case(run: Callable[[], Awaitable[int]], end: Callable[[], Awaitable[None]]) -> int:
    """Run a case within its time, end all that it started, and return the exit code."""

    async def run_and_end() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(CASE_SECONDS):
                return await run()
        except TimeoutError:
            print("the case did not end in time")
            return CANNOT_RUN
        finally:
            await end()

    try:
        return asyncio.run(run_and_end())
    except Exception as error:
        print(f"the case cannot run: {error!r}")
        return CANNOT_RUN


async def wait_until(condition: Callable[[], Any], *, seconds: float) -> bool:
    """Wait until a condition holds, and return whether it did in time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return True
        await asyncio.sleep(0.05)
    return False
