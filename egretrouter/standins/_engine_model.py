"""Simulate the tokens, batch and prefix cache of a model engine."""

import asyncio
import hashlib
from collections import OrderedDict
from typing import Any

from egretrouter.core.digests import content_digest

PREFIX_BLOCK_CHARACTERS = 64
STALL_POLL_SECONDS = 0.01


def expected_tokens(manifest_digest: str, prompt: str, *, count: int, start: int = 0) -> list[str]:
    """Return the tokens that an engine with this version generates for a prompt.

    Every token depends on the version, so an answer mixed from two versions matches neither.
    """
    seed = hashlib.blake2b(f"{manifest_digest}\n{prompt}".encode(), digest_size=16).digest()
    return [_token(seed, position) for position in range(start, start + count)]


def _token(seed: bytes, position: int) -> str:
    digest = hashlib.blake2b(position.to_bytes(8, "big"), key=seed, digest_size=4)
    return " " + digest.hexdigest()


def expected_answer(manifest_digest: str, prompt: str, *, count: int, start: int = 0) -> str:
    """Return the complete text that an engine with this version generates for a prompt."""
    return "".join(expected_tokens(manifest_digest, prompt, count=count, start=start))


def prompt_text(body: dict[str, Any]) -> str:
    """Return the prompt of a completion or chat request."""
    if "messages" not in body:
        return str(body.get("prompt", ""))
    return "\n".join(f"{entry.get('role')}: {entry.get('content')}" for entry in body["messages"])


class PrefixCache:
    """Cache the most recently used prompt prefixes in blocks of fixed size."""

    def __init__(self, *, capacity_blocks: int) -> None:
        """Create an empty cache."""
        self.capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of cached blocks."""
        return len(self._blocks)

    def clear(self) -> None:
        """Remove every block."""
        self._blocks.clear()

    def use(self, manifest_digest: str, prompt: str) -> int:
        """Cache a prompt and return the number of its characters that were not cached."""
        cached = 0
        is_prefix = True
        for end in range(PREFIX_BLOCK_CHARACTERS, len(prompt) + 1, PREFIX_BLOCK_CHARACTERS):
            key = content_digest(f"{manifest_digest}\n{prompt[:end]}".encode())
            is_prefix = is_prefix and key in self._blocks
            cached = end if is_prefix else cached
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        while len(self._blocks) > self.capacity_blocks:
            self._blocks.popitem(last=False)
        return len(prompt) - cached


class Sequence:
    """Represent one queued or running generation."""

    def __init__(self, tokens: list[str], *, priority: int, prefill_seconds: float) -> None:
        """Start with the tokens that are left to generate; a higher priority runs earlier."""
        self.tokens = tokens
        self.priority = priority
        self.prefill_seconds = prefill_seconds
        self.output: asyncio.Queue[str | None] = asyncio.Queue()
        self.position = 0


class Batch:
    """Generate the next tokens of every running sequence on each decode step."""

    def __init__(self, *, capacity: int, token_interval_seconds: float) -> None:
        """Create an empty batch."""
        self.capacity = capacity
        self.token_interval_seconds = token_interval_seconds
        self.tokens_per_step = 1
        """Tokens per sequence and step; speculative decoding yields more than one."""
        self.stalled = False
        self.queued: list[Sequence] = []
        self.running: list[Sequence] = []
        self.steps = 0
        self._sequence_added = asyncio.Event()

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self.queued.append(sequence)
        self._sequence_added.set()

    def remove(self, sequence: Sequence) -> None:
        """Remove a sequence that ended or was cancelled."""
        for sequences in (self.queued, self.running):
            if sequence in sequences:
                sequences.remove(sequence)

    async def run(self) -> None:
        """Run decode steps until cancelled."""
        while True:
            if not self.queued and not self.running:
                self._sequence_added.clear()
                await self._sequence_added.wait()
            if self.stalled:
                await asyncio.sleep(STALL_POLL_SECONDS)
                continue
            prefill_seconds = self._admit()
            await asyncio.sleep(self.token_interval_seconds + prefill_seconds)
            self._step()

    def _admit(self) -> float:
        """Move queued sequences into the batch and return their total prefill time in seconds."""
        prefill_seconds = 0.0
        self.queued.sort(key=lambda sequence: -sequence.priority)
        while self.queued and len(self.running) < self.capacity:
            sequence = self.queued.pop(0)
            prefill_seconds += sequence.prefill_seconds
            self.running.append(sequence)
        return prefill_seconds

    def _step(self) -> None:
        self.steps += 1
        for sequence in list(self.running):
            end = min(sequence.position + self.tokens_per_step, len(sequence.tokens))
            for token in sequence.tokens[sequence.position : end]:
                sequence.output.put_nowait(token)
            sequence.position = end
            if sequence.position >= len(sequence.tokens):
                sequence.output.put_nowait(None)
                self.running.remove(sequence)
