"""Drive routers' pure cores against modelled engines with late reports and cache events."""

import random
from collections.abc import Callable, Iterator

import msgspec

from benchmarks.baselines import (
    BoundedPrefixHash,
    LeastOutstanding,
    LeastReported,
    Policy,
    PrefixHash,
    RandomChoice,
    RoundRobin,
)
from benchmarks.engine_model import BLOCK_TOKENS, TOKEN_SECONDS, Clock, EngineCall, EngineModel
from egretrouter.core.identifiers import (
    CallId,
    EndpointId,
    RegionId,
    ServiceName,
    WorkspaceId,
    ZoneId,
)
from egretrouter.core.limits import (
    AdaptiveConcurrency,
    Admission,
    CallArrived,
    CallReleased,
    CallStartedAnswer,
    LimitsChanged,
    LimitsCommand,
    LimitsTick,
    LiveRoutersCounted,
    RetryBudget,
    StartCall,
    WorkspaceLimits,
)
from egretrouter.core.routing import (
    CacheEvent,
    CallEnded,
    CallFailed,
    CallSent,
    Choice,
    EndpointSeen,
    EndpointSelector,
    FirstTokenSeen,
    LoadReported,
    RouteRequest,
    RoutersCounted,
    RoutingMessage,
    SelectorSettings,
)

SERVICE = ServiceName("llm")
CONNECT_FAILURE_SECONDS = 0.05


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Set up one run."""

    policy: str
    seed: int
    engines: int = 8
    routers: int = 15
    zones: int = 3
    load: float = 0.8
    """Offered load as a part of what the engines can prefill without any cached prefix."""
    duration_seconds: float = 120.0
    warm_up_seconds: float = 30.0
    report_lag_seconds: float = 1.0
    report_interval_seconds: float = 1.0
    lost_event_share: float = 0.02
    templates: int = 200
    template_skew: float = 1.0
    cache_blocks: int = 512
    output_tokens: float = 60.0
    deadline_seconds: float = 2.0
    limits: bool = False
    target_wait_seconds: float = 0.13
    workspace_loads: dict[str, float] | None = None
    outage_from_seconds: float | None = None
    outage_share: float = 1 / 3
    retry_budget: bool = True
    settings: SelectorSettings = SelectorSettings()


class ModelCall(msgspec.Struct):
    """Hold one caller's call and what became of it."""

    call_id: CallId
    workspace: WorkspaceId
    request: RouteRequest
    output: int
    arrived_seconds: float
    first_seconds: float | None = None
    attempts: int = 0
    refused: bool = False
    urgent: bool = False


class SelectorPolicy:
    """Adapt EndpointSelector to the interface of the baselines."""

    def __init__(self, selector: EndpointSelector) -> None:
        """Wrap one selector."""
        self.selector = selector
        self.placed = False

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Pass the message on."""
        return self.selector.handle(message, now_seconds=now_seconds)

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the chosen endpoint."""
        decision = self.selector.choose(request, now_seconds=now_seconds)
        if not isinstance(decision, Choice):
            return None
        self.placed = decision.placed
        return decision.endpoint_id


BASELINES: dict[str, Callable[[random.Random], Policy]] = {
    "random": RandomChoice,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "least_reported": LeastReported,
    "prefix_hash": PrefixHash,
    "prefix_hash_bounded": BoundedPrefixHash,
}


