"""Compare two configurations and estimate the origin traffic of the change."""

from collections.abc import Mapping
from typing import Any

import msgspec

from egretrouter.core.configuration._collection import FileCollection, WeightSizes
from egretrouter.core.configuration._configuration import Configuration
from egretrouter.core.configuration._files import ModelServiceFile
from egretrouter.core.identifiers import ModelName, ServiceName, VersionName
from egretrouter.core.objective import Objective


class FieldChange(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one changed value by its JSON path."""

    path: str
    before: Any
    after: Any


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the services and fields that a publication would change."""

    added: tuple[ServiceName, ...]
    removed: tuple[ServiceName, ...]
    changed: dict[str, tuple[FieldChange, ...]]
    """Field changes by service name; 'deployment' is the key of the deployment file."""

    origin_bytes: int
    """Estimated bytes that the origin sends if no transfer is repeated."""

    origin_minutes: float
    """Minutes that those bytes take at 'origin_bytes_per_minute'."""

    unknown_versions: tuple[str, ...]
    """Versions of unknown size, which the estimate leaves out."""


def compare(
    before: Configuration | FileCollection | None,
    after: Configuration | FileCollection,
    *,
    weight_sizes: WeightSizes | None = None,
) -> Difference:
    """Return the changes between two configurations and their estimated origin traffic."""
    old_services = before.services if before else {}
    changed: dict[str, tuple[FieldChange, ...]] = {}
    if before is not None:
        changes = _changes(before.deployment.model_dump(mode="json"), _dump(after.deployment))
        if changes:
            changed["deployment"] = changes
    for name in sorted(after.services.keys() & old_services.keys()):
        changes = _changes(_dump(old_services[name]), _dump(after.services[name]))
        if changes:
            changed[name] = changes
    origin_bytes, unknown = _origin_bytes(before, after, weight_sizes or {})
    budget = after.deployment.distribution.origin_bytes_per_minute
    return Difference(
        added=tuple(sorted(after.services.keys() - old_services.keys())),
        removed=tuple(sorted(old_services.keys() - after.services.keys())),
        changed=changed,
        origin_bytes=origin_bytes,
        origin_minutes=origin_bytes / budget,
        unknown_versions=tuple(unknown),
    )


def _origin_bytes(
    before: Configuration | FileCollection | None,
    after: Configuration | FileCollection,
    weight_sizes: WeightSizes,
) -> tuple[int, list[str]]:
    """Count one copy for each new version, or one for each zone under the objective 'time'."""
    old_zones = _zones_by_version(before) if before else {}
    total = 0
    unknown: list[str] = []
    copy_per_zone = after.deployment.distribution.objective is Objective.TIME
    for version, zones in sorted(_zones_by_version(after).items()):
        zones_with_version = old_zones.get(version, set())
        copies = len(zones - zones_with_version) if copy_per_zone else int(not zones_with_version)
        if not copies:
            continue
        size = weight_sizes.get(version)
        if size is None:
            unknown.append("/".join(version))
        else:
            total += size * copies
    return total, unknown


def _zones_by_version(
    configuration: Configuration | FileCollection,
) -> dict[tuple[ModelName, VersionName], set[str]]:
    zones: dict[tuple[ModelName, VersionName], set[str]] = {}
    for service in configuration.services.values():
        if not isinstance(service, ModelServiceFile):
            continue
        replica_zones = {p.zone for p in service.placement if p.replicas}
        versions = [(service.model, service.version)]
        versions += [(adapter.model, adapter.version) for adapter in service.adapters]
        for model, version in versions:
            if replica_zones:
                key = (ModelName(model), VersionName(version))
                zones.setdefault(key, set()).update(replica_zones)
    return zones


def _dump(part: Any) -> dict[str, Any]:
    values: dict[str, Any] = part.model_dump(mode="json")
    return values


def _changes(before: Any, after: Any, path: str = "$") -> tuple[FieldChange, ...]:
    if before == after:
        return ()
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        keys = sorted(before.keys() | after.keys())
        pairs = [(f"{path}.{key}", before.get(key), after.get(key)) for key in keys]
    elif isinstance(before, list) and isinstance(after, list):
        count = max(len(before), len(after))
        pairs = [
            (f"{path}[{i}]", _item_or_none(before, i), _item_or_none(after, i))
            for i in range(count)
        ]
    else:
        return (FieldChange(path=path, before=before, after=after),)
    return tuple(change for p, old, new in pairs for change in _changes(old, new, p))


def _item_or_none(values: list[Any], position: int) -> Any:
    return values[position] if position < len(values) else None
