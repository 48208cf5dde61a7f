"""Parse operators' files and check the rules that span several files."""

import json
from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from egretrouter.core.configuration._configuration import (
    FILE_ADAPTER,
    ConfigurationError,
    encode_part,
    part_name,
)
from egretrouter.core.configuration._files import (
    AdapterFile,
    DeploymentFile,
    ModelServiceFile,
    PlainServiceFile,
)
from egretrouter.core.digests import content_digest
from egretrouter.core.identifiers import Digest, ModelName, ServiceName, VersionName
from egretrouter.core.validation import Mistake, MistakesError, decode, join_names, quoted

MAXIMUM_PART_BYTES = 1024**2
"""The object API accepts values of up to 1 MB."""

ALL_FILES = "(all files)"
"""File name reported for a mistake that belongs to no single file."""

WeightSizes = Mapping[tuple[ModelName, VersionName], int]
"""Bytes of the weights of each model and version; unknown sizes are absent."""

_Service = ModelServiceFile | PlainServiceFile
_KINDS = ("deployment", "model", "plain")


class FilesRejectedError(ConfigurationError, MistakesError):
    """Operators' files break rules; lists every mistake."""


class FileCollection(msgspec.Struct, frozen=True, kw_only=True):
    """Contain validated operators' files with their encoded parts and digests."""

    deployment: DeploymentFile
    services: dict[ServiceName, _Service]
    parts: dict[str, Digest]
    contents: dict[Digest, bytes]


def collect(
    files: Mapping[str, bytes], *, weight_sizes: WeightSizes | None = None
) -> FileCollection:
    """Parse and check all files of a deployment together.

    Raises FilesRejectedError, which lists every mistake with file, path, value and accepted values.
    """
    checker = _Checker(weight_sizes or {})
    for name, content in sorted(files.items()):
        checker.parse(name, content)
    deployment = checker.check()
    if checker.mistakes or deployment is None:
        raise FilesRejectedError(checker.mistakes)
    parts: dict[str, Digest] = {}
    contents: dict[Digest, bytes] = {}
    for part in (deployment, *(service for _, service in checker.services)):
        content = encode_part(part)
        digest = content_digest(content)
        parts[part_name(part)] = digest
        contents[digest] = content
    return FileCollection(
        deployment=deployment,
        services={ServiceName(s.name): s for _, s in checker.services},
        parts=parts,
        contents=contents,
    )


