"""Provide a plain service whose answers end or fail as the request path says."""

import asyncio

from aiohttp import web

from egretrouter.standins import PlainServiceStandin

EVENTS = [b"data: %d\n\n" % number for number in range(40)]
LARGE = bytes(range(256)) * 4096
FLOOD_BYTES = 64 * 1024 * 1024


class ScriptedService(PlainServiceStandin):
    """Select the answer by the first part of the path."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = asyncio.Event()
        self.requests = 0
        self.deaths = 0
        self.cancelled = 0
        self.sent_bytes = 0
        self.fails = False
        """Whether the dies-* paths close the connection; otherwise they are answered completely."""

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        self.requests += 1
        script = request.path.split("/")[1]
        if script == "hangs":
            await self.gate.wait()
        if script == "large":
            return web.Response(body=LARGE)
        if script == "dies-before" and self.fails:
            assert request.transport is not None
            self.deaths += 1
            request.transport.abort()
            return web.Response()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        try:
            await response.prepare(request)
            await self._stream(request, response, script)
        except (asyncio.CancelledError, ConnectionError):
            self.cancelled += 1
            raise
        return response

    async def _stream(
        self, request: web.Request, response: web.StreamResponse, script: str
    ) -> None:
        if script == "flood":
            for _ in range(FLOOD_BYTES // len(LARGE)):
                await response.write(LARGE)
                self.sent_bytes += len(LARGE)
            return
        for number, event in enumerate(EVENTS):
            if script == "gated" and number == 3:
                await self.gate.wait()
            if self.fails and script == {0: "dies-at-head", 3: "dies-after"}.get(number):
                await asyncio.sleep(0.05)
                assert request.transport is not None
                request.transport.close()
                return
            await response.write(event)
