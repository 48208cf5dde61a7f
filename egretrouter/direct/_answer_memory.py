"""Bound the memory that the answers of endpoints take in one router."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterator

MAX_ANSWER_BYTES = 16 * 1024 * 1024
SMALL_ANSWER_BYTES = 64 * 1024
"""Answers up to this size never wait."""
# What a router needs beside answers, and how much of an answer's size its handling takes.
PROCESS_BYTES = 96 * 1024 * 1024
COPIES_PER_ANSWER = 2
# Callers that have read nothing for this long may be disconnected if other answers need memory.
STALLED_SECONDS = 1.0


def answers_limit_bytes(memory_bytes: float) -> int:
    """Return what all answers together may take in a process with so much memory."""
    return max(MAX_ANSWER_BYTES, int(memory_bytes - PROCESS_BYTES) // COPIES_PER_ANSWER)


class AnswerMemory:
    """Share a limit among the answers that a router holds until its callers have them.

    Load pattern: many large answers at once, or endpoints that send without end. An answer for
    which there is no room is read on later, so its endpoint waits. Room for one more whole answer
    is kept for the one that was begun first, so that one always ends. Callers that read slowly keep
    their answers here; where room is short, those who have read nothing for longest are ended.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        """Start with no answers."""
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._reading: dict[AnswerHold, None] = {}
        """The large answers that are being read, in the order in which they began."""
        self._waiting: dict[AnswerHold, _WaitingCaller] = {}
        """The answers whose callers read slowly, the one that has waited longest first."""
        self._changed = asyncio.Event()

    @property
    def held_bytes(self) -> int:
        """Return the size of all large answers, as far as they were read, and of waiting events."""
        return self._held_bytes

    @contextlib.contextmanager
    def hold(self) -> Iterator["AnswerHold"]:
        """Account for the answer of one call until its caller has it."""
        hold = AnswerHold(self)
        try:
            yield hold
        finally:
            hold.release()

    def _has_room(self, hold: "AnswerHold", size_bytes: int) -> bool:
        is_first = next(iter(self._reading)) is hold
        reserved = 0 if is_first else MAX_ANSWER_BYTES
        return self._held_bytes + size_bytes + reserved <= self._limit_bytes

    def _end_slowest(self, *, stalled_seconds: float) -> bool:
        """End the call whose caller has read nothing for longest, if that is long enough."""
        for hold, waiting in self._waiting.items():
            if waiting.age_seconds < stalled_seconds:
                return False
            hold.release()
            waiting.end_call()
            return True
        return False

    async def _wait_for_change(self) -> None:
        """Wait until memory is freed, or a caller may have stalled for long enough."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STALLED_SECONDS if self._waiting else None):
                await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class _WaitingCaller:
    def __init__(self, end_call: Callable[[], None]) -> None:
        self.end_call = end_call
        self._began_seconds = time.monotonic()

    @property
    def age_seconds(self) -> float:
        return time.monotonic() - self._began_seconds


class AnswerHold:
    """Hold the share of one answer."""

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._size_bytes = 0
        self._held_bytes = 0

    async def grow(self, size_bytes: int) -> None:
        """Add a part of the answer, and return once there is room for it."""
        self._size_bytes += size_bytes
        if self._size_bytes <= SMALL_ANSWER_BYTES:
            return
        memory = self._memory
        memory._reading.setdefault(self)
        added_bytes = self._size_bytes - self._held_bytes
        while not memory._has_room(self, added_bytes):
            if not memory._end_slowest(stalled_seconds=STALLED_SECONDS):
                await memory._wait_for_change()
        memory._held_bytes += added_bytes
        self._held_bytes += added_bytes

    async def resize(self, size_bytes: int) -> None:
        """Set the size of what is kept, and return once there is room for it."""
        if size_bytes > self._size_bytes:
            await self.grow(size_bytes - self._size_bytes)
        elif self._size_bytes > SMALL_ANSWER_BYTES >= size_bytes:
            self.release()
            self._size_bytes = size_bytes

    def end_reading(self) -> None:
        """Let the next answer be the first; this one's memory is still held."""
        if self in self._memory._reading:
            del self._memory._reading[self]
            self._memory._notify()

    @contextlib.contextmanager
    def wait_for_caller(self, size_bytes: int, *, end_call: Callable[[], None]) -> Iterator[None]:
        """Account for data that waits for the caller; end_call frees it if others need the room."""
        memory = self._memory
        memory._held_bytes += size_bytes
        self._held_bytes += size_bytes
        memory._waiting[self] = _WaitingCaller(end_call)
        while memory._held_bytes > memory._limit_bytes and memory._end_slowest(stalled_seconds=0):
            pass
        try:
            yield
        finally:
            if memory._waiting.pop(self, None) is not None:
                memory._held_bytes -= size_bytes
                self._held_bytes -= size_bytes
                memory._notify()

    def release(self) -> None:
        """Free the memory of the answer."""
        self.end_reading()
        self._memory._waiting.pop(self, None)
        self._memory._held_bytes -= self._held_bytes
        self._size_bytes = self._held_bytes = 0
        self._memory._notify()
