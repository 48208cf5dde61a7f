"""Import the modules of a package only when their names are used."""

import importlib
from collections.abc import Callable, Mapping
from typing import Any


def lazy_attributes(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return the __getattr__ of a package that imports each public name from its private module.

    It raises AttributeError for names that are not in modules.
    """

    def get_attribute(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{modules[name]}"), name)

    return get_attribute
