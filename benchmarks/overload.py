"""Compare placement policies under more load than the engines can serve.

Usage: python -m benchmarks.overload [--seed 1] [--seconds 30] [--load 0.9 1.1 1.3]
"""

import argparse
import heapq
import json
import random
from collections.abc import Callable, Sequence
from itertools import count

import msgspec

from benchmarks.pass_engine import MODEL, ModelledCall, PassEngine
from egretrouter.core.direct import (
    CallRequirements,
    CapacityShares,
    Choice,
    Endpoint,
    EndpointState,
    EngineProfile,
    LoadedWeights,
    LoadReport,
    Placement,
    call_cost,
    prefill_finish_seconds,
    prompts_equivalent,
    service_seconds,
)
from egretrouter.core.identifiers import EndpointId, RegionId, ServiceName, ZoneId

ZONES = (ZoneId("a"), ZoneId("b"), ZoneId("c"))
REGIONS = {zone: RegionId(f"region-{zone}") for zone in ZONES}

REPORT_SECONDS = 0.17
OTHER_ZONE_LAG_SECONDS = 0.1
POLL_SECONDS = 0.1
# Share of its latency target for which a call waits for capacity.
WAIT_SHARE = 0.5
MAX_PROMPT_TOKENS = 3880
MAX_ANSWER_TOKENS = 370
MAX_ANSWER_FACTOR = 2.5
# Standard deviation of the logarithm at which the mean of log-normal lengths equals their standard
# deviation, the square root of ln 2.
LENGTH_SIGMA = 0.83


