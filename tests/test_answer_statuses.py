"""Test endpoints whose answers have a status that no answer can have."""

from collections.abc import AsyncIterator

import pytest

from egretrouter.core.identifiers import CallId, ServiceName
from egretrouter.daemons._endpoint import EndpointClient, EndpointFailedError, endpoint_session
from egretrouter.protocol import egretrouter_pb2 as pb
from tests.platform_standins import registration
from tests.platform_world import PlatformWorld
from tests.raw_endpoint import RawAnswer, RawEndpoint, RawRequest
from tests.test_broken_off_streams import (
    BEGUN,
    OWN,
    REST,
    ReceivedStream,
    chunked_events,
    raw,
    receive,
    respond_in_turn,
    stream,
)

IMPOSSIBLE = ["000", "001", "099", "101", "199", "600", "604", "777", "999"]
CONTENT = b"no answer"


class OddEndpoint:
    """Answer each call with a whole body, a receipt, and the status and headers of a test."""

    def __init__(self) -> None:
        self.status = "000"
        self.headers: tuple[str, ...] = ()
        self.raw = RawEndpoint(self._respond)

    def _respond(self, request: RawRequest) -> RawAnswer:
        lines = [
            f"HTTP/1.1 {self.status} Odd",
            "X-Engine-Stamp: s",
            f"X-Attempt-Id: {request.call_id}",
            *self.headers,
            f"Content-Length: {len(CONTENT)}",
        ]
        return RawAnswer(data="\r\n".join([*lines, "", ""]).encode() + CONTENT)


@pytest.fixture
async def world() -> AsyncIterator[PlatformWorld]:
    opened = PlatformWorld()
    await opened.start(engines=0)
    yield opened
    await opened.stop()


@pytest.fixture
async def endpoint(world: PlatformWorld) -> AsyncIterator[OddEndpoint]:
    odd = OddEndpoint()
    world.store.put("servers", "i-1", registration(await odd.raw.start()))
    await world.wait_until(world.router.shared_state.directory.all_endpoints)
    yield odd
    odd.raw.stop()


@pytest.mark.parametrize("status", IMPOSSIBLE)
class TestDirectCalls:
    """Guard against bytes of an endpoint in trouble that a caller gets as the call's answer."""

    @pytest.mark.parametrize("path", ["/sale/x", "/read/x", "/text/x"])
    async def test_impossible_status_is_an_answer(
        self, world: PlatformWorld, endpoint: OddEndpoint, status: str, path: str
    ) -> None:
        endpoint.status = status
        answered, content, headers = await world.call(path)
        assert answered == 502
        assert "X-Engine-Stamp" not in headers
        assert CONTENT not in content

    @pytest.mark.parametrize("path", ["/sale/x", "/read/x", "/text/x"])
    async def test_impossible_status_says_that_the_call_did_not_run(
        self, world: PlatformWorld, endpoint: OddEndpoint, status: str, path: str
    ) -> None:
        endpoint.status, endpoint.headers = status, ("X-Not-Run: 1", "Retry-After: 1")
        answered, _, headers = await world.call(path)
        assert answered == 502
        assert "X-Engine-Stamp" not in headers

    async def test_impossible_status_says_what_the_endpoint_does(
        self, world: PlatformWorld, endpoint: OddEndpoint, status: str
    ) -> None:
        """Neither a pause nor a leaving is believed of a head that is no answer's."""
        endpoint.status, endpoint.headers = status, ("Server-Leaving: 1", "Retry-After: 30")
        for _ in range(2):
            await world.call("/sale/x")
        assert len(endpoint.raw.requests) == 2
        assert world.router.shared_state.directory.ready_endpoints(ServiceName("plain"))


@pytest.mark.parametrize("status", IMPOSSIBLE)
class TestResumedStreams:
    """Guard against a stream that goes on with bytes that are no answer."""

    async def test_impossible_status_continues_a_stream(self, status: str) -> None:
        world = PlatformWorld()
        await world.start(engines=2)
        first = stream("X-Engine-Stamp: first", "X-Attempt-Id: c-1", body=chunked_events(BEGUN))
        rest = stream(*OWN, body=REST).replace(b"200 OK", f"{status} Odd".encode())
        respond_in_turn(world, [raw(first), raw(rest)])
        received = ReceivedStream(await receive(world))
        await world.stop()
        assert not received.complete
        assert b"event 4" not in received.content


@pytest.mark.parametrize("status", IMPOSSIBLE)
class TestAgents:
    """Guard against an agent that forwards bytes of its endpoint that are no answer."""

    @pytest.mark.parametrize("version_digest", ["", "0" * 64])
    async def test_agent_forwards_an_impossible_status(
        self, status: str, version_digest: str
    ) -> None:
        endpoint = OddEndpoint()
        endpoint.status = status
        call = pb.CallOpen(
            method="POST", path="/orders", content=b"{}", version_digest=version_digest
        )
        address = await endpoint.raw.start()
        async with endpoint_session() as session:
            client = EndpointClient(base_url=f"http://{address}", session=session)
            parts = client.run(
                call, call_id=CallId("c-1"), timeout_seconds=5.0, on_connected=lambda: None
            )
            with pytest.raises(EndpointFailedError):
                _ = [part async for part in parts]
        endpoint.raw.stop()
