"""Define what routers and agents tell each other about one call."""

from enum import Enum

import msgspec
import xxhash

from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import CallId, Epoch, InstanceId


class CallState(Enum):
    """State what an agent knows about a call."""

    ADMITTED = "admitted"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    TOMBSTONED = "tombstoned"
    REFUSED = "refused"
    OTHER_EPOCH = "other_epoch"
    FORGOTTEN = "forgotten"


IN_PROGRESS_STATES = frozenset({CallState.ADMITTED, CallState.RUNNING})
NEVER_RUN_STATES = frozenset({CallState.TOMBSTONED, CallState.REFUSED})


class RefusalReason(Enum):
    """Name why an agent did not run a call."""

    OTHER_EPOCH = "other_epoch"
    OTHER_VERSION = "other_version"
    EXPIRED = "expired"
    DRAINING = "draining"
    FULL = "full"
    TOMBSTONED = "tombstoned"
    EPOCH_UNCONFIRMED = "epoch_unconfirmed"
    ENDPOINT_UNAVAILABLE = "endpoint_unavailable"


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Name one attempt of a call at one epoch of one agent.

    The call id is unique to the attempt. The expiry is on the agent's own monotonic clock, so
    admission and memory of the id are judged by one clock and need no bound on clock skew.
    """

    agent_id: InstanceId
    address: str
    epoch: Epoch
    call_id: CallId
    expires_at_seconds: float


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()


class AnswerData(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a piece of an answer's body."""

    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True, kw_only=True):
    """State the length and checksum of a whole answer."""

    total_bytes: int
    checksum: int


class AnswerFailure(msgspec.Struct, frozen=True, kw_only=True):
    """End a call without a whole answer."""

    outcome: Outcome
    reason: str
    detail: str = ""
    retry_after_seconds: float = 0.0


AnswerBody = AnswerHead | AnswerData | AnswerEnd | AnswerFailure


class AnswerChecksum:
    """Compute the xxh3_64 checksum of an answer as its frames pass.

    The checksum starts with the call id, so an answer delivered under another call's id fails.
    """

    def __init__(self, call_id: CallId) -> None:
        """Start the checksum of one call."""
        self.total_bytes = 0
        self._hasher = xxhash.xxh3_64(call_id.encode())

    def add(self, body: AnswerHead | AnswerData) -> None:
        """Add the next frame."""
        if isinstance(body, AnswerHead):
            self._hasher.update(b"status %d\n" % body.status)
            return
        self.add_data(body.data)

    def add_data(self, data: bytes) -> None:
        """Add the content of the next frame of data."""
        self.total_bytes += len(data)
        self._hasher.update(data)

    def end(self) -> AnswerEnd:
        """Return the frame that ends the answer."""
        return AnswerEnd(total_bytes=self.total_bytes, checksum=self._hasher.intdigest())
