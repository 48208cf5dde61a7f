"""Buffer the latest frames of an answer so that a router can resume."""

from egretrouter.core.calls._answers import AnswerBody, AnswerChecksum, AnswerData, AnswerHead
from egretrouter.core.identifiers import CallId

FRAME_OVERHEAD_BYTES = 64


class AnswerBuffer:
    """Buffer the frames of one answer up to a byte limit, dropping the oldest frames."""

    def __init__(self, call_id: CallId, *, limit_bytes: int) -> None:
        """Start with an empty buffer."""
        self.checksum = AnswerChecksum(call_id)
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._first_sequence = 0
        self._frames: list[AnswerBody] = []

    @property
    def next_sequence(self) -> int:
        """Return the sequence number of the next frame."""
        return self._first_sequence + len(self._frames)

    def append(self, body: AnswerBody) -> int:
        """Add a frame and return its sequence number."""
        sequence = self.next_sequence
        if isinstance(body, AnswerHead | AnswerData):
            self.checksum.add(body)
        self._frames.append(body)
        self.held_bytes += _frame_bytes(body)
        while self.held_bytes > self._limit_bytes and len(self._frames) > 1:
            self.held_bytes -= _frame_bytes(self._frames.pop(0))
            self._first_sequence += 1
        return sequence

    def frames_from(self, sequence: int) -> list[tuple[int, AnswerBody]] | None:
        """Return the frames from a sequence number onwards, or None if one of them was dropped."""
        if not self._first_sequence <= sequence <= self.next_sequence:
            return None
        frames = self._frames[sequence - self._first_sequence :]
        return list(enumerate(frames, start=sequence))

    def complete_answer(self) -> tuple[AnswerHead, bytes] | None:
        """Return the head and content if no frame was dropped."""
        if self._first_sequence or not self._frames:
            return None
        head = self._frames[0]
        if not isinstance(head, AnswerHead):
            return None
        return head, b"".join(b.data for b in self._frames if isinstance(b, AnswerData))

    def clear(self) -> None:
        """Drop all frames."""
        self._first_sequence, self._frames, self.held_bytes = self.next_sequence, [], 0


def _frame_bytes(body: AnswerBody) -> int:
    return FRAME_OVERHEAD_BYTES + (len(body.data) if isinstance(body, AnswerData) else 0)
