"""Multiplex all calls between one router and one agent over one gRPC stream."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

import grpc
from mode import Service

from egretrouter.core.calls import Target
from egretrouter.core.identifiers import CallId, Epoch, InstanceId
from egretrouter.daemons._settle import settle
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport._rpc import ChannelPool

RECONNECT_DELAY_SECONDS = 0.2
RECONNECT_DELAY_LIMIT_SECONDS = 2.0


class LinkState(Enum):
    """Enumerate the states of a link."""

    CONNECTING = "connecting"
    UP = "up"
    CLOSED = "closed"


class CallSink(Protocol):
    """Receive the frames and link events of one call."""

    def frame_arrived(self, frame: pb.AnswerFrame) -> None:
        """Process one frame of the answer."""

    def flush(self) -> None:
        """Write the data received so far to the caller."""

    def link_lost(self) -> None:
        """Handle the loss of the link; frames may be missing."""

    def link_restored(self, epoch: Epoch) -> None:
        """Handle the reconnection to an agent with this epoch."""


class AgentLink(Service):
    """Keep a stream to one agent open and distribute its frames to the sinks of calls."""

    def __init__(
        self,
        *,
        address: str,
        router_id: InstanceId,
        channels: ChannelPool,
        coalesce_events: bool = True,
        on_load: Callable[[pb.EndpointLoad], None] | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(**kwargs)
        self.coalesce_events = coalesce_events
        self._on_load = on_load
        self.address = address
        self.link_state = LinkState.CONNECTING
        self.epoch: Epoch | None = None
        self._router_id = router_id
        self._channels = channels
        self._sinks: dict[str, CallSink] = {}
        self._outgoing: list[pb.CallFrame] = []
        self._wakeup = asyncio.Event()
        self._up_event = asyncio.Event()
        self._clock_offset_seconds = 0.0

    def __repr__(self) -> str:
        """Return the agent's address and the state of the link."""
        return f"<AgentLink {self.address} {self.link_state.value}>"

    @property
    def is_up(self) -> bool:
        """Return whether frames can be sent now."""
        return self.link_state is LinkState.UP

    def attach(self, call_id: CallId, sink: CallSink) -> None:
        """Register the sink that receives the frames of a call."""
        self._sinks[call_id] = sink

    def detach(self, call_id: CallId) -> None:
        """Remove the sink of a call."""
        self._sinks.pop(call_id, None)

    def send(self, frame: pb.CallFrame) -> None:
        """Queue a frame; frames queued in one iteration of the event loop share a message."""
        self._outgoing.append(frame)
        self._wakeup.set()

    async def wait_until_up(self, *, timeout_seconds: float) -> bool:
        """Wait for the link and return whether it is up."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._up_event.wait()
        return self.link_state is LinkState.UP

    async def settle(self, target: Target) -> pb.SettleReply | None:
        """Query the agent for the state of a call; return None if it does not answer."""
        return await settle(self._channels, target)

    @property
    def is_idle(self) -> bool:
        """Return whether no call uses the link."""
        return not self._sinks

    def to_agent_clock(self, now_seconds: float) -> float:
        """Convert to the agent's monotonic clock; the result lags by the delay of one message."""
        return now_seconds + self._clock_offset_seconds

    @Service.task
    async def _keep_connected(self) -> None:
        delay_seconds = RECONNECT_DELAY_SECONDS
        while not self.should_stop:
            was_up = await self._run_stream()
            if was_up:
                delay_seconds = RECONNECT_DELAY_SECONDS
            self._mark_disconnected()
            await self.sleep(delay_seconds)
            delay_seconds = min(delay_seconds * 2, RECONNECT_DELAY_LIMIT_SECONDS)

    async def _run_stream(self) -> bool:
        stub = pb_grpc.AgentCallsStub(self._channels.channel(self.address))
        stream = stub.Attach(metadata=self._channels.metadata)
        writer: asyncio.Task[None] | None = None
        try:
            await stream.write(pb.RouterMessage(router_id=self._router_id))
            while True:
                message = await stream.read()
                if message is grpc.aio.EOF:
                    break
                if writer is None:
                    self._clock_offset_seconds = message.clock_seconds - time.monotonic()
                    self._mark_connected(Epoch(message.epoch))
                    writer = asyncio.create_task(self._write_frames(stream))
                if self._on_load is not None and message.HasField("load"):
                    self._on_load(message.load)
                self._distribute(message)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass
        except asyncio.CancelledError:
            # Closing a channel cancels its calls; the link then reconnects.
            if (task := asyncio.current_task()) is None or task.cancelling():
                raise
        finally:
            if writer is not None:
                writer.cancel()
            stream.cancel()
        return writer is not None

    async def _write_frames(self, stream: Any) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            frames, self._outgoing = self._outgoing, []
            if frames:
                await stream.write(pb.RouterMessage(frames=frames))

    def _distribute(self, message: pb.AgentMessage) -> None:
        sinks, coalesce = self._sinks, self.coalesce_events
        pending_sinks: dict[str, CallSink] = {}
        for frame in message.frames:
            call_id = frame.call_id
            sink = sinks.get(call_id)
            if sink is None:
                continue
            sink.frame_arrived(frame)
            if coalesce:
                pending_sinks[call_id] = sink
            else:
                sink.flush()
        for sink in pending_sinks.values():
            sink.flush()

    def _mark_connected(self, epoch: Epoch) -> None:
        self.link_state = LinkState.UP
        self.epoch = epoch
        self._up_event.set()
        for sink in list(self._sinks.values()):
            sink.link_restored(epoch)

    def _mark_disconnected(self) -> None:
        # Frames queued for the broken stream must not reach the agent later: their calls are
        # notified of the lost link and decide again what to send.
        self._outgoing.clear()
        self._up_event.clear()
        was_up, self.link_state = self.link_state is LinkState.UP, LinkState.CONNECTING
        if was_up:
            for sink in list(self._sinks.values()):
                sink.link_lost()

    async def on_stop(self) -> None:
        """Mark the link as closed."""
        self.link_state = LinkState.CLOSED
