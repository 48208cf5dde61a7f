"""Check the decisions of routers and agents that reach endpoints directly."""

import random

import pytest

from egretrouter.core.direct import (
    CallKind,
    Choice,
    DirectCall,
    Endpoint,
    EndpointDirectory,
    EndpointState,
    EngineProfile,
    EventCutter,
    Fleet,
    FleetMember,
    FleetRole,
    LoadedWeights,
    LoadReport,
    Need,
    NextStep,
    NoChoice,
    Placement,
    RepeatBudget,
    Revisions,
    Route,
    RouteIndex,
    RoutingTable,
    SendEnded,
    SendOutcome,
    Target,
    WeightTargets,
    WeightVersion,
    Workspace,
    choose_service,
)
from egretrouter.core.direct._switch import Replica, WeightSwitch
from egretrouter.core.identifiers import (
    EndpointId,
    InstanceId,
    ModelName,
    RegionId,
    ServiceName,
    WorkspaceId,
    ZoneId,
)
from egretrouter.core.weights import PartWindow

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
    """Guard against calls that reach a service which no route names."""

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
        found = index.route("A.example:80", "/a/b/c")
        assert found is not None
        assert found.name == "long"
        assert index.route("a.example", "/ab") is None
        assert index.route("c.example", "/a/") is None

    def test_calls_are_split_by_weight(self) -> None:
        targets = (
            Target(service=ServiceName("s"), weight=90),
            Target(service=ServiceName("t"), weight=10),
        )
        rng = random.Random(1)
        chosen = [choose_service(route(targets=targets), rng) for _ in range(1000)]
        assert 50 <= chosen.count(ServiceName("t")) <= 150

    def test_key_names_its_workspace(self) -> None:
        workspace = Workspace(workspace_id=WorkspaceId("w"), keys=("k",))
        index = RouteIndex(RoutingTable(version=1, workspaces=(workspace,)))
        assert index.workspace("k") is workspace
        assert index.workspace("x") is None
        assert index.workspace(None) is None


class TestEventCutter:
    """Guard against events that are missing, double or cut."""

    @pytest.mark.parametrize("size", [1, 3, 7, 1000])
    def test_only_whole_events_pass(self, size: int) -> None:
        stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda"
        cutter = EventCutter()
        passed = b"".join(
            cutter.feed(stream[start : start + size]) for start in range(0, len(stream), size)
        )
        assert passed == stream[: stream.index(b"id: 3")]
        assert cutter.last_id == "2"
        assert cutter.has_partial_event

    def test_resumed_stream_repeats_no_event(self) -> None:
        cutter = EventCutter(last_id="4")
        assert cutter.feed(b"id: 4\ndata: x\n\nid: 5\ndata: y\n\nid: 6") == b"id: 5\ndata: y\n\n"
        cutter.resume()
        assert cutter.feed(b"id: 5\ndata: y\n\nid: 6\ndata: z\n\n") == b"id: 6\ndata: z\n\n"


class TestDirectCall:
    """Guard against second runs and untrue refusals."""

    def end(self, call: DirectCall, outcome: SendOutcome, *, allowed: bool = True) -> NextStep:
        call.sent()
        return call.ended(SendEnded(outcome=outcome, repeat_allowed=allowed))

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
    def test_kind_decides_what_follows(
        self, kind: CallKind, outcome: SendOutcome, expected: NextStep
    ) -> None:
        assert self.end(DirectCall(route(kind)), outcome) is expected

    def test_sends_are_limited(self) -> None:
        call = DirectCall(route())
        assert self.end(call, SendOutcome.REJECTED) is NextStep.SEND
        assert self.end(call, SendOutcome.REJECTED) is NextStep.REFUSE

    def test_repeat_without_budget_is_not_made(self) -> None:
        call = DirectCall(route())
        assert self.end(call, SendOutcome.BROKEN, allowed=False) is NextStep.FAIL

    def test_rejection_after_a_broken_send_is_no_refusal(self) -> None:
        call = DirectCall(route())
        self.end(call, SendOutcome.BROKEN)
        assert self.end(call, SendOutcome.REJECTED) is NextStep.FAIL

    def test_call_in_flight_may_have_run(self) -> None:
        """A sale whose time ran out in flight was once refused as not run."""
        call = DirectCall(route(CallKind.NON_IDEMPOTENT))
        assert call.give_up() is NextStep.REFUSE
        call.sent()
        assert call.give_up() is NextStep.FAIL

    def test_failed_connections_are_no_sends(self) -> None:
        call = DirectCall(route(CallKind.NON_IDEMPOTENT, max_sends=1))
        assert self.end(call, SendOutcome.NOT_SENT) is NextStep.SEND
        assert call.sends == 0

    def test_answer_that_has_begun_is_broken_off(self) -> None:
        call = DirectCall(route(CallKind.STREAM))
        call.answer_begun = True
        assert self.end(call, SendOutcome.BROKEN) is NextStep.BREAK_OFF


