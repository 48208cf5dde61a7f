"""Test when a zone's status is written to the store."""

from egretrouter.core.identifiers import Generation, InstanceId, ZoneId
from egretrouter.core.rendezvous import highest_ranked
from egretrouter.core.status import (
    StatusReporter,
    WriteEnded,
    WriteStatus,
    ZoneObserved,
    ZoneStatus,
)

ZONE = ZoneId("serra-z1")
NAMES = [InstanceId(f"instance-{number}") for number in range(9)]
WRITER = highest_ranked(f"status/{ZONE}", NAMES, 1)[0]


def observed(generation: int) -> ZoneObserved:
    """Return a zone whose members all have the same active generation."""
    processes = dict.fromkeys(NAMES, Generation(generation))
    return ZoneObserved(
        status=ZoneStatus(zone=ZONE, processes=processes, services={}), unix_seconds=1.0
    )


class TestStatusReporter:
    """Guard against writes that grow with the zone's size and against a stale status."""

    def test_one_member_writes_changes_at_most_every_five_seconds(self) -> None:
        reporters = [StatusReporter(instance_id=name, zone=ZONE) for name in NAMES]
        writes: list[tuple[int, WriteStatus]] = []
        for second in range(120):
            message = observed(min(second, 12))
            for reporter in reporters:
                for command in reporter.handle(message, now_seconds=second):
                    writes.append((second, command))
                    reporter.handle(WriteEnded(written=True), now_seconds=second)
        # Four while the zone changes, then one per minute, so that the age shows that it is alive.
        assert [second for second, _ in writes] == [0, 5, 10, 15, 75]
        assert ZoneStatus.from_json(writes[-1][1].content).written_by == WRITER

    def test_a_failed_write_is_repeated(self) -> None:
        reporter = StatusReporter(instance_id=WRITER, zone=ZONE)
        assert reporter.handle(observed(1), now_seconds=0.0)
        assert not reporter.handle(observed(2), now_seconds=9.0)
        reporter.handle(WriteEnded(written=False), now_seconds=9.0)
        assert reporter.handle(observed(1), now_seconds=9.5)