class RouteModel(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the calls of one route and what an answer is worth to its callers."""

    name: str
    share: float
    prompt_tokens: float
    answer_tokens: float
    target_seconds: float
    max_pause_seconds: float
    rank: int
    value: float
    late_value: float


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the engines, routers and routes of one deployment."""

    profile: EngineProfile
    engines: int
    routers: int
    routes: tuple[RouteModel, ...]


def _profile(**values: float) -> EngineProfile:
    fields: dict[str, object] = {
        "slots": 12,
        "step_per_sequence_seconds": 0.00002,
        "step_per_context_token_seconds": 0.7e-8,
        "prefill_seconds_per_token_pair": 0.65e-9,
        "prefill_chunk_tokens": 2048,
        "cache_tokens": 1_640_000,
        "report_lag_seconds": 0.2,
        **values,
    }
    return EngineProfile(**fields)  # type: ignore[arg-type]


def _route(name: str, *values: float) -> RouteModel:
    share, prompt, answer, target, pause, rank, value, late_value = values
    return RouteModel(
        name=name,
        share=share,
        prompt_tokens=prompt,
        answer_tokens=answer,
        target_seconds=target,
        max_pause_seconds=pause,
        rank=int(rank),
        value=value,
        late_value=late_value,
    )


SITES = {
    "ranked": Site(
        profile=_profile(
            step_seconds=0.00673,
            prefill_tokens_per_second=30_600,
            steps_per_pass=7,
            usual_prompt_tokens=941,
            usual_answer_tokens=125,
        ),
        engines=17,
        routers=52,
        routes=(
            _route("long", 0.33, 1330, 147, 0.4, 0.3, 0, 3.7, 0.37),
            _route("short", 0.39, 827, 147, 0.4, 0.3, 1, 1.7, 0.42),
            _route("digest", 0.28, 647, 70, 0.8, 0.3, 2, 0.51, 0.19),
        ),
    ),
    "unranked": Site(
        profile=_profile(
            step_seconds=0.00887,
            prefill_tokens_per_second=19_100,
            steps_per_pass=5,
            usual_prompt_tokens=980,
            usual_answer_tokens=98,
        ),
        engines=17,
        routers=14,
        routes=(
            _route("long", 0.41, 1330, 108, 0.5, 0.4, 1, 2.4, 0.6),
            _route("summary", 0.30, 827, 108, 0.4, 0.4, 1, 2.0, 0.5),
            _route("note", 0.29, 647, 70, 0.4, 0.4, 1, 1.5, 0.36),
        ),
    ),
    # Nothing was chosen by what the next two show.
    "chat and batch": Site(
        profile=_profile(
            slots=32,
            step_seconds=0.02,
            prefill_tokens_per_second=8_000,
            steps_per_pass=2,
            usual_prompt_tokens=552,
            usual_answer_tokens=237,
        ),
        engines=10,
        routers=24,
        routes=(
            _route("chat", 0.7, 360, 180, 1.0, 0.5, 0, 2.0, 0.5),
            _route("batch", 0.3, 1000, 370, 5.0, 2.0, 3, 1.0, 0.8),
        ),
    ),
    "many small engines": Site(
        profile=_profile(
            slots=8,
            step_seconds=0.012,
            prefill_tokens_per_second=15_000,
            steps_per_pass=4,
            usual_prompt_tokens=440,
            usual_answer_tokens=92,
        ),
        engines=40,
        routers=100,
        routes=(
            _route("search", 0.6, 300, 60, 0.3, 0.25, 2, 1.0, 0.2),
            _route("summary", 0.4, 650, 140, 0.6, 0.4, 2, 1.0, 0.4),
        ),
    ),
}


class _Call(ModelledCall):
    def __init__(self, route: RouteModel, *, arrived_seconds: float, rng: random.Random) -> None:
        super().__init__(
            arrived_seconds=arrived_seconds,
            prompt_tokens=_draw(rng, route.prompt_tokens, MAX_PROMPT_TOKENS),
            answer_tokens=_draw(
                rng,
                route.answer_tokens,
                max(MAX_ANSWER_TOKENS, MAX_ANSWER_FACTOR * route.answer_tokens),
            ),
        )
        self.route = route
        self.engine = 0
        self.last_event_seconds = 0.0
        self.longest_pause_seconds = 0.0

    @property
    def is_late(self) -> bool:
        """Return whether the answer started or paused longer than the caller needs."""
        assert self.first_event_seconds is not None
        waited = self.first_event_seconds - self.arrived_seconds
        return (
            waited > self.route.target_seconds
            or self.longest_pause_seconds > self.route.max_pause_seconds
        )


def _draw(rng: random.Random, mean_tokens: float, limit_tokens: float) -> int:
    """Draw a length from a log-normal distribution."""
    factor = rng.lognormvariate(-LENGTH_SIGMA * LENGTH_SIGMA / 2, LENGTH_SIGMA)
    return max(1, int(min(limit_tokens, mean_tokens * factor)))


class _Engine(PassEngine):
    """Admit urgent calls first, and measure the pauses between events."""

    def admit(self, call: _Call, *, by_rank: bool) -> None:
        position = len(self.queue)
        if by_rank:
            while position and self.queue[position - 1].route.rank > call.route.rank:  # type: ignore[attr-defined]
                position -= 1
        self.queue.insert(position, call)

    def end_pass(self, now_seconds: float) -> list[ModelledCall]:
        for call in self.decoding:
            assert isinstance(call, _Call)
            if call.first_event_seconds is not None:
                pause = now_seconds - call.last_event_seconds
                call.longest_pause_seconds = max(call.longest_pause_seconds, pause)
            call.last_event_seconds = now_seconds
        return super().end_pass(now_seconds)


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Select the parts that are compared."""

    placement: Callable[[ZoneId, random.Random], Placement]
    engine_rank: bool = False
    call_rank: bool = False
    predicted: bool = False


class OverloadModel:
    """Simulate routers of three zones that share only load reports."""

    def __init__(self, site: Site, policy: Policy, *, load: float, seed: int) -> None:
        self.calls: list[_Call] = []
        self.refused: list[_Call] = []
        self._site = site
        self._policy = policy
        self._rng = random.Random(seed)
        profile = site.profile
        seconds = service_seconds(profile)
        self._rate = load * site.engines * profile.slots / seconds
        self._engines = [_Engine(profile) for _ in range(site.engines)]
        self._endpoints = [_endpoint(n, profile) for n in range(site.engines)]
        self._zones = [ZONES[n % len(ZONES)] for n in range(site.routers)]
        self._routers = [
            policy.placement(zone, random.Random(f"{seed}/{n}"))
            for n, zone in enumerate(self._zones)
        ]
        for router, zone in zip(self._routers, self._zones, strict=True):
            router.set_router_count(site.routers, in_zone=self._zones.count(zone))
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self._numbers = count()

    def run(self, seconds: float) -> "OverloadModel":
        """Run the arrivals of the given time and all that follows from them."""
        self._at(0.0, self._arrive, seconds)
        for number in range(len(self._engines)):
            self._at(self._rng.random() * REPORT_SECONDS, self._report, number, seconds)
        while self._events:
            now, _, action, values = heapq.heappop(self._events)
            action(now, *values)
        return self

    def _at(self, due_seconds: float, action: Callable[..., None], *values: object) -> None:
        heapq.heappush(self._events, (due_seconds, next(self._numbers), action, values))

    def _arrive(self, now: float, until: float) -> None:
        route = self._rng.choices(
            self._site.routes, weights=[route.share for route in self._site.routes]
        )[0]
        call = _Call(route, arrived_seconds=now, rng=self._rng)
        router = self._rng.randrange(len(self._routers))
        self.calls.append(call)
        rank = route.rank if self._policy.call_rank else 0
        self._routers[router].record_arrival(now_seconds=now, rank=rank)
        self._place(now, router, call)
        following = now + self._rng.expovariate(self._rate)
        if following < until:
            self._at(following, self._arrive, until)

    def _place(self, now: float, router: int, call: _Call) -> None:
        placement, route = self._routers[router], call.route
        target, rank, cost, prompts = route.target_seconds, 0, None, 1.0
        profile = self._site.profile
        if self._policy.call_rank:
            rank = route.rank
            urgent = [r.target_seconds for r in self._site.routes if r.rank < rank]
            target = min([target, *urgent])
        if self._policy.predicted:
            cost = call_cost(
                profile, prompt_tokens=call.prompt_tokens, answer_tokens=route.answer_tokens
            )
            prompts = prompts_equivalent(cost, profile)
        requirements = CallRequirements(
            model=MODEL,
            latency_left_seconds=call.arrived_seconds + target - now,
            rank=rank,
            cost=cost,
        )
        choice = placement.choose(
            self._endpoints, requirements, profile=self._site.profile, now_seconds=now
        )
        if isinstance(choice, Choice):
            placement.record_send(choice.endpoint.endpoint_id, now_seconds=now, prompts=prompts)
            call.engine, call.router = self._endpoints.index(choice.endpoint), router
            engine = self._engines[call.engine]
            engine.admit(call, by_rank=self._policy.engine_rank)
            if not engine.busy:
                self._start_pass(now, call.engine)
        elif now + POLL_SECONDS <= call.arrived_seconds + WAIT_SHARE * route.target_seconds:
            self._at(now + POLL_SECONDS, self._place, router, call)
        else:
            self.refused.append(call)

    def _start_pass(self, now: float, number: int) -> None:
        engine = self._engines[number]
        seconds = engine.begin_pass()
        engine.busy = seconds is not None
        if seconds is not None:
            self._at(now + seconds, self._end_pass, number)

    def _end_pass(self, now: float, number: int) -> None:
        for call in self._engines[number].end_pass(now):
            self._routers[call.router].record_release(self._endpoints[number].endpoint_id)
        self._start_pass(now, number)

    def _report(self, now: float, number: int, until: float) -> None:
        endpoint, report = self._endpoints[number], self._engines[number].report
        for zone in ZONES:
            lag = 0.0 if zone == endpoint.zone else OTHER_ZONE_LAG_SECONDS
            self._at(now + lag, self._receive, zone, endpoint.endpoint_id, report)
        if now < until:
            self._at(now + REPORT_SECONDS, self._report, number, until)

    def _receive(
        self, now: float, zone: ZoneId, endpoint_id: EndpointId, report: LoadReport
    ) -> None:
        for router, own_zone in zip(self._routers, self._zones, strict=True):
            if own_zone == zone:
                router.record_report(endpoint_id, report, by_agent=True, now_seconds=now)

    @property
    def late_share(self) -> float:
        """Return the share of all calls that were answered late."""
        late = [c for c in self.calls if c.first_event_seconds is not None and c.is_late]
        return len(late) / len(self.calls)

    def summary(self) -> dict[str, object]:
        """Return what callers got, by route."""
        return {
            "value": round(self._value(self.calls), 3),
            "refused": round(len(self.refused) / len(self.calls), 3),
            "late": round(self.late_share, 3),
            "routes": {
                route.name: round(self._value([c for c in self.calls if c.route is route]), 3)
                for route in self._site.routes
            },
        }

    def _value(self, calls: Sequence[_Call]) -> float:
        earned = sum(
            (c.route.late_value if c.is_late else c.route.value)
            for c in calls
            if c.first_event_seconds is not None
        )
        return earned / sum(c.route.value for c in calls)


def _endpoint(number: int, profile: EngineProfile) -> Endpoint:
    return Endpoint(
        endpoint_id=EndpointId(f"e{number}"),
        service=ServiceName("engines"),
        address=f"127.0.0.1:{9000 + number}",
        zone=ZONES[number % len(ZONES)],
        state=EndpointState.READY,
        slots=profile.slots,
        weights=(LoadedWeights(model=MODEL, version=1),),
    )


def _least_loaded(zone: ZoneId, rng: random.Random) -> Placement:
    return Placement(zone=zone, regions=REGIONS, rng=rng)


def _spread(zone: ZoneId, rng: random.Random) -> Placement:
    return Placement(zone=zone, regions=REGIONS, rng=rng, shares=CapacityShares(rng=rng))


class _PowerOfTwoPlacement(Placement):
    """Choose the less loaded of two endpoints drawn at random."""

    def _select(
        self,
        available: Sequence[tuple[Endpoint, int]],
        profile: EngineProfile | None,
        now_seconds: float,
    ) -> tuple[Endpoint, int]:
        drawn = self._rng.sample(list(available), min(2, len(available)))
        prefill_seconds = 0.0 if profile is None else prefill_finish_seconds(profile)
        return min(drawn, key=lambda entry: self._level(entry[0], prefill_seconds, now_seconds))


def _power_of_two(zone: ZoneId, rng: random.Random) -> Placement:
    return _PowerOfTwoPlacement(zone=zone, regions=REGIONS, rng=rng)


POLICIES = {
    "least_loaded": Policy(placement=_least_loaded),
    "power_of_two": Policy(placement=_power_of_two),
    "spread": Policy(placement=_spread),
    "spread, rank at the engine": Policy(placement=_spread, engine_rank=True),
    "ranked": Policy(placement=_spread, engine_rank=True, call_rank=True),
    "ranked, predicted": Policy(
        placement=_spread, engine_rank=True, call_rank=True, predicted=True
    ),
}


def main() -> None:
    """Parse the arguments, run the model and print the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--load", type=float, nargs="+", default=[0.7, 0.9, 1.1, 1.3])
    parser.add_argument("--policy", nargs="+", default=list(POLICIES))
    arguments = parser.parse_args()
    for name, site in SITES.items():
        for load in arguments.load:
            for policy in arguments.policy:
                model = OverloadModel(site, POLICIES[policy], load=load, seed=arguments.seed)
                result = model.run(arguments.seconds).summary()
                print(json.dumps({"site": name, "load": load, "policy": policy, **result}))


if __name__ == "__main__":
    main()
