"""Hold the simple policies that benchmarks compare with."""

from benchmarks.baselines.routing import (
    BoundedPrefixHash,
    LeastOutstanding,
    LeastReported,
    Policy,
    PrefixHash,
    RandomChoice,
    RoundRobin,
)

__all__ = [
    "BoundedPrefixHash",
    "LeastOutstanding",
    "LeastReported",
    "Policy",
    "PrefixHash",
    "RandomChoice",
    "RoundRobin",
]
