"""Test the decisions of routers and agents that reach endpoints directly."""

import random

import pytest

from egretrouter.core.direct import (
    CallKind,
    CallRequirements,
    Choice,
    DirectCall,
    Endpoint,
    EndpointDirectory,
    EndpointState,
    EngineProfile,
    EventSplitter,
    LoadedWeights,
    LoadReport,
    NextStep,
    NoEndpointAvailable,
    Placement,
    RepeatBudget,
    Route,
    RouteIndex,
    RoutingTable,
    SendEnded,
    SendOutcome,
    Target,
    Workspace,
    choose_service,
)
from egretrouter.core.direct._events import MAX_EVENT_BYTES
from egretrouter.core.errors import EventTooLargeError
from egretrouter.core.identifiers import (
    EndpointId,
    ModelName,
    RegionId,
    ServiceName,
    WorkspaceId,
    ZoneId,
)

MODEL = ModelName("m")
ZONE = ZoneId("z1")
PROFILE = EngineProfile(
    slots=16,
    step_seconds=0.00673,
    step_per_sequence_seconds=0.00002,
    step_per_context_token_seconds=0.0,
    prefill_tokens_per_second=30600,
    prefill_seconds_per_token_pair=0.0,
    steps_per_pass=6,
    prefill_chunk_tokens=2048,
    cache_tokens=1_640_000,
    report_lag_seconds=0.2,
    usual_prompt_tokens=964,
    usual_answer_tokens=119,
)


def route(kind: CallKind = CallKind.IDEMPOTENT, **changes: object) -> Route:
    values: dict[str, object] = {
        "name": "r",
        "host": "a.example",
        "path_prefix": "/a/",
        "kind": kind,
        "targets": (Target(service=ServiceName("s"), weight=1),),
        "max_sends": 2,
        "timeout_seconds": 1.0,
        "latency_target_seconds": 0.1,
    }
    return Route(**{**values, **changes})  # type: ignore[arg-type]


def endpoint(name: str, *, version: int = 1, zone: str = "z1", **changes: object) -> Endpoint:
    values: dict[str, object] = {
        "endpoint_id": EndpointId(name),
        "service": ServiceName("s"),
        "address": f"10.0.0.{name[-1]}:80",
        "zone": ZoneId(zone),
        "state": EndpointState.READY,
        "slots": 16,
        "weights": (LoadedWeights(model=MODEL, version=version),) if version else (),
    }
    return Endpoint(**{**values, **changes})  # type: ignore[arg-type]


class TestRoutes:
    """Guard against calls that are routed to the wrong service or workspace."""

    def test_longest_prefix_of_the_host_wins(self) -> None:
        table = RoutingTable(
            version=1,
            routes=(
                route(name="short"),
                route(name="long", path_prefix="/a/b/"),
                route(name="other", host="b.example"),
            ),
        )
        index = RouteIndex(table)
        found = index.find_route("A.example:80", "/a/b/c")
        assert found is not None
        assert found.name == "long"
        assert index.find_route("a.example", "/ab") is None
        assert index.find_route("c.example", "/a/") is None

    def test_weights_of_zero_only_end_calls_with_500(self) -> None:
        targets = (
            Target(service=ServiceName("s"), weight=0),
            Target(service=ServiceName("t"), weight=0),
        )
        rng = random.Random(1)
        assert {choose_service(route(targets=targets), rng) for _ in range(100)} == {"s", "t"}

    def test_calls_are_split_by_weight(self) -> None:
        targets = (
            Target(service=ServiceName("s"), weight=90),
            Target(service=ServiceName("t"), weight=10),
        )
        rng = random.Random(1)
        chosen = [choose_service(route(targets=targets), rng) for _ in range(1000)]
        assert 50 <= chosen.count(ServiceName("t")) <= 150

    def test_key_identifies_its_workspace(self) -> None:
        workspace = Workspace(workspace_id=WorkspaceId("w"), keys=("k",))
        index = RouteIndex(RoutingTable(version=1, workspaces=(workspace,)))
        assert index.find_workspace("k") is workspace
        assert index.find_workspace("x") is None
        assert index.find_workspace(None) is None


