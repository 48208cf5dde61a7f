"""Register steps that run on the event loop of the run."""

import functools
from collections.abc import Awaitable, Callable
from typing import Any

import behave

StepWork = Callable[..., Awaitable[None]]


def _registrar(register: Callable[[str], Callable[..., Any]]) -> Callable[[str], Any]:
    def for_text(text: str) -> Callable[[StepWork], StepWork]:
        def decorate(work: StepWork) -> StepWork:
            @functools.wraps(work)
            def step(context: Any, **values: Any) -> None:
                context.loop.run_until_complete(work(context.world, **values))

            register(text)(step)
            return work

        return decorate

    return for_text


given = _registrar(behave.given)
when = _registrar(behave.when)
then = _registrar(behave.then)
