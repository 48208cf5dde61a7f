"""Hold the state of one attempt of a call."""

from enum import Enum

import msgspec
import xxhash

from egretrouter.core.calls._answers import AnswerChecksum, Target
from egretrouter.core.identifiers import Digest


class EndpointCallState(Enum):
    """Name the states of one attempt."""

    RECORDING = "recording"
    OPEN = "open"
    SETTLING = "settling"
    CLOSED = "closed"


class EndpointCall(msgspec.Struct, kw_only=True):
    """Hold one attempt at one endpoint."""

    attempt: int
    target: Target
    version_digest: Digest
    checksum: AnswerChecksum
    state: EndpointCallState = EndpointCallState.RECORDING
    may_have_run: bool = False
    next_sequence: int = 0
    settles: int = 0
    resumes: int = 0
    prefix: xxhash.xxh3_64 = msgspec.field(default_factory=xxhash.xxh3_64)
