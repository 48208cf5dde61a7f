"""Measure the Routing targets of docs/design.md and print one JSON object.

Usage: python -m benchmarks.routing [--seed 1]
"""

import argparse
import json
import platform
import random
import time
from collections.abc import Sequence

import msgspec

import egretrouter
from benchmarks.router_model import BASELINES
from benchmarks.routing_model import RoutingModel
from benchmarks.scenario import SERVICE, Scenario
from egretrouter.core.identifiers import CallId, EndpointId, RegionId, ZoneId
from egretrouter.core.routing import (
    CallSent,
    Choice,
    EndpointSelector,
    EndpointUpdated,
    FirstTokenReceived,
    LoadReported,
    RouteRequest,
    RoutersCounted,
)

ENGINE_COUNTS = (6, 8, 10)
SMALL_WORKSPACES = ("small-1", "small-2", "small-3")


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile by rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def measure_waits(seed: int, lag_seconds: float, load: float) -> dict[str, object]:
    """Measure first-token waits, pooled over the engine counts; all policies get the same calls."""
    result: dict[str, object] = {}
    p95: dict[str, float] = {}
    for policy in (*BASELINES, "selector"):
        runs = [
            RoutingModel(
                Scenario(
                    policy=policy,
                    seed=seed + number,
                    engines=engines,
                    load=load,
                    report_lag_seconds=lag_seconds,
                )
            ).run()
            for number, engines in enumerate(ENGINE_COUNTS)
        ]
        waits = [wait for run in runs for wait in run.waits()]
        p95[policy] = quantile(waits, 0.95)
        result[policy] = {
            "calls": len(waits),
            "p50_seconds": round(quantile(waits, 0.5), 4),
            "p95_seconds": round(p95[policy], 4),
            "p99_seconds": round(quantile(waits, 0.99), 4),
            "cached_share": round(sum(run.cached_share() for run in runs) / len(runs), 3),
        }
    result["ratio_to_least_outstanding"] = round(p95["selector"] / p95["least_outstanding"], 3)
    result["ratio_to_prefix_hash"] = round(p95["selector"] / p95["prefix_hash"], 3)
    return result


def measure_goodput(seed: int) -> dict[str, object]:
    """Measure goodput at several loads and at three times the load with the highest goodput."""
    loads = (1.0, 1.25, 1.5, 1.75, 2.0)
    goodput_by_load = {load: _run_goodput(seed, load) for load in loads}
    best_load = max(loads, key=lambda load: goodput_by_load[load])
    overloaded = _run_goodput(seed, best_load * 3)
    return {
        "per_second_by_load": {
            str(load): round(value, 1) for load, value in goodput_by_load.items()
        },
        "capacity_load": best_load,
        "at_three_times_per_second": round(overloaded, 1),
        "ratio": round(overloaded / goodput_by_load[best_load], 3),
    }


def _run_goodput(seed: int, load: float) -> float:
    scenario = Scenario(policy="selector", seed=seed, load=load, limits=True, duration_seconds=90.0)
    return RoutingModel(scenario).run().goodput_per_second()


def measure_fairness(seed: int) -> dict[str, object]:
    """Measure small workspaces' waits, alone and beside a load of three times the capacity."""
    small = dict.fromkeys(SMALL_WORKSPACES, 0.05)
    result: dict[str, object] = {}
    p95 = {}
    for name, loads in (("alone", small), ("beside_large", {**small, "large": 4.5})):
        runs = [
            RoutingModel(
                Scenario(policy="selector", seed=seed + n, limits=True, workspace_loads=loads)
            ).run()
            for n in range(2)
        ]
        waits = [
            wait for run in runs for workspace in SMALL_WORKSPACES for wait in run.waits(workspace)
        ]
        refused = sum(
            c.refused
            for run in runs
            for c in run.measured_calls()
            if c.workspace in SMALL_WORKSPACES
        )
        p95[name] = quantile(waits, 0.95)
        result[name] = {
            "calls": len(waits),
            "refused": refused,
            "p95_seconds": round(p95[name], 4),
        }
    result["ratio"] = round(p95["beside_large"] / p95["alone"], 3)
    return result


