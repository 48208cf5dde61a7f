"""Stand in for a model engine with an OpenAI-compatible interface."""

import asyncio
import contextlib
import hashlib
import json
import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from aiohttp import web

from egretrouter.standins._base import Standin
from egretrouter.standins._engine_model import (
    Batch,
    PrefixCache,
    Sequence,
    expected_tokens,
    prompt_text,
)

DEFAULT_MAX_TOKENS = 16
WRONG_VERSION = "wrong"


class EngineStandin(Standin):
    """Serve deterministic completions of the loaded versions and execute load orders.

    Request bodies may contain `resume_position` (first token to send) and `priority`. The header
    X-Manifest-Digest selects an exact version; without it, the version loaded last answers.
    """

    def __init__(
        self,
        *,
        checks_fencing: bool = False,
        order_giver: str | None = None,
        token_interval_seconds: float = 0.0,
        prefill_seconds_per_character: float = 0.0,
        batch_capacity: int = 64,
        cache_blocks: int = 1024,
        report_lag_seconds: float = 0.0,
    ) -> None:
        """Start with nothing loaded; with order_giver, orders must name it in X-Order-Giver."""
        super().__init__()
        self.checks_fencing = checks_fencing
        self.order_giver = order_giver
        self.prefill_seconds_per_character = prefill_seconds_per_character
        self.report_lag_seconds = report_lag_seconds
        self.batch = Batch(capacity=batch_capacity, token_interval_seconds=token_interval_seconds)
        self.prefix_cache = PrefixCache(capacity_blocks=cache_blocks)
        self.fencing_number = 0
        self.loaded: dict[tuple[str, str], str] = {}
        """Manifest digest by model and version, in the order of loading."""
        self.orders: list[tuple[str, str, str, int]] = []
        """Accepted orders: kind, model, version and fencing number."""
        self.fail_loads = 0
        """Number of next loads that fail."""
        self.wrong_answers = 0
        """Number of next calls that are answered with tokens of no loaded version."""
        self.truncate_streams = 0
        """Number of next calls that end after half their tokens, streams without [DONE]."""
        self.executions: Counter[str] = Counter()
        """Calls that reached the batch, by X-Request-Id."""
        self.cancelled_calls = 0
        # Time, queued calls and running calls at every change.
        self._load_history: list[tuple[float, int, int]] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start the server and the decode loop."""
        url = await super().start(host, port)
        self._task = asyncio.create_task(self.batch.run())
        return url

    async def stop(self) -> None:
        """Stop the decode loop, reset running streams and stop listening."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        await super().stop()

    async def crash(self) -> None:
        """Stop immediately and clear the loaded versions, prefix cache and batch."""
        await self.stop()
        self.loaded.clear()
        self.prefix_cache.clear()
        self.batch.queued.clear()
        self.batch.running.clear()

    @property
    def stalled(self) -> bool:
        """Return whether decode steps are suspended."""
        return self.batch.stalled

    @stalled.setter
    def stalled(self, value: bool) -> None:
        self.batch.stalled = value

    def _add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/v1/completions", self._complete)
        router.add_post("/v1/chat/completions", self._complete)
        router.add_get("/engine/report", self._report)
        router.add_post("/engine/load", self._load)
        router.add_post("/engine/unload", self._unload)

    async def _report(self, request: web.Request) -> web.StreamResponse:
        queued_calls, running_calls = self._delayed_load()
        loaded = [
            {"model": model, "version": version, "manifest_digest": digest}
            for (model, version), digest in self.loaded.items()
        ]
        return web.json_response(
            {
                "loaded": loaded,
                "queued_calls": queued_calls,
                "running_calls": running_calls,
                "cached_prefixes": len(self.prefix_cache),
                "fencing_number": self.fencing_number,
            }
        )

    def _delayed_load(self) -> tuple[int, int]:
        """Return the numbers of queued and running calls as of report_lag_seconds ago."""
        if not self.report_lag_seconds:
            return len(self.batch.queued), len(self.batch.running)
        reported_at_seconds = time.monotonic() - self.report_lag_seconds
        earlier = [entry for entry in self._load_history if entry[0] <= reported_at_seconds]
        return earlier[-1][1:] if earlier else (0, 0)

    def _record_load(self) -> None:
        calls = len(self.batch.queued) + len(self.batch.running)
        running_calls = min(calls, self.batch.capacity)
        self._load_history.append((time.monotonic(), calls - running_calls, running_calls))
        if len(self._load_history) > 4096:
            del self._load_history[:2048]

    def _order_refusal(self, request: web.Request) -> web.Response | None:
        if self.order_giver and request.headers.get("X-Order-Giver") != self.order_giver:
            return _refusal(403, "order_giver", "the order giver is not known here")
        number = int(request.headers.get("X-Fencing-Number", "0"))
        if self.checks_fencing and number < self.fencing_number:
            return _refusal(409, "stale_fencing_number", f"known is {self.fencing_number}")
        self.fencing_number = max(self.fencing_number, number)
        return None

    async def _load(self, request: web.Request) -> web.StreamResponse:
        if refusal := self._order_refusal(request):
            return refusal
        headers = request.headers
        model, version = headers["X-Model"], headers["X-Version"]
        base_model = headers.get("X-Base-Model")
        if base_model and not any(name == base_model for name, _ in self.loaded):
            return _refusal(422, "base_model_missing", f"base model {base_model} is not loaded")
        hasher = hashlib.blake2b(digest_size=32)
        async for piece in request.content.iter_any():
            hasher.update(piece)
        if self.fail_loads > 0:
            self.fail_loads -= 1
            return _refusal(500, "load_failed", "the engine could not load the version")
        if hasher.hexdigest() != headers["X-Weights-Digest"]:
            return _refusal(422, "digest_mismatch", f"content has digest {hasher.hexdigest()}")
        # An order with a higher fencing number may have arrived while the content was streamed.
        if refusal := self._order_refusal(request):
            return refusal
        self.loaded.pop((model, version), None)
        self.loaded[model, version] = headers["X-Manifest-Digest"]
        self._record_order("load", request)
        return web.json_response({})

    async def _unload(self, request: web.Request) -> web.StreamResponse:
        if refusal := self._order_refusal(request):
            return refusal
        self.loaded.pop((request.headers["X-Model"], request.headers["X-Version"]), None)
        self._record_order("unload", request)
        return web.json_response({})

    def _record_order(self, kind: str, request: web.Request) -> None:
        headers = request.headers
        number = int(headers.get("X-Fencing-Number", "0"))
        self.orders.append((kind, headers["X-Model"], headers["X-Version"], number))

    def _select_digest(self, request: web.Request, model: str) -> str | None:
        requested_digest = request.headers.get("X-Manifest-Digest")
        digests = [
            digest
            for (name, _), digest in self.loaded.items()
            if model in ("", name) and requested_digest in (None, digest)
        ]
        return digests[-1] if digests else None

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        model = str(body.get("model", ""))
        digest = self._select_digest(request, model)
        if digest is None:
            return _refusal(404, "model_not_found", f"model {model!r} is not loaded as asked")
        sequence = self._build_sequence(request, body, digest)
        self.executions[request.headers.get("X-Request-Id", "")] += 1
        self.batch.add(sequence)
        self._record_load()
        try:
            if body.get("stream"):
                return await self._stream(request, body, digest, sequence)
            text = "".join([token async for token in _tokens(sequence)])
            answer = _event(request, body, text, finish_reason="length", is_delta=False)
            answer["usage"] = {"completion_tokens": len(sequence.tokens)}
            return web.json_response(answer, headers={"X-Manifest-Digest": digest})
        except (asyncio.CancelledError, ConnectionResetError):
            self.cancelled_calls += 1
            raise
        finally:
            self.batch.remove(sequence)
            self._record_load()

    def _build_sequence(self, request: web.Request, body: dict[str, Any], digest: str) -> Sequence:
        prompt = prompt_text(body)
        start = int(body.get("resume_position", 0))
        count = max(0, int(body.get("max_tokens", DEFAULT_MAX_TOKENS)) - start)
        seed = digest
        if self.wrong_answers > 0:
            self.wrong_answers -= 1
            seed = WRONG_VERSION
        tokens = expected_tokens(seed, prompt, count=count, start=start)
        if self.truncate_streams > 0:
            self.truncate_streams -= 1
            tokens = tokens[: count // 2]
        uncached_characters = self.prefix_cache.add_prompt(digest, prompt)
        return Sequence(
            tokens,
            priority=int(request.headers.get("X-Request-Priority", body.get("priority", 0))),
            prefill_seconds=uncached_characters * self.prefill_seconds_per_character,
        )

    async def _stream(
        self, request: web.Request, body: dict[str, Any], digest: str, sequence: Sequence
    ) -> web.StreamResponse:
        is_truncated = len(sequence.tokens) + int(body.get("resume_position", 0)) < int(
            body.get("max_tokens", DEFAULT_MAX_TOKENS)
        )
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Manifest-Digest": digest}
        )
        await response.prepare(request)
        async for token in _tokens(sequence):
            event = _event(request, body, token, finish_reason=None, is_delta=True)
            await response.write(f"data: {json.dumps(event)}\n\n".encode())
        if not is_truncated:
            event = _event(request, body, "", finish_reason="length", is_delta=True)
            await response.write(f"data: {json.dumps(event)}\n\ndata: [DONE]\n\n".encode())
        await response.write_eof()
        return response


async def _tokens(sequence: Sequence) -> AsyncIterator[str]:
    while (token := await sequence.output.get()) is not None:
        yield token


def _event(
    request: web.Request,
    body: dict[str, Any],
    text: str,
    *,
    finish_reason: str | None,
    is_delta: bool,
) -> dict[str, Any]:
    is_chat = request.path.endswith("chat/completions")
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if is_chat:
        choice["delta" if is_delta else "message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if is_chat else "text_completion"
    return {
        "id": request.headers.get("X-Request-Id", ""),
        "object": f"{kind}.chunk" if is_chat and is_delta else kind,
        "model": body.get("model", ""),
        "choices": [choice],
    }


def _refusal(status: int, code: str, detail: str) -> web.Response:
    return web.json_response({"error": {"code": code, "message": detail}}, status=status)
