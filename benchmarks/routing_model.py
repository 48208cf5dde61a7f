"""Drive routers' pure cores against modelled engines with late reports and cache events."""

import random

from benchmarks.engine_model import TOKEN_SECONDS, Clock, EngineModel
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
    """Run one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        """Set up engines, routers and the arrivals."""
        self.scenario = scenario
        self.clock = Clock()
        self.attempts = 0
        self.calls: list[ModelCall] = []
        self.workspace_loads = scenario.workspace_loads or {"all": scenario.load}
        # Arrivals have their own generators, so that every policy sees the same calls.
        self._templates = Templates(scenario)
        self.engines = [
            EngineModel(self.clock, cache_blocks=scenario.cache_blocks)
            for _ in range(scenario.engines)
        ]
        self.routers = [RouterModel(self, number) for number in range(scenario.routers)]
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
            self._tell_all(message)
            phase = self._report_random.uniform(0, scenario.report_interval_seconds)
            self.clock.after(phase, lambda n=number: self._report(n, 1))  # type: ignore[misc]
        self._tell_all(RoutersCounted(routers=scenario.routers))
        for name, load in self.workspace_loads.items():
            source = random.Random(f"{scenario.seed}/arrivals/{name}")
            self._next_arrival(name, load, source)
        if scenario.outage_from_seconds is not None:
            self.clock.after(scenario.outage_from_seconds, self._break_engines)

    def run(self) -> "RoutingModel":
        """Run to the end, and on until late calls have had time to answer."""
        self.clock.run(self.scenario.duration_seconds + 10.0)
        return self

    def measured(self, workspace: str | None = None) -> list[ModelCall]:
        """Return the calls that arrived after the warm-up."""
        start = self.scenario.warm_up_seconds
        return [
            c for c in self.calls if c.arrived_seconds >= start and workspace in (None, c.workspace)
        ]

    def waits(self, workspace: str | None = None) -> list[float]:
        """Return the waits for first tokens; an unanswered call counts as the whole run."""
        return [
            c.first_seconds - c.arrived_seconds
            if c.first_seconds is not None
            else self.scenario.duration_seconds
            for c in self.measured(workspace)
            if not c.refused
        ]

    def goodput_per_second(self) -> float:
        """Return the calls per second whose first token met the deadline."""
        good = sum(
            c.first_seconds is not None
            and c.first_seconds - c.arrived_seconds <= self.scenario.deadline_seconds
            for c in self.measured()
        )
        return good / (self.scenario.duration_seconds - self.scenario.warm_up_seconds)

    def cached_share(self) -> float:
        """Return the part of prompt tokens that engines found in their caches."""
        total = sum(engine.prompt_tokens for engine in self.engines)
        return sum(engine.cached_tokens for engine in self.engines) / max(1, total)

    def _tell_all(self, message: RoutingMessage) -> None:
        for router in self.routers:
            router.tell(message)

    def _next_arrival(self, name: str, load: float, source: random.Random) -> None:
        scenario = self.scenario
        rate = load * scenario.engines / (self._templates.mean_prompt * TOKEN_SECONDS)

        def arrive() -> None:
            prompt, blocks = self._templates.draw(source)
            call = ModelCall(
                call_id=CallId(f"{name}-{len(self.calls)}"),
                workspace=WorkspaceId(name),
                request=RouteRequest(
                    service=SERVICE,
                    prompt_tokens=prompt,
                    prompt_blocks=blocks,
                    request_bytes=prompt * 4,
                ),
                output=1 + int(source.expovariate(1 / scenario.output_tokens)),
                arrived_seconds=self.clock.now_seconds,
            )
            self.calls.append(call)
            router = self.routers[source.randrange(scenario.routers)]
            self._next_arrival(name, load, source)
            router.arrive(call)

        delay = source.expovariate(rate)
        if self.clock.now_seconds + delay < scenario.duration_seconds:
            self.clock.after(delay, arrive)

    def _report(self, number: int, sequence: int) -> None:
        scenario = self.scenario
        engine = self.engines[number]
        lag = scenario.report_lag_seconds
        load = LoadReported(
            endpoint_id=EndpointId(f"e{number}"),
            queued_calls=engine.queued,
            running_calls=engine.running,
            age_seconds=lag,
            finished_calls_total=engine.first_tokens,
        )
        event = CacheEvent(
            endpoint_id=EndpointId(f"e{number}"),
            sequence=sequence,
            stored=tuple(engine.stored),
            evicted=tuple(engine.evicted),
        )
        engine.stored, engine.evicted = [], []
        lost = self._report_random.random() < scenario.lost_event_share

        def deliver() -> None:
            self._tell_all(load)
            if not lost:
                self._tell_all(event)

        if engine.up:
            self.clock.after(lag, deliver)
        again = scenario.report_interval_seconds
        self.clock.after(again, lambda: self._report(number, sequence + 1))

    def _break_engines(self) -> None:
        for engine in self.engines[: round(self.scenario.engines * self.scenario.outage_share)]:
            engine.up = False
