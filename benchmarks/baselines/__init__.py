"""Provide simple routing policies for comparison with the router."""

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
