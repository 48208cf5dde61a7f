"""Tell operators where a call would be sent now and why, without sending it."""

import time
from collections.abc import Callable
from typing import TypeAlias

import msgspec
from aiohttp import web

from egretrouter.backends import CallHeaders
from egretrouter.core.direct import (
    Choice,
    ExplainedRefusal,
    ExplainProblem,
    ExplainQuery,
    Explanation,
    NoEndpointAvailable,
)
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._admission import CallAdmission
from egretrouter.direct._answer_memory import AnswerMemory
from egretrouter.direct._choices import EndpointChoices
from egretrouter.direct._part_guard import PartHeld
from egretrouter.direct._refusals import Refusal
from egretrouter.direct._settings import DirectSettings
from egretrouter.direct._time_limits import CallTimeLimits
from egretrouter.direct._work_prediction import WorkPrediction

EXPLAIN_PATH = "/explain"
# A call that no endpoint has got is refused with this status.
NOT_RUN_STATUS = 503

_Unavailable: TypeAlias = NoEndpointAvailable | PartHeld


class CallExplainer:
    """Decide on calls as for callers, and return the decision instead of sending the call.

    It records no arrival, send or deadline, takes no share of anything and waits for nothing.
    """

    def __init__(
        self,
        *,
        admission: CallAdmission,
        choices: EndpointChoices,
        time_limits: CallTimeLimits,
        answer_memory: AnswerMemory,
        work: WorkPrediction | None,
        describe: Callable[[_Unavailable], str],
    ) -> None:
        """Describe a lack of endpoints to operators as to callers."""
        self._admission = admission
        self._choices = choices
        self._time_limits = time_limits
        self._answer_memory = answer_memory
        self._work = work
        self._describe = describe

    def answer(
        self, request: web.BaseRequest, *, settings: DirectSettings, configuration: int
    ) -> web.Response:
        """Answer an operator's request with an Explanation, or with an ExplainProblem."""
        try:
            query = msgspec.convert(dict(request.query), type=ExplainQuery, strict=False)
            call = self._admit(request, query)
        except msgspec.ValidationError as error:
            return _respond(ExplainProblem(status=400, reason=str(error)), status=400)
        except Refusal as refusal:
            problem = ExplainProblem(status=refusal.status, reason=refusal.reason)
            return _respond(problem, status=refusal.status)
        return _respond(self._explain(call, settings, configuration), status=200)

    def _admit(self, request: web.BaseRequest, query: ExplainQuery) -> ActiveCall:
        expected = query.expected_answer_tokens
        headers = CallHeaders(
            call_id="",
            key=query.key,
            model=query.model,
            prompt_tokens=query.prompt_tokens,
            answer_tokens=query.answer_tokens,
            expected_answer_tokens=query.answer_tokens if expected is None else expected,
        )
        with self._answer_memory.hold() as hold:
            return self._admission.admit_dry_run(
                request,
                headers,
                host=query.host,
                path=query.path,
                hold=hold,
                arrived_seconds=time.monotonic(),
            )

    def _explain(
        self, call: ActiveCall, settings: DirectSettings, configuration: int
    ) -> Explanation:
        if self._work is not None:
            call.cost = self._work.predict(call)
        endpoints = tuple(self._choices.examine(call))
        decision = self._decide(call)
        return Explanation(
            router=settings.instance_id,
            zone=settings.zone,
            configuration=configuration,
            route=call.route.name,
            kind=call.route.kind,
            service=call.service.name,
            workspace=call.workspace.workspace_id if call.workspace is not None else None,
            rank=call.rank,
            waiting_ahead=self._choices.count_before(call),
            endpoints=endpoints,
            chosen=decision.endpoint.endpoint_id if isinstance(decision, Choice) else None,
            version=decision.version if isinstance(decision, Choice) else None,
            refusal=None if isinstance(decision, Choice) else decision,
        )

    def _decide(self, call: ActiveCall) -> Choice | ExplainedRefusal:
        try:
            self._time_limits.check(call)
        except Refusal as refusal:
            return ExplainedRefusal(
                status=refusal.status,
                reason=refusal.reason,
                retry_after_seconds=refusal.retry_after_seconds,
            )
        choice = self._choices.choose_dry_run(call)
        if isinstance(choice, Choice):
            return choice
        return ExplainedRefusal(
            status=NOT_RUN_STATUS,
            reason=self._describe(choice),
            retry_after_seconds=choice.retry_after_seconds,
        )


def _respond(content: Explanation | ExplainProblem, *, status: int) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(content), status=status, content_type="application/json"
    )
