"""Send live calls to a fleet and check every answer."""

import asyncio
import json
import random
import time
import uuid
from collections import Counter
from collections.abc import Iterable

import aiohttp
import msgspec

from egretrouter.core.configuration import ModelServiceFile, PlainServiceFile
from egretrouter.demo._fleet import Fleet
from egretrouter.standins import PlainServiceStandin, expected_answer, prompt_text

CALL_TIMEOUT_SECONDS = 30.0
MODEL_TOKENS = 24
REPEATED_ORDER_SHARE = 0.3
MAX_ORDER_ATTEMPTS = 20
ORDER_RETRY_SECONDS = 0.25
HTTP_CONFLICT = 409


class CallCounts(msgspec.Struct, kw_only=True):
    """Count calls by outcome."""

    sent: int = 0
    completed: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong_answers: int = 0
    false_not_run: int = 0
    first_token_seconds: list[float] = msgspec.field(default_factory=list)
    reasons: Counter[str] = msgspec.field(default_factory=Counter)


class LoadGenerator:
    """Send model calls and non-idempotent calls through the routers of a fleet."""

    def __init__(
        self, fleet: Fleet, *, manifest_digests: Iterable[str], calls_per_second: float, seed: int
    ) -> None:
        """Configure the rate of calls and the versions whose answers count as correct."""
        self.counts = CallCounts()
        self._fleet = fleet
        self._digests = list(manifest_digests)
        self._interval_seconds = 1.0 / calls_per_second
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = asyncio.Event()
        self._not_run_keys: set[str] = set()
        self._possibly_run_keys: set[str] = set()

    async def run(self) -> None:
        """Send calls at a steady rate until stopped, then wait for pending answers."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            while not self._stopped.is_set():
                self._start_call(session)
                await asyncio.sleep(self._interval_seconds)
            await asyncio.gather(*self._tasks)

    def stop(self) -> None:
        """Stop sending new calls."""
        self._stopped.set()

    def max_executions_per_key(self) -> int:
        """Return the highest execution count of a non-idempotent call; updates false_not_run."""
        executions: Counter[str] = Counter()
        for endpoint in self._fleet.endpoints.values():
            if isinstance(endpoint, PlainServiceStandin):
                executions.update(endpoint.executions)
        self.counts.false_not_run = sum(
            executions[key] > 0 for key in self._not_run_keys - self._possibly_run_keys
        )
        return max(executions.values(), default=0)

    def _start_call(self, session: aiohttp.ClientSession) -> None:
        models = [
            service for service in self._fleet.services() if isinstance(service, ModelServiceFile)
        ]
        plain = [
            service
            for service in self._fleet.services()
            if isinstance(service, PlainServiceFile)
            and any(not rule.idempotent for rule in service.idempotency)
        ]
        if plain and self._rng.random() < 0.3:
            work = self._place_order(session, self._rng.choice(plain))
        else:
            work = self._send_completion(session, self._rng.choice(models))
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _url(self) -> str:
        router = self._rng.choice(list(self._fleet.routers.values()))
        return f"http://127.0.0.1:{router.callers_port}"

    def _workspace(self, allowed: tuple[str, ...]) -> str:
        workspaces = [
            workspace
            for workspace in self._fleet.deployment.workspaces
            if not allowed or workspace.name in allowed
        ]
        return self._rng.choices(
            workspaces, weights=[workspace.weight for workspace in workspaces]
        )[0].name

    async def _send_completion(
        self, session: aiohttp.ClientSession, service: ModelServiceFile
    ) -> None:
        prompt = f"{self._rng.choice(PROMPTS)} {self._rng.randrange(1000)}"
        body = {
            "model": service.model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": MODEL_TOKENS,
            "stream": self._rng.random() < 0.7,
        }
        prompt_content = prompt_text(body)
        headers = {"X-Workspace": self._workspace(service.workspaces)}
        self.counts.sent += 1
        started_seconds = time.monotonic()
        try:
            async with session.post(
                f"{self._url()}/v1/chat/completions", json=body, headers=headers
            ) as response:
                first = await response.content.readany()
                self.counts.first_token_seconds.append(time.monotonic() - started_seconds)
                content = first + await response.content.read()
        except (aiohttp.ClientError, TimeoutError):
            self._record_failure("unknown", "connection")
            return
        if response.status != 200:
            self._record_refusal(content)
            return
        text = _answer_text(content, stream=bool(body["stream"]))
        if text is None:
            self._record_failure("unknown", "truncated")
        elif any(
            text == expected_answer(digest, prompt_content, count=MODEL_TOKENS)
            for digest in self._digests
        ):
            self.counts.completed += 1
        else:
            self.counts.wrong_answers += 1

    async def _place_order(self, session: aiohttp.ClientSession, service: PlainServiceFile) -> None:
        key = uuid.UUID(int=self._rng.getrandbits(128)).hex
        rule = next(rule for rule in service.idempotency if not rule.idempotent)
        path = f"{rule.path_prefix.rstrip('/')}/new"
        content = json.dumps({"item": self._rng.randrange(1000)}).encode()
        workspace = self._workspace(service.workspaces)
        repeats = 2 if self._rng.random() < REPEATED_ORDER_SHARE else 1
        # A repeat simulates a client that timed out and retries, possibly through another router.
        await asyncio.gather(
            *(
                self._send_order_until_decided(session, service, key, path, content, workspace)
                for _ in range(repeats)
            )
        )

    async def _send_order_until_decided(
        self,
        session: aiohttp.ClientSession,
        service: PlainServiceFile,
        key: str,
        path: str,
        content: bytes,
        workspace: str,
    ) -> None:
        for _ in range(MAX_ORDER_ATTEMPTS):
            if await self._try_order(session, service, key, path, content, workspace):
                return
            await asyncio.sleep(ORDER_RETRY_SECONDS)
        self.counts.sent += 1
        self._record_failure("unknown", "still in progress")

    async def _try_order(
        self,
        session: aiohttp.ClientSession,
        service: PlainServiceFile,
        key: str,
        path: str,
        content: bytes,
        workspace: str,
    ) -> bool:
        """Send an order once; return False if another attempt with its key is still in progress."""
        headers = {
            "Host": service.hosts[0] if service.hosts else "localhost",
            "Idempotency-Key": key,
            "X-Workspace": workspace,
            "Content-Type": "application/json",
        }
        self.counts.sent += 1
        try:
            async with session.post(
                f"{self._url()}{path}", data=content, headers=headers
            ) as response:
                answer = await response.read()
        except (aiohttp.ClientError, TimeoutError):
            self._possibly_run_keys.add(key)
            self._record_failure("unknown", "connection")
            return True
        if response.status == HTTP_CONFLICT:
            self.counts.sent -= 1
            return False
        if response.status != 200:
            outcome = self._record_refusal(answer)
            (self._not_run_keys if outcome == "not_run" else self._possibly_run_keys).add(key)
            return True
        self._possibly_run_keys.add(key)
        expected = PlainServiceStandin.expected_answer(
            key, method="POST", path=path, content=content
        )
        if answer == expected:
            self.counts.completed += 1
        else:
            self.counts.wrong_answers += 1
        return True

    def _record_refusal(self, content: bytes) -> str:
        try:
            problem = json.loads(content)
            outcome, reason = str(problem["outcome"]), str(problem["type"])
        except (ValueError, KeyError, TypeError):
            outcome, reason = "unknown", "no problem document"
        self._record_failure(outcome, reason)
        return outcome

    def _record_failure(self, outcome: str, reason: str) -> None:
        self.counts.reasons[f"{outcome}: {reason}"] += 1
        if outcome == "not_run":
            self.counts.not_run += 1
        else:
            self.counts.unknown += 1


def _answer_text(content: bytes, *, stream: bool) -> str | None:
    """Return the text of an answer, or None if the stream is truncated."""
    if not stream:
        message = json.loads(content)["choices"][0]["message"]
        return str(message["content"])
    events = [line[6:] for line in content.decode().split("\n\n") if line.startswith("data: ")]
    if not events or events[-1] != "[DONE]":
        return None
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    return "".join(delta["content"] for delta in deltas)


PROMPTS = (
    "Summarise today's prices for large white eggs in the last three markets.",
    "Why did the price of a dozen brown eggs rise since Monday, and will it hold?",
    "Draft a short note on the cost of maize and soy meal for laying hens.",
)
