"""Decide how a router gets one call answered."""

from functools import singledispatchmethod
from typing import Any

import xxhash

from egretrouter.core.calls._answers import (
    IN_PROGRESS_STATES,
    NEVER_RUN_STATES,
    AnswerChecksum,
    AnswerData,
    AnswerEnd,
    AnswerFailure,
    AnswerHead,
    CallState,
)
from egretrouter.core.calls._attempt_messages import (
    AttemptCommand,
    AttemptMessage,
    AttemptRules,
    CallerDisconnected,
    ChooseEndpoint,
    ClaimEnd,
    CloseClaim,
    DeadlineReached,
    DeferToClaim,
    EndpointChosen,
    FailCaller,
    FinishCaller,
    ForwardToCaller,
    FrameArrived,
    HedgeDue,
    LinkLost,
    NoEndpoint,
    RecordTarget,
    SendCancel,
    SendOpen,
    SendResume,
    SendSettle,
    SettleAnswered,
    SettleFailed,
    TargetDenied,
    TargetRecorded,
)
from egretrouter.core.calls._endpoint_call import EndpointCall, EndpointCallState
from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import CallId, Digest


class CallAttempt:
    """Get one call answered whole, or end it with an explicit outcome.

    A call that is not idempotent has at most one attempt that may have run. It is tried elsewhere
    only after the agent said that the attempt before did not run and never will.
    """

    def __init__(self, call_id: CallId, *, rules: AttemptRules) -> None:
        """Start a call; the first commands come from start."""
        self.call_id = call_id
        self.ended = False
        self._rules = rules
        self._endpoint_calls: dict[int, EndpointCall] = {}
        self._choosing = False
        self._claimed = False
        self._source: EndpointCall | None = None
        self._pinned_version: Digest | None = None
        self._forwarded_status: int | None = None
        self._forwarded_bytes = 0
        self._forwarded_prefix = xxhash.xxh3_64()
        self._retry_after_seconds = 0.0

    def start(self) -> list[AttemptCommand]:
        """Ask for the first endpoint."""
        return self._choose()

    def target_call_id(self, attempt: int) -> CallId:
        """Return the call id that an attempt has on the wire, unique to the attempt."""
        return CallId(f"{self.call_id}.{attempt}")

    def handle(self, message: AttemptMessage, *, now_seconds: float) -> list[AttemptCommand]:
        """Apply one message; a call that ended ignores all."""
        return [] if self.ended else self._apply(message)

    def has_closed(self, attempt: int) -> bool:
        """Tell whether nothing more is expected of an attempt."""
        return self._endpoint_call(attempt, EndpointCallState.CLOSED) is not None

    def accept_data(self, attempt: int, sequence: int, data: bytes) -> bool:
        """Take the next data of the answer that is being forwarded; pass it on if accepted.

        Does what handle does with FrameArrived in the commonest case, without its messages and
        commands. Data that is not accepted changes nothing and must be given to handle.
        """
        endpoint_call = self._source
        if (
            endpoint_call is None
            or self.ended
            or endpoint_call.attempt != attempt
            or endpoint_call.state is not EndpointCallState.OPEN
            or endpoint_call.next_sequence != sequence
            or not sequence
            or not data
            or endpoint_call.checksum.total_bytes != self._forwarded_bytes
            or self._rules.repeatable_answer
        ):
            return False
        endpoint_call.next_sequence = sequence + 1
        endpoint_call.checksum.add_data(data)
        self._forwarded_bytes += len(data)
        return True

    @singledispatchmethod
    def _apply(self, message: object) -> list[AttemptCommand]:
        raise TypeError(f"call attempt got unexpected message {message!r}")

    def _choose(self) -> list[AttemptCommand]:
        self._choosing = True
        endpoint_calls = self._endpoint_calls.values()
        return [
            ChooseEndpoint(
                attempt=len(self._endpoint_calls) + 1,
                avoid_agents=frozenset(
                    endpoint_call.target.agent_id for endpoint_call in endpoint_calls
                ),
                version_digest=self._pinned_version,
            )
        ]

    @_apply.register
    def _chosen(self, message: EndpointChosen) -> list[AttemptCommand]:
        if not self._choosing:
            return []
        self._choosing = False
        pinned = self._pinned_version
        if pinned is not None and message.version_digest != pinned:
            return self._fail_if_idle("version_not_served")
        endpoint_call = EndpointCall(
            attempt=len(self._endpoint_calls) + 1,
            target=message.target,
            version_digest=message.version_digest,
            checksum=AnswerChecksum(message.target.call_id),
        )
        self._endpoint_calls[endpoint_call.attempt] = endpoint_call
        if not self._rules.keyed:
            return self._open(endpoint_call)
        self._claimed = True
        return [RecordTarget(attempt=endpoint_call.attempt, target=endpoint_call.target)]

    def _open(self, endpoint_call: EndpointCall) -> list[AttemptCommand]:
        endpoint_call.state = EndpointCallState.OPEN
        endpoint_call.may_have_run = True
        return [
            SendOpen(
                attempt=endpoint_call.attempt,
                target=endpoint_call.target,
                version_digest=endpoint_call.version_digest,
            )
        ]

    @_apply.register
    def _no_endpoint(self, message: NoEndpoint) -> list[AttemptCommand]:
        if not self._choosing:
            return []
        self._choosing = False
        self._retry_after_seconds = max(self._retry_after_seconds, message.retry_after_seconds)
        return self._fail_if_idle("no_endpoint")

    @_apply.register
    def _recorded(self, message: TargetRecorded) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.RECORDING)
        return [] if endpoint_call is None else self._open(endpoint_call)

    @_apply.register
    def _denied(self, message: TargetDenied) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.RECORDING)
        if endpoint_call is None:
            return []
        endpoint_call.state = EndpointCallState.CLOSED
        if message.held_elsewhere:
            # The claim belongs to another call now, so this one must not write to it.
            self.ended = True
            return [DeferToClaim()]
        return self._fail("claim_not_recorded")

    def _endpoint_call(self, attempt: int, *states: EndpointCallState) -> EndpointCall | None:
        endpoint_call = self._endpoint_calls.get(attempt)
        return (
            endpoint_call if endpoint_call is not None and endpoint_call.state in states else None
        )

    @_apply.register
    def _frame(self, message: FrameArrived) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.OPEN)
        if endpoint_call is None or message.sequence < endpoint_call.next_sequence:
            return []
        body = message.body
        if isinstance(body, AnswerFailure):
            return self._failure(endpoint_call, body, message.sequence)
        if message.sequence > endpoint_call.next_sequence:
            return self._resume(endpoint_call)
        endpoint_call.next_sequence += 1
        commands = self._take_source(endpoint_call)
        if isinstance(body, AnswerEnd):
            return commands + self._end(endpoint_call, body)
        expected = AnswerHead if message.sequence == 0 else AnswerData
        if not isinstance(body, expected):
            return commands + self._fail("answer_malformed")
        offset = endpoint_call.checksum.total_bytes
        endpoint_call.checksum.add(body)
        if isinstance(body, AnswerHead):
            return commands + self._forward_head(body)
        return commands + self._forward_data(endpoint_call, body, offset)

    def _take_source(self, endpoint_call: EndpointCall) -> list[AttemptCommand]:
        """Make the first endpoint_call that answers the only one."""
        if self._source is endpoint_call:
            return []
        self._source = endpoint_call
        self._pinned_version = endpoint_call.version_digest
        self._choosing = False
        return self._cancel_endpoint_calls(keep=endpoint_call)

    def _cancel_endpoint_calls(self, *, keep: EndpointCall | None = None) -> list[AttemptCommand]:
        commands: list[AttemptCommand] = []
        for endpoint_call in self._endpoint_calls.values():
            if endpoint_call is keep or endpoint_call.state is EndpointCallState.CLOSED:
                continue
            if endpoint_call.may_have_run:
                commands.append(
                    SendCancel(attempt=endpoint_call.attempt, target=endpoint_call.target)
                )
            endpoint_call.state = EndpointCallState.CLOSED
        return commands

    def _forward_head(self, body: AnswerHead) -> list[AttemptCommand]:
        if self._forwarded_status is None:
            self._forwarded_status = body.status
            return [ForwardToCaller(body=body)]
        return [] if body.status == self._forwarded_status else self._fail("answers_differ")

    def _forward_data(
        self, endpoint_call: EndpointCall, body: AnswerData, offset: int
    ) -> list[AttemptCommand]:
        seen = self._forwarded_bytes - offset
        data = body.data
        if seen > 0:
            # The answer was begun by another replica: its start must repeat to the byte.
            endpoint_call.prefix.update(data[:seen])
            data = data[seen:]
            complete = len(body.data) >= seen
            if complete and endpoint_call.prefix.digest() != self._forwarded_prefix.digest():
                return self._fail("answers_differ")
        if not data:
            return []
        self._forwarded_bytes += len(data)
        if self._rules.repeatable_answer:
            self._forwarded_prefix.update(data)
        return [ForwardToCaller(body=body if data is body.data else AnswerData(data=data))]

    def _end(self, endpoint_call: EndpointCall, body: AnswerEnd) -> list[AttemptCommand]:
        if body != endpoint_call.checksum.end() or endpoint_call.next_sequence < 2:
            return self._fail("checksum_differs")
        if endpoint_call.checksum.total_bytes < self._forwarded_bytes:
            return self._fail("answers_differ")
        self.ended = True
        return [FinishCaller(), *self._close_claim(ClaimEnd.FINISHED)]

    def _failure(
        self, endpoint_call: EndpointCall, body: AnswerFailure, sequence: int
    ) -> list[AttemptCommand]:
        endpoint_call.state = EndpointCallState.CLOSED
        self._retry_after_seconds = max(self._retry_after_seconds, body.retry_after_seconds)
        # An agent that sent a frame ran the call, whatever it says later.
        if body.outcome is Outcome.NOT_RUN and sequence == 0:
            endpoint_call.may_have_run = False
        return self._try_elsewhere(body.reason)

    @_apply.register
    def _link_lost(self, message: LinkLost) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.OPEN)
        if endpoint_call is None:
            return []
        if self._rules.idempotent and self._source is None:
            endpoint_call.state = EndpointCallState.CLOSED
            return self._try_elsewhere("link_lost")
        return self._settle(endpoint_call)

    def _settle(self, endpoint_call: EndpointCall) -> list[AttemptCommand]:
        endpoint_call.settles += 1
        if endpoint_call.settles > self._rules.max_settles:
            endpoint_call.state = EndpointCallState.CLOSED
            return self._try_elsewhere("agent_unreachable")
        endpoint_call.state = EndpointCallState.SETTLING
        return [
            SendSettle(
                attempt=endpoint_call.attempt,
                target=endpoint_call.target,
                tries=endpoint_call.settles,
            )
        ]

    @_apply.register
    def _settle_failed(self, message: SettleFailed) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.SETTLING)
        return [] if endpoint_call is None else self._settle(endpoint_call)

    @_apply.register
    def _settled(self, message: SettleAnswered) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.SETTLING)
        if endpoint_call is None:
            return []
        endpoint_call.settles = 0
        if message.state in IN_PROGRESS_STATES or message.state is CallState.FINISHED:
            return self._resume(endpoint_call)
        endpoint_call.state = EndpointCallState.CLOSED
        if message.state in NEVER_RUN_STATES and endpoint_call.next_sequence == 0:
            endpoint_call.may_have_run = False
        return self._try_elsewhere(message.state.value)

    def _resume(self, endpoint_call: EndpointCall) -> list[AttemptCommand]:
        endpoint_call.resumes += 1
        if endpoint_call.resumes > self._rules.max_resumes:
            endpoint_call.state = EndpointCallState.CLOSED
            return self._try_elsewhere("frames_lost")
        endpoint_call.state = EndpointCallState.OPEN
        return [
            SendResume(
                attempt=endpoint_call.attempt,
                target=endpoint_call.target,
                next_sequence=endpoint_call.next_sequence,
            )
        ]

    def _may_retry(self) -> bool:
        if len(self._endpoint_calls) >= self._rules.max_attempts:
            return False
        if self._source is not None and not self._rules.repeatable_answer:
            return False
        return self._rules.idempotent or not self._may_have_run()

    def _may_have_run(self) -> bool:
        return any(endpoint_call.may_have_run for endpoint_call in self._endpoint_calls.values())

    def _busy(self) -> bool:
        return self._choosing or any(
            endpoint_call.state is not EndpointCallState.CLOSED
            for endpoint_call in self._endpoint_calls.values()
        )

    def _try_elsewhere(self, reason: str) -> list[AttemptCommand]:
        if self._busy():
            return []
        return self._choose() if self._may_retry() else self._fail(reason)

    def _fail_if_idle(self, reason: str) -> list[AttemptCommand]:
        return [] if self._busy() else self._fail(reason)

    @_apply.register
    def _hedge(self, message: HedgeDue) -> list[AttemptCommand]:
        allowed = self._rules.hedged and self._rules.idempotent and self._source is None
        opened = any(
            endpoint_call.state is EndpointCallState.OPEN
            for endpoint_call in self._endpoint_calls.values()
        )
        if not allowed or not opened or self._choosing or not self._may_retry():
            return []
        return self._choose()

    @_apply.register
    def _deadline(self, message: DeadlineReached) -> list[AttemptCommand]:
        return self._fail("deadline")

    @_apply.register
    def _caller_gone(self, message: CallerDisconnected) -> list[AttemptCommand]:
        self.ended = True
        return [*self._cancel_endpoint_calls(), *self._close_claim(self._claim_end())]

    def _fail(self, reason: str) -> list[AttemptCommand]:
        outcome = Outcome.UNKNOWN if self._may_have_run() else Outcome.NOT_RUN
        self.ended = True
        return [
            *self._cancel_endpoint_calls(),
            FailCaller(
                outcome=outcome,
                reason=reason,
                retry_after_seconds=self._retry_after_seconds,
            ),
            *self._close_claim(self._claim_end()),
        ]

    def _claim_end(self) -> ClaimEnd:
        return ClaimEnd.UNSETTLED if self._may_have_run() else ClaimEnd.RELEASED

    def _close_claim(self, end: ClaimEnd) -> list[AttemptCommand]:
        return [CloseClaim(end=end)] if self._claimed else []

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "call_id": self.call_id,
            "ended": self.ended,
            "pinned_version": self._pinned_version,
            "forwarded_bytes": self._forwarded_bytes,
            "endpoint_calls": [
                {
                    "agent_id": endpoint_call.target.agent_id,
                    "epoch": endpoint_call.target.epoch,
                    "state": endpoint_call.state.value,
                    "may_have_run": endpoint_call.may_have_run,
                    "next_sequence": endpoint_call.next_sequence,
                }
                for endpoint_call in self._endpoint_calls.values()
            ],
        }
