"""Stand in for the platform's object API."""

import asyncio
import base64
import time
from collections import Counter

from aiohttp import web

from egretrouter.standins._base import Standin, TokenBucket, reset_connection, too_many_requests

MAX_OBJECT_BYTES = 1024 * 1024
MAX_WATCH_SECONDS = 60.0
STORE_ERA_HEADER = "X-Store-Era"
IF_STORE_ERA_HEADER = "X-If-Store-Era"


class ObjectApiStandin(Standin):
    """Serve versioned objects with conditional updates and long-poll watches.

    Versions come from one counter for the whole store, so an object that is deleted and
    created again has a higher version than before. After a restore the counter goes on from the
    copy, so versions are given out again; the era in each answer tells them apart.
    """

    def __init__(self) -> None:
        """Start with no objects and no faults."""
        super().__init__()
        self.lose_answers = 0
        """Number of next writes that take effect but whose connection is reset."""
        self.stale_seconds = 0.0
        """How many seconds reads and lists lag behind writes."""
        self.break_watches = False
        """Whether to reset the connection of every watch."""
        self.write_rate = TokenBucket()
        self.read_rate = TokenBucket()
        self.calls: Counter[str] = Counter()
        """Calls by kind: get, put, delete, list and watch; refused calls count too."""
        self.waiting_watches = 0
        self.era: int | None = 1
        """Number that each restore raises by one; None to tell no era."""
        self._revision = 0
        # Version and content by key; the history adds the time, and None for a deleted object.
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._history: dict[str, list[tuple[float, tuple[int, bytes] | None]]] = {}
        self._changed = asyncio.Condition()

    def content(self, key: str) -> bytes | None:
        """Return an object's content without counting a call."""
        entry = self._objects.get(key)
        return None if entry is None else entry[1]

    def version(self, key: str) -> int:
        """Return an object's version, 0 if it does not exist."""
        return self._objects.get(key, (0, b""))[0]

    async def write(self, key: str, content: bytes) -> int:
        """Write an object without counting a call and return its version."""
        self._revision += 1
        await self._store_entry(key, (self._revision, content))
        return self._revision

    async def restore(self, *, seconds: float) -> None:
        """Go back to the objects of some seconds ago, losing acknowledged writes."""
        copied_at_seconds = time.monotonic() - seconds
        self._history = {
            key: [state for state in states if state[0] <= copied_at_seconds]
            for key, states in self._history.items()
        }
        kept = [states[-1][1] for states in self._history.values() if states]
        self._objects = {
            key: entry
            for key, states in self._history.items()
            if states and (entry := states[-1][1]) is not None
        }
        self._revision = max((entry[0] for entry in kept if entry is not None), default=0)
        if self.era is not None:
            self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def _prepare_response(self, request: web.Request, response: web.StreamResponse) -> None:
        if self.era is not None:
            response.headers[STORE_ERA_HEADER] = str(self.era)

    def _is_other_era(self, era: str | None) -> bool:
        return era is not None and self.era is not None and int(era) != self.era

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_get("/objects", self._list)
        router.add_get("/objects/{key:.+}", self._get)
        router.add_put("/objects/{key:.+}", self._put)
        router.add_delete("/objects/{key:.+}", self._delete)

    async def _list(self, request: web.Request) -> web.StreamResponse:
        self.calls["list"] += 1
        if wait_seconds := self.read_rate.take():
            return too_many_requests(retry_after_seconds=wait_seconds)
        prefix = request.query.get("prefix", "")
        entries = [
            {"key": key, "version": entry[0], "content": base64.b64encode(entry[1]).decode()}
            for key in sorted(self._history)
            if key.startswith(prefix) and (entry := self._read_entry(key)) is not None
        ]
        return web.json_response({"objects": entries})

    async def _get(self, request: web.Request) -> web.StreamResponse:
        if "watch" in request.query:
            return await self._watch(request)
        self.calls["get"] += 1
        if wait_seconds := self.read_rate.take():
            return too_many_requests(retry_after_seconds=wait_seconds)
        entry = self._read_entry(request.match_info["key"])
        if entry is None:
            return web.Response(status=404, text="no such object")
        return web.Response(body=entry[1], headers={"ETag": f'"{entry[0]}"'})

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls["watch"] += 1
        if wait_seconds := self.read_rate.take():
            return too_many_requests(retry_after_seconds=wait_seconds)
        if self.break_watches:
            return reset_connection(request)
        key = request.match_info["key"]
        after_version = int(request.query["watch"])
        era = request.query.get("era")
        wait_seconds = min(float(request.query.get("wait_seconds", "30")), MAX_WATCH_SECONDS)
        self.waiting_watches += 1
        try:
            async with asyncio.timeout(wait_seconds), self._changed:
                await self._changed.wait_for(
                    lambda: self.version(key) > after_version or self._is_other_era(era)
                )
        except TimeoutError:
            return web.Response(status=304)
        finally:
            self.waiting_watches -= 1
        if self._is_other_era(era):
            return web.Response(status=410, text="the history of this era is gone")
        version, content = self._objects[key]
        return web.Response(body=content, headers={"ETag": f'"{version}"'})

    async def _put(self, request: web.Request) -> web.StreamResponse:
        content = await request.read()
        self.calls["put"] += 1
        if len(content) > MAX_OBJECT_BYTES:
            return web.Response(status=413, text=f"at most {MAX_OBJECT_BYTES} bytes")
        if refusal := self._write_refusal(request):
            return refusal
        version = await self.write(request.match_info["key"], content)
        if self._should_lose_answer():
            return reset_connection(request)
        return web.Response(status=200, headers={"ETag": f'"{version}"'})

    async def _delete(self, request: web.Request) -> web.StreamResponse:
        self.calls["delete"] += 1
        if refusal := self._write_refusal(request):
            return refusal
        if request.match_info["key"] not in self._objects:
            return web.Response(status=404, text="no such object")
        await self._store_entry(request.match_info["key"], None)
        return reset_connection(request) if self._should_lose_answer() else web.Response(status=204)

    def _write_refusal(self, request: web.Request) -> web.Response | None:
        if wait_seconds := self.write_rate.take():
            return too_many_requests(retry_after_seconds=wait_seconds)
        version = self.version(request.match_info["key"])
        expected = request.headers.get("If-Match")
        must_be_absent = request.headers.get("If-None-Match") == "*"
        is_other = expected is not None and expected != f'"{version}"'
        is_other = is_other or self._is_other_era(request.headers.get(IF_STORE_ERA_HEADER))
        if (must_be_absent and version) or is_other:
            return web.Response(status=412, headers={"ETag": f'"{version}"'})
        return None

    def _should_lose_answer(self) -> bool:
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    def _read_entry(self, key: str) -> tuple[int, bytes] | None:
        """Return the entry as of stale_seconds ago."""
        if not self.stale_seconds:
            return self._objects.get(key)
        read_at_seconds = time.monotonic() - self.stale_seconds
        earlier = [
            entry
            for stored_at_seconds, entry in self._history.get(key, [])
            if stored_at_seconds <= read_at_seconds
        ]
        return earlier[-1] if earlier else None

    async def _store_entry(self, key: str, entry: tuple[int, bytes] | None) -> None:
        if entry is None:
            self._objects.pop(key, None)
        else:
            self._objects[key] = entry
        # Stale reads look back only seconds, so 64 states per object suffice and bound the memory.
        self._history[key] = [*self._history.get(key, [])[-63:], (time.monotonic(), entry)]
        async with self._changed:
            self._changed.notify_all()
