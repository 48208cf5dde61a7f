"""Define the messages and commands of ConfigurationState."""

import msgspec

from egretrouter.core.configuration._configuration import Configuration, ConfigurationIndex
from egretrouter.core.identifiers import Digest, Generation, InstanceId

STORE_SOURCE = InstanceId("@store")
"""Source id of the store; no instance id starts with '@'."""


class IndexReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Report the index received from a source, the store or a peer."""

    index: ConfigurationIndex
    source: InstanceId


class IndexFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a source did not return an index."""

    source: InstanceId


class PartReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Deliver the content of one part, not verified yet."""

    digest: Digest
    content: bytes
    source: InstanceId = STORE_SOURCE


class PartsFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a source did not deliver the parts requested last."""

    source: InstanceId


class PeerGeneration(msgspec.Struct, frozen=True, kw_only=True):
    """Report the generation that a peer announced by gossip."""

    peer: InstanceId
    generation: Generation


class ZoneMembersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Replace the list of live members of the zone, this process included."""

    members: tuple[InstanceId, ...]
    is_isolated: bool = False
    """Whether no other member answers this process, so that it can't tell who of them lives."""


class StoreUnresponsive(msgspec.Struct, frozen=True, kw_only=True):
    """Report that the store does not answer."""


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Trigger timeouts and retries; sent about twice a second."""


ConfigurationMessage = (
    IndexReceived
    | IndexFailed
    | PartReceived
    | PartsFailed
    | PeerGeneration
    | ZoneMembersChanged
    | StoreUnresponsive
    | Tick
)


class RequestIndex(msgspec.Struct, frozen=True, kw_only=True):
    """Request the index of a source; answered by IndexReceived or IndexFailed."""

    source: InstanceId


class RequestParts(msgspec.Struct, frozen=True, kw_only=True):
    """Request parts from a source; answered by one PartReceived each, or by PartsFailed."""

    source: InstanceId
    digests: tuple[Digest, ...]


class ApplyConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Activate a complete generation."""

    configuration: Configuration


class AnnounceGeneration(msgspec.Struct, frozen=True, kw_only=True):
    """Announce the active generation by gossip and in metrics."""

    generation: Generation


class RejectGeneration(msgspec.Struct, frozen=True, kw_only=True):
    """Report a generation that cannot be activated."""

    generation: Generation
    source: InstanceId
    reason: str


class StartWatch(msgspec.Struct, frozen=True, kw_only=True):
    """Start a watch on the index in the store; each update yields IndexReceived."""


class StopWatch(msgspec.Struct, frozen=True, kw_only=True):
    """Stop the watch on the index in the store."""


ConfigurationCommand = (
    RequestIndex
    | RequestParts
    | ApplyConfiguration
    | AnnounceGeneration
    | RejectGeneration
    | StartWatch
    | StopWatch
)
