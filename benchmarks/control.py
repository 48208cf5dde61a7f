"""Measure what control costs a node, and how fast news spreads, in virtual time.

Run with 'python -m benchmarks.control [--seed N] [--output FILE]' from the root.
"""

import argparse
import json
import math
import platform
import random
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any

import msgspec
import pydantic

from benchmarks.virtual_zone import VirtualZone, introduction, start_zone
from egretrouter import __version__
from egretrouter.core.configuration import (
    STORE_SOURCE,
    AnnounceGeneration,
    ConfigurationCommand,
    ConfigurationIndex,
    ConfigurationState,
    IndexReceived,
    PartReceived,
    PeerGeneration,
    RequestIndex,
    RequestParts,
    StartWatch,
    StopWatch,
    ZoneMembersChanged,
    collect,
)
from egretrouter.core.identifiers import (
    Digest,
    Generation,
    InstanceId,
    PublicationId,
    ServiceName,
)
from egretrouter.core.membership import (
    Facts,
    FactsChanged,
    GenerationActivated,
    Leave,
    LoadReport,
    LoadReported,
    LoadSample,
    MemberRole,
    Membership,
    MembershipCommand,
    PeerGenerationReceived,
)

ROUTER_SHARE = 0.15
"""At design size a zone has 67 routers among 437 members."""

SIZES = (50, 100, 200, 500)
SPREAD_SIZES = (50, 100, 200)
CHANGE_PERIOD_SECONDS = 2.8
"""31,000 changes a day."""

ZONE_MEMBERS = 437
STEADY_SECONDS = 20
CHANGE_SECONDS = 10
WATCH_LATENCY_SECONDS = 0.01
FETCH_SECONDS = 0.004
REPEATS = 5


def joined_zone(count: int, seed: int, *, encode: bool = False) -> VirtualZone:
    """Return a zone whose members know each other."""
    routers = max(2, round(count * ROUTER_SHARE))
    return start_zone(count, routers=routers, seed=seed, encode=encode)


def measure_memory(count: int, seed: int) -> int:
    """Return the bytes that one router holds when it knows all members and their loads."""
    zone = joined_zone(count, seed)
    name = zone.add("measured", agent=False)
    loads = tuple(
        LoadSample(instance_id=n, incarnation=1, sequence=1, load=LoadReport(queued_calls=7))
        for n in zone.nodes
    )
    tracemalloc.start()
    zone.deliver(name, introduction(zone, to=name, loads=loads))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


def measure_cost(count: int, seed: int) -> dict[str, Any]:
    """Measure a node's cost when only loads change, and while every agent loads a version."""
    zone = joined_zone(count, seed, encode=True)
    zone.run(2)
    agents = [n for n, node in zone.nodes.items() if node.own.role is MemberRole.AGENT]
    result: dict[str, Any] = {"members": count, "memory_bytes": measure_memory(count, seed)}
    result["steady"] = _run_with_loads(zone, agents, STEADY_SECONDS)
    result["mean_load_age_seconds"] = round(_load_age(zone, agents, STEADY_SECONDS), 1)
    for name in agents:
        facts = Facts(service=ServiceName("llm"), version_digest=Digest("b" * 64), ready=True)
        zone.deliver(name, FactsChanged(facts=facts))
    result["all_agents_changed"] = _run_with_loads(zone, agents, CHANGE_SECONDS)
    return result


def _run_with_loads(zone: VirtualZone, agents: list[InstanceId], seconds: int) -> dict[str, float]:
    messages, sent = zone.messages, zone.sent_bytes
    zone.handle_seconds = 0.0
    for second in range(seconds):
        for name in agents:
            load = LoadReport(queued_calls=second, running_calls=8, calls_per_second=2.0)
            zone.deliver(name, LoadReported(load=load))
        zone.run(1)
    per_node_second = len(zone.nodes) * seconds
    return {
        "cpu_percent_of_core": round(100 * zone.handle_seconds / per_node_second, 4),
        "messages_sent_per_second": round((zone.messages - messages) / per_node_second, 2),
        "bytes_sent_per_second": round((zone.sent_bytes - sent) / per_node_second),
    }


def _load_age(zone: VirtualZone, agents: list[InstanceId], seconds: int) -> float:
    routers = [node for node in zone.nodes.values() if node.own.role is MemberRole.ROUTER]
    samples = [node.load_sample(a) for node in routers for a in agents]
    found = [sample.load if sample else None for sample in samples]
    ages = [seconds - load.queued_calls if load else seconds for load in found]
    return sum(ages) / len(ages)


