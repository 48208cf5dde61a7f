"""Provide the router and the agent as services and as programs."""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from egretrouter.daemons._agent import AgentService
    from egretrouter.daemons._router import RouterService
    from egretrouter.daemons._running import run_agent, run_router

__all__ = ["AgentService", "RouterService", "run_agent", "run_router"]

_MODULES = {
    "AgentService": "_agent",
    "RouterService": "_router",
    "run_agent": "_running",
    "run_router": "_running",
}


def __getattr__(name: str) -> Any:
    """Import a program when it is used, since other processes need only parts of this package."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{_MODULES[name]}"), name)
