"""Test the selection of endpoints."""

import random

import pytest

from egretrouter.core.configuration import EngineRole
from egretrouter.core.identifiers import (
    CallId,
    Digest,
    EndpointId,
    ModelName,
    RegionId,
    ServiceName,
    ZoneId,
)
from egretrouter.core.limits import RetryBudget
from egretrouter.core.routing import (
    CacheEvent,
    CallEnded,
    CallFailed,
    CallSent,
    Choice,
    EndpointRemoved,
    EndpointSelector,
    EndpointState,
    EndpointUpdated,
    FirstTokenReceived,
    LoadReported,
    PrefixIndex,
    Refusal,
    RefusalReason,
    RouteRequest,
    RoutersCounted,
)

SERVICE = ServiceName("llm")
V1 = Digest("1" * 64)
ENDPOINTS = [EndpointId(f"e{n}") for n in range(6)]
REQUEST = RouteRequest(service=SERVICE, prompt_tokens=320, prompt_blocks=tuple(range(10)))
PLAIN = RouteRequest(service=SERVICE, prompt_tokens=320)


def endpoint_updated(endpoint_id: EndpointId, **changes: object) -> EndpointUpdated:
    zone = int(endpoint_id[1:]) % 3
    values: dict[str, object] = {
        "endpoint_id": endpoint_id,
        "address": f"127.0.0.1:{endpoint_id}",
        "zone": ZoneId(f"z{zone}"),
        "region": RegionId(f"r{zone}"),
        "service": SERVICE,
        "version_digests": frozenset({V1}),
    }
    return EndpointUpdated(**(values | changes))  # type: ignore[arg-type]


def selector(seed: int = 1, endpoints: list[EndpointId] = ENDPOINTS) -> EndpointSelector:
    result = EndpointSelector(
        zone=ZoneId("z0"), region=RegionId("r0"), random_generator=random.Random(seed)
    )
    for endpoint_id in endpoints:
        result.handle(endpoint_updated(endpoint_id), now_seconds=0.0)
    return result


def chosen(router: EndpointSelector, request: RouteRequest = REQUEST, now: float = 1.0) -> str:
    decision = router.choose(request, now_seconds=now)
    assert isinstance(decision, Choice), decision
    return decision.endpoint_id


def report(endpoint_id: EndpointId, queued: int, age: float = 0.0) -> LoadReported:
    return LoadReported(
        endpoint_id=endpoint_id, queued_calls=queued, running_calls=4, age_seconds=age
    )


def send(router: EndpointSelector, call: str, endpoint: str, now: float, blocks: int = 0) -> None:
    router.handle(
        CallSent(
            call_id=CallId(call),
            endpoint_id=EndpointId(endpoint),
            prompt_tokens=320,
            prompt_blocks=tuple(range(blocks)),
        ),
        now_seconds=now,
    )


class TestEligibility:
    """Guard against selecting an endpoint that cannot serve the requested version or role."""

    @pytest.mark.parametrize(
        ("change", "reason"),
        [
            ({"draining": True}, RefusalReason.DRAINING),
            ({"version_digests": frozenset({"2" * 64})}, RefusalReason.VERSION_NOT_LOADED),
            ({"adapters": frozenset()}, RefusalReason.ADAPTER_NOT_LOADED),
            ({"role": EngineRole.DECODE}, RefusalReason.ROLE_NOT_SERVED),
            ({"service": ServiceName("other")}, RefusalReason.NO_ENDPOINT),
        ],
    )
    def test_refuses_with_the_reason(
        self, change: dict[str, object], reason: RefusalReason
    ) -> None:
        router = selector(endpoints=[])
        matching = {"adapters": frozenset({ModelName("lora")})}
        request = RouteRequest(
            service=SERVICE,
            version_digest=V1,
            adapter=ModelName("lora"),
            role=EngineRole.PREFILL,
        )
        router.handle(endpoint_updated(EndpointId("e0"), **matching), now_seconds=0.0)
        assert chosen(router, request) == "e0"
        router.handle(endpoint_updated(EndpointId("e0"), **(matching | change)), now_seconds=0.0)
        refusal = router.choose(request, now_seconds=1.0)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is reason
        assert refusal.retry_after_seconds > 0

    def test_a_removed_or_excluded_endpoint_is_never_chosen(self) -> None:
        router = selector()
        router.handle(EndpointRemoved(endpoint_id=EndpointId("e0")), now_seconds=0.0)
        request = RouteRequest(service=SERVICE, excluded=frozenset({EndpointId("e3")}))
        assert {chosen(router, request) for _ in range(100)}.isdisjoint({"e0", "e3"})
        everything = RouteRequest(service=SERVICE, excluded=frozenset(ENDPOINTS))
        refusal = router.choose(everything, now_seconds=1.0)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.ALL_EXCLUDED

    def test_incrementally_updated_pools_equal_rebuilt_ones(self) -> None:
        old, source = selector(), random.Random(5)
        old.choose(REQUEST, now_seconds=0.0)
        alive = {e: endpoint_updated(e) for e in ENDPOINTS}
        for _ in range(200):
            endpoint = source.choice(ENDPOINTS)
            if source.random() < 0.3:
                alive.pop(endpoint, None)
                old.handle(EndpointRemoved(endpoint_id=endpoint), now_seconds=0.0)
            else:
                zone = ZoneId(f"z{source.randrange(2)}")
                alive[endpoint] = endpoint_updated(
                    endpoint, zone=zone, draining=source.random() < 0.3
                )
                old.handle(alive[endpoint], now_seconds=0.0)
            new = selector(endpoints=[])
            for message in alive.values():
                new.handle(message, now_seconds=0.0)
            decisions = [router.choose(REQUEST, now_seconds=1.0) for router in (old, new)]
            # Between idle endpoints the prefix's affinity endpoint wins, not the random order.
            assert decisions[0] == decisions[1]


