"""Run the processes of the stream benchmark: upstream, router, pass-through and callers."""

import asyncio
import json
import multiprocessing
import random
import resource
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection
from typing import Any

import msgspec

Command = Callable[[Any], Awaitable[Any]]
CONTEXT = multiprocessing.get_context("spawn")
ANSWER_SECONDS = 30.0
MODEL = "stream"
ZONE = "z1"


class StreamSizes(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the sizes of one run."""

    seed: int = 1
    streams: int = 200
    engines: int = 4
    token_interval_seconds: float = 0.059
    tokens: int = 110
    window_seconds: float = 4.0
    burst_tokens: int = 4


class Child:
    """Run one child process and send it commands over a pipe."""

    def __init__(self, main: Callable[..., None], *arguments: Any) -> None:
        """Start the process."""
        self._pipe, other = CONTEXT.Pipe()
        self._process = CONTEXT.Process(target=main, args=(other, *arguments), daemon=True)
        self._process.start()
        other.close()

    def request(self, command: str, argument: Any = None) -> Any:
        """Send a command and return the reply; raises TimeoutError."""
        self._pipe.send((command, argument))
        if not self._pipe.poll(ANSWER_SECONDS):
            raise TimeoutError(f"no answer to {command!r} within {ANSWER_SECONDS} s")
        return self._pipe.recv()

    def stop(self) -> None:
        """Terminate the process."""
        self._process.terminate()
        self._process.join(5)


async def _usage(_: Any) -> dict[str, float]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm", encoding="ascii") as statm:  # noqa: ASYNC230
        pages = int(statm.read().split()[1])
    return {
        "processor_seconds": usage.ru_utime + usage.ru_stime,
        "resident_mebibytes": round(pages * resource.getpagesize() / 1024**2, 1),
        "time_seconds": time.monotonic(),
    }


async def serve_commands(pipe: Connection, commands: dict[str, Command]) -> None:
    """Execute commands until the parent closes the pipe or terminates this process."""
    loop = asyncio.get_running_loop()
    requests: asyncio.Queue[tuple[str, Any]] = asyncio.Queue()

    def handle_readable() -> None:
        try:
            requests.put_nowait(pipe.recv())
        except EOFError:
            requests.put_nowait(("stop", None))

    loop.add_reader(pipe.fileno(), handle_readable)
    while True:
        name, argument = await requests.get()
        if name == "stop":
            return
        pipe.send(await {"usage": _usage, **commands}[name](argument))


class HoldTimes:
    """Collect how long events were held before they were sent."""

    def __init__(self) -> None:
        """Start empty."""
        self.seconds: list[float] = []

    async def pop_figures(self, _: Any) -> dict[str, float]:
        """Return the figures in milliseconds and clear them."""
        values, self.seconds = sorted(self.seconds), []
        if not values:
            return {}
        return {
            "p50_milliseconds": round(values[len(values) // 2] * 1000, 3),
            "p99_milliseconds": round(values[len(values) * 99 // 100] * 1000, 3),
            "longest_milliseconds": round(values[-1] * 1000, 3),
        }


def upstream_main(pipe: Connection, sizes: StreamSizes) -> None:
    """Run the stand-ins for the platform, the engines and their agents."""
    asyncio.run(_upstream(pipe, sizes))


async def _upstream(pipe: Connection, sizes: StreamSizes) -> None:
    from egretrouter.core.configuration import FILE_ADAPTER, part_name
    from egretrouter.daemons import _agent_calls
    from egretrouter.daemons._running import freeze_objects
    from egretrouter.demo import Fleet, FleetOptions

    deployment = {
        "kind": "deployment",
        "name": "stream-benchmark",
        "zones": [{"name": ZONE, "region": "r1"}],
        "workspaces": [
            {
                "name": "w1",
                "requests_per_second": 100_000,
                "tokens_per_second": 100_000_000,
                "concurrent_calls": 2 * sizes.streams,
            }
        ],
    }
    service = {
        "kind": "model",
        "name": "engines",
        "model": MODEL,
        "version": "v1",
        "deadline_seconds": 60,
        "placement": [{"zone": ZONE, "replicas": sizes.engines}],
    }
    parts = [FILE_ADAPTER.validate_python(part) for part in (deployment, service)]
    options = FleetOptions(
        routers=0, token_interval_seconds=sizes.token_interval_seconds, seed=sizes.seed
    )
    fleet = Fleet({part_name(part): part for part in parts}, options=options)
    await fleet.start()
    for engine in fleet.engines().values():
        engine.batch.capacity = sizes.streams
    content = random.Random(sizes.seed).randbytes(100_000)
    manifest = fleet.origin.add_version(MODEL, "v1", content, chunk_bytes=65536)
    await fleet.publish()
    await fleet.wait_for_replicas(manifest.digest, sizes.engines, timeout_seconds=ANSWER_SECONDS)
    freeze_objects()
    hold_times = HoldTimes()
    _record_agent_holds(_agent_calls.RouterLink, hold_times)

    async def started(_: Any) -> dict[str, Any]:
        seeds = [agent.peer_address for agent in fleet.agents.values()]
        return {
            "digest": manifest.digest,
            "engines": [engine.url for engine in fleet.engines().values()],
            "object_store_url": fleet.object_api.url,
            "instance_list_url": fleet.instance_list.url,
            "seeds": seeds,
        }

    async def coalesce(enabled: bool) -> None:
        for agent in fleet.agents.values():
            agent.calls.coalesce_events = enabled

    async def burst(tokens: int) -> None:
        for engine in fleet.engines().values():
            engine.batch.tokens_per_step = tokens
            engine.batch.token_interval_seconds = tokens * sizes.token_interval_seconds

    commands: dict[str, Command] = {
        "started": started,
        "burst": burst,
        "coalesce": coalesce,
        "holds": hold_times.pop_figures,
    }
    await serve_commands(pipe, commands)


def _record_agent_holds(link_class: Any, hold_times: HoldTimes) -> None:
    """Patch a link to record the time from a batch's first frame until the batch is sent."""
    queue, batch = link_class.queue, link_class.batch

    def recorded_queue(self: Any, frame: Any) -> None:
        if not getattr(self, "queued_seconds", None):
            self.queued_seconds = time.monotonic()
        queue(self, frame)

    async def recorded_batch(self: Any) -> Any:
        frames = await batch(self)
        if frames:
            hold_times.seconds.append(time.monotonic() - self.queued_seconds)
            self.queued_seconds = None
        return frames

    link_class.queue, link_class.batch = recorded_queue, recorded_batch


def router_main(pipe: Connection, sizes: StreamSizes, platform: dict[str, Any]) -> None:
    """Run a router."""
    asyncio.run(_router(pipe, sizes, platform))


async def _router(pipe: Connection, sizes: StreamSizes, platform: dict[str, Any]) -> None:
    from egretrouter.core.settings import RouterSettings
    from egretrouter.daemons import RouterService
    from egretrouter.daemons._link import AgentLink
    from egretrouter.daemons._running import freeze_objects

    settings = RouterSettings.model_validate(
        {
            "kind": "router",
            "instance_id": "router",
            "zone": ZONE,
            "region": "r1",
            "callers": {"port": 0},
            "limits": {"max_streams": 2 * sizes.streams},
            "seeds": platform["seeds"],
            "platform": {
                "object_store_url": platform["object_store_url"],
                "instance_list_url": platform["instance_list_url"],
            },
        }
    )
    router = RouterService(settings, rng=random.Random(sizes.seed))
    await router.start()
    async with asyncio.timeout(ANSWER_SECONDS):
        while len(router.view._known) < sizes.engines or not router.ready:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    for admission in router.handler._admissions.values():
        # The adaptive limit starts at 8 calls and grows by one per 0.5 s, longer than this run.
        admission._concurrency.limit_calls = 2.0 * sizes.streams
    freeze_objects()
    hold_times = HoldTimes()
    distribute = AgentLink._distribute

    def recorded_distribute(self: Any, message: Any) -> None:
        # All writes to callers happen before this returns.
        started_seconds = time.monotonic()
        distribute(self, message)
        hold_times.seconds.append(time.monotonic() - started_seconds)

    AgentLink._distribute = recorded_distribute  # type: ignore[method-assign]

    async def port(_: Any) -> int:
        return router.callers_port

    async def coalesce(enabled: bool) -> None:
        for link in router._links.values():
            link.coalesce_events = enabled

    await serve_commands(
        pipe, {"port": port, "coalesce": coalesce, "holds": hold_times.pop_figures}
    )


def pass_through_main(pipe: Connection, upstreams: list[str]) -> None:
    """Run the pass-through."""
    asyncio.run(_pass_through(pipe, upstreams))


async def _pass_through(pipe: Connection, upstreams: list[str]) -> None:
    from benchmarks.baselines.passthrough import PassThrough

    server = PassThrough(upstreams)
    await server.start()

    async def port(_: Any) -> int:
        return server.port

    async def none(_: Any) -> dict[str, float]:
        return {}

    await serve_commands(pipe, {"port": port, "holds": none})


def callers_main(pipe: Connection, sizes: StreamSizes, digest: str) -> None:
    """Run the callers."""
    asyncio.run(_callers(pipe, sizes, digest))


async def _callers(pipe: Connection, sizes: StreamSizes, digest: str) -> None:
    callers = _Callers(sizes, digest)
    commands: dict[str, Command] = {
        "open": callers.open,
        "count": callers.count,
        "finish": callers.finish,
    }
    await serve_commands(pipe, commands)


class _Callers:
    """Open the streams of one phase and check their answers."""

    def __init__(self, sizes: StreamSizes, digest: str) -> None:
        self._sizes = sizes
        self._digest = digest
        self._tasks: list[asyncio.Task[bool]] = []
        self.refusals: Counter[str] = Counter()
        self._started_streams = 0
        self._events = 0

    async def open(self, port: int) -> None:
        """Open every stream and wait for its first event."""
        import aiohttp

        self._started_streams = self._events = 0
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        url = f"http://127.0.0.1:{port}/v1/completions"
        self._tasks = [
            asyncio.create_task(self._stream(url, f"prompt {number}"))
            for number in range(self._sizes.streams)
        ]
        async with asyncio.timeout(ANSWER_SECONDS):
            while self._started_streams < self._sizes.streams:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        if self.refusals:
            raise RuntimeError(f"streams were refused: {self.refusals}")

    async def _stream(self, url: str, prompt: str) -> bool:
        from egretrouter.standins import expected_answer

        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": self._sizes.tokens,
            "stream": True,
        }
        received: list[bytes] = []
        async with self._session.post(url, json=body) as response:
            if response.status != 200:
                self._started_streams += 1
                self.refusals[f"{response.status}: {await response.text()}"[:200]] += 1
                return False
            async for data in response.content.iter_any():
                self._started_streams += not received
                received.append(data)
                self._events += data.count(b"data: ")
        text = ""
        for line in b"".join(received).split(b"\n\n"):
            if line.startswith(b"data: {"):
                text += json.loads(line[6:])["choices"][0]["text"]
        return text == expected_answer(self._digest, prompt, count=self._sizes.tokens)

    async def count(self, _: Any) -> int:
        """Return the number of events received so far."""
        return self._events

    async def finish(self, _: Any) -> int:
        """Wait for all streams to end and return how many answers were complete and correct."""
        answers = await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()
        return sum(is_correct is True for is_correct in answers)
