"""Serve the calls that routers send to the endpoint of this agent."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable, Collection
from functools import singledispatchmethod
from typing import Any

from eliot import log_message

from egretrouter.core.calls import (
    AdmitCall,
    AnswerData,
    AnswerProduced,
    CallFailed,
    CallFinished,
    CallRegistry,
    CallStarted,
    CancelCall,
    ConfirmEpoch,
    Drain,
    Drained,
    RegistryCommand,
    RegistryMessage,
    ReplySettle,
    ResumeCall,
    RouterAttached,
    RouterLost,
    SendFrame,
    SettleCall,
    StartCall,
    StopCall,
    Tick,
)
from egretrouter.core.errors import CallError, ProtocolError
from egretrouter.core.identifiers import CallId, Digest, Epoch, InstanceId
from egretrouter.core.membership import LoadReport
from egretrouter.daemons._endpoint import EndpointClient, VersionNotHeldError
from egretrouter.daemons._router_link import RouterLink
from egretrouter.daemons._running_call import RunningCall
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.protocol.answers import encode_frame, encode_head

MAX_FRAMES_PER_MESSAGE = 512
# Reports come once a second or more often; links carry about one a second.
LOAD_INTERVAL_SECONDS = 0.9
# A router of a zone with 67 routers and 370 agents would receive 370 loads a second. On links
# without frames an agent sends 6.7 loads a second in all, so such a router receives 37.
IDLE_LOAD_SECONDS_PER_LINK = 0.15
MIN_CALL_TIMEOUT_SECONDS = 0.001


class CallsServicer(pb_grpc.AgentCallsServicer):
    """Run the call registry and execute its commands."""

    def __init__(
        self,
        *,
        registry: CallRegistry,
        endpoint: EndpointClient,
        confirm_epoch: Callable[[int], None],
        clock: Callable[[], float] = time.monotonic,
        coalesce_events: bool = True,
    ) -> None:
        """Create the servicer; coalesce_events sends queued frames in one message."""
        self.registry = registry
        self.drained = asyncio.Event()
        self.endpoint_failed = asyncio.Event()
        """Set by each call that the endpoint did not answer completely."""
        self.calls_per_version: dict[Digest, int] = {}
        self.finished_calls_total = 0
        self.coalesce_events = coalesce_events
        self._endpoint = endpoint
        self._confirm_epoch = confirm_epoch
        self._clock = clock
        self._links: dict[InstanceId, RouterLink] = {}
        self._running: dict[CallId, RunningCall] = {}
        self._draining = False
        self._serving_digest: Digest | None = None
        self._load: LoadReport | None = None
        self._load_at_seconds = 0.0
        self._next_load_seconds = float("-inf")

    def report_load(self, load: LoadReport) -> None:
        """Send the endpoint's load to every router that has a link."""
        self._load = load
        self._load_at_seconds = self._clock()
        if self._load_at_seconds >= self._next_load_seconds:
            self._next_load_seconds = self._load_at_seconds + LOAD_INTERVAL_SECONDS
            idle_interval_seconds = IDLE_LOAD_SECONDS_PER_LINK * len(self._links)
            for link in self._links.values():
                link.schedule_load(
                    now_seconds=self._load_at_seconds, idle_interval_seconds=idle_interval_seconds
                )

    def _build_load_message(self) -> pb.EndpointLoad:
        load = self._load or LoadReport()
        return pb.EndpointLoad(
            queued_calls=load.queued_calls,
            running_calls=load.running_calls,
            finished_calls_total=self.finished_calls_total,
            age_seconds=self._clock() - self._load_at_seconds,
            draining=self._draining or self._serving_digest is None,
            version_digest=self._serving_digest or "",
        )

    def announce_version(self, digest: Digest | None) -> None:
        """Send the version for new calls, None for no version, to the routers that have a link.

        Gossip and summaries take seconds, in which calls for the old version would be refused.
        """
        if digest != self._serving_digest:
            self._serving_digest = digest
            for link in self._links.values():
                link.send_load()

    def dispatch(self, message: RegistryMessage) -> None:
        """Pass a message to the registry and execute its commands."""
        for command in self.registry.handle(message, now_seconds=self._clock()):
            self._execute(command)

    def announce_drain(self) -> None:
        """Announce the drain to the routers that have a link, before calls are refused."""
        self._draining = True
        for link in self._links.values():
            link.send_load()

    def drain(self) -> None:
        """Stop admitting calls; the drained event is set when the last one has ended."""
        self.dispatch(Drain())

    def tick(self) -> None:
        """Let the registry process its timeouts."""
        self.dispatch(Tick())

    async def flush_links(self, *, timeout_seconds: float) -> None:
        """Wait until the routers that have a link have taken all frames."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                for link in list(self._links.values()):
                    await link.wait_until_sent()

    async def close(self) -> None:
        """Cancel the running calls, and close the links after the frames that are queued."""
        for running in list(self._running.values()):
            if running.task is not None:
                running.task.cancel()
        for link in self._links.values():
            link.close()

    def break_links(self, router_ids: Collection[str]) -> None:
        """End the streams of routers that can't be reached any more."""
        for router_id, link in self._links.items():
            if router_id in router_ids:
                link.close()

    async def Attach(  # noqa: N802
        self, request_iterator: AsyncIterator[pb.RouterMessage], context: Any
    ) -> AsyncIterator[pb.AgentMessage]:
        """Serve one router until its stream ends."""
        first = await anext(request_iterator, None)
        if first is None:
            return
        router_id = InstanceId(first.router_id)
        link = RouterLink()
        previous = self._links.get(router_id)
        if previous is not None:
            previous.close()
        self._links[router_id] = link
        self.dispatch(RouterAttached(router_id=router_id))
        reader = asyncio.create_task(self._read_frames(router_id, link, request_iterator))
        epoch = self.registry.epoch
        try:
            yield pb.AgentMessage(
                epoch=epoch, clock_seconds=self._clock(), load=self._build_load_message()
            )
            while not link.ended:
                frames = await link.wait_for_batch()
                load = self._build_load_message() if link.pop_load_due() else None
                if load is not None and not frames:
                    yield pb.AgentMessage(epoch=epoch, load=load)
                size = MAX_FRAMES_PER_MESSAGE if self.coalesce_events else 1
                for start in range(0, len(frames), size):
                    part = frames[start : start + size]
                    yield pb.AgentMessage(epoch=epoch, frames=part, load=load)
                    load = None
        finally:
            reader.cancel()
            link.discard()
            if self._links.get(router_id) is link:
                del self._links[router_id]
                self.dispatch(RouterLost(router_id=router_id))

    async def Settle(self, request: pb.SettleRequest, context: Any) -> pb.SettleReply:  # noqa: N802
        """Resolve an in-doubt call: return its state, and its answer if there is one."""
        message = SettleCall(
            call_id=CallId(request.call_id),
            epoch=Epoch(request.epoch),
            expires_at_seconds=request.expires_at_seconds,
        )
        reply: pb.SettleReply | None = None
        for command in self.registry.handle(message, now_seconds=self._clock()):
            if isinstance(command, ReplySettle):
                reply = _build_settle_reply(command)
            else:
                self._execute(command)
        if reply is None:
            raise ProtocolError(f"settling call {request.call_id!r} gave no reply")
        return reply

    async def _read_frames(
        self, router_id: InstanceId, link: RouterLink, messages: AsyncIterator[pb.RouterMessage]
    ) -> None:
        try:
            async for message in messages:
                for frame in message.frames:
                    self._handle_frame(router_id, frame)
        finally:
            link.close()

    def _handle_frame(self, router_id: InstanceId, frame: pb.CallFrame) -> None:
        call_id = CallId(frame.call_id)
        kind = frame.WhichOneof("body")
        if kind == "open":
            self._open_call(router_id, call_id, frame.open)
        elif kind == "credit":
            running = self._running.get(call_id)
            if running is not None:
                running.add_credit(frame.credit.bytes)
        elif kind == "cancel":
            expires_at_seconds = frame.cancel.expires_at_seconds
            self.dispatch(CancelCall(call_id=call_id, expires_at_seconds=expires_at_seconds))
        elif kind == "resume":
            next_sequence = frame.resume.next_sequence
            self.dispatch(
                ResumeCall(call_id=call_id, router_id=router_id, next_sequence=next_sequence)
            )

    def _open_call(self, router_id: InstanceId, call_id: CallId, call: pb.CallOpen) -> None:
        is_known = call_id in self._running
        if not is_known:
            self._running[call_id] = RunningCall(call)
        self.dispatch(
            AdmitCall(
                call_id=call_id,
                router_id=router_id,
                epoch=Epoch(call.epoch),
                version_digest=Digest(call.version_digest),
                expires_at_seconds=call.expires_at_seconds,
                idempotent=call.idempotent,
            )
        )
        running = self._running.get(call_id)
        if not is_known and running is not None and running.task is None:
            del self._running[call_id]

    @singledispatchmethod
    def _execute(self, command: RegistryCommand) -> None:
        raise TypeError(f"agent got unexpected command {command!r}")

    @_execute.register
    def _start_call(self, command: StartCall) -> None:
        call_id = command.call_id
        running = self._running[call_id]
        digest = Digest(running.call.version_digest)
        self.calls_per_version[digest] = self.calls_per_version.get(digest, 0) + 1
        running.task = asyncio.create_task(self._run_call(call_id, running))
        # A task that is cancelled before it starts runs none of its own code.
        running.task.add_done_callback(lambda _: self._remove_call(call_id, digest))

    def _remove_call(self, call_id: CallId, digest: Digest) -> None:
        del self._running[call_id]
        self.calls_per_version[digest] -= 1

    @_execute.register
    def _stop_call(self, command: StopCall) -> None:
        running = self._running.get(command.call_id)
        if running is not None and running.task is not None:
            running.task.cancel()

    @_execute.register
    def _send_frame(self, command: SendFrame) -> None:
        link = self._links.get(command.router_id)
        if link is not None:
            frame = encode_frame(command.call_id, command.sequence, command.body)
            link.queue(frame)

    @_execute.register
    def _request_epoch_confirmation(self, command: ConfirmEpoch) -> None:
        self._confirm_epoch(command.pause)

    @_execute.register
    def _set_drained(self, command: Drained) -> None:
        self.drained.set()

    async def _run_call(self, call_id: CallId, running: RunningCall) -> None:
        call = running.call
        remaining_seconds = max(call.expires_at_seconds - self._clock(), MIN_CALL_TIMEOUT_SECONDS)
        # The client's own time limit does not run while the call waits for credit.
        deadline_seconds = asyncio.get_running_loop().time() + remaining_seconds
        try:
            parts = self._endpoint.run(
                call,
                call_id=call_id,
                timeout_seconds=remaining_seconds,
                on_connected=lambda: self.dispatch(CallStarted(call_id=call_id)),
            )
            # A call that is cancelled while it waits for credit must close its connection too.
            async with contextlib.aclosing(parts):
                async for part in parts:
                    self.dispatch(AnswerProduced(call_id=call_id, body=part))
                    if isinstance(part, AnswerData):
                        await running.spend(len(part.data), deadline_seconds=deadline_seconds)
            self.finished_calls_total += 1
            self.dispatch(CallFinished(call_id=call_id))
        except CallError as error:
            log_message("agent:call_failed", call_id=call_id, error=type(error).__name__)
            refused = isinstance(error, VersionNotHeldError)
            self.dispatch(CallFailed(call_id=call_id, detail=str(error), version_refused=refused))
            self.endpoint_failed.set()

    def snapshot(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            "registry": self.registry.snapshot(),
            "links": sorted(self._links),
            "calls_per_version": dict(self.calls_per_version),
            "finished_calls_total": self.finished_calls_total,
        }


def _build_settle_reply(command: ReplySettle) -> pb.SettleReply:
    reply = pb.SettleReply(state=command.state.value, epoch=command.epoch)
    if command.head is not None:
        reply.head.CopyFrom(encode_head(command.head))
    if command.content is not None:
        reply.content = command.content
    return reply
