"""Test that an agent that stops cuts off no call and ends in bounded time."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from egretrouter.core.calls import AdmitCall, CallRegistry, Drain, VersionsLoaded
from egretrouter.core.identifiers import CallId, Digest, Epoch, InstanceId
from egretrouter.daemons._agent_calls import CallsServicer
from egretrouter.daemons._endpoint import EndpointClient, endpoint_session
from egretrouter.protocol import egretrouter_pb2 as pb
from tests.helpers import wait_until
from tests.scripted_fleet import ScriptedFleet, start_scripted_fleet

ROUTER = InstanceId("router-1")
DRAIN_SECONDS = 10.0


@pytest.fixture
async def fleet() -> AsyncIterator[ScriptedFleet]:
    fleet = await start_scripted_fleet()
    yield fleet
    await fleet.stop()


@pytest.fixture
async def servicer() -> AsyncIterator[CallsServicer]:
    async with endpoint_session() as session:
        yield CallsServicer(
            registry=CallRegistry(epoch=Epoch(1), version_digests=frozenset()),
            endpoint=EndpointClient(base_url="http://127.0.0.1:1", session=session),
            confirm_epoch=lambda: None,
            clock=lambda: 0.0,
        )


async def attach_messages() -> AsyncIterator[pb.RouterMessage]:
    yield pb.RouterMessage(router_id=ROUTER)
    await asyncio.Event().wait()


def refuse_call(servicer: CallsServicer, call_id: str) -> None:
    """Let the servicer queue one frame, the refusal of a call for another version."""
    servicer.dispatch(
        AdmitCall(
            call_id=CallId(call_id),
            router_id=ROUTER,
            epoch=Epoch(1),
            version_digest=Digest("other"),
            expires_at_seconds=10.0,
            idempotent=False,
        )
    )


class TestAgentDrain:
    """Guard against ends of calls that are lost when the agent stops."""

    async def test_frames_queued_behind_a_slow_router_are_sent(
        self, servicer: CallsServicer
    ) -> None:
        """The end of a call was queued while the link was busy, and was dropped by the stop."""
        messages = servicer.Attach(attach_messages(), None)
        await anext(messages)
        refuse_call(servicer, "a")
        first = await anext(messages)
        refuse_call(servicer, "b")
        await servicer.close()
        rest = [message async for message in messages]
        assert [f.call_id for m in (first, *rest) for f in m.frames] == ["a", "b"]

    async def test_the_drain_waits_for_frames_that_are_not_sent(
        self, servicer: CallsServicer
    ) -> None:
        """The drain counted calls, and its end did not wait for the last call's frames."""
        messages = servicer.Attach(attach_messages(), None)
        await anext(messages)
        refuse_call(servicer, "a")
        servicer.dispatch(Drain())
        assert servicer.drained.is_set()
        flushed = asyncio.create_task(servicer.flush_links(timeout_seconds=DRAIN_SECONDS))
        assert [f.call_id for f in (await anext(messages)).frames] == ["a"]
        await asyncio.sleep(0)
        assert not flushed.done()
        pending = asyncio.ensure_future(anext(messages))
        await flushed
        await servicer.close()
        with pytest.raises(StopAsyncIteration):
            await pending

    async def test_a_call_without_credit_ends_at_its_deadline(self, fleet: ScriptedFleet) -> None:
        """An order whose caller had gone waited for credit forever, and so did the drain."""
        request = b"POST /flood HTTP/1.1\r\nHost: x\r\nX-Request-Timeout-Seconds: 1\r\n"
        _, writer = await asyncio.open_connection("127.0.0.1", fleet.router.callers_port)
        writer.write(request + b"Content-Length: 0\r\n\r\n")
        name = await fleet.wait_for_request()
        agent = fleet.agents[name]
        await wait_until(lambda: agent.calls.registry.in_progress == 1)
        writer.close()
        async with asyncio.timeout(DRAIN_SECONDS):
            await agent.drain()
        assert agent.calls.registry.in_progress == 0
        assert sum(agent.calls.calls_per_version.values()) == 0

    async def test_a_call_counts_for_its_version_from_its_admission(
        self, servicer: CallsServicer
    ) -> None:
        """A version was switched in the turn in which a call for it had been admitted."""
        digest = Digest("v1")
        servicer.dispatch(VersionsLoaded(version_digests=frozenset({digest})))
        opened = pb.CallOpen(epoch=1, version_digest=digest, expires_at_seconds=10.0)
        servicer._handle_frame(ROUTER, pb.CallFrame(call_id="a", open=opened))
        assert servicer.calls_per_version == {digest: 1}
        await servicer.close()
        await wait_until(lambda: servicer.calls_per_version == {digest: 0})