def measure_leave(count: int, seed: int) -> float:
    """Return the time till no router may choose a leaving instance, the worst of some runs."""
    zone = joined_zone(count, seed)
    worst = 0.0
    for repeat in range(REPEATS):
        leaver = InstanceId(f"instance-{count - 1 - repeat}")
        zone.deliver(leaver, Leave())
        routers = [n for n in zone.nodes.values() if n.own.role is MemberRole.ROUTER]

        def gone(routers: list[Membership] = routers, leaver: InstanceId = leaver) -> bool:
            return not any(
                m.instance_id == leaver
                for r in routers
                for m in r.usable_members(now_seconds=zone.now)
            )

        took = zone.run_until(gone, limit_seconds=30)
        worst = max(worst, took if took is not None else math.inf)
        zone.run(1)
    return round(worst, 1)


class ConfiguredZone:
    """Add configuration to a virtual zone: a store with watches, and fetches between peers."""

    def __init__(self, zone: VirtualZone, *, everyone_watches: bool = False) -> None:
        """Start with generation 1 in force."""
        self.zone = zone
        self.everyone_watches = everyone_watches
        self.store_calls = 0
        self.fetched_bytes = 0
        self.handle_seconds = 0.0
        self.generations: dict[int, tuple[ConfigurationIndex, dict[Digest, bytes]]] = {}
        self.states: dict[InstanceId, ConfigurationState] = {}
        self.watching: set[InstanceId] = set()
        zone.on_command = self._membership_command
        for name, node in zone.nodes.items():
            rng = random.Random(zone.rng.random())
            state = ConfigurationState(instance_id=name, zone=node.own.zone, rng=rng)
            self.states[name] = state
            members = (name, *(m.instance_id for m in node.members()))
            self._handle(name, ZoneMembersChanged(members=members))
        self.publish(1)
        zone.run(15)

    def publish(self, number: int) -> None:
        """Put a generation into the store, which tells those who watch."""
        self.generations[number] = _generation(number)
        watchers = self.states if self.everyone_watches else self.watching
        for name in sorted(watchers):
            self.store_calls += 1
            seen = IndexReceived(index=self.generations[number][0], source=STORE_SOURCE)
            self.zone._schedule(
                WATCH_LATENCY_SECONDS * (0.5 + self.zone.rng.random()),
                lambda name=name, seen=seen: self._handle(name, seen),  # type: ignore[misc]
            )

    def in_force(self, number: int) -> bool:
        """Tell whether every node has a generation in force."""
        return all(state.generation >= number for state in self.states.values())

    def _membership_command(self, name: InstanceId, command: MembershipCommand) -> None:
        if isinstance(command, PeerGenerationReceived):
            heard = PeerGeneration(peer=command.peer, generation=command.generation)
            self._handle(name, heard)

    def _handle(self, name: InstanceId, message: Any) -> None:
        start = time.perf_counter()
        commands = self.states[name].handle(message, now_seconds=self.zone.now)
        self.handle_seconds += time.perf_counter() - start
        for command in commands:
            self._execute(name, command)

    def _execute(self, name: InstanceId, command: ConfigurationCommand) -> None:
        if isinstance(command, StartWatch):
            self.watching.add(name)
        elif isinstance(command, StopWatch):
            self.watching.discard(name)
        elif isinstance(command, AnnounceGeneration):
            self.zone.deliver(name, GenerationActivated(generation=command.generation))
        elif isinstance(command, RequestIndex | RequestParts):
            delay = FETCH_SECONDS * (0.5 + self.zone.rng.random())
            self.zone._schedule(delay, lambda: self._answer(name, command))

    def _answer(self, name: InstanceId, command: RequestIndex | RequestParts) -> None:
        source = command.source
        if source == STORE_SOURCE:
            self.store_calls += 1 if isinstance(command, RequestIndex) else len(command.digests)
            number = max(self.generations)
        else:
            number = self.states[source].generation
        index, contents = self.generations[number]
        if isinstance(command, RequestIndex):
            self.fetched_bytes += len(index.to_json())
            self._handle(name, IndexReceived(index=index, source=source))
            return
        for digest in command.digests:
            self.fetched_bytes += len(contents[digest])
            content = contents[digest]
            self._handle(name, PartReceived(digest=digest, content=content, source=source))


def _generation(number: int) -> tuple[ConfigurationIndex, dict[Digest, bytes]]:
    zones = [{"name": f"zone-{n}", "region": "serra"} for n in range(3)]
    deployment = {
        "kind": "deployment",
        "name": "bench",
        "zones": zones,
        "workspaces": [{"name": f"workspace-{n}"} for n in range(10)],
    }
    placement = [{"zone": zone["name"], "replicas": 4} for zone in zones]
    files = {"deployment": deployment}
    for n in range(20):
        version = f"v{number}" if n == 0 else "v1"
        files[f"s{n}"] = {
            "kind": "model",
            "name": f"service-{n}",
            "placement": placement,
            "model": f"model-{n}",
            "version": version,
        }
    collection = collect({name: json.dumps(values).encode() for name, values in files.items()})
    index = ConfigurationIndex(
        generation=Generation(number),
        publication_id=PublicationId(f"publication-{number}"),
        parts=collection.parts,
    )
    return index, collection.contents


