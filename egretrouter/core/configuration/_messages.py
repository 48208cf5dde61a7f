"""Define the messages and commands of the configuration aggregate."""

import msgspec

from egretrouter.core.configuration._configuration import Configuration, ConfigurationIndex
from egretrouter.core.identifiers import Digest, Generation, InstanceId

STORE_SOURCE = InstanceId("@store")
"""Stands for the store where a source is named; no instance id starts with '@'."""


class IndexReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that a source, the store or a peer, has this index."""

    index: ConfigurationIndex
    source: InstanceId


class IndexFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that a source gave no index."""

    source: InstanceId


class PartReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Deliver the content of one part; it is not verified yet."""

    digest: Digest
    content: bytes
    source: InstanceId = STORE_SOURCE


class PartsFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that a source did not deliver the parts requested last."""

    source: InstanceId


class PeerGeneration(msgspec.Struct, frozen=True, kw_only=True):
    """Tell the generation that a peer announced by gossip."""

    peer: InstanceId
    generation: Generation


class ZoneMembersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Replace the list of live members of the zone, this process included."""

    members: tuple[InstanceId, ...]


class StoreUnresponsive(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that the store does not answer."""


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Let time pass; sent about twice a second."""


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
    """Ask a source for its index; answer with IndexReceived or IndexFailed."""

    source: InstanceId


class RequestParts(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a source for parts; answer with PartReceived for each, or PartsFailed."""

    source: InstanceId
    digests: tuple[Digest, ...]


class ApplyConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Put a whole generation in force."""

    configuration: Configuration


class AnnounceGeneration(msgspec.Struct, frozen=True, kw_only=True):
    """Announce the generation in force by gossip and in metrics."""

    generation: Generation


class RejectGeneration(msgspec.Struct, frozen=True, kw_only=True):
    """Report a generation that can't be put in force."""

    generation: Generation
    source: InstanceId
    reason: str


class StartWatch(msgspec.Struct, frozen=True, kw_only=True):
    """Watch the index in the store; each value leads to IndexReceived."""


class StopWatch(msgspec.Struct, frozen=True, kw_only=True):
    """End the watch on the index."""


ConfigurationCommand = (
    RequestIndex
    | RequestParts
    | ApplyConfiguration
    | AnnounceGeneration
    | RejectGeneration
    | StartWatch
    | StopWatch
)
