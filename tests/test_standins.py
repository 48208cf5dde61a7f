"""Test the behaviour of the stand-ins that other tests rely on."""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
from helpers import wait_until

from egretrouter.core.digests import content_digest
from egretrouter.standins import (
    EngineStandin,
    InstanceListStandin,
    OriginStandin,
    PlainServiceStandin,
    expected_answer,
)
from egretrouter.standins._origin import LINK_BURST_SECONDS

DIGEST = content_digest(b"manifest")


class TestOriginStandin:
    """Guard against a link without its rate limit and faults without effect."""

    async def test_answers_share_the_link(self, session: aiohttp.ClientSession) -> None:
        origin = OriginStandin(link_bytes_per_second=1_000_000)
        await origin.start()
        content = bytes(100_000)
        manifest = origin.add_version("m", "v", content, chunk_bytes=50_000)
        started = asyncio.get_running_loop().time()

        async def fetch(first: int) -> bytes:
            headers = {"Range": f"bytes={first}-{first + 49_999}"}
            async with session.get(f"{origin.url}/weights/m/v/content", headers=headers) as answer:
                return await answer.read()

        answers = await asyncio.gather(fetch(0), fetch(50_000))
        assert b"".join(answers) == content
        assert asyncio.get_running_loop().time() - started >= 0.1 - LINK_BURST_SECONDS
        assert sum(origin.sent_bytes_by_second.values()) == origin.sent_bytes == 100_000
        origin.corrupt_next = 1
        assert content_digest(await fetch(0)) != manifest.chunks[0].digest
        origin.change_content("m", "v", b"x" * 100_000)
        assert await fetch(0) == b"x" * 50_000
        await origin.stop()


class TestInstanceListStandin:
    """Guard against a list that shows an instance before the lag has passed."""

    async def test_lags(self, session: aiohttp.ClientSession) -> None:
        platform = InstanceListStandin(lag_seconds=60)
        await platform.start()
        platform.add("i-1", zone="z", role="agent", address="127.0.0.1:1")
        async with session.get(f"{platform.url}/instances") as answer:
            assert (await answer.json())["instances"] == []
        await platform.stop()


class TestEngineStandin:
    """Guard against engine answers that callers can't compare with the expected ones."""

    @pytest.fixture
    async def engine(self) -> AsyncIterator[EngineStandin]:
        engine = EngineStandin()
        engine.loaded["m", "v1"] = DIGEST
        await engine.start()
        yield engine
        await engine.stop()

    async def stream(
        self, session: aiohttp.ClientSession, engine: EngineStandin, **body: Any
    ) -> tuple[str, bool]:
        """Return the text and whether the stream ended with [DONE]."""
        values = {"model": "m", "prompt": "p", "max_tokens": 8, "stream": True, **body}
        text, is_done = "", False
        async with session.post(f"{engine.url}/v1/completions", json=values) as answer:
            async for line in answer.content:
                if line.startswith(b"data: [DONE]"):
                    is_done = True
                elif line.startswith(b"data: "):
                    text += json.loads(line[6:])["choices"][0]["text"]
        return text, is_done

    async def test_streams_the_expected_answer(
        self, session: aiohttp.ClientSession, engine: EngineStandin
    ) -> None:
        answers = await asyncio.gather(
            *(self.stream(session, engine, prompt=f"p{number}") for number in range(10))
        )
        for number, answer in enumerate(answers):
            assert answer == (expected_answer(DIGEST, f"p{number}", count=8), True)
        assert engine.batch.steps < 80

    async def test_resumes_from_a_position(
        self, session: aiohttp.ClientSession, engine: EngineStandin
    ) -> None:
        text, _ = await self.stream(session, engine, resume_position=5)
        assert text == expected_answer(DIGEST, "p", count=3, start=5)

    async def test_answers_chat_without_streaming(
        self, session: aiohttp.ClientSession, engine: EngineStandin
    ) -> None:
        body = {"model": "m", "max_tokens": 4, "messages": [{"role": "user", "content": "hi"}]}
        async with session.post(f"{engine.url}/v1/chat/completions", json=body) as answer:
            text = (await answer.json())["choices"][0]["message"]["content"]
        assert text == expected_answer(DIGEST, "user: hi", count=4)

    async def test_injects_wrong_and_truncated_answers(
        self, session: aiohttp.ClientSession, engine: EngineStandin
    ) -> None:
        engine.wrong_answers = 1
        text, is_done = await self.stream(session, engine)
        assert is_done
        assert text != expected_answer(DIGEST, "p", count=8)
        engine.truncate_streams = 1
        assert await self.stream(session, engine) == (
            expected_answer(DIGEST, "p", count=4),
            False,
        )

    async def test_stalls(self, session: aiohttp.ClientSession, engine: EngineStandin) -> None:
        engine.stalled = True
        answer = asyncio.ensure_future(self.stream(session, engine))
        await wait_until(lambda: len(engine.batch.queued) == 1)
        assert engine.batch.steps == 0
        engine.stalled = False
        assert await answer == (expected_answer(DIGEST, "p", count=8), True)

    async def test_crashes_in_the_middle_of_a_stream(
        self, session: aiohttp.ClientSession, engine: EngineStandin
    ) -> None:
        engine.batch.token_interval_seconds = 0.01
        answer = asyncio.ensure_future(self.stream(session, engine, max_tokens=10_000))
        await wait_until(lambda: engine.batch.steps >= 3)
        await engine.crash()
        with pytest.raises(aiohttp.ClientError):
            await answer
        assert engine.cancelled_calls == 1
        assert not engine.loaded

    async def test_caches_prefixes(
        self, session: aiohttp.ClientSession, engine: EngineStandin
    ) -> None:
        prompt = "x" * 200
        await self.stream(session, engine, prompt=prompt)
        assert engine.prefix_cache.use(DIGEST, prompt) == 200 - 192
        assert engine.prefix_cache.use(content_digest(b"v2"), prompt) == 200


class TestPlainServiceStandin:
    """Guard against executions that are not counted and answers that are not repeated."""

    async def test_counts_executions_with_a_lost_answer(
        self, session: aiohttp.ClientSession
    ) -> None:
        service = PlainServiceStandin()
        await service.start()
        service.reset_before = 1
        for count in (0, 1):
            service.reset_after = 1
            with pytest.raises(aiohttp.ClientError):
                await session.post(f"{service.url}/orders", headers={"Idempotency-Key": "k"})
            assert service.executions["k"] == count
        await service.stop()

    async def test_answers_twice_on_the_connection(self) -> None:
        service = PlainServiceStandin()
        await service.start()
        service.answer_twice = 1
        host, port = service.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        received = b""
        while received.count(b"HTTP/1.1 200") < 2:
            received += await asyncio.wait_for(reader.read(1024), timeout=10)
        writer.close()
        await service.stop()
