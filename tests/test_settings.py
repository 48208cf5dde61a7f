"""Test validation of settings and error reports for JSON files."""

import json
import string
from pathlib import Path
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from pydantic import TypeAdapter

from egretrouter.core.configuration import FILE_ADAPTER, FilesRejectedError, collect
from egretrouter.core.settings import (
    AGENT_ADAPTER,
    ROUTER_ADAPTER,
    RouterSettings,
    load_router_settings,
)
from egretrouter.core.validation import MAX_FILE_BYTES, MistakesError, decode, json_path

NAN = float("nan")
PLATFORM = {"object_store_url": "http://10.0.0.1:9000/"}
ROUTER = {"kind": "router", "instance_id": "r-1", "zone": "z", "region": "r", "platform": PLATFORM}
AGENT = {
    **ROUTER,
    "kind": "agent",
    "endpoint": {"endpoint_id": "e-1", "service": "llm", "url": "http://127.0.0.1:9"},
}
SERVICE = {
    "kind": "plain",
    "name": "s",
    "hosts": ["h"],
    "placement": [{"zone": "z", "replicas": 1}],
}
DEPLOYMENT = {
    "kind": "deployment",
    "name": "d",
    "zones": [{"name": "z", "region": "r"}],
    "workspaces": [{"name": "w"}],
}
ADAPTERS: list[TypeAdapter[Any]] = [ROUTER_ADAPTER, AGENT_ADAPTER, FILE_ADAPTER]
VALID = [
    (ROUTER_ADAPTER, ROUTER),
    (AGENT_ADAPTER, AGENT),
    (FILE_ADAPTER, SERVICE),
    (FILE_ADAPTER, DEPLOYMENT),
    (FILE_ADAPTER, {**SERVICE, "kind": "model", "model": "m", "version": "v1"}),
]
TLS = {"certificate_file": "c.pem", "private_key_file": "k.pem"}

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from(["router", "agent", "model", "plain", "10.0.0.1", "http://[", "::1"]),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(string.ascii_letters + "_"), inner),
    max_leaves=20,
)


