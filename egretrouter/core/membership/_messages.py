"""Define the messages and commands of Membership."""

import msgspec

from egretrouter.core.identifiers import Generation, InstanceId
from egretrouter.core.membership._gossip import GossipBody
from egretrouter.core.membership._records import Facts, LoadReport, Member, Seed, ZoneSummary


class GossipReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Deliver a received gossip message; any answer is a separate SendGossip command."""

    body: GossipBody
    generation: Generation = Generation(0)


class SeedsListed(msgspec.Struct, frozen=True, kw_only=True):
    """Replace the seeds by those of the instance list, which lags behind the real instances."""

    seeds: tuple[Seed, ...]


class FactsChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Replace this member's facts."""

    facts: Facts


class LoadReported(msgspec.Struct, frozen=True, kw_only=True):
    """Replace this member's load report."""

    load: LoadReport


class GenerationActivated(msgspec.Struct, frozen=True, kw_only=True):
    """Report the configuration generation that became active in this process."""

    generation: Generation


class Leave(msgspec.Struct, frozen=True, kw_only=True):
    """Announce that this member leaves; it keeps answering until the process exits."""


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """Advance the timers; sent every TICK_SECONDS."""


MembershipMessage = (
    GossipReceived | SeedsListed | FactsChanged | LoadReported | GenerationActivated | Leave | Tick
)


class SendGossip(msgspec.Struct, frozen=True, kw_only=True):
    """Send a gossip message once, without reporting a failure."""

    target: InstanceId
    address: str
    body: GossipBody
    generation: Generation


class MembersChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Report the members whose status, address or facts changed, none if isolation did."""

    changed: tuple[Member, ...]


class PeerGenerationReceived(msgspec.Struct, frozen=True, kw_only=True):
    """Report that a higher configuration generation is active at a peer."""

    peer: InstanceId
    address: str
    generation: Generation


class ZoneSummaryChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Report a newer summary of another zone."""

    summary: ZoneSummary


class PauseDetected(msgspec.Struct, frozen=True, kw_only=True):
    """Report that this process was paused, so that its state may be out of date."""

    paused_seconds: float


MembershipCommand = (
    SendGossip | MembersChanged | PeerGenerationReceived | ZoneSummaryChanged | PauseDetected
)
