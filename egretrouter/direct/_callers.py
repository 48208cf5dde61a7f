"""Handle callers' requests by sending them to endpoints."""

import asyncio
import random
import time
from collections.abc import Mapping

from aiohttp import web
from multidict import CIMultiDict

from egretrouter.backends import CallDialect, CallHeaders, CallHeadersError, SendHeaders
from egretrouter.core.direct import (
    CallKind,
    Choice,
    ColdEndpoints,
    EndpointExclusions,
    EndpointPauses,
    EndpointRun,
    ExcludedEndpoints,
    Exclusion,
    GracePeriod,
    MomentaryLoad,
    NextStep,
    NoEndpointAvailable,
    Placement,
    RepeatBudget,
    SendEnded,
    SendOutcome,
    describe_exclusions,
    prompts_equivalent,
)
from egretrouter.core.identifiers import RegionId, ZoneId
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._admission import CallAdmission
from egretrouter.direct._admission_queue import AdmissionQueue
from egretrouter.direct._answer_facts import AnswerFacts
from egretrouter.direct._answer_memory import AnswerHold, AnswerMemory
from egretrouter.direct._choices import EndpointChoices
from egretrouter.direct._explainer import CallExplainer
from egretrouter.direct._home_regions import HomeRegions
from egretrouter.direct._logs import log_event
from egretrouter.direct._metrics import CallMetrics
from egretrouter.direct._news_service import NewsService
from egretrouter.direct._part_guard import PartGuard, PartHeld
from egretrouter.direct._refusals import Refusal
from egretrouter.direct._responses import CallResponder, LargeResponse
from egretrouter.direct._sends import OpenAnswer, OutgoingCall, Sender, SendError
from egretrouter.direct._settings import Scheduling
from egretrouter.direct._shared_state import SharedStateService
from egretrouter.direct._start_limits import StartLimits, version_expired
from egretrouter.direct._streams import StreamForwarder
from egretrouter.direct._time_limits import STOPPING_REASON, CallTimeLimits
from egretrouter.direct._work_prediction import WorkPrediction

# A call with less time left than this is not sent.
MIN_SEND_SECONDS = 0.02


