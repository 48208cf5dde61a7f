"""Bound the memory that the answers of endpoints take in one router."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

MAX_ANSWER_BYTES = 16 * 1024 * 1024
SMALL_ANSWER_BYTES = 64 * 1024
"""Answers up to this size never wait."""
# What a router needs beside answers, and how much of an answer's size its handling takes.
PROCESS_BYTES = 96 * 1024 * 1024
COPIES_PER_ANSWER = 2


def answers_limit_bytes(memory_bytes: float) -> int:
    """Return what all answers together may take in a process with so much memory."""
    return max(MAX_ANSWER_BYTES, int(memory_bytes - PROCESS_BYTES) // COPIES_PER_ANSWER)


class AnswerMemory:
    """Share a limit among the answers that a router holds until its callers have them.

    Load pattern: many large answers at once, or endpoints that send without end. An answer for
    which there is no room is read on later, so its endpoint waits. Room for one more whole answer
    is kept for the one that was begun first, so that one always ends.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        """Start with no answers."""
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._reading: dict[AnswerHold, None] = {}
        """The large answers that are being read, in the order in which they began."""
        self._changed = asyncio.Event()

    @property
    def held_bytes(self) -> int:
        """Return the size of all large answers, as far as they were read."""
        return self._held_bytes

    @contextmanager
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

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


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
            await memory._changed.wait()
        memory._held_bytes += added_bytes
        self._held_bytes += added_bytes

    def end_reading(self) -> None:
        """Let the next answer be the first; this one's memory is still held."""
        if self in self._memory._reading:
            del self._memory._reading[self]
            self._memory._notify()

    def release(self) -> None:
        """Free the memory of the answer."""
        self.end_reading()
        self._memory._held_bytes -= self._held_bytes
        self._size_bytes = self._held_bytes = 0
        self._memory._notify()
