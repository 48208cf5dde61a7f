"""Model engines that run in passes, and routers that assign bursts of calls to them."""

import argparse
import heapq
import json
import random
from collections import deque
from collections.abc import Iterable
from itertools import count

import msgspec

from egretrouter.core.direct import (
    CallRequirements,
    Choice,
    Endpoint,
    EndpointState,
    EngineProfile,
    LoadedWeights,
    LoadReport,
    Placement,
)
from egretrouter.core.identifiers import (
    EndpointId,
    ModelName,
    RegionId,
    ServiceName,
    ZoneId,
)

MODEL = ModelName("m")
SERVICE = ServiceName("engines")
PROFILE = EngineProfile(
    slots=16,
    step_seconds=0.00673,
    step_per_sequence_seconds=0.0000219,
    step_per_context_token_seconds=0.0000000068,
    prefill_tokens_per_second=30_600,
    prefill_seconds_per_token_pair=0.647e-9,
    steps_per_pass=6,
    prefill_chunk_tokens=2048,
    cache_tokens=1_640_000,
    report_lag_seconds=0.0,
    usual_prompt_tokens=965,
    usual_answer_tokens=120,
)
REPORT_SECONDS = 0.1
LATENCY_TARGET_SECONDS = 0.4
POLL_SECONDS = 0.1
WAIT_SECONDS = 0.2
BURST_CALLS = 4
"""Number of calls that reach one router at the same time."""


class ModelledCall:
    """Track one call from its router to the end of its answer."""

    def __init__(self, *, arrived_seconds: float, prompt_tokens: int, answer_tokens: int) -> None:
        self.arrived_seconds = arrived_seconds
        self.prompt_tokens = prompt_tokens
        self.remaining_prompt_tokens = prompt_tokens
        self.remaining_answer_tokens = answer_tokens
        self.first_event_seconds: float | None = None
        self.router = 0

    @property
    def in_time(self) -> bool:
        """Return whether the first event arrived within the latency target."""
        if self.first_event_seconds is None:
            return False
        return self.first_event_seconds - self.arrived_seconds <= LATENCY_TARGET_SECONDS


class PassEngine:
    """Prefill prompts in chunks and decode several steps of tokens, pass by pass."""

    def __init__(self, profile: EngineProfile) -> None:
        self._profile = profile
        self.queue: deque[ModelledCall] = deque()
        self.prefilling: list[ModelledCall] = []
        self.decoding: list[ModelledCall] = []
        self.busy = False

    @property
    def report(self) -> LoadReport:
        """Return the report of an agent; a call counts as running once its prefill has finished."""
        queued_calls = len(self.queue) + len(self.prefilling)
        return LoadReport(running=len(self.decoding), queued=queued_calls, versions={MODEL: 1})

    def begin_pass(self) -> float | None:
        """Admit calls and return the duration of the next pass; None if there are no calls."""
        profile = self._profile
        while self.queue and len(self.prefilling) + len(self.decoding) < profile.slots:
            self.prefilling.append(self.queue.popleft())
        if not self.prefilling and not self.decoding:
            return None
        seconds = self._prefill()
        if self.decoding:
            context = sum(call.prompt_tokens for call in self.decoding)
            seconds += profile.steps_per_pass * (
                profile.step_seconds
                + len(self.decoding) * profile.step_per_sequence_seconds
                + context * profile.step_per_context_token_seconds
            )
        return seconds

    def _prefill(self) -> float:
        profile = self._profile
        budget_tokens, seconds = profile.prefill_chunk_tokens, 0.0
        for call in self.prefilling:
            tokens = min(budget_tokens, call.remaining_prompt_tokens)
            prefilled_tokens = call.prompt_tokens - call.remaining_prompt_tokens
            pairs = tokens * (prefilled_tokens + tokens / 2)
            seconds += tokens / profile.prefill_tokens_per_second
            seconds += pairs * profile.prefill_seconds_per_token_pair
            call.remaining_prompt_tokens -= tokens
            budget_tokens -= tokens
        return seconds

    def end_pass(self, now_seconds: float) -> list[ModelledCall]:
        """Record the tokens of a pass and return the calls that finished."""
        for call in self.decoding:
            call.remaining_answer_tokens -= self._profile.steps_per_pass
            if call.first_event_seconds is None:
                call.first_event_seconds = now_seconds
        finished = [call for call in self.decoding if call.remaining_answer_tokens <= 0]
        self.decoding = [call for call in self.decoding if call.remaining_answer_tokens > 0]
        self.decoding += [call for call in self.prefilling if not call.remaining_prompt_tokens]
        self.prefilling = [call for call in self.prefilling if call.remaining_prompt_tokens]
        return finished


