"""Measure the Stream targets of docs/design.md and print one JSON object.

Usage: python -m benchmarks.stream [--seed 1] [--streams 200]
"""

import argparse
import json
import platform
import time
from typing import Any

import aiohttp
import google.protobuf
import grpc
import msgspec

import egretrouter
from benchmarks.stream_processes import (
    Child,
    StreamSizes,
    callers_main,
    pass_through_main,
    router_main,
    upstream_main,
)

REST_SECONDS = 2.0


def measure_phase(sizes: StreamSizes, server: Child, callers: Child) -> dict[str, Any]:
    """Measure one server while every stream runs."""
    callers.ask("open", server.ask("port"))
    before, first = server.ask("usage"), callers.ask("count")
    time.sleep(sizes.window_seconds)
    after, last = server.ask("usage"), callers.ask("count")
    whole = callers.ask("finish")
    if last == first:
        raise RuntimeError(f"no event arrived within {sizes.window_seconds} s")
    used_seconds = after["processor_seconds"] - before["processor_seconds"]
    return {
        "microseconds_per_event": round(1e6 * used_seconds / (last - first), 1),
        "events": last - first,
        "events_per_second": round(
            (last - first) / (after["time_seconds"] - before["time_seconds"])
        ),
        "resident_mebibytes": after["resident_mebibytes"],
        "whole_answers": whole,
    }


def run(sizes: StreamSizes) -> dict[str, Any]:
    """Measure the pass-through and the router with the same upstream and callers."""
    children: list[Child] = []

    def start(*arguments: Any) -> Child:
        children.append(Child(*arguments))
        return children[-1]

    try:
        upstream = start(upstream_main, sizes)
        facts = upstream.ask("started")
        router = start(router_main, sizes, facts)
        bare = start(pass_through_main, facts["engines"])
        callers = start(callers_main, sizes, facts["digest"])
        router.ask("port")
        at_rest = router.ask("usage")
        time.sleep(REST_SECONDS)
        rested = router.ask("usage")
        rest_seconds = rested["processor_seconds"] - at_rest["processor_seconds"]
        result: dict[str, Any] = {"pass_through": measure_phase(sizes, bare, callers)}
        for name, coalesce in (("router_single", False), ("router_coalescing", True)):
            upstream.ask("coalesce", coalesce)
            upstream.ask("holds")
            router.ask("holds")
            phase = result[name] = measure_phase(sizes, router, callers)
            phase["held_by_agent"] = upstream.ask("holds")
            phase["held_by_router"] = router.ask("holds")
            bare_cost = result["pass_through"]["microseconds_per_event"]
            phase["ratio"] = round(phase["microseconds_per_event"] / bare_cost, 3)
        result["router_at_rest"] = {
            "resident_mebibytes": at_rest["resident_mebibytes"],
            "processor_milliseconds_per_second": round(1e3 * rest_seconds / REST_SECONDS, 2),
        }
        return result
    finally:
        for child in reversed(children):
            child.stop()


def main() -> None:
    """Run the benchmark and print its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--streams", type=int, default=200)
    arguments = parser.parse_args()
    sizes = StreamSizes(seed=arguments.seed, streams=arguments.streams)
    started_seconds = time.monotonic()
    result = run(sizes)
    output = {
        "seed": sizes.seed,
        "sizes": msgspec.to_builtins(sizes),
        "versions": {
            "egretrouter": egretrouter.__version__,
            "python": platform.python_version(),
            "aiohttp": aiohttp.__version__,
            "grpcio": grpc.__version__,
            "protobuf": google.protobuf.__version__,
        },
        **result,
        "run_seconds": round(time.monotonic() - started_seconds, 1),
    }
    print(json.dumps(output, indent=2))


if __name__ == "__main__":
    main()
