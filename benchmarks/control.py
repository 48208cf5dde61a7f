"""Measure the cost of the control plane per node and how fast updates spread, in virtual time.

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

from benchmarks.virtual_zone import VirtualZone, build_member_updates, start_zone
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
"""Share of routers in a zone; at design size they are 67 of 437 members."""

SIZES = (50, 100, 200, 500)
SPREAD_SIZES = (50, 100, 200)
CHANGE_PERIOD_SECONDS = 2.8
"""Interval between configuration changes at 31,000 changes a day."""

ZONE_MEMBERS = 437
STEADY_SECONDS = 20
CHANGE_SECONDS = 10
WATCH_LATENCY_SECONDS = 0.01
FETCH_SECONDS = 0.004
REPEATS = 5


def start_design_zone(count: int, seed: int, *, encode: bool = False) -> VirtualZone:
    """Return a zone with the design's share of routers, whose members list each other."""
    routers = max(2, round(count * ROUTER_SHARE))
    return start_zone(count, routers=routers, seed=seed, encode=encode)


def measure_memory(count: int, seed: int) -> int:
    """Return the memory that one router needs for all members and their loads."""
    zone = start_design_zone(count, seed)
    name = zone.add("measured", agent=False)
    loads = tuple(
        LoadSample(instance_id=n, incarnation=1, sequence=1, load=LoadReport(queued_calls=7))
        for n in zone.nodes
    )
    tracemalloc.start()
    zone.deliver(name, build_member_updates(zone, to=name, loads=loads))
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory_bytes


def measure_cost(count: int, seed: int) -> dict[str, Any]:
    """Measure a node's cost while only loads change and while every agent loads a version."""
    zone = start_design_zone(count, seed, encode=True)
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
    # _run_with_loads stores the second of a report in queued_calls.
    routers = [node for node in zone.nodes.values() if node.own.role is MemberRole.ROUTER]
    samples = [node.load_sample(a) for node in routers for a in agents]
    loads = [sample.load if sample else None for sample in samples]
    ages = [seconds - load.queued_calls if load else seconds for load in loads]
    return sum(ages) / len(ages)


def measure_leave(count: int, seed: int) -> float:
    """Return the longest time, of several runs, until no router may choose a leaving instance."""
    zone = start_design_zone(count, seed)
    worst = 0.0
    for repeat in range(REPEATS):
        leaving = InstanceId(f"instance-{count - 1 - repeat}")
        zone.deliver(leaving, Leave())
        routers = [n for n in zone.nodes.values() if n.own.role is MemberRole.ROUTER]

        def is_excluded(routers: list[Membership] = routers, leaving: InstanceId = leaving) -> bool:
            return not any(
                m.instance_id == leaving
                for r in routers
                for m in r.usable_members(now_seconds=zone.now)
            )

        elapsed = zone.run_until(is_excluded, limit_seconds=30)
        worst = max(worst, elapsed if elapsed is not None else math.inf)
        zone.run(1)
    return round(worst, 1)


class ConfiguredZone:
    """Add configuration to a virtual zone: a store with watches and fetches between peers."""

    def __init__(self, zone: VirtualZone, *, all_watch: bool = False) -> None:
        """Publish generation 1 and wait until it is active."""
        self.zone = zone
        self.all_watch = all_watch
        self.store_calls = 0
        self.fetched_bytes = 0
        self.handle_seconds = 0.0
        self.generations: dict[int, tuple[ConfigurationIndex, dict[Digest, bytes]]] = {}
        self.states: dict[InstanceId, ConfigurationState] = {}
        self.watching: set[InstanceId] = set()
        zone.on_command = self._handle_membership_command
        for name, node in zone.nodes.items():
            rng = random.Random(zone.rng.random())
            state = ConfigurationState(instance_id=name, zone=node.own.zone, rng=rng)
            self.states[name] = state
            members = (name, *(m.instance_id for m in node.members()))
            self._handle(name, ZoneMembersChanged(members=members))
        self.publish(1)
        zone.run(15)

    def publish(self, number: int) -> None:
        """Store a generation and notify the watchers of the store."""
        self.generations[number] = _generation(number)
        watchers = self.states if self.all_watch else self.watching
        for name in sorted(watchers):
            self.store_calls += 1
            message = IndexReceived(index=self.generations[number][0], source=STORE_SOURCE)
            self.zone._schedule(
                WATCH_LATENCY_SECONDS * (0.5 + self.zone.rng.random()),
                lambda name=name, message=message: self._handle(name, message),  # type: ignore[misc]
            )

    def is_active(self, number: int) -> bool:
        """Return whether a generation or a later one is active at every node."""
        return all(state.generation >= number for state in self.states.values())

    def _handle_membership_command(self, name: InstanceId, command: MembershipCommand) -> None:
        if isinstance(command, PeerGenerationReceived):
            received = PeerGeneration(peer=command.peer, generation=command.generation)
            self._handle(name, received)

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
    """Measure the time from a publication until it is active at every node of a zone."""
    configured = ConfiguredZone(start_design_zone(count, seed))
    calls, times = configured.store_calls, []
    for number in range(2, 2 + REPEATS):
        configured.publish(number)
        elapsed = configured.zone.run_until(
            lambda number=number: configured.is_active(number),  # type: ignore[misc]
            limit_seconds=60,
        )
        times.append(elapsed if elapsed is not None else math.inf)
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
    zone = start_design_zone(count, seed, encode=True)
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
    """Count store calls per publication, with two watches per zone or one per node."""
    # Zones are alike, so each is simulated on its own and the calls are added up.
    result: dict[str, Any] = {"members_per_zone": count, "zones": zones}
    for name, all_watch in (("two_watches_a_zone", False), ("one_watch_a_node", True)):
        total = 0
        for number in range(zones):
            zone = start_design_zone(count, seed + number)
            configured = ConfiguredZone(zone, all_watch=all_watch)
            before = configured.store_calls
            configured.publish(2)
            zone.run(10)
            assert configured.is_active(2)
            total += configured.store_calls - before
        result[name] = total
    return result


def slope(points: list[dict[str, Any]], key: str) -> float:
    """Return the least-squares slope of a figure per doubling of the members."""
    xs = [math.log2(point["members"]) for point in points]
    ys = [point[key] for point in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    return round(covariance / sum((x - mean_x) ** 2 for x in xs), 4)


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
