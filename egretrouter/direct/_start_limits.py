"""End sends to endpoints that have not begun when the version that they would run on expires."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from egretrouter.core.direct import Choice, SendOutcome, WeightVersion
from egretrouter.core.identifiers import ModelName
from egretrouter.direct._boot_clock import boot_seconds
from egretrouter.direct._sends import SendError
from egretrouter.direct._shared_state import SharedStateService


class StartLimits:
    """Bound the waits of calls for their endpoints' first event, also when a version is named."""

    def __init__(self, state: SharedStateService) -> None:
        self._state = state
        self._running: dict[asyncio.Timeout, WeightVersion] = {}
        state.on_weights.append(lambda _: self._reschedule())
        state.on_resumed.append(self._reschedule)

    def left_seconds(self, model: ModelName | None, version: int | None) -> float | None:
        """Return how long a call may wait to begin now, or None if there is no limit yet."""
        if model is None or version is None:
            return None
        deadline = self._state.weights.start_deadline_seconds(model, version)
        return None if deadline is None else max(0.0, deadline - boot_seconds())

    @contextlib.asynccontextmanager
    async def limit(self, model: ModelName | None, version: int | None) -> AsyncIterator[None]:
        """Raise TimeoutError in the block when a call may no longer begin on a version."""
        if model is None or version is None:
            yield
            return
        limit = asyncio.timeout(self.left_seconds(model, version))
        self._running[limit] = WeightVersion(model=model, version=version)
        try:
            async with limit:
                yield
        finally:
            del self._running[limit]

    def _reschedule(self) -> None:
        for limit, used in self._running.items():
            left = self.left_seconds(used.model, used.version)
            if left is not None and not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time() + left)


def version_expired(choice: Choice) -> SendError:
    """Return the error of a send whose call may no longer begin on its version."""
    return SendError(
        SendOutcome.EXPIRED, f"version {choice.version} was ruled out while the call queued"
    )
