"""Test what a process knows of the time of changes that it learns of later."""

import math

from egretrouter.core.direct import NameTimes, WeightTargets, WeightVersion
from egretrouter.core.identifiers import ModelName

MODEL = ModelName("m1")


class TestNameTimes:
    """Test the last time at which no change beyond a revision had been made."""

    def test_change_was_made_after_the_last_answer_without_it(self) -> None:
        times: NameTimes[int] = NameTimes()
        times.record(7, at_seconds=1.0)
        times.record(7, at_seconds=3.0)
        times.record(9, at_seconds=5.0)
        assert times.unchanged_until(8) == 3.0
        assert times.unchanged_until(9) == 5.0

    def test_answer_that_arrives_late_takes_nothing_back(self) -> None:
        times: NameTimes[int] = NameTimes()
        times.record(7, at_seconds=3.0)
        times.record(7, at_seconds=1.0)
        assert times.unchanged_until(7) == 3.0

    def test_nothing_is_known_of_a_change_before_the_first_answer(self) -> None:
        times: NameTimes[int] = NameTimes()
        times.record(7, at_seconds=3.0)
        assert times.unchanged_until(6) == -math.inf

    def test_peer_without_a_known_age_tells_nothing(self) -> None:
        times: NameTimes[int] = NameTimes()
        times.record(7, at_seconds=-math.inf)
        assert times.unchanged_until(7) == -math.inf

    def test_number_of_kept_revisions_is_bounded(self) -> None:
        times: NameTimes[int] = NameTimes()
        for revision in range(1000):
            times.record(revision, at_seconds=float(revision))
        assert times.unchanged_until(1000) == 999.0
        assert times.unchanged_until(500) == -math.inf


class TestNamedVersions:
    """Guard against counting an older version's time from anything but its successor's name."""

    def test_older_version_ends_by_the_time_of_the_name(self) -> None:
        targets = WeightTargets(switch_seconds=8)
        target = WeightVersion(model=MODEL, version=2)
        targets.set_target(target, named_seconds=10.0)
        assert targets.named_seconds(target) == 10.0
        assert targets.oldest_allowed(MODEL, now_seconds=17.0, lead_seconds=1) == 2

    def test_name_that_is_listed_again_does_not_prolong_the_older_version(self) -> None:
        targets = WeightTargets(switch_seconds=8)
        target = WeightVersion(model=MODEL, version=2)
        assert targets.set_target(target, named_seconds=10.0)
        assert not targets.set_target(target, named_seconds=14.0)
        assert targets.named_seconds(target) == 10.0
