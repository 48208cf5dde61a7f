"""Build authenticated gRPC servers and channels between the system's processes."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import grpc
import grpc.aio
import msgspec

from egretrouter.transport._secrets import SharedSecrets

MESSAGE_LIMIT_BYTES = 16 * 1024**2
KEEPALIVE_MILLISECONDS = 5_000
KEEPALIVE_TIMEOUT_MILLISECONDS = 3_000
# Nothing listens on port 1 of loopback, so calls to it fail like calls to an unreachable peer.
UNREACHABLE_ADDRESS = "127.0.0.1:1"
# Peer addresses are IP addresses, so all certificates are verified against one shared name.
CERTIFICATE_NAME = "egretrouter"

_SECRET_KEY = "x-egretrouter-secret"
_OPTIONS: list[tuple[str, Any]] = [
    ("grpc.max_receive_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.max_send_message_length", MESSAGE_LIMIT_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_MILLISECONDS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MILLISECONDS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MILLISECONDS - 1_000),
    ("grpc.so_reuseport", 0),
    # A peer that restarts at the same address must be reachable again within seconds.
    ("grpc.max_reconnect_backoff_ms", 2_000),
]


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True):
    """Locate the PEM files for mutual TLS between processes."""

    certificate: Path
    key: Path
    authority: Path


class PeerSecurity(msgspec.Struct, frozen=True, kw_only=True):
    """Define the credentials by which the processes of the system authenticate each other."""

    secrets: SharedSecrets | None = None
    tls: TlsFiles | None = None

    @property
    def authenticated(self) -> bool:
        """Return whether peers must authenticate."""
        return self.secrets is not None or self.tls is not None


class _SecretInterceptor(grpc.aio.ServerInterceptor):  # type: ignore[misc]
    """Reject calls to a server that do not carry an accepted secret."""

    def __init__(self, secrets: SharedSecrets) -> None:
        self._secrets = secrets

        async def refuse(_: Any, context: Any) -> None:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "the shared secret is missing")

        self._refusal = grpc.unary_unary_rpc_method_handler(refuse)

    async def intercept_service(
        self, continuation: Callable[[Any], Awaitable[Any]], handler_call_details: Any
    ) -> Any:
        """Continue the call if its metadata contains an accepted secret."""
        metadata = dict(handler_call_details.invocation_metadata)
        if self._secrets.is_accepted(str(metadata.get(_SECRET_KEY, ""))):
            return await continuation(handler_call_details)
        return self._refusal


def build_server(security: PeerSecurity) -> Any:
    """Create a gRPC server that authenticates its clients."""
    interceptors = [_SecretInterceptor(security.secrets)] if security.secrets is not None else []
    return grpc.aio.server(interceptors=interceptors, options=_OPTIONS)


def bind_server(server: Any, address: str, security: PeerSecurity) -> int:
    """Bind the server to an address and return the port."""
    if security.tls is None:
        return int(server.add_insecure_port(address))
    return int(server.add_secure_port(address, _server_credentials(security.tls)))


def _server_credentials(files: TlsFiles) -> Any:
    def load() -> Any:
        return grpc.ssl_server_certificate_configuration(
            [(files.key.read_bytes(), files.certificate.read_bytes())],
            root_certificates=files.authority.read_bytes(),
        )

    # gRPC calls load at each handshake, so replaced files take effect without a restart.
    return grpc.dynamic_ssl_server_credentials(load(), load, require_client_authentication=True)


class ChannelPool:
    """Pool gRPC channels, one per peer address."""

    def __init__(
        self, security: PeerSecurity, *, reachable: Callable[[str], bool] = lambda _: True
    ) -> None:
        """Open channels on first use; tests simulate a network partition by `reachable`."""
        self._security = security
        self._reachable = reachable
        self._channels: dict[str, Any] = {}

    @property
    def metadata(self) -> tuple[tuple[str, str], ...]:
        """Return the call metadata that authenticates this process."""
        secrets = self._security.secrets
        return () if secrets is None else ((_SECRET_KEY, secrets.current()),)

    def channel(self, address: str) -> Any:
        """Return the channel to an address, creating it on first use."""
        if not self._reachable(address):
            address = UNREACHABLE_ADDRESS
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._open(address)
        return channel

    async def discard(self, address: str) -> None:
        """Close and remove the channel to an address."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels):
            await self.discard(address)

    def _open(self, address: str) -> Any:
        files = self._security.tls
        if files is None:
            return grpc.aio.insecure_channel(address, options=_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            root_certificates=files.authority.read_bytes(),
            private_key=files.key.read_bytes(),
            certificate_chain=files.certificate.read_bytes(),
        )
        options = [*_OPTIONS, ("grpc.ssl_target_name_override", CERTIFICATE_NAME)]
        return grpc.aio.secure_channel(address, credentials, options=options)
