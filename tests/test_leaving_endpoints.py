"""Test what a process remembers of endpoints that leave."""

import msgspec

from egretrouter.core.direct import (
    Endpoint,
    EndpointRun,
    EndpointState,
    LeavingEndpoints,
    LeavingSource,
)
from egretrouter.core.direct._leaving import ADDRESS_SECONDS, MAX_RUNS, MEMORY_SECONDS
from egretrouter.core.identifiers import EndpointId, ServiceName, ZoneId

ENDPOINT = Endpoint(
    endpoint_id=EndpointId("i-1"),
    service=ServiceName("engines"),
    address="10.0.0.1:80",
    zone=ZoneId("z0"),
    state=EndpointState.READY,
    slots=16,
    started_ms=1,
)
RUN = EndpointRun.of(ENDPOINT)


def leaving_endpoints(*runs: EndpointRun, now_seconds: float = 0.0) -> LeavingEndpoints:
    leaving = LeavingEndpoints()
    for run in runs:
        leaving.record(run, LeavingSource.ANSWER, now_seconds=now_seconds)
    return leaving


class TestRuns:
    """Guard against calls to endpoints that leave, and against endpoints that get none for ever."""

    def test_registration_as_ready_takes_back_what_an_answer_said(self) -> None:
        leaving = leaving_endpoints(RUN)
        leaving.record_registrations([ENDPOINT], now_seconds=1.0)
        assert leaving.is_leaving(ENDPOINT, now_seconds=1.0)

    def test_older_registration_takes_back_that_an_endpoint_drains(self) -> None:
        leaving = LeavingEndpoints()
        draining = msgspec.structs.replace(ENDPOINT, state=EndpointState.DRAINING)
        leaving.record_registrations([draining], now_seconds=0.0)
        assert leaving.is_leaving(ENDPOINT, now_seconds=5.0)

    def test_next_run_under_the_same_id_gets_no_calls(self) -> None:
        leaving = leaving_endpoints(RUN)
        started_again = msgspec.structs.replace(ENDPOINT, started_ms=2)
        assert not leaving.is_leaving(started_again, now_seconds=0.0)

    def test_endpoint_at_a_used_address_gets_no_calls(self) -> None:
        leaving = leaving_endpoints(RUN)
        other = msgspec.structs.replace(ENDPOINT, endpoint_id=EndpointId("i-2"))
        assert not leaving.is_leaving(other, now_seconds=0.0)

    def test_run_is_forgotten_only_long_after_its_end(self) -> None:
        leaving = leaving_endpoints(RUN)
        leaving.expire(now_seconds=MEMORY_SECONDS - 1)
        assert leaving.is_leaving(ENDPOINT, now_seconds=MEMORY_SECONDS - 1)
        leaving.expire(now_seconds=MEMORY_SECONDS)
        assert not leaving.is_leaving(ENDPOINT, now_seconds=MEMORY_SECONDS)

    def test_table_grows_without_bound(self) -> None:
        runs = [
            EndpointRun(endpoint_id=EndpointId(f"i-{number}"), started_ms=1)
            for number in range(MAX_RUNS + 5)
        ]
        assert len(leaving_endpoints(*runs).all_news(now_seconds=0.0)) == MAX_RUNS


class TestAddresses:
    """Guard against calls to an endpoint that said that it leaves before it was listed."""

    def test_endpoint_that_is_listed_later_gets_calls(self) -> None:
        leaving = LeavingEndpoints()
        leaving.record_address(ENDPOINT.address, now_seconds=0.0)
        assert leaving.is_leaving(ENDPOINT, now_seconds=1.0)

    def test_address_is_avoided_for_ever(self) -> None:
        leaving = LeavingEndpoints()
        leaving.record_address(ENDPOINT.address, now_seconds=0.0)
        assert not leaving.is_leaving(ENDPOINT, now_seconds=ADDRESS_SECONDS)


class TestNews:
    """Guard against processes that do not learn of an endpoint that leaves."""

    def test_other_processes_learn_and_pass_on_what_one_found(self) -> None:
        first, second = leaving_endpoints(RUN), LeavingEndpoints()
        second.merge(first.take_findings(now_seconds=0.1), now_seconds=0.2)
        assert second.is_leaving(ENDPOINT, now_seconds=0.2)
        assert [news.run for news in second.take_relays(limit=8, now_seconds=0.3)] == [RUN]

    def test_known_run_is_passed_on_again(self) -> None:
        first, second = leaving_endpoints(RUN), leaving_endpoints(RUN)
        second.take_findings(now_seconds=0.0)
        while second.take_relays(limit=8, now_seconds=0.0):
            continue
        second.merge(first.all_news(now_seconds=0.1), now_seconds=0.1)
        assert second.take_relays(limit=8, now_seconds=0.2) == []

    def test_processes_remind_each_other_of_a_forgotten_run(self) -> None:
        first, second = leaving_endpoints(RUN), LeavingEndpoints()
        second.merge(first.all_news(now_seconds=MEMORY_SECONDS), now_seconds=MEMORY_SECONDS)
        assert second.all_news(now_seconds=MEMORY_SECONDS) == []

    def test_registration_is_spread_although_all_watch_the_store(self) -> None:
        leaving = LeavingEndpoints()
        draining = msgspec.structs.replace(ENDPOINT, state=EndpointState.DRAINING)
        leaving.record_registrations([draining], now_seconds=0.0)
        assert leaving.take_findings(now_seconds=0.0) == []

    def test_changes_are_reported_once_with_their_source(self) -> None:
        leaving = leaving_endpoints(RUN, RUN)
        changes = leaving.take_changes()
        assert [(change.run, change.source) for change in changes] == [(RUN, LeavingSource.ANSWER)]
        assert leaving.take_changes() == []
