"""Give every scenario a new World; all scenarios share one event loop."""

import asyncio
from typing import Any

from support.world import World


def before_all(context: Any) -> None:
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)


def before_scenario(context: Any, scenario: Any) -> None:
    context.world = World()


def after_scenario(context: Any, scenario: Any) -> None:
    context.loop.run_until_complete(context.world.stop())


def after_all(context: Any) -> None:
    context.loop.close()
