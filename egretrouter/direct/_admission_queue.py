"""Queue calls that find no capacity, and place them by rank when capacity may be free."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Callable, Iterator

import msgspec

from egretrouter.core.direct import Choice, NoEndpointAvailable, service_seconds
from egretrouter.core.identifiers import CallId, ServiceName
from egretrouter.direct._active_call import ActiveCall
from egretrouter.direct._logs import log_event
from egretrouter.direct._metrics import CallMetrics
from egretrouter.direct._service_queue import (
    REFUSALS,
    CallNeeds,
    ChoiceResult,
    ChooseNow,
    ServiceQueue,
    WaitEnd,
    Waiter,
    workspace_of,
)

# Calls that one pass over the queues tries to place, so that it does not block the event loop.
MAX_CALLS_PER_PASS = 32
# Least time between two passes: the load reports of many endpoints arrive within milliseconds, and
# one pass serves for all of them.
PASS_INTERVAL_SECONDS = 0.01
# An ejection that ends or a report that becomes too old causes no event, so while calls wait there
# is a pass at least this often.
IDLE_PASS_SECONDS = 0.15
# Assumed time until capacity becomes free at a service without an engine's profile.
PLAIN_TURNOVER_SECONDS = 0.2
MIN_RETRY_SECONDS = 0.05
# Retry-After is longer by a random share of up to this, so that callers do not return all at once.
RETRY_SPREAD = 0.5
# Callers ignore a Retry-After beyond this share of the time that they have left.
RETRY_BUDGET_SHARE = 1 / 3


class AdmissionQueue:
    """Place the calls of one router in order of rank, as far as there is capacity."""

    def __init__(
        self,
        *,
        metrics: CallMetrics,
        rng: random.Random,
        adjust_waiting: Callable[[int, int], None],
    ) -> None:
        """Start empty; adjust_waiting gets a rank and the change in its number of calls."""
        self._metrics = metrics
        self._rng = rng
        self._adjust_waiting = adjust_waiting
        self._queues: dict[ServiceName, ServiceQueue] = {}
        self._numbers = itertools.count()
        self._length = 0
        self._no_pass = asyncio.Event()
        self._no_pass.set()
        self._timer: asyncio.TimerHandle | None = None
        self._last_pass_seconds = float("-inf")

    def __len__(self) -> int:
        return self._length

    def wake(self) -> None:
        """Schedule a pass over the queues, as capacity may have become free."""
        if self._length:
            self._schedule_pass(0.0)

    async def wait(
        self, call: ActiveCall, choose_now: ChooseNow, *, leave_by_seconds: float
    ) -> ChoiceResult:
        """Return the endpoint of a call, or why it got none by leave_by_seconds.

        leave_by_seconds is a time of the monotonic clock. A call is tried at once if it competes
        with no waiting call or has no time to wait.
        """
        queue = self._queues.setdefault(call.service.name, ServiceQueue())
        choice = await self._wait_in(queue, call, choose_now, leave_by_seconds)
        if isinstance(choice, Choice):
            queue.record_served(call)
        return choice

    async def _wait_in(
        self,
        queue: ServiceQueue,
        call: ActiveCall,
        choose_now: ChooseNow,
        leave_by_seconds: float,
    ) -> ChoiceResult:
        while not self._no_pass.is_set():
            # A call that the pass has placed may not be counted at its endpoint yet.
            await self._no_pass.wait()
        needs = queue.record_arrival(call)
        competitor = queue.find_competitor(needs)
        if competitor is None or leave_by_seconds <= time.monotonic():
            choice = choose_now(call)
            if not isinstance(choice, NoEndpointAvailable):
                return choice
            waiter = Waiter(call, needs, choose_now, refusal=choice)
        else:
            waiter = Waiter(call, needs, choose_now, refusal=competitor.refusal)
        reason = self._find_refusal_reason(queue, waiter, leave_by_seconds)
        if reason is not None:
            return self._refuse(queue, waiter, reason)
        with self._enqueue(queue, waiter, leave_by_seconds):
            choice = await waiter.future
        if isinstance(choice, NoEndpointAvailable):
            return self._refuse(queue, waiter, waiter.end)
        return choice

    def snapshot(self) -> dict[str, object]:
        """Return the waiting calls for the state dump."""
        return {service: queue.snapshot() for service, queue in self._queues.items()}

    def _find_refusal_reason(
        self, queue: ServiceQueue, waiter: Waiter, leave_by_seconds: float
    ) -> WaitEnd | None:
        """Return why a call is refused without waiting, or None if it may wait."""
        left = leave_by_seconds - time.monotonic()
        if left <= 0:
            return WaitEnd.EXPIRED
        if waiter.refusal.wait_seconds > left:
            return WaitEnd.UNAVAILABLE
        rank, workspace = waiter.needs.rank, workspace_of(waiter.call)
        ahead = queue.calls.count_before(rank=rank, workspace=workspace)
        if queue.estimate_seconds(rank, ahead) > left:
            return WaitEnd.TOO_MANY_AHEAD
        return None

    @contextlib.contextmanager
    def _enqueue(
        self, queue: ServiceQueue, waiter: Waiter, leave_by_seconds: float
    ) -> Iterator[None]:
        """Keep a call in its queue for the duration of the block."""
        started = time.monotonic()
        loop = asyncio.get_running_loop()
        leave = loop.call_later(leave_by_seconds - started, waiter.refuse, WaitEnd.EXPIRED)
        # Ids of callers are not unique: two calls in progress may have the same one.
        call_id = CallId(str(next(self._numbers)))
        queue.add(call_id, waiter, leave_by_seconds=leave_by_seconds)
        self._adjust(waiter, 1)
        self._schedule_pass(waiter.refusal.wait_seconds or IDLE_PASS_SECONDS)
        try:
            yield
        except asyncio.CancelledError:
            if waiter.end is WaitEnd.PLACED:
                # The capacity that was given to this call can go to another one.
                self.wake()
            waiter.end = WaitEnd.CALLER_LEFT
            raise
        finally:
            leave.cancel()
            queue.remove(call_id)
            self._adjust(waiter, -1)
            waiter.waited_seconds = time.monotonic() - started
            self._metrics.record_wait(waiter.end.value, waiter.waited_seconds)
            if waiter.end not in REFUSALS:
                _log_wait("call:waited", queue, waiter, waiter.end)

    def _adjust(self, waiter: Waiter, change: int) -> None:
        self._length += change
        rank = waiter.call.admission_rank
        self._adjust_waiting(rank, change)
        self._metrics.adjust_waiting(rank, change)

    def _schedule_pass(self, delay_seconds: float) -> None:
        loop = asyncio.get_running_loop()
        when = max(loop.time() + delay_seconds, self._last_pass_seconds + PASS_INTERVAL_SECONDS)
        if self._timer is not None:
            if self._timer.when() <= when:
                return
            self._timer.cancel()
        self._timer = loop.call_at(when, self._start_pass)

    def _start_pass(self) -> None:
        self._timer = None
        if not self._length:
            return
        self._last_pass_seconds = asyncio.get_running_loop().time()
        if not self._no_pass.is_set():
            self._schedule_pass(PASS_INTERVAL_SECONDS)
            return
        self._schedule_pass(IDLE_PASS_SECONDS)
        self._continue_pass(self._place_waiting())

    def _continue_pass(self, calls: Iterator[Waiter]) -> None:
        """Place the next call, and go on once that call has been counted at its endpoint."""
        self._no_pass.clear()
        placed = None
        try:
            placed = next(calls, None)
        finally:
            if placed is None:
                self._no_pass.set()
        if placed is not None:
            # The future of the placed call has scheduled the call's task before this, and the task
            # records its send without waiting.
            asyncio.get_running_loop().call_soon(self._continue_pass, calls)

    def _place_waiting(self) -> Iterator[Waiter]:
        """Go through the queues in order and yield each call that was placed."""
        queues = [queue for queue in self._queues.values() if queue.calls]
        for queue in queues:
            yield from self._place_waiting_in(queue, max(1, MAX_CALLS_PER_PASS // len(queues)))

    def _place_waiting_in(self, queue: ServiceQueue, limit_calls: int) -> Iterator[Waiter]:
        failed: set[CallNeeds] = set()
        tries = 0
        for waiter in queue.waiters_in_order():
            if tries >= limit_calls:
                if len(failed) < tries:
                    # Some calls were placed, so there may be capacity for the following ones too.
                    self._schedule_pass(PASS_INTERVAL_SECONDS)
                return
            if waiter.future.done() or waiter.needs in failed:
                continue
            tries += 1
            if self._try_to_place(queue, waiter):
                yield waiter
            else:
                failed.add(waiter.needs)

    def _try_to_place(self, queue: ServiceQueue, waiter: Waiter) -> bool:
        choice = waiter.choose_now(waiter.call)
        if isinstance(choice, NoEndpointAvailable):
            waiter.refusal = choice
            if choice.wait_seconds > 0:
                self._schedule_pass(choice.wait_seconds)
            return False
        waiter.resolve(choice, WaitEnd.PLACED if isinstance(choice, Choice) else WaitEnd.HELD)
        return True

    def _refuse(self, queue: ServiceQueue, waiter: Waiter, reason: WaitEnd) -> NoEndpointAvailable:
        self._metrics.record_queue_refusal(waiter.call.admission_rank, reason.value)
        _log_wait("call:no_capacity", queue, waiter, reason)
        return self.set_retry_after(waiter.call, waiter.refusal)

    def set_retry_after(
        self, call: ActiveCall, refusal: NoEndpointAvailable
    ) -> NoEndpointAvailable:
        """Return a refusal with the time until there is likely to be capacity for the call."""
        if not refusal.endpoints:
            # It already says when an endpoint that the call can use is expected.
            return refusal
        queue = self._queues.get(call.service.name) or ServiceQueue()
        retry_after = self._retry_after_seconds(queue, call)
        return msgspec.structs.replace(refusal, retry_after_seconds=retry_after)

    def count_before(self, call: ActiveCall) -> int | None:
        """Return how many calls a new call would wait behind; None if it competes with none."""
        queue = self._queues.get(call.service.name)
        return None if queue is None else queue.count_before(call)

    def _retry_after_seconds(self, queue: ServiceQueue, call: ActiveCall) -> float:
        """Return the expected seconds until a call of the rank is placed, plus a random part."""
        profile = call.service.engine
        turnover = PLAIN_TURNOVER_SECONDS if profile is None else service_seconds(profile)
        ahead = queue.calls.count_rank(call.admission_rank)
        expected = queue.estimate_seconds(call.admission_rank, ahead) + turnover
        longest = RETRY_BUDGET_SHARE * (call.deadline_seconds - time.monotonic())
        earliest = min(expected, longest / (1.0 + RETRY_SPREAD))
        return max(MIN_RETRY_SECONDS, earliest * (1.0 + RETRY_SPREAD * self._rng.random()))


def _log_wait(event: str, queue: ServiceQueue, waiter: Waiter, reason: WaitEnd) -> None:
    log_event(
        event,
        call=waiter.call.headers.call_id,
        service=waiter.call.service.name,
        rank=waiter.call.admission_rank,
        reason=reason.value,
        queue=len(queue.calls),
        waited_seconds=round(waiter.waited_seconds, 3),
    )
