"""Split a stream of server-sent events into complete events and track their ids."""

import re

from egretrouter.core.errors import EventTooLargeError

MAX_EVENT_BYTES = 1024 * 1024
_END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
MAX_END_BYTES = 4
_ID_LINE = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Return only complete events, and each numeric id at most once.

    Integer ids increase within a stream. An event whose id is not greater than the last one was
    already forwarded before the stream was resumed, so it is dropped.
    """

    def __init__(self, *, last_id: str | None = None) -> None:
        """Skip events up to last_id, which the caller has already received."""
        self.last_id = last_id
        self.events = 0
        self._last_number = _parse_number(last_id.encode()) if last_id is not None else None
        self._pending = bytearray()
        self._searched_bytes = 0
        """How much of the pending bytes holds no end of an event."""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer contains an incomplete event."""
        return bool(self._pending.strip())

    def feed(self, data: bytes) -> bytes:
        """Add bytes from the stream and return the events that are now complete.

        Raises EventTooLargeError.
        """
        pending = self._pending
        pending += data
        start = 0
        new_events: list[bytes] = []
        for end in _END_OF_EVENT.finditer(pending, self._searched_bytes):
            event = bytes(pending[start : end.end()])
            start = end.end()
            if self._record_event(event):
                new_events.append(event)
        del pending[:start]
        if len(pending) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event has more than {MAX_EVENT_BYTES} bytes")
        # The next bytes may complete an end of which all but the last byte has arrived.
        self._searched_bytes = max(0, len(pending) - MAX_END_BYTES + 1)
        return b"".join(new_events)

    def discard_partial_event(self) -> None:
        """Discard an incomplete event before another endpoint resumes the stream."""
        self._pending.clear()
        self._searched_bytes = 0

    def take_trailing_bytes(self) -> bytes:
        """Return and clear the bytes after the last event of a stream that ended normally."""
        trailing = bytes(self._pending)
        self.discard_partial_event()
        return trailing

    def _record_event(self, event: bytes) -> bool:
        """Record the event's id, and return False if it was already forwarded."""
        match = _ID_LINE.search(event)
        if match is not None:
            number = _parse_number(match[1])
            if number is not None:
                if self._last_number is not None and number <= self._last_number:
                    return False
                self._last_number = number
            self.last_id = match[1].decode("latin-1")
        self.events += 1
        return True


def _parse_number(value: bytes) -> int | None:
    return int(value) if value.isdigit() else None
