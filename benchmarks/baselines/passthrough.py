"""Forward streams with aiohttp alone, for comparison with the router."""

from collections.abc import Iterator
from itertools import cycle

import aiohttp
from aiohttp import web


class PassThrough:
    """Forward each read of an upstream's stream as one write to the caller."""

    def __init__(self, upstreams: list[str]) -> None:
        """Store the upstreams' base URLs, which are used in turn."""
        self.port = 0
        self._upstreams: Iterator[str] = cycle(upstreams)
        self._session: aiohttp.ClientSession
        self._runner: web.AppRunner

    async def start(self) -> None:
        """Listen on a port that the kernel chooses."""
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        application = web.Application()
        application.router.add_post("/{path:.*}", self._forward)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the server and the connections to the upstreams."""
        await self._runner.cleanup()
        await self._session.close()

    async def _forward(self, request: web.Request) -> web.StreamResponse:
        content = await request.read()
        url = next(self._upstreams) + request.path_qs
        headers = {"Content-Type": "application/json"}
        async with self._session.post(url, data=content, headers=headers) as upstream:
            response = web.StreamResponse(
                status=upstream.status, headers={"Content-Type": upstream.content_type}
            )
            await response.prepare(request)
            async for data in upstream.content.iter_any():
                await response.write(data)
            await response.write_eof()
            return response
