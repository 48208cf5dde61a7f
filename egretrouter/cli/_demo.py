"""Define the demo command."""

import asyncio
import importlib.resources
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa
import msgspec
from eliot import FileDestination, add_destinations

from egretrouter.cli._exit import EXIT_CODES_HELP, ExitCode, exit_on_error
from egretrouter.core.configuration import Objective
from egretrouter.demo import (
    DemoError,
    DemoOptions,
    DemoReport,
    print_progress,
    read_parts,
    run_demo,
)

MAXIMUM_WEIGHT_BYTES = 1024**3
MAXIMUM_INSTANCES = 200
DEFAULT_SEED = 1


def parse_instances(text: str) -> int:
    """Parse the number of engine instances.

    Raises ValueError.
    """
    if not text.isdecimal() or not 1 <= int(text) <= MAXIMUM_INSTANCES:
        raise ValueError(f"{text!r}: accepted: a number from 1 to {MAXIMUM_INSTANCES}")
    return int(text)


def parse_weights(text: str) -> Path:
    """Validate the path of a weights file and return it.

    Raises ValueError.
    """
    path = Path(text)
    if not path.is_file():
        raise ValueError(f"{text!r}: accepted: a file that exists")
    if not 0 < path.stat().st_size <= MAXIMUM_WEIGHT_BYTES:
        raise ValueError(f"{text!r}: accepted: a file of 1 to {MAXIMUM_WEIGHT_BYTES} bytes")
    return path


@cappa.command(
    help="Run a whole deployment with stand-ins on loopback, and roll weights out under calls.",
    epilog=EXIT_CODES_HELP,
)
@dataclass
class Demo:
    """Run a deployment with stand-ins and report its figures."""

    deployment: Annotated[
        Literal["ovo-justo", "sleevehost"],
        cappa.Arg(long="--deployment", help="The example deployment to run."),
    ] = "ovo-justo"
    weights: Annotated[
        Path | None,
        cappa.Arg(long="--weights", parse=parse_weights, help="File to distribute, 1 GiB at most."),
    ] = None
    instances: Annotated[
        int | None,
        cappa.Arg(long="--instances", parse=parse_instances, help="Number of model engines."),
    ] = None
    objective: Annotated[
        Literal["time", "origin-bytes"] | None,
        cappa.Arg(long="--objective", help="What the copy optimizes; the file's by default."),
    ] = None
    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed of weights and calls.")] = DEFAULT_SEED
    json: Annotated[bool, cappa.Arg(long="--json", help="Print one JSON object.")] = False
    log_file: Annotated[
        Path | None, cappa.Arg(long="--log-file", help="File for the processes' logs.")
    ] = None

    def __call__(self) -> None:
        """Print the figures, and exit with code 1 if a promise was broken."""
        with exit_on_error():
            report = self._run()
        if self.json:
            print(msgspec.json.encode(report).decode())
        else:
            _print_table(report)
        broken = report.broken_promises()
        for promise in broken:
            print(f"broken promise: {promise}", file=sys.stderr)
        if broken:
            raise cappa.Exit(code=int(ExitCode.MISTAKES))

    def _run(self) -> DemoReport:
        directory = examples_directory() / self.deployment
        if not directory.is_dir():
            raise DemoError(f"the example files {str(directory)!r} are not installed")
        options = DemoOptions(
            parts=read_parts(directory),
            weights=self.weights,
            instances=self.instances,
            objective=None if self.objective is None else Objective(self.objective),
            seed=self.seed,
        )
        if self.log_file is None:
            return asyncio.run(run_demo(options, progress=print_progress))
        with self.log_file.open("a", encoding="utf-8") as log:
            add_destinations(FileDestination(file=log))
            return asyncio.run(run_demo(options, progress=print_progress))


def examples_directory() -> Path:
    """Return the directory of the example deployments."""
    return Path(str(importlib.resources.files("egretrouter"))) / "examples"


def _print_table(report: DemoReport) -> None:
    for name, value in msgspec.structs.asdict(report).items():
        print(f"{name:32} {value}")
