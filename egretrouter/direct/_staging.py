"""Stage verified chunks at an engine's instance, and order the engine to load them."""

import time

from egretrouter.backends import EngineState, OrderAnswer, StagedEngine
from egretrouter.core.errors import BackendError, CorruptedChunkError, LostAnswerError
from egretrouter.core.identifiers import ChunkIndex, Digest, ModelName
from egretrouter.core.weights import ChunkMemory, Manifest
from egretrouter.direct._logs import log_event


class WeightStaging:
    """Move chunks between an agent's memory and the stage of its engine."""

    def __init__(self, engine: StagedEngine, *, memory: ChunkMemory) -> None:
        self._engine = engine
        self._memory = memory

    async def reuse_staged(self, model: ModelName, manifest: Manifest, digest: Digest) -> None:
        """Add chunks that are already staged to the chunk memory."""
        self._memory.reserve(digest, weight_bytes=manifest.weight_bytes)
        reused = 0
        for number in range(len(manifest.chunks)):
            index = ChunkIndex(number)
            try:
                content = await self._engine.read_staged(model, index)
                if content is None:
                    break
                manifest.verify_chunk(index, content)
            except CorruptedChunkError:
                # A mismatch of the first chunk means that another version is staged.
                if number == 0:
                    break
                continue
            except BackendError as error:
                log_event("weights:staged_unreadable", model=model, error=str(error))
                break
            self._memory.put(digest, index, content)
            reused += 1
        if reused:
            log_event("weights:staged_found", model=model, chunks=reused)

    async def load(
        self, model: ModelName, version: int, manifest: Manifest, state: EngineState
    ) -> bool:
        """Stage the chunks, verify them by reading them back, and order the engine to load.

        Return whether the engine accepted the order.
        """
        started = time.monotonic()
        for number, content in enumerate(self._memory.contents(manifest.digest)):
            index = ChunkIndex(number)
            if not await self._is_staged(model, manifest, index):
                await self._engine.stage(model, index, content)
        for number in range(len(manifest.chunks)):
            if not await self._is_staged(model, manifest, ChunkIndex(number)):
                log_event("weights:staging_spoilt", model=model, chunk=number)
                return False
        try:
            answer = await self._engine.load(model, version, orders=state.orders, interrupt=False)
        except LostAnswerError as error:
            # The engine's next report shows whether the order was accepted.
            log_event("weights:order_lost", model=model, version=version, error=str(error))
            return False
        log_event(
            "weights:ordered",
            model=model,
            version=version,
            answer=answer.value,
            staging_seconds=round(time.monotonic() - started, 3),
        )
        return answer is OrderAnswer.ACCEPTED

    async def _is_staged(self, model: ModelName, manifest: Manifest, index: ChunkIndex) -> bool:
        content = await self._engine.read_staged(model, index)
        if content is None:
            return False
        try:
            manifest.verify_chunk(index, content)
        except CorruptedChunkError:
            return False
        return True
