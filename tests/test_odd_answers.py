"""Test that an odd answer of an engine or an origin is an error that its caller handles."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web
from egretrouter_platform._engine import PlatformEngine, PlatformOrigin

from egretrouter.core.errors import BackendError, MalformedAnswerError, ManifestMismatchError
from egretrouter.core.identifiers import ModelName, VersionName
from egretrouter.core.weights import Manifest
from tests.odd_entries import nested
from tests.platform_standins import StandinServer
from tests.test_platform_weights import WeightsWorld

_MANY_DIGITS = b"9" * 5_000
ODD_VALUES = {
    "2,000 lists": nested(2_000),
    "100,000 lists": nested(100_000),
    "1e999": b"1e999",
    "5,000 digits": _MANY_DIGITS,
    "300 digits": b"9" * 300,
    "negative": b"-1",
    "NaN": b"NaN",
    "lone surrogate": b'"\\ud800"',
    "invalid UTF-8": b'"\xff"',
}
FIELDS = ("running", "queued", "seq", "pace", "born", "models")


def report(**changes: bytes) -> bytes:
    fields = {
        "running": b"1",
        "queued": b"0",
        "seq": b"1",
        "born": b"1",
        "models": b"[]",
        **changes,
    }
    return b"{" + b",".join(b'"%s":%s' % (k.encode(), v) for k, v in fields.items()) + b"}"


def manifest(**changes: bytes) -> bytes:
    fields = {"model": b'"m"', "version": b"2", "chunk_bytes": b"4", "digests": b'["a"]', **changes}
    return b"{" + b",".join(b'"%s":%s' % (k.encode(), v) for k, v in fields.items()) + b"}"


class RawServer(StandinServer):
    """Answer everything with some bytes."""

    content = b""

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=self.content)


@pytest.fixture
async def server() -> AsyncIterator[RawServer]:
    server = RawServer()
    await server.start()
    yield server
    await server.stop()


class TestEngineReport:
    """Guard against an agent that ends because of what its engine says."""

    @pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
    @pytest.mark.parametrize("field", FIELDS)
    async def test_odd_report_is_an_error(
        self, server: RawServer, field: str, value: bytes
    ) -> None:
        server.content = report(**{field: value})
        async with aiohttp.ClientSession() as session:
            engine = PlatformEngine(session, address=server.address)
            with pytest.raises(MalformedAnswerError):
                await engine.state()

    @pytest.mark.parametrize("odd", ["300 digits", "100,000 lists"])
    async def test_agent_with_an_odd_report_goes_on(self, odd: str) -> None:
        world = WeightsWorld()
        await world.start()
        try:
            answer = world.engine.handle
            content = report(queued=ODD_VALUES[odd])

            async def handle(request: web.BaseRequest) -> web.StreamResponse:
                if request.path.endswith("/report"):
                    return web.Response(body=content)
                return await answer(request)

            world.engine.handle = handle  # type: ignore[method-assign]
            assert world.engine._handler is not None
            world.engine._handler.request_handler = handle
            await asyncio.sleep(0.8)
            assert not world.agent.crashed
            assert not world.agent.should_stop
        finally:
            await world.stop()


class TestOriginManifest:
    """Guard against an agent that ends because of what the origin says."""

    @pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
    @pytest.mark.parametrize("field", ["version", "chunk_bytes", "digests"])
    async def test_odd_manifest_is_an_error(
        self, server: RawServer, field: str, value: bytes
    ) -> None:
        server.content = manifest(**{field: value})
        async with aiohttp.ClientSession() as session:
            origin = PlatformOrigin(session, address=lambda: server.address)
            with pytest.raises(MalformedAnswerError):
                await origin.manifest(ModelName("m"), VersionName("2"))

    @pytest.mark.parametrize(
        "address",
        ["127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1", "a..b:1", "", "\0:1"],
    )
    async def test_odd_address_is_an_error(self, address: str) -> None:
        async with aiohttp.ClientSession() as session:
            origin = PlatformOrigin(session, address=lambda: address)
            with pytest.raises(BackendError):
                await origin.manifest(ModelName("m"), VersionName("2"))


class TestManifest:
    """Guard against manifests of peers or of a weight store that end the process."""

    @pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
    def test_odd_length_is_an_error(self, value: bytes) -> None:
        chunk = b'{"length_bytes":%s,"digest":"d"}' % value
        content = b'{"model":"m","version":"2","chunks":[%s]}' % chunk
        with pytest.raises(ManifestMismatchError):
            Manifest.from_json(content)

    @pytest.mark.parametrize("levels", [2_000, 100_000])
    def test_field_that_nobody_reads_is_nested_deeply(self, levels: int) -> None:
        content = b'{"model":"m","version":"2","chunks":[],"x":%s}' % nested(levels)
        with pytest.raises(ManifestMismatchError):
            Manifest.from_json(content)
