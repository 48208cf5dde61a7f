"""Simulate routers and engines whose load reports and cache events arrive late."""

import random

from benchmarks.engine_model import PREFILL_TOKEN_SECONDS, Clock, EngineModel
from benchmarks.prompts import Templates
from benchmarks.router_model import RouterModel
from benchmarks.scenario import SERVICE, ModelCall, Scenario
from egretrouter.core.identifiers import (
    CallId,
    EndpointId,
    RegionId,
    WorkspaceId,
    ZoneId,
)
from egretrouter.core.routing import (
    CacheEvent,
    EndpointUpdated,
    LoadReported,
    RouteRequest,
    RoutersCounted,
    RoutingMessage,
)


class RoutingModel:
    """Run one scenario and compute its figures."""

    def __init__(self, scenario: Scenario) -> None:
        """Create the engines and routers and schedule the first events."""
        self.scenario = scenario
        self.clock = Clock()
        self.calls: list[ModelCall] = []
        self.workspace_loads = scenario.workspace_loads or {"all": scenario.load}
        # Arrivals use separate random generators, so that every policy gets the same calls.
        self._templates = Templates(scenario)
        self.engines = [
            EngineModel(self.clock, cache_blocks=scenario.cache_blocks)
            for _ in range(scenario.engines)
        ]
        workspaces = [WorkspaceId(name) for name in self.workspace_loads]
        self.routers = [
            RouterModel(
                number,
                scenario=scenario,
                clock=self.clock,
                engines=self.engines,
                workspaces=workspaces,
            )
            for number in range(scenario.routers)
        ]
        self._report_random = random.Random(f"{scenario.seed}/reports")
        for number in range(scenario.engines):
            zone = number % scenario.zones
            message = EndpointUpdated(
                endpoint_id=EndpointId(f"e{number}"),
                address=f"127.0.0.1:{9000 + number}",
                zone=ZoneId(f"z{zone}"),
                region=RegionId(f"r{zone}"),
                service=SERVICE,
            )
            self._dispatch_to_all(message)
            first_report_seconds = self._report_random.uniform(0, scenario.report_interval_seconds)
            self.clock.call_later(first_report_seconds, lambda n=number: self._send_report(n, 1))  # type: ignore[misc]
        self._dispatch_to_all(RoutersCounted(routers=scenario.routers))
        for name, load in self.workspace_loads.items():
            generator = random.Random(f"{scenario.seed}/arrivals/{name}")
            self._schedule_arrival(name, load, generator)
        if scenario.outage_from_seconds is not None:
            self.clock.call_later(scenario.outage_from_seconds, self._stop_engines)

    def run(self) -> "RoutingModel":
        """Run for the duration of the scenario and 10 s longer, so that late calls are answered."""
        self.clock.run(self.scenario.duration_seconds + 10.0)
        return self

    @property
    def attempts(self) -> int:
        """Return how often routers sent a call to an engine."""
        return sum(router.attempts for router in self.routers)

    def measured_calls(self, workspace: str | None = None) -> list[ModelCall]:
        """Return the calls that arrived after the warm-up."""
        start = self.scenario.warm_up_seconds
        return [
            c for c in self.calls if c.arrived_seconds >= start and workspace in (None, c.workspace)
        ]

    def waits(self, workspace: str | None = None) -> list[float]:
        """Return the first-token waits; an unanswered call counts as the duration of the run."""
        return [
            c.first_token_seconds - c.arrived_seconds
            if c.first_token_seconds is not None
            else self.scenario.duration_seconds
            for c in self.measured_calls(workspace)
            if not c.refused
        ]

    def goodput_per_second(self) -> float:
        """Return the calls per second whose first token met the deadline."""
        good = sum(
            c.first_token_seconds is not None
            and c.first_token_seconds - c.arrived_seconds <= self.scenario.deadline_seconds
            for c in self.measured_calls()
        )
        return good / (self.scenario.duration_seconds - self.scenario.warm_up_seconds)

    def cached_share(self) -> float:
        """Return the share of prompt tokens that engines found in their caches."""
        total = sum(engine.prompt_tokens for engine in self.engines)
        return sum(engine.cached_tokens for engine in self.engines) / max(1, total)

    def _dispatch_to_all(self, message: RoutingMessage) -> None:
        for router in self.routers:
            router.dispatch(message)

    def _schedule_arrival(self, name: str, load: float, generator: random.Random) -> None:
        scenario = self.scenario
        rate = (
            load * scenario.engines / (self._templates.mean_prompt_tokens * PREFILL_TOKEN_SECONDS)
        )

        def arrive() -> None:
            prompt_tokens, blocks = self._templates.draw(generator)
            call = ModelCall(
                call_id=CallId(f"{name}-{len(self.calls)}"),
                workspace=WorkspaceId(name),
                request=RouteRequest(
                    service=SERVICE,
                    prompt_tokens=prompt_tokens,
                    prompt_blocks=blocks,
                    request_bytes=prompt_tokens * 4,
                ),
                output_tokens=1 + int(generator.expovariate(1 / scenario.output_tokens)),
                arrived_seconds=self.clock.now_seconds,
            )
            self.calls.append(call)
            router = self.routers[generator.randrange(scenario.routers)]
            self._schedule_arrival(name, load, generator)
            router.handle_arrival(call)

        delay = generator.expovariate(rate)
        if self.clock.now_seconds + delay < scenario.duration_seconds:
            self.clock.call_later(delay, arrive)

    def _send_report(self, number: int, sequence: int) -> None:
        scenario = self.scenario
        engine = self.engines[number]
        lag_seconds = scenario.report_lag_seconds
        load = LoadReported(
            endpoint_id=EndpointId(f"e{number}"),
            queued_calls=engine.queued_calls,
            running_calls=engine.running_calls,
            age_seconds=lag_seconds,
            finished_calls_total=engine.first_tokens_total,
        )
        event = CacheEvent(
            endpoint_id=EndpointId(f"e{number}"),
            sequence=sequence,
            stored=tuple(engine.stored_blocks),
            evicted=tuple(engine.evicted_blocks),
        )
        engine.stored_blocks, engine.evicted_blocks = [], []
        lost = self._report_random.random() < scenario.lost_event_share

        def deliver() -> None:
            self._dispatch_to_all(load)
            if not lost:
                self._dispatch_to_all(event)

        if engine.is_running:
            self.clock.call_later(lag_seconds, deliver)
        interval_seconds = scenario.report_interval_seconds
        self.clock.call_later(interval_seconds, lambda: self._send_report(number, sequence + 1))

    def _stop_engines(self) -> None:
        for engine in self.engines[: round(self.scenario.engines * self.scenario.outage_share)]:
            engine.is_running = False
