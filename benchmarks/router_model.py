"""Model one router: a selector or baseline policy, limits and retries, without I/O."""

import random
from collections.abc import Callable, Iterable, Sequence

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
from benchmarks.engine_model import Clock, EngineCall, EngineModel
from benchmarks.scenario import CONNECT_FAILURE_SECONDS, ModelCall, Scenario
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


class SelectorPolicy:
    """Adapt EndpointSelector to the interface of the baselines."""

    def __init__(self, selector: EndpointSelector) -> None:
        """Wrap a selector."""
        self.selector = selector
        self.by_prefix_affinity = False

    def handle(self, message: RoutingMessage, *, now_seconds: float) -> object:
        """Pass the message to the selector."""
        return self.selector.handle(message, now_seconds=now_seconds)

    def pick(self, request: RouteRequest, *, now_seconds: float) -> EndpointId | None:
        """Return the chosen endpoint, or None to refuse the call."""
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
    """Pass messages between callers, one router's policy and limits, and the engines."""

    def __init__(
        self,
        number: int,
        *,
        scenario: Scenario,
        clock: Clock,
        engines: Sequence[EngineModel],
        workspaces: Iterable[WorkspaceId],
    ) -> None:
        """Set up the policy and the limits."""
        self.scenario = scenario
        self.clock = clock
        self.engines = engines
        self.attempts = 0
        self.zone = number % scenario.zones
        generator = random.Random(f"{scenario.seed}/router/{number}")
        self.policy: Policy
        if scenario.policy == "selector":
            self.policy = SelectorPolicy(
                EndpointSelector(
                    zone=ZoneId(f"z{self.zone}"),
                    region=RegionId(f"r{self.zone}"),
                    random_generator=generator,
                    settings=scenario.settings,
                )
            )
        else:
            self.policy = BASELINES[scenario.policy](generator)
        self.calls: dict[CallId, ModelCall] = {}
        self.retries = RetryBudget()
        self.admission: Admission | None = None
        if scenario.limits:
            concurrency = AdaptiveConcurrency(target_wait_seconds=scenario.target_wait_seconds)
            self.admission = Admission(concurrency=concurrency)
            workspaces = tuple(
                WorkspaceLimits(
                    workspace_id=workspace,
                    requests_per_second=1e6,
                    tokens_per_second=1e9,
                    concurrent_calls=10**6,
                )
                for workspace in workspaces
            )
            self.admission.handle(LimitsChanged(workspaces=workspaces), now_seconds=0.0)
            self.admission.handle(LiveRoutersCounted(routers=scenario.routers), now_seconds=0.0)
            self._tick()

    def dispatch(self, message: RoutingMessage) -> None:
        """Pass a message to the policy."""
        self.policy.handle(message, now_seconds=self.clock.now_seconds)

    def handle_arrival(self, call: ModelCall) -> None:
        """Admit a call, or send it at once if there are no limits."""
        self.calls[call.call_id] = call
        self.retries.record_call()
        if self.admission is None:
            self._send(call)
            return
        message = CallArrived(
            call_id=call.call_id,
            workspace_id=call.workspace,
            deadline_seconds=self.scenario.deadline_seconds,
        )
        self._execute(self.admission.handle(message, now_seconds=self.clock.now_seconds))

    def _tick(self) -> None:
        assert self.admission is not None
        now = self.clock.now_seconds
        self._execute(self.admission.handle(LimitsTick(), now_seconds=now))
        self.clock.call_later(0.1, self._tick)

    def _execute(self, commands: list[LimitsCommand]) -> None:
        for command in commands:
            if isinstance(command, StartCall):
                call = self.calls[command.call_id]
                call.urgent = command.urgent
                self._send(call)
            else:
                self.calls.pop(command.call_id).refused = True

    def _send(self, call: ModelCall) -> None:
        clock = self.clock
        request = call.request
        if self.scenario.limits:
            spent_seconds = clock.now_seconds - call.arrived_seconds
            left_seconds = self.scenario.deadline_seconds - spent_seconds
            request = msgspec.structs.replace(
                request, deadline_seconds=left_seconds, urgent=call.urgent
            )
        endpoint_id = self.policy.pick(request, now_seconds=clock.now_seconds)
        if endpoint_id is None:
            call.refused = True
            self._release(call, overloaded=True)
            return
        call.attempts += 1
        self.attempts += 1
        sent_at = clock.now_seconds
        attempt_id = CallId(f"{call.call_id}/{call.attempts}")
        self.dispatch(
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
        engine = self.engines[number]
        latency_seconds = 0.0 if number % self.scenario.zones == self.zone else 0.002

        def handle_first_token(cached_tokens: int) -> None:
            call.first_token_seconds = clock.now_seconds + latency_seconds
            self.dispatch(FirstTokenReceived(call_id=attempt_id, cached_tokens=cached_tokens))
            if self.admission is not None:
                wait_seconds = clock.now_seconds - sent_at
                message = CallAnswerStarted(call_id=call.call_id, wait_seconds=wait_seconds)
                self._execute(self.admission.handle(message, now_seconds=clock.now_seconds))

        def handle_end() -> None:
            self.dispatch(CallEnded(call_id=attempt_id))
            self._release(call)

        def handle_failure() -> None:
            self.dispatch(CallFailed(call_id=attempt_id))
            allowed = self.retries.try_spend() if self.scenario.retry_budget else True
            if call.attempts < 3 and allowed:
                excluded = call.request.excluded | {endpoint_id}
                call.request = msgspec.structs.replace(call.request, excluded=excluded)
                self._send(call)
            else:
                call.refused = True
                self._release(call)

        if not engine.is_running:
            clock.call_later(CONNECT_FAILURE_SECONDS, handle_failure)
            return
        engine_call = EngineCall(
            blocks=request.prompt_blocks,
            prompt_tokens=request.prompt_tokens,
            output_tokens=call.output_tokens,
            on_first_token=handle_first_token,
            on_end=handle_end,
            urgent=call.urgent,
        )
        clock.call_later(latency_seconds, lambda: engine.submit(engine_call))

    def _release(self, call: ModelCall, *, overloaded: bool = False) -> None:
        self.calls.pop(call.call_id, None)
        if self.admission is not None:
            message = CallReleased(call_id=call.call_id, overloaded=overloaded)
            now = self.clock.now_seconds
            self._execute(self.admission.handle(message, now_seconds=now))
