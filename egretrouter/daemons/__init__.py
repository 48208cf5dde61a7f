"""Provide the router and the agent as services and as programs."""

from egretrouter.daemons._agent import AgentService
from egretrouter.daemons._router import RouterService
from egretrouter.daemons._running import run_agent, run_router

__all__ = ["AgentService", "RouterService", "run_agent", "run_router"]