class TestRepeatBudget:
    """Guard against repeats beyond what all routers may make together."""

    def test_routers_share_the_allowance(self) -> None:
        service = ServiceName("s")
        routers = [RepeatBudget(ratio=0.2, extra=219, window_seconds=10) for _ in range(15)]
        repeats = calls = 0
        for step in range(3000):
            for router in routers:
                router.set_routers(15)
                router.call_made(service, now_seconds=step * 0.01)
                repeats += router.try_repeat(service, now_seconds=step * 0.01)
                calls += 1
        # Three windows and the part of one before, each with its own fixed number.
        assert repeats <= 0.2 * calls + 3 * 219


class TestEndpointDirectory:
    """Guard against work for endpoints that left, and for none after an outage."""

    def test_missing_entries_stay_for_a_grace_time_after_an_outage(self) -> None:
        directory = EndpointDirectory()
        directory.replace(
            [endpoint("i-1"), endpoint("i-2")], revision=1, after_outage=False, now_seconds=0
        )
        directory.replace([endpoint("i-1")], revision=2, after_outage=True, now_seconds=10)
        assert len(directory.ready(ServiceName("s"))) == 2
        assert directory.expire(now_seconds=11) == []
        assert directory.expire(now_seconds=12.1) == [EndpointId("i-2")]

    def test_missing_entries_go_at_once_without_an_outage(self) -> None:
        directory = EndpointDirectory()
        directory.replace([endpoint("i-1")], revision=1, after_outage=False, now_seconds=0)
        directory.replace([], revision=2, after_outage=False, now_seconds=1)
        assert directory.all() == []

    def test_draining_endpoint_is_not_ready(self) -> None:
        directory = EndpointDirectory()
        directory.put(endpoint("i-1", state=EndpointState.DRAINING), revision=1)
        assert directory.ready(ServiceName("s")) == []


class TestWeightTargets:
    """Guard against calls that begin on an older version after its time."""

    def test_older_versions_are_ruled_out_one_after_the_other(self) -> None:
        targets = WeightTargets(switch_seconds=8, margin_seconds=1, queue_seconds=0.5)
        targets.name(WeightVersion(model=MODEL, version=2), revision=1, now_seconds=0)
        targets.name(WeightVersion(model=MODEL, version=3), revision=2, now_seconds=4)
        assert targets.oldest_allowed(MODEL, now_seconds=6.9) == 0
        assert targets.oldest_allowed(MODEL, now_seconds=7) == 2
        assert targets.oldest_allowed(MODEL, now_seconds=11) == 3
        assert targets.oldest_allowed(MODEL, now_seconds=6.6, queued=True) == 2

    def test_version_found_at_the_start_is_strict(self) -> None:
        targets = WeightTargets(switch_seconds=8, margin_seconds=1, queue_seconds=0.5)
        version = WeightVersion(model=MODEL, version=2)
        targets.name(version, revision=1, now_seconds=0, at_start=True)
        assert targets.oldest_allowed(MODEL, now_seconds=0) == 2


