"""Provide workspace limits, fair queueing, retry budgets and the circuit breaker."""

from typing import TYPE_CHECKING

from egretrouter._lazy_imports import lazy_attributes
from egretrouter.core.limits._token_bucket import TokenBucket

if TYPE_CHECKING:
    from egretrouter.core.limits._admission import Admission
    from egretrouter.core.limits._budgets import Backoff, HedgingBudget, RetryBudget
    from egretrouter.core.limits._circuit_breaker import CircuitBreaker, CircuitState
    from egretrouter.core.limits._concurrency import AdaptiveConcurrency
    from egretrouter.core.limits._fair_queue import FairQueue
    from egretrouter.core.limits._messages import (
        CallAnswerStarted,
        CallArrived,
        CallReleased,
        LimitReason,
        LimitsChanged,
        LimitsCommand,
        LimitsMessage,
        LimitsTick,
        LiveRoutersCounted,
        RefuseCall,
        StartCall,
        WorkspaceLimits,
    )
    from egretrouter.core.limits._workspaces import WorkspaceLimiter

__all__ = [
    "AdaptiveConcurrency",
    "Admission",
    "Backoff",
    "CallAnswerStarted",
    "CallArrived",
    "CallReleased",
    "CircuitBreaker",
    "CircuitState",
    "FairQueue",
    "HedgingBudget",
    "LimitReason",
    "LimitsChanged",
    "LimitsCommand",
    "LimitsMessage",
    "LimitsTick",
    "LiveRoutersCounted",
    "RefuseCall",
    "RetryBudget",
    "StartCall",
    "TokenBucket",
    "WorkspaceLimiter",
    "WorkspaceLimits",
]

_MODULES = {
    "AdaptiveConcurrency": "_concurrency",
    "Admission": "_admission",
    "Backoff": "_budgets",
    "CallAnswerStarted": "_messages",
    "CallArrived": "_messages",
    "CallReleased": "_messages",
    "CircuitBreaker": "_circuit_breaker",
    "CircuitState": "_circuit_breaker",
    "FairQueue": "_fair_queue",
    "HedgingBudget": "_budgets",
    "LimitReason": "_messages",
    "LimitsChanged": "_messages",
    "LimitsCommand": "_messages",
    "LimitsMessage": "_messages",
    "LimitsTick": "_messages",
    "LiveRoutersCounted": "_messages",
    "RefuseCall": "_messages",
    "RetryBudget": "_budgets",
    "StartCall": "_messages",
    "WorkspaceLimiter": "_workspaces",
    "WorkspaceLimits": "_messages",
}

# Processes of the direct path need only two of these classes, and imported code takes most of
# their memory.
__getattr__ = lazy_attributes(__name__, _MODULES)
