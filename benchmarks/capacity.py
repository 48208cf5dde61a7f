"""Measure the costs per unit for docs/CAPACITY.md that no other benchmark measures.

Run `python -m benchmarks.capacity` from the root.
"""

import argparse
import asyncio
import json
import platform
import random
import resource
import subprocess
import sys
import time
import tracemalloc
from collections import Counter
from pathlib import Path

import egretrouter
from egretrouter.core.identifiers import (
    Digest,
    EndpointId,
    Generation,
    InstanceId,
    RegionId,
    ServiceName,
    ZoneId,
)
from egretrouter.core.membership import (
    Facts,
    Member,
    MemberRole,
    SummaryPush,
    VersionSummary,
    ZoneSummary,
    encode_gossip,
)
from egretrouter.core.routing import CacheEvent, EndpointSelector, EndpointUpdated, SelectorSettings
from egretrouter.core.status import summarize_zone
from egretrouter.daemons._peers import PeersServicer
from egretrouter.demo import Fleet, FleetOptions, read_parts
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport._rpc import ChannelPool, PeerSecurity, build_server

ZONE_MEMBERS = 437
ZONE_ROUTERS = 67
ENDPOINTS = 400
LINKS = 100
CALLS = 2000
EXAMPLE = Path(__file__).parent.parent / "egretrouter" / "examples" / "ovo-justo"
WAIT_SECONDS = 60.0


def measure_import_bytes() -> int:
    """Return the peak memory of an idle process that has imported the daemons."""
    code = (
        "import egretrouter.daemons, resource;"
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024)"
    )
    return int(subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout)


def measure_selector_bytes(seed: int) -> dict[str, int]:
    """Return the memory of 400 endpoints in a selector and of its full prefix index."""
    generator = random.Random(seed)
    tracemalloc.start()
    selector = EndpointSelector(
        zone=ZoneId("z0"), region=RegionId("r0"), random_generator=generator
    )
    for number in range(ENDPOINTS):
        message = EndpointUpdated(
            endpoint_id=EndpointId(f"e{number}"),
            address=f"10.0.0.1:{number}",
            zone=ZoneId("z0"),
            region=RegionId("r0"),
            service=ServiceName("llm"),
        )
        selector.handle(message, now_seconds=0.0)
    endpoints = tracemalloc.get_traced_memory()[0]
    per_endpoint = 2 * SelectorSettings().index_entries // ENDPOINTS
    for number in range(ENDPOINTS):
        stored = tuple(generator.getrandbits(60) for _ in range(per_endpoint))
        event = CacheEvent(endpoint_id=EndpointId(f"e{number}"), sequence=1, stored=stored)
        selector.handle(event, now_seconds=1.0)
    total = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return {"endpoints": endpoints, "full_prefix_index": total - endpoints}


def measure_status_cost() -> dict[str, float]:
    """Return the size of one zone's status and the time to build it."""
    members = {}
    for number in range(ZONE_MEMBERS):
        router = number < ZONE_ROUTERS
        name = InstanceId(f"instance-{number:05d}")
        facts = Facts(
            service=ServiceName(f"service-{number % 10}"),
            version_digest=Digest("a" * 64),
            ready=True,
        )
        member = Member(
            instance_id=name,
            zone=ZoneId("serra-z1"),
            role=MemberRole.ROUTER if router else MemberRole.AGENT,
            address="10.0.0.1:7000",
            facts=Facts() if router else facts,
        )
        members[name] = (member, Generation(31_000))
    started = time.process_time()
    for _ in range(20):
        status = summarize_zone(ZoneId("serra-z1"), members, halt_after_failures={})
        content = status.to_json()
    seconds = (time.process_time() - started) / 20
    return {"bytes": len(content), "milliseconds": round(1000 * seconds, 2)}


