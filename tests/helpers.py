"""Provide functions that several test modules use."""

import asyncio
from collections.abc import Callable


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after 10 seconds."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not become true")
