"""Define the ports (protocols) to the platform's systems."""

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
    """Carry an object with its version; version 0 means that the object does not exist.

    Versions are ordered by the store's eras: those of a later era are higher.
    """

    key: str
    content: bytes
    version: int


class ObjectStore(Protocol):
    """Define access to the versioned objects of the platform's object API."""

    @property
    def era(self) -> int:
        """Return the latest era that the store told, 0 if it told none.

        A store that comes back from an older copy of itself begins a new era, in which it may have
        lost acknowledged writes and gives versions out again.
        """

    async def get(self, key: str) -> StoredObject:
        """Read one object.

        Raises ObjectMissingError, RateLimitedError or BackendUnavailableError.
        """

    async def put(self, key: str, content: bytes, *, expected_version: int | None = None) -> int:
        """Write one object and return its new version.

        With expected_version 0, the object must not exist yet. Raises VersionConflictError,
        LostAnswerError, RateLimitedError or BackendUnavailableError.
        """

    async def delete(self, key: str, *, expected_version: int | None = None) -> None:
        """Delete one object.

        Raises the errors of put, and ObjectMissingError.
        """

    async def list(self, prefix: str) -> list[StoredObject]:
        """Read all objects whose keys start with a prefix.

        Raises RateLimitedError or BackendUnavailableError.
        """

    def watch(self, key: str, *, after_version: int) -> AsyncIterator[StoredObject]:
        """Yield each version of the object that is newer than the last one.

        Raises BackendUnavailableError when the watch breaks; the caller must then read the object
        again.
        """


class WeightSource(Protocol):
    """Define access to a source of manifests and chunks: the origin or the weight store."""

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
        """Read one chunk by its byte range, without verifying its content.

        Calls on_bytes each time a part of the chunk arrives. Raises the errors of manifest.
        """


class InstanceState(Enum):
    """List the states of an instance in the platform's instance list."""

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
    """Define access to the platform's instance list, which lags behind the running instances."""

    async def instances(self) -> list[ListedInstance]:
        """Return the instances that the platform lists.

        Raises BackendUnavailableError.
        """


class LoadedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a model or adapter that an engine reports as loaded."""

    model: ModelName
    version: VersionName
    manifest_digest: Digest


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Carry the loaded versions and the load that an endpoint reports about itself."""

    loaded: tuple[LoadedVersion, ...] = ()
    queued_calls: int = 0
    running_calls: int = 0
    cached_prefixes: int = 0
    fencing_number: int = 0


class Engine(Protocol):
    """Define access to a model engine, which loads and unloads versions by order of an agent."""

    endpoint_id: EndpointId

    async def report(self) -> EngineReport:
        """Return the loaded versions and the load of the engine.

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
        """Send the content of a version for loading; the engine verifies its digest.

        Raises StaleFencingNumberError, OrderError, BackendUnavailableError, LostAnswerError (fetch
        a report before the next order) or any error of the iteration over content.
        """

    async def unload(self, *, model: ModelName, version: VersionName, fencing_number: int) -> None:
        """Unload a version.

        Raises the errors of load.
        """
