"""Test how processes and callers authenticate each other."""

import ssl
from pathlib import Path
from typing import Any

import grpc
import pytest
import trustme

from egretrouter.core.settings import SecuritySettings, TlsSettings
from egretrouter.daemons._peers import PeersServicer
from egretrouter.daemons._process import peer_security
from egretrouter.daemons._tls import CallerTls
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport._rpc import (
    ChannelPool,
    PeerSecurity,
    TlsFiles,
    bind_server,
    build_server,
)
from egretrouter.transport._secrets import SecretError


def write_identity(authority: trustme.CA, folder: Path) -> TlsFiles:
    folder.mkdir(exist_ok=True)
    files = TlsFiles(
        certificate=folder / "cert.pem", key=folder / "key.pem", authority=folder / "ca.pem"
    )
    identity = authority.issue_cert("egretrouter")
    identity.private_key_pem.write_to_path(files.key)
    identity.cert_chain_pems[0].write_to_path(files.certificate)
    authority.cert_pem.write_to_path(files.authority)
    return files


def secret_file(path: Path, content: str) -> PeerSecurity:
    path.write_text(content)
    return peer_security(SecuritySettings(shared_secret_file=str(path)))


async def request_dump(server: PeerSecurity, client: PeerSecurity, *, replace: Any = None) -> bytes:
    """Request the state dump of a server; both sides have their own security settings."""
    process = build_server(server)
    pb_grpc.add_PeersServicer_to_server(PeersServicer(dump=lambda: {"ok": True}), process)
    port = bind_server(process, "127.0.0.1:0", server)
    await process.start()
    if replace is not None:
        replace()
    channels = ChannelPool(client)
    try:
        stub = pb_grpc.PeersStub(channels.channel(f"127.0.0.1:{port}"))
        reply = await stub.DumpState(pb.DumpRequest(), metadata=channels.metadata, timeout=5)
        return bytes(reply.state)
    finally:
        await channels.close()
        await process.stop(0)


class TestPeerSecurity:
    """Guard against accepting processes of another deployment as peers."""

    @pytest.mark.parametrize("offered", [None, "other", "right\nother"])
    async def test_refuses_another_secret(self, offered: str | None, tmp_path: Path) -> None:
        server = secret_file(tmp_path / "server", "newest\nolder")
        client = PeerSecurity() if offered is None else secret_file(tmp_path / "client", offered)
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            await request_dump(server, client)
        assert caught.value.code() is grpc.StatusCode.UNAUTHENTICATED

    @pytest.mark.parametrize("offered", ["newest", "older", "older\nnewest"])
    async def test_accepts_each_secret_of_the_file(self, offered: str, tmp_path: Path) -> None:
        server = secret_file(tmp_path / "server", "newest\nolder")
        assert (
            await request_dump(server, secret_file(tmp_path / "client", offered)) == b'{"ok": true}'
        )

    async def test_loads_a_replaced_secret_without_a_restart(self, tmp_path: Path) -> None:
        server = secret_file(tmp_path / "server", "older")
        client = secret_file(tmp_path / "client", "newest")
        state = await request_dump(
            server, client, replace=lambda: secret_file(tmp_path / "server", "newest\nolder")
        )
        assert state == b'{"ok": true}'

    def test_refuses_a_file_without_a_secret(self, tmp_path: Path) -> None:
        with pytest.raises(SecretError, match="one a line"):
            secret_file(tmp_path / "server", "\n")

    async def test_accepts_certificates_of_one_authority(self, tmp_path: Path) -> None:
        authority = trustme.CA()
        server = PeerSecurity(tls=write_identity(authority, tmp_path / "server"))
        client = PeerSecurity(tls=write_identity(authority, tmp_path / "client"))
        assert await request_dump(server, client) == b'{"ok": true}'

    async def test_refuses_a_certificate_of_another_authority(self, tmp_path: Path) -> None:
        server = PeerSecurity(tls=write_identity(trustme.CA(), tmp_path / "server"))
        client = PeerSecurity(tls=write_identity(trustme.CA(), tmp_path / "client"))
        with pytest.raises(grpc.aio.AioRpcError):
            await request_dump(server, client)

    async def test_loads_replaced_files_without_a_restart(self, tmp_path: Path) -> None:
        server = PeerSecurity(tls=write_identity(trustme.CA(), tmp_path / "server"))
        replacement = trustme.CA()
        client = PeerSecurity(tls=write_identity(replacement, tmp_path / "client"))
        state = await request_dump(
            server, client, replace=lambda: write_identity(replacement, tmp_path / "server")
        )
        assert state == b'{"ok": true}'


class TestCallerTls:
    """Guard against a port that keeps an expired certificate or fails on a partial replacement."""

    def test_loads_replaced_files_and_survives_broken_ones(self, tmp_path: Path) -> None:
        files = write_identity(trustme.CA(), tmp_path / "router")
        tls = CallerTls(
            TlsSettings(certificate_file=str(files.certificate), private_key_file=str(files.key))
        )
        files.key.write_text("half a key")
        tls.reload()
        assert tls.context.verify_mode is ssl.CERT_NONE
        write_identity(trustme.CA(), tmp_path / "router")
        tls.reload()
        before = tls._loaded_mtimes
        tls.reload()
        assert tls._loaded_mtimes == before
