"""Provide functions that several test modules use."""

import asyncio
import random
import socket
from collections.abc import Callable
from contextlib import ExitStack

from egretrouter.direct._boot_clock import boot_seconds
from egretrouter.direct._shared_state import SharedStateService

RESERVED_PORTS = range(20_000, 32_000)
"""Ports that the kernel assigns to nobody, because its own range begins above them."""

OUTAGE_SECONDS = 10.0


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after 10 seconds."""
    for _ in range(1000):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not become true")


def free_ports(count: int) -> tuple[int, ...]:
    """Return consecutive free ports for TCP and UDP that the kernel assigns to nobody.

    Another process can take them only by asking for just these.
    """
    while True:
        first = random.SystemRandom().randrange(RESERVED_PORTS.start, RESERVED_PORTS.stop - count)
        ports = tuple(range(first, first + count))
        with ExitStack() as stack:
            try:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        reserved = stack.enter_context(socket.socket(type=kind))
                        reserved.bind(("127.0.0.1", port))
            except OSError:
                continue
            return ports


def end_outage(state: SharedStateService) -> None:
    """Let an outage of the store end just now, in which registrations may have expired."""
    state.record_store_failure(asked_seconds=boot_seconds())
    state.record_store_answer(asked_seconds=boot_seconds() + OUTAGE_SECONDS)
