"""Test endpoints that switch to a protocol nobody asked for."""

from collections.abc import AsyncIterator

import pytest

from egretrouter.core.identifiers import CallId
from egretrouter.daemons._endpoint import EndpointClient, EndpointFailedError, endpoint_session
from egretrouter.protocol import egretrouter_pb2 as pb
from tests.platform_standins import registration
from tests.platform_world import PlatformWorld
from tests.raw_endpoint import RawAnswer, RawEndpoint

HEAD = (
    b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n"
    b"X-Engine-Stamp: s\r\nX-Attempt-Id: c-1\r\n\r\n"
)


@pytest.fixture
async def address() -> AsyncIterator[str]:
    endpoint = RawEndpoint(lambda request: RawAnswer(data=HEAD))
    yield await endpoint.start()
    endpoint.stop()


class TestProtocolSwitches:
    """Guard against interim answers after which callers still wait for an answer."""

    async def test_caller_is_told_to_switch_protocols(self, address: str) -> None:
        world = PlatformWorld()
        await world.start(engines=0)
        world.store.put("servers", "i-1", registration(address))
        await world.wait_until(world.router.shared_state.directory.all_endpoints)
        status, _, headers = await world.call("/sale/x")
        await world.stop()
        assert status == 502
        assert "X-Engine-Stamp" not in headers

    async def test_agent_forwards_a_switch_of_protocols(self, address: str) -> None:
        call = pb.CallOpen(method="POST", path="/orders", content=b"{}")
        async with endpoint_session() as session:
            client = EndpointClient(base_url=f"http://{address}", session=session)
            parts = client.run(
                call, call_id=CallId("c-1"), timeout_seconds=5.0, on_connected=lambda: None
            )
            with pytest.raises(EndpointFailedError):
                _ = [part async for part in parts]
