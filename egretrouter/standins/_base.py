"""Provide the common base of stand-ins: HTTP server, fault injection and rate limits."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from enum import Enum

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Outage(Enum):
    """List the ways in which a stand-in can be unavailable."""

    REFUSE = "refuse"
    """Answer 503."""
    DROP = "drop"
    """Close the connection without an answer."""
    HANG = "hang"
    """Accept the request and never answer."""


class TokenBucket:
    """Limit a rate with a token bucket; a rate of None means no limit."""

    def __init__(self, *, per_second: float | None = None) -> None:
        """Start with a full bucket, which holds the tokens of one second."""
        self._per_second = per_second
        self._tokens = per_second or 0.0
        self._updated_seconds = time.monotonic()

    @property
    def per_second(self) -> float | None:
        """Return the rate in tokens per second; setting it refills the bucket."""
        return self._per_second

    @per_second.setter
    def per_second(self, value: float | None) -> None:
        self._per_second = value
        self._tokens = value or 0.0
        self._updated_seconds = time.monotonic()

    def take(self, amount: float = 1.0) -> float:
        """Take tokens and return 0, or return the seconds until enough are available."""
        if self._per_second is None:
            return 0.0
        now = time.monotonic()
        earned = (now - self._updated_seconds) * self._per_second
        self._tokens = min(max(1.0, self._per_second), self._tokens + earned)
        self._updated_seconds = now
        if self._tokens >= amount:
            self._tokens -= amount
            return 0.0
        return (amount - self._tokens) / self._per_second


class Standin:
    """Serve an endpoint or one of the platform's systems in-process."""

    def __init__(self) -> None:
        """Create the stand-in without starting its server."""
        self.url = ""
        self._outage: Outage | None = None
        self.latency_seconds = 0.0
        self._runner: web.AppRunner | None = None
        # Connections with a request in progress.
        self._transports: set[asyncio.Transport] = set()
        self._callers_by_port: dict[int, str] = {}
        self._disconnected_callers: set[str] = set()

    @property
    def outage(self) -> Outage | None:
        """Return the current outage, if any; setting one resets requests in progress."""
        return self._outage

    @outage.setter
    def outage(self, value: Outage | None) -> None:
        self._outage = value
        if value is not None:
            self.reset_connections()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return the URL; with port 0 the operating system chooses the port."""
        application = web.Application(middlewares=[self._inject_faults], client_max_size=1 << 30)
        self._add_routes(application.router)
        application.on_response_prepare.append(self._prepare_response)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.05, handler_cancellation=True
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        self.url = f"http://{host}:{self._runner.addresses[0][1]}"
        return self.url

    async def listen_for(self, caller: str) -> str:
        """Listen on a separate port for a caller or group of callers, and return the URL."""
        assert self._runner is not None
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port: int = self._runner.addresses[-1][1]
        self._callers_by_port[port] = caller
        return f"http://127.0.0.1:{port}"

    def cut_off(self, caller: str) -> None:
        """Reset requests on the port of a caller until it is reconnected."""
        self._disconnected_callers.add(caller)
        for transport in list(self._transports):
            if self._caller_of(transport) == caller:
                transport.abort()

    def reconnect(self, caller: str) -> None:
        """Accept requests on the port of a caller again."""
        self._disconnected_callers.discard(caller)

    def _caller_of(self, transport: asyncio.Transport | None) -> str | None:
        address = transport.get_extra_info("sockname") if transport is not None else None
        return self._callers_by_port.get(address[1]) if address else None

    async def stop(self) -> None:
        """Reset connections with a request in progress and stop listening."""
        self.reset_connections()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def reset_connections(self) -> None:
        """Reset every connection with a request in progress."""
        for transport in list(self._transports):
            transport.abort()

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        raise NotImplementedError

    async def _prepare_response(self, request: web.Request, response: web.StreamResponse) -> None:
        """Add the headers that all answers of the stand-in have."""

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        transport = request.transport
        if transport is not None:
            self._transports.add(transport)
        try:
            if self.latency_seconds:
                await asyncio.sleep(self.latency_seconds)
            if self._caller_of(transport) in self._disconnected_callers:
                return reset_connection(request)
            if self.outage is Outage.REFUSE:
                return web.Response(status=503, text="out of service")
            if self.outage is Outage.DROP:
                return reset_connection(request)
            if self.outage is Outage.HANG:
                await asyncio.Event().wait()
            return await handler(request)
        finally:
            if transport is not None:
                self._transports.discard(transport)


def reset_connection(request: web.Request) -> web.Response:
    """Reset the connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def too_many_requests(*, retry_after_seconds: float) -> web.Response:
    """Return a 429 response with a Retry-After header."""
    return web.Response(
        status=429, text="rate limit", headers={"Retry-After": f"{retry_after_seconds:.3f}"}
    )