def measure_spread(count: int, seed: int) -> dict[str, Any]:
    """Measure the time from acceptance to in force at every node of a zone."""
    configured = ConfiguredZone(joined_zone(count, seed))
    calls, times = configured.store_calls, []
    for number in range(2, 2 + REPEATS):
        configured.publish(number)
        took = configured.zone.run_until(
            lambda number=number: configured.in_force(number),  # type: ignore[misc]
            limit_seconds=60,
        )
        times.append(took if took is not None else math.inf)
        configured.zone.run(2)
    return {
        "members": count,
        "worst_seconds": round(max(times), 1),
        "mean_seconds": round(sum(times) / len(times), 2),
        "watches": len(configured.watching),
        "store_calls_per_publication": (configured.store_calls - calls) / REPEATS,
    }


def measure_changes(count: int, seed: int) -> dict[str, Any]:
    """Measure a node's cost while configurations change as often as at design size."""
    zone = joined_zone(count, seed, encode=True)
    configured = ConfiguredZone(zone)
    zone.handle_seconds = configured.handle_seconds = 0.0
    sent, fetched, calls = zone.sent_bytes, configured.fetched_bytes, configured.store_calls
    rounds = 10
    for number in range(2, 2 + rounds):
        configured.publish(number)
        zone.run(CHANGE_PERIOD_SECONDS)
    node_seconds = count * rounds * CHANGE_PERIOD_SECONDS
    lowest = min(state.generation for state in configured.states.values())
    return {
        "members": count,
        "period_seconds": CHANGE_PERIOD_SECONDS,
        "generations_behind": 1 + rounds - lowest,
        "gossip_cpu_percent_of_core": round(100 * zone.handle_seconds / node_seconds, 4),
        "configuration_cpu_percent_of_core": round(
            100 * configured.handle_seconds / node_seconds, 4
        ),
        "gossip_bytes_per_second": round((zone.sent_bytes - sent) / node_seconds),
        "fetched_bytes_per_second": round((configured.fetched_bytes - fetched) / node_seconds),
        "store_calls_per_publication": (configured.store_calls - calls) / rounds,
    }


def measure_store_calls(count: int, zones: int, seed: int) -> dict[str, Any]:
    """Count store calls for one publication against one watch a node; zones are alike."""
    found: dict[str, Any] = {"members_per_zone": count, "zones": zones}
    for name, everyone in (("two_watches_a_zone", False), ("one_watch_a_node", True)):
        total = 0
        for number in range(zones):
            zone = joined_zone(count, seed + number)
            configured = ConfiguredZone(zone, everyone_watches=everyone)
            before = configured.store_calls
            configured.publish(2)
            zone.run(10)
            assert configured.in_force(2)
            total += configured.store_calls - before
        found[name] = total
    return found


def slope(points: list[dict[str, Any]], key: str) -> float:
    """Return the least-squares slope of a figure for each doubling of the members."""
    xs = [math.log2(point["members"]) for point in points]
    ys = [point[key] for point in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    above = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    return round(above / sum((x - mean_x) ** 2 for x in xs), 4)


def main() -> None:
    """Run all measurements and print them as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=Path)
    options = parser.parse_args()
    start = time.perf_counter()
    seed = options.seed
    cost = [measure_cost(count, seed) for count in SIZES]
    spread = [measure_spread(count, seed) for count in SPREAD_SIZES]
    leave = [{"members": n, "worst_seconds": measure_leave(n, seed)} for n in SIZES]
    calls = [measure_store_calls(n, zones, seed) for n, zones in ((25, 1), (50, 1), (50, 3))]
    result = {
        "seed": seed,
        "sizes": SIZES,
        "versions": {
            "egretrouter": __version__,
            "python": platform.python_version(),
            "msgspec": msgspec.__version__,
            "pydantic": pydantic.VERSION,
        },
        "cost_per_node": cost,
        "steady_slope_per_doubling": {
            key: slope([{"members": c["members"], **c["steady"]} for c in cost], key)
            for key in ("cpu_percent_of_core", "bytes_sent_per_second")
        },
        "in_force": spread,
        "in_force_slope_seconds_per_doubling": slope(spread, "mean_seconds"),
        "continuous_changes": measure_changes(ZONE_MEMBERS, seed),
        "leaving_out_of_choice": leave,
        "store_calls_per_publication": calls,
        "elapsed_seconds": round(time.perf_counter() - start, 1),
    }
    text = json.dumps(result, indent=2)
    if options.output:
        options.output.write_text(text + "\n")
    sys.stdout.write(text + "\n")


if __name__ == "__main__":
    main()
