"""Query agents for the outcome of calls."""

import grpc

from egretrouter.core.calls import Target
from egretrouter.protocol import egretrouter_pb2 as pb
from egretrouter.protocol import egretrouter_pb2_grpc as pb_grpc
from egretrouter.transport._rpc import ChannelPool

SETTLE_TIMEOUT_SECONDS = 2.0


async def settle(channels: ChannelPool, target: Target) -> pb.SettleReply | None:
    """Query the agent for the state of a call; return None if it does not answer."""
    stub = pb_grpc.AgentCallsStub(channels.channel(target.address))
    request = pb.SettleRequest(
        call_id=target.call_id,
        epoch=target.epoch,
        expires_at_seconds=target.expires_at_seconds,
    )
    try:
        reply: pb.SettleReply = await stub.Settle(
            request, metadata=channels.metadata, timeout=SETTLE_TIMEOUT_SECONDS
        )
    except grpc.aio.AioRpcError:
        return None
    return reply
