"""Measure the memory of idle processes of the platform and print one JSON object.

Each is started by platform/run.py as the platform does, with nothing at the store's address.

Usage: python -m benchmarks.process_memory [--seconds 3]
"""

import argparse
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from egretrouter.core.identifiers import InstanceId, RegionId, ServiceName, ZoneId
from egretrouter.direct import Bounds, DirectSettings

RUN = Path(__file__).parent.parent / "platform" / "run.py"
LOOPBACK = "127.0.0.1"
# Nothing listens on this port.
ABSENT = f"{LOOPBACK}:1"
# The kernel's own range begins above these.
PORTS = range(20_000, 32_000)
BYTES_PER_KIB = 1024
# Anonymous memory is the process's own; pages of library files are shared by all processes.
FIELDS = {"RssAnon": "anonymous_bytes", "VmRSS": "resident_bytes", "VmHWM": "peak_bytes"}


def free_ports() -> tuple[int, int]:
    """Return two consecutive ports that were free and that the kernel assigns to nobody."""
    while True:
        first = random.SystemRandom().randrange(PORTS.start, PORTS.stop - 1)
        with socket.socket() as low, socket.socket() as high:
            try:
                low.bind((LOOPBACK, first))
                high.bind((LOOPBACK, first + 1))
            except OSError:
                continue
            return first, first + 1


def process_settings() -> DirectSettings:
    """Return settings that both roles accept."""
    return DirectSettings(
        instance_id=InstanceId("measured"),
        zone=ZoneId("z1"),
        regions={ZoneId("z1"): RegionId("r1")},
        address=LOOPBACK,
        callers=f"{LOOPBACK}:0",
        readiness=f"{LOOPBACK}:0",
        peer_ports=free_ports(),
        store=ABSENT,
        store_history_seconds=20.0,
        engine=ABSENT,
        engine_service=ServiceName("llm"),
        link_bits_per_second=1e9,
        bounds=Bounds(
            drain_ms=2000,
            configuration_ms=2000,
            weights_ms=8000,
            grace_seconds=8.0,
            touch_ms=3000,
            repeat_ratio=0.2,
            repeat_extra=200,
            repeat_window_seconds=10.0,
        ),
    )


def read_memory(process_id: int) -> dict[str, int]:
    """Return the memory of a process that runs."""
    status = Path(f"/proc/{process_id}/status").read_text()
    lines = dict(line.split(":", 1) for line in status.splitlines())
    return {name: int(lines[field].split()[0]) * BYTES_PER_KIB for field, name in FIELDS.items()}


def measure(role: str, seconds: float) -> dict[str, int]:
    """Return the memory of a process some time after its start."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "settings.json"
        path.write_bytes(msgspec.json.encode(process_settings()))
        process = subprocess.Popen(
            [sys.executable, str(RUN), role],
            env={**os.environ, "EGRETROUTER_CONFIG": str(path)},
            stdout=subprocess.DEVNULL,
        )
        try:
            time.sleep(seconds)
            if process.poll() is not None:
                raise RuntimeError(f"the {role} ended with code {process.returncode}")
            return read_memory(process.pid)
        finally:
            process.kill()
            process.wait()


def main() -> None:
    """Measure both roles."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0, help="time from start to measure")
    seconds = parser.parse_args().seconds
    print(json.dumps({role: measure(role, seconds) for role in ("router", "agent")}, indent=2))


if __name__ == "__main__":
    main()
