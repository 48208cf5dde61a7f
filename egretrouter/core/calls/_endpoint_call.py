"""Define the state of one attempt of a call."""

from enum import Enum

import msgspec
import xxhash

from egretrouter.core.calls._answers import AnswerChecksum, Target
from egretrouter.core.identifiers import Digest


class EndpointCallState(Enum):
    """List the states of one attempt, from recording its claim to closed."""

    RECORDING = "recording"
    OPEN = "open"
    SETTLING = "settling"
    CLOSED = "closed"


class EndpointCall(msgspec.Struct, kw_only=True):
    """Track the progress of one attempt at one endpoint."""

    attempt: int
    target: Target
    version_digest: Digest
    checksum: AnswerChecksum
    state: EndpointCallState = EndpointCallState.RECORDING
    may_have_run: bool = False
    next_sequence: int = 0
    settle_count: int = 0
    resume_count: int = 0
    prefix: xxhash.xxh3_64 = msgspec.field(default_factory=xxhash.xxh3_64)
