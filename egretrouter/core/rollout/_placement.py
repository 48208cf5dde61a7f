"""Assign model services to agents by rendezvous hashing."""

from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec
from xxhash import xxh3_64_intdigest

from egretrouter.core.configuration import (
    AdapterFile,
    Configuration,
    ConfigurationError,
    EngineRole,
    ModelServiceFile,
)
from egretrouter.core.identifiers import (
    Digest,
    InstanceId,
    ModelName,
    ServiceName,
    VersionName,
    ZoneId,
)
from egretrouter.core.weights import VersionReference


class Assignment(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the service, versions and rollout limits assigned to one agent."""

    service: ServiceName
    base: VersionReference
    adapters: tuple[VersionReference, ...] = ()
    role: EngineRole = EngineRole.BOTH
    min_ready: int = 1
    halt_after_failures: int = 3


class PlacementMember(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a live agent with a model engine; some engines are dedicated to one service."""

    instance_id: InstanceId
    zone: ZoneId
    only_service: ServiceName | None = None


def assign_services(
    configuration: Configuration, members: Iterable[PlacementMember]
) -> dict[InstanceId, Assignment]:
    """Assign services to agents, identically for equal inputs and with few moves on a change.

    If a zone has too few agents, every service gets its min_ready before any gets more.
    Raises ConfigurationError if a version is not pinned.
    """
    by_zone: dict[ZoneId, list[PlacementMember]] = defaultdict(list)
    for member in members:
        by_zone[member.zone].append(member)
    result: dict[InstanceId, Assignment] = {}
    services = configuration.model_services()
    for zone, zone_members in by_zone.items():
        wanted = {
            service.name: sum(p.replicas for p in service.placement if p.zone == zone)
            for service in services
        }
        assignments = {s.name: _assignment(s, wanted[s.name]) for s in services if wanted[s.name]}
        minimum = {name: min(wanted[name], a.min_ready) for name, a in assignments.items()}
        pairs = sorted(
            (-_score(name, member.instance_id), member.instance_id, name)
            for name in assignments
            for member in zone_members
            if member.only_service in (None, name)
        )
        placed: Counter[str] = Counter()
        for quota in (minimum, wanted):
            for _, instance_id, name in pairs:
                if instance_id not in result and placed[name] < quota[name]:
                    result[instance_id] = assignments[name]
                    placed[name] += 1
    return result


def replica_rank(service: ServiceName, instance_id: InstanceId) -> int:
    """Return the sort key of a replica in a rollout; lower keys switch first."""
    return -_score(service, instance_id)


def _score(service: str, instance_id: InstanceId) -> int:
    return xxh3_64_intdigest(f"{service}/{instance_id}".encode())


def _assignment(service: ModelServiceFile, replicas: int) -> Assignment:
    return Assignment(
        service=ServiceName(service.name),
        base=_version_reference(service.name, service),
        adapters=tuple(_version_reference(service.name, adapter) for adapter in service.adapters),
        role=service.engine_role,
        # If min_ready equaled the number of replicas, no replica could ever switch.
        min_ready=min(service.min_ready, replicas - 1),
        halt_after_failures=service.halt_after_failures,
    )


def _version_reference(service: str, item: ModelServiceFile | AdapterFile) -> VersionReference:
    if item.manifest_digest is None:
        raise ConfigurationError(
            f"service {service!r} does not pin a manifest digest for {item.model}/{item.version}"
        )
    return VersionReference(
        model=ModelName(item.model),
        version=VersionName(item.version),
        manifest_digest=Digest(item.manifest_digest),
    )