class TestSlowStart:
    """Guard against overloading an endpoint whose cache is empty after a load."""

    def test_a_new_endpoint_gets_a_growing_share(self) -> None:
        router = selector(endpoints=[EndpointId("e0")])
        router.handle(endpoint_updated(EndpointId("e3"), loaded_age_seconds=0.0), now_seconds=0.0)
        router.handle(report(EndpointId("e0"), 2), now_seconds=0.0)
        assert router.state(EndpointId("e3"), now_seconds=1.0) is EndpointState.SLOW_START
        early = sum(chosen(router, PLAIN, now=0.5) == "e3" for _ in range(200))
        late = sum(chosen(router, PLAIN, now=12.0) == "e3" for _ in range(200))
        assert 0 < early < 60 < late < 200
        assert router.state(EndpointId("e3"), now_seconds=16.0) is EndpointState.READY

    def test_endpoints_in_slow_start_serve_if_there_are_no_others(self) -> None:
        router = selector(endpoints=[])
        router.handle(endpoint_updated(EndpointId("e0"), loaded_age_seconds=0.0), now_seconds=0.0)
        assert all(chosen(router, now=0.1) == "e0" for _ in range(50))


class TestEjection:
    """Guard against using failing endpoints and against ejecting too many."""

    @staticmethod
    def fail(router: EndpointSelector, endpoint: EndpointId, times: int, now: float) -> int:
        ejected = 0
        for number in range(times):
            call = CallId(f"{endpoint}-{now}-{number}")
            router.handle(CallSent(call_id=call, endpoint_id=endpoint), now_seconds=now)
            ejected += len(router.handle(CallFailed(call_id=call), now_seconds=now))
        return ejected

    def test_ejects_for_longer_each_time_and_returns(self) -> None:
        router = selector()
        assert self.fail(router, EndpointId("e0"), 3, 1.0) == 1
        assert "e0" not in {chosen(router, now=2.0) for _ in range(200)}
        assert router.state(EndpointId("e0"), now_seconds=12.0) is EndpointState.READY
        assert self.fail(router, EndpointId("e0"), 1, 12.0) == 1
        assert router.state(EndpointId("e0"), now_seconds=31.0) is EndpointState.EJECTED

    def test_a_success_resets_the_count(self) -> None:
        router = selector()
        self.fail(router, EndpointId("e0"), 2, 1.0)
        send(router, "good", "e0", 1.0)
        router.handle(CallEnded(call_id=CallId("good")), now_seconds=1.0)
        assert self.fail(router, EndpointId("e0"), 2, 1.0) == 0

    def test_leaves_the_minimum_share_in_use(self) -> None:
        router = selector()
        assert sum(self.fail(router, e, 20, 1.0) for e in ENDPOINTS) == 3
        assert len({chosen(router, now=2.0) for _ in range(300)}) >= 1


