"""Measure the Distribution targets of docs/design.md over loopback and print one JSON object.

Usage: python -m benchmarks.distribution [--seed 1] [--sizes 8 16 32 64] [--only time faults]

S is the weight bytes and r an instance's link rate. In one window the origin's link carries four
copies and an instance's link two, so S/r is half the window and the origin's link is twice r.
"""

import argparse
import asyncio
import json
import platform
import random
import time
from typing import Any

import aiohttp
import grpc
import msgspec

import egretrouter
from benchmarks.baselines.distribution import tree_parent
from benchmarks.distribution_nodes import Contact, NodeSpec, RunSettings, worker_main
from benchmarks.shaped_links import Faults
from benchmarks.stream_processes import Child
from benchmarks.token_streams import TokenStreams
from egretrouter.core.configuration import Objective
from egretrouter.core.identifiers import InstanceId, ModelName, VersionName, ZoneId
from egretrouter.core.weights import VersionReference
from egretrouter.standins import OriginStandin

WORKERS = 7
POLL_SECONDS = 0.1
COPIES_PER_ORIGIN_WINDOW = 4
BASELINE_TIMEOUT_RATIO = 2.5
"""Multiple of S/r after which a baseline is stopped and its time projected."""
# Multiple of S/r after which a copy by egretrouter counts as incomplete.
COPY_TIMEOUT_RATIO = 6.0


