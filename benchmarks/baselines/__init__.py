"""Hold the simple policies that benchmarks compare with."""

from benchmarks.baselines.routing import (
    LeastOutstanding,
    LeastReported,
    Policy,
    PrefixHash,
    RandomChoice,
    RoundRobin,
)

__all__ = [
    "LeastOutstanding",
    "LeastReported",
    "Policy",
    "PrefixHash",
    "RandomChoice",
    "RoundRobin",
]