def measure_outage(seed: int) -> dict[str, object]:
    """Measure attempts per call when a third of the engines refuse connections."""
    result: dict[str, object] = {}
    for name, budget in (("with_budget", True), ("without_budget", False)):
        scenario = Scenario(
            policy="selector",
            seed=seed,
            engines=9,
            load=0.6,
            warm_up_seconds=60.0,
            outage_from_seconds=60.0,
            duration_seconds=120.0,
            retry_budget=budget,
        )
        calls = RoutingModel(scenario).run().measured_calls()
        attempts = sum(c.attempts for c in calls)
        result[name] = {
            "calls": len(calls),
            "added_attempts_share": round(attempts / len(calls) - 1, 4),
            "failed_share": round(sum(c.refused for c in calls) / len(calls), 4),
        }
    return result


def _endpoint_updated(
    number: int, endpoint_id: EndpointId, *, draining: bool = False
) -> EndpointUpdated:
    return EndpointUpdated(
        endpoint_id=endpoint_id,
        address=f"127.0.0.1:{number}",
        zone=ZoneId(f"z{number % 3}"),
        region=RegionId(f"r{number % 3}"),
        service=SERVICE,
        draining=draining,
    )


def measure_decision_cost(seed: int) -> dict[str, object]:
    """Measure the processing time of one decision and of its messages with 400 endpoints."""
    generator = random.Random(seed)
    selector = EndpointSelector(
        zone=ZoneId("z0"), region=RegionId("r0"), random_generator=generator
    )
    ids = [EndpointId(f"e{number}") for number in range(400)]
    for number, endpoint_id in enumerate(ids):
        selector.handle(_endpoint_updated(number, endpoint_id), now_seconds=0.0)
        report = LoadReported(
            endpoint_id=endpoint_id, queued_calls=2, running_calls=9, age_seconds=1.0
        )
        selector.handle(report, now_seconds=0.0)
    selector.handle(RoutersCounted(routers=1800), now_seconds=0.0)
    choose_costs, message_costs = [], []
    for number in range(5000):
        template = generator.randrange(300)
        blocks = (*(template * 100 + n for n in range(12)), generator.getrandbits(60))
        request = RouteRequest(service=SERVICE, prompt_tokens=416, prompt_blocks=blocks)
        now = number / 37
        started = time.perf_counter()
        choice = selector.choose(request, now_seconds=now)
        chosen = time.perf_counter()
        assert isinstance(choice, Choice)
        call_id = CallId(str(number))
        sent = CallSent(
            call_id=call_id,
            endpoint_id=choice.endpoint_id,
            prompt_tokens=416,
            prompt_blocks=blocks,
            by_prefix_affinity=choice.by_prefix_affinity,
        )
        selector.handle(sent, now_seconds=now)
        selector.handle(FirstTokenReceived(call_id=call_id, cached_tokens=0), now_seconds=now + 0.1)
        ended = time.perf_counter()
        choose_costs.append(chosen - started)
        message_costs.append(ended - chosen)
    change_costs = []
    for number, endpoint_id in enumerate(ids[:100]):
        started = time.perf_counter()
        selector.handle(_endpoint_updated(number, endpoint_id, draining=True), now_seconds=200.0)
        selector.choose(request, now_seconds=200.0)
        change_costs.append(time.perf_counter() - started)
    return {
        "after_change_p50_microseconds": round(quantile(change_costs, 0.5) * 1e6, 1),
        "endpoints": len(ids),
        "decisions": len(choose_costs),
        "choose_p50_microseconds": round(quantile(choose_costs, 0.5) * 1e6, 1),
        "choose_p99_microseconds": round(quantile(choose_costs, 0.99) * 1e6, 1),
        "messages_p50_microseconds": round(quantile(message_costs, 0.5) * 1e6, 1),
    }


def main() -> None:
    """Run all measurements and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    started = time.perf_counter()
    report: dict[str, object] = {
        "seed": seed,
        "versions": {
            "egretrouter": getattr(egretrouter, "__version__", "0.1.0"),
            "python": platform.python_version(),
            "msgspec": msgspec.__version__,
        },
        "sizes": {"engines": ENGINE_COUNTS, "routers": 15, "zones": 3, "seconds_per_run": 120},
        "load_definition": "1.0 is the rate that engines can prefill with nothing cached",
        "first_token_lag_1_load_0.8": measure_waits(seed, 1.0, 0.8),
        "first_token_lag_10_load_0.8": measure_waits(seed, 10.0, 0.8),
        "goodput": measure_goodput(seed),
        "fairness": measure_fairness(seed),
        "outage": measure_outage(seed),
        "decision": measure_decision_cost(seed),
    }
    report["run_seconds"] = round(time.perf_counter() - started, 1)
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
