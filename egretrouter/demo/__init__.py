"""Run complete deployments with stand-ins, for demonstrations and tests."""

from egretrouter.demo._fleet import Fleet, FleetOptions, Part, read_parts
from egretrouter.demo._load import CallCounts, LoadGenerator
from egretrouter.demo._run import DemoError, DemoOptions, DemoReport, print_progress, run_demo

__all__ = [
    "CallCounts",
    "DemoError",
    "DemoOptions",
    "DemoReport",
    "Fleet",
    "FleetOptions",
    "LoadGenerator",
    "Part",
    "print_progress",
    "read_parts",
    "run_demo",
]
