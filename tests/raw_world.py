"""Provide a platform router whose endpoints answer with raw bytes."""

from typing import Any

from tests.platform_standins import registration
from tests.platform_world import PlatformWorld
from tests.raw_endpoint import RawAnswer, RawEndpoint, RawRequest

SLOTS = 400
"""More than a test has calls at once, so that none is refused for want of room."""


class RawWorld(PlatformWorld):
    """Run a router with endpoints whose answers a subclass selects."""

    def __init__(self) -> None:
        super().__init__()
        self._raw_endpoints: list[RawEndpoint] = []

    async def start(self, *, engines: int = 2, **changes: Any) -> None:
        await super().start(engines=0, **changes)
        for number in range(engines):
            endpoint = RawEndpoint(self.respond)
            self._raw_endpoints.append(endpoint)
            entry = {**registration(await endpoint.start()), "slots": SLOTS}
            self.store.put("servers", f"i-{number}", entry)
        directory = self.router.shared_state.directory
        await self.wait_until(lambda: len(directory.all_endpoints()) == engines)

    def respond(self, request: RawRequest) -> RawAnswer:
        raise NotImplementedError

    async def stop(self) -> None:
        for endpoint in self._raw_endpoints:
            endpoint.stop()
        await super().stop()
