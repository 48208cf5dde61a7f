"""Test authentication of processes and callers."""

import hashlib
import json
from pathlib import Path

import pytest
from aiohttp.test_utils import make_mocked_request
from configuration_samples import deployment, encode, plain

from egretrouter.cli import main
from egretrouter.core.configuration import Configuration, ConfigurationIndex, assemble, collect
from egretrouter.core.identifiers import Generation, PublicationId
from egretrouter.core.settings import ROUTER_ADAPTER
from egretrouter.core.validation import decode
from egretrouter.daemons._requests import (
    NoConfigurationError,
    UnauthorizedError,
    WorkspaceAuthenticator,
)

TOKEN = "caller's token"
ROUTER = {
    "kind": "router",
    "instance_id": "r-1",
    "zone": "serra-z1",
    "region": "serra",
    "platform": {"object_store_url": "http://127.0.0.1:1"},
}


class TestBinding:
    """Guard against a port open to the network without authentication."""

    @pytest.mark.parametrize("port", ["peers", "operators"])
    def test_a_router_does_not_start_without_authentication(
        self, tmp_path: Path, port: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        listen = {"address": "0.0.0.0", "port": 0}
        if port == "peers":
            listen["advertised_address"] = "10.0.0.7"
        settings = tmp_path / "router.json"
        settings.write_text(json.dumps({**ROUTER, port: listen}))
        with pytest.raises(SystemExit) as ended:
            main(["router", "--settings", str(settings)])
        assert ended.value.code == 1
        assert "beyond loopback without authentication" in capsys.readouterr().err

    @pytest.mark.parametrize(
        ("callers", "allowed", "needs_tokens"),
        [
            ("127.0.0.1", False, False),
            ("::1", False, False),
            ("0.0.0.0", False, True),
            ("10.0.0.7", False, True),
            ("10.0.0.7", True, False),
        ],
    )
    def test_callers_beyond_loopback_need_tokens(
        self, callers: str, allowed: bool, needs_tokens: bool
    ) -> None:
        value = {
            **ROUTER,
            "callers": {"address": callers, "port": 0},
            "security": {"allow_unauthenticated_bind": allowed},
        }
        settings = decode(json.dumps(value).encode(), ROUTER_ADAPTER, file="router.json")
        assert settings.needs_tokens is needs_tokens


def configuration(*token_sha256: str) -> Configuration:
    """Return a configuration with one workspace that has the given token digests."""
    workspaces = [{"name": "granja", "token_sha256": list(token_sha256)}]
    collection = collect(encode(deployment=deployment(workspaces=workspaces), plain=plain()))
    index = ConfigurationIndex(
        generation=Generation(1), publication_id=PublicationId("p"), parts=collection.parts
    )
    return assemble(index, collection.contents)


class TestWorkspaces:
    """Guard against accepting callers after a configuration dropped its tokens."""

    def test_a_port_that_needs_tokens_refuses_everyone_without_them(self) -> None:
        request = make_mocked_request("GET", "/", headers={"X-Workspace": "granja"})
        assert WorkspaceAuthenticator(configuration()).authenticate(request) == "granja"
        workspaces = WorkspaceAuthenticator(configuration(), needs_tokens=True)
        assert workspaces.lacks_tokens
        with pytest.raises(UnauthorizedError, match="no workspace has tokens"):
            workspaces.authenticate(request)

    @pytest.mark.parametrize("needs_tokens", [False, True])
    def test_without_a_configuration_callers_get_503_instead_of_401(
        self, needs_tokens: bool
    ) -> None:
        """Guard against a router that answers 401, which callers do not retry, after its start."""
        request = make_mocked_request("GET", "/", headers={"X-Workspace": "granja"})
        workspaces = WorkspaceAuthenticator(None, needs_tokens=needs_tokens)
        with pytest.raises(NoConfigurationError) as raised:
            workspaces.authenticate(request)
        assert raised.value.status == 503

    def test_a_token_identifies_the_workspace(self) -> None:
        digest = hashlib.sha256(TOKEN.encode()).hexdigest()
        workspaces = WorkspaceAuthenticator(configuration(digest), needs_tokens=True)
        assert not workspaces.lacks_tokens
        for token, accepted in ((TOKEN, True), ("other", False)):
            request = make_mocked_request("GET", "/", headers={"Authorization": f"Bearer {token}"})
            if accepted:
                assert workspaces.authenticate(request) == "granja"
            else:
                with pytest.raises(UnauthorizedError):
                    workspaces.authenticate(request)