class TestWeightSwitch:
    """Guard against engines that all load at once, or never."""

    def switch(self, own: str = "a") -> WeightSwitch:
        switch = WeightSwitch(own=InstanceId(own), model=MODEL, switch_seconds=8)
        switch.name(1, now_seconds=0)
        switch.name(2, now_seconds=10)
        return switch

    def load(self, switch: WeightSwitch, now_seconds: float, **changes: object) -> int | None:
        values: dict[str, object] = {
            "serving": 1,
            "busy": False,
            "shares": {2: 1.0},
            "replicas": [
                Replica(instance_id=InstanceId(name), version=1) for name in ("a", "b", "c", "d")
            ],
        }
        return switch.version_to_load(now_seconds=now_seconds, **{**values, **changes})  # type: ignore[arg-type]

    def test_half_of_the_engines_load_first(self) -> None:
        assert [self.load(self.switch(own), 12) for own in "abcd"] == [2, 2, None, None]

    def test_the_others_follow_when_the_first_are_done_or_time_presses(self) -> None:
        replicas = [
            Replica(instance_id=InstanceId(name), version=2 if name in "ab" else 1)
            for name in "abcd"
        ]
        assert self.load(self.switch("d"), 12, replicas=replicas) == 2
        assert self.load(self.switch("d"), 17) == 2

    def test_empty_engine_loads_at_once(self) -> None:
        assert self.load(self.switch("d"), 12, serving=0) == 2
        assert self.load(self.switch("d"), 12, serving=0, shares={1: 1.0}) == 1

    def test_incomplete_version_is_not_loaded(self) -> None:
        assert self.load(self.switch(), 17, shares={2: 0.99}) is None

    def test_copy_that_is_half_done_is_finished_first(self) -> None:
        switch = self.switch()
        switch.name(3, now_seconds=14)
        chosen = [
            switch.versions_to_copy(serving=1, shares={2: share}, now_seconds=14)
            for share in (0.7, 0.2, 1.0)
        ]
        assert chosen == [(2,), (3,), (3,)]

    def test_older_version_is_copied_beside_the_newest_once_that_stalled(self) -> None:
        """Engines once waited for a crashed origin while peers held the version before."""
        switch = self.switch()
        switch.name(3, now_seconds=14)

        def copied(now_seconds: float, share: float) -> tuple[int, ...]:
            shares = {2: 0.2, 3: share}
            return switch.versions_to_copy(serving=1, shares=shares, now_seconds=now_seconds)

        assert copied(14.0, 0.0) == (3,)
        assert copied(14.9, 0.0) == (3, 2)
        # A single chunk of the newest is no reason to drop the older one again.
        assert copied(15.0, 0.1) == (3, 2)
        # With less than a second of its time left the older one is of no use.
        assert copied(21.5, 0.1) == (3,)

    def test_version_without_time_left_is_not_loaded(self) -> None:
        """Engines once loaded a version seconds after calls could no longer begin on it."""
        switch = self.switch()
        switch.name(3, now_seconds=14)
        assert self.load(switch, 15, serving=1) == 2
        assert self.load(switch, 22, serving=0) is None

    def test_engine_is_empty_when_its_copy_is_complete(self) -> None:
        switch = self.switch()
        drains = [
            switch.should_drain(
                serving=1,
                shares={2: step / 10},
                replicas=[],
                drain_seconds=1.0,
                now_seconds=10 + step * 0.5,
            )
            for step in range(11)
        ]
        assert drains == [False] * 8 + [True] * 3


class TestPlacement:
    """Guard against calls for endpoints that are full, wrong or failing."""

    def placement(self) -> Placement:
        regions = {ZONE: RegionId("r1"), ZoneId("z2"): RegionId("r2")}
        return Placement(zone=ZONE, regions=regions, rng=random.Random(1))

    def choose(self, placement: Placement, endpoints: list[Endpoint], **need: object) -> object:
        return placement.choose(
            endpoints,
            Need(model=MODEL, **need),  # type: ignore[arg-type]
            profile=PROFILE,
            now_seconds=0.0,
        )

    def test_least_loaded_endpoint_is_chosen(self) -> None:
        placement = self.placement()
        for name, running in (("i-1", 14), ("i-2", 3)):
            report = LoadReport(running=running, queued=0)
            placement.reported(EndpointId(name), report, by_agent=True, now_seconds=0.0)
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
        assert isinstance(self.choose(self.placement(), [found], **need), NoChoice)

    def test_agent_tells_sooner_than_the_registration(self) -> None:
        placement = self.placement()
        report = LoadReport(running=0, queued=0, versions={MODEL: 2})
        placement.reported(EndpointId("i-1"), report, by_agent=True, now_seconds=0.0)
        choice = self.choose(placement, [endpoint("i-1")], oldest_version=2)
        assert isinstance(choice, Choice)
        assert choice.version == 2
        report = LoadReport(running=0, queued=0, loading=True)
        placement.reported(EndpointId("i-1"), report, by_agent=True, now_seconds=0.0)
        assert isinstance(self.choose(placement, [endpoint("i-1")]), NoChoice)

    def test_older_version_gets_only_calls_that_do_not_queue(self) -> None:
        placement = self.placement()
        for running, expected in ((5, Choice), (15, NoChoice)):
            report = LoadReport(running=running, queued=0)
            placement.reported(EndpointId("i-1"), report, by_agent=True, now_seconds=0.0)
            choice = self.choose(placement, [endpoint("i-1")], oldest_queued_version=2)
            assert isinstance(choice, expected)

    def test_full_endpoints_get_no_call(self) -> None:
        placement = self.placement()
        report = LoadReport(running=16, queued=12)
        placement.reported(EndpointId("i-1"), report, by_agent=True, now_seconds=0.0)
        refused = self.choose(placement, [endpoint("i-1")])
        assert isinstance(refused, NoChoice)
        assert refused.retry_after_seconds > 0

    def test_failing_endpoint_is_left_alone_while_another_is_sound(self) -> None:
        placement = self.placement()
        placement.failed(EndpointId("i-1"), now_seconds=0.0)
        choice = self.choose(placement, [endpoint("i-1"), endpoint("i-2", zone="z2")])
        assert isinstance(choice, Choice)
        assert choice.endpoint.endpoint_id == "i-2"
        assert isinstance(self.choose(placement, [endpoint("i-1")]), Choice)


