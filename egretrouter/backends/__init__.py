"""Offer the ports to the platform's systems and their HTTP clients."""

from egretrouter.backends._guarded_store import (
    GuardedStore,
    StoreBudget,
    StoreBudgetError,
    StoreBudgets,
    StoreCircuitOpenError,
    StorePolicy,
    StorePurpose,
)
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
    "GuardedStore",
    "InstanceList",
    "InstanceState",
    "ListedInstance",
    "LoadedVersion",
    "ObjectStore",
    "StoreBudget",
    "StoreBudgetError",
    "StoreBudgets",
    "StoreCircuitOpenError",
    "StorePolicy",
    "StorePurpose",
    "StoredObject",
    "WeightSource",
]
