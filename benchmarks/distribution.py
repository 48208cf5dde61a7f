"""Measure the Distribution targets of docs/design.md over loopback and print one JSON object.

Usage: python -m benchmarks.distribution [--seed 1] [--sizes 8 16 32 64] [--only time faults]

S is the weight bytes and r an instance's link rate. In the window the origin's link carries four
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
from benchmarks.distribution_nodes import Contact, NodeSpec, Plan, worker_main
from benchmarks.shaped_links import Faults
from benchmarks.stream_processes import Child
from benchmarks.token_streams import TokenStreams
from egretrouter.core.configuration import Objective
from egretrouter.core.identifiers import InstanceId, ModelName, VersionName, ZoneId
from egretrouter.core.rollout import VersionReference
from egretrouter.standins import OriginStandin

WORKERS = 7
POLL_SECONDS = 0.1
COPIES_PER_ORIGIN_WINDOW = 4
BASELINE_LIMIT = 2.5
"""A baseline that takes longer, in S/r, is broken off and its time projected."""
COPY_LIMIT = 6.0


class Sizes(msgspec.Struct, frozen=True, kw_only=True):
    """Set the sizes of one run."""

    seed: int = 1
    weight_bytes: int = 4 * 1024**2
    chunk_bytes: int = 32 * 1024
    link_seconds: float = 6.0
    """S/r."""
    token_interval_seconds: float = 0.05
    settings: dict[str, float] = {}
    """Parameters of the copies that differ from the defaults, for trials."""

    @property
    def link_bytes_per_second(self) -> float:
        """Return r."""
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
        """Return the instances; two links out are stalled if there are faults."""
        corrupted = 0.01 if self.faults else 0.0
        return [
            NodeSpec(
                instance_id=_name(number),
                zone=ZoneId(f"z{number % self.zones}"),
                parent=self._parent(number),
                faults=Faults(corrupted_share=corrupted, stalled=self.faults and number in (1, 2)),
            )
            for number in range(self.instances)
        ]

    def _parent(self, number: int) -> InstanceId | None:
        parent = tree_parent(number) if self.policy == "fixed_tree" else None
        return None if parent is None else _name(parent)


def _name(number: int) -> InstanceId:
    return InstanceId(f"i{number:03d}")


class Fleet:
    """Own the worker processes."""

    def __init__(self) -> None:
        """Start the processes."""
        self._workers = [Child(worker_main) for _ in range(WORKERS)]
        # A worker's pipe carries one question and its answer at a time.
        self._locks = [asyncio.Lock() for _ in range(WORKERS)]

    async def ask(self, command: str, argument: Any = None) -> list[Any]:
        """Return the answers of all workers."""
        asks = (self._ask(place, command, argument) for place in range(WORKERS))
        return list(await asyncio.gather(*asks))

    async def ask_one(self, instance_id: InstanceId, command: str, argument: Any) -> Any:
        """Return the answer of the worker of an instance."""
        return await self._ask(self._place(instance_id), command, argument)

    def _place(self, instance_id: InstanceId) -> int:
        return int(instance_id[1:]) % WORKERS

    async def _ask(self, place: int, command: str, argument: Any) -> Any:
        async with self._locks[place]:
            return await asyncio.to_thread(self._workers[place].ask, command, argument)

    async def add(self, specs: list[NodeSpec]) -> list[Contact]:
        """Start instances."""
        asks = (
            self._ask(
                place, "add", [spec for spec in specs if self._place(spec.instance_id) == place]
            )
            for place in range(WORKERS)
        )
        return [contact for group in await asyncio.gather(*asks) for contact in group]

    async def status(self) -> dict[str, Any]:
        """Return what all instances reached."""
        merged: dict[str, Any] = {"done": {}, "failed": {}, "received_bytes": {}}
        answers = await self.ask("status")
        for answer in answers:
            for key, values in merged.items():
                values.update(answer[key])
        for key in ("crossed_bytes", "processor_seconds"):
            merged[key] = sum(answer[key] for answer in answers)
        return merged

    def stop(self) -> None:
        """End the processes."""
        for worker in self._workers:
            worker.stop()


class CaseRun:
    """Run one case."""

    def __init__(self, fleet: Fleet, sizes: Sizes, case: Case) -> None:
        """Take what is to be run."""
        self._fleet, self._sizes, self._case = fleet, sizes, case
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
        plan = Plan(
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
        self._begin = (version, manifest.to_json())
        streams: TokenStreams | None = None
        await self._fleet.ask("open", plan)
        try:
            self._note(await self._fleet.add(case.nodes()))
            await self._show()
            result: dict[str, Any] = {}
            if case.tokens:
                groups = await self._fleet.ask("engines", -(-case.instances // WORKERS))
                streams = TokenStreams([url for urls in groups for url in urls])
                await streams.start()
                result["gap_without_copy"] = await streams.measure(sizes.link_seconds)
            before = await self._fleet.status()
            started = time.monotonic()
            await self._fleet.ask("begin", (*self._begin, None))
            deaths = asyncio.create_task(self._kill_some(started))
            status = await self._wait(started)
            deaths.cancel()
            await asyncio.gather(deaths, return_exceptions=True)
            if streams is not None:
                result["gap_with_copy"] = streams.take()
            return {**result, **self._figures(started, before, status)}
        finally:
            if streams is not None:
                await streams.stop()
            await self._fleet.ask("close")
            await self._origin.stop()

    def _note(self, contacts: list[Contact]) -> None:
        self._contacts.update({contact.spec.instance_id: contact for contact in contacts})

    async def _show(self) -> None:
        await self._fleet.ask("contacts", list(self._contacts.values()))

    async def _kill_some(self, started: float) -> None:
        """End a tenth of the instances over the time of a copy; each comes back empty."""
        if not self._case.faults:
            return
        victims = [_name(number) for number in range(5, self._case.instances, 10)]
        for turn, victim in enumerate(victims):
            due = started + self._sizes.link_seconds * (turn + 1) / (len(victims) + 1)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self._fleet.ask_one(victim, "kill", victim)
            spec = self._contacts.pop(victim).spec
            await self._show()
            fresh = msgspec.structs.replace(spec, established=False)
            self._note(await self._fleet.add([fresh]))
            await self._show()
            await self._fleet.ask_one(victim, "begin", (*self._begin, [victim]))

    async def _wait(self, started: float) -> dict[str, Any]:
        ours = self._case.policy == "egretrouter"
        limit = (COPY_LIMIT if ours else BASELINE_LIMIT) * self._sizes.link_seconds
        while True:
            await asyncio.sleep(POLL_SECONDS)
            status = await self._fleet.status()
            done = status["done"]
            whole = len(done) == self._case.instances and all(done.values())
            if whole or time.monotonic() > started + limit:
                return status

    def _figures(
        self, started: float, before: dict[str, Any], status: dict[str, Any]
    ) -> dict[str, Any]:
        sizes, case = self._sizes, self._case
        done = sorted(at - started for at in status["done"].values() if at is not None)
        complete = len(done) == case.instances
        elapsed = time.monotonic() - started
        received = sum(status["received_bytes"].values())
        share = received / (sizes.weight_bytes * case.instances)
        used = status["processor_seconds"] - before["processor_seconds"]
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
            "processor_seconds_per_node": round(used / case.instances, 3),
        }
        if not complete and share > 0:
            figures["projected_over_link_seconds"] = round(elapsed / share / sizes.link_seconds, 2)
        return figures


def default_cases(instances: list[int]) -> dict[str, list[Case]]:
    """Return the cases by group."""
    most = max(instances)
    by_bytes = Objective.ORIGIN_BYTES
    both = (Objective.TIME, by_bytes)
    return {
        "time": [Case(policy="egretrouter", instances=n) for n in instances],
        "origin-bytes": [
            Case(policy="egretrouter", instances=n, objective=by_bytes) for n in instances
        ],
        "zones": [
            Case(policy="egretrouter", instances=most, zones=3, objective=objective)
            for objective in both
        ],
        "faults": [
            Case(policy="egretrouter", instances=most, objective=objective, faults=True)
            for objective in both
        ],
        "baselines": [
            Case(policy=policy, instances=n)
            for n in instances
            for policy in ("origin_only", "fixed_tree")
        ],
        "tokens": [Case(policy="egretrouter", instances=min(32, most), tokens=True)],
    }


async def run(sizes: Sizes, instances: list[int], groups: list[str]) -> list[dict[str, Any]]:
    """Run the cases of some groups one after the other."""
    fleet = Fleet()
    try:
        return [
            {"group": group, **await CaseRun(fleet, sizes, case).run()}
            for group, cases in default_cases(instances).items()
            if group in groups
            for case in cases
        ]
    finally:
        fleet.stop()


def main() -> None:
    """Read the parameters, measure and print."""
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
