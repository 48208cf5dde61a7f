"""Test how the platform's processes start."""

import asyncio
import sys
from pathlib import Path

RUN = Path(__file__).parent.parent / "platform" / "run.py"
START_WITH_RELOAD = """
import runpy, sys, types
package = types.ModuleType("egretrouter_platform")
package.__path__ = [sys.argv[1]]
sys.modules["egretrouter_platform"] = package
runpy.run_path(sys.argv[2], run_name="__main__")
"""
MAIN_OF_STUB = """
import os, signal
os.kill(os.getpid(), signal.SIGHUP)

def main():
    return 0
"""


class TestProcessStart:
    """Guard against signals that end a process before it can handle them."""

    async def test_reload_signal_during_the_start_does_not_end_the_process(
        self, tmp_path: Path
    ) -> None:
        (tmp_path / "_main.py").write_text(MAIN_OF_STUB)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", START_WITH_RELOAD, str(tmp_path), str(RUN)
        )
        assert await process.wait() == 0
