"""Test the platform's router from the caller's side, with scripted endpoints."""

import asyncio
import json
import time
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web

from egretrouter.core.direct import GracePeriod
from tests.platform_standins import configuration, raw_answer
from tests.platform_world import PlatformWorld


@pytest.fixture
async def world() -> AsyncIterator[PlatformWorld]:
    opened = PlatformWorld()
    await opened.start()
    yield opened
    await opened.stop()


class TestExecutions:
    """Guard against calls that run twice, and not_run refusals of calls that may have run."""

    async def test_non_idempotent_call_is_sent_once(self, world: PlatformWorld) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            return await raw_answer(request, b"", reset=True)

        for engine in world.engines:
            engine.respond = respond
        status, _, _ = await world.call("/sale/x")
        assert status == 502
        assert sum(len(e.requests) for e in world.engines) == 1

    async def test_call_that_expires_in_flight_is_not_refused_as_not_run(
        self, world: PlatformWorld
    ) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            await asyncio.sleep(5)
            return web.Response()

        for engine in world.engines:
            engine.respond = respond
        status, body, _ = await world.call("/sale/x", headers={"X-Deadline-Ms": "150"})
        assert (status, json.loads(body)["outcome"]) == (504, "unknown")

    async def test_rejected_call_is_refused_as_not_run(self, world: PlatformWorld) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            return web.Response(status=503, headers={"X-Not-Run": "1"})

        for engine in world.engines:
            engine.respond = respond
        status, body, headers = await world.call("/sale/x")
        assert (status, json.loads(body)["outcome"]) == (503, "not_run")
        assert "X-Engine-Stamp" not in headers

    async def test_endpoints_503_without_not_run_header_is_not_forwarded(
        self, world: PlatformWorld
    ) -> None:
        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            headers = {"X-Engine-Stamp": "s", "X-Attempt-Id": "c-1"}
            return web.Response(status=503, headers=headers)

        for engine in world.engines:
            engine.respond = respond
        status, _, headers = await world.call("/sale/x")
        assert status == 502
        assert "X-Engine-Stamp" not in headers

    async def test_idempotent_call_is_retried_at_another_endpoint(
        self, world: PlatformWorld
    ) -> None:
        first: list[str] = []

        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse | None:
            if first:
                return None
            first.append("failed")
            return await raw_answer(request, b"", reset=True)

        for engine in world.engines:
            engine.respond = respond
        status, _, _ = await world.call("/read/x", method="GET")
        assert status == 200
        assert sorted(len(e.requests) for e in world.engines) == [1, 1]

    async def test_endpoint_with_another_id_executes_nothing(self, world: PlatformWorld) -> None:
        for engine in world.engines:
            engine.endpoint_id = "i-new"
        status, _, _ = await world.call("/sale/x")
        assert status == 503
        assert not any(engine.executed for engine in world.engines)

    async def test_refused_connection_does_not_count_as_a_send(self, world: PlatformWorld) -> None:
        await world.engines[0].stop()
        for number in range(6):
            status, _, _ = await world.call("/sale/x", call_id=f"c-{number}")
            assert status == 200
        assert len(world.engines[1].executed) == 6