def paths_of(value: Any, keys: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    """Return the path of every value inside a JSON value."""
    if not isinstance(value, dict | list):
        return [keys]
    items = value.items() if isinstance(value, dict) else enumerate(value)
    return [keys, *(path for key, child in items for path in paths_of(child, (*keys, key)))]


def replaced(value: Any, path: tuple[str | int, ...], change: Any) -> Any:
    """Return a copy with the value at a path replaced."""
    if not path:
        return change
    copy = value.copy()
    copy[path[0]] = replaced(value[path[0]], path[1:], change)
    return copy


def mistakes(adapter: TypeAdapter[Any], value: Any) -> list[tuple[str, str]]:
    """Return path and reason of every mistake, or an empty list for a valid value."""
    content = value if isinstance(value, bytes) else json.dumps(value).encode()
    try:
        decode(content, adapter, file="f.json")
    except MistakesError as error:
        return [(mistake.path, mistake.reason) for mistake in error.mistakes]
    return []


class TestDecode:
    """Guard against invalid input that raises anything but MistakesError."""

    @given(content=st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
    @pytest.mark.parametrize("adapter", ADAPTERS)
    def test_any_content_has_mistakes(self, adapter: TypeAdapter[Any], content: bytes) -> None:
        found = mistakes(adapter, content)
        assert found
        assert all(path.startswith("$") and reason for path, reason in found)

    @pytest.mark.parametrize(("adapter", "value"), VALID)
    def test_accepts_a_valid_file(self, adapter: TypeAdapter[Any], value: Any) -> None:
        assert mistakes(adapter, value) == []

    @given(data=st.data(), change=JSON)
    @pytest.mark.parametrize(("adapter", "value"), VALID)
    def test_reports_the_path_of_the_changed_value(
        self, adapter: TypeAdapter[Any], value: Any, data: st.DataObject, change: Any
    ) -> None:
        keys = data.draw(st.sampled_from(paths_of(value)))
        changed_path = json_path(keys)
        found = mistakes(adapter, replaced(value, keys, change))
        if keys != ("kind",):
            assert all(
                path.startswith(changed_path) or changed_path.startswith(path) for path, _ in found
            )

    @pytest.mark.parametrize(
        ("content", "reason"),
        [
            (b"\xff", "utf-8"),
            (b"[" * 100_000, "nesting"),
            (b'{"kind": NaN}', "NaN"),
            (b'{"kind": 1e999}', "too large"),
            (b'{"a": 1, "a": 2}', "twice"),
            (b'"\\ud800"', "not valid JSON"),
            (b"9" * 5000, "not valid JSON"),
        ],
    )
    def test_rejects_json_that_decoders_interpret_differently(
        self, content: bytes, reason: str
    ) -> None:
        assert reason in mistakes(FILE_ADAPTER, content)[0][1]

    @given(content=st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
    @example(content=b"[" * 100_000)
    @example(content=json.dumps({**DEPLOYMENT, "distribution": {"link_share": NAN}}).encode())
    def test_collect_refuses_any_other_content(self, content: bytes) -> None:
        with pytest.raises(FilesRejectedError) as caught:
            collect({"a.json": content, "service.json": json.dumps(SERVICE).encode()})
        assert isinstance(caught.value, MistakesError)
        assert "a.json" in {mistake.file for mistake in caught.value.mistakes}

    @pytest.mark.parametrize(
        ("value", "path", "reason"),
        [
            ({"kind": "modle"}, "$.kind", "'deployment', 'model', 'plain'"),
            ({}, "$.kind", "'deployment'"),
            ({**SERVICE, "placement": [{"zone": "z", "replicas": -1}]}, "replicas", "equal to 0"),
            ({**SERVICE, "endpoint": {"check": True}}, "$.endpoint.check", "'checks_fencing'"),
            ({**SERVICE, "name": "A b"}, "$.name", "matches"),
            ({**SERVICE, "deadline_seconds": "5"}, "$.deadline_seconds", "number"),
        ],
    )
    def test_reports_the_path_and_accepted_values(self, value: Any, path: str, reason: str) -> None:
        found = mistakes(FILE_ADAPTER, value)
        assert len(found) == 1
        assert found[0][0].endswith(path)
        assert reason in found[0][1]

    def test_json_path(self) -> None:
        assert json_path(("zones", 0, "name")) == "$.zones[0].name"


class TestSettings:
    """Guard against a process that starts with invalid or insecure settings."""

    def test_reports_every_mistake_at_once(self) -> None:
        value = {
            **AGENT,
            "seeds": ["10.0.0.1", "10.0.0.1:70000", "[::1]:7"],
            "peers": {"address": "0.0.0.0", "prt": 1},
            "platform": {"object_store_url": "file:///x", "timeout_seconds": 0},
        }
        assert {path for path, _ in mistakes(AGENT_ADAPTER, value)} == {
            "$.seeds[0]",
            "$.seeds[1]",
            "$.peers.advertised_address",
            "$.peers.prt",
            "$.platform.object_store_url",
            "$.platform.timeout_seconds",
        }

    @pytest.mark.parametrize(
        ("changes", "needed"),
        [
            ({"peers": {"address": "10.0.0.1"}}, "shared_secret_file"),
            ({"operators": {"address": "10.0.0.1"}}, "operators_token_sha256"),
        ],
    )
    def test_refuses_to_listen_beyond_loopback_without_authentication(
        self, changes: dict[str, Any], needed: str
    ) -> None:
        assert needed in mistakes(ROUTER_ADAPTER, ROUTER | changes)[0][1]
        security = {"allow_unauthenticated_bind": True}
        content = json.dumps(ROUTER | changes | {"security": security}).encode()
        assert decode(content, ROUTER_ADAPTER, file="f").security.allow_unauthenticated_bind

    def test_peers_authenticate_each_other(self) -> None:
        value = ROUTER | {"security": {"peer_tls": TLS}}
        assert "authority_file" in mistakes(ROUTER_ADAPTER, value)[0][1]

    def test_reads_a_file(self, tmp_path: Path) -> None:
        path = tmp_path / "router.json"
        with pytest.raises(MistakesError, match="can't be read"):
            load_router_settings(path)
        path.write_bytes(b" " * (MAX_FILE_BYTES + 1))
        with pytest.raises(MistakesError, match="more than"):
            load_router_settings(path)
        path.write_text(json.dumps(ROUTER))
        settings = load_router_settings(path)
        assert isinstance(settings, RouterSettings)
        assert settings.platform.object_store_url == "http://10.0.0.1:9000"
