"""Test how long messages of peers were on their way at the most."""

import math

from egretrouter.core.direct import TransitTimes
from egretrouter.core.identifiers import InstanceId

PEER = InstanceId("front-2")


class Messages:
    """Deliver messages of a peer whose clock differs by 1000 s."""

    def __init__(self) -> None:
        self.times = TransitTimes()

    def deliver(self, *, sent_seconds: float, transit_seconds: float, started_ms: int = 1) -> float:
        return self.times.record(
            PEER,
            started_ms=started_ms,
            sent_seconds=sent_seconds + 1000,
            now_seconds=sent_seconds + transit_seconds,
        )


class TestTransitTimes:
    """Guard against taking a message that waited somewhere for a new one."""

    def test_message_that_waited_is_known_to_be_old(self) -> None:
        messages = Messages()
        messages.deliver(sent_seconds=1.0, transit_seconds=0.01)
        assert messages.deliver(sent_seconds=2.0, transit_seconds=5.0) >= 5.0

    def test_message_after_one_that_waited_is_new_again(self) -> None:
        messages = Messages()
        messages.deliver(sent_seconds=1.0, transit_seconds=5.0)
        messages.deliver(sent_seconds=5.9, transit_seconds=0.1)
        assert messages.deliver(sent_seconds=7.0, transit_seconds=0.1) < 1.0

    def test_clocks_that_drift_apart_do_not_make_messages_old(self) -> None:
        messages = Messages()
        transits = [
            messages.deliver(sent_seconds=float(second), transit_seconds=0.1 + second * 1e-4)
            for second in range(0, 100_000, 10)
        ]
        assert max(transits[1:]) < 1.0

    def test_peer_that_restarted_is_compared_anew(self) -> None:
        messages = Messages()
        messages.deliver(sent_seconds=1.0, transit_seconds=0.1, started_ms=1)
        messages.deliver(sent_seconds=2.0, transit_seconds=9.0, started_ms=2)
        assert messages.deliver(sent_seconds=4.0, transit_seconds=9.0, started_ms=2) < 1.0

    def test_first_messages_of_a_peer_that_all_waited_prove_nothing(self) -> None:
        messages = Messages()
        transits = [
            messages.deliver(sent_seconds=10.0 - waited, transit_seconds=waited)
            for waited in (4.0, 3.0, 2.0)
        ]
        assert min(transits) == math.inf

    def test_message_without_its_time_proves_nothing(self) -> None:
        assert Messages().deliver(sent_seconds=-math.inf, transit_seconds=0.1) == math.inf


class TestRoundTrips:
    """Guard against answers that prove more or less than that they followed their question."""

    @staticmethod
    def record(
        times: TransitTimes, *, sent: float, received: float, asked: float = -math.inf
    ) -> float:
        return times.record(
            PEER,
            started_ms=1,
            sent_seconds=sent + 1000,
            now_seconds=received,
            answers_seconds=asked,
        )

    def test_answer_was_on_its_way_no_longer_than_its_question_is_old(self) -> None:
        transit = self.record(TransitTimes(), asked=1.0, sent=1.01, received=1.02)
        assert 0.01 <= transit <= 0.03

    def test_later_message_is_dated_by_the_round_trip(self) -> None:
        times = TransitTimes()
        self.record(times, asked=1.0, sent=1.01, received=1.02)
        assert 0.4 <= self.record(times, sent=2.0, received=2.4) <= 0.42

    def test_slow_answer_proves_little_and_a_fast_one_more(self) -> None:
        times = TransitTimes()
        assert self.record(times, asked=1.0, sent=3.9, received=4.0) >= 0.1
        self.record(times, asked=5.0, sent=5.01, received=5.02)
        assert self.record(times, sent=6.0, received=6.01) <= 0.05

    def test_answer_to_a_question_of_the_future_proves_nothing(self) -> None:
        assert self.record(TransitTimes(), asked=9.0, sent=1.0, received=1.1) == math.inf

    def test_peer_is_measured_again_before_the_clocks_drift_apart(self) -> None:
        times = TransitTimes()
        self.record(times, sent=1.0, received=1.1)
        assert not times.is_measured(PEER, started_ms=1, now_seconds=1.1)
        self.record(times, asked=1.0, sent=1.1, received=1.2)
        assert times.is_measured(PEER, started_ms=1, now_seconds=30.0)
        assert not times.is_measured(PEER, started_ms=2, now_seconds=30.0)
        self.record(times, sent=400.0, received=400.1)
        assert not times.is_measured(PEER, started_ms=1, now_seconds=400.1)