class TestFleet:
    """Guard against processes that are not found, or believed alive."""

    def member(self, name: str, *, zone: str = "z1", heartbeat: int = 1) -> FleetMember:
        return FleetMember(
            instance_id=InstanceId(name),
            role=FleetRole.ROUTER,
            zone=ZoneId(zone),
            region=RegionId("r"),
            address="10.0.0.1",
            started_ms=1,
            heartbeat=heartbeat,
        )

    def test_silent_member_expires_and_returns(self) -> None:
        fleet = Fleet(own=self.member("a"), rng=random.Random(1))
        assert fleet.hear(self.member("b"), now_seconds=0.0)
        assert len(fleet.live(now_seconds=1.0)) == 1
        assert fleet.live(now_seconds=5.0) == []
        # The same heartbeat, relayed late, is no sign of life.
        assert not fleet.hear(self.member("b"), now_seconds=5.0)
        assert fleet.hear(self.member("b", heartbeat=2), now_seconds=5.0)

    def test_news_reaches_every_zone(self) -> None:
        fleet = Fleet(own=self.member("a"), rng=random.Random(1))
        for name, zone in (("b", "z1"), ("c", "z2"), ("d", "z2"), ("e", "z3")):
            fleet.hear(self.member(name, zone=zone), now_seconds=0.0)
        zones = {m.zone for m in fleet.targets(now_seconds=0.0, news=True)}
        assert zones == {"z1", "z2", "z3"}

    def test_first_routers_of_a_zone_watch(self) -> None:
        fleet = Fleet(own=self.member("b"), rng=random.Random(1))
        assert fleet.watch_rank(now_seconds=0.0) == 0
        fleet.hear(self.member("a"), now_seconds=0.0)
        fleet.hear(self.member("A", zone="z2"), now_seconds=0.0)
        assert fleet.watch_rank(now_seconds=0.0) == 1

    def test_greeting_carries_revisions(self) -> None:
        fleet = Fleet(own=self.member("a"), rng=random.Random(1))
        greeting = fleet.greeting(Revisions(configuration=3), now_seconds=0.0)
        assert greeting.revisions.configuration == 3


class TestPartWindow:
    """Guard against copies that fill a narrowed link for seconds."""

    def test_slow_parts_shrink_the_window_once_for_each_queue(self) -> None:
        window = PartWindow(slow_seconds=0.25)
        for _ in range(4):
            window.begun()
        assert not window.has_room
        for _ in range(4):
            window.ended(seconds=1.0, now_seconds=5.0)
        window.begun()
        window.begun()
        assert not window.has_room
        window.ended(seconds=1.0, now_seconds=7.0)
        window.ended(seconds=1.0, now_seconds=9.0)
        window.begun()
        assert not window.has_room

    def test_window_grows_while_parts_are_fast(self) -> None:
        window = PartWindow(slow_seconds=0.25)
        for step in range(30):
            window.begun()
            window.ended(seconds=0.05, now_seconds=float(step))
        for _ in range(5):
            window.begun()
        assert window.has_room


class TestBeginBy:
    """Guard against calls that queue until their endpoint's version is ruled out."""

    def test_call_must_begin_before_a_newer_version_rules_its_own_out(self) -> None:
        """Calls once queued for 1.4 s at the last engines of a version and began too late."""
        targets = WeightTargets(switch_seconds=8, margin_seconds=1, queue_seconds=0.5)
        targets.name(WeightVersion(model=MODEL, version=2), revision=1, now_seconds=0)
        targets.name(WeightVersion(model=MODEL, version=3), revision=2, now_seconds=4)
        assert targets.begin_by_seconds(MODEL, 1) == pytest.approx(7.75)
        assert targets.begin_by_seconds(MODEL, 2) == pytest.approx(11.75)
        assert targets.begin_by_seconds(MODEL, 3) is None