class _Checker:
    """Check files and gather all mistakes, so that an operator sees them at once."""

    def __init__(self, weight_sizes: WeightSizes) -> None:
        self.mistakes: list[Mistake] = []
        self.services: list[tuple[str, _Service]] = []
        self._deployments: list[tuple[str, DeploymentFile]] = []
        self._broken_deployment = False
        self._weight_sizes = weight_sizes

    def add(self, file: str, path: str, value: object, reason: str) -> None:
        self.mistakes.append(Mistake(file=file, path=path, value=quoted(value), problem=reason))

    def parse(self, file: str, content: bytes) -> None:
        if len(content) > MAXIMUM_PART_BYTES:
            self.add(file, "$", f"{len(content)} bytes", f"at most {MAXIMUM_PART_BYTES} bytes")
            return
        try:
            part = decode(content, FILE_ADAPTER, file=file)
        except MistakesError as error:
            self._broken_deployment |= _read_kind(content) in (None, "deployment")
            self.mistakes.extend(error.mistakes)
            return
        if len(encode_part(part)) > MAXIMUM_PART_BYTES:
            self.add(file, "$", part.name, f"encodes to more than {MAXIMUM_PART_BYTES} bytes")
        if isinstance(part, DeploymentFile):
            self._deployments.append((file, part))
        else:
            self.services.append((file, part))

    def check(self) -> DeploymentFile | None:
        self._check_services()
        self._check_versions()
        if not self._deployments:
            if not self._broken_deployment:
                self.add(ALL_FILES, "$.kind", "none", "one file of kind 'deployment' is required")
            return None
        for file, extra in self._deployments[1:]:
            reason = f"{self._deployments[0][0]} already has kind 'deployment'; only one file may"
            self.add(file, "$.kind", extra.kind, reason)
        file, deployment = self._deployments[0]
        self._check_deployment(file, deployment)
        for service_file, service in self.services:
            self._check_references(service_file, service, deployment)
        return deployment

    def _check_unique(self, file: str, path: str, values: Iterable[str]) -> None:
        for value, count in Counter(values).items():
            if count > 1:
                self.add(file, path, value, f"must be unique, but appears {count} times")

    def _check_deployment(self, file: str, deployment: DeploymentFile) -> None:
        self._check_unique(file, "$.zones[*].name", (z.name for z in deployment.zones))
        self._check_unique(file, "$.workspaces[*].name", (w.name for w in deployment.workspaces))
        tokens = (token for w in deployment.workspaces for token in w.token_sha256)
        self._check_unique(file, "$.workspaces[*].token_sha256", tokens)

    def _check_services(self) -> None:
        names: dict[str, str] = {}
        routes: dict[tuple[str, str], str] = {}
        for file, service in self.services:
            other = names.setdefault(service.name, file)
            if other != file:
                self.add(
                    file, "$.name", service.name, f"{other} already defines a service of this name"
                )
            for host in service.hosts or ("",):
                for prefix in service.prefixes or ("",):
                    other = routes.setdefault((host, prefix), file)
                    if (host or prefix) and other != file:
                        path = "$.hosts" if host else "$.prefixes"
                        self.add(
                            file,
                            path,
                            host + prefix,
                            f"{other} already serves this host and prefix",
                        )

    def _check_versions(self) -> None:
        pinned: dict[tuple[str, str], tuple[str, str]] = {}
        for file, service in self.services:
            if not isinstance(service, ModelServiceFile):
                continue
            self._check_unique(file, "$.adapters[*].model", (a.model for a in service.adapters))
            items: list[tuple[str, ModelServiceFile | AdapterFile]] = [("$", service)]
            items += [(f"$.adapters[{i}]", adapter) for i, adapter in enumerate(service.adapters)]
            for path, item in items:
                digest = item.manifest_digest
                if digest is None:
                    continue
                key = (item.model, item.version)
                other_file, other = pinned.setdefault(key, (file, digest))
                if other != digest:
                    reason = f"{other_file} pins {item.model}/{item.version} to {other}"
                    self.add(file, f"{path}.manifest_digest", digest, reason)

    def _check_references(self, file: str, service: _Service, deployment: DeploymentFile) -> None:
        zones = [zone.name for zone in deployment.zones]
        self._check_unique(file, "$.placement[*].zone", (p.zone for p in service.placement))
        for i, placement in enumerate(service.placement):
            if placement.zone not in zones:
                self.add(file, f"$.placement[{i}].zone", placement.zone, _describe_accepted(zones))
        workspaces = [workspace.name for workspace in deployment.workspaces]
        for i, workspace in enumerate(service.workspaces):
            if workspace not in workspaces:
                self.add(file, f"$.workspaces[{i}]", workspace, _describe_accepted(workspaces))
        if isinstance(service, ModelServiceFile):
            replicas = [p.replicas for p in service.placement if p.replicas]
            if replicas and service.min_ready > min(replicas):
                reason = f"at most {min(replicas)}, the smallest nonzero replica count of a zone"
                self.add(file, "$.min_ready", service.min_ready, reason)
            self._check_memory(file, service, deployment.distribution.weight_memory_bytes)

    def _check_memory(self, file: str, service: ModelServiceFile, memory: int | None) -> None:
        if memory is None:
            return
        versions = [(service.model, service.version)]
        versions += [(adapter.model, adapter.version) for adapter in service.adapters]
        size = sum(self._weight_sizes.get((ModelName(m), VersionName(v)), 0) for m, v in versions)
        if size > memory:
            reason = f"weights may take at most {memory} bytes ('weight_memory_bytes')"
            self.add(file, "$.version", f"{service.version} of {size} bytes", reason)


def _read_kind(content: bytes) -> str | None:
    try:
        values = json.loads(content)
    except (ValueError, RecursionError):
        return None
    kind = values.get("kind") if isinstance(values, dict) else None
    return kind if isinstance(kind, str) and kind in _KINDS else None


def _describe_accepted(values: Iterable[str]) -> str:
    return "accepted values are " + join_names(values)
