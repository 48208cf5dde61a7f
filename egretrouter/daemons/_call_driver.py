"""Run one call on the router, from endpoint choice to the end of its answer."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Coroutine
from functools import singledispatchmethod
from typing import Any

import msgspec
from eliot import log_message

from egretrouter.core.calls import (
    AnswerData,
    AnswerFailure,
    AttemptCommand,
    AttemptMessage,
    CallAttempt,
    CallerDisconnected,
    CallState,
    ChooseEndpoint,
    CloseClaim,
    DeadlineReached,
    DeferToClaim,
    EndpointChosen,
    FailCaller,
    FinishCaller,
    ForwardToCaller,
    FrameArrived,
    HedgeDue,
    LinkLost,
    NoEndpoint,
    RecordTarget,
    RefusalReason,
    RouterStopping,
    SendCancel,
    SendOpen,
    SendResume,
    SendSettle,
    SettleAnswered,
    SettleFailed,
    Target,
)
from egretrouter.core.errors import Outcome
from egretrouter.core.identifiers import EndpointId, Epoch, InstanceId
from egretrouter.core.routing import (
    CallEnded,
    CallFailed,
    CallSent,
    FirstTokenReceived,
    Refusal,
)
from egretrouter.daemons._call_claim import create_claim
from egretrouter.daemons._caller_stream import CallerState, CallerStream
from egretrouter.daemons._endpoint_choice import ChosenEndpoint, choose_endpoint
from egretrouter.daemons._link import AgentLink
from egretrouter.daemons._routed_call import CallServices, RoutedCall
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol.answers import decode_body

# Refusals because this router's view of the agent was out of date. Such a call took none of the
# endpoint's time, so its retry is not charged to the retry budget.
STALE_VIEW_REASONS = frozenset(
    reason.value
    for reason in (RefusalReason.OTHER_EPOCH, RefusalReason.OTHER_VERSION, RefusalReason.DRAINING)
)
WINDOW_BYTES = 256 * 1024
CREDIT_BYTES = WINDOW_BYTES // 2
LINK_WAIT_SECONDS = 2.0
SETTLE_RETRY_SECONDS = 0.2
# The engine runs calls of a workspace below its fair share before all others.
URGENT_PRIORITY = 100
POLL_SECONDS = 0.25


class _EndpointCallSink:
    """Forward the link events of one attempt to its call."""

    def __init__(self, driver: "CallDriver", attempt: int) -> None:
        self._driver = driver
        self._attempt = attempt

    def handle_frame(self, frame: pb.AnswerFrame) -> None:
        self._driver.handle_frame(self._attempt, frame)

    def flush(self) -> None:
        self._driver.flush()

    def handle_link_lost(self) -> None:
        self._driver.dispatch(LinkLost(attempt=self._attempt))

    def handle_link_restored(self, epoch: Epoch) -> None:
        """Do nothing, because the settle request reports the state of the call."""


class _EndpointCall(msgspec.Struct, kw_only=True):
    """Track the link of one attempt and the bytes not yet credited to its agent."""

    target: Target
    link: AgentLink
    uncredited_bytes: int = 0
    first_token: bool = False
    closed: bool = False


class CallDriver:
    """Run one call from its admission to the end of its answer."""

    def __init__(self, call: RoutedCall, *, services: CallServices, stream: CallerStream) -> None:
        self._call = call
        self._claim = create_claim(call, claims=services.claims)
        self._services = services
        self._stream = stream
        self._attempt = CallAttempt(call.call_id, rules=call.rules)
        self._endpoint_calls: dict[int, _EndpointCall] = {}
        self._chosen_endpoints: dict[int, ChosenEndpoint] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._urgent = False
        self._was_view_stale = False
        self._started_seconds = time.monotonic()
        self.answer_bytes = 0
        self.first_token_seconds: float | None = None
        self.on_first_token: Callable[[float], None] = lambda wait_seconds: None

    async def run(self, *, urgent: bool = False) -> None:
        """Run the call to its end; the stream then holds the outcome."""
        self._urgent = urgent
        deadline = asyncio.get_running_loop().call_later(
            max(0.0, self._call.deadline_at_seconds - time.monotonic()),
            self.dispatch,
            DeadlineReached(),
        )
        self._services.retry_budget.record_call()
        self._services.hedging_budget.record_call()
        hedge = self._schedule_hedge()
        try:
            self._execute_all(self._attempt.start())
            await self._stream_answer()
        except asyncio.CancelledError:
            self.dispatch(CallerDisconnected())
            raise
        finally:
            deadline.cancel()
            if hedge is not None:
                hedge.cancel()
            for task in self._tasks:
                task.cancel()
            for endpoint_call in self._endpoint_calls.values():
                self._close_endpoint_call(
                    endpoint_call, failed=self._stream.state is CallerState.FAILED
                )

    def stop(self) -> None:
        """End the call with the outcome that is known now, because the router stops."""
        self.dispatch(RouterStopping())
        if not self._stream.ended:
            # The call waits for the answer of another call with its key.
            self._stream.fail(FailCaller(outcome=Outcome.UNKNOWN, reason="router_stopping"))

    def _schedule_hedge(self) -> asyncio.TimerHandle | None:
        if not self._call.rules.hedged:
            return None
        delay_seconds = self._services.hedging_budget.delay_seconds
        return asyncio.get_running_loop().call_later(delay_seconds, self._start_hedge)

    def _start_hedge(self) -> None:
        if self.first_token_seconds is None and self._services.hedging_budget.try_spend():
            self.dispatch(HedgeDue())

    async def _stream_answer(self) -> None:
        """Start the response when it is ready to stream, and send credit that was held back."""
        stream = self._stream
        while not stream.ended:
            if stream.state is CallerState.WAITING and stream.ready_to_stream:
                await stream.start()
                continue
            stream.changed.clear()
            if not self._is_credit_due():
                await stream.changed.wait()
                continue
            # Only a caller slower than its answer is polled: with 200 streams, a timer for every
            # call took a seventh of the router's time.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_SECONDS):
                    await stream.changed.wait()
            for endpoint_call in self._endpoint_calls.values():
                self._send_credit(endpoint_call)

    def _is_credit_due(self) -> bool:
        return any(
            endpoint_call.uncredited_bytes > CREDIT_BYTES and not endpoint_call.closed
            for endpoint_call in self._endpoint_calls.values()
        )

    def dispatch(self, message: AttemptMessage) -> None:
        """Pass a message to the call's state machine and execute the resulting commands."""
        commands = self._attempt.handle(message, now_seconds=time.monotonic())
        if isinstance(message, FrameArrived | LinkLost | SettleAnswered | SettleFailed):
            endpoint_call = self._endpoint_calls.get(message.attempt)
            # The selector must record a failure before it chooses the next endpoint.
            if endpoint_call is not None and self._attempt.has_closed(message.attempt):
                self._close_endpoint_call(endpoint_call, failed=_is_endpoint_fault(message))
        self._execute_all(commands)

    def handle_frame(self, attempt: int, frame: pb.AnswerFrame) -> None:
        """Process a frame of the answer from a link; flush writes its data to the caller."""
        data = frame.data
        if data and self._attempt.accept_data(attempt, frame.sequence, data):
            self.answer_bytes += len(data)
            if self._claim is not None:
                self._claim.record_answer_data(data)
            self._stream.forward_data(data)
        else:
            body = decode_body(frame)
            if isinstance(body, AnswerFailure):
                self._was_view_stale = body.reason in STALE_VIEW_REASONS
            self.dispatch(FrameArrived(attempt=attempt, sequence=frame.sequence, body=body))
        if data:
            endpoint_call = self._endpoint_calls[attempt]
            endpoint_call.uncredited_bytes += len(data)
            if not endpoint_call.first_token:
                self._record_first_token(endpoint_call)
            if endpoint_call.uncredited_bytes > CREDIT_BYTES:
                self._send_credit(endpoint_call)

    def flush(self) -> None:
        """Write the data received so far to the caller."""
        self._stream.flush()

    def _record_first_token(self, endpoint_call: _EndpointCall) -> None:
        endpoint_call.first_token = True
        now = time.monotonic()
        if self.first_token_seconds is None:
            self.first_token_seconds = now - self._started_seconds
            self._services.hedging_budget.record_first_token(wait_seconds=self.first_token_seconds)
            self.on_first_token(self.first_token_seconds)
        message = FirstTokenReceived(call_id=endpoint_call.target.call_id)
        self._services.selector.handle(message, now_seconds=now)

    def _send_credit(self, endpoint_call: _EndpointCall) -> None:
        if endpoint_call.closed or not endpoint_call.uncredited_bytes:
            return
        if self._stream.backlogged:
            # _stream_answer sends the credit once the caller has read more.
            self._stream.changed.set()
            return
        credit = pb.CallCredit(bytes=endpoint_call.uncredited_bytes)
        endpoint_call.uncredited_bytes = 0
        endpoint_call.link.send(pb.CallFrame(call_id=endpoint_call.target.call_id, credit=credit))

    def _execute_all(self, commands: list[AttemptCommand]) -> None:
        for command in commands:
            # ForwardToCaller is by far the most frequent command, so it skips the dispatch.
            if type(command) is ForwardToCaller:
                self._forward_body(command)
            else:
                self._execute(command)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _forward_body(self, command: ForwardToCaller) -> None:
        if self._claim is not None:
            self._claim.record_answer(command.body)
        if isinstance(command.body, AnswerData):
            self.answer_bytes += len(command.body.data)
        self._stream.forward(command.body)

    @singledispatchmethod
    def _execute(self, command: AttemptCommand) -> None:
        raise TypeError(f"router got unexpected command {command!r}")

    @_execute.register
    def _choose_endpoint(self, command: ChooseEndpoint) -> None:
        stale_view, self._was_view_stale = self._was_view_stale, False
        if command.attempt == 1 or stale_view:
            self._spawn(self._choose_immediately(command))
        elif self._services.retry_budget.try_spend():
            self._spawn(self._choose_after_backoff(command))
        else:
            log_message("router:retry_budget_spent", call_id=self._call.call_id)
            self.dispatch(NoEndpoint())

    async def _choose_after_backoff(self, command: ChooseEndpoint) -> None:
        await asyncio.sleep(self._services.backoff.delay_seconds(command.attempt - 2))
        await self._choose_immediately(command)

    async def _choose_immediately(self, command: ChooseEndpoint) -> None:
        chosen = await choose_endpoint(
            self._services, self._call.route, command, urgent=self._urgent
        )
        if isinstance(chosen, Refusal):
            reason = chosen.reason.value
            log_message("router:no_endpoint", call_id=self._call.call_id, reason=reason)
            self.dispatch(NoEndpoint(retry_after_seconds=chosen.retry_after_seconds))
            return
        self._chosen_endpoints[command.attempt] = chosen
        now = time.monotonic()
        target = Target(
            agent_id=InstanceId(chosen.choice.endpoint_id),
            address=chosen.choice.address,
            epoch=chosen.epoch,
            call_id=self._attempt.target_call_id(command.attempt),
            expires_at_seconds=chosen.link.to_agent_clock(now)
            + self._call.deadline_at_seconds
            - now,
        )
        self.dispatch(EndpointChosen(target=target, version_digest=chosen.version_digest))

    @_execute.register
    def _open_call(self, command: SendOpen) -> None:
        target, call = command.target, self._call
        chosen = self._chosen_endpoints[command.attempt]
        link = chosen.link
        self._endpoint_calls[command.attempt] = _EndpointCall(target=target, link=link)
        self._services.selector.handle(
            CallSent(
                call_id=target.call_id,
                endpoint_id=EndpointId(target.agent_id),
                prompt_tokens=call.route.prompt_tokens,
                prompt_blocks=call.route.prompt_blocks,
                request_bytes=len(call.content),
                by_prefix_affinity=chosen.choice.by_prefix_affinity,
            ),
            now_seconds=time.monotonic(),
        )
        if link.epoch != target.epoch or not link.is_up:
            # Nothing was sent, but the call is treated as sent, which is the safe assumption.
            self.dispatch(LinkLost(attempt=command.attempt))
            return
        link.attach(target.call_id, _EndpointCallSink(self, command.attempt))
        link.send(pb.CallFrame(call_id=target.call_id, open=self._build_open_frame(command)))

    def _build_open_frame(self, command: SendOpen) -> pb.CallOpen:
        call = self._call
        return pb.CallOpen(
            service=call.route.service,
            method=call.method,
            path=call.path,
            headers=[pb.Header(name=name, value=value) for name, value in call.headers],
            content=call.content,
            version_digest=command.version_digest,
            epoch=command.target.epoch,
            expires_at_seconds=command.target.expires_at_seconds,
            priority=call.priority + (URGENT_PRIORITY if self._urgent else 0),
            idempotent=call.rules.idempotent,
            window_bytes=WINDOW_BYTES,
            request_id=call.request_id,
            workspace=call.workspace,
        )

    @_execute.register
    def _start_settling(self, command: SendSettle) -> None:
        self._spawn(self._settle_with_agent(command))

    async def _settle_with_agent(self, command: SendSettle) -> None:
        if command.tries > 1:
            await asyncio.sleep(SETTLE_RETRY_SECONDS * 2**command.tries)
        reply = await self._chosen_endpoints[command.attempt].link.settle(command.target)
        if reply is None:
            self.dispatch(SettleFailed(attempt=command.attempt))
        else:
            state = CallState(reply.state)
            self.dispatch(SettleAnswered(attempt=command.attempt, state=state))

    @_execute.register
    def _start_resuming(self, command: SendResume) -> None:
        self._spawn(self._resume_answer(command))

    async def _resume_answer(self, command: SendResume) -> None:
        link = self._chosen_endpoints[command.attempt].link
        if not await link.wait_until_up(timeout_seconds=LINK_WAIT_SECONDS):
            self.dispatch(LinkLost(attempt=command.attempt))
            return
        resume = pb.CallResume(next_sequence=command.next_sequence)
        link.send(pb.CallFrame(call_id=command.target.call_id, resume=resume))

    @_execute.register
    def _cancel_attempt(self, command: SendCancel) -> None:
        cancel = pb.CallCancel(expires_at_seconds=command.target.expires_at_seconds)
        endpoint_call = self._endpoint_calls[command.attempt]
        endpoint_call.link.send(pb.CallFrame(call_id=command.target.call_id, cancel=cancel))
        self._close_endpoint_call(endpoint_call, failed=False)

    def _close_endpoint_call(self, endpoint_call: _EndpointCall, *, failed: bool) -> None:
        if endpoint_call.closed:
            return
        endpoint_call.closed = True
        endpoint_call.link.detach(endpoint_call.target.call_id)
        message = (CallFailed if failed else CallEnded)(call_id=endpoint_call.target.call_id)
        self._services.selector.handle(message, now_seconds=time.monotonic())

    @_execute.register
    def _finish_answer(self, command: FinishCaller) -> None:
        self._stream.finish()

    @_execute.register
    def _fail_answer(self, command: FailCaller) -> None:
        self._stream.fail(command)

    @_execute.register
    def _update_claim(self, command: RecordTarget | DeferToClaim | CloseClaim) -> None:
        assert self._claim is not None
        if isinstance(command, CloseClaim):
            self._claim.record_end(command.end)
        else:
            self._spawn(self._claim.execute(command, dispatch=self.dispatch, stream=self._stream))


def _is_endpoint_fault(message: AttemptMessage) -> bool:
    """Return whether the end of an attempt counts against its endpoint; most refusals do not."""
    body = message.body if isinstance(message, FrameArrived) else None
    if not isinstance(body, AnswerFailure) or body.outcome is not Outcome.NOT_RUN:
        return True
    return body.reason == RefusalReason.ENDPOINT_UNAVAILABLE.value
