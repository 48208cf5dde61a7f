"""Carry all calls between one router and one agent over one gRPC stream."""

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
    """Name the states of a link."""

    CONNECTING = "connecting"
    UP = "up"
    CLOSED = "closed"


class CallSink(Protocol):
    """Receive what a link brings for one call."""

    def frame_arrived(self, frame: pb.AnswerFrame) -> None:
        """Take one frame of the answer."""

    def flush(self) -> None:
        """Write to the caller what the frames so far brought."""

    def link_lost(self) -> None:
        """Learn that the link broke; frames may be missing."""

    def link_restored(self, epoch: Epoch) -> None:
        """Learn that the link works again with an agent of this epoch."""


class AgentLink(Service):
    """Keep a stream to one agent open and distribute its frames to calls."""

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
        self._up = asyncio.Event()
        self._clock_offset_seconds = 0.0

    def __repr__(self) -> str:
        """Name the agent's address."""
        return f"<AgentLink {self.address} {self.link_state.value}>"

    @property
    def is_up(self) -> bool:
        """Tell whether frames can be sent now."""
        return self.link_state is LinkState.UP

    def attach(self, call_id: CallId, sink: CallSink) -> None:
        """Send the frames of a call to its sink."""
        self._sinks[call_id] = sink

    def detach(self, call_id: CallId) -> None:
        """Forget a call."""
        self._sinks.pop(call_id, None)

    def send(self, frame: pb.CallFrame) -> None:
        """Queue a frame; frames of one loop turn share a message."""
        self._outgoing.append(frame)
        self._wakeup.set()

    async def wait_until_up(self, *, timeout_seconds: float) -> bool:
        """Wait for the link and tell whether it is up."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._up.wait()
        return self.link_state is LinkState.UP

    async def settle(self, target: Target) -> pb.SettleReply | None:
        """Ask the agent what became of a call; None means that it did not answer."""
        return await settle(self._channels, target)

    @property
    def is_idle(self) -> bool:
        """Tell whether no call uses the link."""
        return not self._sinks

    def to_agent_clock(self, now_seconds: float) -> float:
        """Return the agent's monotonic clock, late by the time that a message took."""
        return now_seconds + self._clock_offset_seconds

    @Service.task
    async def _keep_connected(self) -> None:
        delay_seconds = RECONNECT_DELAY_SECONDS
        while not self.should_stop:
            was_up = await self._run_stream()
            if was_up:
                delay_seconds = RECONNECT_DELAY_SECONDS
            self._lose()
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
                    self._rise(Epoch(message.epoch))
                    writer = asyncio.create_task(self._write(stream))
                if self._on_load is not None and message.HasField("load"):
                    self._on_load(message.load)
                self._distribute(message)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass
        except asyncio.CancelledError:
            # A channel that is closed cancels its calls; the link then connects again.
            if (task := asyncio.current_task()) is None or task.cancelling():
                raise
        finally:
            if writer is not None:
                writer.cancel()
            stream.cancel()
        return writer is not None

    async def _write(self, stream: Any) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            frames, self._outgoing = self._outgoing, []
            if frames:
                await stream.write(pb.RouterMessage(frames=frames))

    def _distribute(self, message: pb.AgentMessage) -> None:
        sinks, coalesce = self._sinks, self.coalesce_events
        touched: dict[str, CallSink] = {}
        for frame in message.frames:
            call_id = frame.call_id
            sink = sinks.get(call_id)
            if sink is None:
                continue
            sink.frame_arrived(frame)
            if coalesce:
                touched[call_id] = sink
            else:
                sink.flush()
        for sink in touched.values():
            sink.flush()

    def _rise(self, epoch: Epoch) -> None:
        self.link_state = LinkState.UP
        self.epoch = epoch
        self._up.set()
        for sink in list(self._sinks.values()):
            sink.link_restored(epoch)

    def _lose(self) -> None:
        # Frames queued for the broken stream must not reach the agent later: their calls have
        # been told that the link is lost and decide anew.
        self._outgoing.clear()
        self._up.clear()
        was_up, self.link_state = self.link_state is LinkState.UP, LinkState.CONNECTING
        if was_up:
            for sink in list(self._sinks.values()):
                sink.link_lost()

    async def on_stop(self) -> None:
        """Mark the link as closed."""
        self.link_state = LinkState.CLOSED
