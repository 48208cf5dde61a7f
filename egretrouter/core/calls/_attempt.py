"""Decide how a router sends, retries, hedges and finishes one call."""

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
    RouterStopping,
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
    """Drive one call to a complete answer or an explicit error.

    A call that is not idempotent has at most one attempt that may have run. It is retried at
    another endpoint only after the agent reported that the previous attempt did not run and never
    will.
    """

    def __init__(self, call_id: CallId, *, rules: AttemptRules) -> None:
        """Create the attempt; start returns the first commands."""
        self.call_id = call_id
        self.ended = False
        self._rules = rules
        self._endpoint_calls: dict[int, EndpointCall] = {}
        self._choosing = False
        self._claimed = False
        self._source: EndpointCall | None = None
        self._pinned_version: Digest | None = None
        self._forwarded_head: AnswerHead | None = None
        self._forwarded_bytes = 0
        self._forwarded_prefix = xxhash.xxh3_64()
        self._retry_after_seconds = 0.0

    def start(self) -> list[AttemptCommand]:
        """Request the first endpoint."""
        return self._choose_endpoint()

    def target_call_id(self, attempt: int) -> CallId:
        """Return the call id of an attempt on the wire, which no other attempt has."""
        return CallId(f"{self.call_id}.{attempt}")

    def handle(self, message: AttemptMessage, *, now_seconds: float) -> list[AttemptCommand]:
        """Apply one message; an ended call ignores every message."""
        return [] if self.ended else self._apply(message)

    def has_closed(self, attempt: int) -> bool:
        """Return whether an attempt is closed and expects no further frames."""
        return self._endpoint_call(attempt, EndpointCallState.CLOSED) is not None

    def accept_data(self, attempt: int, sequence: int, data: bytes) -> bool:
        """Return whether the next data of the forwarded answer was accepted; if so, forward it.

        This is a fast path for the most common FrameArrived, which avoids the messages and
        commands of handle. Data that is not accepted changes no state and must be passed to
        handle.
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

    def _choose_endpoint(self) -> list[AttemptCommand]:
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
    def _on_endpoint_chosen(self, message: EndpointChosen) -> list[AttemptCommand]:
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
            return self._send_open(endpoint_call)
        self._claimed = True
        return [RecordTarget(attempt=endpoint_call.attempt, target=endpoint_call.target)]

    def _send_open(self, endpoint_call: EndpointCall) -> list[AttemptCommand]:
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
    def _on_no_endpoint(self, message: NoEndpoint) -> list[AttemptCommand]:
        if not self._choosing:
            return []
        self._choosing = False
        self._retry_after_seconds = max(self._retry_after_seconds, message.retry_after_seconds)
        return self._fail_if_idle("no_endpoint")

    @_apply.register
    def _on_target_recorded(self, message: TargetRecorded) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.RECORDING)
        return [] if endpoint_call is None else self._send_open(endpoint_call)

    @_apply.register
    def _on_target_denied(self, message: TargetDenied) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.RECORDING)
        if endpoint_call is None:
            return []
        endpoint_call.state = EndpointCallState.CLOSED
        if message.held_elsewhere:
            # Another call owns the claim now, so this call must not write to it.
            self.ended = True
            return [DeferToClaim()]
        return self._fail("claim_not_recorded")

    def _endpoint_call(self, attempt: int, *states: EndpointCallState) -> EndpointCall | None:
        endpoint_call = self._endpoint_calls.get(attempt)
        return (
            endpoint_call if endpoint_call is not None and endpoint_call.state in states else None
        )

    @_apply.register
    def _on_frame(self, message: FrameArrived) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.OPEN)
        if endpoint_call is None or message.sequence < endpoint_call.next_sequence:
            return []
        body = message.body
        if isinstance(body, AnswerFailure):
            return self._handle_failure(endpoint_call, body, message.sequence)
        if message.sequence > endpoint_call.next_sequence:
            return self._send_resume(endpoint_call)
        endpoint_call.next_sequence += 1
        commands = self._select_source(endpoint_call)
        if isinstance(body, AnswerEnd):
            return commands + self._finish_answer(endpoint_call, body)
        expected = AnswerHead if message.sequence == 0 else AnswerData
        if not isinstance(body, expected):
            return commands + self._fail("answer_malformed")
        offset = endpoint_call.checksum.total_bytes
        endpoint_call.checksum.add(body)
        if isinstance(body, AnswerHead):
            return commands + self._forward_head(body)
        return commands + self._forward_data(endpoint_call, body, offset)

    def _select_source(self, endpoint_call: EndpointCall) -> list[AttemptCommand]:
        """Select the first endpoint call that answers and cancel all others."""
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
        forwarded = self._forwarded_head
        if forwarded is None:
            self._forwarded_head = body
            return [ForwardToCaller(body=body)]
        is_continued = (body.status, body.content_type) == (
            forwarded.status,
            forwarded.content_type,
        )
        return [] if is_continued else self._fail("answers_differ")

    def _forward_data(
        self, endpoint_call: EndpointCall, body: AnswerData, offset: int
    ) -> list[AttemptCommand]:
        repeated_bytes = self._forwarded_bytes - offset
        data = body.data
        if repeated_bytes > 0:
            # Another replica sent the start of this answer, which must be identical here.
            endpoint_call.prefix.update(data[:repeated_bytes])
            data = data[repeated_bytes:]
            is_prefix_complete = len(body.data) >= repeated_bytes
            if (
                is_prefix_complete
                and endpoint_call.prefix.digest() != self._forwarded_prefix.digest()
            ):
                return self._fail("answers_differ")
        if not data:
            return []
        self._forwarded_bytes += len(data)
        if self._rules.repeatable_answer:
            self._forwarded_prefix.update(data)
        return [ForwardToCaller(body=body if data is body.data else AnswerData(data=data))]

    def _finish_answer(self, endpoint_call: EndpointCall, body: AnswerEnd) -> list[AttemptCommand]:
        if body != endpoint_call.checksum.end() or endpoint_call.next_sequence < 2:
            return self._fail("checksum_differs")
        if endpoint_call.checksum.total_bytes < self._forwarded_bytes:
            return self._fail("answers_differ")
        self.ended = True
        return [FinishCaller(), *self._close_claim(ClaimEnd.FINISHED)]

    def _handle_failure(
        self, endpoint_call: EndpointCall, body: AnswerFailure, sequence: int
    ) -> list[AttemptCommand]:
        endpoint_call.state = EndpointCallState.CLOSED
        self._retry_after_seconds = max(self._retry_after_seconds, body.retry_after_seconds)
        # An agent that sent a frame has run the call, even if it later reports not_run.
        if body.outcome is Outcome.NOT_RUN and sequence == 0:
            endpoint_call.may_have_run = False
        return self._retry_or_fail(body.reason)

    @_apply.register
    def _on_link_lost(self, message: LinkLost) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.OPEN)
        if endpoint_call is None:
            return []
        if self._rules.idempotent and self._source is None:
            endpoint_call.state = EndpointCallState.CLOSED
            return self._retry_or_fail("link_lost")
        return self._send_settle(endpoint_call)

    def _send_settle(self, endpoint_call: EndpointCall) -> list[AttemptCommand]:
        endpoint_call.settle_count += 1
        if endpoint_call.settle_count > self._rules.max_settles:
            endpoint_call.state = EndpointCallState.CLOSED
            return self._retry_or_fail("agent_unreachable")
        endpoint_call.state = EndpointCallState.SETTLING
        return [
            SendSettle(
                attempt=endpoint_call.attempt,
                target=endpoint_call.target,
                tries=endpoint_call.settle_count,
            )
        ]

    @_apply.register
    def _on_settle_failed(self, message: SettleFailed) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.SETTLING)
        return [] if endpoint_call is None else self._send_settle(endpoint_call)

    @_apply.register
    def _on_settle_answered(self, message: SettleAnswered) -> list[AttemptCommand]:
        endpoint_call = self._endpoint_call(message.attempt, EndpointCallState.SETTLING)
        if endpoint_call is None:
            return []
        endpoint_call.settle_count = 0
        if message.state in IN_PROGRESS_STATES or message.state is CallState.FINISHED:
            return self._send_resume(endpoint_call)
        endpoint_call.state = EndpointCallState.CLOSED
        if message.state in NEVER_RUN_STATES and endpoint_call.next_sequence == 0:
            endpoint_call.may_have_run = False
        return self._retry_or_fail(message.state.value)

    def _send_resume(self, endpoint_call: EndpointCall) -> list[AttemptCommand]:
        endpoint_call.resume_count += 1
        if endpoint_call.resume_count > self._rules.max_resumes:
            endpoint_call.state = EndpointCallState.CLOSED
            return self._retry_or_fail("frames_lost")
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

    def _has_pending_work(self) -> bool:
        return self._choosing or any(
            endpoint_call.state is not EndpointCallState.CLOSED
            for endpoint_call in self._endpoint_calls.values()
        )

    def _retry_or_fail(self, reason: str) -> list[AttemptCommand]:
        if self._has_pending_work():
            return []
        return self._choose_endpoint() if self._may_retry() else self._fail(reason)

    def _fail_if_idle(self, reason: str) -> list[AttemptCommand]:
        return [] if self._has_pending_work() else self._fail(reason)

    @_apply.register
    def _on_hedge_due(self, message: HedgeDue) -> list[AttemptCommand]:
        is_allowed = self._rules.hedged and self._rules.idempotent and self._source is None
        has_open_call = any(
            endpoint_call.state is EndpointCallState.OPEN
            for endpoint_call in self._endpoint_calls.values()
        )
        if not is_allowed or not has_open_call or self._choosing or not self._may_retry():
            return []
        return self._choose_endpoint()

    @_apply.register
    def _on_deadline(self, message: DeadlineReached) -> list[AttemptCommand]:
        return self._fail("deadline")

    @_apply.register
    def _on_router_stopping(self, message: RouterStopping) -> list[AttemptCommand]:
        return self._fail("router_stopping")

    @_apply.register
    def _on_caller_disconnected(self, message: CallerDisconnected) -> list[AttemptCommand]:
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
