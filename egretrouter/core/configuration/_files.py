"""Define the JSON files that operators keep next to each service's code."""

from enum import Enum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from egretrouter.core.objective import Objective

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
HexDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class FileModel(BaseModel):
    """Reject unknown fields, so that a misspelt name is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class EngineRole(Enum):
    """List the phases of a model call that an engine can serve."""

    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"


class ZoneFile(FileModel):
    """Describe one availability zone."""

    name: Name
    region: Name


class WorkspaceFile(FileModel):
    """Describe one workspace with its scheduling weight, limits and token digests."""

    name: Name
    weight: int = Field(default=1, ge=1, le=1000)
    requests_per_second: float = Field(default=50.0, gt=0)
    tokens_per_second: float = Field(default=10_000.0, gt=0)
    concurrent_calls: int = Field(default=64, ge=1)
    token_sha256: tuple[HexDigest, ...] = ()


class DistributionFile(FileModel):
    """Describe how weights are copied and the bandwidth that copies may use."""

    objective: Objective = Objective.TIME
    origin_copies: int = Field(default=2, ge=1, le=1000)
    """Zones that fetch a chunk from the origin for objective 'time'; limited by the origin link."""
    origin_bytes_per_minute: int = Field(default=64 * 1024**2, ge=1024)
    link_share: float = Field(default=0.8, gt=0, le=1)
    inter_region_bits_per_second: int = Field(default=10_000_000, ge=1000)
    inter_region_share: float = Field(default=0.5, gt=0, le=1)
    instance_link_bytes_per_second: int = Field(default=16 * 1024**2, ge=1024)
    serve_after_load_seconds: float = Field(default=120.0, ge=0)
    weight_memory_bytes: int | None = Field(default=None, ge=1024)


class DeploymentFile(FileModel):
    """Describe the zones, workspaces and distribution that all services share."""

    kind: Literal["deployment"]
    name: Name
    zones: tuple[ZoneFile, ...] = Field(min_length=1)
    workspaces: tuple[WorkspaceFile, ...] = Field(min_length=1)
    distribution: DistributionFile = DistributionFile()


class PlacementFile(FileModel):
    """Set the number of replicas in an availability zone."""

    zone: Name
    replicas: int = Field(ge=0, le=10_000)


class AdapterFile(FileModel):
    """Describe an adapter that is loaded together with its base model."""

    model: Name
    version: Name
    manifest_digest: HexDigest | None = None


class EndpointFile(FileModel):
    """Declare the optional protocol features that a service's endpoints support."""

    checks_fencing: bool = False
    checks_order_giver: bool = False
    reports_load: bool = False
    resumes_streams: bool = False
    """Engines of one version answer a repeated request with the same bytes, so another engine can
    continue an answer that was interrupted."""


class ServiceFile(FileModel):
    """Define the fields common to all kinds of service."""

    name: Name
    placement: tuple[PlacementFile, ...] = Field(min_length=1)
    hosts: tuple[str, ...] = ()
    prefixes: tuple[str, ...] = ()
    workspaces: tuple[Name, ...] = ()
    deadline_seconds: float = Field(default=30.0, gt=0, le=3600)
    endpoint: EndpointFile = EndpointFile()


class ModelServiceFile(ServiceFile):
    """Describe a service whose endpoints are model engines."""

    kind: Literal["model"]
    model: Name
    version: Name
    manifest_digest: HexDigest | None = None
    adapters: tuple[AdapterFile, ...] = ()
    engine_role: EngineRole = EngineRole.BOTH
    min_ready: int = Field(default=1, ge=0)
    halt_after_failures: int = Field(default=3, ge=1)


class IdempotencyRule(FileModel):
    """Declare whether calls of a method below a path prefix may be repeated."""

    method: Literal["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH", "*"] = "*"
    path_prefix: str = Field(default="/", pattern=r"^/")
    header: str | None = None
    idempotent: bool


class PlainServiceFile(ServiceFile):
    """Describe a service whose endpoints answer plain HTTP calls."""

    kind: Literal["plain"]
    idempotency: tuple[IdempotencyRule, ...] = ()

    @model_validator(mode="after")
    def _check_reachable(self) -> "PlainServiceFile":
        if not self.hosts and not self.prefixes:
            raise ValueError("a plain service needs at least one entry in 'hosts' or 'prefixes'")
        return self


OperatorFile = Annotated[
    DeploymentFile | ModelServiceFile | PlainServiceFile, Field(discriminator="kind")
]
