"""Admit calls within workspace limits, fairly and at the rate that the endpoints can serve."""

from functools import singledispatchmethod

from egretrouter.core.identifiers import CallId, WorkspaceId
from egretrouter.core.limits._concurrency import AdaptiveConcurrency
from egretrouter.core.limits._fair_queue import FairQueue
from egretrouter.core.limits._messages import (
    CallAnswerStarted,
    CallArrived,
    CallReleased,
    LimitReason,
    LimitsChanged,
    LimitsCommand,
    LimitsMessage,
    LimitsTick,
    LiveRoutersCounted,
    RefuseCall,
    StartCall,
)
from egretrouter.core.limits._workspaces import WorkspaceLimiter


class _AdmittedCall:
    __slots__ = ("running", "tokens", "workspace_id")

    def __init__(self, workspace_id: WorkspaceId, tokens: int) -> None:
        self.workspace_id = workspace_id
        self.tokens = tokens
        self.running = False


class Admission:
    """Decide for each call of one service whether it starts, waits or is refused."""

    def __init__(
        self, *, queue_limit_calls: int = 256, concurrency: AdaptiveConcurrency | None = None
    ) -> None:
        """Start without workspaces; all calls are refused until limits are set."""
        self._limiter = WorkspaceLimiter()
        self._queue = FairQueue(limit_calls=queue_limit_calls)
        self._concurrency = concurrency or AdaptiveConcurrency()
        self._calls: dict[CallId, _AdmittedCall] = {}
        self._running: dict[WorkspaceId, int] = {}

    @singledispatchmethod
    def handle(self, message: LimitsMessage, *, now_seconds: float) -> list[LimitsCommand]:
        """Apply one message and return the calls to start or refuse."""
        raise TypeError(f"{type(message).__name__} is not a message of Admission")

    @handle.register
    def _(self, message: LimitsChanged, *, now_seconds: float) -> list[LimitsCommand]:
        self._limiter.change_limits(message.workspaces, now_seconds=now_seconds)
        return []

    @handle.register
    def _(self, message: LiveRoutersCounted, *, now_seconds: float) -> list[LimitsCommand]:
        self._limiter.set_router_count(message.routers, now_seconds=now_seconds)
        return []

    @handle.register
    def _(self, message: CallArrived, *, now_seconds: float) -> list[LimitsCommand]:
        if message.call_id in self._calls:
            return []
        refusal = self._limiter.admit(
            message.workspace_id, tokens=message.tokens, now_seconds=now_seconds
        )
        if refusal is not None:
            return [_refusal(message.call_id, *refusal)]
        self._calls[message.call_id] = _AdmittedCall(message.workspace_id, message.tokens)
        # A call that leaves the queue just before its deadline would expire at the endpoint and
        # waste its work, so the likely wait there is subtracted. The limit of half the deadline
        # keeps a single slow period from refusing too many calls.
        result = self._queue.offer(
            message.call_id,
            message.workspace_id,
            weight=self._limiter.weight(message.workspace_id),
            priority=message.priority,
            deadline_at_seconds=now_seconds
            + message.deadline_seconds
            - min(self._concurrency.likely_wait_seconds, message.deadline_seconds / 2),
            now_seconds=now_seconds,
        )
        commands: list[LimitsCommand] = []
        if isinstance(result, tuple):
            self._release_call(message.call_id)
            commands.append(_refusal(message.call_id, *result))
        elif result is not None:
            self._release_call(result)
            wait = self._queue.estimated_wait_seconds(message.workspace_id, weight=1)
            commands.append(_refusal(result, LimitReason.QUEUE_FULL, wait))
        return commands + self._start_calls(now_seconds)

    @handle.register
    def _(self, message: CallAnswerStarted, *, now_seconds: float) -> list[LimitsCommand]:
        self._concurrency.record_first_token(
            wait_seconds=message.wait_seconds, now_seconds=now_seconds
        )
        return self._start_calls(now_seconds)

    @handle.register
    def _(self, message: CallReleased, *, now_seconds: float) -> list[LimitsCommand]:
        call = self._calls.get(message.call_id)
        if call is None:
            return []
        self._queue.remove(message.call_id)
        if call.running:
            self._concurrency.record_end(overloaded=message.overloaded, now_seconds=now_seconds)
        self._release_call(message.call_id, used_tokens=message.tokens if call.running else 0)
        return self._start_calls(now_seconds)

    @handle.register
    def _(self, message: LimitsTick, *, now_seconds: float) -> list[LimitsCommand]:
        return self._start_calls(now_seconds)

    def snapshot(self) -> dict[str, object]:
        """Return limits, queue and concurrency for the state dump."""
        return {
            "limits": self._limiter.snapshot(),
            "queue": self._queue.snapshot(),
            "concurrency": self._concurrency.snapshot(),
        }

    def _start_calls(self, now_seconds: float) -> list[LimitsCommand]:
        commands: list[LimitsCommand] = []
        for call_id in self._queue.expire(now_seconds=now_seconds):
            call = self._calls[call_id]
            wait = self._queue.estimated_wait_seconds(call.workspace_id, weight=1)
            self._release_call(call_id)
            commands.append(_refusal(call_id, LimitReason.DEADLINE, wait))
        while len(self._queue):
            next_id = self._queue.pop_from(self._workspaces_below_share(), now_seconds=now_seconds)
            urgent = next_id is not None
            if next_id is None and self._concurrency.has_capacity():
                next_id = self._queue.pop(now_seconds=now_seconds)
            if next_id is None:
                break
            call = self._calls[next_id]
            call.running = True
            self._running[call.workspace_id] = self._running.get(call.workspace_id, 0) + 1
            self._concurrency.record_start()
            commands.append(StartCall(call_id=next_id, urgent=urgent))
        return commands

    def _workspaces_below_share(self) -> list[WorkspaceId]:
        """Return the waiting workspaces whose running calls are below their fair share.

        Their calls may exceed the concurrency limit. On a small router a slot becomes free only
        every few hundred milliseconds, longer than such a call would wait on an idle router.
        The shares add up to the limit, so calls in flight stay below twice the limit.
        """
        waiting = self._queue.waiting_workspaces()
        active = set(waiting).union(self._running)
        if len(active) < 2:
            return []
        weights = sum(self._limiter.weight(w) for w in active)
        limit = self._concurrency.limit_calls
        return [
            w
            for w in waiting
            if self._running.get(w, 0) + 1 <= limit * self._limiter.weight(w) / weights
        ]

    def _release_call(self, call_id: CallId, *, used_tokens: int | None = 0) -> None:
        call = self._calls.pop(call_id)
        if call.running:
            self._running[call.workspace_id] -= 1
            if not self._running[call.workspace_id]:
                del self._running[call.workspace_id]
        used = call.tokens if used_tokens is None else used_tokens
        self._limiter.release(call.workspace_id, unused_tokens=call.tokens - used)


def _refusal(call_id: CallId, reason: LimitReason, retry_after_seconds: float) -> RefuseCall:
    return RefuseCall(call_id=call_id, reason=reason, retry_after_seconds=retry_after_seconds)
