"""Provide the deployment, calls and helpers that the steps of a scenario share."""

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import aiohttp

from egretrouter.core.configuration import ModelServiceFile, PlainServiceFile
from egretrouter.core.weights import Manifest
from egretrouter.daemons import AgentService, RouterService
from egretrouter.demo import Fleet, FleetOptions, read_parts
from support.calls import Call, open_session
from support.processes import ProcessFleet

EXAMPLES = Path(__file__).parent.parent.parent / "egretrouter" / "examples"
WAIT_SECONDS = 90.0
POLL_SECONDS = 0.02
TOKEN_INTERVAL_SECONDS = 0.01
CALL_INTERVAL_SECONDS = 0.1
WEIGHT_BYTES = 400_000
CHUNK_BYTES = 65_536


class World:
    """Track the fleet, the calls and the publications of one scenario."""

    def __init__(self) -> None:
        """Create the state of a scenario without a fleet."""
        self.fleet: Fleet
        self.process_fleet: ProcessFleet
        self.session: aiohttp.ClientSession
        self.manifests: dict[str, Manifest] = {}
        self.calls: list[Call] = []
        self.recorded_counts: dict[str, int] = {}
        self.busiest_engine: str | None = None
        self.publications: list[int | BaseException] = []
        self.applied_generations: dict[str, list[int]] = {}
        self.tasks: dict[str, asyncio.Task[Any]] = {}
        self.cleanups: list[Callable[[], Coroutine[Any, Any, None]]] = []
        self._numbers = itertools.count(1)
        self._router_turns = itertools.count()
        self._rng = random.Random(7)

    async def start_fleet(self, deployment: str, *, list_lag_seconds: float = 0.0) -> None:
        """Start a small deployment with stand-ins."""
        options = FleetOptions(
            routers=3,
            token_interval_seconds=TOKEN_INTERVAL_SECONDS,
            list_lag_seconds=list_lag_seconds,
            seed=7,
        )
        self.fleet = Fleet(read_parts(EXAMPLES / deployment), options=options)
        await self.open_session()
        self.cleanups.append(self.fleet.stop)
        await self.fleet.start()
        self.spawn("generations", self._record_generations())

    async def open_session(self) -> None:
        """Open the HTTP session of the callers."""
        self.session = open_session()
        self.cleanups.append(self.session.close)

    async def stop(self) -> None:
        """Cancel all tasks, then run the cleanups in reverse order."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)
        for cleanup in reversed(self.cleanups):
            await cleanup()

    def spawn(self, name: str, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a named background task."""
        self.tasks[name] = asyncio.create_task(coroutine)

    async def wait_until(self, condition: Callable[[], bool], description: str) -> None:
        """Wait until a condition holds.

        Raises AssertionError with the description if it does not hold in time.
        """
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                while not condition():  # noqa: ASYNC110
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            raise AssertionError(
                f"after {WAIT_SECONDS:.0f} s still waiting for {description}"
            ) from None

    @property
    def model_service(self) -> ModelServiceFile:
        """Return the deployment's model service."""
        return next(s for s in self.fleet.services() if isinstance(s, ModelServiceFile))

    @property
    def order_service(self) -> PlainServiceFile:
        """Return the plain service with non-idempotent requests."""
        return next(
            s
            for s in self.fleet.services()
            if isinstance(s, PlainServiceFile) and any(not r.idempotent for r in s.idempotency)
        )

    @property
    def digests(self) -> list[str]:
        """Return the digests of all versions."""
        return [manifest.digest for manifest in self.manifests.values()]

    def add_version(self, version: str) -> Manifest:
        """Add a version to the origin, unless it is there, and return its manifest."""
        if version not in self.manifests:
            self.manifests[version] = self.fleet.origin.add_version(
                self.model_service.model,
                version,
                self._rng.randbytes(WEIGHT_BYTES),
                chunk_bytes=CHUNK_BYTES,
            )
        return self.manifests[version]

    async def publish_version(self, version: str) -> None:
        """Publish a version of the model and record the generation or the error."""
        self.add_version(version)
        self.fleet.replace_part(self.model_service.model_copy(update={"version": version}))
        try:
            self.publications.append(await self.fleet.publish())
        except Exception as error:
            self.publications.append(error)

    def start_calls(self, count: int, tokens: int) -> list[Call]:
        """Start streaming model calls, cycling through the routers."""
        calls = [self._model_call(tokens) for _ in range(count)]
        return self._send(calls)

    def start_orders(self, count: int, *, keyed: bool = False) -> list[Call]:
        """Send non-idempotent orders, cycling through the routers."""
        return self._send(
            [self._order(f"key-{next(self._numbers)}" if keyed else None) for _ in range(count)]
        )

    def repeat_order(self, call: Call, *, router: str) -> Call:
        """Repeat an order with its key through another router."""
        path = call.url.split("/", 3)[3]
        url = f"http://127.0.0.1:{self.fleet.routers[router].callers_port}/{path}"
        repeat = Call(
            request_id=self._request_id(),
            router=router,
            url=url,
            headers=call.headers,
            body=call.body,
        )
        return self._send([repeat])[0]

    def _send(self, calls: list[Call]) -> list[Call]:
        for call in calls:
            self.spawn(call.request_id, call.send(self.session))
        self.calls += calls
        return calls

    def _model_call(self, tokens: int) -> Call:
        router = self._next_router()
        request_id = self._request_id()
        prompt = f"{request_id}: quanto custa a duzia de ovos?"
        body = {
            "model": self.model_service.model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
        return Call(
            request_id=request_id,
            router=router.settings.instance_id,
            url=f"http://127.0.0.1:{router.callers_port}/v1/completions",
            body=json.dumps(body).encode(),
            prompt=prompt,
            tokens=tokens,
        )

    def _order(self, key: str | None) -> Call:
        router = self._next_router()
        service = self.order_service
        rule = next(r for r in service.idempotency if not r.idempotent)
        headers = {"Host": service.hosts[0]}
        if key is not None:
            headers["Idempotency-Key"] = key
        request_id = self._request_id()
        return Call(
            request_id=request_id,
            router=router.settings.instance_id,
            url=f"http://127.0.0.1:{router.callers_port}{rule.path_prefix}/{request_id}",
            headers=headers,
            body=f"order {request_id}".encode(),
        )

    def _request_id(self) -> str:
        return f"request-{next(self._numbers)}"

    def _next_router(self) -> RouterService:
        routers = [r for r in self.fleet.routers.values() if not r.should_stop]
        return routers[next(self._router_turns) % len(routers)]

    async def send_calls_continuously(self, tokens: int) -> None:
        """Start a call every CALL_INTERVAL_SECONDS until wait_for_calls cancels the task."""
        while True:
            self._send([self._model_call(tokens)])
            await asyncio.sleep(CALL_INTERVAL_SECONDS)

    async def wait_for_calls(self) -> None:
        """Stop the continuous calls and wait until every call has finished."""
        if "callers" in self.tasks:
            self.tasks.pop("callers").cancel()
        await self.wait_until(
            lambda: all(c.finished.is_set() for c in self.calls), "the end of every call"
        )

    def executions(self, call: Call) -> int:
        """Return the number of executions of a call at all endpoints."""
        key = call.request_id if call.prompt is not None else call.execution_key
        return sum(endpoint.executions[key] for endpoint in self.fleet.endpoints.values())

    def executions_at(self, instance_id: str) -> int:
        """Return the number of executions at one endpoint."""
        return self.fleet.endpoints[instance_id].executions.total()

    async def resolve_instance(self, instance_id: str) -> str:
        """Return an instance id; "busiest" is the engine with most calls at the first use."""
        if instance_id != "busiest":
            return instance_id
        engines = self.fleet.engines()
        if self.busiest_engine is None:
            await self.wait_until(
                lambda: any(e.batch.running for e in engines.values()), "a busy engine"
            )
            self.busiest_engine = max(engines, key=lambda name: len(engines[name].batch.running))
        return self.busiest_engine

    def processes(self) -> dict[str, RouterService | AgentService]:
        """Return the running processes of the system."""
        return {**self.fleet.routers, **self.fleet.agents}

    def applied_generation(self, instance_id: str) -> int:
        """Return the generation that a process applies."""
        return int(self.processes()[instance_id].control.configuration.generation)

    async def _record_generations(self) -> None:
        while True:
            for instance_id, process in self.processes().items():
                # A restarted process begins without a configuration, so it has a separate record.
                name = f"{instance_id} at {process.peer_address}"
                seen = self.applied_generations.setdefault(name, [0])
                generation = self.applied_generation(instance_id)
                if generation != seen[-1]:
                    seen.append(generation)
            await asyncio.sleep(POLL_SECONDS)
