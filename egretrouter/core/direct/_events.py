"""Cut an event stream into whole events and follow their ids."""

import re

_END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Pass on whole events only, and each id at most once.

    Ids that are whole numbers grow within a stream. An event whose id is not above the last one
    was passed on before the stream was resumed and is dropped.
    """

    def __init__(self, *, last_id: str | None = None) -> None:
        """Start behind the event that the caller has."""
        self.last_id = last_id
        self.events = 0
        self._last_number = _number(last_id.encode()) if last_id is not None else None
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Tell whether the stream ended inside an event."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the stream and return the events that are whole now."""
        buffer = self._rest + data if self._rest else data
        start = 0
        kept: list[bytes] = []
        for end in _END_OF_EVENT.finditer(buffer):
            event = buffer[start : end.end()]
            start = end.end()
            if self._take(event):
                kept.append(event)
        self._rest = buffer[start:]
        return b"".join(kept)

    def discard_partial_event(self) -> None:
        """Drop a partial event before another endpoint goes on with the stream."""
        self._rest = b""

    def take_trailing_bytes(self) -> bytes:
        """Return bytes behind the last event, which belong to a stream that ended whole."""
        rest, self._rest = self._rest, b""
        return rest

    def _take(self, event: bytes) -> bool:
        match = _ID_LINE.search(event)
        if match is not None:
            number = _number(match[1])
            if number is not None:
                if self._last_number is not None and number <= self._last_number:
                    return False
                self._last_number = number
            self.last_id = match[1].decode("latin-1")
        self.events += 1
        return True


def _number(value: bytes) -> int | None:
    return int(value) if value.isdigit() else None