class CallerHandler:
    """Handle the calls of one router from the request to the answer."""

    def __init__(
        self,
        *,
        state: SharedStateService,
        placement: Placement,
        budget: RepeatBudget,
        sender: Sender,
        dialect: CallDialect,
        metrics: CallMetrics,
        news: NewsService,
        cold: ColdEndpoints,
        guard: PartGuard,
        answer_memory: AnswerMemory,
        regions: Mapping[ZoneId, RegionId],
        scheduling: Scheduling,
        rng: random.Random,
        momentary_load: MomentaryLoad | None = None,
        work: WorkPrediction | None = None,
    ) -> None:
        self.in_progress = 0
        self.work = work
        self._answer_memory = answer_memory
        self._state = state
        self._placement = placement
        self._budget = budget
        self._sender = sender
        self._dialect = dialect
        self._metrics = metrics
        self._responder = CallResponder(state=state, dialect=dialect, metrics=metrics)
        self._news = news
        self._cold = cold
        self._guard = guard
        self._time_limits = CallTimeLimits(state=state, placement=placement)
        self._start_limits = StartLimits(state)
        self._admission = CallAdmission(
            state=state, rng=rng, ranked=scheduling is Scheduling.RANKED
        )
        self.pauses = EndpointPauses(rng=rng)
        self._ranked = scheduling is Scheduling.RANKED
        self.queue = AdmissionQueue(
            metrics=metrics,
            rng=rng,
            adjust_waiting=lambda rank, change: placement.adjust_waiting(change, rank=rank),
        )
        self._facts = AnswerFacts(
            state=state,
            placement=placement,
            news=news,
            pauses=self.pauses,
            metrics=metrics,
            momentary_load=momentary_load,
            on_load=self.queue.wake,
        )
        self._choices = EndpointChoices(
            state=state,
            placement=placement,
            guard=guard,
            exclusions=EndpointExclusions(
                leaving=news.leaving,
                evacuations=state.evacuations.evacuations,
                limits=news.limits,
                pauses=self.pauses,
                regions=regions,
                cold=cold,
            ),
            home_regions=HomeRegions(state, regions=set(regions.values())),
            time_limits=self._time_limits,
            pauses=self.pauses,
            cold=cold,
            queue=self.queue if self._ranked else None,
            rng=rng,
        )
        self.explainer = CallExplainer(
            admission=self._admission,
            choices=self._choices,
            time_limits=self._time_limits,
            answer_memory=answer_memory,
            work=work,
            describe=_describe_unavailability,
        )
        self._streams = StreamForwarder(
            placement=placement,
            responder=self._responder,
            choices=self._choices,
            guard=guard,
            start_limits=self._start_limits,
            work=work,
            may_move=self._may_move,
        )

    @property
    def draining(self) -> bool:
        """Return whether the router is about to stop."""
        return self._responder.draining

    def start_draining(self, grace: GracePeriod) -> None:
        """Close each connection after its next response, and take only calls that end in time."""
        self._responder.draining = True
        self._time_limits.start_draining(grace)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and return the response."""
        with self._answer_memory.hold() as hold:
            response = await self._handle(request, hold)
            if self.draining and not response.prepared:
                # A caller that was not told may have sent its next request already.
                response.force_close()
            if isinstance(response, LargeResponse):
                await response.send(request, hold)
        return response

    async def _handle(self, request: web.BaseRequest, hold: AnswerHold) -> web.StreamResponse:
        arrived = time.monotonic()
        self.in_progress += 1
        headers = CallHeaders(call_id=request.headers.get("X-Request-Id", ""))
        try:
            headers = self._dialect.read_call(request.headers)
            call = await self._admission.admit(request, headers, hold=hold, arrived_seconds=arrived)
            self._time_limits.check(call)
            if call.service.engine is not None:
                self._placement.record_arrival(now_seconds=arrived, rank=call.admission_rank)
            if self.work is not None:
                call.cost = self.work.predict(call)
            response = await self._run(call)
        except CallHeadersError as error:
            response = self._responder.refuse(request, headers, Refusal(400, str(error)))
        except Refusal as refusal:
            response = self._responder.refuse(request, headers, refusal)
        except asyncio.CancelledError:
            self._metrics.record_call("caller_left", time.monotonic() - arrived)
            log_event("call:caller_left", call=headers.call_id, seconds=_elapsed_seconds(arrived))
            raise
        finally:
            self.in_progress -= 1
        return response

    async def _run(self, call: ActiveCall) -> web.StreamResponse:
        try:
            async with self._time_limits.limit(call):
                return await self._send_until_answered(call)
        except TimeoutError:
            return self._responder.end_call(call, call.progress.abort(), 504, "the time is up")
        finally:
            if call.held_by_cold:
                self._metrics.record_held_by_cold()

    async def _send_until_answered(self, call: ActiveCall) -> web.StreamResponse:
        while True:
            choice = call.next_choice or await self._choices.choose(call)
            call.next_choice = None
            if not isinstance(choice, Choice):
                if isinstance(choice, ExcludedEndpoints):
                    self._metrics.record_unplaced(choice.exclusions)
                reason = _describe_unavailability(choice)
                return self._responder.end_call(
                    call,
                    call.progress.abort(),
                    502,
                    reason,
                    retry_after_seconds=choice.retry_after_seconds,
                )
            # The call may have waited for the choice, or for an endpoint that failed.
            if not self._time_limits.may_send(call):
                return self._responder.end_call(
                    call, call.progress.abort(), 502, STOPPING_REASON, retry_after_seconds=0.0
                )
            try:
                return await self._send(call, choice)
            except SendError as error:
                if error.outcome is SendOutcome.BROKEN:
                    await self._guard.record_broken(call, choice.endpoint)
                step = self._handle_send_error(call, choice, error)
                if step is NextStep.PASS_ON and error.complete is not None:
                    return self._responder.pass_on(call, error.complete)
                if step is not NextStep.SEND:
                    return self._responder.end_call(
                        call,
                        step,
                        502,
                        error.reason,
                        retry_after_seconds=self._choices.unavailable_seconds(call),
                    )

    def _handle_send_error(self, call: ActiveCall, choice: Choice, error: SendError) -> NextStep:
        self._facts.record_failed_send(choice.endpoint, error)
        allowed = self._may_repeat(call, error.outcome) and self._budget.try_repeat(
            call.service.name, now_seconds=time.monotonic()
        )
        step = call.progress.handle_send_ended(
            SendEnded(outcome=error.outcome, repeat_allowed=allowed)
        )
        log_event(
            "call:send_ended",
            call=call.headers.call_id,
            endpoint=choice.endpoint.endpoint_id,
            outcome=error.outcome.value,
            reason=error.reason,
            next=step.value,
            events=call.events_since_send,
            parts=call.headers.shared_parts,
            seconds=_elapsed_seconds(call.arrived_seconds),
        )
        return step

    def _may_repeat(self, call: ActiveCall, outcome: SendOutcome) -> bool:
        """Return whether the call permits another send, apart from the repeat budget."""
        return (
            call.progress.may_repeat(outcome)
            and call.cutter.may_resume
            and self._guard.may_repeat(call, outcome)
        )

    def _may_move(self, call: ActiveCall, now_seconds: float) -> bool:
        """Return whether a call may leave its endpoint, which is silent, for another one."""
        return self._may_repeat(call, SendOutcome.STALLED) and self._budget.may_repeat(
            call.service.name, now_seconds=now_seconds
        )

    async def _send(self, call: ActiveCall, choice: Choice) -> web.StreamResponse:
        now = time.monotonic()
        left = self._time_limits.send_deadline_seconds(call) - now
        if left < MIN_SEND_SECONDS:
            return self._responder.end_call(call, call.progress.abort(), 504, "the time is up")
        endpoint = choice.endpoint
        call.tried.add(endpoint.endpoint_id)
        call.events_before_send = call.cutter.events
        self._guard.record_send(call)
        if call.progress.sends == 0:
            self._budget.record_call(call.service.name, now_seconds=now)
        self._placement.record_send(
            endpoint.endpoint_id, now_seconds=now, prompts=_count_prompts(call)
        )
        self._news.limits.record_send(endpoint, now_seconds=now)
        self._cold.record_send(endpoint, now_seconds=now)
        self.pauses.record_send(EndpointRun.of(endpoint))
        try:
            answer = await self._open(call, choice, left)
            self._facts.record_answer(endpoint, answer.answer, sent_seconds=now)
            try:
                return await self._forward_answer(call, choice, answer)
            finally:
                answer.close()
        finally:
            self._placement.record_release(endpoint.endpoint_id)
            self.queue.wake()

    async def _open(self, call: ActiveCall, choice: Choice, left_seconds: float) -> OpenAnswer:
        exact_version = self._choices.exact_version(call, choice)
        start_left = self._start_limits.left_seconds(call.headers.model, choice.version)
        headers = self._dialect.request_headers(
            CIMultiDict(call.request.headers),
            SendHeaders(
                endpoint_id=choice.endpoint.endpoint_id,
                deadline_seconds=left_seconds,
                workspace=call.workspace.workspace_id if call.workspace else None,
                resume_after=call.cutter.last_id,
                exact_version=exact_version,
                priority=call.rank if self._ranked else None,
            ),
        )
        call.progress.record_send()
        log_event(
            "call:sent",
            call=call.headers.call_id,
            endpoint=choice.endpoint.endpoint_id,
            service=call.service.name,
            version=choice.version,
            exact_version=exact_version,
            start_left_seconds=None if start_left is None else round(start_left, 3),
            configuration=self._state.routes.table.version if self._state.routes else None,
            send=call.progress.sends,
            left_seconds=round(left_seconds, 3),
        )
        outgoing = OutgoingCall(
            method=call.request.method,
            target=call.request.raw_path,
            headers=headers,
            content=call.content,
            call_id=call.headers.call_id,
        )
        try:
            async with self._start_limits.limit(call.headers.model, choice.version):
                return await self._sender.open(choice.endpoint.address, outgoing)
        except TimeoutError as error:
            raise version_expired(choice) from error

    async def _forward_answer(
        self, call: ActiveCall, choice: Choice, answer: OpenAnswer
    ) -> web.StreamResponse:
        streams = call.route.kind is CallKind.STREAM
        if streams and answer.status == 200 and answer.is_event_stream:
            return await self._streams.forward(call, choice, answer)
        complete = await answer.read_all(call.hold)
        if complete.status >= 500:
            reason = f"the endpoint answered {complete.status}"
            raise SendError(SendOutcome.FAILED, reason, complete=complete)
        if call.progress.answer_started:
            raise SendError(SendOutcome.BROKEN, f"status {complete.status} instead of a stream")
        self._placement.record_success(choice.endpoint.endpoint_id)
        if complete.status < 300:
            self._guard.record_answer(call)
        return self._responder.pass_on(call, complete)


def _count_prompts(call: ActiveCall) -> float:
    """Return how many usual prompts of its service take as long to prefill as a call's."""
    profile = call.service.engine
    if profile is None or call.cost is None:
        return 1.0
    return prompts_equivalent(call.cost, profile)


def _describe_unavailability(choice: NoEndpointAvailable | PartHeld) -> str:
    if isinstance(choice, PartHeld):
        return "a part of the prompt crashes the endpoints that run it"
    exclusions = choice.exclusions if isinstance(choice, ExcludedEndpoints) else {}
    if choice.endpoints:
        reason = f"none of {choice.endpoints} able endpoints has room"
    elif not exclusions or Exclusion.VERSION in exclusions:
        reason = "no endpoint holds what the call needs"
    else:
        reason = "no endpoint may take the call"
    return f"{reason}: {describe_exclusions(exclusions)}" if exclusions else reason


def _elapsed_seconds(start_seconds: float) -> float:
    return round(time.monotonic() - start_seconds, 3)
