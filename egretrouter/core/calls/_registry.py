"""Decide which calls an agent runs and record their results."""

from functools import singledispatchmethod
from typing import Any

import msgspec

from egretrouter.core.calls._answers import (
    AnswerBody,
    AnswerFailure,
    AnswerHead,
    CallState,
    RefusalReason,
)
from egretrouter.core.calls._buffer import AnswerBuffer
from egretrouter.core.calls._registry_messages import (
    AdmitCall,
    AnswerProduced,
    CallFailed,
    CallFinished,
    CallStarted,
    CancelCall,
    ConfirmEpoch,
    Drain,
    Drained,
    EpochRead,
    RegistryCommand,
    RegistryLimits,
    RegistryMessage,
    ReplySettle,
    ResumeCall,
    RouterAttached,
    RouterLost,
    SendFrame,
    SettleCall,
    StartCall,
    StopCall,
    Tick,
    VersionsLoaded,
)
from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import CallId, Digest, Epoch, InstanceId


class _Call(msgspec.Struct, kw_only=True):
    """Record the state and answer of one call id."""

    state: CallState
    expires_at_seconds: float
    router_id: InstanceId | None = None
    idempotent: bool = False
    reason: RefusalReason | None = None
    buffer: AnswerBuffer | None = None
    ended_at_seconds: float = 0.0


