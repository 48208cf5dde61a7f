"""Drive one router's pure core: selector or baseline, limits and retries."""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from benchmarks.baselines import (
    BoundedPrefixHash,
    LeastOutstanding,
    LeastReported,
    Policy,
    PrefixHash,
    RandomChoice,
    RoundRobin,
)
from benchmarks.engine_model import EngineCall
from benchmarks.scenario import CONNECT_FAILURE_SECONDS, ModelCall
from egretrouter.core.identifiers import (
    CallId,
    EndpointId,
    RegionId,
    WorkspaceId,
    ZoneId,
)
from egretrouter.core.limits import (
    AdaptiveConcurrency,
    Admission,
    CallAnswerStarted,
    CallArrived,
    CallReleased,
    LimitsChanged,
    LimitsCommand,
    LimitsTick,
    LiveRoutersCounted,
    RetryBudget,
    StartCall,
    WorkspaceLimits,
)
from egretrouter.core.routing import (
    CallEnded,
    CallFailed,
    CallSent,
    Choice,
    EndpointSelector,
    FirstTokenReceived,
    RouteRequest,
    RoutingMessage,
)

if TYPE_CHECKING:
    from benchmarks.routing_model import RoutingModel


class SelectorPolicy:
    """Adapt EndpointSelector to the interface of the baselines."""

    def __init__(self, selector: EndpointSelector) -> None:
        """Wrap one selector."""
        self.selector = selector
        self.by_prefix_affinity = False

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Pass the message on."""
        return self.selector.handle(message, now_seconds=now_seconds)

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the chosen endpoint."""
        decision = self.selector.choose(request, now_seconds=now_seconds)
        if not isinstance(decision, Choice):
            return None
        self.by_prefix_affinity = decision.by_prefix_affinity
        return decision.endpoint_id


BASELINES: dict[str, Callable[[random.Random], Policy]] = {
    "random": RandomChoice,
    "round_robin": RoundRobin,
    "least_outstanding": LeastOutstanding,
    "least_reported": LeastReported,
    "prefix_hash": PrefixHash,
    "prefix_hash_bounded": BoundedPrefixHash,
}


class RouterModel:
    """Pass one router's messages between callers, its decisions and the engines."""

    def __init__(self, run: "RoutingModel", number: int) -> None:
        """Set up the policy and the limits."""
        scenario = run.scenario
        self.run = run
        self.zone = number % scenario.zones
        source = random.Random(f"{scenario.seed}/router/{number}")
        self.policy: Policy
        if scenario.policy == "selector":
            self.policy = SelectorPolicy(
                EndpointSelector(
                    zone=ZoneId(f"z{self.zone}"),
                    region=RegionId(f"r{self.zone}"),
                    random_generator=source,
                    settings=scenario.settings,
                )
            )
        else:
            self.policy = BASELINES[scenario.policy](source)
        self.calls: dict[CallId, ModelCall] = {}
        self.retries = RetryBudget()
        self.admission: Admission | None = None
        if scenario.limits:
            concurrency = AdaptiveConcurrency(target_wait_seconds=scenario.target_wait_seconds)
            self.admission = Admission(concurrency=concurrency)
            workspaces = tuple(
                WorkspaceLimits(
                    workspace_id=WorkspaceId(name),
                    requests_per_second=1e6,
                    tokens_per_second=1e9,
                    concurrent_calls=10**6,
                )
                for name in run.workspace_loads
            )
            self.admission.handle(LimitsChanged(workspaces=workspaces), now_seconds=0.0)
            self.admission.handle(LiveRoutersCounted(routers=scenario.routers), now_seconds=0.0)
            self._tick()

    def tell(self, message: RoutingMessage) -> None:
        """Pass a message to the policy."""
        self.policy.handle(message, now_seconds=self.run.clock.now_seconds)

    def arrive(self, call: ModelCall) -> None:
        """Take a call from a caller."""
        self.calls[call.call_id] = call
        self.retries.record_call()
        if self.admission is None:
            self._send(call)
            return
        message = CallArrived(
            call_id=call.call_id,
            workspace_id=call.workspace,
            deadline_seconds=self.run.scenario.deadline_seconds,
        )
        self._execute(self.admission.handle(message, now_seconds=self.run.clock.now_seconds))

    def _tick(self) -> None:
        assert self.admission is not None
        now = self.run.clock.now_seconds
        self._execute(self.admission.handle(LimitsTick(), now_seconds=now))
        self.run.clock.after(0.1, self._tick)

    def _execute(self, commands: list[LimitsCommand]) -> None:
        for command in commands:
            if isinstance(command, StartCall):
                call = self.calls[command.call_id]
                call.urgent = command.urgent
                self._send(call)
            else:
                self.calls.pop(command.call_id).refused = True

    def _send(self, call: ModelCall) -> None:
        clock = self.run.clock
        request = call.request
        if self.run.scenario.limits:
            spent = clock.now_seconds - call.arrived_seconds
            left = self.run.scenario.deadline_seconds - spent
            request = msgspec.structs.replace(request, deadline_seconds=left, urgent=call.urgent)
        endpoint_id = self.policy.pick(request, now_seconds=clock.now_seconds)
        if endpoint_id is None:
            call.refused = True
            self._release(call, overloaded=True)
            return
        call.attempts += 1
        self.run.attempts += 1
        sent_at = clock.now_seconds
        attempt_id = CallId(f"{call.call_id}/{call.attempts}")
        self.tell(
            CallSent(
                call_id=attempt_id,
                endpoint_id=endpoint_id,
                prompt_tokens=request.prompt_tokens,
                prompt_blocks=request.prompt_blocks,
                request_bytes=request.request_bytes,
                by_prefix_affinity=isinstance(self.policy, SelectorPolicy)
                and self.policy.by_prefix_affinity,
            )
        )
        number = int(endpoint_id[1:])
        engine = self.run.engines[number]
        one_way = 0.0 if number % self.run.scenario.zones == self.zone else 0.002

        def first(cached_tokens: int) -> None:
            call.first_seconds = clock.now_seconds + one_way
            self.tell(FirstTokenReceived(call_id=attempt_id, cached_tokens=cached_tokens))
            if self.admission is not None:
                wait = clock.now_seconds - sent_at
                message = CallAnswerStarted(call_id=call.call_id, wait_seconds=wait)
                self._execute(self.admission.handle(message, now_seconds=clock.now_seconds))

        def ended() -> None:
            self.tell(CallEnded(call_id=attempt_id))
            self._release(call)

        def failed() -> None:
            self.tell(CallFailed(call_id=attempt_id))
            allowed = self.retries.try_spend() if self.run.scenario.retry_budget else True
            if call.attempts < 3 and allowed:
                excluded = call.request.excluded | {endpoint_id}
                call.request = msgspec.structs.replace(call.request, excluded=excluded)
                self._send(call)
            else:
                call.refused = True
                self._release(call)

        if not engine.up:
            clock.after(CONNECT_FAILURE_SECONDS, failed)
            return
        work = EngineCall(
            blocks=request.prompt_blocks,
            prompt=request.prompt_tokens,
            output=call.output,
            on_first=first,
            on_end=ended,
            urgent=call.urgent,
        )
        clock.after(one_way, lambda: engine.submit(work))

    def _release(self, call: ModelCall, *, overloaded: bool = False) -> None:
        self.calls.pop(call.call_id, None)
        if self.admission is not None:
            message = CallReleased(call_id=call.call_id, overloaded=overloaded)
            now = self.run.clock.now_seconds
            self._execute(self.admission.handle(message, now_seconds=now))