class _RouterModel:
    def __init__(self, run: "RoutingModel", number: int) -> None:
        scenario = run.scenario
        self.run = run
        self.zone = number % scenario.zones
        source = random.Random(f"{scenario.seed}/router/{number}")
        self.policy: Policy
        if scenario.policy == "selector":
            self.policy = SelectorPolicy(
                EndpointSelector(
                    zone=ZoneId(f"z{self.zone}"),
                    region=RegionId(f"r{self.zone}"),
                    random_generator=source,
                    settings=scenario.settings,
                )
            )
        else:
            self.policy = BASELINES[scenario.policy](source)
        self.calls: dict[CallId, ModelCall] = {}
        self.retries = RetryBudget()
        self.admission: Admission | None = None
        if scenario.limits:
            concurrency = AdaptiveConcurrency(target_wait_seconds=scenario.target_wait_seconds)
            self.admission = Admission(concurrency=concurrency)
            workspaces = tuple(
                WorkspaceLimits(
                    workspace_id=WorkspaceId(name),
                    requests_per_second=1e6,
                    tokens_per_second=1e9,
                    concurrent_calls=10**6,
                )
                for name in run.workspace_loads
            )
            self.admission.handle(LimitsChanged(workspaces=workspaces), now_seconds=0.0)
            self.admission.handle(LiveRoutersCounted(routers=scenario.routers), now_seconds=0.0)
            self._tick()

    def tell(self, message: RoutingMessage) -> None:
        self.policy.handle(message, now_seconds=self.run.clock.now_seconds)

    def arrive(self, call: ModelCall) -> None:
        self.calls[call.call_id] = call
        self.retries.call_made()
        if self.admission is None:
            self._send(call)
            return
        message = CallArrived(
            call_id=call.call_id,
            workspace_id=call.workspace,
            deadline_seconds=self.run.scenario.deadline_seconds,
        )
        self._execute(self.admission.handle(message, now_seconds=self.run.clock.now_seconds))

    def _tick(self) -> None:
        assert self.admission is not None
        now = self.run.clock.now_seconds
        self._execute(self.admission.handle(LimitsTick(), now_seconds=now))
        self.run.clock.after(0.1, self._tick)

    def _execute(self, commands: list[LimitsCommand]) -> None:
        for command in commands:
            if isinstance(command, StartCall):
                call = self.calls[command.call_id]
                call.urgent = command.urgent
                self._send(call)
            else:
                self.calls.pop(command.call_id).refused = True

    def _send(self, call: ModelCall) -> None:
        clock = self.run.clock
        request = call.request
        if self.run.scenario.limits:
            spent = clock.now_seconds - call.arrived_seconds
            left = self.run.scenario.deadline_seconds - spent
            request = msgspec.structs.replace(request, deadline_seconds=left, urgent=call.urgent)
        endpoint_id = self.policy.pick(request, now_seconds=clock.now_seconds)
        if endpoint_id is None:
            call.refused = True
            self._release(call, overloaded=True)
            return
        call.attempts += 1
        self.run.attempts += 1
        sent_at = clock.now_seconds
        attempt_id = CallId(f"{call.call_id}/{call.attempts}")
        self.tell(
            CallSent(
                call_id=attempt_id,
                endpoint_id=endpoint_id,
                prompt_tokens=request.prompt_tokens,
                prompt_blocks=request.prompt_blocks,
                request_bytes=request.request_bytes,
                placed=isinstance(self.policy, SelectorPolicy) and self.policy.placed,
            )
        )
        number = int(endpoint_id[1:])
        engine = self.run.engines[number]
        one_way = 0.0 if number % self.run.scenario.zones == self.zone else 0.002

        def first(cached_tokens: int) -> None:
            call.first_seconds = clock.now_seconds + one_way
            self.tell(FirstTokenSeen(call_id=attempt_id, cached_tokens=cached_tokens))
            if self.admission is not None:
                wait = clock.now_seconds - sent_at
                message = CallStartedAnswer(call_id=call.call_id, wait_seconds=wait)
                self._execute(self.admission.handle(message, now_seconds=clock.now_seconds))

        def ended() -> None:
            self.tell(CallEnded(call_id=attempt_id))
            self._release(call)

        def failed() -> None:
            self.tell(CallFailed(call_id=attempt_id))
            allowed = self.retries.try_spend() if self.run.scenario.retry_budget else True
            if call.attempts < 3 and allowed:
                excluded = call.request.excluded | {endpoint_id}
                call.request = msgspec.structs.replace(call.request, excluded=excluded)
                self._send(call)
            else:
                call.refused = True
                self._release(call)

        if not engine.up:
            clock.after(CONNECT_FAILURE_SECONDS, failed)
            return
        work = EngineCall(
            blocks=request.prompt_blocks,
            prompt=request.prompt_tokens,
            output=call.output,
            on_first=first,
            on_end=ended,
            urgent=call.urgent,
        )
        clock.after(one_way, lambda: engine.submit(work))

    def _release(self, call: ModelCall, *, overloaded: bool = False) -> None:
        self.calls.pop(call.call_id, None)
        if self.admission is not None:
            message = CallReleased(call_id=call.call_id, overloaded=overloaded)
            now = self.run.clock.now_seconds
            self._execute(self.admission.handle(message, now_seconds=now))


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
        self._templates = _templates(scenario)
        self.engines = [
            EngineModel(self.clock, cache_blocks=scenario.cache_blocks)
            for _ in range(scenario.engines)
        ]
        self.routers = [_RouterModel(self, number) for number in range(scenario.routers)]
        self._report_random = random.Random(f"{scenario.seed}/reports")
        for number in range(scenario.engines):
            zone = number % scenario.zones
            message = EndpointSeen(
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


class _Templates:
    """Draw prompts: a shared template and a part of their own."""

    def __init__(self, scenario: Scenario) -> None:
        source = random.Random(f"{scenario.seed}/templates")
        self._sizes = [source.randint(4, 16) for _ in range(scenario.templates)]
        weights = [1 / (n + 1) ** scenario.template_skew for n in range(scenario.templates)]
        self._cumulative = list(_running_sum(weights))
        total = self._cumulative[-1]
        mean_blocks = sum(w * s for w, s in zip(weights, self._sizes, strict=True)) / total
        self.mean_prompt = mean_blocks * BLOCK_TOKENS + 96
        self._ids = iter(range(10**9, 10**12))

    def draw(self, source: random.Random) -> tuple[int, tuple[int, ...]]:
        (template,) = source.choices(range(len(self._sizes)), cum_weights=self._cumulative)
        own_tokens = source.randint(32, 160)
        shared = [template * 1000 + n for n in range(self._sizes[template])]
        own = [source.getrandbits(60) | 1 << 61 for _ in range(own_tokens // BLOCK_TOKENS)]
        return len(shared) * BLOCK_TOKENS + own_tokens, tuple(shared + own)


def _templates(scenario: Scenario) -> _Templates:
    return _Templates(scenario)


def _running_sum(values: list[float]) -> Iterator[float]:
    total = 0.0
    for value in values:
        total += value
        yield total
