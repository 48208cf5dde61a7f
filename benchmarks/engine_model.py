"""Model an engine's prefill queue, decode slots and prefix cache as discrete events."""

import heapq
import itertools
from collections import OrderedDict, deque
from collections.abc import Callable

TOKEN_SECONDS = 0.12 / 360
DECODE_STEP_SECONDS = 0.04
SLOTS = 32
BLOCK_TOKENS = 32


class Clock:
    """Run scheduled callbacks in virtual time."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now_seconds = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        entry = (self.now_seconds + delay_seconds, next(self._sequence), action)
        heapq.heappush(self._events, entry)

    def run(self, until_seconds: float) -> None:
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= until_seconds:
            self.now_seconds, _, action = heapq.heappop(self._events)
            action()


class EngineCall:
    """Describe a call that an engine runs, and its callbacks."""

    __slots__ = ("blocks", "cached_tokens", "on_end", "on_first", "output", "prompt", "urgent")

    def __init__(
        self,
        *,
        blocks: tuple[int, ...],
        prompt: int,
        output: int,
        on_first: Callable[[int], None],
        on_end: Callable[[], None],
        urgent: bool = False,
    ) -> None:
        """Store the call; on_first gets the number of cached prompt tokens."""
        self.blocks = blocks
        self.prompt = prompt
        self.output = output
        self.on_first = on_first
        self.on_end = on_end
        self.urgent = urgent
        self.cached_tokens = 0


class EngineModel:
    """Prefill one call at a time and decode up to SLOTS calls concurrently."""

    def __init__(self, clock: Clock, *, cache_blocks: int) -> None:
        """Start idle with an empty cache."""
        self._clock = clock
        self._cache_blocks = cache_blocks
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.queue: deque[EngineCall] = deque()
        self.urgent: deque[EngineCall] = deque()
        self.prefilling: EngineCall | None = None
        self.running_calls = 0
        self.first_tokens_total = 0
        self.is_running = True
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.stored_blocks: list[int] = []
        self.evicted_blocks: list[int] = []

    @property
    def queued_calls(self) -> int:
        """Count the calls without a first token."""
        return len(self.queue) + len(self.urgent) + (self.prefilling is not None)

    def submit(self, call: EngineCall) -> None:
        """Queue a call."""
        (self.urgent if call.urgent else self.queue).append(call)
        self._start_prefill()

    def _start_prefill(self) -> None:
        while self.prefilling is None and self.running_calls < SLOTS and self.is_running:
            queue = self.urgent or self.queue
            if not queue:
                return
            call = queue.popleft()
            matched_blocks = 0
            for block in call.blocks:
                if block not in self.cache:
                    break
                matched_blocks += 1
            call.cached_tokens = min(call.prompt, matched_blocks * BLOCK_TOKENS)
            self.prompt_tokens += call.prompt
            self.cached_tokens += call.cached_tokens
            self.prefilling = call
            # At least one token is always computed, since sampling the first token requires it.
            prefill_seconds = max(1, call.prompt - call.cached_tokens) * TOKEN_SECONDS
            self._clock.call_later(prefill_seconds, lambda call=call: self._finish_prefill(call))  # type: ignore[misc]

    def _finish_prefill(self, call: EngineCall) -> None:
        self.prefilling = None
        if not self.is_running:
            return
        for block in call.blocks:
            if block not in self.cache:
                self.stored_blocks.append(block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self._cache_blocks:
            self.evicted_blocks.append(self.cache.popitem(last=False)[0])
        self.first_tokens_total += 1
        self.running_calls += 1
        call.on_first(call.cached_tokens)
        self._clock.call_later(call.output * DECODE_STEP_SECONDS, lambda: self._finish_call(call))
        self._start_prefill()

    def _finish_call(self, call: EngineCall) -> None:
        self.running_calls -= 1
        call.on_end()
        self._start_prefill()
