"""Let the origin of weights spoil a few answers while it sends the second of two new versions.

The rule is broken if over 60% of the calls of a day are refused or fail, though the origin is sound
again after some seconds.
"""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

from aiohttp import web

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    MODEL,
    ModelEngine,
    Origin,
    Processes,
    Record,
    Store,
    call,
    is_ready,
    model_configuration,
    run_case,
    wait_until,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "z1"
CHUNKS, CHUNK_BYTES = 64, 32768
TROUBLE_SECONDS = 8.0
SPOILT_SHARE = 0.04
SPOILT_PIECES = 3
SOUND_PIECES = 58
"""How many pieces of the second version are sent before the first is spoilt."""
FIRST_VERSION, SECOND_VERSION = 2, 3
BETWEEN_SECONDS = 3.0
BEFORE_SECONDS = 3.0
DAY_SECONDS = 45.0
REFUSED_LIMIT = 0.6
CALL_SECONDS = 0.1


class SpoiltOrigin(Origin):
    """An origin that spoils some pieces of a version, and the next digests that it sends."""

    def __init__(self, *, record: Record) -> None:
        super().__init__(chunks=CHUNKS, chunk_bytes=CHUNK_BYTES)
        self.spoils_until = 0.0
        self.answers = self.spoilt_pieces = self.spoilt_manifests = 0
        """Counts of answers, and of those that were spoilt, since the trouble began."""
        self._second_pieces = 0
        self._record = record

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send a manifest or a piece, which may be spoilt."""
        response = await super().handle(request)
        if time.monotonic() > self.spoils_until:
            return response
        self.answers += 1
        if int(request.query["version"]) != SECOND_VERSION:
            return response
        assert isinstance(response, web.Response)
        assert isinstance(response.body, bytes)
        body = response.body
        is_piece = "/piece/" in request.path
        self._second_pieces += is_piece
        if self._second_pieces <= SOUND_PIECES:
            return response
        if is_piece and self.spoilt_pieces < SPOILT_PIECES:
            self.spoilt_pieces += 1
            spoilt = bytes([body[0] ^ 1]) + body[1:]
        elif not is_piece and not self.spoilt_manifests:
            self.spoilt_manifests += 1
            # One digit of a digest is wrong.
            position = body.index(b'"digests": ["') + len(b'"digests": ["')
            digit = b"1" if body[position : position + 1] == b"0" else b"0"
            spoilt = body[:position] + digit + body[position + 1 :]
        else:
            return response
        self._record("spoilt", path=request.path, query=request.query_string)
        return web.Response(body=spoilt, content_type=response.content_type)


class Case:
    """Run two routers, and one engine with its agent."""

    def __init__(self) -> None:
        self.record = Record(FOLDER / "record.txt")
        self.store = Store()
        self.origin = SpoiltOrigin(record=self.record)
        self.engine = ModelEngine(
            "i-0",
            ZONE,
            store=self.store,
            origin=self.origin,
            record=self.record,
            host="127.0.0.21",
        )
        self.processes = Processes(zones=[ZONE], link_mbps=100, record=self.record)
        self.routers = ["127.0.0.11", "127.0.0.12"]
        self.calls: list[tuple[float, int]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> bool:
        """Start everything, and return whether calls can be served."""
        await self.store.start()
        await self.origin.start()
        await self.engine.start()
        self.store.put("config", "main", model_configuration(origin=self.origin.address))
        self.processes.store = self.store.address
        for number, host in enumerate(self.routers):
            await self.processes.run("router", f"front-{number}", host, ZONE)
        await self.processes.run(
            "agent", "side-0", self.engine.host, ZONE, engine=self.engine.address
        )
        ready = [
            await wait_until(lambda r=r: is_ready(self.processes.readiness(r)), seconds=15)
            for r in self.routers
        ]
        return all(ready)

    async def send_calls(self) -> None:
        """Send model calls at a steady rate to the routers in turn."""
        for number in itertools.count():
            task = asyncio.create_task(self._call(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(CALL_SECONDS)

    async def _call(self, number: int) -> None:
        sent = time.monotonic()
        address = self.processes.callers(self.routers[number % len(self.routers)])
        headers = {"X-Model": MODEL, "X-Token-Count": "100,20"}
        answer = await call(address, "/draft/x", call_id=f"c-{number}", headers=headers)
        self.calls.append((sent, answer.status))
        self.record("answered", call=f"c-{number}", status=answer.status)

    def _name(self, version: int) -> None:
        self.store.put("versions", MODEL, {"model": MODEL, "version": version})
        self.record("named", version=version)

    async def run(self) -> int:
        """Return the exit code."""
        if not await self.start():
            self.record("not-ready")
            return 2
        calls = asyncio.create_task(self.send_calls())
        began = time.monotonic()
        await asyncio.sleep(BEFORE_SECONDS)
        if self._served(began, time.monotonic()) < 0.9:
            return 2
        if TROUBLE:
            self.origin.spoils_until = time.monotonic() + TROUBLE_SECONDS
        self._name(FIRST_VERSION)
        await asyncio.sleep(BETWEEN_SECONDS)
        self._name(SECOND_VERSION)
        await asyncio.sleep(DAY_SECONDS - BETWEEN_SECONDS - BEFORE_SECONDS)
        served = self._served(began, time.monotonic())
        calls.cancel()
        spoilt = self.origin.spoilt_pieces + self.origin.spoilt_manifests
        result = (
            f"{spoilt} of {self.origin.answers} answers of the origin were spoilt, "
            f"the engine holds version {self.engine.version}, {served:.2f} of all calls were served"
        )
        self.record("end", result=result)
        print(result)
        if spoilt > SPOILT_SHARE * self.origin.answers:
            return 2
        return 1 if 1 - served > REFUSED_LIMIT else 0

    def _served(self, began: float, ended: float) -> float:
        statuses = [status for sent, status in self.calls if began <= sent < ended - 0.5]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))


CASE = Case()
sys.exit(run_case(CASE.run, CASE.processes.end))
