"""Measure the decision core of distribution in virtual time and print JSON.

Run `python -m benchmarks.distribution_core --help` for the parameters.
"""

import argparse
import json
import platform
import resource
import time

import msgspec
import xxhash

import egretrouter
from benchmarks.copy_loop import CopyLoop, make_peers
from egretrouter.core.configuration import Objective
from egretrouter.core.weights import CopySettings

CHUNK_BYTES = 64
"""Length of the simulated chunks; rates scale with it, so only the number of chunks matters."""


def measure(
    *,
    instances: int,
    zones: int,
    regions: int,
    chunks: int,
    seconds: float,
    objective: Objective,
    region_ratio: float,
    faults: bool,
    seed: int,
) -> dict[str, object]:
    """Copy once to all instances; seconds is S/r, the time one instance's link takes for a copy."""
    rate = chunks * CHUNK_BYTES / seconds
    loop = CopyLoop(
        make_peers(instances, zones=zones, regions=regions),
        seed=seed,
        chunks=chunks,
        chunk_bytes=CHUNK_BYTES,
        link_bytes_per_second=rate,
        origin_bytes_per_second=2 * rate,
        region_bytes_per_second=region_ratio * rate,
        settings=CopySettings(objective=objective),
    )
    started = time.process_time()
    loop.start()
    if faults:
        stalled = set(list(loop.peers)[1:3])
        loop.is_stalled = lambda source, _target: source in stalled
        loop.is_corrupted = lambda _source, _index: loop.random.random() < 0.01
        for number, member in enumerate(list(loop.copies)[5::10]):
            loop.run(until_seconds=seconds * (number + 1) / (instances // 10 + 1))
            loop.dead.add(member)
            loop.update_peers(m for m in loop.copies if m not in loop.dead)
    loop.run(until_seconds=20 * seconds)
    elapsed, node_seconds = loop.now_seconds, loop.now_seconds * instances
    done = sorted(loop.completed_seconds[m] for m in loop.completed_seconds.keys() - loop.dead)
    return {
        "instances": instances,
        "zones": zones,
        "regions": regions,
        "chunks": chunks,
        "link_seconds": seconds,
        "objective": objective.value,
        "region_ratio": region_ratio,
        "faults": faults,
        "complete": loop.is_complete(),
        "completed": len(done),
        "time_to_all_over_link_seconds": round(done[-1] / seconds, 3) if done else None,
        "median_over_link_seconds": round(done[len(done) // 2] / seconds, 3) if done else None,
        "origin_copies": round(loop.origin_copies(), 3),
        "most_crossings_of_a_chunk": max(loop.crossings.values(), default=0),
        "core_percent_per_node": round(100 * loop.handle_seconds / node_seconds, 3),
        "control_bytes_per_node_second": round(loop.message_bytes / node_seconds),
        "messages_per_node_second": round(sum(loop.messages.values()) / node_seconds, 1),
        "messages": dict(loop.messages),
        "simulated_seconds": round(elapsed, 1),
        "processor_seconds": round(time.process_time() - started, 1),
    }


def main() -> None:
    """Parse the arguments, run the copies and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="+", default=[16, 64])
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--regions", type=int, default=1)
    parser.add_argument("--chunks", type=int, default=256)
    parser.add_argument("--link-seconds", type=float, default=40.0)
    parser.add_argument("--objective", choices=[o.value for o in Objective], default="time")
    parser.add_argument(
        "--region-ratio",
        type=float,
        default=1e9,
        help="rate of the link between two regions, in rates of an instance's link",
    )
    parser.add_argument("--faults", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    runs = [
        measure(
            instances=instances,
            zones=arguments.zones,
            regions=arguments.regions,
            chunks=arguments.chunks,
            seconds=arguments.link_seconds,
            objective=Objective(arguments.objective),
            region_ratio=arguments.region_ratio,
            faults=arguments.faults,
            seed=arguments.seed,
        )
        for instances in arguments.instances
    ]
    versions = {
        "egretrouter": egretrouter.__version__,
        "python": platform.python_version(),
        "msgspec": msgspec.__version__,
        "xxhash": xxhash.VERSION,
    }
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    report = {"seed": arguments.seed, "versions": versions, "peak_kib": peak_kib, "runs": runs}
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    main()
