"""Check that only the platform adapter uses the platform's names."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
# Headers, paths, fields and variables that only the platform defines.
PLATFORM_NAMES = re.compile(
    r"X-Attempt-Id|X-Engine-|X-Tenant|X-Expect-|X-Deadline-Ms|X-Not-Run|X-Token-Count"
    r"|X-Prompt-Prefix|Server-Limit|X-Weight-Versions|egretrouter/(readyz|objects|report|order|stage|piece)"
    r"|target_latency_ms|store_revision|serializable|EGRETROUTER_CONFIG"
)


class TestBoundary:
    """Guard against platform names in the product's code."""

    def test_product_contains_no_platform_name(self) -> None:
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sorted((ROOT / "egretrouter").rglob("*.py"))
            if not path.name.endswith(("_pb2.py", "_pb2_grpc.py"))
            for match in PLATFORM_NAMES.finditer(path.read_text())
        ]
        assert found == []

    def test_adapter_contains_platform_names(self) -> None:
        text = "".join(path.read_text() for path in (ROOT / "platform").rglob("*.py"))
        assert len({match.group() for match in PLATFORM_NAMES.finditer(text)}) > 3
