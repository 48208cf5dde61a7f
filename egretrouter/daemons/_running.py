"""Run a daemon until a signal stops it."""

import asyncio
import gc
import random
import signal
from collections.abc import Callable
from pathlib import Path
from typing import TextIO

from eliot import FileDestination, add_destinations

from egretrouter.core.settings import AgentSettings, ProcessSettings, RouterSettings
from egretrouter.daemons._agent import AgentService
from egretrouter.daemons._router import RouterService


def run_router(settings: RouterSettings) -> None:
    """Run a router until SIGTERM or SIGINT, then drain it; a second signal stops it at once."""
    _run(settings, lambda rng: RouterService(settings, rng=rng))


def run_agent(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT, then drain it; a second signal stops it at once."""
    _run(settings, lambda rng: AgentService(settings, rng=rng))


def _run(
    settings: ProcessSettings, build: Callable[[random.Random], RouterService | AgentService]
) -> None:
    log = _open_log(settings)
    try:
        asyncio.run(_serve(build(random.Random())))
    finally:
        log.close()


def _open_log(settings: ProcessSettings) -> TextIO:
    path = settings.log_file or "/dev/stderr"
    log = Path(path).open("a", encoding="utf-8")  # noqa: SIM115
    add_destinations(FileDestination(file=log))
    return log


def freeze_objects() -> None:
    """Exempt the objects created at the start from later garbage collections.

    A full collection of them paused a process for 10 to 20 ms; events may be delayed by 5 ms.
    """
    gc.collect()
    gc.freeze()


async def _serve(service: RouterService | AgentService) -> None:
    stop, stop_at_once = asyncio.Event(), asyncio.Event()

    def handle_signal() -> None:
        (stop_at_once if stop.is_set() else stop).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
    await service.start()
    freeze_objects()
    try:
        await stop.wait()
        drained = asyncio.create_task(service.drain())
        stop_now = asyncio.create_task(stop_at_once.wait())
        await asyncio.wait([drained, stop_now], return_when=asyncio.FIRST_COMPLETED)
        drained.cancel()
        stop_now.cancel()
        if stop_at_once.is_set():
            await service.stop_at_once()
    finally:
        await service.stop()
