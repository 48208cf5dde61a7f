"""Read token streams of engines and measure the time between tokens."""

import asyncio
import itertools
import time

import aiohttp

STREAMS_PER_ENGINE = 2
TOKENS = 100_000


class TokenStreams:
    """Keep streams open on every engine and collect the gaps between tokens."""

    def __init__(self, urls: list[str]) -> None:
        """Start without streams; urls are those of the engines."""
        self._urls = urls
        self._gaps: list[float] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._session: aiohttp.ClientSession

    async def start(self) -> None:
        """Open the streams and wait until they run."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), timeout=aiohttp.ClientTimeout(total=None)
        )
        for number, url in itertools.product(range(STREAMS_PER_ENGINE), self._urls):
            self._tasks.append(asyncio.create_task(self._read(url, f"prompt {number}")))
        await asyncio.sleep(1.0)

    async def measure(self, seconds: float) -> dict[str, float]:
        """Return the gaps of the given time from now on."""
        self._gaps.clear()
        await asyncio.sleep(seconds)
        return self.pop_gaps()

    def pop_gaps(self) -> dict[str, float]:
        """Return the gaps since the last call and clear them."""
        gaps, self._gaps = sorted(self._gaps), []
        return {
            "tokens": len(gaps),
            "p50_milliseconds": round(1000 * gaps[len(gaps) // 2], 2),
            "p95_milliseconds": round(1000 * gaps[len(gaps) * 95 // 100], 2),
        }

    async def stop(self) -> None:
        """Close the streams."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()

    async def _read(self, url: str, prompt: str) -> None:
        body = {"model": "m", "prompt": prompt, "max_tokens": TOKENS, "stream": True}
        async with self._session.post(f"{url}/v1/completions", json=body) as response:
            last: float | None = None
            async for line in response.content:
                if line.startswith(b"data:"):
                    now = time.monotonic()
                    if last is not None:
                        self._gaps.append(now - last)
                    last = now
