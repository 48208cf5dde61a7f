"""Write log lines to standard output without blocking, with a rate limit."""

import os
import time
from collections import deque
from typing import Any

import eliot
import eliot.json
import msgspec

LINES_PER_SECOND = 200.0
BURST_LINES = 400.0
MAX_QUEUED_LINES = 2_000


class LogWriter:
    """Write messages as JSON lines; drop and count lines that exceed the rate."""

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._tokens = BURST_LINES
        self._refilled_seconds = time.monotonic()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message as a line, or drop it if the rate or the queue limit is exceeded."""
        now = time.monotonic()
        earned = (now - self._refilled_seconds) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._refilled_seconds = now
        if self._tokens < 1.0 or len(self._queue) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        self._tokens -= 1.0
        if self._dropped:
            message = {**message, "dropped_lines": self._dropped}
            self._dropped = 0
        self._queue.append(msgspec.json.encode(message, enc_hook=str) + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            if written < len(line):
                self._queue[0] = line[written:]
                return
            self._queue.popleft()


def start_logging() -> LogWriter:
    """Register a writer to standard output as destination of log messages."""
    writer = LogWriter()
    eliot.add_destinations(writer)
    return writer


def log_event(event: str, **fields: object) -> None:
    """Log an event with its fields as one line."""
    eliot.log_message(event, **fields)
