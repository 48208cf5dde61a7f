"""Record sessions as text that is the same in every run."""

import json
import re
from typing import Any

import aiohttp

STABLE_HEADERS = ("content-type", "retry-after", "transfer-encoding", "x-request-id")
_REPLACEMENTS = (
    (re.compile(r"\b[0-9a-f]{64}\b"), "<digest>"),
    (re.compile(r"\b[0-9a-f]{32}\b"), "<id>"),
    (re.compile(r"127\.0\.0\.1:\d+"), "<address>"),
    (re.compile(r"\b\d{16,}\b"), "<number>"),
)


class SessionTranscript:
    """Collect the requests, answers and notes of one session as lines of text."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def add_comment(self, text: str) -> None:
        self._lines.append(f"# {text}")

    def add_lines(self, text: str) -> None:
        self._lines += text.splitlines()

    def add_state(self, values: Any) -> None:
        self.add_lines(json.dumps(values, indent=1, sort_keys=True, default=str))

    async def add_call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: str,
        *,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a request and add the request and its answer."""
        path = "/" + url.split("/", 3)[3]
        self.add_lines(f"> {method} {path}")
        for name, value in (headers or {}).items():
            self.add_lines(f"> {name}: {value}")
        content = body if isinstance(body, str | None) else json.dumps(body)
        if content:
            self.add_lines(f"> {content}")
        async with session.request(method, url, data=content, headers=headers) as response:
            self.add_lines(f"< {response.status}")
            for name in STABLE_HEADERS:
                if name in response.headers:
                    self.add_lines(f"< {name}: {response.headers[name]}")
            for line in (await response.text()).splitlines():
                self.add_lines(f"< {line}".rstrip())
        self.add_lines("")

    def render(self) -> str:
        text = "\n".join(self._lines).rstrip() + "\n"
        for pattern, replacement in _REPLACEMENTS:
            text = pattern.sub(replacement, text)
        return text
