"""Define the call states and answer frames that routers and agents exchange."""

from enum import Enum

import msgspec
import xxhash

from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import CallId, Epoch, InstanceId


class CallState(Enum):
    """Represent the state of a call as reported by an agent."""

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
    """List the reasons for which an agent refuses a call."""

    OTHER_EPOCH = "other_epoch"
    OTHER_VERSION = "other_version"
    EXPIRED = "expired"
    DRAINING = "draining"
    FULL = "full"
    TOMBSTONED = "tombstoned"
    EPOCH_UNCONFIRMED = "epoch_unconfirmed"
    ENDPOINT_UNAVAILABLE = "endpoint_unavailable"


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Identify one attempt of a call at one epoch of one agent.

    The call id is unique to the attempt. The expiry is a time of the agent's own monotonic clock.
    The agent uses this clock both to admit the call and to discard its id, so no bound on clock
    skew is needed.
    """

    agent_id: InstanceId
    address: str
    epoch: Epoch
    call_id: CallId
    expires_at_seconds: float


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the status and headers of an answer."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def content_type(self) -> str | None:
        """Return the value of the Content-Type header."""
        return next((v for name, v in self.headers if name.lower() == "content-type"), None)


class AnswerData(msgspec.Struct, frozen=True, kw_only=True):
    """Carry a piece of an answer's body."""

    data: bytes


class AnswerEnd(msgspec.Struct, frozen=True, kw_only=True):
    """End a complete answer with its length and checksum."""

    total_bytes: int
    checksum: int


class AnswerFailure(msgspec.Struct, frozen=True, kw_only=True):
    """End a call that has no complete answer."""

    outcome: Outcome
    reason: str
    detail: str = ""
    retry_after_seconds: float = 0.0


AnswerBody = AnswerHead | AnswerData | AnswerEnd | AnswerFailure


class AnswerChecksum:
    """Compute the xxh3_64 checksum of an answer frame by frame.

    The call id is hashed first, so an answer delivered under another call's id fails the check.
    """

    def __init__(self, call_id: CallId) -> None:
        """Start with the call id as the first input."""
        self.total_bytes = 0
        self._hasher = xxhash.xxh3_64(call_id.encode())

    def add(self, body: AnswerHead | AnswerData) -> None:
        """Add the next head or data frame."""
        if isinstance(body, AnswerHead):
            self._hasher.update(b"status %d\n" % body.status)
            return
        self.add_data(body.data)

    def add_data(self, data: bytes) -> None:
        """Add the content of the next data frame."""
        self.total_bytes += len(data)
        self._hasher.update(data)

    def end(self) -> AnswerEnd:
        """Return the frame that ends the answer."""
        return AnswerEnd(total_bytes=self.total_bytes, checksum=self._hasher.intdigest())
