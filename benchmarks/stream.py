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

IDLE_SECONDS = 3.0


class StreamBenchmark:
    """Start the processes and measure one server after the other."""

    def __init__(self, sizes: StreamSizes) -> None:
        """Start the upstream, both servers and the callers."""
        self.sizes = sizes
        self.children: list[Child] = []
        try:
            self.upstream = self._start(upstream_main, sizes)
            facts = self.upstream.request("started")
            self.router = self._start(router_main, sizes, facts)
            self.pass_through = self._start(pass_through_main, facts["engines"])
            self.callers = self._start(callers_main, sizes, facts["digest"])
            self.router.request("port")
        except BaseException:
            self.stop()
            raise

    def _start(self, *arguments: Any) -> Child:
        self.children.append(Child(*arguments))
        return self.children[-1]

    def stop(self) -> None:
        """Terminate the processes."""
        for child in reversed(self.children):
            child.stop()

    def measure_idle(self) -> dict[str, float]:
        """Measure the router while it has no calls."""
        before = self.router.request("usage")
        time.sleep(IDLE_SECONDS)
        return {
            "resident_mebibytes": before["resident_mebibytes"],
            "processor_milliseconds_per_second": round(
                1e3
                * _processor_seconds_between(before, self.router.request("usage"))
                / IDLE_SECONDS,
                2,
            ),
        }

    def measure_phase(
        self, server: Child, *, burst: int = 1, share_messages: bool = True, coalesce: bool = True
    ) -> dict[str, Any]:
        """Measure one server while all streams run."""
        self.upstream.request("burst", burst)
        self.upstream.request("coalesce", share_messages)
        self.router.request("coalesce", coalesce)
        self.callers.request("open", server.request("port"))
        for child in (self.upstream, server):
            child.request("holds")
        others = {"upstream": self.upstream, "callers": self.callers}
        started = {name: child.request("usage") for name, child in others.items()}
        before, first = server.request("usage"), self.callers.request("count")
        time.sleep(self.sizes.window_seconds)
        after, last = server.request("usage"), self.callers.request("count")
        ended = {name: child.request("usage") for name, child in others.items()}
        holds = {"agent": self.upstream.request("holds"), "router": server.request("holds")}
        complete_answers = self.callers.request("finish")
        if last == first:
            raise RuntimeError(f"no event arrived within {self.sizes.window_seconds} s")
        seconds = after["time_seconds"] - before["time_seconds"]
        return {
            "microseconds_per_event": round(
                1e6 * _processor_seconds_between(before, after) / (last - first), 1
            ),
            "events": last - first,
            "events_per_second": round((last - first) / seconds),
            "resident_mebibytes": after["resident_mebibytes"],
            "whole_answers": complete_answers,
            "held": {name: held for name, held in holds.items() if held},
            "processor_shares": {
                name: round(_processor_seconds_between(started[name], ended[name]) / seconds, 2)
                for name in others
            },
        }


def _processor_seconds_between(before: dict[str, float], after: dict[str, float]) -> float:
    return after["processor_seconds"] - before["processor_seconds"]


def run(sizes: StreamSizes) -> dict[str, Any]:
    """Measure the pass-through and the router with the same upstream and callers."""
    benchmark = StreamBenchmark(sizes)
    try:
        idle = benchmark.measure_idle()
        spaced_phases, pass_through = {}, benchmark.measure_phase(benchmark.pass_through)
        spaced_phases["router_one_event_a_message"] = benchmark.measure_phase(
            benchmark.router, share_messages=False, coalesce=False
        )
        spaced_phases["router_events_not_joined"] = benchmark.measure_phase(
            benchmark.router, coalesce=False
        )
        spaced_phases["router"] = benchmark.measure_phase(benchmark.router)
        burst = sizes.burst_tokens
        burst_pass_through = benchmark.measure_phase(benchmark.pass_through, burst=burst)
        burst_router = benchmark.measure_phase(benchmark.router, burst=burst)
    finally:
        benchmark.stop()
    result: dict[str, Any] = {"router_at_rest": idle}
    result["spaced"] = _with_ratios(pass_through, spaced_phases, idle)
    result["bursts"] = _with_ratios(burst_pass_through, {"router": burst_router}, idle)
    # The pass-through also coalesces a burst, since it arrives in one read; this ratio compares
    # with one event per read.
    burst_router["ratio_to_spaced_pass_through"] = round(
        burst_router["microseconds_per_event"] / pass_through["microseconds_per_event"], 2
    )
    return result


def _with_ratios(
    pass_through: dict[str, Any], routers: dict[str, dict[str, Any]], idle: dict[str, float]
) -> dict[str, Any]:
    """Add the ratios to the pass-through, with and without the cost of the idle router."""
    cost = pass_through["microseconds_per_event"]
    for phase in routers.values():
        router_cost = phase["microseconds_per_event"]
        idle_cost = 1e3 * idle["processor_milliseconds_per_second"] / phase["events_per_second"]
        phase["ratio"] = round(router_cost / cost, 2)
        phase["ratio_beyond_rest"] = round((router_cost - idle_cost) / cost, 2)
    return {"pass_through": pass_through, **routers}


def main() -> None:
    """Parse the arguments, run the benchmark and print the report."""
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