class CallRegistry:
    """Admit each call id once per epoch and record it until no copy can be admitted.

    Every copy of a request to run a call carries the same expiry, a time of this process's
    monotonic clock. The id is recorded until the expiry and copies are refused after it. So no
    copy runs a second time, however late it arrives and however long this process was paused.
    """

    def __init__(
        self,
        *,
        epoch: Epoch,
        version_digests: frozenset[Digest],
        limits: RegistryLimits | None = None,
        now_seconds: float = 0.0,
    ) -> None:
        """Start without recorded calls, as every epoch does."""
        self.epoch = epoch
        self._version_digests = version_digests
        self._limits = limits or RegistryLimits()
        self._calls: dict[CallId, _Call] = {}
        # A dict, unlike a set, keeps the order of admission, so that commands are deterministic.
        self._running: dict[CallId, None] = {}
        self._kept_answers: dict[CallId, None] = {}
        self._kept_answer_bytes = 0
        self._lost_routers: dict[InstanceId, float] = {}
        self._draining = False
        self._epoch_confirmed = True
        self._pauses = 0
        # Unrecorded ids that expire up to this time are refused: one of them did not fit.
        self._refuse_until_seconds = float("-inf")
        self._last_seconds = now_seconds

    @property
    def in_progress(self) -> int:
        """Return the number of calls that are admitted or running."""
        return len(self._running)

    def handle(self, message: RegistryMessage, *, now_seconds: float) -> list[RegistryCommand]:
        """Apply one message."""
        commands: list[RegistryCommand] = []
        if now_seconds - self._last_seconds > self._limits.lease_seconds:
            # Another agent may have replaced this one. Links may have broken only because of the
            # pause, so their routers get the full time to reconnect.
            self._epoch_confirmed = False
            self._lost_routers = dict.fromkeys(self._lost_routers, now_seconds)
            self._pauses += 1
            commands.append(ConfirmEpoch(pause=self._pauses))
        self._last_seconds = now_seconds
        return commands + self._apply(message, now_seconds)

    @singledispatchmethod
    def _apply(self, message: object, now: float) -> list[RegistryCommand]:
        raise TypeError(f"call registry got unexpected message {message!r}")

    @_apply.register
    def _on_admit_call(self, message: AdmitCall, now: float) -> list[RegistryCommand]:
        if message.epoch != self.epoch:
            return self._refuse(message, RefusalReason.OTHER_EPOCH)
        recorded_call = self._calls.get(message.call_id)
        if recorded_call is not None:
            # A copy of an admitted call has no effect, because its frames are already being sent.
            return (
                self._refuse(message, recorded_call.reason)
                if recorded_call.reason is not None
                else []
            )
        if now >= message.expires_at_seconds:
            may_have_run = now > message.expires_at_seconds + self._limits.settle_seconds
            outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
            return self._refuse(message, RefusalReason.EXPIRED, outcome=outcome)
        if message.expires_at_seconds <= self._refuse_until_seconds:
            return self._refuse(message, RefusalReason.FULL)
        reason = self._refusal_reason(message)
        call = _Call(
            state=CallState.ADMITTED if reason is None else CallState.REFUSED,
            expires_at_seconds=message.expires_at_seconds,
            router_id=message.router_id,
            idempotent=message.idempotent,
            reason=reason,
        )
        # A refused id is recorded too, so that a copy does not run once capacity is available.
        if not self._store_call(message.call_id, call):
            return self._refuse(message, RefusalReason.FULL)
        if reason is not None:
            return self._refuse(message, reason)
        call.buffer = AnswerBuffer(message.call_id, limit_bytes=self._limits.call_buffer_bytes)
        self._running[message.call_id] = None
        return [StartCall(call_id=message.call_id)]

    def _refusal_reason(self, message: AdmitCall) -> RefusalReason | None:
        if not self._epoch_confirmed:
            return RefusalReason.EPOCH_UNCONFIRMED
        if self._draining:
            return RefusalReason.DRAINING
        if message.version_digest not in self._version_digests:
            return RefusalReason.OTHER_VERSION
        if len(self._running) >= self._limits.running_calls:
            return RefusalReason.FULL
        return None

    def _store_call(self, call_id: CallId, call: _Call) -> bool:
        if len(self._calls) >= self._limits.remembered_calls:
            self._refuse_until_seconds = max(self._refuse_until_seconds, call.expires_at_seconds)
            return False
        self._calls[call_id] = call
        return True

    @staticmethod
    def _refuse(
        message: AdmitCall, reason: RefusalReason, *, outcome: Outcome = Outcome.NOT_RUN
    ) -> list[RegistryCommand]:
        body = AnswerFailure(outcome=outcome, reason=reason.value)
        return [_frame(message, 0, body)]

    def _running_call(self, call_id: CallId) -> _Call | None:
        return self._calls[call_id] if call_id in self._running else None

    @_apply.register
    def _on_call_started(self, message: CallStarted, now: float) -> list[RegistryCommand]:
        call = self._running_call(message.call_id)
        if call is not None:
            call.state = CallState.RUNNING
        return []

    @_apply.register
    def _on_answer_produced(self, message: AnswerProduced, now: float) -> list[RegistryCommand]:
        call = self._running_call(message.call_id)
        if call is None:
            return []
        call.state = CallState.RUNNING
        return self._append_frame(message.call_id, call, message.body)

    def _append_frame(
        self, call_id: CallId, call: _Call, body: AnswerBody
    ) -> list[RegistryCommand]:
        if call.buffer is None:
            return []
        sequence = call.buffer.append(body)
        if call.router_id is None or call.router_id in self._lost_routers:
            return []
        return [SendFrame(call_id=call_id, router_id=call.router_id, sequence=sequence, body=body)]

    @_apply.register
    def _on_call_finished(self, message: CallFinished, now: float) -> list[RegistryCommand]:
        call = self._running_call(message.call_id)
        if call is None or call.buffer is None:
            return []
        commands = self._append_frame(message.call_id, call, call.buffer.checksum.end())
        return commands + self._end_call(message.call_id, call, CallState.FINISHED, now)

    @_apply.register
    def _on_call_failed(self, message: CallFailed, now: float) -> list[RegistryCommand]:
        call = self._running_call(message.call_id)
        if call is None:
            return []
        if call.state is CallState.ADMITTED or message.version_refused:
            call.reason = (
                RefusalReason.OTHER_VERSION
                if message.version_refused
                else RefusalReason.ENDPOINT_UNAVAILABLE
            )
            body = AnswerFailure(
                outcome=Outcome.NOT_RUN, reason=call.reason.value, detail=message.detail
            )
            state = CallState.REFUSED
        else:
            body = AnswerFailure(
                outcome=Outcome.UNKNOWN, reason="endpoint_failed", detail=message.detail
            )
            state = CallState.FAILED
        commands = self._append_frame(message.call_id, call, body)
        return commands + self._end_call(message.call_id, call, state, now)

    def _end_call(
        self, call_id: CallId, call: _Call, state: CallState, now: float
    ) -> list[RegistryCommand]:
        call.state = state
        call.ended_at_seconds = now
        self._running.pop(call_id, None)
        self._kept_answers[call_id] = None
        self._kept_answer_bytes += call.buffer.held_bytes if call.buffer else 0
        self._drop_answers(now)
        return self._report_if_drained()

    def _drop_answers(self, now: float) -> None:
        """Drop old answers; above the byte limit, drop those of idempotent calls first."""
        limits = self._limits
        for call_id in list(self._kept_answers):
            if now - self._calls[call_id].ended_at_seconds < limits.kept_answer_seconds:
                break
            self._drop_answer(call_id)
        if self._kept_answer_bytes <= limits.kept_answer_bytes:
            return
        for call_id in sorted(self._kept_answers, key=lambda key: not self._calls[key].idempotent):
            if self._kept_answer_bytes <= limits.kept_answer_bytes:
                return
            self._drop_answer(call_id)

    def _drop_answer(self, call_id: CallId) -> None:
        del self._kept_answers[call_id]
        buffer = self._calls[call_id].buffer
        if buffer is not None:
            self._kept_answer_bytes -= buffer.held_bytes
            buffer.clear()

    @_apply.register
    def _on_settle_call(self, message: SettleCall, now: float) -> list[RegistryCommand]:
        call_id = message.call_id
        if message.epoch != self.epoch:
            return self._settle_reply(call_id, CallState.OTHER_EPOCH)
        call = self._calls.get(call_id)
        if call is not None:
            answer = call.buffer.complete_answer() if call.buffer else None
            head, content = (call.state is CallState.FINISHED and answer) or (None, None)
            return self._settle_reply(call_id, call.state, head=head, content=content)
        if now > message.expires_at_seconds + self._limits.settle_seconds:
            return self._settle_reply(call_id, CallState.FORGOTTEN)
        self._store_tombstone(call_id, message.expires_at_seconds)
        return self._settle_reply(call_id, CallState.TOMBSTONED)

    def _store_tombstone(self, call_id: CallId, expires_at_seconds: float) -> None:
        call = _Call(
            state=CallState.TOMBSTONED,
            expires_at_seconds=expires_at_seconds,
            reason=RefusalReason.TOMBSTONED,
        )
        self._store_call(call_id, call)

    def _settle_reply(
        self,
        call_id: CallId,
        state: CallState,
        *,
        head: AnswerHead | None = None,
        content: bytes | None = None,
    ) -> list[RegistryCommand]:
        return [
            ReplySettle(call_id=call_id, state=state, epoch=self.epoch, head=head, content=content)
        ]

    @_apply.register
    def _on_resume_call(self, message: ResumeCall, now: float) -> list[RegistryCommand]:
        call = self._calls.get(message.call_id)
        frames = call.buffer.frames_from(message.next_sequence) if call and call.buffer else None
        if call is None or frames is None:
            return self._resume_failed(message, "frames_not_kept")
        if not frames and message.call_id not in self._running:
            return self._resume_failed(message, "answer_not_kept")
        call.router_id = message.router_id
        return [_frame(message, sequence, body) for sequence, body in frames]

    @staticmethod
    def _resume_failed(message: ResumeCall, reason: str) -> list[RegistryCommand]:
        body = AnswerFailure(outcome=Outcome.UNKNOWN, reason=reason)
        return [_frame(message, message.next_sequence, body)]

    @_apply.register
    def _on_cancel_call(self, message: CancelCall, now: float) -> list[RegistryCommand]:
        call = self._calls.get(message.call_id)
        if call is None:
            if now < message.expires_at_seconds:
                self._store_tombstone(message.call_id, message.expires_at_seconds)
            return []
        return self._stop_idempotent_call(message.call_id, call, now)

    def _stop_idempotent_call(
        self, call_id: CallId, call: _Call, now: float
    ) -> list[RegistryCommand]:
        # A non-idempotent call continues: stopping it would not undo it and would lose its answer.
        if not call.idempotent or call_id not in self._running:
            return []
        body = AnswerFailure(outcome=Outcome.UNKNOWN, reason="cancelled")
        return [
            StopCall(call_id=call_id),
            *self._append_frame(call_id, call, body),
            *self._end_call(call_id, call, CallState.FAILED, now),
        ]

    @_apply.register
    def _on_router_attached(self, message: RouterAttached, now: float) -> list[RegistryCommand]:
        self._lost_routers.pop(message.router_id, None)
        return []

    @_apply.register
    def _on_router_lost(self, message: RouterLost, now: float) -> list[RegistryCommand]:
        self._lost_routers.setdefault(message.router_id, now)
        return []

    @_apply.register
    def _on_versions_loaded(self, message: VersionsLoaded, now: float) -> list[RegistryCommand]:
        self._version_digests = message.version_digests
        return []

    @_apply.register
    def _on_epoch_read(self, message: EpochRead, now: float) -> list[RegistryCommand]:
        if message.pause == self._pauses:
            self._epoch_confirmed = message.epoch == self.epoch
        return []

    @_apply.register
    def _on_drain(self, message: Drain, now: float) -> list[RegistryCommand]:
        self._draining = True
        return self._report_if_drained()

    def _report_if_drained(self) -> list[RegistryCommand]:
        return [Drained()] if self._draining and not self._running else []

    @_apply.register
    def _on_tick(self, message: Tick, now: float) -> list[RegistryCommand]:
        commands: list[RegistryCommand] = []
        limit = self._limits.router_lost_seconds
        lost = {key for key, lost_at in self._lost_routers.items() if now - lost_at >= limit}
        for call_id in list(self._running):
            call = self._calls[call_id]
            if call.router_id in lost or now >= call.expires_at_seconds:
                commands += self._stop_idempotent_call(call_id, call, now)
        self._drop_answers(now)
        self._remove_expired_calls(now)
        self._remove_lost_routers(lost)
        return commands

    def _remove_expired_calls(self, now: float) -> None:
        oldest_expiry_seconds = now - self._limits.settle_seconds
        for call_id in [
            key
            for key, call in self._calls.items()
            if call.expires_at_seconds < oldest_expiry_seconds
            and key not in self._running
            and key not in self._kept_answers
        ]:
            del self._calls[call_id]

    def _remove_lost_routers(self, lost: set[InstanceId]) -> None:
        router_ids_in_use = {self._calls[call_id].router_id for call_id in self._running}
        for router_id in lost - router_ids_in_use:
            del self._lost_routers[router_id]

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "epoch": self.epoch,
            "epoch_confirmed": self._epoch_confirmed,
            "version_digests": sorted(self._version_digests),
            "draining": self._draining,
            "running": sorted(self._running),
            "remembered": len(self._calls),
            "kept_answers": len(self._kept_answers),
            "kept_answer_bytes": self._kept_answer_bytes,
            "lost_routers": sorted(self._lost_routers),
        }


def _frame(message: AdmitCall | ResumeCall, sequence: int, body: AnswerBody) -> SendFrame:
    return SendFrame(
        call_id=message.call_id, router_id=message.router_id, sequence=sequence, body=body
    )
