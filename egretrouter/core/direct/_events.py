"""Split a stream of server-sent events into complete events and track their ids."""

import re

from egretrouter.core.errors import EventTooLargeError, StreamMismatchError

MAX_EVENT_BYTES = 1024 * 1024
_END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
MAX_END_BYTES = 4
_ID_LINE = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")
_DATA_LINE = re.compile(rb"(?m)^data(?::|\r?$)")
# Endpoints may number tokens instead of events, so ids count as consecutive only after this many
# steps of 1 and no other.
MIN_CONSECUTIVE_STEPS = 2


class EventSplitter:
    """Return only complete events, and each numeric id at most once.

    Integer ids increase within a stream. An event whose id is not greater than the last one was
    already forwarded before the stream was resumed, so it is dropped.
    """

    def __init__(self, *, last_id: str | None = None) -> None:
        """Skip events up to last_id, which the caller has already received."""
        self.last_id = last_id
        self.events = 0
        self.may_resume = True
        """Whether the last event that carries data has an id after which to resume."""
        self._last_number = _parse_number(last_id.encode()) if last_id is not None else None
        self._consecutive_steps: int | None = 0
        """How many ids followed the one before at once; None once an id did not."""
        self._run_begins = True
        """Whether the endpoint that runs the stream now has sent no new event yet."""
        self._repeated_number: int | None = None
        """The last id that this endpoint repeated."""
        self._pending = bytearray()
        self._searched_bytes = 0
        """How much of the pending bytes holds no end of an event."""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer contains an incomplete event."""
        return bool(self._pending.strip())

    @property
    def partial_bytes(self) -> int:
        """Return the size of the event that is not complete yet."""
        return len(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Add bytes from the stream and return the events that are now complete.

        Raises EventTooLargeError, or StreamMismatchError if an endpoint that resumes the stream
        leaves out an event.
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
        self._clear_pending()
        self._run_begins = True
        self._repeated_number = None

    def _clear_pending(self) -> None:
        self._pending.clear()
        self._searched_bytes = 0

    def check_end(self) -> None:
        """Check that the stream may end as complete.

        Raises StreamMismatchError.
        """
        if self.has_partial_event:
            raise StreamMismatchError("the stream ended inside an event")
        if self._run_begins and self._repeated_number not in (None, self._last_number):
            raise StreamMismatchError("the stream ended before the event that it was resumed after")

    def take_trailing_bytes(self) -> bytes:
        """Return and clear the bytes after the last event of a stream that ended normally."""
        trailing = bytes(self._pending)
        self._clear_pending()
        return trailing

    def _record_event(self, event: bytes) -> bool:
        """Record the event's id, and return False if it was already forwarded."""
        match = _ID_LINE.search(event)
        if match is not None:
            number = _parse_number(match[1])
            if number is not None:
                if self._last_number is not None and number <= self._last_number:
                    self._repeated_number = number
                    return False
                self._record_step(number)
            self.last_id = match[1].decode("latin-1")
            self.may_resume = True
        elif _DATA_LINE.search(event) is not None:
            self.may_resume = False
        self._run_begins = False
        self.events += 1
        return True

    def _record_step(self, number: int) -> None:
        last, self._last_number = self._last_number, number
        if last is None or self._consecutive_steps is None:
            return
        if number == last + 1:
            self._consecutive_steps += 1
        elif self._run_begins and self._consecutive_steps >= MIN_CONSECUTIVE_STEPS:
            self._last_number = last
            raise StreamMismatchError(f"event {number} follows event {last}")
        else:
            self._consecutive_steps = None


def _parse_number(value: bytes) -> int | None:
    return int(value) if value.isdigit() else None