class TestLoad:
    """Guard against relying on stale reports and against all routers selecting one endpoint."""

    def test_prefers_the_less_loaded_endpoint(self) -> None:
        router = selector(endpoints=[EndpointId("e0"), EndpointId("e3")])
        router.handle(report(EndpointId("e0"), 9), now_seconds=1.0)
        router.handle(report(EndpointId("e3"), 0), now_seconds=1.0)
        assert chosen(router) == "e3"

    def test_an_older_report_does_not_replace_a_newer_one(self) -> None:
        router = selector(endpoints=[EndpointId("e0"), EndpointId("e3")])
        router.handle(report(EndpointId("e0"), 9), now_seconds=5.0)
        newest = router.snapshot(now_seconds=5.0)
        router.handle(report(EndpointId("e0"), 0, age=4.0), now_seconds=5.0)
        assert router.snapshot(now_seconds=5.0) == newest
        assert chosen(router, now=5.0) == "e3"

    def test_a_stale_report_decays(self) -> None:
        router = selector(endpoints=[EndpointId("e0")])
        router.handle(report(EndpointId("e0"), 50), now_seconds=0.0)
        fresh = router.choose(REQUEST, now_seconds=0.0)
        stale = router.choose(REQUEST, now_seconds=60.0)
        assert isinstance(fresh, Choice)
        assert isinstance(stale, Choice)
        assert stale.estimated_wait_seconds < fresh.estimated_wait_seconds / 3

    def test_endpoints_without_reports_are_used(self) -> None:
        assert {chosen(selector(seed), PLAIN) for seed in range(30)} >= {"e0", "e3"}

    def test_routers_with_equal_stale_reports_spread_their_calls(self) -> None:
        counts = dict.fromkeys(ENDPOINTS, 0)
        for seed in range(15):
            router = selector(seed)
            router.handle(RoutersCounted(routers=15), now_seconds=0.0)
            for endpoint in ENDPOINTS:
                queued = 0 if endpoint == "e0" else 2
                router.handle(report(endpoint, queued, age=10.0), now_seconds=10.0)
            for number in range(20):
                choice = chosen(router, PLAIN, now=10.0 + number * 0.1)
                counts[EndpointId(choice)] += 1
                send(router, f"{seed}-{number}", choice, 10.0 + number * 0.1)
        # 300 calls over six endpoints: the one that looks idle must not get most of them.
        assert max(counts.values()) <= 120, counts

    def test_refuses_when_the_deadline_cannot_be_met(self) -> None:
        router = selector()
        for endpoint in ENDPOINTS:
            router.handle(report(endpoint, 100), now_seconds=1.0)
        request = RouteRequest(service=SERVICE, prompt_tokens=320, deadline_seconds=2.0)
        refusal = router.choose(request, now_seconds=1.0)
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.OVERLOADED
        assert 1.0 < refusal.retry_after_seconds < 20.0

    def test_spills_over_to_another_zone_only_under_load(self) -> None:
        router = selector()
        plain = RouteRequest(service=SERVICE, prompt_tokens=32)
        assert {chosen(router, plain) for _ in range(50)} == {"e0", "e3"}
        for endpoint in (EndpointId("e0"), EndpointId("e3")):
            router.handle(report(endpoint, 5), now_seconds=1.0)
        assert {chosen(router, plain) for _ in range(50)}.isdisjoint({"e0", "e3"})

    def test_a_saturated_link_keeps_calls_in_the_region(self) -> None:
        router = selector()
        for endpoint in (EndpointId("e0"), EndpointId("e3")):
            router.handle(report(endpoint, 3), now_seconds=1.0)
        for number in range(10):
            sent = CallSent(
                call_id=CallId(str(number)), endpoint_id=EndpointId("e1"), request_bytes=8_000
            )
            router.handle(sent, now_seconds=1.0)
        large = RouteRequest(service=SERVICE, prompt_tokens=32, request_bytes=8_000)
        assert {chosen(router, large) for _ in range(50)} <= {"e0", "e3"}

    def test_an_endpoint_that_hangs_does_not_look_idle(self) -> None:
        router = selector(endpoints=[EndpointId("e0"), EndpointId("e3")])
        send(router, "stuck", "e0", 1.0)
        # By now the work of the call itself has decayed in the estimate.
        assert {chosen(router, PLAIN, now=20.0) for _ in range(30)} == {"e3"}
        router.handle(CallEnded(call_id=CallId("stuck")), now_seconds=20.0)
        assert {chosen(router, PLAIN, now=30.0) for _ in range(30)} == {"e0", "e3"}

    def test_messages_about_unknown_endpoints_and_calls_are_ignored(self) -> None:
        router = selector(endpoints=[EndpointId("e0")])
        removed = EndpointId("e1")
        send(router, "open", "e0", 0.5)
        router.handle(EndpointRemoved(endpoint_id=EndpointId("e0")), now_seconds=1.0)
        call = CallId("open")
        for message in (
            report(removed, 3),
            CacheEvent(endpoint_id=removed, sequence=1, stored=(1, 2)),
            EndpointRemoved(endpoint_id=removed),
            CallSent(call_id=CallId("x"), endpoint_id=removed),
            FirstTokenReceived(call_id=call),
            CallFailed(call_id=call),
            CallEnded(call_id=call),
        ):
            assert router.handle(message, now_seconds=1.0) == []
        dump = router.snapshot(now_seconds=1.0)
        assert (dump["open_calls"], dump["index_entries"], dump["endpoints"]) == (0, 0, {})

    def test_the_loss_of_a_zone_causes_no_retry_storm(self) -> None:
        router, budget = selector(), RetryBudget()
        retries, late_failures = 0, 0
        for number in range(600):
            now = 1.0 + number * 0.01
            budget.record_call()
            excluded: set[EndpointId] = set()
            for attempt in range(3):
                request = RouteRequest(service=SERVICE, excluded=frozenset(excluded))
                endpoint = EndpointId(chosen(router, request, now=now))
                call = CallId(f"{number}/{attempt}")
                router.handle(CallSent(call_id=call, endpoint_id=endpoint), now_seconds=now)
                if endpoint not in {"e0", "e3"}:
                    router.handle(CallEnded(call_id=call), now_seconds=now)
                    break
                router.handle(CallFailed(call_id=call), now_seconds=now)
                excluded.add(endpoint)
                late_failures += number >= 100
                if not budget.try_spend():
                    break
                retries += 1
        assert retries <= 60
        assert late_failures == 0


