"""Check which versions of weights calls may use, and when agents copy and load them."""

import pytest

from egretrouter.core.direct import Replica, WeightSwitch, WeightTargets, WeightVersion
from egretrouter.core.identifiers import InstanceId, ModelName, ZoneId
from egretrouter.core.weights import PartWindow

MODEL = ModelName("m")


def replica(name: str, *, version: int, zone: str = "z1") -> Replica:
    """Build what an agent tells of its engine."""
    return Replica(instance_id=InstanceId(name), zone=ZoneId(zone), version=version)


class TestWeightTargets:
    """Guard against calls that begin on an older version after its time."""

    def test_older_versions_are_ruled_out_one_after_the_other(self) -> None:
        targets = WeightTargets(switch_seconds=8, margin_seconds=1, queue_seconds=0.5)
        targets.name(WeightVersion(model=MODEL, version=2), now_seconds=0)
        targets.name(WeightVersion(model=MODEL, version=3), now_seconds=4)
        assert targets.oldest_allowed(MODEL, now_seconds=6.9) == 0
        assert targets.oldest_allowed(MODEL, now_seconds=7) == 2
        assert targets.oldest_allowed(MODEL, now_seconds=11) == 3
        assert targets.oldest_allowed(MODEL, now_seconds=6.6, queued=True) == 2

    def test_version_found_at_the_start_is_strict(self) -> None:
        targets = WeightTargets(switch_seconds=8, margin_seconds=1, queue_seconds=0.5)
        version = WeightVersion(model=MODEL, version=2)
        targets.name(version, now_seconds=0, at_start=True)
        assert targets.oldest_allowed(MODEL, now_seconds=0) == 2


class TestWeightSwitch:
    """Guard against engines that all load at once, or never."""

    def switch(self, own: str = "a") -> WeightSwitch:
        switch = WeightSwitch(own=InstanceId(own), zone=ZoneId("z1"), model=MODEL, switch_seconds=8)
        switch.name(1, now_seconds=0)
        switch.name(2, now_seconds=10)
        return switch

    def load(self, switch: WeightSwitch, now_seconds: float, **changes: object) -> int | None:
        values: dict[str, object] = {
            "serving": 1,
            "busy": False,
            "shares": {2: 1.0},
            "replicas": [replica(name, version=1) for name in ("a", "b", "c", "d")],
        }
        return switch.version_to_load(now_seconds=now_seconds, **{**values, **changes})  # type: ignore[arg-type]

    def test_half_of_the_engines_load_first(self) -> None:
        assert [self.load(self.switch(own), 12) for own in "abcd"] == [2, 2, None, None]

    def test_the_others_follow_when_the_first_are_done_or_time_presses(self) -> None:
        replicas = [replica(name, version=2 if name in "ab" else 1) for name in "abcd"]
        assert self.load(self.switch("d"), 12, replicas=replicas) == 2
        assert self.load(self.switch("d"), 17.2) == 2

    def test_the_others_serve_the_older_version_as_long_as_it_gets_calls(self) -> None:
        """Late copies once emptied every engine at the same time, seconds before it was due."""
        assert self.load(self.switch("d"), 17.0) is None

    def test_no_zone_loads_all_of_its_engines_first(self) -> None:
        zones = dict(zip("abcdef", ("z1", "z1", "z1", "z2", "z2", "z3"), strict=True))
        replicas = [replica(name, version=1, zone=zone) for name, zone in zones.items()]
        first = []
        for name, zone in zones.items():
            switch = WeightSwitch(
                own=InstanceId(name), zone=ZoneId(zone), model=MODEL, switch_seconds=8
            )
            switch.name(2, now_seconds=10)
            if self.load(switch, 12, replicas=replicas) == 2:
                first.append(name)
        assert first == ["a", "d", "f"]

    def test_empty_engine_loads_at_once(self) -> None:
        assert self.load(self.switch("d"), 12, serving=0) == 2
        assert self.load(self.switch("d"), 12, serving=0, shares={1: 1.0}) == 1

    def test_incomplete_version_is_not_loaded(self) -> None:
        assert self.load(self.switch(), 17, shares={2: 0.99}) is None

    def test_copy_that_is_half_done_is_finished_first(self) -> None:
        switch = self.switch()
        switch.name(3, now_seconds=14)
        chosen = [
            switch.versions_to_copy(
                serving=1, shares={2: share, 3: 0.0}, replicas=[], now_seconds=14
            )
            for share in (0.7, 0.2, 1.0)
        ]
        assert chosen == [(2,), (3,), (3,)]

    @pytest.mark.parametrize(
        ("share", "serving", "finishing"),
        [(0.6, 1, "ab"), (0.9, 1, "abcd"), (0.6, 0, "abcd")],
        ids=["half done", "almost done", "empty engine"],
    )
    def test_half_of_the_engines_bridge_two_names(
        self, share: float, serving: int, finishing: str
    ) -> None:
        """Engines once all finished the older copy, and had none of the newest when it ended."""
        replicas = [replica(name, version=1) for name in "abcd"]
        chosen = ""
        for name in "abcd":
            switch = self.switch(name)
            switch.name(3, now_seconds=14)
            goals = switch.versions_to_copy(
                serving=serving, shares={2: share, 3: 0.0}, replicas=replicas, now_seconds=14
            )
            chosen += name if goals == (2,) else ""
        assert chosen == finishing

    def test_agents_own_no_chunks_of_a_version_that_they_leave_to_others(self) -> None:
        """Chunks of either version once waited for owners that were copying the other one."""
        replicas = [replica(name, version=1) for name in "abcd"]
        switch = self.switch("a")
        switch.name(3, now_seconds=14)
        assert switch.idle(2, replicas, serving=1) == frozenset()
        switch.versions_to_copy(
            serving=1, shares={2: 0.6, 3: 0.0}, replicas=replicas, now_seconds=14
        )
        assert switch.idle(2, replicas, serving=1) == {"c", "d"}
        assert switch.idle(3, replicas, serving=1) == {"a", "b"}
        done = [replica("b", version=2), *replicas[2:]]
        assert switch.idle(3, done, serving=1) == {"a"}

    def test_no_engine_leaves_a_copy_for_one_without_a_manifest(self) -> None:
        """Half of the engines once waited for a crashed origin with the older copy half done."""
        replicas = [replica(name, version=1) for name in "abcd"]
        switch = self.switch("d")
        switch.name(3, now_seconds=14)
        for now_seconds in (14.0, 16.0):
            goals = switch.versions_to_copy(
                serving=1, shares={2: 0.6}, replicas=replicas, now_seconds=now_seconds
            )
            assert goals == (3, 2)

    def test_half_whose_newer_version_stalls_helps_the_older_one(self) -> None:
        """With the origin away, half of the engines once waited for it beside a copy of theirs."""
        replicas = [replica(name, version=1) for name in "abcd"]
        switch = self.switch("d")
        switch.name(3, now_seconds=14)
        goals = [
            switch.versions_to_copy(
                serving=1, shares={2: 0.6, 3: 0.0}, replicas=replicas, now_seconds=now
            )
            for now in (14.0, 14.5, 14.9)
        ]
        assert goals == [(3,), (3,), (3, 2)]

    def test_half_that_copies_a_version_finishes_it_when_another_is_named(self) -> None:
        replicas = [replica(name, version=1) for name in "abcd"]
        finishing = ""
        for name in "abcd":
            switch = self.switch(name)
            switch.name(3, now_seconds=14)
            switch.versions_to_copy(
                serving=1, shares={2: 0.6, 3: 0.0}, replicas=replicas, now_seconds=14
            )
            switch.name(4, now_seconds=17)
            goals = switch.versions_to_copy(
                serving=1, shares={2: 1.0, 3: 0.6, 4: 0.0}, replicas=replicas, now_seconds=17
            )
            finishing += name if goals == (3,) else ""
        assert finishing == "cd"

    def test_engine_whose_version_is_ruled_out_loads_the_newest_at_once(self) -> None:
        switch = self.switch("d")
        switch.name(3, now_seconds=14)
        assert self.load(switch, 17.0, shares={3: 1.0}) is None
        assert self.load(switch, 17.2, shares={3: 1.0}) == 3

    def test_older_version_is_copied_beside_the_newest_once_that_stalled(self) -> None:
        """Engines once waited for a crashed origin while peers held the version before."""
        switch = self.switch()
        switch.name(3, now_seconds=14)

        def copied(now_seconds: float, share: float) -> tuple[int, ...]:
            shares = {2: 0.2, 3: share}
            return switch.versions_to_copy(
                serving=1, shares=shares, replicas=[], now_seconds=now_seconds
            )

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


