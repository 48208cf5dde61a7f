"""Hold the calls of one router that wait for a service, with what they need and their futures."""

import asyncio
import time
from collections.abc import Callable, Iterator
from enum import Enum

import msgspec

from egretrouter.core.direct import Choice, NoEndpointAvailable, ServedShares, WaitingCalls
from egretrouter.core.fair_shares import AverageInterval
from egretrouter.core.identifiers import CallId, EndpointId, ModelName, RegionId, WorkspaceId
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._part_guard import PartHeld

# Rank in the queue of a call that is served before all others because its own rank starves.
STARVED_RANK = -1
# Calls per service. It bounds memory and the time of a pass, and lies far above the number of calls
# that a router gets within the longest wait.
MAX_WAITING_CALLS = 256

ChoiceResult = Choice | NoEndpointAvailable | PartHeld
ChooseNow = Callable[[ActiveCall], ChoiceResult]


class WaitEnd(Enum):
    """List how a call's request for an endpoint can end."""

    PLACED = "placed"
    HELD = "held"
    """A part of the prompt has become known to crash endpoints."""
    CALLER_LEFT = "caller_left"
    """The caller left, or the call's time was up."""
    EXPIRED = "expired"
    """There was no capacity while the call could wait."""
    TOO_MANY_AHEAD = "too_many_ahead"
    """The calls ahead would probably have taken the time that the call could wait."""
    UNAVAILABLE = "unavailable"
    """No endpoint takes calls within the time that the call could wait."""
    QUEUE_FULL = "queue_full"


REFUSALS = frozenset(
    {WaitEnd.EXPIRED, WaitEnd.TOO_MANY_AHEAD, WaitEnd.UNAVAILABLE, WaitEnd.QUEUE_FULL}
)


class CallNeeds(msgspec.Struct, frozen=True, kw_only=True):
    """Group calls of a service for which placement gives the same result at any moment.

    If one call of a group finds no endpoint in a pass over the queue, the others need not be tried.
    """

    rank: int
    """The rank of the call, or STARVED_RANK."""
    model: ModelName | None
    exact_version: int | None
    latency_target_seconds: float
    late: bool
    tried: frozenset[EndpointId]
    route_regions: tuple[RegionId, ...]
    workspace_regions: tuple[RegionId, ...]

    @classmethod
    def of(cls, call: ActiveCall, *, rank: int) -> "CallNeeds":
        """Return the needs of a call that waits with a rank."""
        return cls(
            rank=rank,
            model=call.headers.model,
            exact_version=call.version if call.progress.answer_started else None,
            latency_target_seconds=call.route.latency_target_seconds,
            late=call.late,
            tried=frozenset(call.tried),
            route_regions=call.route.home_regions,
            workspace_regions=call.workspace.home_regions if call.workspace else (),
        )

    def competes_with(self, other: "CallNeeds") -> bool:
        """Return whether a call with these needs has to wait behind one with the other needs."""
        return (
            other.rank <= self.rank
            and other.model == self.model
            and other.route_regions == self.route_regions
            and other.workspace_regions == self.workspace_regions
        )


class Waiter:
    """Hold one waiting call and its future."""

    def __init__(
        self,
        call: ActiveCall,
        needs: CallNeeds,
        choose_now: ChooseNow,
        *,
        refusal: NoEndpointAvailable,
    ) -> None:
        self.call = call
        self.needs = needs
        self.choose_now = choose_now
        self.refusal = refusal
        """Why the call, or the one that it waits behind, last found no endpoint."""
        self.end = WaitEnd.CALLER_LEFT
        self.waited_seconds = 0.0
        self.future: asyncio.Future[ChoiceResult] = asyncio.get_running_loop().create_future()

    def resolve(self, choice: ChoiceResult, end: WaitEnd) -> None:
        """End the wait, unless it has ended."""
        if not self.future.done():
            self.end = end
            self.future.set_result(choice)

    def refuse(self, end: WaitEnd) -> None:
        """End the wait without an endpoint, unless it has ended."""
        self.resolve(self.refusal, end)


