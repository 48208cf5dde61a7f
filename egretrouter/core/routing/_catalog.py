"""Resolve the service, version and adapter that a request names."""

from collections.abc import Iterable

import msgspec

from egretrouter.core.configuration import Configuration, ModelServiceFile, PlainServiceFile
from egretrouter.core.identifiers import Digest, ModelName


class ModelTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the target of a model name; without a digest any loaded version may answer."""

    service: ModelServiceFile
    version_digest: Digest | None = None
    adapter: ModelName | None = None


class ServiceCatalog:
    """Look up services by the names, hosts and prefixes of one configuration."""

    def __init__(self, configuration: Configuration | None) -> None:
        """Index a configuration; without one every lookup returns None."""
        services = list(configuration.services.values()) if configuration else []
        self._models: dict[str, ModelTarget] = {}
        self._hosts: dict[str, PlainServiceFile] = {}
        self._prefixes: list[tuple[str, PlainServiceFile]] = []
        for service in services:
            if isinstance(service, ModelServiceFile):
                self._add_model(service)
            else:
                self._add_plain(service)
        # The longest prefix wins, so that "/stock" does not match requests for "/stock/items".
        self._prefixes.sort(key=lambda entry: -len(entry[0]))

    def find_model(self, name: str) -> ModelTarget | None:
        """Return the target of a model, version, adapter or service name."""
        return self._models.get(name)

    def model_names(self) -> Iterable[str]:
        """Return every name that callers may use for a model."""
        return self._models.keys()

    def find_plain_service(self, *, host: str, path: str) -> PlainServiceFile | None:
        """Return the plain service that matches the host or, failing that, the path."""
        by_host = self._hosts.get(host.rpartition(":")[0] or host)
        if by_host is not None:
            return by_host
        for prefix, service in self._prefixes:
            if path == prefix or path.startswith(prefix.rstrip("/") + "/"):
                return service
        return None

    def _add_model(self, service: ModelServiceFile) -> None:
        any_version = ModelTarget(service=service)
        self._models.setdefault(service.name, any_version)
        self._models.setdefault(service.model, any_version)
        if service.manifest_digest is not None:
            pinned = ModelTarget(service=service, version_digest=Digest(service.manifest_digest))
            self._models.setdefault(f"{service.model}@{service.version}", pinned)
        for adapter in service.adapters:
            if adapter.manifest_digest is None:
                continue
            target = ModelTarget(
                service=service,
                version_digest=Digest(adapter.manifest_digest),
                adapter=ModelName(adapter.model),
            )
            self._models.setdefault(adapter.model, target)
            self._models.setdefault(f"{adapter.model}@{adapter.version}", target)

    def _add_plain(self, service: PlainServiceFile) -> None:
        for host in service.hosts:
            self._hosts.setdefault(host, service)
        self._prefixes += [(prefix, service) for prefix in service.prefixes]