class Sizes(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the sizes and rates of one run."""

    seed: int = 1
    weight_bytes: int = 4 * 1024**2
    chunk_bytes: int = 32 * 1024
    link_seconds: float = 6.0
    """S/r, the time that an instance's link takes for one copy."""
    token_interval_seconds: float = 0.05
    settings: dict[str, float] = {}
    """Overrides of the default copy settings."""

    @property
    def link_bytes_per_second(self) -> float:
        """Return r, the rate of an instance's link."""
        return self.weight_bytes / self.link_seconds


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one copy onto all instances."""

    policy: str
    instances: int
    zones: int = 1
    objective: Objective = Objective.TIME
    faults: bool = False
    tokens: bool = False

    def nodes(self) -> list[NodeSpec]:
        """Return the instances; with faults, two uplinks are stalled and 1% of chunks corrupted."""
        corrupted = 0.01 if self.faults else 0.0
        return [
            NodeSpec(
                instance_id=_instance_name(number),
                zone=ZoneId(f"z{number % self.zones}"),
                parent=self._parent(number),
                faults=Faults(corrupted_share=corrupted, stalled=self.faults and number in (1, 2)),
            )
            for number in range(self.instances)
        ]

    def _parent(self, number: int) -> InstanceId | None:
        parent = tree_parent(number) if self.policy == "fixed_tree" else None
        return None if parent is None else _instance_name(parent)


def _instance_name(number: int) -> InstanceId:
    return InstanceId(f"i{number:03d}")


class WorkerPool:
    """Start, query and stop the worker processes."""

    def __init__(self) -> None:
        """Start the processes."""
        self._workers = [Child(worker_main) for _ in range(WORKERS)]
        # A worker's pipe carries one request and its reply at a time.
        self._locks = [asyncio.Lock() for _ in range(WORKERS)]

    async def request_all(self, command: str, argument: Any = None) -> list[Any]:
        """Send a command to all workers and return their replies."""
        requests = (
            self._request(worker_index, command, argument) for worker_index in range(WORKERS)
        )
        return list(await asyncio.gather(*requests))

    async def request_one(self, instance_id: InstanceId, command: str, argument: Any) -> Any:
        """Send a command to the worker that runs an instance and return its reply."""
        return await self._request(self._worker_index(instance_id), command, argument)

    def _worker_index(self, instance_id: InstanceId) -> int:
        return int(instance_id[1:]) % WORKERS

    async def _request(self, worker_index: int, command: str, argument: Any) -> Any:
        async with self._locks[worker_index]:
            return await asyncio.to_thread(self._workers[worker_index].request, command, argument)

    async def add(self, specs: list[NodeSpec]) -> list[Contact]:
        """Start instances and return their addresses."""
        requests = (
            self._request(
                worker_index,
                "add",
                [spec for spec in specs if self._worker_index(spec.instance_id) == worker_index],
            )
            for worker_index in range(WORKERS)
        )
        return [contact for group in await asyncio.gather(*requests) for contact in group]

    async def status(self) -> dict[str, Any]:
        """Return the merged progress of all instances."""
        merged: dict[str, Any] = {"done": {}, "failed": {}, "received_bytes": {}}
        answers = await self.request_all("status")
        for answer in answers:
            for key, values in merged.items():
                values.update(answer[key])
        for key in ("crossed_bytes", "processor_seconds"):
            merged[key] = sum(answer[key] for answer in answers)
        return merged

    def stop(self) -> None:
        """Terminate the processes."""
        for worker in self._workers:
            worker.stop()


class CaseRun:
    """Run one case and collect its figures."""

    def __init__(self, worker_pool: WorkerPool, sizes: Sizes, case: Case) -> None:
        """Prepare the origin; run starts the instances."""
        self._worker_pool, self._sizes, self._case = worker_pool, sizes, case
        self._rng = random.Random(sizes.seed)
        self._origin = OriginStandin(
            link_bytes_per_second=2 * sizes.link_bytes_per_second, seed=sizes.seed
        )
        self._contacts: dict[InstanceId, Contact] = {}

    async def run(self) -> dict[str, Any]:
        """Return the figures of the case."""
        case, sizes = self._case, self._sizes
        content = self._rng.randbytes(sizes.weight_bytes)
        manifest = self._origin.add_version("m", "v", content, chunk_bytes=sizes.chunk_bytes)
        self._origin.corrupted_share = 0.01 if case.faults else 0.0
        budget = COPIES_PER_ORIGIN_WINDOW * sizes.weight_bytes
        run_settings = RunSettings(
            policy=case.policy,
            objective=case.objective,
            origin_url=await self._origin.start(),
            link_bytes_per_second=sizes.link_bytes_per_second,
            zone_budget_bytes=budget // case.zones,
            members_per_zone=case.instances // case.zones,
            weight_bytes=sizes.weight_bytes,
            seed=sizes.seed,
            token_interval_seconds=sizes.token_interval_seconds,
            settings=sizes.settings,
        )
        version = VersionReference(
            model=ModelName("m"), version=VersionName("v"), manifest_digest=manifest.digest
        )
        self._begin_arguments = (version, manifest.to_json())
        streams: TokenStreams | None = None
        await self._worker_pool.request_all("open", run_settings)
        try:
            self._add_contacts(await self._worker_pool.add(case.nodes()))
            await self._send_contacts()
            result: dict[str, Any] = {}
            if case.tokens:
                groups = await self._worker_pool.request_all(
                    "engines", -(-case.instances // WORKERS)
                )
                streams = TokenStreams([url for urls in groups for url in urls])
                await streams.start()
                result["gap_without_copy"] = await streams.measure(sizes.link_seconds)
            before = await self._worker_pool.status()
            started = time.monotonic()
            await self._worker_pool.request_all("begin", (*self._begin_arguments, None))
            restarts = asyncio.create_task(self._restart_instances(started))
            status = await self._wait_for_copies(started)
            restarts.cancel()
            await asyncio.gather(restarts, return_exceptions=True)
            if streams is not None:
                result["gap_with_copy"] = streams.pop_gaps()
            return {**result, **self._build_result(started, before, status)}
        finally:
            if streams is not None:
                await streams.stop()
            await self._worker_pool.request_all("close")
            await self._origin.stop()

    def _add_contacts(self, contacts: list[Contact]) -> None:
        self._contacts.update({contact.spec.instance_id: contact for contact in contacts})

    async def _send_contacts(self) -> None:
        await self._worker_pool.request_all("contacts", list(self._contacts.values()))

    async def _restart_instances(self, started: float) -> None:
        """Kill a tenth of the instances, spread over S/r, and restart each without data."""
        if not self._case.faults:
            return
        victims = [_instance_name(number) for number in range(5, self._case.instances, 10)]
        for position, victim in enumerate(victims):
            due = started + self._sizes.link_seconds * (position + 1) / (len(victims) + 1)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self._worker_pool.request_one(victim, "kill", victim)
            spec = self._contacts.pop(victim).spec
            await self._send_contacts()
            fresh = msgspec.structs.replace(spec, established=False)
            self._add_contacts(await self._worker_pool.add([fresh]))
            await self._send_contacts()
            await self._worker_pool.request_one(victim, "begin", (*self._begin_arguments, [victim]))

    async def _wait_for_copies(self, started: float) -> dict[str, Any]:
        is_egretrouter = self._case.policy == "egretrouter"
        limit = (
            COPY_TIMEOUT_RATIO if is_egretrouter else BASELINE_TIMEOUT_RATIO
        ) * self._sizes.link_seconds
        while True:
            await asyncio.sleep(POLL_SECONDS)
            status = await self._worker_pool.status()
            done = status["done"]
            all_done = len(done) == self._case.instances and all(done.values())
            if all_done or time.monotonic() > started + limit:
                return status

    def _build_result(
        self, started: float, before: dict[str, Any], status: dict[str, Any]
    ) -> dict[str, Any]:
        sizes, case = self._sizes, self._case
        done = sorted(at - started for at in status["done"].values() if at is not None)
        complete = len(done) == case.instances
        elapsed = time.monotonic() - started
        received = sum(status["received_bytes"].values())
        share = received / (sizes.weight_bytes * case.instances)
        processor_seconds = status["processor_seconds"] - before["processor_seconds"]
        ratio = done[-1] / sizes.link_seconds if complete else None
        figures = {
            **msgspec.to_builtins(case),
            "complete": complete,
            "completed": len(done),
            "failed": status["failed"],
            "time_over_link_seconds": None if ratio is None else round(ratio, 3),
            "median_over_link_seconds": (
                round(done[len(done) // 2] / sizes.link_seconds, 3) if done else None
            ),
            "origin_copies": round(self._origin.sent_bytes / sizes.weight_bytes, 3),
            "origin_requests": dict(self._origin.requests),
            "copies_between_zones": round(status["crossed_bytes"] / sizes.weight_bytes, 3),
            "bytes_between_zones": status["crossed_bytes"],
            "processor_seconds_per_node": round(processor_seconds / case.instances, 3),
        }
        if not complete and share > 0:
            figures["projected_over_link_seconds"] = round(elapsed / share / sizes.link_seconds, 2)
        return figures


def default_cases(instances: list[int]) -> dict[str, list[Case]]:
    """Return the cases of each group for some numbers of instances."""
    largest = max(instances)
    origin_bytes = Objective.ORIGIN_BYTES
    both = (Objective.TIME, origin_bytes)
    return {
        "time": [Case(policy="egretrouter", instances=n) for n in instances],
        "origin-bytes": [
            Case(policy="egretrouter", instances=n, objective=origin_bytes) for n in instances
        ],
        "zones": [
            Case(policy="egretrouter", instances=largest, zones=3, objective=objective)
            for objective in both
        ],
        "faults": [
            Case(policy="egretrouter", instances=largest, objective=objective, faults=True)
            for objective in both
        ],
        "baselines": [
            Case(policy=policy, instances=n)
            for n in instances
            for policy in ("origin_only", "fixed_tree")
        ],
        "tokens": [Case(policy="egretrouter", instances=min(32, largest), tokens=True)],
    }


async def run(sizes: Sizes, instances: list[int], groups: list[str]) -> list[dict[str, Any]]:
    """Run the cases of the given groups one after the other."""
    worker_pool = WorkerPool()
    try:
        return [
            {"group": group, **await CaseRun(worker_pool, sizes, case).run()}
            for group, cases in default_cases(instances).items()
            if group in groups
            for case in cases
        ]
    finally:
        worker_pool.stop()


def main() -> None:
    """Parse the arguments, run the cases and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=[8, 16, 32, 64])
    parser.add_argument("--only", nargs="+", choices=list(default_cases([8])))
    parser.add_argument("--link-seconds", type=float, default=Sizes().link_seconds)
    parser.add_argument("--set", nargs="+", default=[], metavar="NAME=NUMBER")
    arguments = parser.parse_args()
    pairs = (pair.split("=") for pair in arguments.set)
    sizes = Sizes(
        seed=arguments.seed,
        link_seconds=arguments.link_seconds,
        settings={name: json.loads(value) for name, value in pairs},
    )
    started = time.monotonic()
    groups = arguments.only or list(default_cases([8]))
    cases = asyncio.run(run(sizes, arguments.sizes, groups))
    report = {
        "seed": sizes.seed,
        "sizes": {**msgspec.to_builtins(sizes), "workers": WORKERS},
        "versions": {
            "egretrouter": egretrouter.__version__,
            "python": platform.python_version(),
            "aiohttp": aiohttp.__version__,
            "grpcio": grpc.__version__,
        },
        "cases": cases,
        "run_seconds": round(time.monotonic() - started, 1),
    }
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
