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
    """Run callbacks in order of time."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now_seconds = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        entry = (self.now_seconds + delay_seconds, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def run(self, until_seconds: float) -> None:
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= until_seconds:
            self.now_seconds, _, action = heapq.heappop(self._events)
            action()


class EngineCall:
    """Hold one call at an engine."""

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
        """Keep what the engine needs."""
        self.blocks = blocks
        self.prompt = prompt
        self.output = output
        self.on_first = on_first
        self.on_end = on_end
        self.urgent = urgent
        self.cached_tokens = 0


class EngineModel:
    """Prefill one call at a time, then decode up to SLOTS calls side by side."""

    def __init__(self, clock: Clock, *, cache_blocks: int) -> None:
        """Start idle with an empty cache."""
        self._clock = clock
        self._cache_blocks = cache_blocks
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.queue: deque[EngineCall] = deque()
        self.urgent: deque[EngineCall] = deque()
        self.prefilling: EngineCall | None = None
        self.running = 0
        self.first_tokens = 0
        self.up = True
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.stored: list[int] = []
        self.evicted: list[int] = []

    @property
    def queued(self) -> int:
        """Count the calls without a first token."""
        return len(self.queue) + len(self.urgent) + (self.prefilling is not None)

    def submit(self, call: EngineCall) -> None:
        """Queue a call."""
        (self.urgent if call.urgent else self.queue).append(call)
        self._start()

    def _start(self) -> None:
        while self.prefilling is None and self.running < SLOTS and self.up:
            queue = self.urgent or self.queue
            if not queue:
                return
            call = queue.popleft()
            matched = 0
            for block in call.blocks:
                if block not in self.cache:
                    break
                matched += 1
            call.cached_tokens = min(call.prompt, matched * BLOCK_TOKENS)
            self.prompt_tokens += call.prompt
            self.cached_tokens += call.cached_tokens
            self.prefilling = call
            # One token is always computed, so that the call has a first token to sample.
            work = max(1, call.prompt - call.cached_tokens) * TOKEN_SECONDS
            self._clock.after(work, lambda call=call: self._prefilled(call))  # type: ignore[misc]

    def _prefilled(self, call: EngineCall) -> None:
        self.prefilling = None
        if not self.up:
            return
        for block in call.blocks:
            if block not in self.cache:
                self.stored.append(block)
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self._cache_blocks:
            self.evicted.append(self.cache.popitem(last=False)[0])
        self.first_tokens += 1
        self.running += 1
        call.on_first(call.cached_tokens)
        self._clock.after(call.output * DECODE_STEP_SECONDS, lambda: self._ended(call))
        self._start()

    def _ended(self, call: EngineCall) -> None:
        self.running -= 1
        call.on_end()
        self._start()
