"""Serve the operators' port: health, metrics and the state dump."""

import hashlib
import json
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from aiohttp import web

from egretrouter.daemons._metrics import ProcessMetrics


def operators_application(
    *,
    dump: Callable[[], dict[str, Any]],
    metrics: ProcessMetrics,
    ready: Callable[[], bool],
    token_sha256: Sequence[str],
) -> web.Application:
    """Build the application of the operators' port."""
    accepted = frozenset(token_sha256)

    @web.middleware
    async def authenticate(
        request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        if accepted and not (scheme.lower() == "bearer" and digest in accepted):
            return web.json_response({"error": "operator token missing or unknown"}, status=401)
        return await handler(request)

    async def health(_: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def readiness(_: web.Request) -> web.Response:
        return web.json_response({"ready": ready()}, status=200 if ready() else 503)

    async def dump_state(_: web.Request) -> web.Response:
        return web.json_response(dump(), dumps=lambda value: json.dumps(value, default=str))

    async def export_metrics(request: web.Request) -> web.Response:
        content, headers = metrics.rendered(request.headers.get("Accept", ""))
        return web.Response(body=content, headers=headers)

    application = web.Application(middlewares=[authenticate])
    application.add_routes(
        [
            web.get("/healthz", health),
            web.get("/readyz", readiness),
            web.get("/debug/state", dump_state),
            web.get("/metrics", export_metrics),
        ]
    )
    return application
