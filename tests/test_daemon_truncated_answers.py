"""Test what callers receive through agents when a service's answer ends anywhere."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from egretrouter.core.configuration import FILE_ADAPTER, part_name
from egretrouter.demo import Fleet, FleetOptions
from egretrouter.standins import PlainServiceStandin
from tests.answer_forms import Form, after_interim, in_chunks, until_close, with_length
from tests.configuration_samples import deployment, plain
from tests.framed_answers import FramedAnswer, read_framed
from tests.raw_endpoint import RawAnswer, RawEndpoint, RawRequest

CONCURRENT_CALLS = 16
CALL_SECONDS = 30
# A call that no endpoint gets proves nothing.
MIN_RUN_SHARE = 0.9
WAIT_SECONDS = 30.0
PARTS = [
    deployment(
        zones=[{"name": "z1", "region": "r1"}],
        workspaces=[{"name": "w1", "requests_per_second": 10_000}],
    ),
    plain(
        "raw",
        prefixes=["/"],
        placement=[{"zone": "z1", "replicas": 2}],
        idempotency=[{"method": "GET", "idempotent": True}],
    ),
]
EVENTS = "Content-Type: text/event-stream\r\n"
WHOLE = b"the whole answer of the service"
STREAM = b"data: a\n\ndata: b\n\ndata: c\n\n"
FORMS = {
    "with a length": with_length(WHOLE),
    "in chunks": in_chunks(WHOLE),
    "until the connection closes": until_close(WHOLE),
    "without content": Form(head="HTTP/1.1 204 No Content\r\nX-Header: x\r\n\r\n", status=204),
    "after an interim answer": after_interim(with_length(WHOLE)),
    "of a failure": with_length(WHOLE, line="503 Full"),
    "stream with a length": with_length(STREAM, headers=EVENTS),
    "stream in chunks": in_chunks(STREAM, headers=EVENTS),
    "stream until the connection closes": until_close(STREAM, headers=EVENTS),
}


class RawService(PlainServiceStandin):
    """Cut off each answer where its path says."""

    def __init__(self) -> None:
        super().__init__()
        self.paths: list[str] = []
        self._endpoint = RawEndpoint(self._respond)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        self.url = f"http://{await self._endpoint.start(port)}"
        return self.url

    def _respond(self, request: RawRequest) -> RawAnswer:
        path = request.head.split(b" ")[1].decode()
        self.paths.append(path)
        name, at, end = path[1:].split("/")
        return RawAnswer(data=list(FORMS.values())[int(name)].data[: int(at)], reset=end == "reset")

    async def stop(self) -> None:
        self._endpoint.stop()


class RawFleet(Fleet):
    """Run a fleet whose agents have endpoints that cut off their answers."""

    async def start_agent(self, instance_id: str, service: str, *, zone: str) -> Any:
        await self.endpoints[instance_id].stop()
        raw = self.endpoints[instance_id] = RawService()
        await raw.start()
        return await super().start_agent(instance_id, service, zone=zone)

    async def receive(self, method: str, path: str) -> FramedAnswer | None:
        """Make a call and read until the router closes the connection."""
        router = next(iter(self.routers.values()))
        reader, writer = await asyncio.open_connection("127.0.0.1", router.callers_port)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        async with asyncio.timeout(CALL_SECONDS):
            data = await reader.read(-1)
        writer.close()
        return read_framed(data)

    async def find_misread(self, method: str, number: int, form: Form) -> list[str]:
        """Return the cuts of an answer that a caller would misread."""
        running = asyncio.Semaphore(CONCURRENT_CALLS)

        async def check(at: int, end: str) -> str:
            path = f"/{number}/{at}/{end}"
            async with running:
                found = await self.receive(method, path)
            ran = any(path in s.paths for s in self.endpoints.values() if isinstance(s, RawService))
            reason = describe_misread(form, at, found, ran=ran, reset=end == "reset")
            return f"cut at {at}, {end}: {reason}" if reason else ""

        cuts = [(at, end) for at in range(len(form.data) + 1) for end in ("close", "reset")]
        return [r for r in await asyncio.gather(*(check(*cut) for cut in cuts)) if r]


def describe_misread(
    form: Form, at: int, found: FramedAnswer | None, *, ran: bool, reset: bool
) -> str:
    """Return what the caller would misread in its answer, if anything."""
    if found is None:
        return "no answer at all"
    if found.excess:
        return f"{found.excess!r} after the answer"
    if not ran:
        return "" if found.status == 503 else f"status {found.status} before it ran"
    if found.status in (502, 504):
        return "failed" if at == len(form.data) and not reset else ""
    if found.status != form.status:
        return f"status {found.status}"
    if not found.is_whole:
        received = found.body.partition(b"event: error")[0]
        return "" if form.content.startswith(received) else f"{found.body!r} and no more"
    whole = [form.content]
    if form.ends_with_connection and not reset and at >= len(form.head):
        whole.append(form.data[len(form.head) : at])
    return "" if found.body in whole else f"{found.body!r} as a whole"


@pytest.fixture
async def fleet() -> AsyncIterator[RawFleet]:
    parts = [FILE_ADAPTER.validate_python(part) for part in PARTS]
    fleet = RawFleet({part_name(part): part for part in parts}, options=FleetOptions(routers=1))
    await fleet.start()
    await fleet.publish()
    await fleet.wait_for_routes(["raw"], timeout_seconds=WAIT_SECONDS)
    yield fleet
    await fleet.stop()


class TestTruncatedAnswers:
    """Guard against truncated answers that agents and routers pass on as complete ones."""

    @pytest.mark.parametrize("method", ["POST", "GET"])
    async def test_truncated_answer_looks_complete(self, fleet: RawFleet, method: str) -> None:
        for number, form in enumerate(FORMS.values()):
            assert await fleet.find_misread(method, number, form) == []
        ran = {p for s in fleet.endpoints.values() if isinstance(s, RawService) for p in s.paths}
        assert len(ran) > MIN_RUN_SHARE * sum(2 * len(f.data) + 2 for f in FORMS.values())
