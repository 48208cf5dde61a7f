"""Write log lines to standard output without blocking, up to a rate."""

import os
import time
from collections import deque
from typing import Any

import eliot
import eliot.json
import msgspec

LINES_PER_SECOND = 200.0
BURST_LINES = 400.0
WAITING_LINES = 2_000


class LogWriter:
    """Write messages as JSON lines; drop and count what exceeds the rate."""

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._tokens = BURST_LINES
        self._refilled_seconds = time.monotonic()
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message."""
        now = time.monotonic()
        earned = (now - self._refilled_seconds) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._refilled_seconds = now
        if self._tokens < 1.0 or len(self._waiting) >= WAITING_LINES:
            self._dropped += 1
            return
        self._tokens -= 1.0
        if self._dropped:
            message = {**message, "dropped_lines": self._dropped}
            self._dropped = 0
        self._waiting.append(msgspec.json.encode(message, enc_hook=str) + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write the waiting lines that the descriptor takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


def start_logging() -> LogWriter:
    """Send the process's log lines to standard output."""
    writer = LogWriter()
    eliot.add_destinations(writer)
    return writer


def log_event(event: str, **fields: object) -> None:
    """Write one line about one event."""
    eliot.log_message(event, **fields)
