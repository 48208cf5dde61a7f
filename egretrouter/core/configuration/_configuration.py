"""Encode operators' files as parts and assemble a configuration from them."""

import json
from collections.abc import Mapping
from typing import Annotated

import msgspec
from pydantic import TypeAdapter
from pydantic import ValidationError as PydanticError

from egretrouter.core.configuration._files import (
    DeploymentFile,
    ModelServiceFile,
    OperatorFile,
    PlainServiceFile,
)
from egretrouter.core.decoding import DECODE_ERRORS
from egretrouter.core.digests import content_digest
from egretrouter.core.errors import ValidationError
from egretrouter.core.identifiers import Digest, Generation, PublicationId, ServiceName

DEPLOYMENT_PART = "deployment"
SERVICE_PART_PREFIX = "service/"
MAX_GENERATION = 2**53
"""Far more than are ever published, and messages between processes can carry it."""

FILE_ADAPTER: TypeAdapter[DeploymentFile | ModelServiceFile | PlainServiceFile] = TypeAdapter(
    OperatorFile
)


class ConfigurationError(ValidationError):
    """A configuration's index or parts are missing, malformed or inconsistent."""


class ConfigurationIndex(msgspec.Struct, frozen=True, kw_only=True):
    """Map part names to digests for one generation."""

    generation: Annotated[Generation, msgspec.Meta(ge=0, le=MAX_GENERATION)]
    publication_id: PublicationId
    parts: dict[str, Digest]
    earlier_publications: tuple[PublicationId, ...] = ()
    """Previous publications, latest first; they settle a publication whose answer was lost."""

    def to_json(self) -> bytes:
        """Encode the index with sorted keys."""
        return msgspec.json.encode(self, order="deterministic")

    @classmethod
    def from_json(cls, content: bytes) -> "ConfigurationIndex":
        """Decode an index.

        Raises ConfigurationError if the content is not a valid index.
        """
        try:
            return msgspec.json.decode(content, type=cls)
        except DECODE_ERRORS as error:
            raise ConfigurationError(f"configuration index is malformed: {error}") from error


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """Contain all parsed files of one generation."""

    index: ConfigurationIndex
    deployment: DeploymentFile
    services: dict[ServiceName, ModelServiceFile | PlainServiceFile]

    @property
    def generation(self) -> Generation:
        """Return the generation number from the index."""
        return self.index.generation

    def model_services(self) -> list[ModelServiceFile]:
        """Return the services whose endpoints are model engines."""
        return [s for s in self.services.values() if isinstance(s, ModelServiceFile)]


def encode_part(part: DeploymentFile | ModelServiceFile | PlainServiceFile) -> bytes:
    """Encode one part canonically, so that equal parts have equal digests."""
    values = part.model_dump(mode="json")
    return json.dumps(values, sort_keys=True, separators=(",", ":")).encode()


def part_name(part: DeploymentFile | ModelServiceFile | PlainServiceFile) -> str:
    """Return the name of a part in the index."""
    if isinstance(part, DeploymentFile):
        return DEPLOYMENT_PART
    return SERVICE_PART_PREFIX + part.name


def assemble(index: ConfigurationIndex, contents: Mapping[Digest, bytes]) -> Configuration:
    """Build the configuration of one generation from its parts.

    Raises ConfigurationError if a part is missing, malformed or does not match its digest.
    """
    deployment: DeploymentFile | None = None
    services: dict[ServiceName, ModelServiceFile | PlainServiceFile] = {}
    for name, digest in index.parts.items():
        content = contents.get(digest)
        if content is None:
            raise ConfigurationError(f"part {name!r} ({digest}) is missing")
        if content_digest(content) != digest:
            raise ConfigurationError(f"part {name!r} does not match its digest {digest}")
        try:
            part = FILE_ADAPTER.validate_json(content)
        except PydanticError as error:
            raise ConfigurationError(f"part {name!r} ({digest}) is malformed: {error}") from error
        if isinstance(part, DeploymentFile):
            deployment = part
        else:
            services[ServiceName(part.name)] = part
    if deployment is None:
        raise ConfigurationError(f"generation {index.generation} has no deployment part")
    return Configuration(index=index, deployment=deployment, services=services)
