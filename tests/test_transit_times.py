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
