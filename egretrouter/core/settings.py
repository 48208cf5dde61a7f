"""Define and validate the settings files of routers and agents."""

import ipaddress
from enum import Enum
from pathlib import Path
from typing import Annotated, Literal
from urllib.parse import urlsplit

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationInfo,
    field_validator,
)
from pydantic_core import PydanticCustomError

from egretrouter.core.validation import read_file

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
MEBIBYTE = 1024 * 1024


def _setting_error(problem: str, *, accepted: str) -> PydanticCustomError:
    # PydanticCustomError treats braces as placeholders.
    message = problem.replace("{", "(").replace("}", ")")
    return PydanticCustomError("setting", message, {"expected": accepted})


def _check_ip_address(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise _setting_error(
            "not an IP address", accepted="an IPv4 or IPv6 address without port"
        ) from None
    return value


def _check_url(value: str) -> str:
    accepted = "http:// or https://, a host, an optional port and path"
    try:
        parts = urlsplit(value)
        is_valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        is_valid = is_valid and (parts.port is None or parts.port > 0)
    except ValueError:
        is_valid = False
    if not is_valid or not value.isprintable() or " " in value:
        raise _setting_error("not an HTTP URL", accepted=accepted)
    if parts.query or parts.fragment or parts.username is not None:
        raise _setting_error("a URL with a query, fragment or user name", accepted=accepted)
    return value.rstrip("/")


def _check_socket_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    unbracketed = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        is_valid = ipaddress.ip_address(unbracketed).version == (4 if unbracketed == host else 6)
    except ValueError:
        is_valid = False
    if not (is_valid and port.isascii() and port.isdecimal() and 0 < int(port[:6]) < 65536):
        raise _setting_error(
            "not an IP address with a port", accepted="like 10.0.0.7:7000 or [fd00::7]:7000"
        )
    return value


def _check_file_name(value: str) -> str:
    if not value or "\0" in value:
        raise _setting_error("not a file name", accepted="a path without NUL")
    return value


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
HexDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
IpAddress = Annotated[str, AfterValidator(_check_ip_address)]
HttpUrl = Annotated[str, AfterValidator(_check_url)]
SocketAddress = Annotated[str, AfterValidator(_check_socket_address)]
FileName = Annotated[str, AfterValidator(_check_file_name)]
Port = Annotated[int, Field(ge=0, le=65535)]


class SettingsModel(BaseModel):
    """Reject unknown fields, so that a misspelt name is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class LogLevel(Enum):
    """List the minimum severities of logged messages."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class ListenSettings(SettingsModel):
    """Configure a listening address; with port 0 the kernel chooses the port."""

    address: IpAddress = "127.0.0.1"
    port: Port = 0

    @property
    def is_loopback(self) -> bool:
        """Return whether only processes on the same machine can connect."""
        return ipaddress.ip_address(self.address).is_loopback


class PeerListenSettings(ListenSettings):
    """Configure the gRPC listener for peers."""

    advertised_address: IpAddress | None = None
    """The address that peers connect to; by default the listening address."""

    @field_validator("advertised_address")
    @classmethod
    def _check_advertised(cls, value: str | None, info: ValidationInfo) -> str | None:
        listening_address = info.data.get("address")
        effective_address = value or listening_address
        if effective_address is not None and ipaddress.ip_address(effective_address).is_unspecified:
            raise _setting_error(
                f"peers can't connect to {effective_address}",
                accepted="an address of this instance",
            )
        return value

    model_config = ConfigDict(validate_default=True)

    @property
    def reachable_address(self) -> str:
        """Return the address that peers connect to."""
        return self.advertised_address or self.address


class TlsSettings(SettingsModel):
    """Configure the PEM files of one side of TLS; they are reloaded when they change."""

    certificate_file: FileName
    private_key_file: FileName
    authority_file: FileName | None = None
    """CA certificates that verify the other side; required for peers."""


class SecuritySettings(SettingsModel):
    """Configure the authentication of other processes and operators."""

    shared_secret_file: FileName | None = None
    """A file with the secrets shared by all processes of the deployment, one per line.

    The first is sent and any is accepted; the file is reloaded when it changes.
    """
    peer_tls: TlsSettings | None = None
    operators_token_sha256: tuple[HexDigest, ...] = ()
    """SHA-256 digests of bearer tokens accepted on the operators' port."""
    allow_unauthenticated_bind: bool = False
    """Allow listening on non-loopback addresses without authentication."""

    @field_validator("peer_tls")
    @classmethod
    def _check_authority(cls, value: TlsSettings | None) -> TlsSettings | None:
        if value is not None and value.authority_file is None:
            raise _setting_error(
                "peers authenticate each other, but 'authority_file' is missing",
                accepted="a peer_tls with 'authority_file'",
            )
        return value


class PlatformSettings(SettingsModel):
    """Configure the URLs and timeouts of the platform's backends."""

    object_store_url: HttpUrl
    origin_url: HttpUrl | None = None
    weight_store_url: HttpUrl | None = None
    instance_list_url: HttpUrl | None = None
    timeout_seconds: float = Field(default=5.0, gt=0, le=60)
    """Timeout of each request except watches and chunk transfers."""
    watch_seconds: float = Field(default=30.0, gt=0, le=60)
    chunk_timeout_seconds: float = Field(default=120.0, gt=0, le=3600)
    chunk_stall_seconds: float = Field(default=10.0, gt=0, le=600)


class CallerLimits(SettingsModel):
    """Limit the size and number of requests that callers may send."""

    max_header_bytes: int = Field(default=16 * 1024, ge=1024, le=MEBIBYTE)
    max_body_bytes: int = Field(default=8 * MEBIBYTE, ge=1024, le=256 * MEBIBYTE)
    max_body_seconds: float = Field(default=30.0, gt=0, le=3600)
    """How long a body may take to arrive if the caller sets no deadline."""
    max_json_depth: int = Field(default=32, ge=1, le=200)
    max_streams: int = Field(default=512, ge=1, le=100_000)
    """Maximum number of concurrently open streamed answers."""
    max_connections: int = Field(default=1024, ge=1, le=100_000)
    idle_connection_seconds: float = Field(default=75.0, gt=0, le=3600)


class ProcessSettings(SettingsModel):
    """Define the settings common to routers and agents."""

    instance_id: Name
    zone: Name
    region: Name
    operators: ListenSettings = ListenSettings()
    peers: PeerListenSettings = PeerListenSettings()
    platform: PlatformSettings
    seeds: tuple[SocketAddress, ...] = Field(default=(), max_length=256)
    """Peers to contact when joining, in addition to those in the instance list."""
    security: SecuritySettings = Field(default=SecuritySettings(), validate_default=True)
    """Declared after the listeners, because its validation depends on them."""
    log_file: FileName | None = None
    """None logs to standard error."""
    log_level: LogLevel = LogLevel.INFO

    @field_validator("security")
    @classmethod
    def _check_binds(cls, value: SecuritySettings, info: ValidationInfo) -> SecuritySettings:
        if value.allow_unauthenticated_bind:
            return value
        missing_settings = []
        peers, operators = info.data.get("peers"), info.data.get("operators")
        is_peer_authenticated = value.shared_secret_file or value.peer_tls
        if (
            isinstance(peers, ListenSettings)
            and not peers.is_loopback
            and not is_peer_authenticated
        ):
            missing_settings.append("'shared_secret_file' or 'peer_tls' for the peers' port")
        if isinstance(operators, ListenSettings) and not operators.is_loopback:
            missing_settings += [] if value.operators_token_sha256 else ["'operators_token_sha256'"]
        if missing_settings:
            raise _setting_error(
                "listening beyond loopback without authentication",
                accepted=" and ".join(missing_settings) + ", or 'allow_unauthenticated_bind': true",
            )
        return value


class RouterSettings(ProcessSettings):
    """Define the settings of a router."""

    kind: Literal["router"]
    callers: ListenSettings = ListenSettings(port=8080)
    callers_tls: TlsSettings | None = None
    limits: CallerLimits = CallerLimits()
    coalesce_events: bool = True
    """Whether events of one call that arrive together are written to the caller in one write."""

    @property
    def needs_tokens(self) -> bool:
        """Return whether callers are refused while no workspace has tokens.

        The configuration arrives after the start and may change, so the settings cannot be
        validated against it at startup.
        """
        return not (self.callers.is_loopback or self.security.allow_unauthenticated_bind)


class EndpointSettings(SettingsModel):
    """Identify the endpoint that an agent serves."""

    endpoint_id: Name
    service: Name
    url: HttpUrl


class AgentSettings(ProcessSettings):
    """Define the settings of an agent."""

    kind: Literal["agent"]
    endpoint: EndpointSettings
    weight_memory_bytes: int = Field(default=64 * MEBIBYTE, ge=0)
    """Memory for weight chunks; 0 on instances of plain services."""
    load_timeout_seconds: float = Field(default=600.0, gt=0, le=7200)
    origin_hold_seconds: float = Field(default=75.0, ge=0, le=600)
    """Time after the start during which the agent has no share of the origin's byte budget.

    Until then it fetches from the origin only what other agents grant it from their shares. A
    previous process may have spent this instance's share within the last minute, so only a
    deployment that starts for the first time may set it to 0.
    """
    lease_seconds: float = Field(default=10.0, gt=0, le=600)
    """An agent that was paused for longer rereads its fencing number before the next order."""
    coalesce_events: bool = True
    """Whether queued events for the same router are sent in one message."""


Settings = Annotated[RouterSettings | AgentSettings, Field(discriminator="kind")]
ROUTER_ADAPTER: TypeAdapter[RouterSettings] = TypeAdapter(RouterSettings)
AGENT_ADAPTER: TypeAdapter[AgentSettings] = TypeAdapter(AgentSettings)


def load_router_settings(path: Path) -> RouterSettings:
    """Read and validate a router's settings file.

    Raises MistakesError if the file is unreadable or invalid.
    """
    return read_file(path, ROUTER_ADAPTER)


def load_agent_settings(path: Path) -> AgentSettings:
    """Read and validate an agent's settings file.

    Raises MistakesError if the file is unreadable or invalid.
    """
    return read_file(path, AGENT_ADAPTER)
