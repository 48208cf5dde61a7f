"""Send calls and judge what became of them."""

import asyncio
import json
from dataclasses import dataclass, field

import aiohttp

from egretrouter.standins import PlainServiceStandin, expected_answer

CALL_TIMEOUT_SECONDS = 60.0
WHOLE, NOT_RUN, UNKNOWN = "whole", "not_run", "unknown"


@dataclass(kw_only=True)
class Call:
    """Hold one request and what came back."""

    request_id: str
    router: str
    url: str
    method: str = "POST"
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    prompt: str | None = None
    tokens: int = 0
    status: int | None = None
    content: bytes = b""
    answer_headers: dict[str, str] = field(default_factory=dict)
    broken: bool = False
    """The connection ended before the response did."""
    begun: asyncio.Event = field(default_factory=asyncio.Event)
    """Set with the first bytes of the answer, or with the end."""
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    async def send(self, session: aiohttp.ClientSession) -> None:
        """Send the request and keep whatever comes back."""
        headers = {**self.headers, "X-Request-Id": self.request_id}
        try:
            async with session.request(
                self.method, self.url, data=self.body, headers=headers
            ) as response:
                self.status = response.status
                self.answer_headers = dict(response.headers)
                async for piece in response.content.iter_any():
                    self.content += piece
                    self.begun.set()
        except (aiohttp.ClientError, TimeoutError):
            self.broken = True
        finally:
            self.begun.set()
            self.ended.set()

    def outcome(self, digests: list[str]) -> str:
        """Return whole, not_run or unknown; raise AssertionError for anything vaguer or wrong."""
        if self.status == 200:
            return self._streamed(digests) if self.prompt is not None else self._plain()
        if self.status is None:
            return UNKNOWN
        return _outcome_of(self.content, self)

    def version_digest(self, digests: list[str]) -> str | None:
        """Return the digest of the version that gave the whole answer."""
        text = _text(self.content)
        matching = [d for d in digests if text == self._expected(d)]
        return matching[0] if matching else None

    def _streamed(self, digests: list[str]) -> str:
        text = _text(self.content)
        if self.content.endswith(b"data: [DONE]\n\n") and not self.broken:
            assert self.version_digest(digests), f"{self.name}: no version gives the answer {text}"
            return WHOLE
        begins = any(self._expected(digest).startswith(text) for digest in digests)
        assert begins, f"{self.name}: no version begins its answer with {text}"
        _, _, problem = self.content.partition(b"event: error\ndata: ")
        if problem:
            return _outcome_of(problem, self)
        assert self.broken, f"{self.name}: the stream ended as if it were whole"
        return UNKNOWN

    def _plain(self) -> str:
        if self.broken:
            return UNKNOWN
        key = self.headers.get("Idempotency-Key", self.request_id)
        path = "/" + self.url.split("/", 3)[3]
        expected = PlainServiceStandin.expected_answer(
            key, method=self.method, path=path, content=self.body
        )
        assert self.content == expected, f"{self.name}: the answer is not its own: {self.content!r}"
        return WHOLE

    def _expected(self, digest: str) -> str:
        return expected_answer(digest, self.prompt or "", count=self.tokens)

    @property
    def name(self) -> str:
        """Name the call in messages."""
        return f"call {self.request_id} by {self.router}"

    @property
    def key(self) -> str:
        """Return what plain services count executions by."""
        return self.headers.get("Idempotency-Key", self.request_id)


def _outcome_of(content: bytes, call: Call) -> str:
    problem = json.loads(content)
    outcome = str(problem["outcome"])
    assert outcome in (NOT_RUN, UNKNOWN), f"{call.name}: the outcome is {outcome!r}"
    assert problem["request_id"] == call.request_id, f"{call.name}: a problem of another call"
    return outcome


def _text(content: bytes) -> str:
    events = [
        event.removeprefix("data: ")
        for event in content.decode().split("\n\n")[:-1]
        if event.startswith("data: ") and event != "data: [DONE]"
    ]
    return "".join(json.loads(event)["choices"][0]["text"] for event in events)


def open_session() -> aiohttp.ClientSession:
    """Create a session that neither limits nor repeats calls."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS),
    )
