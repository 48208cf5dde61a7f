"""Derive the limits and peers of an agent's copies from configuration and membership."""

import random
from collections.abc import Iterable
from typing import Any

import aiohttp
from mode.utils.types.trees import NodeT

from egretrouter.backends import HttpWeightSource, InstanceState, ListedInstance, WeightSource
from egretrouter.core.configuration import Configuration
from egretrouter.core.identifiers import InstanceId, RegionId, ServiceName, ZoneId
from egretrouter.core.membership import Member
from egretrouter.core.settings import AgentSettings
from egretrouter.core.weights import ChunkMemory, CopySettings, Peer
from egretrouter.daemons._copies import CopyLimits, CopyService
from egretrouter.daemons._metrics import AgentMetrics
from egretrouter.daemons._weight_transfers import CopyPeer, WeightTransfers
from egretrouter.transport._rpc import ChannelPool

BITS_PER_BYTE = 8


def copy_limits(configuration: Configuration, *, zone: ZoneId) -> CopyLimits:
    """Return the limits of one agent's copies, with its part of the limits that agents share."""
    deployment = configuration.deployment
    distribution = deployment.distribution
    regions = zone_regions(configuration)
    region = regions.get(zone)
    regional_bytes = distribution.inter_region_bits_per_second / BITS_PER_BYTE
    in_region = _count_agents(configuration, [z for z, r in regions.items() if r == region])
    return CopyLimits(
        zone_bytes_per_minute=distribution.origin_bytes_per_minute // len(deployment.zones),
        expected_members=_count_agents(configuration, [zone]),
        instance_bytes_per_second=(
            distribution.instance_link_bytes_per_second * distribution.link_share
        ),
        regional_bytes_per_second=regional_bytes * distribution.inter_region_share / in_region,
        settings=CopySettings(
            objective=distribution.objective,
            origin_copies=distribution.origin_copies,
            serve_after_load_seconds=distribution.serve_after_load_seconds,
        ),
    )


def zone_regions(configuration: Configuration) -> dict[ZoneId, RegionId]:
    """Return the region of each zone."""
    return {ZoneId(z.name): RegionId(z.region) for z in configuration.deployment.zones}


def copy_peers(
    configuration: Configuration,
    *,
    service: ServiceName,
    zone: ZoneId,
    agents: Iterable[Member],
    listed: Iterable[ListedInstance],
) -> list[CopyPeer]:
    """Return the agents that copy the same versions.

    Agents of the same zone come from membership, those of other zones from the platform's list.
    """
    regions = zone_regions(configuration)

    def build_peer(instance_id: InstanceId, peer_zone: ZoneId, address: str) -> CopyPeer:
        region = regions.get(peer_zone, RegionId(peer_zone))
        return CopyPeer(
            peer=Peer(instance_id=instance_id, zone=peer_zone, region=region), address=address
        )

    same_zone = [
        build_peer(member.instance_id, member.zone, member.address)
        for member in agents
        if member.facts.service == service
    ]
    other_zones = [
        build_peer(instance.instance_id, instance.zone, instance.address)
        for instance in listed
        if instance.zone != zone
        and instance.role == f"agent:{service}"
        and instance.state is InstanceState.LIVE
    ]
    return [*same_zone, *other_zones]


def build_copy_service(
    configuration: Configuration,
    settings: AgentSettings,
    *,
    session: aiohttp.ClientSession,
    channels: ChannelPool,
    metrics: AgentMetrics,
    rng: random.Random,
    beacon: NodeT[Any],
) -> CopyService:
    """Build the service that runs the copies of one agent."""
    own = Peer(
        instance_id=InstanceId(settings.instance_id),
        zone=ZoneId(settings.zone),
        region=RegionId(settings.region),
    )
    store_url = settings.platform.weight_store_url
    return CopyService(
        own=own,
        memory=ChunkMemory(weight_memory_bytes=settings.weight_memory_bytes),
        limits=copy_limits(configuration, zone=own.zone),
        hold_seconds=settings.origin_hold_seconds,
        transfers=WeightTransfers(
            own=own,
            origin=_weight_source(settings, session, settings.platform.origin_url, "origin"),
            weight_store=(
                _weight_source(settings, session, store_url, "weight store") if store_url else None
            ),
            channels=channels,
            metrics=metrics,
            rng=random.Random(rng.random()),
        ),
        metrics=metrics,
        rng=rng,
        beacon=beacon,
    )


def _count_agents(configuration: Configuration, zones: list[ZoneId]) -> int:
    """Return how many agents copy weights in some zones by configuration, at least 1."""
    replicas = sum(
        placement.replicas
        for service in configuration.model_services()
        for placement in service.placement
        if placement.zone in zones
    )
    return max(1, replicas)


def _weight_source(
    settings: AgentSettings, session: aiohttp.ClientSession, url: str | None, name: str
) -> WeightSource:
    platform = settings.platform
    return HttpWeightSource(
        session,
        base_url=url or platform.object_store_url,
        name=name,
        timeout_seconds=platform.chunk_timeout_seconds,
        stall_seconds=platform.chunk_stall_seconds,
    )
