"""Track one call that an agent runs."""

import asyncio

from egretrouter.core.errors import CallUnknownError
from egretrouter.protocol import egretrouter_pb2 as pb

DEFAULT_WINDOW_BYTES = 256 * 1024


class NoCreditError(CallUnknownError):
    """The router sent no credit for the rest of the answer before the call's deadline."""


class RunningCall:
    """Track the task of a call and the bytes that may still be sent to its router."""

    def __init__(self, call: pb.CallOpen) -> None:
        self.call = call
        self.task: asyncio.Task[None] | None = None
        self.window_bytes = call.window_bytes or DEFAULT_WINDOW_BYTES
        self.credited = asyncio.Event()

    def add_credit(self, credit_bytes: int) -> None:
        """Let more bytes be sent."""
        self.window_bytes += credit_bytes
        self.credited.set()

    async def spend(self, sent_bytes: int, *, deadline_seconds: float) -> None:
        """Use up part of the window, and wait for credit while the window is empty.

        Raises NoCreditError if the event loop's clock reaches the deadline first.
        """
        self.window_bytes -= sent_bytes
        if self.window_bytes > 0:
            return
        try:
            async with asyncio.timeout_at(deadline_seconds):
                while self.window_bytes <= 0:
                    self.credited.clear()
                    await self.credited.wait()
        except TimeoutError as error:
            raise NoCreditError("the router sent no credit until the deadline") from error
