#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python, so this only checks that they compile and that
# the libraries of the deploy file's build, which they use too, are there.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 - <<'PY'
import ast
from pathlib import Path

import aiohttp  # noqa: F401

for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("compiles:", path)
PY
