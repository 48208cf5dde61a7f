"""Define the gossip messages between members and their encoding."""

import msgspec

from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import InstanceId, ZoneId
from egretrouter.core.membership._records import LoadSample, Member, ZoneSummary


class GossipMalformedError(ValidationError):
    """A gossip message can't be decoded."""


class _Body(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True):
    """Define the common fields of all gossip messages."""

    sender: Member
    updates: tuple[Member, ...] = ()
    loads: tuple[LoadSample, ...] = ()


class Probe(_Body, frozen=True, kw_only=True, tag=1):
    """Ask a member whether it is alive."""

    sequence: int


class ProbeAnswer(_Body, frozen=True, kw_only=True, tag=2):
    """Answer a probe, or forward the answer to an indirect probe."""

    sequence: int


class IndirectProbe(_Body, frozen=True, kw_only=True, tag=3):
    """Ask a member to probe another member."""

    sequence: int
    target: InstanceId
    target_address: str


class Updates(_Body, frozen=True, kw_only=True, tag=4):
    """Send urgent updates without waiting for the next probe."""


class ExchangeRequest(_Body, frozen=True, kw_only=True, tag=5):
    """Start a full exchange with the bucket digests of the sender's table."""

    digests: bytes
    rounds_left: int


class ExchangeReply(_Body, frozen=True, kw_only=True, tag=6):
    """Answer with a bounded number of records from the buckets whose digests differ."""

    digests: bytes
    more: bool
    trusted: bool
    rounds_left: int


class SummaryPush(_Body, frozen=True, kw_only=True, tag=7):
    """Send zone summaries; a gateway of another zone answers with its own if asked to."""

    summaries: tuple[ZoneSummary, ...]
    wants_answer: bool = False


class SummaryPull(_Body, frozen=True, kw_only=True, tag=8):
    """Ask a member of the same zone for summaries that are newer than the given ages."""

    ages_seconds: dict[ZoneId, float]


GossipBody = (
    Probe
    | ProbeAnswer
    | IndirectProbe
    | Updates
    | ExchangeRequest
    | ExchangeReply
    | SummaryPush
    | SummaryPull
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[GossipBody] = msgspec.msgpack.Decoder(GossipBody)

GOSSIP_KINDS: dict[type[GossipBody], str] = {
    Probe: "probe",
    ProbeAnswer: "probe",
    IndirectProbe: "indirect_probe",
    Updates: "probe",
    ExchangeRequest: "full",
    ExchangeReply: "full",
    SummaryPush: "summary",
    SummaryPull: "summary",
}
"""Value of the `kind` field of the protobuf GossipMessage for each body type."""


def encode_gossip(body: GossipBody) -> bytes:
    """Encode a gossip message as MessagePack."""
    return _ENCODER.encode(body)


def decode_gossip(payload: bytes) -> GossipBody:
    """Decode a gossip message from MessagePack.

    Raises GossipMalformedError.
    """
    try:
        return _DECODER.decode(payload)
    except DECODE_ERRORS as error:
        raise GossipMalformedError(f"gossip of {len(payload)} bytes: {error}") from error