class TestRequests:
    """Guard against requests with headers or sizes that a caller is not allowed to send."""

    async def test_system_headers_replace_headers_of_the_caller(self, world: PlatformWorld) -> None:
        forged = {
            "X-Tenant": "other",
            "X-Expect-Instance": "i-9",
            "X-Expect-Version": "7",
            "X-Request-Priority": "0",
            "Path": "10.0.0.1:1=0-4",
            "X-Model": "m",
            "Connection": "X-Model, X-Private",
            "X-Private": "secret",
            "X-Custom": "kept",
        }
        status, _, _ = await world.call("/sale/x", headers=forged)
        assert status == 200
        request, _ = next(r for e in world.engines for r in e.requests)
        headers = request.headers
        assert headers["X-Tenant"] == "coop"
        assert headers["X-Expect-Instance"].startswith("i-")
        assert headers["X-Expect-Instance"] != "i-9"
        assert headers["X-Model"] == "m"
        assert headers["X-Custom"] == "kept"
        for name in ("X-Api-Key", "X-Expect-Version", "X-Request-Priority", "Path", "X-Private"):
            assert name not in headers
        assert int(headers["X-Deadline-Ms"]) <= 800

    @pytest.mark.parametrize(
        ("path", "headers", "expected"),
        [
            ("/none/x", {}, 404),
            ("/sale/x", {"X-Api-Key": "stolen"}, 401),
            ("/open/x", {"X-Api-Key": "stolen"}, 200),
            ("/sale/x", {"X-Deadline-Ms": "soon"}, 400),
            ("/sale/x", {"X-Token-Count": "many"}, 400),
            ("/sale/x", {"X-Prompt-Prefix": "5c1e07a2:many"}, 400),
            ("/sale/x", {"X-Prompt-Prefix": "5c1e07a2:40,91BD3F06:410"}, 200),
            ("/sale/x", {"X-Padding": "x" * 5000}, 431),
        ],
    )
    async def test_request_is_checked_against_the_configuration(
        self, world: PlatformWorld, path: str, headers: dict[str, str], expected: int
    ) -> None:
        status, _, _ = await world.call(path, headers=headers)
        assert status == expected

    async def test_body_over_the_limit_is_refused(self, world: PlatformWorld) -> None:
        status, _, _ = await world.call("/sale/x", data=b"x" * 20_000)
        assert status == 413
        assert not any(engine.requests for engine in world.engines)

    @pytest.mark.parametrize("headers", [{}, {"X-Deadline-Ms": "400"}])
    async def test_slow_body_outlasts_the_timeout_of_its_route(
        self, world: PlatformWorld, headers: dict[str, str]
    ) -> None:
        """A call whose body did not arrive was answered only after 5 s, whatever its route."""
        caller_left = asyncio.Event()

        async def body() -> AsyncIterator[bytes]:
            yield b"begun"
            await caller_left.wait()

        async with asyncio.timeout(3.0):
            status, answer, _ = await world.call("/sale/x", data=body(), headers=headers)
        caller_left.set()
        assert (status, json.loads(answer)["outcome"]) == (408, "not_run")
        assert not any(engine.requests for engine in world.engines)

    async def test_caller_that_waits_for_100_continue_is_never_told_to_go_on(
        self, world: PlatformWorld
    ) -> None:
        status, body, _ = await world.call("/sale/x", data=b"contract", expect100=True)
        assert (status, body) == (200, b"done contract")

    async def test_disconnect_of_the_caller_cancels_the_call(self, world: PlatformWorld) -> None:
        cancelled = asyncio.Event()

        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse:
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return web.Response()

        for engine in world.engines:
            engine.respond = respond
        with pytest.raises(TimeoutError):
            await world.call("/text/x", timeout=aiohttp.ClientTimeout(total=0.2))
        async with asyncio.timeout(2):
            await cancelled.wait()


class TestConfiguration:
    """Guard against missed configuration changes and reverts to older versions."""

    async def test_change_takes_effect_and_never_reverts(self, world: PlatformWorld) -> None:
        tenants = [{"name": "coop", "api_keys": ["key-2"]}]
        world.store.put("config", "main", configuration(5, tenants=tenants))
        await world.wait_until(lambda: world.router.shared_state.routes.table.version == 5)
        world.store.put("config", "main", configuration(4))
        await asyncio.sleep(0.1)
        status, _, _ = await world.call("/sale/x")
        assert status == 401

    async def test_change_that_a_watch_does_not_report_is_found(self, world: PlatformWorld) -> None:
        """A watch that reported nothing for seconds left a revoked key valid."""
        world.store.delay_watches = True
        world.store.put("config", "main", configuration(6))
        async with asyncio.timeout(2.0):
            await world.wait_until(lambda: world.router.shared_state.routes.table.version == 6)

    async def test_compacted_history_is_replaced_by_a_listing(self, world: PlatformWorld) -> None:
        world.store.put("servers", "i-9", {"service": "plain"})
        world.store.put("config", "main", configuration(7))
        world.store.compact()
        await world.wait_until(lambda: world.router.shared_state.routes.table.version == 7)

    async def test_router_without_configuration_is_not_ready_and_refuses(self) -> None:
        world = PlatformWorld()
        world.store.error_status = 503
        start = asyncio.create_task(world.start())
        await world.wait_until(lambda: hasattr(world, "router") and world.router.callers_port)
        status, body, headers = await world.call("/sale/x")
        assert (status, json.loads(body)["outcome"]) == (503, "not_run")
        assert float(headers["Retry-After"]) > 0
        assert not world.router.ready
        world.store.error_status = 0
        await start
        await world.wait_until(lambda: world.router.ready)
        await world.stop()