class TestPrefix:
    """Guard against stale cache entries and unbounded memory."""

    def test_prefers_the_endpoint_that_holds_the_prefix(self) -> None:
        router = selector()
        event = CacheEvent(endpoint_id=EndpointId("e4"), sequence=1, stored=tuple(range(10)))
        router.handle(event, now_seconds=0.0)
        assert chosen(router) == "e4"

    def test_a_hot_prefix_does_not_overload_its_holder(self) -> None:
        router = selector()
        used = set()
        for number in range(60):
            endpoint = chosen(router, now=1.0 + number * 0.001)
            used.add(endpoint)
            send(router, str(number), endpoint, 1.0 + number * 0.001, blocks=2)
        assert len(used) >= 3

    def test_a_new_version_starts_without_the_old_cache(self) -> None:
        router = selector(endpoints=[EndpointId("e0")])
        send(router, "c", "e0", 0.5, blocks=10)
        before = router.choose(REQUEST, now_seconds=1.0)
        loaded = endpoint_updated(EndpointId("e0"), version_digests=frozenset({Digest("2" * 64)}))
        router.handle(loaded, now_seconds=1.0)
        after = router.choose(REQUEST, now_seconds=1.0)
        assert isinstance(before, Choice)
        assert isinstance(after, Choice)
        assert (before.cached_tokens, after.cached_tokens) == (320, 0)

    def test_a_gap_in_the_events_drops_the_oldest_entries(self) -> None:
        index = PrefixIndex(limit_entries=100)
        e0 = EndpointId("e0")
        index.add_endpoint(e0)

        def event(sequence: int, stored: tuple[int, ...] = ()) -> None:
            index.apply_event(e0, sequence=sequence, stored=stored, evicted=(), cleared=False)

        event(1, tuple(range(20)))
        event(1, (99,))
        assert index.count_matched_blocks(e0, (99,)) == 0
        event(5)
        assert index.gaps == 1
        assert index.count_matched_blocks(e0, (0,)) == 0
        assert index.count_matched_blocks(e0, (19,)) == 1

    def test_memory_stays_bounded(self) -> None:
        index = PrefixIndex(limit_entries=50)
        for number in range(5):
            index.add_endpoint(EndpointId(f"e{number}"))
            index.add_blocks(EndpointId(f"e{number}"), range(number * 1000, number * 1000 + 500))
        assert len(index) <= 50
        for number in range(5):
            index.remove_endpoint(EndpointId(f"e{number}"))
        assert len(index) == 0
        assert index.find_longest_holders(range(5000), limit=5) == []

    def test_estimates_the_prefill_rate_from_first_tokens(self) -> None:
        router = selector(endpoints=[EndpointId("e0")])
        for number in range(50):
            now = 100.0 * number
            send(router, str(number), "e0", now)
            first = FirstTokenReceived(call_id=CallId(str(number)), cached_tokens=0)
            router.handle(first, now_seconds=now + 0.016)
        choice = router.choose(PLAIN, now_seconds=10_000.0)
        assert isinstance(choice, Choice)
        assert choice.estimated_wait_seconds == pytest.approx(0.016, rel=0.2)