class TestEventSplitter:
    """Guard against events that are missing, duplicated or truncated."""

    @pytest.mark.parametrize("size", [1, 3, 7, 1000])
    def test_only_whole_events_pass(self, size: int) -> None:
        stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"
        splitter = EventSplitter()
        forwarded = b"".join(
            splitter.feed(stream[start : start + size]) for start in range(0, len(stream), size)
        )
        assert forwarded == stream[: stream.index(b"id: 3")]
        assert splitter.last_id == "2"
        assert splitter.has_partial_event

    def test_event_without_end_fills_the_memory(self) -> None:
        splitter = EventSplitter()
        piece = b"x" * (MAX_EVENT_BYTES // 4)
        for _ in range(4):
            assert splitter.feed(piece) == b""
        with pytest.raises(EventTooLargeError, match=str(MAX_EVENT_BYTES)):
            splitter.feed(b"x")

    def test_large_content_of_small_events_passes(self) -> None:
        stream = b"".join(b"id: %d\ndata: a\n\n" % number for number in range(100_000))
        assert EventSplitter().feed(stream) == stream
        assert len(stream) > MAX_EVENT_BYTES

    def test_resumed_stream_repeats_no_event(self) -> None:
        splitter = EventSplitter(last_id="4")
        assert splitter.feed(b"id: 4\ndata: x\n\nid: 5\ndata: y\n\nid: 6") == b"id: 5\ndata: y\n\n"
        splitter.discard_partial_event()
        assert splitter.feed(b"id: 5\ndata: y\n\nid: 6\ndata: z\n\n") == b"id: 6\ndata: z\n\n"


class TestDirectCall:
    """Guard against calls that run twice and against refusals of calls that may have run."""

    def end_send(self, call: DirectCall, outcome: SendOutcome, *, allowed: bool = True) -> NextStep:
        call.record_send()
        return call.handle_send_ended(SendEnded(outcome=outcome, repeat_allowed=allowed))

    @pytest.mark.parametrize(
        ("kind", "outcome", "expected"),
        [
            (CallKind.NON_IDEMPOTENT, SendOutcome.BROKEN, NextStep.FAIL),
            (CallKind.NON_IDEMPOTENT, SendOutcome.FAILED, NextStep.PASS_ON),
            (CallKind.NON_IDEMPOTENT, SendOutcome.REJECTED, NextStep.SEND),
            (CallKind.NON_IDEMPOTENT, SendOutcome.NOT_SENT, NextStep.SEND),
            (CallKind.IDEMPOTENT, SendOutcome.BROKEN, NextStep.SEND),
            (CallKind.IDEMPOTENT, SendOutcome.FAILED, NextStep.SEND),
            (CallKind.STREAM, SendOutcome.BROKEN, NextStep.FAIL),
        ],
    )
    def test_kind_decides_the_next_step(
        self, kind: CallKind, outcome: SendOutcome, expected: NextStep
    ) -> None:
        assert self.end_send(DirectCall(route(kind)), outcome) is expected

    def test_sends_are_limited(self) -> None:
        call = DirectCall(route())
        assert self.end_send(call, SendOutcome.REJECTED) is NextStep.SEND
        assert self.end_send(call, SendOutcome.REJECTED) is NextStep.REFUSE

    def test_repeat_without_budget_is_not_made(self) -> None:
        call = DirectCall(route())
        assert self.end_send(call, SendOutcome.BROKEN, allowed=False) is NextStep.FAIL

    def test_rejection_after_a_broken_send_is_not_a_refusal(self) -> None:
        call = DirectCall(route())
        self.end_send(call, SendOutcome.BROKEN)
        assert self.end_send(call, SendOutcome.REJECTED) is NextStep.FAIL

    def test_call_in_flight_may_have_run(self) -> None:
        """A non-idempotent call that timed out in flight was refused as not run."""
        call = DirectCall(route(CallKind.NON_IDEMPOTENT))
        assert call.abort() is NextStep.REFUSE
        call.record_send()
        assert call.abort() is NextStep.FAIL

    def test_failed_connections_do_not_count_as_sends(self) -> None:
        call = DirectCall(route(CallKind.NON_IDEMPOTENT, max_sends=1))
        assert self.end_send(call, SendOutcome.NOT_SENT) is NextStep.SEND
        assert call.sends == 0

    def test_answer_that_has_begun_is_broken_off(self) -> None:
        call = DirectCall(route(CallKind.STREAM))
        call.answer_started = True
        assert self.end_send(call, SendOutcome.BROKEN) is NextStep.BREAK_OFF


class TestRepeatBudget:
    """Guard against repeats beyond the budget of all routers together."""

    def test_routers_share_the_allowance(self) -> None:
        service = ServiceName("s")
        routers = [RepeatBudget(ratio=0.2, extra=219, window_seconds=10) for _ in range(15)]
        repeats = calls = 0
        for step in range(3000):
            for router in routers:
                router.set_router_count(15)
                router.record_call(service, now_seconds=step * 0.01)
                repeats += router.try_repeat(service, now_seconds=step * 0.01)
                calls += 1
        # The run covers three windows, each with its own fixed number of repeats.
        assert repeats <= 0.2 * calls + 3 * 219


class TestEndpointDirectory:
    """Guard against calls to endpoints that are gone, and against an empty list after an outage."""

    def test_missing_entries_stay_for_a_grace_period_after_an_outage(self) -> None:
        directory = EndpointDirectory()
        directory.replace([endpoint("i-1"), endpoint("i-2")], now_seconds=0)
        directory.replace([endpoint("i-1")], grace_seconds=2.0, now_seconds=10)
        assert len(directory.ready_endpoints(ServiceName("s"))) == 2
        assert directory.expire(now_seconds=11) == []
        assert directory.expire(now_seconds=12.1) == [EndpointId("i-2")]

    def test_next_listing_ends_the_grace_period(self) -> None:
        directory = EndpointDirectory()
        directory.replace([endpoint("i-1"), endpoint("i-2")], now_seconds=0)
        directory.replace([endpoint("i-1")], grace_seconds=2.0, now_seconds=10)
        directory.replace([endpoint("i-1")], now_seconds=11)
        assert len(directory.ready_endpoints(ServiceName("s"))) == 2
        assert directory.expire(now_seconds=12.1) == [EndpointId("i-2")]

    def test_missing_entries_are_removed_immediately_without_an_outage(self) -> None:
        directory = EndpointDirectory()
        directory.replace([endpoint("i-1")], now_seconds=0)
        directory.replace([], now_seconds=1)
        assert directory.all_endpoints() == []

    def test_draining_endpoint_is_not_ready(self) -> None:
        directory = EndpointDirectory()
        directory.put(endpoint("i-1", state=EndpointState.DRAINING))
        assert directory.ready_endpoints(ServiceName("s")) == []


class TestPlacement:
    """Guard against calls to endpoints that are full, unsuitable or failing."""

    def placement(self) -> Placement:
        regions = {ZONE: RegionId("r1"), ZoneId("z2"): RegionId("r2")}
        return Placement(zone=ZONE, regions=regions, rng=random.Random(1))

    def choose(
        self, placement: Placement, endpoints: list[Endpoint], **requirements: object
    ) -> object:
        return placement.choose(
            endpoints,
            CallRequirements(model=MODEL, **requirements),  # type: ignore[arg-type]
            profile=PROFILE,
            now_seconds=0.0,
        )

    def test_least_loaded_endpoint_is_chosen(self) -> None:
        placement = self.placement()
        for name, running in (("i-1", 14), ("i-2", 3)):
            report = LoadReport(running=running, queued=0)
            placement.record_report(EndpointId(name), report, by_agent=True, now_seconds=0.0)
        choice = self.choose(placement, [endpoint("i-1"), endpoint("i-2")])
        assert isinstance(choice, Choice)
        assert choice.endpoint.endpoint_id == "i-2"

    @pytest.mark.parametrize(
        ("found", "need"),
        [
            (endpoint("i-1", version=0), {}),
            (endpoint("i-1", version=1), {"oldest_version": 2}),
            (endpoint("i-1", version=2), {"exact_version": 1}),
            (endpoint("i-1"), {"tried": {EndpointId("i-1")}}),
        ],
        ids=["empty", "older", "other version of a stream", "tried"],
    )
    def test_endpoint_that_may_not_run_the_call_is_left_out(
        self, found: Endpoint, need: dict[str, object]
    ) -> None:
        assert isinstance(self.choose(self.placement(), [found], **need), NoEndpointAvailable)

    def test_agent_report_takes_precedence_over_the_registration(self) -> None:
        placement = self.placement()
        report = LoadReport(running=0, queued=0, versions={MODEL: 2})
        placement.record_report(EndpointId("i-1"), report, by_agent=True, now_seconds=0.0)
        choice = self.choose(placement, [endpoint("i-1")], oldest_version=2)
        assert isinstance(choice, Choice)
        assert choice.version == 2
        report = LoadReport(running=0, queued=0, loading=True)
        placement.record_report(EndpointId("i-1"), report, by_agent=True, now_seconds=0.0)
        assert isinstance(self.choose(placement, [endpoint("i-1")]), NoEndpointAvailable)

    def test_older_version_gets_only_calls_that_do_not_queue(self) -> None:
        placement = self.placement()
        for running, expected in ((5, Choice), (15, NoEndpointAvailable)):
            report = LoadReport(running=running, queued=0)
            placement.record_report(EndpointId("i-1"), report, by_agent=True, now_seconds=0.0)
            choice = self.choose(placement, [endpoint("i-1")], oldest_queued_version=2)
            assert isinstance(choice, expected)

    def test_full_endpoints_get_no_call(self) -> None:
        placement = self.placement()
        report = LoadReport(running=16, queued=12)
        placement.record_report(EndpointId("i-1"), report, by_agent=True, now_seconds=0.0)
        refused = self.choose(placement, [endpoint("i-1")])
        assert isinstance(refused, NoEndpointAvailable)
        assert refused.retry_after_seconds > 0

    def test_failing_endpoint_gets_no_call_while_another_is_healthy(self) -> None:
        placement = self.placement()
        placement.record_failure(EndpointId("i-1"), now_seconds=0.0)
        choice = self.choose(placement, [endpoint("i-1"), endpoint("i-2", zone="z2")])
        assert isinstance(choice, Choice)
        assert choice.endpoint.endpoint_id == "i-2"
        assert isinstance(self.choose(placement, [endpoint("i-1")]), Choice)

    def test_endpoint_that_is_another_one_gets_no_call_until_it_is_known(self) -> None:
        """Each router sent hundreds of calls to engines that had lost their weights."""
        placement = self.placement()
        placement.record_mismatch(EndpointId("i-1"), now_seconds=0.0)
        refused = self.choose(placement, [endpoint("i-1")])
        assert isinstance(refused, NoEndpointAvailable)
        assert refused.endpoints == 0
        report = LoadReport(running=0, queued=0, versions={MODEL: 2})
        placement.record_report(EndpointId("i-1"), report, by_agent=True, now_seconds=0.1)
        assert isinstance(self.choose(placement, [endpoint("i-1")]), Choice)

    def test_calls_of_a_burst_go_to_different_endpoints(self) -> None:
        """All prompts of a burst went to the engine with the smallest batch and queued there."""
        placement = self.placement()
        found = [endpoint("i-1"), endpoint("i-2")]
        for name, running in (("i-1", 6), ("i-2", 8)):
            report = LoadReport(running=running, queued=0)
            placement.record_report(EndpointId(name), report, by_agent=True, now_seconds=0.0)
        chosen = []
        for now in (0.01, 0.02, 0.6):
            choice = placement.choose(
                found, CallRequirements(model=MODEL), profile=PROFILE, now_seconds=now
            )
            assert isinstance(choice, Choice)
            chosen.append(choice.endpoint.endpoint_id)
            placement.record_send(choice.endpoint.endpoint_id, now_seconds=now)
        assert chosen == ["i-1", "i-2", "i-1"]

    def test_endpoint_with_a_stale_agent_gets_no_call_while_another_reports(self) -> None:
        """Calls went to engines of a partitioned zone for three seconds, until reports expired."""
        placement = self.placement()
        for name, running in (("i-1", 2), ("i-2", 9)):
            report = LoadReport(running=running, queued=0)
            placement.record_report(EndpointId(name), report, by_agent=True, now_seconds=0.0)
        fresh = LoadReport(running=9, queued=0)
        placement.record_report(EndpointId("i-2"), fresh, by_agent=True, now_seconds=1.0)
        both = [endpoint("i-1"), endpoint("i-2")]
        choices = [
            placement.choose(found, CallRequirements(model=MODEL), profile=PROFILE, now_seconds=now)
            for found, now in ((both, 0.5), (both, 1.0), (both[:1], 1.0))
        ]
        chosen = [c.endpoint.endpoint_id for c in choices if isinstance(c, Choice)]
        assert chosen == ["i-1", "i-2", "i-1"]
