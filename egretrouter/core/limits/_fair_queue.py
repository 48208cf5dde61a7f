"""Queue calls fairly between workspaces, within bounds and deadlines."""

import heapq
import itertools
from collections.abc import Iterable

from egretrouter.core.identifiers import CallId, WorkspaceId
from egretrouter.core.limits._messages import LimitReason

PACE_SHARE = 0.1


class QueuedCall:
    """Hold one waiting call."""

    __slots__ = ("call_id", "deadline_at_seconds", "gone", "order", "workspace_id")

    def __init__(
        self,
        call_id: CallId,
        workspace_id: WorkspaceId,
        *,
        priority: int,
        number: int,
        deadline_at_seconds: float,
    ) -> None:
        """Order calls by priority, then by arrival."""
        self.call_id = call_id
        self.workspace_id = workspace_id
        self.order = (-priority, number)
        self.deadline_at_seconds = deadline_at_seconds
        self.gone = False

    def __lt__(self, other: "QueuedCall") -> bool:
        return self.order < other.order


class _Flow:
    __slots__ = ("calls", "finish", "waiting", "weight")

    def __init__(self) -> None:
        self.calls: list[QueuedCall] = []
        self.waiting = 0
        self.finish = 0.0
        self.weight = 1


class FairQueue:
    """Serve workspaces by start-time fair queueing.

    Each workspace has a virtual time that advances by 1 / weight per call served; the lowest
    one is served next. An idle workspace gains no credit. Priorities order calls within a
    workspace only, so that no workspace can overtake the others by marking its calls urgent.
    """

    def __init__(self, *, limit_calls: int, initial_pace_per_second: float = 10.0) -> None:
        """Start empty; the pace of service is learnt."""
        self._limit_calls = limit_calls
        self._flows: dict[WorkspaceId, _Flow] = {}
        self._calls: dict[CallId, QueuedCall] = {}
        self._numbers = itertools.count()
        self._virtual_time = 0.0
        self._interval_seconds = 1.0 / initial_pace_per_second
        self._last_served_seconds: float | None = None

    def __len__(self) -> int:
        return len(self._calls)

    def offer(
        self,
        call_id: CallId,
        workspace_id: WorkspaceId,
        *,
        weight: int,
        priority: int,
        deadline_at_seconds: float,
        now_seconds: float,
    ) -> tuple[LimitReason, float] | CallId | None:
        """Queue a call, or return why not and when another try makes sense.

        A full queue makes room for a workspace below its fair share by dropping the last call
        of the one furthest above; the result is then the dropped call's id.
        """
        wait = self.estimated_wait_seconds(workspace_id, weight=weight, priority=priority)
        slack = deadline_at_seconds - now_seconds
        if wait > slack:
            return LimitReason.DEADLINE, wait - slack
        dropped: CallId | None = None
        if len(self._calls) >= self._limit_calls:
            dropped = self._drop_for(workspace_id, weight)
            if dropped is None:
                return LimitReason.QUEUE_FULL, max(wait, self._interval_seconds)
        flow = self._flows.setdefault(workspace_id, _Flow())
        flow.weight = weight
        if not flow.waiting:
            flow.finish = max(flow.finish, self._virtual_time)
        call = QueuedCall(
            call_id,
            workspace_id,
            priority=priority,
            number=next(self._numbers),
            deadline_at_seconds=deadline_at_seconds,
        )
        heapq.heappush(flow.calls, call)
        flow.waiting += 1
        self._calls[call_id] = call
        return dropped

    def pop(self, *, now_seconds: float) -> CallId | None:
        """Return the next call to serve."""
        return self.pop_from(self.waiting_workspaces(), now_seconds=now_seconds)

    def pop_from(self, workspaces: Iterable[WorkspaceId], *, now_seconds: float) -> CallId | None:
        """Return the next call among some waiting workspaces."""
        flow = min((self._flows[w] for w in workspaces), key=_finish, default=None)
        if flow is None:
            return None
        call = _pop(flow)
        del self._calls[call.call_id]
        flow.waiting -= 1
        self._virtual_time = max(self._virtual_time, flow.finish)
        flow.finish += 1.0 / flow.weight
        self._learn_pace(now_seconds)
        self._forget_idle()
        return call.call_id

    def waiting_workspaces(self) -> list[WorkspaceId]:
        """Return the workspaces with queued calls."""
        return [w for w, flow in self._flows.items() if flow.waiting]

    def remove(self, call_id: CallId) -> bool:
        """Remove a call whose caller left, and tell whether it was queued."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return False
        call.gone = True
        self._flows[call.workspace_id].waiting -= 1
        return True

    def expire(self, *, now_seconds: float) -> list[CallId]:
        """Remove and return the calls whose deadline has passed."""
        late = [c.call_id for c in self._calls.values() if c.deadline_at_seconds <= now_seconds]
        for call_id in late:
            self.remove(call_id)
        return late

    def estimated_wait_seconds(
        self, workspace_id: WorkspaceId, *, weight: int, priority: int = 0
    ) -> float:
        """Return how long a new call is likely to wait."""
        flow = self._flows.get(workspace_id)
        own = sum(1 for c in flow.calls if not c.gone and -c.order[0] >= priority) if flow else 0
        rounds = (own + 1) / weight
        ahead = float(own)
        for other_id, other in self._flows.items():
            if other_id != workspace_id:
                ahead += min(other.waiting, rounds * other.weight)
        return ahead * self._interval_seconds

    def snapshot(self) -> dict[str, object]:
        """Return the queue for the state dump."""
        return {
            "calls": len(self._calls),
            "interval_seconds": self._interval_seconds,
            "workspaces": {name: flow.waiting for name, flow in self._flows.items()},
        }

    def _drop_for(self, workspace_id: WorkspaceId, weight: int) -> CallId | None:
        flow = self._flows.get(workspace_id)
        after = ((flow.waiting if flow else 0) + 1) / weight
        largest = max(self._flows.values(), key=lambda f: f.waiting / f.weight)
        if largest.waiting / largest.weight <= after:
            return None
        last = max((c for c in largest.calls if not c.gone), key=lambda c: c.order)
        self.remove(last.call_id)
        return last.call_id

    def _learn_pace(self, now_seconds: float) -> None:
        last = self._last_served_seconds
        self._last_served_seconds = now_seconds
        if last is not None:
            self._interval_seconds += PACE_SHARE * (now_seconds - last - self._interval_seconds)
        if not self._calls:
            # The time until the next call arrives is demand, not pace.
            self._last_served_seconds = None

    def _forget_idle(self) -> None:
        for workspace_id, flow in list(self._flows.items()):
            if not flow.waiting and flow.finish <= self._virtual_time:
                del self._flows[workspace_id]


def _finish(flow: _Flow) -> float:
    return flow.finish


def _pop(flow: _Flow) -> QueuedCall:
    while True:
        call = heapq.heappop(flow.calls)
        if not call.gone:
            return call
