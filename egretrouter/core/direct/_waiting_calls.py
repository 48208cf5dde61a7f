"""Order the calls that wait for capacity by rank, workspace and time left."""

import bisect
import heapq
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from egretrouter.core.fair_shares import FairShares
from egretrouter.core.identifiers import CallId, WorkspaceId


class _WaitingCall(msgspec.Struct, frozen=True, kw_only=True, order=True):
    leave_by_seconds: float
    number: int
    """Position in the order of arrival."""
    call_id: CallId
    rank: int
    workspace: WorkspaceId


class _RankCalls:
    """Order the waiting calls of one rank."""

    def __init__(self) -> None:
        self.calls: dict[WorkspaceId, list[_WaitingCall]] = {}
        """The calls of each workspace, the one with the least time left first."""
        self._shares = FairShares()

    def __len__(self) -> int:
        return sum(map(len, self.calls.values()))

    def add(self, call: _WaitingCall) -> None:
        if call.workspace not in self.calls:
            self._shares.begin(call.workspace)
        bisect.insort(self.calls.setdefault(call.workspace, []), call)

    def remove(self, call: _WaitingCall, *, served: bool) -> None:
        calls = self.calls[call.workspace]
        del calls[bisect.bisect_left(calls, call)]
        if served:
            self._shares.record_served(call.workspace)
        if not calls:
            del self.calls[call.workspace]
        self._shares.remove_idle(self.calls)

    def in_order(self) -> Iterator[CallId]:
        """Return the calls in the order in which fair queueing serves them."""
        heads = [
            (self._shares.waiting_virtual_time(workspace), calls[0].leave_by_seconds, workspace, 0)
            for workspace, calls in self.calls.items()
        ]
        heapq.heapify(heads)
        while heads:
            time, _, workspace, position = heapq.heappop(heads)
            calls = self.calls[workspace]
            yield calls[position].call_id
            if position + 1 < len(calls):
                left = calls[position + 1].leave_by_seconds
                heapq.heappush(heads, (time + 1.0, left, workspace, position + 1))

    def count_before(self, workspace: WorkspaceId) -> int:
        """Return how many calls in_order would return before a new one of a workspace."""
        own_time = self._shares.virtual_time(workspace) + len(self.calls.get(workspace, ()))
        total = 0
        for other, calls in self.calls.items():
            turns = own_time - self._shares.waiting_virtual_time(other) + 1.0
            total += len(calls) if other == workspace else min(len(calls), max(0, int(turns)))
        return total

    def find_last_of_largest(self) -> _WaitingCall:
        """Return the latest call of the workspace with the most waiting calls."""
        latest = [max(calls, key=_arrival_number) for calls in self.calls.values()]
        return max(latest, key=lambda c: (len(self.calls[c.workspace]), c.number))


class WaitingCalls:
    """Hold the calls of a service that wait at one router, up to a limit.

    Calls are ordered by rank, 0 first; within a rank by the fair share of their workspaces; and
    within a workspace by the time they have left.
    """

    def __init__(self, *, limit_calls: int) -> None:
        self._limit_calls = limit_calls
        self._calls: dict[CallId, _WaitingCall] = {}
        self._ranks: defaultdict[int, _RankCalls] = defaultdict(_RankCalls)
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._calls)

    def add(
        self,
        call_id: CallId,
        *,
        rank: int,
        workspace: WorkspaceId,
        leave_by_seconds: float,
    ) -> CallId | None:
        """Add a call; if the queue was full, drop a call, possibly this one, and return its id.

        Dropped is the latest call of the workspace with the most calls of the least urgent rank.
        """
        call = _WaitingCall(
            leave_by_seconds=leave_by_seconds,
            number=self._next_number,
            call_id=call_id,
            rank=rank,
            workspace=workspace,
        )
        self._next_number += 1
        self._calls[call_id] = call
        self._ranks[rank].add(call)
        if len(self._calls) <= self._limit_calls:
            return None
        least_urgent = max(rank for rank, calls in self._ranks.items() if calls.calls)
        dropped = self._ranks[least_urgent].find_last_of_largest()
        self.remove(dropped.call_id, served=False)
        return dropped.call_id

    def remove(self, call_id: CallId, *, served: bool) -> bool:
        """Remove a call, and return whether it was waiting."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return False
        self._ranks[call.rank].remove(call, served=served)
        return True

    def in_order(self) -> Iterator[CallId]:
        """Return the calls in the order in which they get capacity.

        The queue must not change meanwhile.
        """
        for rank in sorted(self._ranks):
            yield from self._ranks[rank].in_order()

    def count_ahead(self, rank: int) -> int:
        """Return how many calls of the rank and of more urgent ones wait."""
        return sum(len(calls) for other, calls in self._ranks.items() if other <= rank)

    def count_rank(self, rank: int) -> int:
        """Return how many calls of a rank wait."""
        return len(self._ranks[rank])

    def count_before(self, *, rank: int, workspace: WorkspaceId) -> int:
        """Return how many waiting calls of a rank are served before a new one of a workspace."""
        return self._ranks[rank].count_before(workspace)

    def count_by_rank(self) -> dict[int, int]:
        """Return how many calls of each rank wait."""
        return {rank: len(calls) for rank, calls in self._ranks.items() if calls.calls}


def _arrival_number(call: _WaitingCall) -> int:
    return call.number
