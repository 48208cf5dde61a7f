"""Report the published generation and the generation that each zone applies."""

import json
import time
from typing import Any

import msgspec

from egretrouter.backends import ObjectStore
from egretrouter.core.configuration import ConfigurationIndex
from egretrouter.core.identifiers import Generation
from egretrouter.core.status import STATUS_KEY_PREFIX, StatusMalformedError, ZoneStatus
from egretrouter.publishing import published_index

DIGEST_CHARACTERS = 12
MAX_LISTED_INSTANCES = 20


class DeploymentStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the published index and the status of every zone, as read from the store."""

    index: ConfigurationIndex | None
    zones: tuple[ZoneStatus, ...]
    malformed: tuple[str, ...]
    """Keys of objects that are not a zone's status."""
    read_at_seconds: float


async def read_status(store: ObjectStore) -> DeploymentStatus:
    """Read the index and the status of all zones.

    Raises BackendError or ConfigurationError.
    """
    index = await published_index(store)
    zones, malformed = [], []
    for stored in await store.list(STATUS_KEY_PREFIX):
        try:
            zones.append(ZoneStatus.from_json(stored.content))
        except StatusMalformedError:
            malformed.append(stored.key)
    return DeploymentStatus(
        index=index,
        zones=tuple(sorted(zones, key=lambda zone: zone.zone)),
        malformed=tuple(malformed),
        read_at_seconds=time.time(),
    )


def status_lines(status: DeploymentStatus) -> list[str]:
    """Format the status as human-readable lines."""
    if status.index is None:
        return ["nothing is published"]
    index = status.index
    lines = [f"generation {index.generation}, publication {index.publication_id}"]
    lines += [f"{digest}  {name}" for name, digest in sorted(index.parts.items())]
    for zone in status.zones:
        lines += _zone_lines(zone, index.generation, status.read_at_seconds)
    lines += [f"{key}: not a zone's status" for key in status.malformed]
    return lines


def _zone_lines(zone: ZoneStatus, generation: Generation, read_at_seconds: float) -> list[str]:
    outdated = zone.outdated_processes(generation)
    total = len(zone.processes)
    age_seconds = max(0.0, read_at_seconds - zone.written_at_seconds)
    lines = [
        f"zone {zone.zone}: {total - len(outdated)} of {total} processes have "
        f"generation {generation} in force, {age_seconds:.0f} s ago"
    ]
    labels = [f"{name} (generation {old})" for name, old in outdated.items()]
    if labels:
        omitted = len(labels) - MAX_LISTED_INSTANCES
        tail = f" and {omitted} more" if omitted > 0 else ""
        lines.append(f"  lacking: {', '.join(labels[:MAX_LISTED_INSTANCES])}{tail}")
    for service, versions in sorted(zone.services.items()):
        for digest, version in sorted(versions.items()):
            name = digest[:DIGEST_CHARACTERS] or "plain"
            if version.serving:
                lines.append(f"  {service} {name} serves on {', '.join(version.serving)}")
            state = "halted" if version.halted else "failed"
            for instance_id, reason in sorted(version.failed.items()):
                lines.append(f"  {service} {name} {state} on {instance_id}: {reason}")
    return lines


def status_json(status: DeploymentStatus) -> str:
    """Format the status as one JSON object."""
    index = status.index
    generation = index.generation if index else Generation(0)
    value: dict[str, Any] = {
        "generation": generation if index else None,
        "publication_id": index.publication_id if index else None,
        "parts": index.parts if index else {},
        "zones": [
            {
                **msgspec.to_builtins(zone),
                "age_seconds": round(max(0.0, status.read_at_seconds - zone.written_at_seconds), 1),
                "in_force": len(zone.processes) - len(zone.outdated_processes(generation)),
                "lacking": zone.outdated_processes(generation),
            }
            for zone in status.zones
        ],
        "malformed": list(status.malformed),
    }
    return json.dumps(value, indent=2, sort_keys=True)