class ServiceQueue:
    """Hold the calls that wait for one service."""

    def __init__(self) -> None:
        self.calls = WaitingCalls(limit_calls=MAX_WAITING_CALLS)
        self.waiters: dict[CallId, Waiter] = {}
        self._intervals: dict[int, AverageInterval] = {}
        """The time between placements of the calls of each rank."""
        self._served = ServedShares()

    def record_arrival(self, call: ActiveCall) -> CallNeeds:
        """Record a new call, and return its needs with the rank that it gets in the queue."""
        if call.late:
            # What a rank is promised concerns answers that can still start in time.
            return CallNeeds.of(call, rank=call.admission_rank)
        self._served.record_offered(call.rank)
        # One call at a time, since the rank still counts as starved until that call is served.
        starved = not self.calls.count_rank(STARVED_RANK) and self._served.is_starved(call.rank)
        return CallNeeds.of(call, rank=STARVED_RANK if starved else call.rank)

    def count_before(self, call: ActiveCall) -> int | None:
        """Return how many calls a new call would wait behind; None if it competes with none."""
        rank = call.admission_rank
        if self.find_competitor(CallNeeds.of(call, rank=rank)) is None:
            return None
        same_rank = self.calls.count_before(rank=rank, workspace=workspace_of(call))
        return self.calls.count_ahead(rank - 1) + same_rank

    def record_served(self, call: ActiveCall) -> None:
        """Record that a call, which may have waited, gets an endpoint."""
        if not call.late:
            self._served.record_served(call.rank)

    def add(self, call_id: CallId, waiter: Waiter, *, leave_by_seconds: float) -> None:
        """Add a call; if the queue is full, refuse one."""
        rank = waiter.needs.rank
        if not self.calls.count_rank(rank):
            interval = self._intervals.setdefault(rank, AverageInterval(initial_seconds=0.0))
            interval.begin(now_seconds=time.monotonic())
        self.waiters[call_id] = waiter
        dropped = self.calls.add(
            call_id,
            rank=rank,
            workspace=workspace_of(waiter.call),
            leave_by_seconds=leave_by_seconds,
        )
        if dropped is not None:
            self.waiters[dropped].refuse(WaitEnd.QUEUE_FULL)

    def remove(self, call_id: CallId) -> None:
        """Remove a call whose wait has ended."""
        waiter, now = self.waiters.pop(call_id), time.monotonic()
        rank, placed = waiter.needs.rank, waiter.end is WaitEnd.PLACED
        self.calls.remove(call_id, served=placed)
        if placed:
            self._intervals[rank].record(now_seconds=now)
        if not self.calls.count_rank(rank):
            self._intervals[rank].pause(now_seconds=now)

    def estimate_seconds(self, rank: int, calls_of_rank: int) -> float:
        """Return the expected seconds until all more urgent calls and some of a rank are placed."""
        counts = {r: n for r, n in self.calls.count_by_rank().items() if r < rank}
        now = time.monotonic()
        return sum(
            self._intervals[r].estimate_seconds(n, now_seconds=now)
            for r, n in {**counts, rank: calls_of_rank}.items()
            if n
        )

    def snapshot(self) -> dict[str, object]:
        """Return the waiting calls and the intervals for the state dump."""
        return {
            "calls_by_rank": self.calls.count_by_rank(),
            "interval_seconds": {r: round(i.seconds, 3) for r, i in self._intervals.items()},
        }

    def find_competitor(self, needs: CallNeeds) -> Waiter | None:
        """Return a waiting call that a call with the given needs has to wait behind, or None."""
        waiting = self.waiters.values()
        return next((w for w in waiting if needs.competes_with(w.needs)), None)

    def waiters_in_order(self) -> Iterator[Waiter]:
        """Return the calls that wait now in the order in which they get capacity."""
        return iter([self.waiters[call_id] for call_id in self.calls.in_order()])


def workspace_of(call: ActiveCall) -> WorkspaceId:
    """Return the workspace that a call counts for."""
    return call.workspace.workspace_id if call.workspace is not None else WorkspaceId("")
