"""Stand in for a plain service."""

import asyncio
import json
from collections import Counter

from aiohttp import web

from egretrouter.core.digests import content_digest
from egretrouter.standins._base import Standin, reset_connection


class PlainServiceStandin(Standin):
    """Answer any path and count the executions of each request."""

    def __init__(self) -> None:
        """Start with no executions and no faults."""
        super().__init__()
        self.execution_seconds = 0.0
        self.reset_before = 0
        """Number of next requests whose connection is reset before they run."""
        self.reset_after = 0
        """Number of next requests whose connection is reset after they ran."""
        self.answer_twice = 0
        """Number of next requests whose answer is sent twice on the connection."""
        self.executions: Counter[str] = Counter()
        """Number of executions by Idempotency-Key or, without one, by X-Request-Id."""

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_route("*", "/{path:.*}", self._answer)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        content = await request.read()
        if self.reset_before > 0:
            self.reset_before -= 1
            return reset_connection(request)
        headers = request.headers
        key = headers.get("Idempotency-Key") or headers.get("X-Request-Id") or ""
        self.executions[key] += 1
        answer = self.expected_answer(
            key, method=request.method, path=request.path_qs, content=content
        )
        if self.execution_seconds:
            await asyncio.sleep(self.execution_seconds)
        if self.reset_after > 0:
            self.reset_after -= 1
            return reset_connection(request)
        if self.answer_twice > 0:
            self.answer_twice -= 1
            return await self._send_twice(request, answer)
        return web.Response(body=answer, content_type="application/json")

    @staticmethod
    def expected_answer(key: str, *, method: str, path: str, content: bytes) -> bytes:
        """Return the answer to a request; every execution of it gives the same one."""
        values = {"key": key, "method": method, "path": path, "content": content_digest(content)}
        return json.dumps(values).encode()

    async def _send_twice(self, request: web.Request, answer: bytes) -> web.StreamResponse:
        response = web.Response(body=answer, content_type="application/json")
        await response.prepare(request)
        await response.write_eof()
        if request.transport is not None:
            head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            head += f"Content-Length: {len(answer)}\r\n\r\n"
            request.transport.write(head.encode() + answer)
        return response
