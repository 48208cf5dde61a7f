"""Read weights from the origin or the weight store over HTTP."""

from collections.abc import Callable

import aiohttp

from egretrouter.backends._http import Answer, HttpCaller
from egretrouter.core.errors import MalformedAnswerError, ObjectMissingError
from egretrouter.core.identifiers import ChunkIndex, ModelName, VersionName

MAX_MANIFEST_BYTES = 16 * 1024 * 1024
"""Enough for about 130,000 chunks."""


class HttpWeightSource:
    """Implement WeightSource over HTTP."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        *,
        base_url: str,
        name: str = "origin",
        timeout_seconds: float = 120.0,
        stall_seconds: float = 10.0,
    ) -> None:
        """Limit each fetch to timeout_seconds and each wait for bytes to stall_seconds."""
        self._caller = HttpCaller(
            session, name=name, base_url=base_url, timeout_seconds=timeout_seconds
        )
        self._timeout = aiohttp.ClientTimeout(
            total=timeout_seconds, sock_connect=stall_seconds, sock_read=stall_seconds
        )

    async def manifest(self, model: ModelName, version: VersionName) -> bytes:
        """Read a manifest."""
        url = self._caller.url("weights", model, version, "manifest")
        answer = await self._caller.read(url, timeout=self._timeout, max_bytes=MAX_MANIFEST_BYTES)
        _raise_if_missing(answer, f"{model}/{version}")
        if answer.status != 200:
            raise self._caller.unexpected_answer("GET", url, answer)
        return answer.content

    async def chunk(
        self,
        model: ModelName,
        version: VersionName,
        index: ChunkIndex,
        *,
        offset: int,
        length: int,
        on_bytes: Callable[[], None] | None = None,
    ) -> bytes:
        """Read one chunk by its byte range, without verifying its content."""
        url = self._caller.url("weights", model, version, "content")
        answer = await self._caller.read(
            url,
            headers={"Range": f"bytes={offset}-{offset + length - 1}"},
            timeout=self._timeout,
            max_bytes=length,
            on_bytes=on_bytes,
        )
        _raise_if_missing(answer, f"{model}/{version}")
        if answer.status == 416:
            raise MalformedAnswerError(f"chunk {index} of {model}/{version} is outside the content")
        if answer.status != 206:
            raise self._caller.unexpected_answer("GET", url, answer)
        return answer.content


def _raise_if_missing(answer: Answer, name: str) -> None:
    if answer.status == 404:
        raise ObjectMissingError(f"version {name} does not exist")
