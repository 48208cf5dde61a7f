"""Test which libraries egretrouter.core imports."""

import subprocess
import sys

FORBIDDEN = ("aiohttp", "grpc", "mode", "aioprometheus")


class TestCoreImports:
    """Guard against core code that depends on sockets and so cannot be tested without them."""

    def test_imports_no_library_with_sockets(self) -> None:
        program = f"""
import importlib, pkgutil, sys
import egretrouter.core as core
for module in pkgutil.walk_packages(core.__path__, "egretrouter.core."):
    importlib.import_module(module.name)
print([name for name in {FORBIDDEN!r} if name in sys.modules])
"""
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        assert done.stdout.strip() == "[]"
