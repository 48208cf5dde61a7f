"""Test parsing, validation and comparison of operators' files."""

from typing import Any

import pytest
from configuration_samples import DIGEST, deployment, encode, model, plain, sample

from egretrouter.core.configuration import FilesRejectedError, collect, compare
from egretrouter.core.identifiers import ModelName, ServiceName, VersionName

SIZES = {(ModelName("cotacoes"), VersionName("v2")): 1000}


class TestCollect:
    """Guard against publishing files that contradict each other."""

    def test_equal_files_have_equal_parts(self) -> None:
        assert sample().parts == sample().parts
        assert set(sample().parts) == {"deployment", "service/llm-cotacoes", "service/razao-vendas"}

    @pytest.mark.parametrize(
        ("files", "path", "reason"),
        [
            (
                {"m": model(placement=[{"zone": "x", "replicas": 1}])},
                "$.placement[0].zone",
                "serra",
            ),
            ({"m": model(workspaces=["nobody"])}, "$.workspaces[0]", "'granja'"),
            ({"m": model(min_ready=3)}, "$.min_ready", "at most 2"),
            ({"m": model(), "n": model()}, "$.name", "m.json"),
            ({"m": plain(), "n": plain("other", prefixes=["/razao-vendas"])}, "$.prefixes", "m.js"),
            ({"m": model(verson="v1")}, "$.verson", "'version'"),
            ({"m": model(endpoint={"check": True})}, "$.endpoint.check", "'checks_fencing'"),
            ({"m": model(engine_role="both?")}, "$.engine_role", "'decode'"),
            ({"m": {"kind": "modle"}}, "$.kind", "'plain'"),
            ({"d": deployment()}, "$.kind", "d.json already"),
            (
                {"m": model(manifest_digest=DIGEST), "n": model("b", manifest_digest="b" * 64)},
                "$.manifest_digest",
                "m.json pins",
            ),
        ],
    )
    def test_reports_file_path_and_accepted_values(
        self, files: dict[str, dict[str, Any]], path: str, reason: str
    ) -> None:
        with pytest.raises(FilesRejectedError) as caught:
            collect(encode(deployment=deployment(), **files))
        mistakes = caught.value.mistakes
        assert [m.path for m in mistakes] == [path]
        assert reason in mistakes[0].reason

    def test_lists_all_mistakes_of_all_files_at_once(self) -> None:
        files = encode(m=model(version=1, placement=[]), p=plain(workspaces=["x", "y"]))
        with pytest.raises(FilesRejectedError) as caught:
            collect({**files, **encode(d=deployment()), "broken.json": b"{"})
        found = {(m.file, m.path) for m in caught.value.mistakes}
        assert found >= {("m.json", "$.version"), ("m.json", "$.placement"), ("broken.json", "$")}
        assert found >= {("p.json", "$.workspaces[0]"), ("p.json", "$.workspaces[1]")}

    def test_requires_a_deployment_file(self) -> None:
        with pytest.raises(FilesRejectedError, match="one file of kind 'deployment'"):
            collect(encode(m=model()))

    def test_rejects_weights_that_do_not_fit(self) -> None:
        files = encode(d=deployment(distribution={"weight_memory_bytes": 1024}), m=model())
        with pytest.raises(FilesRejectedError, match="at most 1024 bytes"):
            collect(files, weight_sizes={(ModelName("cotacoes"), VersionName("v1")): 1025})


class TestCompare:
    """Guard against a dry run that omits a change or misstates its origin traffic."""

    @pytest.mark.parametrize(("objective", "copies"), [("time", 2), ("origin-bytes", 1)])
    def test_estimates_origin_bytes(self, objective: str, copies: int) -> None:
        shared = deployment(distribution={"objective": objective, "origin_bytes_per_minute": 2000})
        before = collect(encode(d=shared, m=model(), p=plain()))
        after = collect(encode(d=shared, m=model(version="v2"), q=plain("portal")))
        difference = compare(before, after, weight_sizes=SIZES)
        assert difference.origin_bytes == copies * 1000
        assert difference.origin_minutes == copies * 0.5
        assert difference.added == ("portal",)
        assert difference.removed == ("razao-vendas",)
        change = difference.changed[ServiceName("llm-cotacoes")][0]
        assert (change.path, change.before, change.after) == ("$.version", "v1", "v2")

    def test_lists_versions_of_unknown_size(self) -> None:
        assert compare(None, sample()).unknown_versions == ("cotacoes/v1",)
        assert compare(sample(), sample()).origin_bytes == 0