class BurstModel:
    """Simulate routers that share only load reports and assign bursts of calls to engines."""

    def __init__(self, *, engines: int, routers: int, calls_per_second: float, seed: int) -> None:
        self.calls: list[ModelledCall] = []
        self.refused = 0
        self._calls_per_second = calls_per_second
        self._random = random.Random(seed)
        self._engines = [PassEngine(PROFILE) for _ in range(engines)]
        self._endpoints = [_endpoint(number) for number in range(engines)]
        zone = ZoneId("z")
        self._routers = [
            Placement(zone=zone, regions={zone: RegionId("r")}, rng=random.Random(f"{seed}/{n}"))
            for n in range(routers)
        ]
        for router in self._routers:
            router.set_router_count(routers)
        self._events: list[tuple[float, int, str, tuple[object, ...]]] = []
        self._sequence = count()

    def run(self, *, seconds: float) -> "BurstModel":
        """Run the arrivals of the given time and all events that follow from them."""
        self._schedule(0.0, "arrive", seconds)
        for number in range(len(self._engines)):
            self._schedule(self._random.random() * REPORT_SECONDS, "tell", number, seconds)
        while self._events:
            now, _, name, values = heapq.heappop(self._events)
            getattr(self, f"_{name}")(now, *values)
        return self

    @property
    def in_time_share(self) -> float:
        """Return the share of all calls whose first event arrived within the latency target."""
        return sum(call.in_time for call in self.calls) / len(self.calls)

    def _schedule(self, due_seconds: float, name: str, *values: object) -> None:
        heapq.heappush(self._events, (due_seconds, next(self._sequence), name, values))

    def _arrive(self, now: float, until: float) -> None:
        router = self._random.randrange(len(self._routers))
        for _ in range(BURST_CALLS):
            call = ModelledCall(
                arrived_seconds=now,
                prompt_tokens=self._random.choice((647, 827, 1330)),
                answer_tokens=self._random.choice((72, 144, 144)),
            )
            self.calls.append(call)
            self._routers[router].record_arrival(now_seconds=now)
            self._place(now, router, call)
        next_arrival = now + self._random.expovariate(self._calls_per_second / BURST_CALLS)
        if next_arrival < until:
            self._schedule(next_arrival, "arrive", until)

    def _place(self, now: float, router: int, call: ModelledCall) -> None:
        placement = self._routers[router]
        left_seconds = call.arrived_seconds + LATENCY_TARGET_SECONDS - now
        requirements = CallRequirements(model=MODEL, latency_left_seconds=left_seconds)
        choice = placement.choose(self._endpoints, requirements, profile=PROFILE, now_seconds=now)
        if isinstance(choice, Choice):
            placement.record_send(choice.endpoint.endpoint_id, now_seconds=now)
            number = self._endpoints.index(choice.endpoint)
            engine = self._engines[number]
            call.router = router
            engine.queue.append(call)
            if not engine.busy:
                self._start_pass(now, number)
        elif now + POLL_SECONDS <= call.arrived_seconds + WAIT_SECONDS:
            self._schedule(now + POLL_SECONDS, "place", router, call)
        else:
            self.refused += 1

    def _start_pass(self, now: float, number: int) -> None:
        engine = self._engines[number]
        seconds = engine.begin_pass()
        engine.busy = seconds is not None
        if seconds is not None:
            self._schedule(now + seconds, "end", number)

    def _end(self, now: float, number: int) -> None:
        for call in self._engines[number].end_pass(now):
            self._routers[call.router].record_release(self._endpoints[number].endpoint_id)
        self._start_pass(now, number)

    def _tell(self, now: float, number: int, until: float) -> None:
        for router in self._routers:
            router.record_report(
                self._endpoints[number].endpoint_id,
                self._engines[number].report,
                by_agent=True,
                now_seconds=now,
            )
        if now < until:
            self._schedule(now + REPORT_SECONDS, "tell", number, until)


def _endpoint(number: int) -> Endpoint:
    return Endpoint(
        endpoint_id=EndpointId(f"e{number}"),
        service=SERVICE,
        address=f"127.0.0.1:{9000 + number}",
        zone=ZoneId("z"),
        state=EndpointState.READY,
        slots=PROFILE.slots,
        weights=(LoadedWeights(model=MODEL, version=1),),
    )


class BurstResult(msgspec.Struct, frozen=True, kw_only=True):
    """Report the figures of one run."""

    calls_per_second: float
    in_time_share: float
    refused_share: float


def measure(loads: Iterable[float], *, seed: int, seconds: float) -> list[BurstResult]:
    """Run the model at several loads, in calls per second."""
    results = []
    for load in loads:
        model = BurstModel(engines=8, routers=15, calls_per_second=load, seed=seed)
        model.run(seconds=seconds)
        results.append(
            BurstResult(
                calls_per_second=load,
                in_time_share=round(model.in_time_share, 4),
                refused_share=round(model.refused / len(model.calls), 4),
            )
        )
    return results


def main() -> None:
    """Parse the arguments, run the model and print the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    arguments = parser.parse_args()
    results = measure((40, 60, 80, 100), seed=arguments.seed, seconds=arguments.seconds)
    print(json.dumps({"seed": arguments.seed, "results": msgspec.to_builtins(results)}, indent=2))


if __name__ == "__main__":
    main()
