"""Test that every benchmark module can be imported."""

import importlib
import pkgutil

import pytest

import benchmarks

MODULES = [
    module.name for module in pkgutil.walk_packages(benchmarks.__path__, prefix="benchmarks.")
]


class TestBenchmarks:
    """Guard against a benchmark that imports a name which was renamed or removed."""

    @pytest.mark.parametrize("name", MODULES)
    def test_can_be_imported(self, name: str) -> None:
        importlib.import_module(name)
