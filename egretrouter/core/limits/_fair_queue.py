"""Queue calls fairly between workspaces, within a length limit and deadlines."""

import heapq
import itertools
from collections.abc import Iterable

from egretrouter.core.fair_shares import AverageInterval, FairShares
from egretrouter.core.identifiers import CallId, WorkspaceId
from egretrouter.core.limits._messages import LimitReason


class QueuedCall:
    """Represent one waiting call in the heap of its workspace."""

    __slots__ = ("call_id", "deadline_at_seconds", "is_removed", "order", "workspace_id")

    def __init__(
        self,
        call_id: CallId,
        workspace_id: WorkspaceId,
        *,
        priority: int,
        number: int,
        deadline_at_seconds: float,
    ) -> None:
        """Set the order of the call: by priority, then by arrival."""
        self.call_id = call_id
        self.workspace_id = workspace_id
        self.order = (-priority, number)
        self.deadline_at_seconds = deadline_at_seconds
        self.is_removed = False

    def __lt__(self, other: "QueuedCall") -> bool:
        return self.order < other.order


class _Flow:
    __slots__ = ("calls", "waiting", "weight")

    def __init__(self) -> None:
        self.calls: list[QueuedCall] = []
        self.waiting = 0
        self.weight = 1


class FairQueue:
    """Serve workspaces by start-time fair queueing.

    Priorities order calls only within a workspace, so that no workspace can overtake others by
    giving its calls a high priority.
    """

    def __init__(self, *, limit_calls: int, initial_calls_per_second: float = 10.0) -> None:
        """Start empty; the initial rate only estimates waits until calls have been served."""
        self._limit_calls = limit_calls
        self._flows: dict[WorkspaceId, _Flow] = {}
        self._calls: dict[CallId, QueuedCall] = {}
        self._numbers = itertools.count()
        self._shares = FairShares()
        self._interval = AverageInterval(initial_seconds=1.0 / initial_calls_per_second)

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
        """Queue a call, or return the reason for refusing it and the time to retry after.

        If the queue is full and the workspace is below its fair share, the last call of the
        workspace with the largest share is dropped, and its id is returned.
        """
        wait = self.estimated_wait_seconds(workspace_id, weight=weight, priority=priority)
        slack = deadline_at_seconds - now_seconds
        if wait > slack:
            return LimitReason.DEADLINE, wait - slack
        dropped: CallId | None = None
        if len(self._calls) >= self._limit_calls:
            dropped = self._drop_call_for(workspace_id, weight)
            if dropped is None:
                return LimitReason.QUEUE_FULL, max(wait, self._interval.seconds)
        flow = self._flows.setdefault(workspace_id, _Flow())
        flow.weight = weight
        if not flow.waiting:
            self._shares.begin(workspace_id)
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
        """Remove and return the next call to serve."""
        return self.pop_from(self.waiting_workspaces(), now_seconds=now_seconds)

    def pop_from(self, workspaces: Iterable[WorkspaceId], *, now_seconds: float) -> CallId | None:
        """Remove and return the next call to serve among the given waiting workspaces."""
        workspace_id = min(workspaces, key=self._shares.waiting_virtual_time, default=None)
        if workspace_id is None:
            return None
        flow = self._flows[workspace_id]
        call = _pop_waiting_call(flow)
        del self._calls[call.call_id]
        flow.waiting -= 1
        self._shares.record_served(workspace_id, weight=flow.weight)
        self._interval.record(now_seconds=now_seconds)
        if not self._calls:
            self._interval.pause(now_seconds=now_seconds)
        self._remove_idle_flows()
        return call.call_id

    def waiting_workspaces(self) -> list[WorkspaceId]:
        """Return the workspaces with queued calls."""
        return [w for w, flow in self._flows.items() if flow.waiting]

    def remove(self, call_id: CallId) -> bool:
        """Remove a call, and return whether it was queued."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return False
        call.is_removed = True
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
        """Return the expected wait of a new call."""
        flow = self._flows.get(workspace_id)
        own_calls = (
            sum(1 for c in flow.calls if not c.is_removed and -c.order[0] >= priority)
            if flow
            else 0
        )
        rounds = (own_calls + 1) / weight
        calls_ahead = float(own_calls)
        for other_id, other in self._flows.items():
            if other_id != workspace_id:
                calls_ahead += min(other.waiting, rounds * other.weight)
        return calls_ahead * self._interval.seconds

    def snapshot(self) -> dict[str, object]:
        """Return the queue for the state dump."""
        return {
            "calls": len(self._calls),
            "interval_seconds": self._interval.seconds,
            "workspaces": {name: flow.waiting for name, flow in self._flows.items()},
        }

    def _drop_call_for(self, workspace_id: WorkspaceId, weight: int) -> CallId | None:
        flow = self._flows.get(workspace_id)
        new_share = ((flow.waiting if flow else 0) + 1) / weight
        largest = max(self._flows.values(), key=lambda f: f.waiting / f.weight)
        if largest.waiting / largest.weight <= new_share:
            return None
        last = max((c for c in largest.calls if not c.is_removed), key=lambda c: c.order)
        self.remove(last.call_id)
        return last.call_id

    def _remove_idle_flows(self) -> None:
        for workspace_id, flow in list(self._flows.items()):
            if not flow.waiting:
                del self._flows[workspace_id]
        self._shares.remove_idle(self._flows)


def _pop_waiting_call(flow: _Flow) -> QueuedCall:
    while True:
        call = heapq.heappop(flow.calls)
        if not call.is_removed:
            return call
