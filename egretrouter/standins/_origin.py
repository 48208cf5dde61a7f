"""Stand in for the origin of weights and for the weight store."""

import asyncio
import random
import re
import time
from collections import Counter

import msgspec
from aiohttp import web

from egretrouter.core.identifiers import ModelName, VersionName
from egretrouter.core.weights import DEFAULT_CHUNK_BYTES, Manifest, build_manifest
from egretrouter.standins._base import Standin, TokenBucket, too_many_requests

SLICE_BYTES = 16 * 1024
"""Bytes that one answer sends before the link serves the next answer."""

LINK_BURST_SECONDS = 0.02
"""Unused link time that may be used later, to compensate for sleeps that overrun."""


class OriginStandin(Standin):
    """Serve manifests and byte ranges of added versions over one rate-limited link."""

    def __init__(self, *, link_bytes_per_second: float | None = None, seed: int = 0) -> None:
        """Start with no versions and no faults; None means an unlimited link."""
        super().__init__()
        self.link_bytes_per_second = link_bytes_per_second
        self.request_rate = TokenBucket()
        self.refuse_next = 0
        """Number of next requests that are answered 429."""
        self.retry_after_seconds = 1.0
        self.corrupt_next = 0
        """Number of next content answers with one corrupted byte."""
        self.corrupt_manifests_next = 0
        """Number of next manifest answers that name another digest of the weights."""
        self.corrupted_share = 0.0
        """Share of all other content answers with one corrupted byte, chosen at random."""
        self.stall_next = 0
        """Number of next content answers that stop halfway until the client disconnects."""
        self.requests: Counter[str] = Counter()
        """Requests by kind: manifest and content; refused requests count too."""
        self.sent_bytes = 0
        self.sent_bytes_by_second: Counter[int] = Counter()
        """Sent bytes by whole second of the monotonic clock."""
        self._random = random.Random(seed)
        # Manifest and content by model and version.
        self._versions: dict[tuple[str, str], tuple[bytes, bytes]] = {}
        self._link_free_seconds = 0.0

    def add_version(
        self,
        model: str,
        version: str,
        content: bytes,
        *,
        chunk_bytes: int = DEFAULT_CHUNK_BYTES,
    ) -> Manifest:
        """Serve a version and return its manifest."""
        manifest = build_manifest(
            model=ModelName(model),
            version=VersionName(version),
            content=content,
            chunk_bytes=chunk_bytes,
        )
        self._versions[model, version] = (manifest.to_json(), content)
        return manifest

    def change_content(self, model: str, version: str, content: bytes) -> None:
        """Replace the content of a version but keep its name and manifest."""
        self._versions[model, version] = (self._versions[model, version][0], content)

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_get("/weights/{model}/{version}/manifest", self._manifest)
        router.add_get("/weights/{model}/{version}/content", self._content)

    async def _manifest(self, request: web.Request) -> web.StreamResponse:
        self.requests["manifest"] += 1
        found = self._find_version(request)
        if isinstance(found, web.Response):
            return found
        content = found[0]
        if self.corrupt_manifests_next:
            self.corrupt_manifests_next -= 1
            content = _with_other_digest(content)
        return await self._send(request, content, status=200)

    async def _content(self, request: web.Request) -> web.StreamResponse:
        self.requests["content"] += 1
        found = self._find_version(request)
        if isinstance(found, web.Response):
            return found
        match = re.fullmatch(r"bytes=(\d+)-(\d+)", request.headers.get("Range", ""))
        if match is None:
            return web.Response(status=400, text="a Range header with first and last byte is due")
        first, last = int(match[1]), int(match[2])
        piece = found[1][first : last + 1]
        if not piece:
            return web.Response(status=416, text="range outside the content")
        return await self._send(
            request,
            self._maybe_corrupt(piece),
            status=206,
            headers={"Content-Range": f"bytes {first}-{last}/{len(found[1])}"},
            may_stall=True,
        )

    def _find_version(self, request: web.Request) -> tuple[bytes, bytes] | web.Response:
        if self.refuse_next > 0:
            self.refuse_next -= 1
            return too_many_requests(retry_after_seconds=self.retry_after_seconds)
        if wait_seconds := self.request_rate.take():
            return too_many_requests(retry_after_seconds=wait_seconds)
        found = self._versions.get((request.match_info["model"], request.match_info["version"]))
        return found or web.Response(status=404, text="no such version")

    def _maybe_corrupt(self, piece: bytes) -> bytes:
        if self.corrupt_next > 0:
            self.corrupt_next -= 1
        elif not (self.corrupted_share and self._random.random() < self.corrupted_share):
            return piece
        position = self._random.randrange(len(piece))
        return piece[:position] + bytes([piece[position] ^ 0xFF]) + piece[position + 1 :]

    async def _send(
        self,
        request: web.Request,
        content: bytes,
        *,
        status: int,
        headers: dict[str, str] | None = None,
        may_stall: bool = False,
    ) -> web.StreamResponse:
        stalls = may_stall and self.stall_next > 0
        if stalls:
            self.stall_next -= 1
        response = web.StreamResponse(status=status, headers=headers)
        response.content_length = len(content)
        await response.prepare(request)
        for start in range(0, len(content), SLICE_BYTES):
            if stalls and start * 2 >= len(content):
                await asyncio.Event().wait()
            piece = content[start : start + SLICE_BYTES]
            await self._wait_for_link(len(piece))
            await response.write(piece)
            self.sent_bytes += len(piece)
            self.sent_bytes_by_second[int(time.monotonic())] += len(piece)
            if stalls and len(content) <= SLICE_BYTES:
                await asyncio.Event().wait()
        await response.write_eof()
        return response

    async def _wait_for_link(self, length_bytes: int) -> None:
        """Wait until the link, which all answers share, has capacity for this slice."""
        if self.link_bytes_per_second is None:
            return
        now = time.monotonic()
        self._link_free_seconds = max(now - LINK_BURST_SECONDS, self._link_free_seconds)
        self._link_free_seconds += length_bytes / self.link_bytes_per_second
        if self._link_free_seconds > now:
            await asyncio.sleep(self._link_free_seconds - now)


class WeightStoreStandin(OriginStandin):
    """Serve the origin's protocol with a limited rate of requests."""

    def __init__(
        self,
        *,
        requests_per_second: float = 100.0,
        link_bytes_per_second: float | None = None,
        seed: int = 0,
    ) -> None:
        """Limit the request rate, and the link rate unless it is None."""
        super().__init__(link_bytes_per_second=link_bytes_per_second, seed=seed)
        self.request_rate.per_second = requests_per_second


def _with_other_digest(content: bytes) -> bytes:
    manifest = msgspec.json.decode(content)
    digest = manifest["weights_digest"]
    manifest["weights_digest"] = ("1" if digest[0] == "0" else "0") + digest[1:]
    return msgspec.json.encode(manifest)
