"""Apply what the headers of an answer say about the endpoint that sent it."""

import time
from collections.abc import Callable

from egretrouter.backends import AnswerHeaders
from egretrouter.core.direct import (
    Endpoint,
    EndpointPauses,
    EndpointRun,
    LeavingSource,
    MomentaryLoad,
    Placement,
    SendOutcome,
)
from egretrouter.direct._logs import log_event
from egretrouter.direct._metrics import CallMetrics, PauseResult
from egretrouter.direct._news_service import NewsService
from egretrouter.direct._sends import SendError
from egretrouter.direct._shared_state import SharedStateService

MAX_LOGGED_CHARACTERS = 40


class AnswerFacts:
    """Record the load, the limit and the state that endpoints name in their answers."""

    def __init__(
        self,
        *,
        state: SharedStateService,
        placement: Placement,
        news: NewsService,
        pauses: EndpointPauses,
        metrics: CallMetrics,
        on_load: Callable[[], None],
        momentary_load: MomentaryLoad | None = None,
    ) -> None:
        """Start; on_load is called after each load that an endpoint reports."""
        self._state = state
        self._placement = placement
        self._news = news
        self._pauses = pauses
        self._metrics = metrics
        self._momentary_load = momentary_load
        self._on_load = on_load

    def record_answer(
        self, endpoint: Endpoint, answer: AnswerHeaders, *, sent_seconds: float
    ) -> None:
        """Record what an endpoint says in the answer to a call that was sent at some time."""
        self._record_state(endpoint, answer)
        self._record_limit(endpoint, answer, sent_seconds=sent_seconds)
        self._record_load(endpoint, answer)

    def record_failed_send(self, endpoint: Endpoint, error: SendError) -> None:
        """Record what an endpoint says, or what its silence says, where a send has failed."""
        now, answer = time.monotonic(), error.answer
        if error.head is not None:
            self._record_state(endpoint, error.head)
        if answer is not None and answer.limit_per_second is not None:
            self._record_limit(endpoint, answer, sent_seconds=now)
        if answer is not None and answer.load is not None:
            self._record_load(endpoint, answer)
        elif error.outcome not in (SendOutcome.REJECTED, SendOutcome.EXPIRED):
            self._placement.record_failure(endpoint.endpoint_id, now_seconds=now)

    def _record_load(self, endpoint: Endpoint, answer: AnswerHeaders) -> None:
        if answer.load is None:
            return
        now = time.monotonic()
        self._placement.record_report(
            endpoint.endpoint_id, answer.load, by_agent=False, now_seconds=now
        )
        if self._momentary_load is not None:
            self._momentary_load.record(
                endpoint.endpoint_id,
                answer.load.slowdown,
                service=endpoint.service,
                now_seconds=now,
            )
        self._on_load()

    def _record_limit(
        self, endpoint: Endpoint, answer: AnswerHeaders, *, sent_seconds: float
    ) -> None:
        self._news.limits.record_answer(
            EndpointRun.of(endpoint),
            answer.limit_per_second,
            sent_seconds=sent_seconds,
            now_seconds=time.monotonic(),
        )
        self._news.spread_findings()

    def _record_state(self, endpoint: Endpoint, answer: AnswerHeaders) -> None:
        """Record what holds for an endpoint whichever call the answer is for."""
        if answer.leaving:
            self._record_leaving(endpoint, answer)
        if answer.pause_seconds is not None:
            self._record_pause(endpoint, answer.pause_seconds)
        elif answer.malformed_pause is not None:
            self._record_malformed_pause(endpoint, answer.malformed_pause)

    def _record_pause(self, endpoint: Endpoint, asked_seconds: float) -> None:
        started = self._pauses.record(
            EndpointRun.of(endpoint), asked_seconds, now_seconds=time.monotonic()
        )
        if started is None:
            return
        result = PauseResult.CUT if started.is_cut else PauseResult.TAKEN
        self._metrics.record_pause(result)
        log_event(
            "endpoints:paused",
            endpoint=endpoint.endpoint_id,
            started_ms=endpoint.started_ms,
            asked_seconds=started.asked_seconds,
            left_seconds=round(started.left_seconds, 3),
        )

    def _record_malformed_pause(self, endpoint: Endpoint, value: str) -> None:
        self._metrics.record_pause(PauseResult.MALFORMED)
        log_event(
            "endpoints:pause_malformed",
            endpoint=endpoint.endpoint_id,
            started_ms=endpoint.started_ms,
            value=value[:MAX_LOGGED_CHARACTERS],
            expected="seconds such as 2 or 0.5",
        )

    def _record_leaving(self, endpoint: Endpoint, answer: AnswerHeaders) -> None:
        now, leaving = time.monotonic(), self._news.leaving
        for run in self._find_answerers(endpoint, answer):
            leaving.record(run, LeavingSource.ANSWER, now_seconds=now)
        if answer.misdirected:
            leaving.record_address(endpoint.address, now_seconds=now)
        self._news.spread_findings()

    def _find_answerers(self, endpoint: Endpoint, answer: AnswerHeaders) -> set[EndpointRun]:
        """Return the runs of the endpoints that may have sent an answer."""
        runs = {EndpointRun.of(endpoint)}
        if answer.misdirected:
            # The address may be used again by an endpoint that was listed meanwhile.
            newest = self._state.directory.newest_at(endpoint.address)
            if newest is not None:
                runs.add(EndpointRun.of(newest))
        return runs
