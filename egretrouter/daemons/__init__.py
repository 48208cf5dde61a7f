"""Provide the router and the agent as services and as programs."""

from typing import TYPE_CHECKING

from egretrouter._lazy_imports import lazy_attributes

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

# Other processes need only parts of this package.
__getattr__ = lazy_attributes(__name__, _MODULES)