class TestPartWindow:
    """Guard against copies that fill a narrowed link for seconds."""

    def test_slow_parts_shrink_the_window_once_for_each_queue(self) -> None:
        window = PartWindow(slow_seconds=0.25)
        for _ in range(4):
            window.record_start()
        assert not window.has_capacity
        for _ in range(4):
            window.record_end(seconds=1.0, now_seconds=5.0)
        window.record_start()
        window.record_start()
        assert not window.has_capacity
        window.record_end(seconds=1.0, now_seconds=7.0)
        window.record_end(seconds=1.0, now_seconds=9.0)
        window.record_start()
        assert not window.has_capacity

    def test_window_grows_while_parts_are_fast(self) -> None:
        window = PartWindow(slow_seconds=0.25)
        for step in range(30):
            window.record_start()
            window.record_end(seconds=0.05, now_seconds=float(step))
        for _ in range(5):
            window.record_start()
        assert window.has_capacity


class TestBeginBy:
    """Guard against calls that queue until their endpoint's version is ruled out."""

    def test_call_must_begin_before_a_newer_version_rules_its_own_out(self) -> None:
        """Calls once queued for 1.4 s at the last engines of a version and began too late.

        With 0.25 s of slack one close reached its engine late, behind parts of a copy.
        """
        targets = WeightTargets(switch_seconds=8, margin_seconds=1, queue_seconds=0.5)
        targets.name(WeightVersion(model=MODEL, version=2), now_seconds=0)
        targets.name(WeightVersion(model=MODEL, version=3), now_seconds=4)
        assert targets.begin_by_seconds(MODEL, 1) == pytest.approx(7.4)
        assert targets.begin_by_seconds(MODEL, 2) == pytest.approx(11.4)
        assert targets.begin_by_seconds(MODEL, 3) is None
