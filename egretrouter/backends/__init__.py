"""Offer the ports to the platform's systems and their HTTP clients."""

from egretrouter.backends._ports import (
    Engine,
    EngineReport,
    InstanceList,
    InstanceState,
    ListedInstance,
    LoadedVersion,
    ObjectStore,
    StoredObject,
    WeightSource,
)

__all__ = [
    "Engine",
    "EngineReport",
    "InstanceList",
    "InstanceState",
    "ListedInstance",
    "LoadedVersion",
    "ObjectStore",
    "StoredObject",
    "WeightSource",
]
