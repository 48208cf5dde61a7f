"""Test that the benchmarks fit the code that they measure."""

import importlib
import pkgutil

import pytest

import benchmarks

MODULES = [
    module.name for module in pkgutil.walk_packages(benchmarks.__path__, prefix="benchmarks.")
]


class TestBenchmarks:
    """Guard against a benchmark that no longer starts because a name it uses has gone."""

    @pytest.mark.parametrize("name", MODULES)
    def test_can_be_imported(self, name: str) -> None:
        importlib.import_module(name)
