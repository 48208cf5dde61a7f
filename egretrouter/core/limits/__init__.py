"""Provide workspace limits, fair queueing, retry budgets and the circuit breaker."""

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
from egretrouter.core.limits._token_bucket import TokenBucket
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
