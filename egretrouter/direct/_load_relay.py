"""Pass load reports from other zones on within the zone, several in one datagram."""

import asyncio
from collections.abc import Callable, Iterable

from egretrouter.core.direct import FleetMember
from egretrouter.direct._notes import LoadNote, LoadsNote, Note

RELAY_SECONDS = 0.1
# A datagram of this many reports fits into one packet.
REPORTS_PER_NOTE = 16


class LoadRelay:
    """Collect the newest report of each endpoint, and send them together.

    Load pattern: a few reports a second from each agent of all other zones.
    """

    def __init__(
        self,
        *,
        targets: Callable[[], Iterable[FleetMember]],
        send_note: Callable[[Note, Iterable[str]], None],
    ) -> None:
        """Send to the addresses of the targets."""
        self._targets = targets
        self._send_note = send_note
        self._waiting: dict[str, LoadNote] = {}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, note: LoadNote) -> None:
        """Pass a report on shortly."""
        self._waiting[note.address] = note
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(RELAY_SECONDS, self._send)

    def _send(self) -> None:
        self._timer = None
        notes, self._waiting = list(self._waiting.values()), {}
        addresses = [member.address for member in self._targets()]
        for start in range(0, len(notes), REPORTS_PER_NOTE):
            chunk = tuple(notes[start : start + REPORTS_PER_NOTE])
            self._send_note(LoadsNote(loads=chunk), addresses)

    def close(self) -> None:
        """Send nothing more."""
        if self._timer is not None:
            self._timer.cancel()
