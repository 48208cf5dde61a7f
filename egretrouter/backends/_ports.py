"""Define the ports to the platform's systems."""

from collections.abc import AsyncIterator, Callable
from enum import Enum
from typing import Protocol

import msgspec

from egretrouter.core.identifiers import (
    ChunkIndex,
    Digest,
    EndpointId,
    InstanceId,
    ModelName,
    VersionName,
    ZoneId,
)


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one object with its version; version 0 means that it does not exist."""

    key: str
    content: bytes
    version: int


class ObjectStore(Protocol):
    """Read, write and watch objects of the platform's object API."""

    async def get(self, key: str) -> StoredObject:
        """Read one object.

        Raises ObjectMissingError, RateLimitedError or BackendUnavailableError.
        """

    async def put(self, key: str, content: bytes, *, expected_version: int | None = None) -> int:
        """Write one object and return its new version.

        With expected_version 0 the object must not exist yet. Raises VersionConflictError,
        LostAnswerError, RateLimitedError or BackendUnavailableError.
        """

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete one object.

        Raises what put raises, and ObjectMissingError.
        """

    async def list(self, prefix: str) -> list[StoredObject]:
        """Read all objects below a prefix.

        Raises RateLimitedError or BackendUnavailableError.
        """

    def watch(self, key: str, *, after_version: int) -> AsyncIterator[StoredObject]:
        """Yield the object each time it is newer than the version seen last.

        Raises BackendUnavailableError when the watch breaks; the caller resynchronizes.
        """


class WeightSource(Protocol):
    """Read manifests and chunks from the origin or the weight store."""

    async def manifest(self, model: ModelName, version: VersionName) -> bytes:
        """Read a manifest.

        Raises ObjectMissingError, RateLimitedError or BackendUnavailableError.
        """

    async def chunk(
        self,
        model: ModelName,
        version: VersionName,
        index: ChunkIndex,
        *,
        offset: int,
        length: int,
        on_bytes: Callable[[], None] | None = None,
    ) -> bytes:
        """Read one chunk by its byte range; the content is not verified.

        Calls on_bytes each time a part of the chunk arrived. Raises what manifest raises.
        """


class InstanceState(Enum):
    """Name the states in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one entry of the platform's instance list."""

    instance_id: InstanceId
    zone: ZoneId
    role: str
    address: str
    state: InstanceState


class InstanceList(Protocol):
    """Read the platform's lagging list of instances."""

    async def instances(self) -> list[ListedInstance]:
        """Return the list as the platform knows it.

        Raises BackendUnavailableError.
        """


class LoadedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Name a model or adapter that an engine reports as loaded."""

    model: ModelName
    version: VersionName
    manifest_digest: Digest


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what an endpoint reports about itself."""

    loaded: tuple[LoadedVersion, ...] = ()
    queued_calls: int = 0
    running_calls: int = 0
    cached_prefixes: int = 0
    fencing_number: int = 0


class Engine(Protocol):
    """Give orders to a model engine."""

    endpoint_id: EndpointId

    async def report(self) -> EngineReport:
        """Return what the engine has loaded and its load.

        Raises BackendUnavailableError.
        """

    async def load(
        self,
        *,
        model: ModelName,
        version: VersionName,
        manifest_digest: Digest,
        weights_digest: Digest,
        content: AsyncIterator[bytes],
        fencing_number: int,
        base_model: ModelName | None = None,
    ) -> None:
        """Load a version from its content, whose digest the engine checks.

        Raises StaleFencingNumberError, OrderError, BackendUnavailableError, LostAnswerError (ask
        for a report before another order) or what the iteration of content raises.
        """

    async def unload(self, *, model: ModelName, version: VersionName, fencing_number: int) -> None:
        """Unload a version.

        Raises what load raises.
        """
