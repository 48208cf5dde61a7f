"""Publish operators' files through the object store."""

import asyncio
import contextlib
import random
import time
from collections import deque
from uuid import uuid4

from egretrouter.backends import ObjectStore, WeightSource
from egretrouter.core.configuration import (
    FILE_ADAPTER,
    INDEX_KEY,
    PART_KEY_PREFIX,
    AdapterFile,
    AnswerLost,
    Begin,
    Configuration,
    ConfigurationIndex,
    CreatePart,
    FileCollection,
    IndexConflicted,
    IndexRead,
    IndexUpdated,
    ModelServiceFile,
    PartStored,
    Publication,
    PublicationCommand,
    PublicationFailed,
    PublicationMessage,
    PublicationSucceeded,
    Tick,
    UpdateIndex,
    assemble,
    collect,
    encode_part,
)
from egretrouter.core.digests import content_digest
from egretrouter.core.eras import version_era
from egretrouter.core.errors import (
    BackendError,
    ManifestMismatchError,
    ObjectMissingError,
    VersionConflictError,
)
from egretrouter.core.identifiers import Digest, ModelName, PublicationId, VersionName
from egretrouter.core.validation import Mistake, MistakesError, decode, quoted
from egretrouter.core.weights import Manifest

TICK_SECONDS = 0.05

VersionKey = tuple[ModelName, VersionName]


async def pin_manifests(
    files: dict[str, bytes], origin: WeightSource | None
) -> tuple[FileCollection, dict[VersionKey, int]]:
    """Pin all manifest digests; return the files and the sizes of the weights in bytes.

    Without an origin the files must contain the digests. Raises MistakesError or BackendError.
    """
    collect(files)
    pinner = _ManifestPinner(origin)
    pinned = {name: await pinner.pin(name, content) for name, content in files.items()}
    if pinner.mistakes:
        raise MistakesError(pinner.mistakes)
    return collect(pinned, weight_sizes=pinner.sizes), pinner.sizes


class _ManifestPinner:
    """Look up manifest digests at the origin, once per version."""

    def __init__(self, origin: WeightSource | None) -> None:
        self._origin = origin
        self._digests: dict[VersionKey, Digest] = {}
        self.sizes: dict[VersionKey, int] = {}
        self.mistakes: list[Mistake] = []

    async def pin(self, file: str, content: bytes) -> bytes:
        part = decode(content, FILE_ADAPTER, file=file)
        if isinstance(part, ModelServiceFile):
            adapters = []
            for position, adapter in enumerate(part.adapters):
                digest = await self._pin_digest(file, f"$.adapters[{position}]", adapter)
                adapters.append(adapter.model_copy(update={"manifest_digest": digest}))
            digest = await self._pin_digest(file, "$", part)
            part = part.model_copy(update={"manifest_digest": digest, "adapters": tuple(adapters)})
        return encode_part(part)

    async def _pin_digest(
        self, file: str, path: str, item: ModelServiceFile | AdapterFile
    ) -> Digest | None:
        if self._origin is None:
            if item.manifest_digest is None:
                problem = "required field is missing; --origin looks it up"
                self._add_mistake(file, f"{path}.manifest_digest", problem)
            return None if item.manifest_digest is None else Digest(item.manifest_digest)
        key = (ModelName(item.model), VersionName(item.version))
        if key not in self._digests:
            try:
                content = await self._origin.manifest(*key)
                manifest = Manifest.from_json(content)
                if (manifest.model, manifest.version) != key:
                    raise ManifestMismatchError(
                        f"the origin returned the manifest of {manifest.model}/{manifest.version}"
                    )
            except (ObjectMissingError, ManifestMismatchError) as error:
                self._add_mistake(file, f"{path}.version", str(error), value=item.version)
                return None
            self._digests[key] = content_digest(content)
            self.sizes[key] = manifest.weight_bytes
        digest = self._digests[key]
        if item.manifest_digest not in (None, digest):
            problem = f"the origin has a different manifest of {item.model}/{item.version}"
            self._add_mistake(
                file,
                f"{path}.manifest_digest",
                problem,
                value=item.manifest_digest,
                accepted=digest,
            )
        return digest

    def _add_mistake(
        self,
        file: str,
        path: str,
        problem: str,
        *,
        value: str | None = None,
        accepted: str | None = None,
    ) -> None:
        found = None if value is None else quoted(value)
        self.mistakes.append(
            Mistake(file=file, path=path, problem=problem, value=found, accepted=accepted)
        )


async def publish(store: ObjectStore, collection: FileCollection) -> PublicationSucceeded:
    """Publish a collection as a new generation, unless the latest has the same files.

    Raises PublishConflictError, PublicationUnsettledError or PublicationFailedError.
    """
    publication = Publication(
        collection=collection,
        publication_id=PublicationId(uuid4().hex),
        rng=random.Random(uuid4().int),
    )
    commands = deque(publication.handle(Begin(), now_seconds=time.monotonic()))
    while True:
        if commands:
            command = commands.popleft()
            if isinstance(command, PublicationSucceeded):
                return command
            if isinstance(command, PublicationFailed):
                raise command.error
            message = await _execute(store, command)
        else:
            await asyncio.sleep(TICK_SECONDS)
            message = Tick()
        commands.extend(publication.handle(message, now_seconds=time.monotonic()))


async def _execute(store: ObjectStore, command: PublicationCommand) -> PublicationMessage:
    try:
        if isinstance(command, CreatePart):
            return await _create_part(store, command)
        if isinstance(command, UpdateIndex):
            return await _update_index(store, command)
        return await _read_index(store)
    except BackendError as error:
        return AnswerLost(reason=str(error))


async def _create_part(store: ObjectStore, command: CreatePart) -> PublicationMessage:
    # The key is the digest of the content, so an existing part has the same content.
    with contextlib.suppress(VersionConflictError):
        await store.put(command.key, command.content, expected_version=0)
    return PartStored(digest=command.digest)


async def _update_index(store: ObjectStore, command: UpdateIndex) -> PublicationMessage:
    try:
        await store.put(INDEX_KEY, command.content, expected_version=command.expected_version)
    except VersionConflictError:
        return IndexConflicted()
    return IndexUpdated()


async def _read_index(store: ObjectStore) -> IndexRead:
    try:
        index = await store.get(INDEX_KEY)
    except ObjectMissingError:
        return IndexRead(content=None, version=0, era=store.era)
    era = version_era(index.version) if store.era else 0
    return IndexRead(content=index.content, version=index.version, era=era)


async def published_index(store: ObjectStore) -> ConfigurationIndex | None:
    """Return the latest index in the store, or None if nothing was published.

    Raises BackendError or ConfigurationError.
    """
    found = await _read_index(store)
    return None if found.content is None else ConfigurationIndex.from_json(found.content)


async def published_configuration(store: ObjectStore) -> Configuration | None:
    """Return the latest configuration in the store, or None if nothing was published.

    Raises BackendError or ConfigurationError.
    """
    index = await published_index(store)
    if index is None:
        return None
    contents = {
        digest: (await store.get(PART_KEY_PREFIX + digest)).content
        for digest in set(index.parts.values())
    }
    return assemble(index, contents)