async def measure_link_cost() -> dict[str, float]:
    """Return the cost of a connected channel and of a unary call, both ends in one process."""
    server = build_server(PeerSecurity())
    pb_grpc.add_PeersServicer_to_server(PeersServicer(dump=dict), server)
    addresses = [f"127.0.1.{number + 1}" for number in range(LINKS)]
    addresses = [f"{a}:{server.add_insecure_port(f'{a}:0')}" for a in addresses]
    await server.start()
    channels = ChannelPool(PeerSecurity())
    await pb_grpc.PeersStub(channels.channel(addresses[0])).DumpState(pb.DumpRequest())
    before = _resident_bytes()
    for address in addresses[1:]:
        await pb_grpc.PeersStub(channels.channel(address)).DumpState(pb.DumpRequest())
    added = _resident_bytes() - before
    started = time.process_time()
    for number in range(CALLS):
        await pb_grpc.PeersStub(channels.channel(addresses[number % LINKS])).DumpState(
            pb.DumpRequest()
        )
    seconds = (time.process_time() - started) / CALLS
    await channels.close()
    await server.stop(None)
    return {
        "links": LINKS - 1,
        "bytes_per_link": added // (LINKS - 1),
        "microseconds_per_unary_call": round(1e6 * seconds),
    }


def measure_summary_bytes() -> int:
    """Return the size of a push message with one zone's summary of 10 services."""
    name = InstanceId("instance-00000")
    samples = tuple((InstanceId(f"instance-{n:05d}"), "10.0.0.1:7000") for n in range(4))
    versions = tuple(
        VersionSummary(
            service=ServiceName(f"service-{n}"),
            version_digest=Digest("a" * 64),
            ready=37,
            queued_calls=100,
            calls_per_second=248.0,
            samples=samples,
        )
        for n in range(10)
    )
    zone = ZoneId("serra-z1")
    sender = Member(instance_id=name, zone=zone, role=MemberRole.ROUTER, address="10.0.0.1:7000")
    summary = ZoneSummary(
        zone=zone, routers=ZONE_ROUTERS, agents=370, versions=versions, contacts=samples
    )
    return len(encode_gossip(SummaryPush(sender=sender, summaries=(summary,))))


def _resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


async def count_start_calls() -> dict[str, dict[str, int]]:
    """Count the store calls of one router and one agent that start in a serving fleet."""
    fleet = Fleet(read_parts(EXAMPLE), options=FleetOptions(routers=3))
    await fleet.start()
    manifest = fleet.origin.add_version("cotacoes", "2026-11", b"weights" * 10_000)
    await fleet.publish()
    await fleet.wait_for_replicas(manifest.digest, 6, timeout_seconds=WAIT_SECONDS)
    calls_by_kind = {}
    agent_id, replaced_agent = next(
        (n, a) for n, a in fleet.agents.items() if a.service == "llm-cotacoes"
    )
    for kind in ("router", "agent"):
        before = Counter(fleet.object_api.calls)
        if kind == "router":
            process = await fleet.start_router("late", zone=replaced_agent.settings.zone)
        else:
            await replaced_agent.stop()
            process = await fleet.start_agent(
                agent_id, replaced_agent.service, zone=replaced_agent.settings.zone
            )
        async with asyncio.timeout(WAIT_SECONDS):
            while not process.ready:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)
        calls_by_kind[kind] = dict(Counter(fleet.object_api.calls) - before)
    await fleet.stop()
    return calls_by_kind


def main() -> None:
    """Run all measurements and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    report = {
        "seed": seed,
        "versions": {"egretrouter": egretrouter.__version__, "python": platform.python_version()},
        "resident_bytes_after_import": measure_import_bytes(),
        "selector_bytes": measure_selector_bytes(seed),
        "status_of_437_members": measure_status_cost(),
        "store_calls_of_one_start": asyncio.run(count_start_calls()),
        "summary_push_bytes": measure_summary_bytes(),
        "links": asyncio.run(measure_link_cost()),
        "peak_bytes": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
