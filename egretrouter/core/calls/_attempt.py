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
    CallerGone,
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
from egretrouter.core.calls._lane import Lane, LaneState
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
        self._lanes: dict[int, Lane] = {}
        self._choosing = False
        self._claimed = False
        self._source: Lane | None = None
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
        return self._lane(attempt, LaneState.CLOSED) is not None

    def accepts_data(self, attempt: int, sequence: int, data: bytes) -> bool:
        """Take the next data of the answer that is being forwarded; pass it on if accepted.

        Does what handle does with FrameArrived in the commonest case, without its messages and
        commands. Data that is not accepted changes nothing and must be given to handle.
        """
        lane = self._source
        if (
            lane is None
            or self.ended
            or lane.attempt != attempt
            or lane.state is not LaneState.OPEN
            or lane.next_sequence != sequence
            or not sequence
            or not data
            or lane.checksum.total_bytes != self._forwarded_bytes
            or self._rules.repeatable_answer
        ):
            return False
        lane.next_sequence = sequence + 1
        lane.checksum.add_data(data)
        self._forwarded_bytes += len(data)
        return True

    @singledispatchmethod
    def _apply(self, message: object) -> list[AttemptCommand]:
        raise TypeError(f"call attempt got unexpected message {message!r}")

    def _choose(self) -> list[AttemptCommand]:
        self._choosing = True
        lanes = self._lanes.values()
        return [
            ChooseEndpoint(
                attempt=len(self._lanes) + 1,
                avoid_agents=frozenset(lane.target.agent_id for lane in lanes),
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
        lane = Lane(
            attempt=len(self._lanes) + 1,
            target=message.target,
            version_digest=message.version_digest,
            checksum=AnswerChecksum(message.target.call_id),
        )
        self._lanes[lane.attempt] = lane
        if not self._rules.keyed:
            return self._open(lane)
        self._claimed = True
        return [RecordTarget(attempt=lane.attempt, target=lane.target)]

    def _open(self, lane: Lane) -> list[AttemptCommand]:
        lane.state = LaneState.OPEN
        lane.may_have_run = True
        return [
            SendOpen(attempt=lane.attempt, target=lane.target, version_digest=lane.version_digest)
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
        lane = self._lane(message.attempt, LaneState.RECORDING)
        return [] if lane is None else self._open(lane)

    @_apply.register
    def _denied(self, message: TargetDenied) -> list[AttemptCommand]:
        lane = self._lane(message.attempt, LaneState.RECORDING)
        if lane is None:
            return []
        lane.state = LaneState.CLOSED
        if message.held_elsewhere:
            # The claim belongs to another call now, so this one must not write to it.
            self.ended = True
            return [DeferToClaim()]
        return self._fail("claim_not_recorded")

    def _lane(self, attempt: int, *states: LaneState) -> Lane | None:
        lane = self._lanes.get(attempt)
        return lane if lane is not None and lane.state in states else None

    @_apply.register
    def _frame(self, message: FrameArrived) -> list[AttemptCommand]:
        lane = self._lane(message.attempt, LaneState.OPEN)
        if lane is None or message.sequence < lane.next_sequence:
            return []
        body = message.body
        if isinstance(body, AnswerFailure):
            return self._failure(lane, body, message.sequence)
        if message.sequence > lane.next_sequence:
            return self._resume(lane)
        lane.next_sequence += 1
        commands = self._take_source(lane)
        if isinstance(body, AnswerEnd):
            return commands + self._end(lane, body)
        expected = AnswerHead if message.sequence == 0 else AnswerData
        if not isinstance(body, expected):
            return commands + self._fail("answer_malformed")
        offset = lane.checksum.total_bytes
        lane.checksum.add(body)
        if isinstance(body, AnswerHead):
            return commands + self._forward_head(body)
        return commands + self._forward_data(lane, body, offset)

    def _take_source(self, lane: Lane) -> list[AttemptCommand]:
        """Make the first lane that answers the only one."""
        if self._source is lane:
            return []
        self._source = lane
        self._pinned_version = lane.version_digest
        self._choosing = False
        return self._cancel_lanes(keep=lane)

    def _cancel_lanes(self, *, keep: Lane | None = None) -> list[AttemptCommand]:
        commands: list[AttemptCommand] = []
        for lane in self._lanes.values():
            if lane is keep or lane.state is LaneState.CLOSED:
                continue
            if lane.may_have_run:
                commands.append(SendCancel(attempt=lane.attempt, target=lane.target))
            lane.state = LaneState.CLOSED
        return commands

    def _forward_head(self, body: AnswerHead) -> list[AttemptCommand]:
        if self._forwarded_status is None:
            self._forwarded_status = body.status
            return [ForwardToCaller(body=body)]
        return [] if body.status == self._forwarded_status else self._fail("answers_differ")

    def _forward_data(self, lane: Lane, body: AnswerData, offset: int) -> list[AttemptCommand]:
        seen = self._forwarded_bytes - offset
        data = body.data
        if seen > 0:
            # The answer was begun by another replica: its start must repeat to the byte.
            lane.prefix.update(data[:seen])
            data = data[seen:]
            complete = len(body.data) >= seen
            if complete and lane.prefix.digest() != self._forwarded_prefix.digest():
                return self._fail("answers_differ")
        if not data:
            return []
        self._forwarded_bytes += len(data)
        if self._rules.repeatable_answer:
            self._forwarded_prefix.update(data)
        return [ForwardToCaller(body=body if data is body.data else AnswerData(data=data))]

    def _end(self, lane: Lane, body: AnswerEnd) -> list[AttemptCommand]:
        if body != lane.checksum.end() or lane.next_sequence < 2:
            return self._fail("checksum_differs")
        if lane.checksum.total_bytes < self._forwarded_bytes:
            return self._fail("answers_differ")
        self.ended = True
        return [FinishCaller(), *self._close_claim(ClaimEnd.FINISHED)]

    def _failure(self, lane: Lane, body: AnswerFailure, sequence: int) -> list[AttemptCommand]:
        lane.state = LaneState.CLOSED
        self._retry_after_seconds = max(self._retry_after_seconds, body.retry_after_seconds)
        # An agent that sent a frame ran the call, whatever it says later.
        if body.outcome is Outcome.NOT_RUN and sequence == 0:
            lane.may_have_run = False
        return self._try_elsewhere(body.reason)

    @_apply.register
    def _link_lost(self, message: LinkLost) -> list[AttemptCommand]:
        lane = self._lane(message.attempt, LaneState.OPEN)
        if lane is None:
            return []
        if self._rules.idempotent and self._source is None:
            lane.state = LaneState.CLOSED
            return self._try_elsewhere("link_lost")
        return self._settle(lane)

    def _settle(self, lane: Lane) -> list[AttemptCommand]:
        lane.settles += 1
        if lane.settles > self._rules.max_settles:
            lane.state = LaneState.CLOSED
            return self._try_elsewhere("agent_unreachable")
        lane.state = LaneState.SETTLING
        return [SendSettle(attempt=lane.attempt, target=lane.target, tries=lane.settles)]

    @_apply.register
    def _settle_failed(self, message: SettleFailed) -> list[AttemptCommand]:
        lane = self._lane(message.attempt, LaneState.SETTLING)
        return [] if lane is None else self._settle(lane)

    @_apply.register
    def _settled(self, message: SettleAnswered) -> list[AttemptCommand]:
        lane = self._lane(message.attempt, LaneState.SETTLING)
        if lane is None:
            return []
        lane.settles = 0
        if message.state in IN_PROGRESS_STATES or message.state is CallState.FINISHED:
            return self._resume(lane)
        lane.state = LaneState.CLOSED
        if message.state in NEVER_RUN_STATES and lane.next_sequence == 0:
            lane.may_have_run = False
        return self._try_elsewhere(message.state.value)

    def _resume(self, lane: Lane) -> list[AttemptCommand]:
        lane.resumes += 1
        if lane.resumes > self._rules.max_resumes:
            lane.state = LaneState.CLOSED
            return self._try_elsewhere("frames_lost")
        lane.state = LaneState.OPEN
        return [
            SendResume(attempt=lane.attempt, target=lane.target, next_sequence=lane.next_sequence)
        ]

    def _may_retry(self) -> bool:
        if len(self._lanes) >= self._rules.max_attempts:
            return False
        if self._source is not None and not self._rules.repeatable_answer:
            return False
        return self._rules.idempotent or not self._may_have_run()

    def _may_have_run(self) -> bool:
        return any(lane.may_have_run for lane in self._lanes.values())

    def _busy(self) -> bool:
        return self._choosing or any(
            lane.state is not LaneState.CLOSED for lane in self._lanes.values()
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
        opened = any(lane.state is LaneState.OPEN for lane in self._lanes.values())
        if not allowed or not opened or self._choosing or not self._may_retry():
            return []
        return self._choose()

    @_apply.register
    def _deadline(self, message: DeadlineReached) -> list[AttemptCommand]:
        return self._fail("deadline")

    @_apply.register
    def _caller_gone(self, message: CallerGone) -> list[AttemptCommand]:
        self.ended = True
        return [*self._cancel_lanes(), *self._close_claim(self._claim_end())]

    def _fail(self, reason: str) -> list[AttemptCommand]:
        outcome = Outcome.UNKNOWN if self._may_have_run() else Outcome.NOT_RUN
        self.ended = True
        return [
            *self._cancel_lanes(),
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
            "lanes": [
                {
                    "agent_id": lane.target.agent_id,
                    "epoch": lane.target.epoch,
                    "state": lane.state.value,
                    "may_have_run": lane.may_have_run,
                    "next_sequence": lane.next_sequence,
                }
                for lane in self._lanes.values()
            ],
        }
