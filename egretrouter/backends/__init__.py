"""Provide the ports to the platform's systems and the HTTP clients that implement them."""

from typing import TYPE_CHECKING

from egretrouter._lazy_imports import lazy_attributes
from egretrouter.backends._direct_ports import (
    AnswerHeaders,
    CallDialect,
    CallHeaders,
    CallHeadersError,
    EngineState,
    HistoryGoneError,
    OrderAnswer,
    SendHeaders,
    StagedEngine,
    StateChanges,
    StateEvent,
    StateItem,
    StateKind,
    StateListing,
    StateStore,
)
from egretrouter.backends._http import Answer, HttpCaller, send_once
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

if TYPE_CHECKING:
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
    from egretrouter.backends._instance_list import HttpInstanceList
    from egretrouter.backends._object_store import HttpObjectStore
    from egretrouter.backends._weight_source import HttpWeightSource

__all__ = [
    "Answer",
    "AnswerHeaders",
    "CallDialect",
    "CallHeaders",
    "CallHeadersError",
    "Engine",
    "EngineReport",
    "EngineState",
    "GuardedStore",
    "HistoryGoneError",
    "HttpCaller",
    "HttpEngine",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpWeightSource",
    "InstanceList",
    "InstanceState",
    "ListedInstance",
    "LoadedVersion",
    "ObjectStore",
    "OrderAnswer",
    "SendHeaders",
    "StagedEngine",
    "StateChanges",
    "StateEvent",
    "StateItem",
    "StateKind",
    "StateListing",
    "StateStore",
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

_MODULES = {
    "GuardedStore": "_guarded_store",
    "HttpEngine": "_engine",
    "HttpInstanceList": "_instance_list",
    "HttpObjectStore": "_object_store",
    "HttpWeightSource": "_weight_source",
    "StoreBudget": "_guarded_store",
    "StoreBudgetError": "_guarded_store",
    "StoreBudgets": "_guarded_store",
    "StoreCircuitOpenError": "_guarded_store",
    "StorePolicy": "_guarded_store",
    "StorePurpose": "_guarded_store",
}

# Each process needs only some of the clients, and imported code takes most of its memory.
__getattr__ = lazy_attributes(__name__, _MODULES)
