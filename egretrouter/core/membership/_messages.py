"""Define the messages and commands of the membership aggregate."""

import msgspec

from egretrouter.core.identifiers import Generation, InstanceId
from egretrouter.core.membership._gossip import GossipBody
from egretrouter.core.membership._records import Facts, LoadReport, Member, Seed, ZoneSummary


class GossipReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Deliver a gossip message; an answer is sent by its own SendGossip."""

    body: GossipBody
    generation: Generation = Generation(0)


class SeedsListed(msgspec.Struct, frozen=True, kw_only=True):
    """Replace the seeds by those of the lagging instance list."""

    seeds: tuple[Seed, ...]


class FactsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Replace this member's facts."""

    facts: Facts


class LoadReported(msgspec.Struct, frozen=True, kw_only=True):
    """Replace this member's load report."""

    load: LoadReport


class GenerationInForce(msgspec.Struct, frozen=True, kw_only=True):
    """State the configuration generation that this process has in force."""

    generation: Generation


class Leave(msgspec.Struct, frozen=True, kw_only=True):
    """Announce that this member leaves; it goes on answering until it ends."""


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Let time pass; sent every TICK_SECONDS."""


MembershipMessage = (
    GossipReceived | SeedsListed | FactsChanged | LoadReported | GenerationInForce | Leave | Tick
)


class SendGossip(msgspec.Struct, frozen=True, kw_only=True):
    """Send a gossip message once; a failure needs no report."""

    target: InstanceId
    address: str
    body: GossipBody
    generation: Generation


class MembersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Tell which members have a new status, address or facts."""

    changed: tuple[Member, ...]


class PeerGenerationReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that a peer has a higher generation in force."""

    peer: InstanceId
    address: str
    generation: Generation


class ZoneSummaryChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Deliver a newer summary of another zone."""

    summary: ZoneSummary


class PauseDetected(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that this process was paused, so what it held before may be out of date."""

    paused_seconds: float


MembershipCommand = (
    SendGossip | MembersChanged | PeerGenerationReceived | ZoneSummaryChanged | PauseDetected
)
