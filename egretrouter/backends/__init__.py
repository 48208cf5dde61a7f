"""Offer the ports to the platform's systems and their HTTP clients."""

from egretrouter.backends._engine import HttpEngine
from egretrouter.backends._guarded_store import (
    GuardedStore,
    StoreBudget,
    StoreBudgetError,
    StoreBudgets,
    StoreCircuitOpenError,
    StorePolicy,
    StorePurpose,
)
from egretrouter.backends._http import send_once
from egretrouter.backends._instance_list import HttpInstanceList
from egretrouter.backends._object_store import HttpObjectStore
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
from egretrouter.backends._weight_source import HttpWeightSource

__all__ = [
    "Engine",
    "EngineReport",
    "HttpEngine",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpWeightSource",
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
    "send_once",
]