class TestEndpoints:
    """Guard against calls to removed endpoints, and the loss of usable ones."""

    async def test_removed_endpoint_receives_no_new_calls(self, world: PlatformWorld) -> None:
        removed, remaining = world.engines
        world.store.delete("servers", removed.endpoint_id)
        directory = world.router.shared_state.directory
        await world.wait_until(lambda: len(directory.all_endpoints()) == 1)
        for number in range(8):
            await world.call("/sale/x", call_id=f"c-{number}")
        assert not removed.requests
        assert len(remaining.executed) == 8

    async def test_malformed_entry_removes_only_its_own_endpoint(
        self, world: PlatformWorld
    ) -> None:
        world.store.put("servers", "i-0", {"service": 3, "addr": None})
        directory = world.router.shared_state.directory
        await world.wait_until(lambda: len(directory.all_endpoints()) == 1)
        status, _, _ = await world.call("/sale/x")
        assert status == 200

    async def test_entries_are_kept_while_the_store_is_unavailable(
        self, world: PlatformWorld
    ) -> None:
        world.store.error_status = 503
        world.store.compact()
        await asyncio.sleep(0.3)
        status, _, _ = await world.call("/sale/x")
        assert status == 200


class TestPlannedStop:
    """Guard against calls that a stopping router accepts and then aborts."""

    @pytest.mark.parametrize(("seconds_left", "expected"), [(0.02, 503), (5.0, 200)])
    async def test_stopping_router_takes_a_call_that_it_has_no_time_to_finish(
        self, world: PlatformWorld, seconds_left: float, expected: int
    ) -> None:
        now = time.monotonic()
        world.router.call_handler.start_draining(
            GracePeriod(rotation_end_seconds=now, stop_seconds=now + seconds_left)
        )
        status, body, headers = await world.call("/sale/x")
        assert status == expected
        if expected == 503:
            assert json.loads(body)["outcome"] == "not_run"
            assert float(headers["Retry-After"]) < 0.1
            assert not any(engine.requests for engine in world.engines)

    async def test_idle_connections_are_closed_and_running_calls_finish(
        self, world: PlatformWorld
    ) -> None:
        """Callers reused a keep-alive connection seven seconds after SIGTERM."""

        async def respond(request: web.BaseRequest, _: bytes) -> web.StreamResponse | None:
            if request.headers["X-Attempt-Id"] == "slow":
                await asyncio.sleep(0.5)
            return None

        for engine in world.engines:
            engine.respond = respond
        host, port = "127.0.0.1", world.router.callers_port
        idle_reader, idle_writer = await asyncio.open_connection(host, port)
        head = b"POST /sale/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %b\r\n"
        rest = b"X-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n"
        idle_writer.write(head % b"quick" + rest)
        assert b"200 OK" in await idle_reader.readuntil(b"\r\n")
        slow = asyncio.create_task(world.call("/sale/x", call_id="slow"))
        await asyncio.sleep(0.1)
        drain = asyncio.create_task(world.router.drain())
        await asyncio.sleep(0)
        assert not world.router.ready
        async with asyncio.timeout(1):
            await idle_reader.read()
        status, _, headers = await slow
        assert status == 200
        assert headers["Connection"] == "close"
        await drain
        idle_writer.close()
